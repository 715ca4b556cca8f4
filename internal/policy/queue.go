package policy

import (
	"math"
	"slices"
)

// What may still wait in the channel to the proxies. Nothing is decided here.

type message struct {
	sentAt Time
	batch  int
	cost   float64 // lines; 0 once it is acknowledged
}

// updateQueue works out which lines may still wait in the channel. Markers show what has left; a slow channel keeps
// part of its pace. Of a channel that was quiet for long, only what waits can have left, and each proxy
// acknowledges its own messages.
func (a *Assigner) updateQueue() float64 {
	mayWait := 0.0
	a.unackedLines = 0
	for _, p := range a.connected {
		p.sent = slices.DeleteFunc(p.sent, func(m message) bool {
			return a.now-m.sentAt > a.conf.MessageWindow+Second && !a.inChannel(m)
		})
		for _, m := range p.sent {
			mayWait += either(a.inChannel(m), m.cost, 0)
			a.unackedLines += either(a.inChannel(m) && a.now < m.sentAt+unackedTimeout, m.cost, 0)
		}
	}
	a.queuedLines -= slowChannelPart * a.conf.LinesPerSecond * float64(a.now-a.queuedAt) / float64(Second)
	a.queuedLines, a.queuedAt = min(max(a.queuedLines, 0), mayWait), a.now
	return a.queuedLines
}

// linesPerSecondEach is the channel's pace, lines/s, for each proxy that is still on tables that it brought.
func (a *Assigner) linesPerSecondEach() float64 {
	n := 0.0
	for _, p := range a.connected {
		n += either(p.onForeignTables(), 1, 0.0)
	}
	if n == 0 || a.conf.LinesPerSecond == 0 {
		return math.Inf(1)
	}
	return a.conf.LinesPerSecond / n
}

// onMarkerAck notes that a batch has reached the proxy. Messages leave the channel in the order in which they were
// written, but for those of about the same moment, as each proxy has a socket of its own.
func (a *Assigner) onMarkerAck(p *proxy, batch int) {
	if a.batch-batch < len(a.writtenAt) {
		a.drainedUntil = max(a.drainedUntil, a.writtenAt[batch%len(a.writtenAt)]-reorderWindow)
	}
	for i := range p.sent {
		if p.sent[i].batch <= batch {
			p.sent[i].cost = 0
		}
	}
}

// inChannel reports whether nothing shows that a message has left.
func (a *Assigner) inChannel(m message) bool { return m.cost > 0 && m.sentAt > a.drainedUntil }

// charge counts lines of this step's message to a proxy.
func (a *Assigner) charge(p *proxy, lines float64) {
	if n := len(p.sent); n == 0 || p.sent[n-1].batch <= a.batch {
		p.sent, lines = append(p.sent, message{sentAt: a.now, batch: a.batch + 1}), lines+a.conf.MessageOverhead+1
	}
	p.sent[len(p.sent)-1].cost += lines
	a.queuedLines, a.unackedLines = a.queuedLines+lines, a.unackedLines+lines
}
