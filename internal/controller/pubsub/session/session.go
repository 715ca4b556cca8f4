// Package session decides which messages each subscriber of a topic is sent. A topic is a key-value map. A subscriber
// receives either a snapshot of the whole map or a delta with the keys that changed. Pending changes of one key are
// coalesced, so the backlog of a slow subscriber never exceeds the topic itself. Unacknowledged values are sent again
// after a reconnect, under a new sequence number; a subscriber applies each sequence number once.
//
// The package is deterministic: it uses no sockets, no clock and no randomness.
package session

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Time is a monotonic time in milliseconds.
type Time int64

// Value is the value of a key: any combination of a number, an integer and a text.
type Value struct {
	Number  float64 `cbor:"1,keyasint,omitempty"`
	Integer int     `cbor:"2,keyasint,omitempty"`
	Text    string  `cbor:"3,keyasint,omitempty"`
}

// Update sets or deletes a key. Updates are sent in the order of their keys, so urgent keys must sort first.
type Update struct {
	Key     string `cbor:"1,keyasint"`
	Deleted bool   `cbor:"2,keyasint,omitempty"`
	Value   Value  `cbor:"3,keyasint,omitempty"`
}

// Reason is the reason for which a connection is closed.
type Reason string

// Reasons for closing a connection.
const (
	ReasonReplaced         Reason = "replaced" // by a newer connection of the owner, here or on another controller
	ReasonUnknownSequence  Reason = "unknown"  // the subscriber acknowledged a sequence number that was never sent
	ReasonTopicEnded       Reason = "ended"    // the topic has ended
	ReasonTooManyObservers Reason = "crowded"  // the topic has reached its limit of observers
)

// Event is an input of Broker.Step: TopicChanged, Opened, Acked, Closed or TopicDropped.
type Event any

// TopicChanged updates values of a topic. A Marker other than 0 is reported by MarkerAcked once the owner has
// acknowledged all of the updates.
type TopicChanged struct {
	Topic   string
	Updates []Update
	Marker  int
}

// Opened is a new connection that subscribes to a topic from the position it last applied. A topic has at most one
// owner; other subscribers are observers. The topic ends once the owner has been disconnected for Config.Linger.
type Opened struct {
	Conn   int
	Topic  string
	Owner  bool
	Epoch  uint64 // 0: nothing was applied
	Seq    uint32
	Credit int // messages that may be sent without an acknowledgement
}

// Acked acknowledges all messages up to a sequence number and grants credit for more.
type Acked struct {
	Conn        int
	Epoch       uint64
	Seq         uint32
	AddedCredit int
}

// Closed is the end of a connection.
type Closed struct{ Conn int }

// TopicDropped ends a topic whose owner is served by another controller.
type TopicDropped struct{ Topic string }

// Action is an output of Broker.Step: Send, OwnerJoined, OwnerLeft, MarkerAcked or Close.
type Action any

// Send is a message to a connection. A snapshot replaces the whole state; a delta applies on top of message Prev.
type Send struct {
	Conn     int
	Epoch    uint64
	Seq      uint32
	Prev     uint32
	Snapshot bool
	Updates  []Update
}

// OwnerJoined reports the first connection of a topic's owner. A reconnect before OwnerLeft does not repeat it.
type OwnerJoined struct {
	Topic string
	Conn  int
}

// OwnerLeft reports that the owner has been disconnected for Config.Linger.
type OwnerLeft struct{ Topic string }

// MarkerAcked reports that the owner acknowledged all updates up to a marker.
type MarkerAcked struct {
	Topic  string
	Marker int
}

// Close closes a connection.
type Close struct {
	Conn   int
	Reason Reason
}

// Config is the configuration of a Broker.
type Config struct {
	Epoch                uint64 // identifies this start of the controller; unique and not 0
	Linger               Time   // how long an owner may be disconnected before its topic ends
	MaxUpdatesPerMessage int    // limit for a delta; a snapshot is always complete
	MaxCredit            int
	MaxObservers         int // per topic
}

