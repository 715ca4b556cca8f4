// Package session settles what each subscriber of a topic is sent. A topic is a set of values under keys, which change;
// a subscriber is brought from what took effect with it to what holds now: by changes that carry the values of the
// keys that differ, or by a snapshot of all. A change that was not sent yet is folded into the next one, so that what
// waits for a slow subscriber is never more than the topic itself, and what it reads last is what holds then. The same
// values may be sent again after a cut, under another number; a number takes effect once. No socket, clock or chance.
package session

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Time is a moment in ms; it never goes back.
type Time int64

// Value is what stands under a key: a figure, a small number beside it, or a text.
type Value struct {
	Number  float64 `cbor:"1,keyasint,omitempty"`
	Integer int     `cbor:"2,keyasint,omitempty"`
	Text    string  `cbor:"3,keyasint,omitempty"`
}

// Update puts a value under a key, or takes the key away. Keys sort by urgency: those that come first are sent first.
type Update struct {
	Key     string `cbor:"1,keyasint"`
	Deleted bool   `cbor:"2,keyasint,omitempty"`
	Value   Value  `cbor:"3,keyasint,omitempty"`
}

// Reason says why a subscriber is let go.
type Reason string

// Reasons.
const (
	ReasonReplaced         Reason = "replaced" // by a newer connection, or a stream elsewhere, of the same owner
	ReasonUnknownSequence  Reason = "unknown"  // acknowledged a number that was never sent
	ReasonTopicEnded       Reason = "ended"    // the topic has ended
	ReasonTooManyObservers Reason = "crowded"  // more onlookers than a topic may have
)

// Event is one of the structs below, in the order in which they happened.
type Event any

// TopicChanged sets values of a topic. Mark, unless 0, is to be answered once all of it took effect with the owner.
type TopicChanged struct {
	Topic   string
	Updates []Update
	Marker  int
}

// Opened is a connection that subscribes, going on from what took effect with it. An owner is one for each topic; the
// topic lasts while it is there, and for the linger after.
type Opened struct {
	Conn   int
	Topic  string
	Owner  bool
	Epoch  uint64 // 0: nothing took effect
	Seq    uint32
	Credit int // messages that may be on the way to it
}

// Acked says that all up to a number took effect, and that so many more messages may be sent.
type Acked struct {
	Conn        int
	Epoch       uint64
	Seq         uint32
	AddedCredit int
}

// Closed is a connection that ended.
type Closed struct{ Conn int }

// TopicDropped ends a topic: its owner is served elsewhere.
type TopicDropped struct{ Topic string }

// Action is one of the structs below.
type Action any

// Send is a message for a connection. A snapshot stands for all; a change goes on from the number before it.
type Send struct {
	Conn     int
	Epoch    uint64
	Seq      uint32
	Prev     uint32
	Snapshot bool
	Updates  []Update
}

// OwnerJoined says that the owner of a topic is there, and was not: a connection that resumes is no joining.
type OwnerJoined struct {
	Topic string
	Conn  int
}

// OwnerLeft says that the owner has been gone for the linger.
type OwnerLeft struct{ Topic string }

// MarkerAcked is a mark of which all took effect.
type MarkerAcked struct {
	Topic  string
	Marker int
}

// Close ends a connection.
type Close struct {
	Conn   int
	Reason Reason
}

// Config is what Sessions are given once.
type Config struct {
	Epoch                uint64 // of this start; never that of another, and not 0
	Linger               Time   // that an owner may be away
	MaxUpdatesPerMessage int    // sets in a change, at most
	MaxCredit            int
	MaxObservers         int // of a topic, at most
}

// DefaultConfig is the Plan with every figure that may be left out.
func DefaultConfig(epoch uint64) Config {
	return Config{Epoch: max(epoch, 1), Linger: 5000, MaxUpdatesPerMessage: 400, MaxCredit: 16, MaxObservers: 64}
}

// Broker holds all topics.
type Broker struct {
	config  Config
	now     Time
	topics  map[string]*topic
	conns   map[int]*subscriber
	actions []Action
}

type topic struct {
	name           string
	state          map[string]Value
	owner          *subscriber
	subscribers    []*subscriber // the owner too
	ownerAwaySince Time          // since when the owner has no connection; 0: it has one, or there never was one
}

type subscriber struct {
	topic         *topic
	conn          int    // 0: none
	lastSeq       uint32 // given out last
	prevSeq       uint32 // that the next message goes on from
	needsSnapshot bool   // a snapshot is wanted
	dirty         map[string]bool
	markers       []int // to be answered with the next message
	inFlight      []sent
	credit        int
}

type sent struct {
	seq      uint32
	snapshot bool
	keys     []string
	markers  []int
}

// New makes Sessions without topics.
func New(plan Config) *Broker {
	return &Broker{config: plan, topics: map[string]*topic{}, conns: map[int]*subscriber{}}
}

