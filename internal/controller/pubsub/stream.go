package pubsub

import (
	"sync"

	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/textproto"
)

// stream is the eventloop.PartStream of a proxy's topic. It outlives the connections of the proxy.
type stream struct {
	hub      *Hub
	topic    string
	openedAt uint64

	encoder OrderEncoder // used only by the event loop's goroutine

	mu     sync.Mutex
	ended  bool // the event loop closed the stream
	faults int
	fault  error
}

func (s *stream) Sequence() uint64 { return s.openedAt }

func (s *stream) SetPeer(string) {}

// CloseReplaced drops the topic because another stream serves the proxy.
func (s *stream) CloseReplaced() { s.drop() }

// CloseRefused drops the topic because the event loop does not know the proxy.
func (s *stream) CloseRefused() { s.drop() }

func (s *stream) drop() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.hub.submit(session.TopicDropped{Topic: s.topic})
}

// RecordFault counts invalid reports and keeps the first error.
func (s *stream) RecordFault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults++; s.fault == nil {
		s.fault = err
	}
}

// Send does nothing: the event loop calls SendParts instead.
func (s *stream) Send([]byte) {}

// SendParts publishes the updates that the parts of a message make to the topic. It never blocks.
func (s *stream) SendParts(parts []textproto.Part) {
	change := session.TopicChanged{Topic: s.topic}
	change.Updates, change.Marker = s.encoder.Updates(s.hub.names.Products, parts)
	s.hub.submit(change)
}

// OrderEncoder converts the messages to a proxy to updates of its topic. It must see the messages in order.
type OrderEncoder struct {
	weighted map[string]map[string]bool // backends that have a weight, by product
}

// Updates returns the updates of a message and the marker that the proxy must acknowledge, 0 for none. Only the last
// update of each key is returned. A part without products applies to all products.
func (o *OrderEncoder) Updates(products []string, parts []textproto.Part) (updates []session.Update, marker int) {
	if o.weighted == nil {
		o.weighted = map[string]map[string]bool{}
	}
	changes := changeSet{index: map[string]int{}}
	for _, p := range parts {
		for _, id := range p.Withdrawn {
			changes.put(session.Update{Key: WithdrawnKey(id)})
		}
		for _, id := range p.Restored {
			changes.put(session.Update{Key: WithdrawnKey(id), Deleted: true})
		}
		selected := p.Products
		if selected == nil {
			selected = products
		}
		for _, product := range selected {
			o.encodeProduct(&changes, product, p)
		}
		if p.HasMarker {
			marker = p.Marker
		}
	}
	return changes.updates, marker
}

// changeSet holds the newest update of each key, in the order in which the keys first appeared.
type changeSet struct {
	updates []session.Update
	index   map[string]int // positions in updates by key
}

func (c *changeSet) put(update session.Update) {
	if i, ok := c.index[update.Key]; ok {
		c.updates[i] = update
		return
	}
	c.index[update.Key] = len(c.updates)
	c.updates = append(c.updates, update)
}

// encodeProduct adds the updates of a part for one product.
func (o *OrderEncoder) encodeProduct(c *changeSet, product string, p textproto.Part) {
	if o.weighted[product] == nil {
		o.weighted[product] = map[string]bool{}
	}
	weighted := o.weighted[product]
	if p.Full {
		for id := range weighted {
			c.put(session.Update{Key: WeightKey(product, id), Deleted: true})
		}
		clear(weighted)
		c.put(session.Update{Key: AdmissionKey(product), Deleted: true})
	}
	for _, w := range p.Weights {
		value := session.Value{Number: w.Weight}
		c.put(session.Update{Key: WeightKey(product, w.Backend), Deleted: w.Weight <= 0, Value: value})
		if weighted[w.Backend] = true; w.Weight <= 0 {
			delete(weighted, w.Backend)
		}
	}
	if a := p.Admission; a != nil {
		value := session.Value{Number: a.RateLimit, Integer: int(a.Retries)}
		c.put(session.Update{Key: AdmissionKey(product), Value: value})
	}
}
