// Package pubsub serves the pub-sub channel: what the desk orders for a proxy is a topic of values, which subscribers
// are kept up with over WebSocket, in cbor. docs/channel.md has the protocol. What is sent to whom is settled in
// channel/session; one goroutine, the hub, owns that, and the desk never waits for it.
package pubsub

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controller/pubsub/session"
)

// Version of the protocol. Another one is refused.
const Version = 1

// Protocol is the WebSocket subprotocol.
const Protocol = "elmfold.channel.v1"

// Kinds of message: the first byte; cbor follows.
const (
	KindHello         = 'H'
	KindAck           = 'A'
	KindUsageReport   = 'U'
	KindBackendReport = 'R'
	KindSnapshot      = 'S'
	KindChange        = 'C'
	KindError         = 'E'
)

// Topics.
const (
	OrdersTopicPrefix  = "orders/"  // and the number of a proxy
	ReportsTopicPrefix = "reports/" // and a zone: published to, never sent
	ListTopic          = "list"
	DecisionsTopic     = "decisions" // reliefs, total, knee and pace
)

// Hello opens a connection: it names a topic and what took effect of it. Own says that the proxy of the topic itself
// speaks; Zone and Rate are then its zone and about how many txns it gets a second.
type Hello struct {
	Version int     `cbor:"1,keyasint"`
	Topic   string  `cbor:"2,keyasint"`
	Owner   bool    `cbor:"3,keyasint,omitempty"`
	Zone    string  `cbor:"4,keyasint,omitempty"`
	Rate    float64 `cbor:"5,keyasint,omitempty"`
	Epoch   uint64  `cbor:"6,keyasint,omitempty"`
	Seq     uint32  `cbor:"7,keyasint,omitempty"`
	Credit  int     `cbor:"8,keyasint"`
}

// Ack says that all up to a number took effect, and that so many more messages may come.
type Ack struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Seq         uint32 `cbor:"2,keyasint"`
	AddedCredit int    `cbor:"3,keyasint,omitempty"`
}

// UsageReport sums the txns of a product that came to the proxy in so many ms.
type UsageReport struct {
	Product string  `cbor:"1,keyasint"`
	Txns    float64 `cbor:"2,keyasint"`
	Failed  float64 `cbor:"3,keyasint,omitempty"`
	Millis  float64 `cbor:"4,keyasint"`
}

// BackendReport sums what the proxies of a zone met at a backend in so many ms; Took is the mean time of answers in ms.
type BackendReport struct {
	Backend  string  `cbor:"1,keyasint"`
	Attempts float64 `cbor:"2,keyasint"`
	Failed   float64 `cbor:"3,keyasint,omitempty"`
	Latency  float64 `cbor:"4,keyasint,omitempty"`
	Millis   float64 `cbor:"5,keyasint"`
}

// Message is a snapshot or a change.
type Message struct {
	Epoch   uint64           `cbor:"1,keyasint"`
	Seq     uint32           `cbor:"2,keyasint"`
	Prev    uint32           `cbor:"3,keyasint,omitempty"`
	Updates []session.Update `cbor:"4,keyasint"`
}

// Error says why a connection ends.
type Error struct {
	Code string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint,omitempty"`
}

// Codes of Error, beside the reasons of a session.
const (
	CodeVersion            = "version"  // another version of the protocol
	CodeTopic              = "topic"    // no such topic, or not for the one that asks
	CodeMessage            = "message"  // what came is no message of the protocol
	CodeNotOwner           = "not-own"  // it publishes what only another may
	CodeTooManyConnections = "crowded"  // no more connections are taken
	CodeRefused            = "refused"  // a proxy or zone that the settings do not have
	CodeHelloTimeout       = "silent"   // no hello in time
	CodeWriteTimeout       = "unread"   // what is sent is not read in time
	CodeStopped            = "stopping" // the controller ends
)

// Encode writes a message of a kind.
func Encode(kind byte, v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // none of ours is unwritable
	}
	return append([]byte{kind}, body...)
}

var errInvalidMessage = errors.New("no message of this protocol")

// Decode reads one. What it gives is a Hello, Ack, Used, Heard, Error, or a session.Send.
func Decode(text []byte) (any, error) {
	if len(text) == 0 {
		return nil, errInvalidMessage
	}
	read := func(v any) error {
		if err := cbor.Unmarshal(text[1:], v); err != nil {
			return fmt.Errorf("%w: %w", errInvalidMessage, err)
		}
		return nil
	}
	switch text[0] {
	case KindHello:
		var h Hello
		err := read(&h)
		return h, err
	case KindAck:
		var a Ack
		err := read(&a)
		return a, err
	case KindUsageReport:
		var u UsageReport
		err := read(&u)
		return u, err
	case KindBackendReport:
		var h BackendReport
		err := read(&h)
		return h, err
	case KindError:
		var e Error
		err := read(&e)
		return e, err
	case KindSnapshot, KindChange:
		var m Message
		err := read(&m)
		snapshot := text[0] == KindSnapshot
		return session.Send{Epoch: m.Epoch, Seq: m.Seq, Prev: m.Prev, Snapshot: snapshot, Updates: m.Updates}, err
	}
	return nil, fmt.Errorf("%w: kind %q", errInvalidMessage, text[0])
}

func encodeSend(m session.Send) []byte {
	kind := byte(KindChange)
	if m.Snapshot {
		kind = KindSnapshot
	}
	return Encode(kind, Message{Epoch: m.Epoch, Seq: m.Seq, Prev: m.Prev, Updates: m.Updates})
}

// Keys of a topic of orders, the most urgent first: who is shut out, lines, gates.
const (
	withdrawnPrefix = "a"
	weightPrefix    = "b"
	admissionPrefix = "c"
)

// WithdrawnKey stands while a backend is shut out.
func WithdrawnKey(backend string) string { return session.JoinKey(withdrawnPrefix, backend) }

// WeightKey holds the weight of a backend's line for a product.
func WeightKey(product, backend string) string {
	return session.JoinKey(weightPrefix, product, backend)
}

// AdmissionKey holds the level of a product and its way of trying again.
func AdmissionKey(product string) string { return session.JoinKey(admissionPrefix, product) }

// RoutingTable is what a proxy goes by for a product.
type RoutingTable struct {
	Weights   map[string]float64
	RateLimit float64 // below 0: none was set
	Retries   int
}

// RoutingTables reads the values of a topic of orders: who is shut out, and a table by product.
func RoutingTables(state map[string]session.Value) (out map[string]bool, tables map[string]*RoutingTable) {
	out, tables = map[string]bool{}, map[string]*RoutingTable{}
	table := func(product string) *RoutingTable {
		if tables[product] == nil {
			tables[product] = &RoutingTable{Weights: map[string]float64{}, RateLimit: -1}
		}
		return tables[product]
	}
	for key, v := range state {
		switch parts := session.SplitKey(key); {
		case len(parts) == 2 && parts[0] == withdrawnPrefix:
			out[parts[1]] = true
		case len(parts) == 3 && parts[0] == weightPrefix:
			table(parts[1]).Weights[parts[2]] = v.Number
		case len(parts) == 2 && parts[0] == admissionPrefix:
			t := table(parts[1])
			t.RateLimit, t.Retries = v.Number, v.Integer
		}
	}
	return out, tables
}

// proxyOfTopic reads the number of a topic of orders.
func proxyOfTopic(topic string) (int, bool) {
	text, ok := strings.CutPrefix(topic, OrdersTopicPrefix)
	n, err := strconv.Atoi(text)
	return n, ok && err == nil && n >= 0 && strconv.Itoa(n) == text
}
