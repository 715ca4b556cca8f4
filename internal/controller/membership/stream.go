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
	mostFrame = 8 << 20
	patience  = 4 * time.Second // for a frame of one who has something to say at least each second
	mostConns = 1024
)

// Conn is a connection between two instances: frames of cbor with their length before them. One goroutine may send and
// one receive at a time.
type Conn struct {
	net.Conn
	Timeout time.Duration // for a frame
	in      *bufio.Reader
}

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
	if len(body) > mostFrame {
		return errFrame
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.Timeout))
	_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

var errFrame = errors.New("not a frame of ours")

// Receive reads a frame. Whatever comes, it is bounded in size and time.
func (c *Conn) Receive(v any) error {
	_ = c.SetReadDeadline(time.Now().Add(c.Timeout))
	var head [4]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > mostFrame {
		return errFrame
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return err
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}

// Streams takes connections of others and hands each to who serves its kind.
type Streams struct {
	fleet    *Fleet
	listener net.Listener
	via      map[string]string
	ctx      context.Context
	stop     context.CancelFunc
	all      sync.WaitGroup

	mu    sync.Mutex
	serve map[uint8]func(ctx context.Context, from string, c *Conn)
	conns map[net.Conn]bool
}

// ServeStreams serves connections at a listener; via is where some are reached in place of where they say.
func (f *Fleet) ServeStreams(ln net.Listener, via map[string]string) *Streams {
	s := &Streams{
		fleet:    f,
		listener: ln,
		via:      via,
		serve:    map[uint8]func(context.Context, string, *Conn){},
		conns:    map[net.Conn]bool{},
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.all.Go(s.accept)
	return s
}

// Serve has connections of a kind handed to a function, each on a goroutine of its own, until it returns.
func (s *Streams) Serve(kind uint8, do func(ctx context.Context, from string, c *Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve[kind] = do
}

// Go runs something until the streams are closed.
func (s *Streams) Go(do func(ctx context.Context)) { s.all.Go(func() { do(s.ctx) }) }

// Close ends all connections and waits for who served them.
func (s *Streams) Close() {
	s.stop()
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

// keep notes a connection, so that Close ends it.
func (s *Streams) keep(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || len(s.conns) >= mostConns {
		_ = c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Streams) drop(c net.Conn) {
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
		if !s.keep(c) {
			continue
		}
		s.all.Go(func() {
			defer s.drop(c)
			conn := &Conn{c, patience, bufio.NewReader(c)}
			var h hello
			if conn.Receive(&h) != nil {
				return
			}
			s.mu.Lock()
			do := s.serve[h.Kind]
			s.mu.Unlock()
			if do != nil {
				do(s.ctx, h.From, conn)
			}
		})
	}
}

// Dial reaches another one for a kind of connection; the caller hands it back with Done.
func (s *Streams) Dial(name string, kind uint8) (*Conn, error) {
	addr, ok := s.via[name]
	if !ok {
		s.fleet.mu.Lock()
		if addr = s.fleet.peers[name].StreamAddr; addr == "" {
			addr = s.fleet.away[name].streams
		}
		s.fleet.mu.Unlock()
	}
	if addr == "" {
		return nil, fmt.Errorf("%s: %w", name, errAway)
	}
	return s.DialAddr(addr, kind)
}

// DialAddr reaches one at an address.
func (s *Streams) DialAddr(addr string, kind uint8) (*Conn, error) {
	d := net.Dialer{Timeout: patience / 2}
	c, err := d.DialContext(s.ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if !s.keep(c) {
		return nil, errAway
	}
	conn := &Conn{c, patience, bufio.NewReader(c)}
	if err := conn.Send(hello{s.fleet.plan.Name, kind}); err != nil {
		s.drop(c)
		return nil, err
	}
	return conn, nil
}

// Release ends a connection that was dialled.
func (s *Streams) Release(c *Conn) { s.drop(c.Conn) }

// Kinds of connection that are in use.
const (
	StreamJobs uint8 = iota + 1
)
