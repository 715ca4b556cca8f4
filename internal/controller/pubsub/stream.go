package pubsub

import (
	"sync"

	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/textproto"
)

// stream is a proxy's topic as the desk sees it: a desk.Stream. It outlives the connections of its owner.
type stream struct {
	hub      *Hub
	topic    string
	openedAt uint64

	encoder OrderEncoder // the desk's goroutine alone looks

	mu     sync.Mutex
	ended  bool // the desk let it go
	faults int
	fault  error
}

func (s *stream) Sequence() uint64 { return s.openedAt }

func (s *stream) SetPeer(string) {}

// CloseReplaced is the desk's word that the proxy is served by another stream now.
func (s *stream) CloseReplaced() { s.drop() }

// CloseRefused is the desk's word that it is nobody's.
func (s *stream) CloseRefused() { s.drop() }

func (s *stream) drop() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.hub.submit(session.TopicDropped{Topic: s.topic})
}

// RecordFault keeps what was wrong with a report; the line about the end of the stream shows the first.
func (s *stream) RecordFault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults++; s.fault == nil {
		s.fault = err
	}
}

// Send is for streams of text; the desk gives this one parts.
func (s *stream) Send([]byte) {}

// SendParts hands the hub the values that the parts of a message stand for. It never waits.
func (s *stream) SendParts(parts []textproto.Part) {
	e := session.TopicChanged{Topic: s.topic}
	e.Updates, e.Marker = s.encoder.Updates(s.hub.names.Products, parts)
	s.hub.submit(e)
}

// OrderEncoder turns the messages to a proxy into values, in the order in which they are made.
type OrderEncoder struct {
	weighted map[string]map[string]bool // by product, that it has
}

// Updates are the values that a message changes, and the mark that it asks an answer for, 0 for none. Of a key that is
// named twice the last one holds. Parts that name no products mean all.
func (o *OrderEncoder) Updates(products []string, parts []textproto.Part) (sets []session.Update, mark int) {
	if o.weighted == nil {
		o.weighted = map[string]map[string]bool{}
	}
	c := changeSet{index: map[string]int{}}
	for _, p := range parts {
		for _, id := range p.Withdrawn {
			c.put(session.Update{Key: WithdrawnKey(id)})
		}
		for _, id := range p.Restored {
			c.put(session.Update{Key: WithdrawnKey(id), Deleted: true})
		}
		named := p.Products
		if named == nil {
			named = products
		}
		for _, product := range named {
			o.encodeProduct(&c, product, p)
		}
		if p.HasMarker {
			mark = p.Marker
		}
	}
	return c.updates, mark
}

// changeSet has the newest Set of each key, in the order in which the keys came first.
type changeSet struct {
	updates []session.Update
	index   map[string]int
}

func (c *changeSet) put(x session.Update) {
	if i, ok := c.index[x.Key]; ok {
		c.updates[i] = x
		return
	}
	c.index[x.Key] = len(c.updates)
	c.updates = append(c.updates, x)
}

func (o *OrderEncoder) encodeProduct(c *changeSet, product string, p textproto.Part) {
	if o.weighted[product] == nil {
		o.weighted[product] = map[string]bool{}
	}
	lines := o.weighted[product]
	if p.Full {
		for id := range lines {
			c.put(session.Update{Key: WeightKey(product, id), Deleted: true})
		}
		clear(lines)
		c.put(session.Update{Key: AdmissionKey(product), Deleted: true})
	}
	for _, l := range p.Weights {
		value := session.Value{Number: l.Weight}
		c.put(session.Update{Key: WeightKey(product, l.Backend), Deleted: l.Weight <= 0, Value: value})
		if lines[l.Backend] = true; l.Weight <= 0 {
			delete(lines, l.Backend)
		}
	}
	if a := p.Admission; a != nil {
		value := session.Value{Number: a.RateLimit, Integer: int(a.Retries)}
		c.put(session.Update{Key: AdmissionKey(product), Value: value})
	}
}
