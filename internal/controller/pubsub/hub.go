package pubsub

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/reconcile"
	sockets "elmfold/internal/controller/server"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/controller/warmstart"
)

const (
	helloTimeout    = 1500 * time.Millisecond
	writeTimeout    = 5 * time.Second
	maxMessageBytes = 64 << 10 // of a client's
	spareConns      = 64       // over proxies and zones, at least
)

// Config is what a Hub is given.
type Config struct {
	Listen       string
	Linger       time.Duration // that a proxy may be away before it has left
	MaxObservers int           // of a topic
	MaxConns     int           // at most; 0: a few more than there are proxies
}

// Hub serves the channel.
type Hub struct {
	config    Config
	names     flatsettings.Names
	proxies   int
	handler   func(eventloop.Command)
	log       *logrus.Entry
	listener  net.Listener
	server    *http.Server
	startedAt time.Time

	mu       sync.Mutex
	events   []session.Event
	lastConn int
	conns    map[int]*conn
	wake     chan struct{}
	done     chan struct{}
	once     sync.Once

	streams map[string]*stream // of topics whose owner is there; the hub's goroutine alone looks
}

// conn is a connection; what it may be sent is bounded by its credit, so its queue never fills.
type conn struct {
	id        int
	ws        *websocket.Conn
	hello     Hello
	collector eventloop.Stream // a collector's own; nil: its topic's
	queue     chan []byte
	cancel    context.CancelFunc
}

// Listen serves the channel. hear is given what proxies and collectors say; it may wait, the desk does not.
func Listen(
	plan Config,
	proxies int,
	names flatsettings.Names,
	hear func(eventloop.Command),
	log *logrus.Entry,
) (*Hub, error) {
	ln, err := net.Listen("tcp4", plan.Listen)
	if err != nil {
		return nil, err
	}
	if plan.MaxConns == 0 {
		plan.MaxConns = proxies + len(names.Zones) + spareConns
	}
	h := &Hub{
		config:    plan,
		names:     names,
		proxies:   proxies,
		handler:   hear,
		log:       log,
		listener:  ln,
		startedAt: time.Now(),
		conns:     map[int]*conn{},
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		streams:   map[string]*stream{},
	}
	h.server = &http.Server{Handler: http.HandlerFunc(h.accept), ReadHeaderTimeout: helloTimeout}
	go func() { _ = h.server.Serve(ln) }()
	go h.run()
	return h, nil
}

// Addr is where it listens.
func (h *Hub) Addr() string { return h.listener.Addr().String() }

// Close ends all connections; whoever was there dials elsewhere.
func (h *Hub) Close() {
	h.once.Do(func() { close(h.done) })
	_ = h.server.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.cancel()
	}
}

// Tell hands on the list, for onlookers. It never waits.
func (h *Hub) Tell(l reconcile.List) {
	e := session.TopicChanged{Topic: ListTopic}
	for _, m := range l.Members {
		text, _ := json.Marshal(m)
		e.Updates = append(
			e.Updates,
			session.Update{Key: m.ID, Deleted: m.Phase == reconcile.Deleted, Value: session.Value{Text: string(text)}},
		)
	}
	h.submit(e)
}

// Look hands on what the decisions know, but for the use of proxies, for onlookers. It never waits.
func (h *Hub) Look(facts []warmstart.Fact) {
	e := session.TopicChanged{Topic: DecisionsTopic}
	for _, f := range facts {
		if f.Kind != warmstart.Usage {
			e.Updates = append(
				e.Updates,
				session.Update{
					Key:     session.JoinKey(f.Kind.String(), f.Key),
					Deleted: f.Kind == warmstart.Derating && f.Value == 1,
					Value:   session.Value{Number: f.Value},
				},
			)
		}
	}
	h.submit(e)
}

