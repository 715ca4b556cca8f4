package gauntlet

import (
	"encoding/json"
	"fmt"
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
		span, rate := coldOf(s)
		pools = append(pools, m{"name": s, "healthPath": "/health", "maxConns": 120, "protocol": "h1", "tlsMode": false,
			"coldS": span.Seconds(), "coldRateS": rate})
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
	return w.order(&Order{Config: c, Valid: valid}, "config.replace", "", c.JSON(), at, span)
}

// Evacuate begins or ends the evacuation of a zone.
func (w *World) Evacuate(zone string, begin bool, at *Machine) *Order {
	call := "evacuation.finish"
	if begin {
		call = "evacuation.begin"
	}
	return w.order(&Order{Zone: zone, Begin: begin, Valid: true}, call, zone, nil, at, w.Ledger.Bounds.Ack.Span())
}

func (w *World) order(o *Order, call, of string, body []byte, at *Machine, span time.Duration) *Order {
	o.At = w.Now()
	w.Ledger.do(func() { w.Ledger.Orders = append(w.Ledger.Orders, o) })
	first := ""
	if at != nil {
		first = at.control()
	}
	r := w.Rand("operator"+call+of, uint64(o.At))
	odd, pause := 0, 50*time.Millisecond
	for w.Now() < o.At+span {
		for _, address := range w.controls(r, first) {
			status, _, err := w.operator.call(address, call, of, body, time.Second)
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

// ReadBack asks for the configuration for contactS at least, as the operator does at the end of a day.
func (w *World) ReadBack() {
	r := w.Rand("reader", 0)
	read := Read{From: w.Now()}
	for began := w.Now(); w.Now() < began+w.Ledger.Bounds.Contact.Span()+time.Second; {
		for _, address := range w.controls(r, "") {
			status, body, err := w.operator.call(address, "config.read", "", nil, time.Second)
			if read.At = w.Now(); err == nil && status == 200 {
				read.OK, read.Body = true, string(body)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	w.Ledger.do(func() { w.Ledger.Reads = append(w.Ledger.Reads, read) })
}

// AskCores asks all controllers that run, each once and all at the same time, for the configuration.
func (w *World) AskCores(within time.Duration) {
	for _, m := range w.running(w.Cores) {
		w.Go(func() {
			read := Read{From: w.Now()}
			status, body, err := w.operator.call(m.control(), "config.read", "", nil, within)
			if err == nil && status == 200 {
				read.At, read.OK, read.Body = w.Now(), true, string(body)
				w.Ledger.do(func() { w.Ledger.Early = append(w.Ledger.Early, read) })
			}
		})
	}
}
