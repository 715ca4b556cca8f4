package membership

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxFrameSize   = 8 << 20
	defaultTimeout = 4 * time.Second // both sides of a stream send at least once per second
	maxConns       = 1024
)

// Conn is a connection between two instances. It carries CBOR frames, each after its length. At most one goroutine may
// send and one receive at a time.
type Conn struct {
	net.Conn
	Timeout time.Duration // for one frame
	reader  *bufio.Reader
}

// hello is the first frame of a connection.
type hello struct {
	From string `cbor:"1,keyasint"`
	Kind uint8  `cbor:"2,keyasint"`
}

// Send writes a frame.
func (c *Conn) Send(v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > maxFrameSize {
		return errMalformedFrame
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.Timeout))
	_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

var (
	errMalformedFrame = errors.New("malformed frame")
	errNotTracked     = errors.New("streams are closed or have too many connections")
)

// Receive reads a frame, limited in size and time.
func (c *Conn) Receive(v any) error {
	_ = c.SetReadDeadline(time.Now().Add(c.Timeout))
	var head [4]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameSize {
		return errMalformedFrame
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return err
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return nil
}

// Streams accepts connections from other instances and passes each to the handler of its kind.
type Streams struct {
	fleet      *Fleet
	listener   net.Listener
	overrides  map[string]string // by instance name
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	handlers map[uint8]func(ctx context.Context, from string, c *Conn)
	conns    map[net.Conn]bool
}

// ServeStreams accepts connections on a listener. The addresses in overrides, by instance name, replace advertised
// ones when dialing.
func (f *Fleet) ServeStreams(ln net.Listener, overrides map[string]string) *Streams {
	s := &Streams{
		fleet:     f,
		listener:  ln,
		overrides: overrides,
		handlers:  map[uint8]func(context.Context, string, *Conn){},
		conns:     map[net.Conn]bool{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Go(s.accept)
	return s
}

// Serve sets the handler of connections of a kind. Each connection runs the handler in its own goroutine and is closed
// when it returns.
func (s *Streams) Serve(kind uint8, handler func(ctx context.Context, from string, c *Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = handler
}

// Go runs a function that must return when its context is done; Close waits for it.
func (s *Streams) Go(run func(ctx context.Context)) { s.goroutines.Go(func() { run(s.ctx) }) }

// Close closes all connections and waits for all goroutines.
func (s *Streams) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// track registers a connection so that Close closes it. It closes the connection and returns false if Streams is
// closed or has too many connections.
func (s *Streams) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || len(s.conns) >= maxConns {
		_ = c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Streams) closeConn(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Streams) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(c) {
			continue
		}
		s.goroutines.Go(func() {
			defer s.closeConn(c)
			conn := &Conn{c, defaultTimeout, bufio.NewReader(c)}
			var h hello
			if conn.Receive(&h) != nil {
				return
			}
			s.mu.Lock()
			handler := s.handlers[h.Kind]
			s.mu.Unlock()
			if handler != nil {
				handler(s.ctx, h.From, conn)
			}
		})
	}
}

// Dial connects to an instance by name. The caller releases the connection with Release.
func (s *Streams) Dial(name string, kind uint8) (*Conn, error) {
	addr, ok := s.overrides[name]
	if !ok {
		s.fleet.mu.Lock()
		if addr = s.fleet.peers[name].StreamAddr; addr == "" {
			addr = s.fleet.departed[name].streamAddr
		}
		s.fleet.mu.Unlock()
	}
	if addr == "" {
		return nil, fmt.Errorf("%s: %w", name, errNoSuchMember)
	}
	return s.DialAddr(addr, kind)
}

// DialAddr connects to an instance at an address. The caller releases the connection with Release.
func (s *Streams) DialAddr(addr string, kind uint8) (*Conn, error) {
	d := net.Dialer{Timeout: defaultTimeout / 2}
	c, err := d.DialContext(s.ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if !s.track(c) {
		return nil, errNotTracked
	}
	conn := &Conn{c, defaultTimeout, bufio.NewReader(c)}
	if err := conn.Send(hello{s.fleet.config.Name, kind}); err != nil {
		s.closeConn(c)
		return nil, err
	}
	return conn, nil
}

// Release closes a dialed connection.
func (s *Streams) Release(c *Conn) { s.closeConn(c.Conn) }

// Kinds of connections.
const (
	StreamJobs uint8 = iota + 1
)