// Step takes what happened and tells what to do.
func (s *Broker) Step(now Time, events []Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	touched := map[*topic]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case TopicChanged:
			touched[s.applyChange(e)] = true
		case Opened:
			touched[s.subscribe(e)] = true
		case Acked:
			if x := s.conns[e.Conn]; x != nil {
				s.handleAck(x, e)
				touched[x.topic] = true
			}
		case Closed:
			if x := s.conns[e.Conn]; x != nil {
				s.disconnect(x)
			}
		case TopicDropped:
			if t := s.topics[e.Topic]; t != nil {
				s.endTopic(t, ReasonReplaced)
			}
		}
	}
	for _, t := range sortedTopics(s.topics) {
		if t.ownerAwaySince > 0 && s.now >= t.ownerAwaySince+s.config.Linger {
			s.actions = append(s.actions, OwnerLeft{t.name})
			s.endTopic(t, ReasonTopicEnded)
		} else if touched[t] {
			for _, x := range t.subscribers {
				s.flush(x)
			}
		}
	}
	return s.actions
}

// NextDeadline is when Step has something to do though nothing happens; false: never.
func (s *Broker) NextDeadline() (at Time, some bool) {
	for _, t := range s.topics {
		if t.ownerAwaySince > 0 && (!some || t.ownerAwaySince+s.config.Linger < at) {
			at, some = t.ownerAwaySince+s.config.Linger, true
		}
	}
	return at, some
}

func sortedTopics(topics map[string]*topic) []*topic {
	return slices.SortedFunc(maps.Values(topics), func(t, u *topic) int { return cmp.Compare(t.name, u.name) })
}

func (s *Broker) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{name: name, state: map[string]Value{}}
		s.topics[name] = t
	}
	return t
}

func (s *Broker) applyChange(e TopicChanged) *topic {
	t := s.topic(e.Topic)
	for _, set := range e.Updates {
		was, there := t.state[set.Key]
		if set.Deleted != there && (set.Deleted || was == set.Value) {
			continue // it stands there, or is gone, already
		}
		if set.Deleted {
			delete(t.state, set.Key)
		} else {
			t.state[set.Key] = set.Value
		}
		for _, x := range t.subscribers {
			x.dirty[set.Key] = true
		}
	}
	if e.Marker != 0 && t.owner != nil {
		t.owner.markers = append(t.owner.markers, e.Marker)
	}
	return t
}

func (s *Broker) subscribe(e Opened) *topic {
	t := s.topic(e.Topic)
	x := &subscriber{topic: t, needsSnapshot: true, dirty: map[string]bool{}}
	switch {
	case !e.Owner && len(t.subscribers) > s.config.MaxObservers:
		s.actions = append(s.actions, Close{e.Conn, ReasonTooManyObservers})
		return t
	case !e.Owner || t.owner == nil:
		t.subscribers = append(t.subscribers, x)
	default: // the newer connection holds, and goes on where the older one was
		if x = t.owner; x.conn != 0 {
			s.actions = append(s.actions, Close{x.conn, ReasonReplaced})
			delete(s.conns, x.conn)
		}
		s.resume(x, e.Epoch, e.Seq)
	}
	if e.Owner {
		if t.owner == nil {
			s.actions = append(s.actions, OwnerJoined{t.name, e.Conn})
		}
		t.owner, t.ownerAwaySince = x, 0
	}
	x.conn, x.credit = e.Conn, min(max(e.Credit, 0), s.config.MaxCredit)
	s.conns[e.Conn] = x
	return t
}

// resume goes on after what took effect: what was sent since is what it may lack.
func (s *Broker) resume(x *subscriber, epoch uint64, seq uint32) {
	at := slices.IndexFunc(x.inFlight, func(m sent) bool { return m.seq == seq })
	first := len(x.inFlight) == 0 && seq == x.lastSeq || len(x.inFlight) > 0 && seq+1 == x.inFlight[0].seq
	if epoch != s.config.Epoch || at < 0 && !first || seq == 0 {
		x.needsSnapshot = true
	} else {
		s.acknowledge(x, at+1)
		x.prevSeq = seq
	}
	for _, m := range x.inFlight {
		x.needsSnapshot = x.needsSnapshot || m.snapshot
		for _, k := range m.keys {
			x.dirty[k] = true
		}
		x.markers = append(m.markers, x.markers...)
	}
	x.inFlight = nil
}

// acknowledge takes so many of what was sent for having taken effect.
func (s *Broker) acknowledge(x *subscriber, n int) {
	for _, m := range x.inFlight[:n] {
		for _, mark := range m.markers {
			s.actions = append(s.actions, MarkerAcked{x.topic.name, mark})
		}
	}
	x.inFlight = slices.Delete(x.inFlight, 0, n)
}