// DefaultConfig returns the default configuration for an epoch.
func DefaultConfig(epoch uint64) Config {
	return Config{Epoch: max(epoch, 1), Linger: 5000, MaxUpdatesPerMessage: 400, MaxCredit: 16, MaxObservers: 64}
}

// Broker holds all topics and their subscribers.
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
	subscribers    []*subscriber // includes the owner
	ownerAwaySince Time          // when the owner disconnected; 0: it is connected, or there never was an owner
}

type subscriber struct {
	topic         *topic
	conn          int    // 0: disconnected
	lastSeq       uint32 // last sequence number assigned
	prevSeq       uint32 // Prev of the next message
	needsSnapshot bool
	dirty         map[string]bool // keys changed since they were last sent
	markers       []int           // to be attached to the next message that leaves no dirty keys
	inFlight      []sentMessage   // sent and not acknowledged
	credit        int
}

// sentMessage is a message that was sent and is not acknowledged.
type sentMessage struct {
	seq      uint32
	snapshot bool
	keys     []string
	markers  []int
}

// New returns a Broker without topics.
func New(config Config) *Broker {
	return &Broker{config: config, topics: map[string]*topic{}, conns: map[int]*subscriber{}}
}

// Step processes events in order and returns the actions to take. If now is earlier than in a previous call, Step uses
// the previous time.
func (b *Broker) Step(now Time, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	touched := map[*topic]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case TopicChanged:
			touched[b.applyChange(e)] = true
		case Opened:
			touched[b.subscribe(e)] = true
		case Acked:
			if sub := b.conns[e.Conn]; sub != nil {
				b.handleAck(sub, e)
				touched[sub.topic] = true
			}
		case Closed:
			if sub := b.conns[e.Conn]; sub != nil {
				b.disconnect(sub)
			}
		case TopicDropped:
			if t := b.topics[e.Topic]; t != nil {
				b.endTopic(t, ReasonReplaced)
			}
		}
	}
	for _, t := range sortedTopics(b.topics) {
		if t.ownerAwaySince > 0 && b.now >= t.ownerAwaySince+b.config.Linger {
			b.actions = append(b.actions, OwnerLeft{t.name})
			b.endTopic(t, ReasonTopicEnded)
		} else if touched[t] {
			for _, sub := range t.subscribers {
				b.flush(sub)
			}
		}
	}
	return b.actions
}

// NextDeadline returns the time by which Step has to be called even without events; ok is false if there is none.
func (b *Broker) NextDeadline() (deadline Time, ok bool) {
	for _, t := range b.topics {
		if t.ownerAwaySince > 0 && (!ok || t.ownerAwaySince+b.config.Linger < deadline) {
			deadline, ok = t.ownerAwaySince+b.config.Linger, true
		}
	}
	return deadline, ok
}

func sortedTopics(topics map[string]*topic) []*topic {
	return slices.SortedFunc(maps.Values(topics), func(t, u *topic) int { return cmp.Compare(t.name, u.name) })
}

func (b *Broker) getOrCreateTopic(name string) *topic {
	t := b.topics[name]
	if t == nil {
		t = &topic{name: name, state: map[string]Value{}}
		b.topics[name] = t
	}
	return t
}

func (b *Broker) applyChange(e TopicChanged) *topic {
	t := b.getOrCreateTopic(e.Topic)
	for _, update := range e.Updates {
		old, exists := t.state[update.Key]
		if update.Deleted != exists && (update.Deleted || old == update.Value) {
			continue // no change
		}
		if update.Deleted {
			delete(t.state, update.Key)
		} else {
			t.state[update.Key] = update.Value
		}
		for _, sub := range t.subscribers {
			sub.dirty[update.Key] = true
		}
	}
	if e.Marker != 0 && t.owner != nil {
		t.owner.markers = append(t.owner.markers, e.Marker)
	}
	return t
}

