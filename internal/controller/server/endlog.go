package server

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// endLog writes a log line for each connection that ends. Above maxEndLinesPerSecond it counts the connections by
// reason and logs the counts once the second is over.
type endLog struct {
	log *logrus.Entry
	now func() int64 // seconds

	mu         sync.Mutex
	second     int64
	written    int            // lines in this second
	suppressed map[Reason]int // connections without a line in this second
}

const maxEndLinesPerSecond = 50

func newEndLog(log *logrus.Entry) *endLog {
	return &endLog{log: log, now: func() int64 { return time.Now().Unix() }, suppressed: map[Reason]int{}}
}

func (e *endLog) record(c *Conn) {
	c.mu.Lock()
	entry := e.log.WithFields(logrus.Fields{"reason": c.reason, "peer": c.net.RemoteAddr().String(),
		"lasted": time.Since(c.openedAt).Round(time.Millisecond).String(), "lines": c.messages})
	if c.peer != "" {
		entry = entry.WithField("of", c.peer)
	}
	if c.faultCount > 0 {
		entry = entry.WithFields(logrus.Fields{"faults": c.faultCount, "first": c.firstFault.Error()})
	}
	reason := c.reason
	c.mu.Unlock()

	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.now(); now != e.second {
		e.second, e.written = now, 0
		for reason, count := range e.suppressed {
			e.log.WithFields(logrus.Fields{"reason": reason, "count": count}).Info("more connections ended")
		}
		clear(e.suppressed)
	}
	if e.written++; e.written > maxEndLinesPerSecond {
		e.suppressed[reason]++
		return
	}
	entry.Info("connection ended")
}