func (s *Broker) handleAck(x *subscriber, e Acked) {
	x.credit = min(x.credit+max(e.AddedCredit, 0), s.config.MaxCredit)
	switch at := slices.IndexFunc(x.inFlight, func(m sent) bool { return m.seq == e.Seq }); {
	case e.Epoch == s.config.Epoch && at >= 0:
		s.acknowledge(x, at+1)
	case e.Epoch == s.config.Epoch && int32(e.Seq-x.lastSeq) > 0: // late ones and repeats are nothing new
		s.actions = append(s.actions, Close{x.conn, ReasonUnknownSequence})
		s.disconnect(x)
	}
}

// disconnect parts a subscriber from its connection. What was on the way to it may have taken effect or not.
func (s *Broker) disconnect(x *subscriber) {
	delete(s.conns, x.conn)
	x.conn, x.credit = 0, 0
	if t := x.topic; x == t.owner {
		t.ownerAwaySince = max(s.now, 1)
	} else {
		t.subscribers = slices.DeleteFunc(t.subscribers, func(y *subscriber) bool { return x == y })
		if t.owner == nil && len(t.subscribers) == 0 && len(t.state) == 0 {
			delete(s.topics, t.name)
		}
	}
}

// endTopic forgets a topic and lets all of it go.
func (s *Broker) endTopic(t *topic, why Reason) {
	for _, x := range t.subscribers {
		if x.conn != 0 {
			s.actions = append(s.actions, Close{x.conn, choose(x == t.owner, why, ReasonTopicEnded)})
			delete(s.conns, x.conn)
		}
	}
	delete(s.topics, t.name)
}

// flush sends what a subscriber may be sent now. An owner is sent nothing before there is something to hold.
func (s *Broker) flush(x *subscriber) {
	for x.conn != 0 && x.credit > 0 {
		keys, ok := s.nextKeys(x)
		if !ok {
			return
		}
		s.sendKeys(x, keys)
	}
}

// nextKeys are the keys of the next message; it reports whether there is one to send.
func (s *Broker) nextKeys(x *subscriber) (keys []string, ok bool) {
	switch {
	case x.needsSnapshot && len(x.topic.state) == 0:
		return nil, false
	case x.needsSnapshot:
		clear(x.dirty)
		return slices.Sorted(maps.Keys(x.topic.state)), true
	case len(x.dirty) > 0:
		if keys = slices.Sorted(maps.Keys(x.dirty)); len(keys) > s.config.MaxUpdatesPerMessage {
			keys = keys[:s.config.MaxUpdatesPerMessage]
		}
		for _, k := range keys {
			delete(x.dirty, k)
		}
		return keys, true
	}
	return nil, len(x.markers) > 0
}

func (s *Broker) sendKeys(x *subscriber, keys []string) {
	m := Send{Conn: x.conn, Epoch: s.config.Epoch, Prev: x.prevSeq, Snapshot: x.needsSnapshot}
	for _, k := range keys {
		v, there := x.topic.state[k]
		m.Updates = append(m.Updates, Update{Key: k, Deleted: !there, Value: v})
	}
	if x.lastSeq++; x.lastSeq == 0 { // numbers are used up: the next one stands for all
		x.lastSeq, x.needsSnapshot, x.inFlight = 1, true, nil
		m.Prev, m.Snapshot = 0, true
		m.Updates = nil
		for _, k := range slices.Sorted(maps.Keys(x.topic.state)) {
			m.Updates = append(m.Updates, Update{Key: k, Value: x.topic.state[k]})
		}
	}
	m.Seq, x.prevSeq = x.lastSeq, x.lastSeq
	f := sent{seq: x.lastSeq, snapshot: m.Snapshot, keys: keys}
	if len(x.dirty) == 0 { // a mark is answered once all before it took effect
		f.markers, x.markers = x.markers, nil
	}
	if m.Snapshot {
		f.keys = nil
	}
	x.inFlight = append(x.inFlight, f)
	x.needsSnapshot, x.credit = false, x.credit-1
	s.actions = append(s.actions, m)
}

// Pending are the sets that a topic's owner has still to be sent, and the messages on the way to it.
func (s *Broker) Pending(topic string) (sets, messages int) {
	if t := s.topics[topic]; t != nil && t.owner != nil {
		sets = len(t.owner.dirty)
		if t.owner.needsSnapshot {
			sets = len(t.state)
		}
		return sets, len(t.owner.inFlight)
	}
	return 0, 0
}

// Size counts what is kept, for a look from outside.
func (s *Broker) Size() (topics, conns, values int) {
	for _, t := range s.topics {
		values += len(t.state)
	}
	return len(s.topics), len(s.conns), values
}

func choose[T any](is bool, yes, no T) T {
	if is {
		return yes
	}
	return no
}

// JoinKey makes a key of its parts, Split takes it apart.
func JoinKey(parts ...string) string { return strings.Join(parts, "\x00") }

// SplitKey gives the parts of a key.
func SplitKey(key string) []string { return strings.Split(key, "\x00") }