// submit hands the hub events; nobody waits for it.
func (h *Hub) submit(events ...session.Event) {
	h.mu.Lock()
	h.events = append(h.events, events...)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// run is the hub: it owns the sessions.
func (h *Hub) run() {
	plan := session.DefaultConfig(uint64(h.startedAt.UnixNano()))
	plan.Linger, plan.MaxObservers = session.Time(h.config.Linger/time.Millisecond), h.config.MaxObservers
	all := session.New(plan)
	idle := time.NewTimer(time.Hour)
	for {
		select {
		case <-h.wake:
		case <-idle.C:
		case <-h.done:
			return
		}
		h.mu.Lock()
		events := h.events
		h.events = nil
		h.mu.Unlock()
		for _, o := range all.Step(session.Time(time.Since(h.startedAt)/time.Millisecond)+1, events) {
			h.execute(o)
		}
		for _, e := range events { // after the joining that may have come with it
			if p, ok := e.(ownerReport); ok && h.streams[p.topic] != nil {
				h.handler(eventloop.Command{From: h.streams[p.topic], Message: p.message})
			}
		}
		next := time.Hour
		if at, some := all.NextDeadline(); some {
			next = max(time.Duration(at)*time.Millisecond-time.Since(h.startedAt), time.Millisecond)
		}
		idle.Reset(next)
	}
}

func (h *Hub) execute(o session.Action) {
	switch o := o.(type) {
	case session.Send:
		if c := h.conn(o.Conn); c != nil {
			c.send(encodeSend(o))
		}
	case session.Close:
		if c := h.conn(o.Conn); c != nil {
			c.queueClose(string(o.Reason), "")
		}
	case session.OwnerJoined:
		c, at := h.conn(o.Conn), 0
		if c == nil {
			return // it is gone again, and its Closed is on the way
		}
		at, _ = proxyOfTopic(o.Topic)
		s := &stream{hub: h, topic: o.Topic, openedAt: sockets.NextSequence()}
		h.streams[o.Topic] = s
		h.handler(
			eventloop.Command{
				From:    s,
				Message: textproto.Subscribe{Proxy: at, Zone: c.hello.Zone, Rate: c.hello.Rate, Fresh: true},
			},
		)
	case session.OwnerLeft:
		if s := h.streams[o.Topic]; s != nil {
			delete(h.streams, o.Topic)
			h.log.WithFields(logrus.Fields{"reason": "away", "of": o.Topic}).Info("a subscriber has left")
			h.handler(eventloop.Command{From: s, Message: textproto.Closed{}})
		}
	case session.MarkerAcked:
		if s := h.streams[o.Topic]; s != nil {
			at, _ := proxyOfTopic(o.Topic)
			h.handler(eventloop.Command{From: s, Message: textproto.Ack{Proxy: at, Marker: o.Marker}})
		}
	}
}

func (h *Hub) conn(id int) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns[id]
}

// accept holds a connection from its first word to its end.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.lastConn++
	id, full := h.lastConn, len(h.conns) >= h.config.MaxConns
	h.mu.Unlock()
	ws, err := websocket.Accept(
		w,
		r,
		&websocket.AcceptOptions{Subprotocols: []string{Protocol}, CompressionMode: websocket.CompressionDisabled},
	)
	if err != nil {
		return // what came is no WebSocket; the library has said so
	}
	ws.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{id: id, ws: ws, queue: make(chan []byte, session.DefaultConfig(1).MaxCredit+4), cancel: cancel}
	defer func() { _ = ws.CloseNow() }()
	if full {
		c.closeWithError(ctx, Error{Code: CodeTooManyConnections})
		return
	}
	h.mu.Lock()
	h.conns[id] = c
	h.mu.Unlock()
	began := time.Now()
	code, err := h.serve(ctx, c)
	cancel()
	h.mu.Lock()
	delete(h.conns, id)
	h.mu.Unlock()
	if c.collector != nil {
		h.handler(eventloop.Command{From: c.collector, Message: textproto.Closed{}})
	} else if c.hello.Topic != "" {
		h.submit(session.Closed{Conn: id})
	}
	fields := logrus.Fields{
		"reason": code,
		"peer":   r.RemoteAddr,
		"lasted": time.Since(began).Round(time.Millisecond).String(),
		"of":     c.hello.Topic,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	h.log.WithFields(fields).Info("channel connection ended")
}

// closeWithError writes an error and closes.
func (c *conn) closeWithError(ctx context.Context, e Error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_ = c.ws.Write(ctx, websocket.MessageBinary, Encode(KindError, e))
	_ = c.ws.Close(websocket.StatusPolicyViolation, e.Code)
}

// send queues a message; its credit keeps the queue from filling.
func (c *conn) send(message []byte) {
	select {
	case c.queue <- message:
	default:
		c.cancel()
	}
}

// queueClose lets it go with a code.
func (c *conn) queueClose(code, text string) {
	c.send(Encode(KindError, Error{Code: code, Text: text}))
	c.send(nil)
}

// serve holds a connection to its end; it says why it ended.
func (h *Hub) serve(ctx context.Context, c *conn) (code string, err error) {
	if code, err := h.readHello(ctx, c); err != nil {
		return code, err
	}
	failed := make(chan error, 1)
	go func() { failed <- c.write(ctx) }()
	if c.collector == nil {
		h.submit(
			session.Opened{
				Conn:   c.id,
				Topic:  c.hello.Topic,
				Owner:  c.hello.Owner,
				Epoch:  c.hello.Epoch,
				Seq:    c.hello.Seq,
				Credit: c.hello.Credit,
			},
		)
	}
	for {
		_, text, err := c.ws.Read(ctx)
		if err != nil {
			return endCode(err, failed)
		}
		message, err := Decode(text)
		if err == nil {
			err = h.handle(c, message)
		}
		if err != nil {
			return c.reject(ctx, choose(errors.Is(err, errNotOwner), CodeNotOwner, CodeMessage), err)
		}
	}
}

