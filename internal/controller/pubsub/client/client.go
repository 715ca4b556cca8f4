// Package client subscribes to a topic of the channel and keeps a copy of it. Each message takes effect once, over
// connections that break, controllers that restart or change, and starts of its own, where it is given a place to keep
// what took effect. docs/channel.md has the protocol.
package client

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controller/pubsub"
	"elmfold/internal/controller/pubsub/session"
)

// Storage keeps what took effect.
type Storage interface {
	Load() (session.Replica, error) // none: an empty one
	Save(session.Replica) error     // whole or not at all
}

// FileStorage keeps it in a file, replaced at each change.
type FileStorage string

// Load reads the file.
func (f FileStorage) Load() (c session.Replica, err error) {
	text, err := os.ReadFile(string(f))
	if errors.Is(err, os.ErrNotExist) {
		return c, nil
	}
	if err == nil {
		err = cbor.Unmarshal(text, &c)
	}
	return c, err
}

// Save replaces the file.
func (f FileStorage) Save(c session.Replica) error {
	text, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	next := string(f) + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, string(f))
}

// Options say what is subscribed to, and what is told of it.
type Options struct {
	Addresses []string // of controllers, host and port; the next one is tried where one does not answer
	Hello     pubsub.Hello
	Storage   Storage // nil: nothing is kept over starts
	// OnChange is called in turn, with the keys that now stand otherwise, after a message took effect. The copy is the
	// client's: it is to be read until OnChange returns.
	OnChange func(c *session.Replica, keys []string)
	// OnConnect is called with the publisher of each new connection; the publisher is valid until the next call.
	OnConnect func(p *Publisher)
	// OnDisconnect is called with why a connection ended.
	OnDisconnect func(err error)
	Credit       int           // messages that may be on the way; 0: 8
	MinBackoff   time.Duration // the shortest before it dials again; 0: 100 ms; it grows to 32 times that
	// ShouldAck, where it is given, may swallow an acknowledgement, for tests of what follows.
	ShouldAck func(seq uint32) bool
}

// Publisher sends reports on the connection that is open.
type Publisher struct {
	ctx context.Context
	ws  *websocket.Conn
}

// ReportUsage publishes what came to the proxy.
func (p *Publisher) ReportUsage(u pubsub.UsageReport) error {
	return p.write(pubsub.KindUsageReport, u)
}

// ReportBackend publishes what the proxies of a zone met.
func (p *Publisher) ReportBackend(h pubsub.BackendReport) error {
	return p.write(pubsub.KindBackendReport, h)
}

func (p *Publisher) write(kind byte, v any) error {
	return p.ws.Write(p.ctx, websocket.MessageBinary, pubsub.Encode(kind, v))
}

// Run subscribes until the context ends, or until what was kept cannot be read.
func Run(ctx context.Context, o Options) error {
	c := session.Replica{}
	if o.Storage != nil {
		var err error
		if c, err = o.Storage.Load(); err != nil {
			return fmt.Errorf("what took effect cannot be read: %w", err)
		}
	}
	pause := o.MinBackoff
	if pause == 0 {
		pause = 100 * time.Millisecond
	}
	for tries := uint32(0); ; tries++ {
		began := time.Now()
		err := once(ctx, o, &c, o.Addresses[int(tries)%len(o.Addresses)])
		if ctx.Err() != nil {
			return nil
		}
		if o.OnDisconnect != nil {
			o.OnDisconnect(err)
		}
		if errors.Is(err, session.ErrGap) {
			c.Epoch, c.Seq = 0, 0 // all is asked for
		}
		span := pause << min(tries, 5)
		if time.Since(began) > span {
			tries, span = 0, pause
		}
		// Thousands that lost the same controller do not come back in the same instant.
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, o.Hello.Topic, tries)
		span += span * time.Duration(h.Sum32()%1000) / 1000
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(span):
		}
	}
}

// once holds one connection.
func once(ctx context.Context, o Options, c *session.Replica, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ws, err := connect(ctx, o, c, address)
	if err != nil {
		return err
	}
	defer func() { _ = ws.CloseNow() }()
	if o.OnConnect != nil {
		o.OnConnect(&Publisher{ctx: ctx, ws: ws})
	}
	for {
		_, text, err := ws.Read(ctx)
		if err != nil {
			return err
		}
		message, err := pubsub.Decode(text)
		if err != nil {
			return err
		}
		switch message := message.(type) {
		case pubsub.Error:
			return fmt.Errorf("the controller says %s: %s", message.Code, message.Text)
		case session.Send:
			if err := apply(ctx, ws, o, c, message); err != nil {
				return err
			}
		}
	}
}

// connect dials and says hello: what is known here, and how much may be sent.
func connect(ctx context.Context, o Options, c *session.Replica, address string) (*websocket.Conn, error) {
	ws, _, err := websocket.Dial(
		ctx,
		"ws://"+address+"/",
		&websocket.DialOptions{Subprotocols: []string{pubsub.Protocol}, CompressionMode: websocket.CompressionDisabled},
	)
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(16 << 20)
	hello := o.Hello
	hello.Version, hello.Epoch, hello.Seq = pubsub.Version, c.Epoch, c.Seq
	if hello.Credit = o.Credit; hello.Credit == 0 {
		hello.Credit = 8
	}
	if err := ws.Write(ctx, websocket.MessageBinary, pubsub.Encode(pubsub.KindHello, hello)); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return ws, nil
}

// apply applies a change to the copy, keeps it, and acknowledges it.
func apply(ctx context.Context, ws *websocket.Conn, o Options, c *session.Replica, m session.Send) error {
	keys, fresh, err := c.Apply(m)
	if err != nil {
		return err
	}
	if fresh && o.Storage != nil {
		if err := o.Storage.Save(*c); err != nil {
			return err
		}
	}
	if fresh && o.OnChange != nil {
		o.OnChange(c, keys)
	}
	if o.ShouldAck != nil && !o.ShouldAck(m.Seq) {
		return nil
	}
	ack := pubsub.Encode(pubsub.KindAck, pubsub.Ack{Epoch: m.Epoch, Seq: m.Seq, AddedCredit: 1})
	return ws.Write(ctx, websocket.MessageBinary, ack)
}
