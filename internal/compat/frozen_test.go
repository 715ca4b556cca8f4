package compat_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/simulation"
)

// The types below are the messages of d330930 with their original names. They are a fixture and must not be changed.

type oldController struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint"`
	Control string `cbor:"4,keyasint,omitempty"`
}

type oldStamp struct {
	_  struct{} `cbor:",toarray"`
	Hi uint64
	Lo uint64
}

func (s oldStamp) less(o oldStamp) bool { return s.Hi < o.Hi || s.Hi == o.Hi && s.Lo < o.Lo }

type oldRegister struct {
	Name  string   `cbor:"1,keyasint"`
	Stamp oldStamp `cbor:"2,keyasint"`
	Value []byte   `cbor:"3,keyasint,omitempty"`
}

const (
	oldAsk uint8 = iota + 1
	oldPromise
	oldOffer
	oldAgreed
	oldHigher
)

type oldBallot struct {
	Kind     uint8        `cbor:"1,keyasint"`
	Name     string       `cbor:"2,keyasint"`
	Number   oldStamp     `cbor:"3,keyasint"`
	Accepted oldStamp     `cbor:"4,keyasint,omitempty"`
	Value    *oldRegister `cbor:"5,keyasint,omitempty"`
	Age      uint64       `cbor:"6,keyasint,omitempty"`
}

type oldCopy struct {
	Number   oldStamp    `cbor:"1,keyasint"`
	Register oldRegister `cbor:"2,keyasint"`
	Age      uint64      `cbor:"3,keyasint,omitempty"`
}

type oldBackend struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Address  string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Capacity int    `cbor:"5,keyasint,omitempty"`
	Seq      uint64 `cbor:"6,keyasint,omitempty"`
	State    uint8  `cbor:"7,keyasint,omitempty"`
	ColdLeft int    `cbor:"8,keyasint,omitempty"`
	Vouched  bool   `cbor:"9,keyasint,omitempty"`
	Gen      string `cbor:"10,keyasint,omitempty"`
}

type oldMember struct {
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
}

type oldUse struct {
	Service string  `cbor:"1,keyasint"`
	Came    float64 `cbor:"2,keyasint"`
	Voided  float64 `cbor:"3,keyasint,omitempty"`
}

type oldMet struct {
	ID      string  `cbor:"1,keyasint"`
	Tries   float64 `cbor:"2,keyasint"`
	Voided  float64 `cbor:"3,keyasint,omitempty"`
	Took    int64   `cbor:"4,keyasint,omitempty"`
	Waiting bool    `cbor:"5,keyasint,omitempty"`
}

type oldTable struct {
	Service string             `cbor:"1,keyasint"`
	Whole   bool               `cbor:"2,keyasint,omitempty"`
	Weights map[string]float64 `cbor:"3,keyasint,omitempty"`
	Gated   bool               `cbor:"4,keyasint,omitempty"`
	Level   float64            `cbor:"5,keyasint,omitempty"`
}

type oldEpoch struct {
	Number  uint64     `cbor:"1,keyasint"`
	Old     []oldVoter `cbor:"2,keyasint,omitempty"`
	Voters  []oldVoter `cbor:"3,keyasint"`
	Founded int        `cbor:"4,keyasint,omitempty"`
}

type oldVoter struct {
	Controller oldController `cbor:"1,keyasint"`
	ID         string        `cbor:"2,keyasint"`
}

type oldHello struct {
	Who     oldController `cbor:"1,keyasint"`
	Life    uint64        `cbor:"2,keyasint"`
	Carrier bool          `cbor:"3,keyasint,omitempty"`
	Disk    string        `cbor:"4,keyasint,omitempty"`
	Blank   bool          `cbor:"5,keyasint,omitempty"`
}

