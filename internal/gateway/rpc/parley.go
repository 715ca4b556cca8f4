// Package rpc is what the system's processes say to one another: CBOR messages in frames over TCP, on the first
// port of the machines' range. A carrier keeps a line to every controller that it hears of, a controller one to every
// other. Words are changes, not states, but for the first ones on a new line.
package rpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Most bytes of one frame: a configuration at its largest.
const Most = 16 << 20

// Controller is one of the core's processes. Control is its address for the operator and backends.
type Controller struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint"`
	Control string `cbor:"4,keyasint,omitempty"`
}

// Stamp orders the values of a register: Hi first, then Lo.
type Stamp struct {
	_  struct{} `cbor:",toarray"`
	Hi uint64
	Lo uint64
}

// Less says whether it is older than o.
func (s Stamp) Less(o Stamp) bool { return s.Hi < o.Hi || s.Hi == o.Hi && s.Lo < o.Lo }

// Register is a named value under its stamp.
type Register struct {
	Name  string `cbor:"1,keyasint"`
	Stamp Stamp  `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// Kind of a Ballot.
type Kind uint8

// Kinds: the two questions of a ballot, their answers, and that a higher one was promised.
const (
	Ask Kind = iota + 1
	Promise
	Offer
	Agreed
	Higher
)

// Ballot is a word on a ballot about a register.
type Ballot struct {
	Kind     Kind      `cbor:"1,keyasint"`
	Name     string    `cbor:"2,keyasint"`
	Number   Stamp     `cbor:"3,keyasint"`
	Accepted Stamp     `cbor:"4,keyasint,omitempty"` // in a Promise: the ballot of Value
	Value    *Register `cbor:"5,keyasint,omitempty"` // in a Promise and an Offer
	Age      uint64    `cbor:"6,keyasint,omitempty"` // in a Promise and an Offer: ms since Value was decided, and 1; 0: not known
}

// Copy is a chosen value with its ballot.
type Copy struct {
	Number   Stamp    `cbor:"1,keyasint"`
	Register Register `cbor:"2,keyasint"`
	Age      uint64   `cbor:"3,keyasint,omitempty"` // as in a Ballot
}

// Backend is what a controller says of a backend. State is one of the constants below. ColdLeft is in milliseconds.
type Backend struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Address  string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Capacity int    `cbor:"5,keyasint,omitempty"`
	Seq      uint64 `cbor:"6,keyasint,omitempty"`
	State    State  `cbor:"7,keyasint,omitempty"`
	ColdLeft int    `cbor:"8,keyasint,omitempty"`
	Vouched  bool   `cbor:"9,keyasint,omitempty"` // the speaker hears its beats itself
	Gen      string `cbor:"10,keyasint,omitempty"`
}

// State of a backend. A life only moves on in this order.
type State uint8

// States of a backend.
const (
	Ready State = iota
	Draining
	Gone
)

// Member is a carrier that holds a lease.
type Member struct {
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
}

// Use is what came to a carrier for a service since its last report.
type Use struct {
	Service string  `cbor:"1,keyasint"`
	Came    float64 `cbor:"2,keyasint"`
	Voided  float64 `cbor:"3,keyasint,omitempty"`
}

// Met is what a carrier met at a backend since its last report. Took is the mean, in tenths of a millisecond.
type Met struct {
	ID      string  `cbor:"1,keyasint"`
	Tries   float64 `cbor:"2,keyasint"`
	Voided  float64 `cbor:"3,keyasint,omitempty"`
	Took    int64   `cbor:"4,keyasint,omitempty"`
	Waiting bool    `cbor:"5,keyasint,omitempty"` // it told of requests that wait
}

// Table is what a carrier is to hold for a service: weights by backend (all of them, or those that changed) and its
// level, requests/s (0: unbounded).
type Table struct {
	Service string             `cbor:"1,keyasint"`
	Whole   bool               `cbor:"2,keyasint,omitempty"`
	Weights map[string]float64 `cbor:"3,keyasint,omitempty"`
	Gated   bool               `cbor:"4,keyasint,omitempty"`
	Level   float64            `cbor:"5,keyasint,omitempty"`
}

// Message is one frame. Each use sets a few fields only.
type Message struct {
	// Seq of a question is repeated in its Reply.
	Seq   uint64 `cbor:"1,keyasint,omitempty"`
	Reply uint64 `cbor:"2,keyasint,omitempty"`

	// Hello opens a line: who speaks, and in which life.
	Hello *Hello `cbor:"3,keyasint,omitempty"`

	// Registers, to carriers: values in force, the stamps of what the speaker holds, of what is in force; names of
	// which the value is wanted.
	Offers []Register       `cbor:"4,keyasint,omitempty"`
	Held   map[string]Stamp `cbor:"5,keyasint,omitempty"`
	Safe   map[string]Stamp `cbor:"6,keyasint,omitempty"`
	Want   []string         `cbor:"7,keyasint,omitempty"`

	// Registers, between controllers. Era is the number of the epoch in which all of this is said, Disk the id of the
	// speaker's disk: words of another epoch or of a disk that does not vote count for nothing.
	Era     uint64           `cbor:"27,keyasint,omitempty"`
	Disk    string           `cbor:"28,keyasint,omitempty"`
	Epoch   *Epoch           `cbor:"29,keyasint,omitempty"` // the newest that the speaker knows to be decided
	Ballots []Ballot         `cbor:"30,keyasint,omitempty"`
	Chosen  map[string]Stamp `cbor:"31,keyasint,omitempty"` // ballots whose values are chosen
	Copies  []Copy           `cbor:"32,keyasint,omitempty"` // values that are chosen
	Has     map[string]Stamp `cbor:"33,keyasint,omitempty"` // ballots that the speaker's disk has accepted
	All     bool             `cbor:"9,keyasint,omitempty"`  // Has names all that it has; to carriers: the speaker votes and is in touch
	Ask     bool             `cbor:"8,keyasint,omitempty"`  // for Has, with All
	Round   uint64           `cbor:"24,keyasint,omitempty"` // of an Ask or a Ping, repeated in its answer
	Ping    bool             `cbor:"34,keyasint,omitempty"`
	Pong    bool             `cbor:"35,keyasint,omitempty"`
	Leaving bool             `cbor:"36,keyasint,omitempty"` // the speaker hands over and ends
	Apart   bool             `cbor:"37,keyasint,omitempty"` // the speaker has no contact with a majority: what it says is old

	// Know are all controllers that were heard of.
	Know []Controller `cbor:"11,keyasint,omitempty"`

	// Backends that changed.
	Backends []Backend `cbor:"13,keyasint,omitempty"`
	Settled  bool      `cbor:"14,keyasint,omitempty"` // the speaker knows what others know of backends

	// Leases and their renewal; what came and was met goes along to the zone's controller.
	Renew   uint64   `cbor:"15,keyasint,omitempty"`
	Renewed uint64   `cbor:"16,keyasint,omitempty"`
	Members []Member `cbor:"17,keyasint,omitempty"`
	Uses    []Use    `cbor:"18,keyasint,omitempty"`
	Met     []Met    `cbor:"19,keyasint,omitempty"`
	Spent   float64  `cbor:"20,keyasint,omitempty"` // seconds that Uses and Met cover
	Steer   bool     `cbor:"21,keyasint,omitempty"` // the speaker wants its tables from this controller
	Tables  []Table  `cbor:"22,keyasint,omitempty"`
	Came    []Member `cbor:"25,keyasint,omitempty"` // since the Members of the line's first word
	Went    []string `cbor:"26,keyasint,omitempty"`
	Leave   bool     `cbor:"23,keyasint,omitempty"` // the lease is given back
}

// Hello says who opens a line. A carrier has no Control address.
type Hello struct {
	Who     Controller `cbor:"1,keyasint"`
	Life    uint64     `cbor:"2,keyasint"`
	Carrier bool       `cbor:"3,keyasint,omitempty"`
	Disk    string     `cbor:"4,keyasint,omitempty"` // a controller's
	Blank   bool       `cbor:"5,keyasint,omitempty"` // its disk may have forgotten that there is an epoch
}

// Line is one connection. Send is safe for many goroutines and never waits for the other side: what it has no room
// for ends the line, as a reader that has fallen so far behind is better off with the first words of a new one.
type Line struct {
	conn   net.Conn
	read   *bufio.Reader
	mu     sync.Mutex
	queue  []byte
	busy   bool
	closed bool
	ended  bool
	wake   chan struct{}
	done   chan struct{}
}

const queueMost = 24 << 20

// NewLine makes a line of a connection. Its writer ends with Close.
func NewLine(c net.Conn) *Line {
	l := &Line{conn: c, read: bufio.NewReaderSize(c, 4096), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go l.write()
	return l
}

// Remote is the other side's address.
func (l *Line) Remote() string { return l.conn.RemoteAddr().String() }

// Send queues a message.
func (l *Line) Send(m *Message) { l.SendPacked(Pack(m)) }

// Pack makes a message's frame once, for many lines.
func Pack(m *Message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("parley: %v", err)) // the types above are all plain
	}
	return body
}

// SendPacked queues a frame that Pack made.
func (l *Line) SendPacked(body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if len(l.queue)+len(body) > queueMost {
		l.closed = true
		_ = l.conn.Close()
		return
	}
	l.queue = binary.AppendUvarint(l.queue, uint64(len(body)))
	l.queue = append(l.queue, body...)
	if !l.busy {
		l.busy = true
		l.wake <- struct{}{}
	}
}

func (l *Line) write() {
	var spare []byte
	for {
		select {
		case <-l.wake:
		case <-l.done:
			return
		}
		for {
			l.mu.Lock()
			out := l.queue
			if len(out) == 0 || l.closed {
				l.busy = false
				l.mu.Unlock()
				break
			}
			l.queue = spare[:0]
			l.mu.Unlock()
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeFor))
			if _, err := l.conn.Write(out); err != nil {
				l.Close()
				return
			}
			if spare = out; cap(spare) > 64<<10 {
				spare = nil
			}
		}
	}
}

const writeFor = 5 * time.Second

// Receive waits for the next message, for silence at most (0: for ever).
func (l *Line) Receive(silence time.Duration) (*Message, error) {
	if silence > 0 {
		_ = l.conn.SetReadDeadline(time.Now().Add(silence))
	}
	n, err := binary.ReadUvarint(l.read)
	if err != nil {
		return nil, err
	}
	if n > Most {
		return nil, fmt.Errorf("a frame of %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(l.read, body); err != nil {
		return nil, err
	}
	m := &Message{}
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, err
	}
	return m, nil
}

// Close ends the line at both sides.
func (l *Line) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed = true; !l.ended {
		l.ended = true
		close(l.done)
	}
	_ = l.conn.Close()
}