func (b *Broker) subscribe(e Opened) *topic {
	t := b.getOrCreateTopic(e.Topic)
	sub := &subscriber{topic: t, needsSnapshot: true, dirty: map[string]bool{}}
	switch {
	case !e.Owner && len(t.subscribers) > b.config.MaxObservers:
		b.actions = append(b.actions, Close{e.Conn, ReasonTooManyObservers})
		return t
	case !e.Owner || t.owner == nil:
		t.subscribers = append(t.subscribers, sub)
	default: // the newer connection replaces the older one and resumes its position
		if sub = t.owner; sub.conn != 0 {
			b.actions = append(b.actions, Close{sub.conn, ReasonReplaced})
			delete(b.conns, sub.conn)
		}
		b.resume(sub, e.Epoch, e.Seq)
	}
	if e.Owner {
		if t.owner == nil {
			b.actions = append(b.actions, OwnerJoined{t.name, e.Conn})
		}
		t.owner, t.ownerAwaySince = sub, 0
	}
	sub.conn, sub.credit = e.Conn, min(max(e.Credit, 0), b.config.MaxCredit)
	b.conns[e.Conn] = sub
	return t
}

// resume continues the stream of an owner after the last message that it applied. The keys of later messages are sent
// again. If the position is unknown or a snapshot was lost, the next message is a snapshot.
func (b *Broker) resume(sub *subscriber, epoch uint64, seq uint32) {
	index := slices.IndexFunc(sub.inFlight, func(m sentMessage) bool { return m.seq == seq })
	// The owner applied none of the messages in flight, and all messages before them.
	noneApplied := len(sub.inFlight) == 0 && seq == sub.lastSeq || len(sub.inFlight) > 0 && seq+1 == sub.inFlight[0].seq
	if epoch != b.config.Epoch || index < 0 && !noneApplied || seq == 0 {
		sub.needsSnapshot = true
	} else {
		b.acknowledge(sub, index+1)
		sub.prevSeq = seq
	}
	for _, m := range sub.inFlight {
		sub.needsSnapshot = sub.needsSnapshot || m.snapshot
		for _, k := range m.keys {
			sub.dirty[k] = true
		}
		sub.markers = append(m.markers, sub.markers...)
	}
	sub.inFlight = nil
}

// acknowledge removes the first count messages in flight and reports their markers.
func (b *Broker) acknowledge(sub *subscriber, count int) {
	for _, m := range sub.inFlight[:count] {
		for _, marker := range m.markers {
			b.actions = append(b.actions, MarkerAcked{sub.topic.name, marker})
		}
	}
	sub.inFlight = slices.Delete(sub.inFlight, 0, count)
}

func (b *Broker) handleAck(sub *subscriber, e Acked) {
	sub.credit = min(sub.credit+max(e.AddedCredit, 0), b.config.MaxCredit)
	switch index := slices.IndexFunc(sub.inFlight, func(m sentMessage) bool { return m.seq == e.Seq }); {
	case e.Epoch == b.config.Epoch && index >= 0:
		b.acknowledge(sub, index+1)
	case e.Epoch == b.config.Epoch && int32(e.Seq-sub.lastSeq) > 0: // never sent; lower ones are late or repeated
		b.actions = append(b.actions, Close{sub.conn, ReasonUnknownSequence})
		b.disconnect(sub)
	}
}

// disconnect detaches a subscriber from its connection. An owner keeps its messages in flight, as it may resume; an
// observer is removed.
func (b *Broker) disconnect(sub *subscriber) {
	delete(b.conns, sub.conn)
	sub.conn, sub.credit = 0, 0
	if t := sub.topic; sub == t.owner {
		t.ownerAwaySince = max(b.now, 1)
	} else {
		t.subscribers = slices.DeleteFunc(t.subscribers, func(other *subscriber) bool { return sub == other })
		if t.owner == nil && len(t.subscribers) == 0 && len(t.state) == 0 {
			delete(b.topics, t.name)
		}
	}
}

