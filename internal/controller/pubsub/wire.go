// Package pubsub publishes the routing state of each proxy as a topic of keyed values. Subscribers receive a topic over
// WebSocket, encoded as CBOR; docs/channel.md describes the protocol. Package session decides which messages each
// subscriber is sent. One goroutine, started by Listen, owns the sessions; the event loop never waits for it.
package pubsub

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controller/pubsub/session"
)

// Version is the protocol version. The hub refuses a client with a different version.
const Version = 1

// Protocol is the name of the WebSocket subprotocol.
const Protocol = "elmfold.channel.v1"

// Message kinds. The first byte of a message is its kind; the rest is CBOR.
const (
	KindHello         = 'H'
	KindAck           = 'A'
	KindUsageReport   = 'U'
	KindBackendReport = 'R'
	KindSnapshot      = 'S'
	KindChange        = 'C'
	KindError         = 'E'
)

// Topics and topic prefixes.
const (
	OrdersTopicPrefix  = "orders/"  // followed by a proxy number
	ReportsTopicPrefix = "reports/" // followed by a zone; collectors publish to it, nobody subscribes
	ListTopic          = "list"
	DecisionsTopic     = "decisions" // the facts of package warmstart, except usage
)

// Hello is the first message of a client. It names a topic and the last message that the client applied. Owner is set
// by the proxy that the topic belongs to; Zone and Rate are then its zone and its approximate transactions per second.
// The hub sends at most Credit messages until an Ack adds credit.
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

// Ack confirms that the client applied all messages up to Seq, and lets the hub send AddedCredit more messages.
type Ack struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Seq         uint32 `cbor:"2,keyasint"`
	AddedCredit int    `cbor:"3,keyasint,omitempty"`
}

// UsageReport counts the transactions of a product that a proxy received within Millis.
type UsageReport struct {
	Product string  `cbor:"1,keyasint"`
	Txns    float64 `cbor:"2,keyasint"`
	Failed  float64 `cbor:"3,keyasint,omitempty"`
	Millis  float64 `cbor:"4,keyasint"`
}

// BackendReport summarizes the attempts of the proxies of a zone at a backend within Millis. Latency is the mean
// response time in milliseconds.
type BackendReport struct {
	Backend  string  `cbor:"1,keyasint"`
	Attempts float64 `cbor:"2,keyasint"`
	Failed   float64 `cbor:"3,keyasint,omitempty"`
	Latency  float64 `cbor:"4,keyasint,omitempty"`
	Millis   float64 `cbor:"5,keyasint"`
}

// Message is the body of a snapshot or a change. A change applies to the state after message Prev.
type Message struct {
	Epoch   uint64           `cbor:"1,keyasint"`
	Seq     uint32           `cbor:"2,keyasint"`
	Prev    uint32           `cbor:"3,keyasint,omitempty"`
	Updates []session.Update `cbor:"4,keyasint"`
}

// Error tells the client why the hub closes its connection.
type Error struct {
	Code string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint,omitempty"`
}

// Error codes. Error also carries the values of session.Reason.
const (
	CodeVersion            = "version"  // the client has a different protocol version
	CodeTopic              = "topic"    // the topic is unknown or not open to this client
	CodeMessage            = "message"  // the message is malformed or invalid
	CodeNotOwner           = "not-own"  // the client may not publish this kind of message
	CodeTooManyConnections = "crowded"  // the connection limit is reached
	CodeRefused            = "refused"  // the proxy or zone is not in the settings
	CodeHelloTimeout       = "silent"   // no hello arrived in time
	CodeWriteTimeout       = "unread"   // the client did not read a message in time
	CodeStopped            = "stopping" // the controller shuts down
)

// Encode returns a message of a kind with v as its body. It panics if v has no CBOR encoding.
func Encode(kind byte, v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // every message type of the protocol can be encoded
	}
	return append([]byte{kind}, body...)
}

var errInvalidMessage = errors.New("invalid protocol message")

// Decode parses a message. The result is a Hello, Ack, UsageReport, BackendReport, Error or session.Send.
func Decode(message []byte) (any, error) {
	if len(message) == 0 {
		return nil, errInvalidMessage
	}
	read := func(v any) error {
		if err := cbor.Unmarshal(message[1:], v); err != nil {
			return fmt.Errorf("%w: %w", errInvalidMessage, err)
		}
		return nil
	}
	switch message[0] {
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
		var r BackendReport
		err := read(&r)
		return r, err
	case KindError:
		var e Error
		err := read(&e)
		return e, err
	case KindSnapshot, KindChange:
		var m Message
		err := read(&m)
		snapshot := message[0] == KindSnapshot
		return session.Send{Epoch: m.Epoch, Seq: m.Seq, Prev: m.Prev, Snapshot: snapshot, Updates: m.Updates}, err
	}
	return nil, fmt.Errorf("%w: kind %q", errInvalidMessage, message[0])
}

func encodeSend(send session.Send) []byte {
	kind := byte(KindChange)
	if send.Snapshot {
		kind = KindSnapshot
	}
	return Encode(kind, Message{Epoch: send.Epoch, Seq: send.Seq, Prev: send.Prev, Updates: send.Updates})
}

// Key prefixes of an orders topic. Keys are sent in sort order, so the most urgent prefix sorts first.
const (
	withdrawnPrefix = "a"
	weightPrefix    = "b"
	admissionPrefix = "c"
)

// WithdrawnKey is present while a backend is withdrawn from routing.
func WithdrawnKey(backend string) string { return session.JoinKey(withdrawnPrefix, backend) }

// WeightKey holds the routing weight of a backend for a product.
func WeightKey(product, backend string) string {
	return session.JoinKey(weightPrefix, product, backend)
}

// AdmissionKey holds the rate limit and the retries of a product.
func AdmissionKey(product string) string { return session.JoinKey(admissionPrefix, product) }

// RoutingTable holds the routing state of a proxy for one product.
type RoutingTable struct {
	Weights   map[string]float64
	RateLimit float64 // negative if unset
	Retries   int
}

// RoutingTables converts the values of an orders topic to the withdrawn backends and the routing tables by product.
func RoutingTables(state map[string]session.Value) (withdrawn map[string]bool, tables map[string]*RoutingTable) {
	withdrawn, tables = map[string]bool{}, map[string]*RoutingTable{}
	table := func(product string) *RoutingTable {
		if tables[product] == nil {
			tables[product] = &RoutingTable{Weights: map[string]float64{}, RateLimit: -1}
		}
		return tables[product]
	}
	for key, value := range state {
		switch parts := session.SplitKey(key); {
		case len(parts) == 2 && parts[0] == withdrawnPrefix:
			withdrawn[parts[1]] = true
		case len(parts) == 3 && parts[0] == weightPrefix:
			table(parts[1]).Weights[parts[2]] = value.Number
		case len(parts) == 2 && parts[0] == admissionPrefix:
			t := table(parts[1])
			t.RateLimit, t.Retries = value.Number, value.Integer
		}
	}
	return withdrawn, tables
}

// proxyOfTopic returns the proxy number of an orders topic; it returns false for any other topic.
func proxyOfTopic(topic string) (int, bool) {
	text, ok := strings.CutPrefix(topic, OrdersTopicPrefix)
	n, err := strconv.Atoi(text)
	return n, ok && err == nil && n >= 0 && strconv.Itoa(n) == text
}