// readHello takes the hello of a connection. Its error has a code, which the other side was told unless it was silent.
func (h *Hub) readHello(ctx context.Context, c *conn) (code string, err error) {
	first, cancel := context.WithTimeout(ctx, helloTimeout)
	_, text, err := c.ws.Read(first)
	cancel()
	if err != nil {
		return CodeHelloTimeout, err
	}
	message, err := Decode(text)
	hello, ok := message.(Hello)
	if err != nil || !ok {
		return c.reject(ctx, CodeMessage, errors.Join(errInvalidMessage, err))
	}
	if hello.Version != Version {
		return c.reject(ctx, CodeVersion, fmt.Errorf("version %d, we speak %d", hello.Version, Version))
	}
	if err := h.authorize(c, hello); err != nil {
		return c.reject(ctx, CodeTopic, err)
	}
	c.hello = hello
	return "", nil
}

// reject tells the other side why its connection ends.
func (c *conn) reject(ctx context.Context, code string, err error) (string, error) {
	c.closeWithError(ctx, Error{Code: code, Text: err.Error()})
	return code, err
}

// endCode is the code of a connection that ended by itself; failed has the error of its writer, if that ended it.
func endCode(err error, failed <-chan error) (string, error) {
	select {
	case err := <-failed:
		if err != nil {
			return CodeWriteTimeout, err
		}
	default:
	}
	switch websocket.CloseStatus(err) {
	case websocket.StatusNormalClosure, websocket.StatusGoingAway:
		return "closed", nil
	default:
		return "reset", err
	}
}

var (
	errUnknownTopic = errors.New("no such topic")
	errNotOwner     = errors.New("only its own may publish that")
)

// authorize checks what a connection asks for. A collector is made known to the desk.
func (h *Hub) authorize(c *conn, hello Hello) error {
	at, orders := proxyOfTopic(hello.Topic)
	zone, reports := strings.CutPrefix(hello.Topic, ReportsTopicPrefix)
	switch {
	case (hello.Topic == ListTopic || hello.Topic == DecisionsTopic) && !hello.Owner:
		return nil
	case orders && at < h.proxies && (!hello.Owner || slices.Contains(
		h.names.Zones,
		hello.Zone,
	) && hello.Rate >= 0 && hello.Rate < 1e6):
		return nil
	case reports && slices.Contains(h.names.Zones, zone):
		c.collector = &collector{openedAt: sockets.NextSequence(), conn: c}
		h.handler(eventloop.Command{From: c.collector, Message: textproto.Source{Zone: zone}})
		return nil
	}
	return fmt.Errorf("%w: %.60q", errUnknownTopic, hello.Topic)
}

// handle hands on what a client says.
func (h *Hub) handle(c *conn, said any) error {
	at, _ := proxyOfTopic(c.hello.Topic)
	switch said := said.(type) {
	case Ack:
		if c.collector != nil {
			return errNotOwner
		}
		h.submit(session.Acked{Conn: c.id, Epoch: said.Epoch, Seq: said.Seq, AddedCredit: said.AddedCredit})
	case UsageReport:
		if !c.hello.Owner {
			return errNotOwner
		}
		u := textproto.UsageReport{
			Proxy:   at,
			Product: said.Product,
			Txns:    said.Txns,
			Failed:  said.Failed,
			Period:  textproto.DurationFromMillis(said.Millis),
		}
		if err := u.Validate(); err != nil {
			return err
		}
		h.submit(ownerReport{c.hello.Topic, u})
	case BackendReport:
		zone, ok := strings.CutPrefix(c.hello.Topic, ReportsTopicPrefix)
		if !ok {
			return errNotOwner
		}
		e := textproto.BackendReport{
			Zone:     zone,
			Backend:  said.Backend,
			Attempts: said.Attempts,
			Failed:   said.Failed,
			Latency:  textproto.DurationFromMillis(said.Latency),
		}
		if err := e.Validate(textproto.DurationFromMillis(said.Millis)); err != nil {
			return err
		}
		h.handler(eventloop.Command{From: c.collector, Message: e})
	default:
		return fmt.Errorf("%w: %T", errInvalidMessage, said)
	}
	return nil
}

// ownerReport is a report of a topic's owner, on its way to the stream that the desk knows.
type ownerReport struct {
	topic   string
	message any
}

// write sends what is queued. A client that does not read in time is let go of.
func (c *conn) write(ctx context.Context) error {
	for {
		select {
		case message := <-c.queue:
			if message == nil {
				_ = c.ws.Close(websocket.StatusPolicyViolation, "")
				return nil
			}
			within, cancel := context.WithTimeout(ctx, writeTimeout)
			err := c.ws.Write(within, websocket.MessageBinary, message)
			cancel()
			if err != nil {
				c.cancel()
				return err
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func choose[T any](is bool, yes, no T) T {
	if is {
		return yes
	}
	return no
}

// collector is a collector as the desk sees it.
type collector struct {
	openedAt uint64
	conn     *conn
}

func (c *collector) Sequence() uint64  { return c.openedAt }
func (c *collector) SetPeer(string)    {}
func (c *collector) Send([]byte)       {}
func (c *collector) CloseReplaced()    { c.conn.cancel() }
func (c *collector) CloseRefused()     { c.conn.cancel() }
func (c *collector) RecordFault(error) {}
