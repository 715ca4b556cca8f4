package policy

import (
	"math"
	"slices"
)

// This file tracks what may still be queued in the channel to the proxies.

type message struct {
	sentAt Time
	batch  int
	cost   float64 // lines; 0 once acknowledged
}

// updateQueue estimates and returns the number of lines still queued in the channel. Markers show which batches have
// left. Between markers the channel is assumed to keep minPaceFraction of its pace, and no more can leave than is
// queued.
func (a *Assigner) updateQueue() float64 {
	unacked := 0.0
	a.unackedLines = 0
	for _, p := range a.connected {
		p.sent = slices.DeleteFunc(p.sent, func(m message) bool {
			return a.now-m.sentAt > a.conf.MessageWindow+Second && !a.inChannel(m)
		})
		for _, m := range p.sent {
			unacked += ifElse(a.inChannel(m), m.cost, 0)
			a.unackedLines += ifElse(a.inChannel(m) && a.now < m.sentAt+unackedTimeout, m.cost, 0)
		}
	}
	a.queuedLines -= minPaceFraction * a.conf.LinesPerSecond * float64(a.now-a.queuedAt) / float64(Second)
	a.queuedLines, a.queuedAt = min(max(a.queuedLines, 0), unacked), a.now
	return a.queuedLines
}

// linesPerSecondEach returns the channel's pace in lines/s per proxy that still uses a peer's tables.
func (a *Assigner) linesPerSecondEach() float64 {
	n := 0.0
	for _, p := range a.connected {
		n += ifElse(p.usesPeerTables(), 1, 0.0)
	}
	if n == 0 || a.conf.LinesPerSecond == 0 {
		return math.Inf(1)
	}
	return a.conf.LinesPerSecond / n
}

// onMarkerAck records that a batch has reached a proxy. Messages leave the channel in the order of writing, except
// within reorderWindow, because each proxy has its own socket.
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

// inChannel reports whether a message may still be queued.
func (a *Assigner) inChannel(m message) bool { return m.cost > 0 && m.sentAt > a.drainedUntil }

// charge adds lines to this step's message to a proxy.
func (a *Assigner) charge(p *proxy, lines float64) {
	if n := len(p.sent); n == 0 || p.sent[n-1].batch <= a.batch {
		p.sent, lines = append(p.sent, message{sentAt: a.now, batch: a.batch + 1}), lines+a.conf.MessageOverhead+1
	}
	p.sent[len(p.sent)-1].cost += lines
	a.queuedLines, a.unackedLines = a.queuedLines+lines, a.unackedLines+lines
}
