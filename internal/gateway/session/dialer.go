package session

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"elmfold/internal/gateway/rpc"
)

// refusedRetryInterval is the pause before an address is dialled again whose connection was not accepted by Sessions:
// another connection to the same peer is current.
const refusedRetryInterval = 3 * time.Second

// Dialer keeps a connection to each address that it is given. All exported fields are set before the first Connect.
type Dialer struct {
	Queue *CommandQueue // of the owner; OnMessage and OnDisconnect run there
	Clock clockwork.Clock
	Dial  func(address string) (net.Conn, error)
	// SelfName is the name of this process, where peers are of the same kind: a connection that leads back here is
	// closed and its address never dialled again.
	SelfName      string
	RetryInterval time.Duration       // from the end of a connection, or a dial that failed, to the next dial
	ReadTimeout   time.Duration       // a connection on which nothing arrives for so long is closed
	Hello         func() *rpc.Message // makes the first message; runs on any goroutine
	// OnMessage handles each message of a current connection. The first one of a connection, and only that, has Hello:
	// the connection is up. OnMessage may close the connection, to get the peer's whole state anew on the next one.
	OnMessage func(name string, conn *rpc.Conn, m *rpc.Message)
	// OnDisconnect runs after the last message of a connection whose Hello was handled, and before the Hello of the next.
	OnDisconnect func(name string, conn *rpc.Conn)

	sessions Sessions
	dialing  map[string]chan struct{} // by address; a token has the address dialled at once
}

// Connect keeps a connection to an address from now on, until the queue is stopped; its goroutine ends at most
// ReadTimeout later. It runs on the owner's goroutine, or before there is one. An address that is kept already, or is
// empty, changes nothing.
func (d *Dialer) Connect(address string) {
	if address == "" || d.dialing[address] != nil {
		return
	}
	if d.dialing == nil {
		d.dialing = map[string]chan struct{}{}
	}
	retryNow := make(chan struct{}, 1)
	d.dialing[address] = retryNow
	go d.keepConnected(address, retryNow)
}

// ConnectAll is Connect for each of the addresses.
func (d *Dialer) ConnectAll(addresses []string) {
	for _, address := range addresses {
		d.Connect(address)
	}
}

// RetryNow has an address that is kept dialled at once, also where a dial is under way. It is for a peer that was
// unreachable and has just been heard of. It runs on the owner's goroutine.
func (d *Dialer) RetryNow(address string) {
	select {
	case d.dialing[address] <- struct{}{}:
	default:
	}
}

func (d *Dialer) keepConnected(address string, retryNow <-chan struct{}) {
	for {
		pause := d.RetryInterval
		if netConn := d.dial(address, retryNow); netConn != nil {
			outcome := d.serve(rpc.NewConn(netConn))
			switch outcome {
			case leadsToSelf:
				return
			case refused:
				pause = refusedRetryInterval
			case ended:
			}
		}
		select {
		case <-d.Clock.After(pause):
		case <-retryNow:
		case <-d.Queue.Stopped():
			return
		}
	}
}

// dial returns a connection, or nil. A dial to a machine without power hangs until its time-out: retryNow begins
// another one beside it, as the machine may be back by now.
func (d *Dialer) dial(address string, retryNow <-chan struct{}) net.Conn {
	for {
		dialled := make(chan net.Conn, 1)
		go func() {
			netConn, err := d.Dial(address)
			if err != nil {
				netConn = nil
			}
			dialled <- netConn
		}()
		select {
		case netConn := <-dialled:
			return netConn
		case <-retryNow:
			go closeUnused(dialled)
		}
	}
}

// closeUnused closes the connection of a dial that was given up, should it still come up.
func closeUnused(dialled <-chan net.Conn) {
	if netConn := <-dialled; netConn != nil {
		_ = netConn.Close() // nothing was sent on it
	}
}

// connOutcome is how a connection ended.
type connOutcome uint8

const (
	ended       connOutcome = iota
	refused                 // another connection to the peer is current
	leadsToSelf             // the address is this process's own
)

// serve handles a connection until it ends.
func (d *Dialer) serve(conn *rpc.Conn) connOutcome {
	conn.Send(d.Hello())
	var peer *rpc.Hello
	var wasRefused atomic.Bool
	for {
		m, err := conn.Receive(d.ReadTimeout)
		if err != nil {
			break
		}
		isFirst := peer == nil
		if hasHello := m.Hello != nil; hasHello != isFirst { // a connection begins with one Hello and has no other
			break
		}
		if isFirst {
			peer = m.Hello
			if peer.Node.Name == "" {
				break
			}
			if peer.Node.Name == d.SelfName {
				conn.Close()
				return leadsToSelf
			}
		}
		d.Queue.Do(func() { d.handle(peer.Node.Name, conn, m, &wasRefused) })
	}
	conn.Close()
	if peer != nil {
		d.Queue.Do(func() {
			if d.sessions.Unregister(peer.Node.Name, conn) {
				d.OnDisconnect(peer.Node.Name, conn)
			}
		})
	}
	if wasRefused.Load() {
		return refused
	}
	return ended
}

// handle runs on the owner's goroutine.
func (d *Dialer) handle(name string, conn *rpc.Conn, m *rpc.Message, wasRefused *atomic.Bool) {
	if m.Hello != nil {
		replaced, ok := d.sessions.Register(m.Hello, conn)
		wasRefused.Store(!ok)
		if replaced != nil {
			d.OnDisconnect(name, replaced)
		}
	}
	if d.sessions.IsCurrent(name, conn) {
		d.OnMessage(name, conn, m)
	}
}
