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
	maxMessageBytes = 64 << 10 // limit for a message of a client
	spareConns      = 64       // default MaxConns beyond one per proxy and zone
)

// Config configures a Hub.
type Config struct {
	Listen       string
	Linger       time.Duration // how long a proxy may be disconnected before it counts as gone
	MaxObservers int           // limit for each topic
	MaxConns     int           // 0 means one per proxy and zone, plus spareConns
}

// Hub accepts WebSocket connections and serves the topics to them.
type Hub struct {
	config    Config
	names     flatsettings.Names
	proxies   int
	handler   func(eventloop.Command)
	log       *logrus.Entry
	listener  net.Listener
	server    *http.Server
	startedAt time.Time

	mu         sync.Mutex
	events     []session.Event
	lastConnID int
	conns      map[int]*conn
	wake       chan struct{}
	done       chan struct{}
	once       sync.Once

	streams map[string]*stream // by topic, while the topic has an owner; used only by run
}

// conn is a client connection. The client's credit bounds the messages to it, so queue does not fill up.
type conn struct {
	id        int
	ws        *websocket.Conn
	hello     Hello
	collector eventloop.Stream // set on a connection to a reports topic, else nil
	queue     chan []byte      // a nil message closes the connection
	cancel    context.CancelFunc
}

// Listen starts a Hub. handler receives the messages of proxies and collectors for the event loop; it may block.
func Listen(
	config Config,
	proxies int,
	names flatsettings.Names,
	handler func(eventloop.Command),
	log *logrus.Entry,
) (*Hub, error) {
	ln, err := net.Listen("tcp4", config.Listen)
	if err != nil {
		return nil, err
	}
	if config.MaxConns == 0 {
		config.MaxConns = proxies + len(names.Zones) + spareConns
	}
	h := &Hub{
		config:    config,
		names:     names,
		proxies:   proxies,
		handler:   handler,
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

// Addr returns the address that the hub listens on.
func (h *Hub) Addr() string { return h.listener.Addr().String() }

// Close stops the hub and closes all connections.
func (h *Hub) Close() {
	h.once.Do(func() { close(h.done) })
	_ = h.server.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.cancel()
	}
}

// Tell publishes the members of the backend list to the subscribers of ListTopic. It never blocks.
func (h *Hub) Tell(l reconcile.List) {
	change := session.TopicChanged{Topic: ListTopic}
	for _, m := range l.Members {
		text, _ := json.Marshal(m)
		change.Updates = append(
			change.Updates,
			session.Update{Key: m.ID, Deleted: m.Phase == reconcile.Deleted, Value: session.Value{Text: string(text)}},
		)
	}
	h.submit(change)
}

// Look publishes all facts except usage to the subscribers of DecisionsTopic. It never blocks.
func (h *Hub) Look(facts []warmstart.Fact) {
	change := session.TopicChanged{Topic: DecisionsTopic}
	for _, f := range facts {
		if f.Kind != warmstart.Usage {
			change.Updates = append(
				change.Updates,
				session.Update{
					Key:     session.JoinKey(f.Kind.String(), f.Key),
					Deleted: f.Kind == warmstart.Derating && f.Value == 1,
					Value:   session.Value{Number: f.Value},
				},
			)
		}
	}
	h.submit(change)
}

// submit queues events for the hub's goroutine. It never waits for them to be processed.
func (h *Hub) submit(events ...session.Event) {
	h.mu.Lock()
	h.events = append(h.events, events...)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// run owns the sessions. It processes queued events and session deadlines until the hub is closed.
func (h *Hub) run() {
	config := session.DefaultConfig(uint64(h.startedAt.UnixNano()))
	config.Linger, config.MaxObservers = session.Time(h.config.Linger/time.Millisecond), h.config.MaxObservers
	broker := session.New(config)
	deadline := time.NewTimer(time.Hour)
	for {
		select {
		case <-h.wake:
		case <-deadline.C:
		case <-h.done:
			return
		}
		h.mu.Lock()
		events := h.events
		h.events = nil
		h.mu.Unlock()
		for _, action := range broker.Step(session.Time(time.Since(h.startedAt)/time.Millisecond)+1, events) {
			h.execute(action)
		}
		// A report may arrive together with the event that opens its stream, so reports are passed on last.
		for _, e := range events {
			if r, ok := e.(ownerReport); ok && h.streams[r.topic] != nil {
				h.handler(eventloop.Command{From: h.streams[r.topic], Message: r.message})
			}
		}
		next := time.Hour
		if at, ok := broker.NextDeadline(); ok {
			next = max(time.Duration(at)*time.Millisecond-time.Since(h.startedAt), time.Millisecond)
		}
		deadline.Reset(next)
	}
}

// execute carries out an action of the sessions.
func (h *Hub) execute(action session.Action) {
	switch action := action.(type) {
	case session.Send:
		if c := h.conn(action.Conn); c != nil {
			c.send(encodeSend(action))
		}
	case session.Close:
		if c := h.conn(action.Conn); c != nil {
			c.queueClose(string(action.Reason), "")
		}
	case session.OwnerJoined:
		c := h.conn(action.Conn)
		if c == nil {
			return // the connection is closed; its session.Closed event follows
		}
		proxy, _ := proxyOfTopic(action.Topic)
		s := &stream{hub: h, topic: action.Topic, openedAt: sockets.NextSequence()}
		h.streams[action.Topic] = s
		h.handler(
			eventloop.Command{
				From:    s,
				Message: textproto.Subscribe{Proxy: proxy, Zone: c.hello.Zone, Rate: c.hello.Rate, Fresh: true},
			},
		)
	case session.OwnerLeft:
		if s := h.streams[action.Topic]; s != nil {
			delete(h.streams, action.Topic)
			h.log.WithFields(logrus.Fields{"reason": "away", "of": action.Topic}).Info("topic owner left")
			h.handler(eventloop.Command{From: s, Message: textproto.Closed{}})
		}
	case session.MarkerAcked:
		if s := h.streams[action.Topic]; s != nil {
			proxy, _ := proxyOfTopic(action.Topic)
			h.handler(eventloop.Command{From: s, Message: textproto.Ack{Proxy: proxy, Marker: action.Marker}})
		}
	}
}

// conn returns an open connection, or nil.
func (h *Hub) conn(id int) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns[id]
}

// accept serves a connection from the WebSocket handshake to its end.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.lastConnID++
	id, full := h.lastConnID, len(h.conns) >= h.config.MaxConns
	h.mu.Unlock()
	ws, err := websocket.Accept(
		w,
		r,
		&websocket.AcceptOptions{Subprotocols: []string{Protocol}, CompressionMode: websocket.CompressionDisabled},
	)
	if err != nil {
		return // the library has answered the request with an error
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
	acceptedAt := time.Now()
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
		"lasted": time.Since(acceptedAt).Round(time.Millisecond).String(),
		"of":     c.hello.Topic,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	h.log.WithFields(fields).Info("pub-sub connection ended")
}

// closeWithError sends an error message and closes the connection. It bypasses the queue.
func (c *conn) closeWithError(ctx context.Context, e Error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_ = c.ws.Write(ctx, websocket.MessageBinary, Encode(KindError, e))
	_ = c.ws.Close(websocket.StatusPolicyViolation, e.Code)
}

// send queues a message. It cancels the connection if the queue is full.
func (c *conn) send(message []byte) {
	select {
	case c.queue <- message:
	default:
		c.cancel()
	}
}

// queueClose queues an error message, after which the connection is closed.
func (c *conn) queueClose(code, text string) {
	c.send(Encode(KindError, Error{Code: code, Text: text}))
	c.send(nil)
}

// serve reads messages until the connection ends. It returns the reason as an error code or a log value.
func (h *Hub) serve(ctx context.Context, c *conn) (code string, err error) {
	if code, err := h.readHello(ctx, c); err != nil {
		return code, err
	}
	writeResult := make(chan error, 1)
	go func() { writeResult <- c.write(ctx) }()
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
			return endCode(err, writeResult)
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

// readHello reads and checks the hello of a connection. On an error it returns the code, which it has also sent to
// the client unless no hello arrived.
func (h *Hub) readHello(ctx context.Context, c *conn) (code string, err error) {
	helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	_, text, err := c.ws.Read(helloCtx)
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
		return c.reject(ctx, CodeVersion, fmt.Errorf("protocol version is %d, want %d", hello.Version, Version))
	}
	if err := h.authorize(c, hello); err != nil {
		return c.reject(ctx, CodeTopic, err)
	}
	c.hello = hello
	return "", nil
}

// reject closes the connection with a code and the text of err. It returns both.
func (c *conn) reject(ctx context.Context, code string, err error) (string, error) {
	c.closeWithError(ctx, Error{Code: code, Text: err.Error()})
	return code, err
}

// endCode returns the reason for the end of a connection whose read failed. A write error, if there is one, takes
// precedence.
func endCode(readErr error, writeResult <-chan error) (string, error) {
	select {
	case err := <-writeResult:
		if err != nil {
			return CodeWriteTimeout, err
		}
	default:
	}
	switch websocket.CloseStatus(readErr) {
	case websocket.StatusNormalClosure, websocket.StatusGoingAway:
		return "closed", nil
	default:
		return "reset", readErr
	}
}

var (
	errUnknownTopic = errors.New("unknown topic or invalid subscription")
	errNotOwner     = errors.New("message is not allowed on this connection")
)

// authorize checks that the hello names a topic that the client may use. It registers a collector with the event loop.
func (h *Hub) authorize(c *conn, hello Hello) error {
	proxy, orders := proxyOfTopic(hello.Topic)
	zone, reports := strings.CutPrefix(hello.Topic, ReportsTopicPrefix)
	switch {
	case (hello.Topic == ListTopic || hello.Topic == DecisionsTopic) && !hello.Owner:
		return nil
	case orders && proxy < h.proxies && (!hello.Owner || slices.Contains(
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

// handle passes a message of a client on to the sessions or the event loop.
func (h *Hub) handle(c *conn, message any) error {
	proxy, _ := proxyOfTopic(c.hello.Topic)
	switch message := message.(type) {
	case Ack:
		if c.collector != nil {
			return errNotOwner
		}
		h.submit(session.Acked{Conn: c.id, Epoch: message.Epoch, Seq: message.Seq, AddedCredit: message.AddedCredit})
	case UsageReport:
		if !c.hello.Owner {
			return errNotOwner
		}
		report := textproto.UsageReport{
			Proxy:   proxy,
			Product: message.Product,
			Txns:    message.Txns,
			Failed:  message.Failed,
			Period:  textproto.DurationFromMillis(message.Millis),
		}
		if err := report.Validate(); err != nil {
			return err
		}
		h.submit(ownerReport{c.hello.Topic, report})
	case BackendReport:
		zone, ok := strings.CutPrefix(c.hello.Topic, ReportsTopicPrefix)
		if !ok {
			return errNotOwner
		}
		report := textproto.BackendReport{
			Zone:     zone,
			Backend:  message.Backend,
			Attempts: message.Attempts,
			Failed:   message.Failed,
			Latency:  textproto.DurationFromMillis(message.Latency),
		}
		if err := report.Validate(textproto.DurationFromMillis(message.Millis)); err != nil {
			return err
		}
		h.handler(eventloop.Command{From: c.collector, Message: report})
	default:
		return fmt.Errorf("%w: %T", errInvalidMessage, message)
	}
	return nil
}

// ownerReport is the event of a report by a topic's owner. run passes the report on to the event loop.
type ownerReport struct {
	topic   string
	message any
}

// write sends the queued messages. It cancels the connection if a write fails or times out.
func (c *conn) write(ctx context.Context) error {
	for {
		select {
		case message := <-c.queue:
			if message == nil {
				_ = c.ws.Close(websocket.StatusPolicyViolation, "")
				return nil
			}
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := c.ws.Write(writeCtx, websocket.MessageBinary, message)
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

// choose returns yes if condition holds, else no.
func choose[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}

// collector is the eventloop.Stream of a collector's connection. Nothing is sent to a collector.
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