// endTopic removes a topic and closes its connections, that of the owner with ownerReason.
func (b *Broker) endTopic(t *topic, ownerReason Reason) {
	for _, sub := range t.subscribers {
		if sub.conn != 0 {
			b.actions = append(b.actions, Close{sub.conn, choose(sub == t.owner, ownerReason, ReasonTopicEnded)})
			delete(b.conns, sub.conn)
		}
	}
	delete(b.topics, t.name)
}

// flush sends pending messages to a subscriber as far as its credit allows.
func (b *Broker) flush(sub *subscriber) {
	for sub.conn != 0 && sub.credit > 0 {
		keys, ok := b.nextKeys(sub)
		if !ok {
			return
		}
		b.sendKeys(sub, keys)
	}
}

// nextKeys returns the keys of the next message; ok is false if there is nothing to send. A snapshot of an empty topic
// is not sent.
func (b *Broker) nextKeys(sub *subscriber) (keys []string, ok bool) {
	switch {
	case sub.needsSnapshot && len(sub.topic.state) == 0:
		return nil, false
	case sub.needsSnapshot:
		clear(sub.dirty)
		return slices.Sorted(maps.Keys(sub.topic.state)), true
	case len(sub.dirty) > 0:
		if keys = slices.Sorted(maps.Keys(sub.dirty)); len(keys) > b.config.MaxUpdatesPerMessage {
			keys = keys[:b.config.MaxUpdatesPerMessage]
		}
		for _, k := range keys {
			delete(sub.dirty, k)
		}
		return keys, true
	}
	return nil, len(sub.markers) > 0
}

// sendKeys sends the current values of keys as the next message.
func (b *Broker) sendKeys(sub *subscriber, keys []string) {
	m := Send{Conn: sub.conn, Epoch: b.config.Epoch, Prev: sub.prevSeq, Snapshot: sub.needsSnapshot}
	for _, k := range keys {
		v, exists := sub.topic.state[k]
		m.Updates = append(m.Updates, Update{Key: k, Deleted: !exists, Value: v})
	}
	if sub.lastSeq++; sub.lastSeq == 0 { // the sequence number wrapped around: restart with a snapshot
		sub.lastSeq, sub.needsSnapshot, sub.inFlight = 1, true, nil
		m.Prev, m.Snapshot = 0, true
		m.Updates = nil
		for _, k := range slices.Sorted(maps.Keys(sub.topic.state)) {
			m.Updates = append(m.Updates, Update{Key: k, Value: sub.topic.state[k]})
		}
	}
	m.Seq, sub.prevSeq = sub.lastSeq, sub.lastSeq
	sent := sentMessage{seq: sub.lastSeq, snapshot: m.Snapshot, keys: keys}
	if len(sub.dirty) == 0 { // a marker covers all updates before it, so it waits for the last of them
		sent.markers, sub.markers = sub.markers, nil
	}
	if m.Snapshot {
		sent.keys = nil // a lost snapshot is replaced by another one
	}
	sub.inFlight = append(sub.inFlight, sent)
	sub.needsSnapshot, sub.credit = false, sub.credit-1
	b.actions = append(b.actions, m)
}

// Pending returns the number of updates that are still to be sent to a topic's owner, and of messages in flight to it.
func (b *Broker) Pending(topic string) (updates, messages int) {
	if t := b.topics[topic]; t != nil && t.owner != nil {
		updates = len(t.owner.dirty)
		if t.owner.needsSnapshot {
			updates = len(t.state)
		}
		return updates, len(t.owner.inFlight)
	}
	return 0, 0
}

// Size returns the number of topics, connections and values held.
func (b *Broker) Size() (topics, conns, values int) {
	for _, t := range b.topics {
		values += len(t.state)
	}
	return len(b.topics), len(b.conns), values
}

func choose[T any](condition bool, ifTrue, ifFalse T) T {
	if condition {
		return ifTrue
	}
	return ifFalse
}

// JoinKey builds a key from its parts, separated by NUL bytes.
func JoinKey(parts ...string) string { return strings.Join(parts, "\x00") }

// SplitKey returns the parts of a key built by JoinKey.
func SplitKey(key string) []string { return strings.Split(key, "\x00") }
