package session

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"elmfold/internal/gateway/rpc"
)

// duplicateRetryInterval is the delay before an address is dialed again after Sessions has refused a duplicate
// connection.
const duplicateRetryInterval = 3 * time.Second

// Dialer keeps a connection to each address passed to Connect. Its exported fields must be set before the first
// Connect.
type Dialer struct {
	Queue *CommandQueue // of the owner, which runs OnMessage and OnDisconnect
	Clock clockwork.Clock
	Dial  func(address string) (net.Conn, error)
	// SelfName is the name of this process. It must be set if Connect may be passed the process's own address: the
	// connection to that address is then closed, and the address is not dialed again.
	SelfName      string
	RetryInterval time.Duration       // delay after a closed connection or a failed dial
	ReadTimeout   time.Duration       // a connection is closed if no message arrives for this time
	Hello         func() *rpc.Message // returns the first message of a connection; called on any goroutine
	// OnMessage handles a message of the current connection to a peer: the one that Sessions has registered. The first
	// message of each connection, and only the first, has Hello. OnMessage may close the connection to get the peer's
	// whole state again on the next one.
	OnMessage func(name string, conn *rpc.Conn, m *rpc.Message)
	// OnDisconnect is called when the current connection to a peer ends: after its last message, and before the Hello of
	// the next one.
	OnDisconnect func(name string, conn *rpc.Conn)

	sessions Sessions
	retryNow map[string]chan struct{} // by address; a value triggers a dial
}

// Connect starts a goroutine that keeps a connection to an address. The goroutine ends within ReadTimeout after the
// queue is stopped. Connect ignores an empty address and one that was passed before. It must be called by the owner, or
// before the owner runs.
func (d *Dialer) Connect(address string) {
	if address == "" || d.retryNow[address] != nil {
		return
	}
	if d.retryNow == nil {
		d.retryNow = map[string]chan struct{}{}
	}
	retryNow := make(chan struct{}, 1)
	d.retryNow[address] = retryNow
	go d.keepConnected(address, retryNow)
}

// ConnectAll calls Connect for each address.
func (d *Dialer) ConnectAll(addresses []string) {
	for _, address := range addresses {
		d.Connect(address)
	}
}

// RetryNow dials an address at once, even while another dial to it is in progress. It is for an unreachable peer that
// is known to be back. If the address is connected, it is dialed as soon as that connection ends. RetryNow ignores an
// address that was not passed to Connect. It must be called by the owner.
func (d *Dialer) RetryNow(address string) {
	select {
	case d.retryNow[address] <- struct{}{}:
	default:
	}
}

func (d *Dialer) keepConnected(address string, retryNow <-chan struct{}) {
	for {
		delay := d.RetryInterval
		if netConn := d.dial(address, retryNow); netConn != nil {
			outcome := d.serve(rpc.NewConn(netConn))
			switch outcome {
			case connectedToSelf:
				return
			case duplicate:
				delay = duplicateRetryInterval
			case disconnected:
			}
		}
		select {
		case <-d.Clock.After(delay):
		case <-retryNow:
		case <-d.Queue.Stopped():
			return
		}
	}
}

// dial returns a connection, or nil on failure. A dial to a machine that is down blocks until its timeout. A value from
// retryNow abandons it and starts another one.
func (d *Dialer) dial(address string, retryNow <-chan struct{}) net.Conn {
	for {
		dialed := make(chan net.Conn, 1)
		go func() {
			netConn, err := d.Dial(address)
			if err != nil {
				netConn = nil
			}
			dialed <- netConn
		}()
		select {
		case netConn := <-dialed:
			return netConn
		case <-retryNow:
			go closeUnused(dialed)
		}
	}
}

// closeUnused closes the connection of an abandoned dial if the dial still succeeds.
func closeUnused(dialed <-chan net.Conn) {
	if netConn := <-dialed; netConn != nil {
		_ = netConn.Close() // nothing was sent on it
	}
}

// connOutcome is the reason why a connection ended.
type connOutcome uint8

const (
	disconnected    connOutcome = iota // closed by the peer, or an error
	duplicate                          // another connection to the peer is current
	connectedToSelf                    // the address belongs to this process
)

// serve handles a connection until it ends.
func (d *Dialer) serve(conn *rpc.Conn) connOutcome {
	handshake := d.sessions.StartHandshake()
	conn.Send(d.Hello())
	var peer *rpc.Hello
	var isDuplicate atomic.Bool
	for {
		m, err := conn.Receive(d.ReadTimeout)
		if err != nil {
			break
		}
		isFirst := peer == nil
		if hasHello := m.Hello != nil; hasHello != isFirst { // protocol error
			break
		}
		if isFirst {
			peer = m.Hello
			if peer.Node.Name == "" {
				break
			}
			if peer.Node.Name == d.SelfName {
				conn.Close()
				return connectedToSelf
			}
		}
		d.Queue.Do(func() { d.handle(peer.Node.Name, handshake, conn, m, &isDuplicate) })
	}
	conn.Close()
	if peer != nil {
		d.Queue.Do(func() {
			if d.sessions.Unregister(peer.Node.Name, conn) {
				d.OnDisconnect(peer.Node.Name, conn)
			}
		})
	}
	if isDuplicate.Load() {
		return duplicate
	}
	return disconnected
}

// handle processes a message on the owner's goroutine. It sets isDuplicate if Sessions refuses the
// connection.
func (d *Dialer) handle(
	name string, handshake Handshake, conn *rpc.Conn, m *rpc.Message, isDuplicate *atomic.Bool,
) {
	if m.Hello != nil {
		replaced, ok := d.sessions.Register(m.Hello, handshake, conn)
		isDuplicate.Store(!ok)
		if replaced != nil {
			d.OnDisconnect(name, replaced)
		}
	}
	if d.sessions.IsCurrent(name, conn) {
		d.OnMessage(name, conn, m)
	}
}
