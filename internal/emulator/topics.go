package emulator

import (
	"fmt"
	"math"
	"slices"

	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/pubsub"
	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/textproto"
)

// linger is how long a proxy may be away from the channel before it has left.
const linger = 5 * second

// topic is a proxy's topic as the desk sees it, in virtual time: a eventloop.PartStream.
type topic struct {
	stream
	name   string
	orders pubsub.OrderEncoder
}

// SendParts hands the values to the sessions, with the desk's step behind it.
func (t *topic) SendParts(parts []textproto.Part) {
	w := t.c.w
	w.Moved++
	e := session.TopicChanged{Topic: t.name}
	e.Updates, e.Marker = t.orders.Updates(w.products(), parts)
	c, epoch := t.c, t.c.epoch
	w.after(0, func() {
		if c.epoch == epoch {
			c.stepSessions(e)
		}
	})
}

func (w *World) products() (names []string) {
	for _, p := range w.Products {
		names = append(names, p.Name)
	}
	return names
}

// serve begins the sessions of a controller that starts.
func (c *controller) serve() {
	w := c.w
	w.seq++
	plan := session.DefaultConfig(uint64(w.seq))
	plan.Linger = session.Time(linger / ms)
	c.topics = session.New(plan)
	c.owners = map[string]*topic{}
	epoch := c.epoch
	var turn func()
	turn = func() {
		if c.epoch == epoch {
			c.stepSessions()
			w.after(second/2, turn)
		}
	}
	w.after(second/2, turn)
}

// stepSessions lets the sessions take events and carries their orders out.
func (c *controller) stepSessions(events ...session.Event) {
	w := c.w
	for _, o := range c.topics.Step(session.Time(w.Now/ms), events) {
		switch o := o.(type) {
		case session.OwnerJoined:
			p := w.proxies[c.proxyOf(o.Topic)]
			w.seq++
			t := &topic{stream: stream{c: c, openedAt: uint64(w.seq), proxy: p.i}, name: o.Topic}
			t.as = t
			c.owners[o.Topic] = t
			c.loop.Handle(
				eventloop.Command{
					From:    t,
					Message: textproto.Subscribe{Proxy: p.i, Zone: w.zone(p.zone), Rate: p.rate, Fresh: true},
				},
			)
		case session.OwnerLeft:
			if t := c.owners[o.Topic]; t != nil {
				delete(c.owners, o.Topic)
				c.loop.Handle(eventloop.Command{From: t, Message: textproto.Closed{}})
			}
		case session.MarkerAcked:
			if t := c.owners[o.Topic]; t != nil {
				c.loop.Handle(eventloop.Command{From: t, Message: textproto.Ack{Proxy: t.proxy, Marker: o.Marker}})
			}
		case session.Send:
			w.after(3*ms+c.delay(float64(messageOverhead+len(o.Updates))), func() { w.deliver(c, o) })
		}
	}
}

func (c *controller) proxyOf(name string) (at int) {
	_, _ = fmt.Sscanf(name, pubsub.OrdersTopicPrefix+"%d", &at)
	return at
}

// deliver lets a message take effect with the connection that it is for.
func (w *World) deliver(c *controller, m session.Send) {
	at := slices.IndexFunc(w.proxies, func(p *proxy) bool { return p.conn == m.Conn })
	if at < 0 {
		return
	}
	p := w.proxies[at]
	if _, _, err := p.copy.Apply(m); err != nil {
		p.copy.Epoch, p.copy.Seq = 0, 0
		p.Cut()
		return
	}
	p.ever = true
	out, tables := pubsub.RoutingTables(p.copy.State)
	p.out = out
	for k, product := range w.Products {
		t := &p.tables[k]
		now := tables[product.Name]
		if now == nil {
			now = &pubsub.RoutingTable{Weights: map[string]float64{}, RateLimit: -1}
		}
		t.weight, t.tries, t.level = now.Weights, now.Retries, now.RateLimit
		if t.level < 0 {
			t.level = math.Inf(1)
		}
	}
	epoch := c.epoch
	w.after(3*ms, func() {
		if c.epoch == epoch && !c.down {
			c.stepSessions(session.Acked{Conn: m.Conn, Epoch: m.Epoch, Seq: m.Seq, AddedCredit: 1})
		}
	})
}

// subscribe opens a connection to a controller's channel.
func (p *proxy) subscribe(c *controller) {
	p.conn = p.w.seq
	p.home = slices.Index(p.w.control, c)
	c.stepSessions(
		session.Opened{
			Conn:   p.conn,
			Topic:  fmt.Sprint(pubsub.OrdersTopicPrefix, p.i),
			Owner:  true,
			Epoch:  p.copy.Epoch,
			Seq:    p.copy.Seq,
			Credit: 8,
		},
	)
	p.stream = nil
	if t := c.owners[fmt.Sprint(pubsub.OrdersTopicPrefix, p.i)]; t != nil {
		p.stream = &t.stream
	}
}

// unsubscribe ends it; the topic lingers.
func (p *proxy) unsubscribe() {
	c := p.w.control[p.home]
	conn := p.conn
	p.conn = 0
	if !c.down && c.topics != nil {
		c.stepSessions(session.Closed{Conn: conn})
	}
}
