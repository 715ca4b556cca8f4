package proxies

import (
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/proxy/balancer"
)

// As transit and attempt have them.
const (
	dialTimeout         = 250 * ms
	maxDials            = 4
	maxTries            = 2
	idleTimeout         = 7500 * ms // an idle connection
	maxIdle             = 8
	minHealthCheckPause = 100 * ms
	maxHealthCheckPause = 700 * ms
	uncertainty         = 300 * ms
)

type proxy struct {
	w     *world
	index int
	zone  int
	conns map[*backend]*conns
}

// conns are those of a carrier to a backend.
type conns struct {
	idle []idle
	open int
}

type idle struct {
	expiresAt time.Duration
	epoch     int
}

// attempt is one of a client's, at a carrier.
type attempt struct {
	c         *proxy
	r         *request
	sent      time.Duration // by the client
	arrivedAt time.Duration // here
	deadline  time.Duration
	tried     []*backend
	picked    balancer.Selection // as the settler knows it
	offered   int
	unreached int
	arrived   int // at backends
	ran       int
	mayHave   bool
	last      apierror.Kind
	answer    func(kind apierror.Kind, after time.Duration)
}

func (c *proxy) to(b *backend) *conns {
	k := c.conns[b]
	if k == nil {
		k = &conns{}
		c.conns[b] = k
	}
	k.idle = slices.DeleteFunc(k.idle, func(i idle) bool {
		over := c.w.now >= i.expiresAt || b.gone
		if over {
			k.open--
		}
		return over
	})
	return k
}

// carry takes a try from the client, as transit does.
func (c *proxy) carry(t *attempt) {
	w := c.w
	kind, after := w.way.admit(c, t)
	if kind != apierror.None {
		t.refuse(kind, after)
		return
	}
	c.next(t)
}

func (c *proxy) next(t *attempt) {
	w := c.w
	if w.now >= t.deadline {
		if t.last = apierror.DeadlineExceeded; t.mayHave {
			t.last = apierror.ResponseTimeout
		}
		c.finish(t)
		return
	}
	b, share, kind := w.way.pick(c, t)
	if b == nil {
		if t.last == apierror.None || !t.mayHave && t.offered == 0 && t.last != apierror.ConnectFailed {
			t.last = kind
		}
		c.finish(t)
		return
	}
	began := w.now
	c.do(t, b, func(m balancer.Result) {
		m.Latency = w.now - began
		w.way.end(c, t, b, m)
		if t.last = m.Kind; m.Kind == apierror.None {
			c.finish(t)
			return
		}
		t.tried = append(t.tried, b)
		if m.Kind == apierror.ConnectFailed {
			if t.unreached++; t.unreached >= maxDials {
				c.finish(t)
				return
			}
		} else {
			t.offered++
		}
		t.mayHave = t.mayHave || m.Kind.Policy().MayHaveExecuted
		if !w.way.again(c, t, m.Kind) {
			c.finish(t)
			return
		}
		c.next(t)
	}, share)
}

// do sends a try to a backend on an idle connection or a new one.
func (c *proxy) do(t *attempt, b *backend, done func(balancer.Result), share int) {
	w, k, lag := c.w, c.to(b), b.oneWay(c)
	j := &job{t: t, b: b}
	b.coming = append(b.coming, j)
	j.done = func(m balancer.Result) {
		b.coming = slices.DeleteFunc(b.coming, func(o *job) bool { return o == j })
		if m.HasLoad && m.Kind != apierror.ResponseTimeout && k.open <= share && len(k.idle) < maxIdle {
			k.idle = append(k.idle, idle{w.now + idleTimeout, b.epoch})
		} else {
			k.open--
		}
		done(m)
	}
	send := func(epoch int) {
		j.sentAt = w.now
		w.after(lag, func() { b.arrive(j, epoch) })
	}
	if n := len(k.idle); n > 0 {
		epoch := k.idle[n-1].epoch
		k.idle = k.idle[:n-1]
		send(epoch)
	} else {
		k.open++
		c.connect(b, t.deadline, func(kind apierror.Kind, silent bool) {
			if kind != apierror.None && !j.over {
				j.over = true
				j.done(balancer.Result{Kind: kind, Unresponsive: silent})
			} else if !j.over {
				send(b.epoch)
			}
		})
	}
	w.at(t.deadline, func() {
		if !j.over {
			j.over = true
			if j.sentAt == 0 {
				j.done(balancer.Result{Kind: apierror.DeadlineExceeded})
				return
			}
			b.cancel(j)
			j.done(balancer.Result{Kind: apierror.ResponseTimeout})
		}
	})
}

// connect brings up a connection.
func (c *proxy) connect(b *backend, deadline time.Duration, then func(kind apierror.Kind, silent bool)) {
	w, lag := c.w, b.oneWay(c)
	switch {
	case b.dark:
		if end := w.now + dialTimeout; end < deadline {
			w.at(end, func() { then(apierror.ConnectFailed, true) })
		} // else the try's own deadline ends it
	case b.gone:
		w.after(2*lag, func() { then(apierror.ConnectFailed, false) })
	default:
		w.s.Connections++
		w.after(2*lag+handshake, func() { then(apierror.None, false) })
	}
}

// finish answers the client by what was met last, as transit does.
func (c *proxy) finish(t *attempt) {
	switch rule := t.last.Policy(); {
	case t.last == apierror.None:
		t.answer(apierror.None, 0)
	case t.mayHave && !rule.MayHaveExecuted:
		t.refuse(apierror.ConnectionBroken, 0)
	case t.last == apierror.EndpointsSaturated:
		t.refuse(t.last, c.w.way.later(c, t))
	default:
		t.refuse(t.last, 0)
	}
}

func (t *attempt) refuse(kind apierror.Kind, after time.Duration) {
	if after <= 0 {
		after = kind.Policy().RetryAfter
	}
	t.answer(kind, after)
}
