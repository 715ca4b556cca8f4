package channel

import (
	"sync"

	"elmfold/channel/session"
	"elmfold/edge"
)

// stream is a proxy's topic as the desk sees it: a desk.Stream. It outlives the connections of its owner.
type stream struct {
	hub   *Hub
	topic string
	since uint64

	lines map[string]map[string]bool // by product; the desk's goroutine alone looks

	mu     sync.Mutex
	ended  bool // the desk let it go
	faults int
	fault  error
}

func (s *stream) Since() uint64 { return s.since }

func (s *stream) Known(string) {}

// Replaced is the desk's word that the proxy is served by another stream now.
func (s *stream) Replaced() { s.drop() }

// Refused is the desk's word that it is nobody's.
func (s *stream) Refused() { s.drop() }

func (s *stream) drop() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.hub.tell(session.Dropped{Topic: s.topic})
}

// Fault keeps what was wrong with a report; the line about the end of the stream shows the first.
func (s *stream) Fault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults++; s.fault == nil {
		s.fault = err
	}
}

// Send is for streams of text; the desk gives this one parts.
func (s *stream) Send([]byte) {}

// SendParts turns the parts of a message into values. It never waits.
func (s *stream) SendParts(parts []edge.Part) {
	e := session.Changed{Topic: s.topic}
	at := map[string]int{} // of a key that is named twice the last one holds
	put := func(x session.Set) {
		if i, ok := at[x.Key]; ok {
			e.Sets[i] = x
			return
		}
		at[x.Key] = len(e.Sets)
		e.Sets = append(e.Sets, x)
	}
	for _, p := range parts {
		for _, id := range p.Out {
			put(session.Set{Key: OutKey(id)})
		}
		for _, id := range p.Back {
			put(session.Set{Key: OutKey(id), Gone: true})
		}
		products := p.Products
		if products == nil {
			products = s.hub.names.Products
		}
		for _, k := range products {
			if s.lines[k] == nil {
				s.lines[k] = map[string]bool{}
			}
			if p.Whole {
				for id := range s.lines[k] {
					put(session.Set{Key: LineKey(k, id), Gone: true})
				}
				clear(s.lines[k])
				put(session.Set{Key: GateKey(k), Gone: true})
			}
			for _, l := range p.Lines {
				put(session.Set{Key: LineKey(k, l.Backend), Gone: l.Weight <= 0, Value: session.Value{Figure: l.Weight}})
				if s.lines[k][l.Backend] = true; l.Weight <= 0 {
					delete(s.lines[k], l.Backend)
				}
			}
			if p.Gate != nil {
				put(session.Set{Key: GateKey(k), Value: session.Value{Figure: p.Gate.Level, Small: int(p.Gate.Tries)}})
			}
		}
		if p.Marked {
			e.Mark = p.Mark
		}
	}
	s.hub.tell(e)
}
