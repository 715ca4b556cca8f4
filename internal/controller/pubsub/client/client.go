// Package client subscribes to a topic on a controller and maintains a replica of it. Each message is applied once,
// across reconnects, controller restarts and failover to another controller. With a Storage, this also holds across
// restarts of the client. docs/channel.md describes the protocol.
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

const (
	defaultCredit     = 8
	defaultMinBackoff = 100 * time.Millisecond
	maxBackoffShift   = 5        // the backoff doubles up to 32 times its minimum
	maxMessageBytes   = 16 << 20 // read limit of a connection
)

// Storage persists the replica.
type Storage interface {
	Load() (session.Replica, error) // returns an empty replica if none is stored
	Save(session.Replica) error     // atomic
}

// FileStorage is the path of a file that holds the replica. Save replaces the file atomically.
type FileStorage string

// Load implements Storage.
func (f FileStorage) Load() (replica session.Replica, err error) {
	data, err := os.ReadFile(string(f))
	if errors.Is(err, os.ErrNotExist) {
		return replica, nil
	}
	if err == nil {
		err = cbor.Unmarshal(data, &replica)
	}
	return replica, err
}

// Save implements Storage.
func (f FileStorage) Save(replica session.Replica) error {
	data, err := cbor.Marshal(replica)
	if err != nil {
		return err
	}
	tempPath := string(f) + ".next"
	if err := os.WriteFile(tempPath, data, 0o600); err != nil {
		return err
	}
	return os.Rename(tempPath, string(f))
}

// Options configure a subscription.
type Options struct {
	Addresses []string // host:port of the controllers, tried in turn
	Hello     pubsub.Hello
	Storage   Storage // nil: the replica is not persisted
	// OnChange is called after a message was applied, with the keys whose values changed. Calls do not overlap. The
	// replica belongs to the client; OnChange must not modify or retain it.
	OnChange func(replica *session.Replica, keys []string)
	// OnConnect is called with the publisher of each new connection. The publisher is valid until the next call.
	OnConnect func(p *Publisher)
	// OnDisconnect is called with the error that ended a connection or a connection attempt.
	OnDisconnect func(err error)
	Credit       int           // messages the controller may send without an acknowledgement; 0: 8
	MinBackoff   time.Duration // shortest delay before reconnecting; 0: 100 ms; the backoff grows up to 32 times that
	// ShouldAck, if set, reports whether to acknowledge a message. Tests use it to drop acknowledgements.
	ShouldAck func(seq uint32) bool
}

// Publisher sends reports over the current connection.
type Publisher struct {
	ctx context.Context
	ws  *websocket.Conn
}

// ReportUsage publishes the usage that a proxy measured.
func (p *Publisher) ReportUsage(report pubsub.UsageReport) error {
	return p.write(pubsub.KindUsageReport, report)
}

// ReportBackend publishes what the proxies of a zone observed of their backends.
func (p *Publisher) ReportBackend(report pubsub.BackendReport) error {
	return p.write(pubsub.KindBackendReport, report)
}

func (p *Publisher) write(kind byte, v any) error {
	return p.ws.Write(p.ctx, websocket.MessageBinary, pubsub.Encode(kind, v))
}

// Run keeps the subscription, reconnecting as needed, until the context is done. It returns an error only if the stored
// replica cannot be loaded.
func Run(ctx context.Context, o Options) error {
	replica := session.Replica{}
	if o.Storage != nil {
		var err error
		if replica, err = o.Storage.Load(); err != nil {
			return fmt.Errorf("load the stored replica: %w", err)
		}
	}
	minBackoff := o.MinBackoff
	if minBackoff == 0 {
		minBackoff = defaultMinBackoff
	}
	for attempt := uint32(0); ; attempt++ {
		start := time.Now()
		err := runConnection(ctx, o, &replica, o.Addresses[int(attempt)%len(o.Addresses)])
		if ctx.Err() != nil {
			return nil
		}
		if o.OnDisconnect != nil {
			o.OnDisconnect(err)
		}
		if errors.Is(err, session.ErrGap) {
			replica.Epoch, replica.Seq = 0, 0 // request a snapshot
		}
		backoff := minBackoff << min(attempt, maxBackoffShift)
		if time.Since(start) > backoff {
			attempt, backoff = 0, minBackoff
		}
		// Jitter by topic, so that clients that lose the same controller do not reconnect at the same time.
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, o.Hello.Topic, attempt)
		backoff += backoff * time.Duration(h.Sum32()%1000) / 1000
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(backoff):
		}
	}
}

// runConnection connects to one controller and applies its messages until the connection fails.
func runConnection(ctx context.Context, o Options, replica *session.Replica, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ws, err := connect(ctx, o, replica, address)
	if err != nil {
		return err
	}
	defer func() { _ = ws.CloseNow() }()
	if o.OnConnect != nil {
		o.OnConnect(&Publisher{ctx: ctx, ws: ws})
	}
	for {
		_, data, err := ws.Read(ctx)
		if err != nil {
			return err
		}
		message, err := pubsub.Decode(data)
		if err != nil {
			return err
		}
		switch message := message.(type) {
		case pubsub.Error:
			return fmt.Errorf("controller reported error %s: %s", message.Code, message.Text)
		case session.Send:
			if err := apply(ctx, ws, o, replica, message); err != nil {
				return err
			}
		}
	}
}

// connect dials a controller and sends the hello, which holds the position of the replica and the initial credit.
func connect(ctx context.Context, o Options, replica *session.Replica, address string) (*websocket.Conn, error) {
	ws, _, err := websocket.Dial(
		ctx,
		"ws://"+address+"/",
		&websocket.DialOptions{Subprotocols: []string{pubsub.Protocol}, CompressionMode: websocket.CompressionDisabled},
	)
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(maxMessageBytes)
	hello := o.Hello
	hello.Version, hello.Epoch, hello.Seq = pubsub.Version, replica.Epoch, replica.Seq
	if hello.Credit = o.Credit; hello.Credit == 0 {
		hello.Credit = defaultCredit
	}
	if err := ws.Write(ctx, websocket.MessageBinary, pubsub.Encode(pubsub.KindHello, hello)); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return ws, nil
}

// apply applies a message to the replica, persists the replica and acknowledges the message.
func apply(ctx context.Context, ws *websocket.Conn, o Options, replica *session.Replica, m session.Send) error {
	keys, fresh, err := replica.Apply(m)
	if err != nil {
		return err
	}
	if fresh && o.Storage != nil {
		if err := o.Storage.Save(*replica); err != nil {
			return err
		}
	}
	if fresh && o.OnChange != nil {
		o.OnChange(replica, keys)
	}
	if o.ShouldAck != nil && !o.ShouldAck(m.Seq) {
		return nil
	}
	ack := pubsub.Encode(pubsub.KindAck, pubsub.Ack{Epoch: m.Epoch, Seq: m.Seq, AddedCredit: 1})
	return ws.Write(ctx, websocket.MessageBinary, ack)
}