type oldMessage struct {
	Seq      uint64              `cbor:"1,keyasint,omitempty"`
	Reply    uint64              `cbor:"2,keyasint,omitempty"`
	Hello    *oldHello           `cbor:"3,keyasint,omitempty"`
	Offers   []oldRegister       `cbor:"4,keyasint,omitempty"`
	Held     map[string]oldStamp `cbor:"5,keyasint,omitempty"`
	Safe     map[string]oldStamp `cbor:"6,keyasint,omitempty"`
	Want     []string            `cbor:"7,keyasint,omitempty"`
	Era      uint64              `cbor:"27,keyasint,omitempty"`
	Disk     string              `cbor:"28,keyasint,omitempty"`
	Epoch    *oldEpoch           `cbor:"29,keyasint,omitempty"`
	Ballots  []oldBallot         `cbor:"30,keyasint,omitempty"`
	Chosen   map[string]oldStamp `cbor:"31,keyasint,omitempty"`
	Copies   []oldCopy           `cbor:"32,keyasint,omitempty"`
	Has      map[string]oldStamp `cbor:"33,keyasint,omitempty"`
	All      bool                `cbor:"9,keyasint,omitempty"`
	Ask      bool                `cbor:"8,keyasint,omitempty"`
	Round    uint64              `cbor:"24,keyasint,omitempty"`
	Ping     bool                `cbor:"34,keyasint,omitempty"`
	Pong     bool                `cbor:"35,keyasint,omitempty"`
	Leaving  bool                `cbor:"36,keyasint,omitempty"`
	Apart    bool                `cbor:"37,keyasint,omitempty"`
	Know     []oldController     `cbor:"11,keyasint,omitempty"`
	Backends []oldBackend        `cbor:"13,keyasint,omitempty"`
	Settled  bool                `cbor:"14,keyasint,omitempty"`
	Renew    uint64              `cbor:"15,keyasint,omitempty"`
	Renewed  uint64              `cbor:"16,keyasint,omitempty"`
	Members  []oldMember         `cbor:"17,keyasint,omitempty"`
	Uses     []oldUse            `cbor:"18,keyasint,omitempty"`
	Met      []oldMet            `cbor:"19,keyasint,omitempty"`
	Spent    float64             `cbor:"20,keyasint,omitempty"`
	Steer    bool                `cbor:"21,keyasint,omitempty"`
	Tables   []oldTable          `cbor:"22,keyasint,omitempty"`
	Came     []oldMember         `cbor:"25,keyasint,omitempty"`
	Went     []string            `cbor:"26,keyasint,omitempty"`
	Leave    bool                `cbor:"23,keyasint,omitempty"`
}

// oldLine is a connection with the frames of d330930.
type oldLine struct {
	conn net.Conn
	read *bufio.Reader
	mu   sync.Mutex
}

func newOldLine(conn net.Conn) *oldLine { return &oldLine{conn: conn, read: bufio.NewReader(conn)} }

func (l *oldLine) send(m oldMessage) {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.conn.Write(append(binary.AppendUvarint(nil, uint64(len(body))), body...))
}

func (l *oldLine) receive() (m oldMessage, err error) {
	n, err := binary.ReadUvarint(l.read)
	if err != nil {
		return m, err
	}
	body := make([]byte, n)
	if _, err = io.ReadFull(l.read, body); err == nil {
		err = cbor.Unmarshal(body, &m)
	}
	return m, err
}

// oldNode simulates a voter of d330930: a Paxos acceptor for each register that also learns chosen values and answers
// pings. It does not propose values by itself.
type oldNode struct {
	t    *testing.T
	who  oldController
	disk string
	host *simulation.Host
	done chan struct{} // closed by stop

	mu    sync.Mutex
	epoch oldEpoch
	regs  map[string]*oldAcceptor
	out   map[string]*oldLine // dialed connections by name of the peer
	heard []oldMessage        // responses to ballots of this node
	seen  []oldBackend
}

type oldAcceptor struct {
	promised, accepted oldStamp
	value              oldRegister
}

func startOldNode(t *testing.T, network *simulation.Net, i, peers int) *oldNode {
	t.Helper()
	n := &oldNode{
		t:    t,
		done: make(chan struct{}),
		disk: "0ld0ld0ld0ld000" + string(rune('0'+i)),
		regs: map[string]*oldAcceptor{},
		out:  map[string]*oldLine{},
		who: oldController{Name: "core-" + string(rune('0'+i)), Zone: nodeZones[i%3], Address: nodeAddress(i, 7540),
			Control: nodeAddress(i, 8544)},
	}
	n.host = network.Host(nodeAddress(i, 0)[:len("127.77.0.10")])
	listener, err := n.host.Listen(n.who.Address)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(newOldLine(conn), true)
		}
	}()
	for k := range peers {
		if k != i {
			go n.dial(nodeAddress(k, 7540))
		}
	}
	return n
}

func (n *oldNode) stop() {
	close(n.done)
	n.host.Kill()
}

// dial keeps a connection to a peer until the node is stopped.
func (n *oldNode) dial(address string) {
	for n.pause(300 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
		conn, err := n.host.Dial(ctx, address, 3*time.Second)
		cancel()
		if err == nil {
			n.serve(newOldLine(conn), false)
		}
	}
}

