package simulation

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// JSON is the configuration's body; the same each time.
func (c *Config) JSON() []byte {
	if c.Spoilt != "" {
		return []byte(c.Spoilt)
	}
	type m = map[string]any
	header, idle := c.Header, c.Idle
	if header == 0 {
		header = 3
	}
	if idle == 0 {
		idle = 15
	}
	var sockets, pools []m
	for _, r := range c.Routes {
		kind := "unsafe"
		if r.Safe {
			kind = "safe"
		}
		effect := m{"timeoutS": r.TimeoutS, "maxTries": max(r.MaxTries, 1)}
		if len(r.Services) == 1 {
			effect["service"] = r.Services[0]
		} else {
			var split []m
			for _, s := range r.Services {
				split = append(split, m{"service": s, "share": 50})
			}
			effect["trafficSplit"] = split
		}
		sockets = append(sockets, m{"authority": r.Host, "ruleset": []m{{"name": "r" + r.Host + r.Prefix, "routeKind": kind,
			"targetS": 1, "priority": 1, "predicate": m{"pathPrefix": r.Prefix}, "effect": effect}}})
	}
	for _, s := range c.Services {
		span, rate := slowStartOf(s)
		pool := m{"name": s, "healthPath": "/health", "maxConns": 120, "protocol": "h1", "tlsMode": false,
			"coldS": span.Seconds(), "coldRateS": rate}
		if slices.Contains(c.Sharded, s) {
			pool["sharded"], pool["warmupS"], pool["granted"] = true, keyWarmup.Seconds(), "call"
		}
		pools = append(pools, pool)
	}
	text, err := json.Marshal(m{"generation": fmt.Sprintf("%08x", c.Version), "sockets": sockets, "pools": pools,
		"limits": m{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutS": header, "idleTimeoutS": idle}})
	if err != nil {
		panic(err)
	}
	return text
}

// Replace sends a configuration until it gets a clear answer, or the span is over. At names the first controller;
// nil: any.
func (w *World) Replace(c *Config, valid bool, at *Machine, span time.Duration) *Order {
	return w.send(&Order{Config: c, Valid: valid}, at, span, 0)
}

// Evacuate begins or ends the evacuation of a zone.
func (w *World) Evacuate(zone string, begin bool, at *Machine) *Order {
	return w.send(&Order{Zone: zone, Begin: begin, Valid: true}, at, w.Ledger.Bounds.Ack.Duration(), 0)
}

// call is an order as it is called, and its body.
func (o *Order) call() (call string, body []byte) {
	switch {
	case o.Config != nil:
		return "config.replace", o.Config.JSON()
	case o.Begin:
		return "evacuation.begin", nil
	}
	return "evacuation.finish", nil
}

// send sends an order, from the operator that it names, until it gets a clear answer or the span is over. So many first
// answers are lost on their way: after a second of silence it goes to another controller.
func (w *World) send(o *Order, at *Machine, span time.Duration, lost int) *Order {
	o.At = w.Now()
	w.Ledger.do(func() { w.Ledger.Orders = append(w.Ledger.Orders, o) })
	defer w.Ledger.do(func() { o.End = w.Now() })
	first := ""
	if at != nil {
		first = at.control()
	}
	call, _ := o.call()
	r := w.Rand("operator"+call+o.Zone, uint64(o.At)+uint64(o.Pen))
	odd, pause := 0, 50*time.Millisecond
	asked := map[string]time.Duration{}
	for w.Now() < o.At+span {
		for _, address := range leastRecentlyAsked(w.controls(r, first), asked) {
			began := w.Now()
			asked[address] = began
			status, _, err := w.ask(o.Pen, address, o, lost > 0)
			if lost--; lost >= 0 {
				time.Sleep(time.Second - (w.Now() - began))
			}
			if err == nil && status/100 == 4 && status != 408 && status != 429 {
				switch odd++; {
				case status == 400, status == 409, status == 412, status == 413, status == 422, odd == 3:
					w.Ledger.do(func() { o.Status = status })
					return o
				}
			}
			if err == nil && status/100 == 2 {
				w.Ledger.do(func() { o.Status, o.Acked, o.By = status, w.Now(), w.machineAt(address) })
				return o
			}
			time.Sleep(pause)
			if pause = min(pause*2, time.Second); w.Now() >= o.At+span {
				break
			}
		}
		first = ""
	}
	return o
}

// leastRecentlyAsked orders controllers by when they were asked last: a caller goes on to another one after a failure,
// also where it begins anew with the list.
func leastRecentlyAsked(addresses []string, asked map[string]time.Duration) []string {
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(asked[a], asked[b]) })
	return addresses
}

var errLost = errors.New("the answer is lost")

// ask makes one call of an order, or of a read (nil), and notes it. Lost: its answer does not come.
func (w *World) ask(pen int, address string, o *Order, lost bool) (status int, answer []byte, err error) {
	c := &Call{Kind: "config.read", At: w.Now(), End: -1, By: w.machineAt(address)}
	var body []byte
	if o != nil {
		c.Of = o.Zone
		c.Kind, body = o.call()
		if o.Config != nil {
			c.Version, c.Sum = o.Config.Version, sum(body)
		}
	}
	w.Ledger.do(func() { w.Ledger.Calls = append(w.Ledger.Calls, c) })
	status, answer, err = w.pens[pen].call(address, c.Kind, c.Of, body)
	if lost {
		status, answer, err = 0, nil, errLost
	}
	if err == nil {
		w.Ledger.do(func() { c.End, c.Status, c.Got = w.Now(), status, sum(answer) })
	}
	return status, answer, err
}

// read asks one controller for the configuration.
func (w *World) read(m *Machine) (status int, body []byte, err error) {
	return w.ask(0, m.control(), nil, false)
}

// ReadBack asks for the configuration for contactS at least, as the operator does at the end of a day.
func (w *World) ReadBack() {
	r := w.Rand("reader", 0)
	read := Read{From: w.Now()}
	for began := w.Now(); w.Now() < began+w.Ledger.Bounds.Contact.Duration()+time.Second; {
		for _, address := range w.controls(r, "") {
			status, body, err := w.ask(0, address, nil, false)
			if read.At = w.Now(); err == nil && status == 200 {
				read.OK, read.Body = true, string(body)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	w.Ledger.do(func() { w.Ledger.Reads = append(w.Ledger.Reads, read) })
}

// AskCores asks all controllers that run, each once and all at the same time, for the configuration.
func (w *World) AskCores() {
	for _, m := range w.running(w.all()) {
		w.Go(func() {
			read := Read{From: w.Now()}
			status, body, err := w.read(m)
			if err == nil && status == 200 {
				read.At, read.OK, read.Body = w.Now(), true, string(body)
				w.Ledger.do(func() { w.Ledger.EarlyReads = append(w.Ledger.EarlyReads, read) })
			}
		})
	}
}
