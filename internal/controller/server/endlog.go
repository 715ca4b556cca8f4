package server

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// endings writes one line for each connection that ends; in a flood, one for all that ended for the same
// reason.
type endings struct {
	log *logrus.Entry
	now func() int64 // seconds

	mu      sync.Mutex
	second  int64
	written int
	more    map[Reason]int
}

const mostEndings = 50 // lines a second

func newEndings(log *logrus.Entry) *endings {
	return &endings{log: log, now: func() int64 { return time.Now().Unix() }, more: map[Reason]int{}}
}

func (e *endings) add(c *Conn) {
	c.mu.Lock()
	entry := e.log.WithFields(logrus.Fields{"reason": c.reason, "peer": c.net.RemoteAddr().String(),
		"lasted": time.Since(c.began).Round(time.Millisecond).String(), "lines": c.messages})
	if c.subject != "" {
		entry = entry.WithField("of", c.subject)
	}
	if c.faults > 0 {
		entry = entry.WithFields(logrus.Fields{"faults": c.faults, "first": c.fault.Error()})
	}
	why := c.reason
	c.mu.Unlock()

	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.now(); now != e.second {
		e.second, e.written = now, 0
		for why, n := range e.more {
			e.log.WithFields(logrus.Fields{"reason": why, "count": n}).Info("more connections ended")
		}
		clear(e.more)
	}
	if e.written++; e.written > mostEndings {
		e.more[why]++
		return
	}
	entry.Info("connection ended")
}