// pause sleeps. It returns false if the node is stopped.
func (n *oldNode) pause(span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-n.done:
		return false
	}
}

func (n *oldNode) serve(l *oldLine, accepted bool) {
	defer func() { _ = l.conn.Close() }()
	hello := &oldHello{Who: n.who, Life: 4711, Disk: n.disk}
	if !accepted {
		l.send(oldMessage{Hello: hello})
		go func() { // heartbeats
			for n.pause(time.Second) {
				l.send(oldMessage{Renew: 1})
			}
		}()
	}
	name := ""
	for {
		m, err := l.receive()
		if err != nil {
			break
		}
		n.mu.Lock()
		if m.Hello != nil {
			name = m.Hello.Who.Name
			if accepted {
				l.send(oldMessage{Hello: hello, Know: []oldController{n.who}, Settled: true})
			} else {
				n.out[name] = l
				n.say(name, oldMessage{Has: n.all(), All: true, Ask: true, Round: 1})
			}
		}
		n.hear(name, l, m)
		n.mu.Unlock()
	}
}

// say sends a message of the consensus protocol, with the node's epoch and disk ID.
func (n *oldNode) say(to string, m oldMessage) {
	if l := n.out[to]; l != nil {
		m.Era, m.Disk = n.epoch.Number, n.disk
		l.send(m)
	}
}

func (n *oldNode) all() map[string]oldStamp {
	all := map[string]oldStamp{}
	for name, a := range n.regs {
		if name != "epoch" && a.accepted != (oldStamp{}) {
			all[name] = a.accepted
		}
	}
	return all
}

func (n *oldNode) acceptor(name string) *oldAcceptor {
	if n.regs[name] == nil {
		n.regs[name] = &oldAcceptor{value: oldRegister{Name: name}}
	}
	return n.regs[name]
}

func (n *oldNode) hear(from string, l *oldLine, m oldMessage) {
	n.seen = append(n.seen, m.Backends...)
	if m.Renew > 0 && m.Reply == 0 {
		l.send(oldMessage{Renewed: m.Renew})
	}
	if m.Seq > 0 {
		l.send(oldMessage{Reply: m.Seq})
	}
	if m.Epoch != nil && m.Epoch.Number > n.epoch.Number {
		n.epoch = *m.Epoch
		delete(n.regs, "epoch")
	}
	switch {
	case m.Ping:
		n.say(from, oldMessage{Pong: true, Round: m.Round})
	case m.Ask:
		n.say(from, oldMessage{Has: n.all(), All: true, Round: m.Round})
	}
	for _, told := range []map[string]oldStamp{m.Chosen, m.Has} {
		for name, stamp := range told {
			if name != "epoch" && n.acceptor(name).accepted.less(stamp) {
				n.say(from, oldMessage{Want: []string{name}})
			}
		}
	}
	for _, c := range m.Copies {
		if a := n.acceptor(c.Register.Name); a.accepted.less(c.Number) {
			a.accepted, a.value = c.Number, c.Register
			n.say(from, oldMessage{Has: map[string]oldStamp{c.Register.Name: c.Number}})
		}
	}
	if m.Era != n.epoch.Number {
		return
	}
	for _, b := range m.Ballots {
		switch a := n.acceptor(b.Name); {
		case b.Kind == oldPromise || b.Kind == oldAgreed:
			n.heard = append(n.heard, m)
		case b.Number.less(a.promised):
			n.say(from, oldMessage{Ballots: []oldBallot{{Kind: oldHigher, Name: b.Name, Number: a.promised}}})
		case b.Kind == oldAsk:
			a.promised = b.Number
			answer := oldBallot{Kind: oldPromise, Name: b.Name, Number: b.Number, Accepted: a.accepted}
			if a.accepted != (oldStamp{}) {
				value := a.value
				answer.Value = &value
			}
			n.say(from, oldMessage{Ballots: []oldBallot{answer}})
		case b.Kind == oldOffer:
			a.promised, a.accepted, a.value = b.Number, b.Number, *b.Value
			n.say(from, oldMessage{Ballots: []oldBallot{{Kind: oldAgreed, Name: b.Name, Number: b.Number}}})
		}
	}
}

// value returns the accepted value of a register.
func (n *oldNode) value(name string) oldRegister {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptor(name).value
}

func (n *oldNode) known() (oldEpoch, map[string]*oldAcceptor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch, maps.Clone(n.regs)
}
