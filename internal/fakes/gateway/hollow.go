package gateway

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

func heartbeatTarget(answer []byte) string {
	if len(answer) < 4 { // {}
		return ""
	}
	var a struct {
		BeatTarget string `json:"beatTarget"`
	}
	_ = json.Unmarshal(answer, &a)
	return a.BeatTarget
}

// Counts of bytes and frames at the hollow side.
type Counts struct{ Read, Wrote, In, Out atomic.Int64 }

type counted struct {
	net.Conn
	c *Counts
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.Read.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.Wrote.Add(int64(n))
	return n, err
}

// HollowPlan says how many there are and what they tell.
type HollowPlan struct {
	Carriers, Backends, Services int
	Zones                        []string
	Beat                         float64
	// Requests a second that each carrier's reports tell of: one backend and one service met for each, up to all of the
	// services. None is sent.
	Requests int
	Seed     uint64
	// Joins a second, once the backends have beaten: 0 is all at once, with the backends.
	Joins int
}

// Hollow are carriers and backends that share this process. They say what real ones say: lines with Hello, Renew, the
// report to the controller that steers, the wish for a configuration; beats over HTTP. What they are told is only
// looked at as far as the questions of Wait go.
type Hollow struct {
	plan          HollowPlan
	d             *Deployment
	connections   Counts // of all lines
	heartbeats    Counts
	byIncarnation []*heartbeatSender
	all           []*hollowProxy
	watch         atomic.Pointer[watch]
	done          chan struct{}
	ended         sync.WaitGroup
	tables        atomic.Int64 // messages with tables
	backend       [][]string   // ids by zone
}

// watch is a word that is looked for.
type watch struct {
	id      []byte // of a backend; or
	hi      uint64 // the version of a configuration
	pending atomic.Int64
	there   chan struct{}
}

type hollowProxy struct {
	h           *Hollow
	name        string
	zone        int
	steerer     int // controller
	mu          sync.Mutex
	connections []*rpc.Conn
	version     uint64
	wanted      uint64
	askedAt     time.Time
	fetches     []int    // by controller, for what is wanted
	safe        []uint64 // by controller: the newest configuration that it said to be in force
	seen        *watch
	synced      []bool
	renewal     uint64
	chance      *rand.Rand
}

// frame is what is looked at of a message.
type frame struct {
	Hello           cbor.RawMessage        `cbor:"3,keyasint,omitempty"`
	Offers          []offer                `cbor:"4,keyasint,omitempty"`
	Safe            map[string]rpc.Version `cbor:"6,keyasint,omitempty"`
	Backends        cbor.RawMessage        `cbor:"13,keyasint,omitempty"`
	EndpointsSynced bool                   `cbor:"14,keyasint,omitempty"`
	Tables          cbor.RawMessage        `cbor:"22,keyasint,omitempty"`
}

type offer struct {
	Name    string          `cbor:"1,keyasint"`
	Version rpc.Version     `cbor:"2,keyasint"`
	Value   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

const (
	configRegister     = "charter"
	fetchRetryInterval = 400 * time.Millisecond
)

// StartHollow starts them; they dial at once and again after each loss, until Stop.
func StartHollow(d *Deployment, plan HollowPlan) *Hollow {
	h := &Hollow{plan: plan, d: d, done: make(chan struct{}), backend: make([][]string, len(plan.Zones))}
	every := time.Duration(plan.Beat * float64(time.Second))
	for i := range plan.Backends {
		zone := i / plan.Services % len(plan.Zones)
		l := Incarnation{ID: fmt.Sprintf("i-%08x", i), Service: ServiceName(i % plan.Services), Zone: plan.Zones[zone],
			Address: fmt.Sprintf("10.%d.%d.%d:8080", zone, i/250, i%250+1), Capacity: 4}
		h.backend[zone] = append(h.backend[zone], l.ID)
		phase := every * time.Duration(i) / time.Duration(plan.Backends)
		// Each begins at the next of the controllers, as callers that choose from a list do.
		controls := append(
			append([]string(nil), d.Controls()[i%len(d.Controllers):]...),
			d.Controls()[:i%len(d.Controllers)]...)
		h.byIncarnation = append(h.byIncarnation, startHeartbeats(l, plan.Beat, phase, controls, &h.heartbeats))
	}
	for i := range plan.Carriers {
		c := &hollowProxy{
			h:           h,
			name:        fmt.Sprintf("hollow-%03d", i),
			zone:        i % len(plan.Zones),
			connections: make([]*rpc.Conn, len(d.Controllers)),
			synced: make(
				[]bool,
				len(d.Controllers),
			),
			fetches: make([]int, len(d.Controllers)),
			safe:    make([]uint64, len(d.Controllers)),
			chance:  rand.New(rand.NewPCG(plan.Seed, uint64(i))),
		}
		c.steerer = h.steererOf(plan.Zones[c.zone])
		h.all = append(h.all, c)
	}
	h.ended.Add(1)
	go h.join()
	h.ended.Add(1)
	go h.tick()
	return h
}

// join lets the carriers come.
func (h *Hollow) join() {
	defer h.ended.Done()
	if h.plan.Joins > 0 {
		h.wait(2 * time.Duration(h.plan.Beat*float64(time.Second)))
	}
	for _, c := range h.all {
		if h.plan.Joins > 0 && !h.wait(time.Second/time.Duration(h.plan.Joins)) {
			return
		}
		for k := range h.d.Controllers {
			h.ended.Add(1)
			go c.keep(k)
		}
	}
}

// wait says whether the span passed before the end.
func (h *Hollow) wait(span time.Duration) bool {
	select {
	case <-h.done:
		return false
	case <-time.After(span):
		return true
	}
}

// steererOf is the zone's own controller, or the one that rendezvous gives, as carriers choose.
func (h *Hollow) steererOf(zone string) (best int) {
	top := uint64(0)
	for k, c := range h.d.Controllers {
		rank := balancer.RendezvousHash(c.Name, zone) &^ (1 << 63)
		if c.Zone == zone {
			rank |= 1 << 63
		}
		if k == 0 || rank > top {
			best, top = k, rank
		}
	}
	return best
}

// Stop ends all of them.
func (h *Hollow) Stop() {
	close(h.done)
	for _, c := range h.all {
		c.mu.Lock()
		for _, l := range c.connections {
			if l != nil {
				l.Close()
			}
		}
		c.mu.Unlock()
	}
	for _, b := range h.byIncarnation {
		close(b.done)
	}
	for _, b := range h.byIncarnation {
		<-b.ended
	}
	h.ended.Wait()
}

// tick renews all leases once a second, spread over it.
func (h *Hollow) tick() {
	defer h.ended.Done()
	const parts = 20
	t := time.NewTicker(time.Second / parts)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-h.done:
			return
		case <-t.C:
		}
		for i := n % parts; i < len(h.all); i += parts {
			h.all[i].renew()
		}
	}
}

func (c *hollowProxy) renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewal++
	for k, l := range c.connections {
		if l == nil {
			continue
		}
		m := &rpc.Message{Lease: rpc.Lease{RenewLease: max(c.renewal, 2)}}
		if k == c.steerer {
			c.report(m)
		}
		l.Send(m)
		c.h.connections.Out.Add(1)
	}
	c.want()
}

// report tells of requests that went to backends of the own zone.
func (c *hollowProxy) report(m *rpc.Message) {
	m.WantTables, m.ReportSeconds = true, 1
	own := c.h.backend[c.zone]
	if len(own) == 0 {
		return
	}
	services := map[int]float64{}
	for range c.h.plan.Requests {
		services[c.chance.IntN(c.h.plan.Services)]++
	}
	for s, n := range services {
		m.ServiceLoads = append(m.ServiceLoads, rpc.ServiceLoad{Service: ServiceName(s), Requests: n})
	}
	for range min(c.h.plan.Requests, len(own)) {
		m.EndpointReports = append(
			m.EndpointReports,
			rpc.EndpointReport{ID: own[c.chance.IntN(len(own))], Attempts: 1, Latency: 500 + int64(c.chance.IntN(200))},
		)
	}
}

// keep is a goroutine for each line: it dials, says hello, reads frames until the line breaks, and begins again.
func (c *hollowProxy) keep(k int) {
	defer c.h.ended.Done()
	for {
		if conn, err := net.DialTimeout("tcp4", c.h.d.Controllers[k].Peer(), time.Second); err == nil {
			c.read(k, counted{conn, &c.h.connections})
			_ = conn.Close()
		}
		if !c.h.wait(250 * time.Millisecond) {
			return
		}
	}
}

func (c *hollowProxy) read(k int, conn net.Conn) {
	line := rpc.NewConn(conn) // its writer alone is used
	defer line.Close()
	line.Send(&rpc.Message{Hello: &rpc.Hello{Node: rpc.Node{Name: c.name, Zone: c.h.plan.Zones[c.zone],
		Address: "10.9.9.9:7540"}, Incarnation: uint64(c.zone) + 1, IsProxy: true}})
	defer func() {
		c.mu.Lock()
		c.connections[k], c.synced[k], c.safe[k] = nil, false, 0
		c.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, 4096)
	var body []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second)) // as carriers do
		n, err := binary.ReadUvarint(in)
		if err != nil || n > rpc.MaxFrameBytes {
			return
		}
		if uint64(cap(body)) < n {
			body = make([]byte, n)
		}
		body = body[:n]
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		c.h.connections.In.Add(1)
		var f frame
		if err := cbor.Unmarshal(body, &f); err != nil {
			panic(fmt.Sprintf("a controller sent what is no message: %v", err))
		}
		c.onFrame(k, line, &f)
		if cap(body) > 64<<10 {
			body = nil
		}
	}
}

func (c *hollowProxy) onFrame(k int, line *rpc.Conn, f *frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.Hello != nil {
		c.connections[k] = line
		line.Send(&rpc.Message{Lease: rpc.Lease{RenewLease: 1}})
		c.h.connections.Out.Add(1)
	}
	c.synced[k] = c.synced[k] || f.EndpointsSynced
	if len(f.Tables) > 0 {
		c.h.tables.Add(1)
	}
	if s, ok := f.Safe[configRegister]; ok && s.Number > c.safe[k] {
		if c.safe[k] = s.Number; s.Number > c.wanted {
			c.wanted, c.askedAt = s.Number, time.Time{}
			clear(c.fetches)
		}
	}
	for _, o := range f.Offers {
		if o.Name == configRegister {
			c.version = max(c.version, o.Version.Number)
		}
	}
	c.want()
	w := c.h.watch.Load()
	if w == nil || c.seen == w {
		return
	}
	if w.id != nil && bytes.Contains(f.Backends, w.id) || w.id == nil && c.version >= w.hi {
		if c.seen = w; w.pending.Add(-1) == 0 {
			close(w.there)
		}
	}
}

// want asks for the newest configuration as a carrier does: of those that said it is in force the nearest, and another
// each time that it did not come.
func (c *hollowProxy) want() {
	if c.version >= c.wanted || time.Since(c.askedAt) < fetchRetryInterval {
		return
	}
	best := -1
	for k, l := range c.connections {
		if l == nil || c.safe[k] < c.wanted {
			continue
		}
		if best < 0 || c.fetches[k] < c.fetches[best] || c.fetches[k] == c.fetches[best] && c.own(k) && !c.own(best) {
			best = k
		}
	}
	if best >= 0 {
		c.askedAt = time.Now()
		c.fetches[best]++
		c.connections[best].Send(&rpc.Message{RegisterUpdate: rpc.RegisterUpdate{FetchRegisters: []string{configRegister}}})
		c.h.connections.Out.Add(1)
	}
}

func (c *hollowProxy) own(k int) bool { return c.h.d.Controllers[k].Zone == c.h.plan.Zones[c.zone] }

func (h *Hollow) look(w *watch) *watch {
	w.there = make(chan struct{})
	w.pending.Store(int64(len(h.all)))
	h.watch.Store(w)
	if len(h.all) == 0 {
		close(w.there)
	}
	return w
}

// Drain has a backend say that it leaves; it returns the times until that was acknowledged and until all carriers were
// told, 0 where that took longer than most.
func (h *Hollow) Drain(i int, most time.Duration) (acknowledged, known time.Duration) {
	w := h.look(&watch{id: []byte(h.byIncarnation[i].incarnation.ID)})
	defer h.watch.Store(nil)
	over, began, tell := time.After(most), time.Now(), make(chan time.Time, 1)
	h.byIncarnation[i].draining <- tell
	for acknowledged == 0 || known == 0 {
		select {
		case t := <-tell:
			acknowledged, tell = t.Sub(began), nil
		case <-w.there:
			known, w.there = time.Since(began), nil
		case <-over:
			return acknowledged, known
		}
	}
	return acknowledged, known
}

// Configured waits until all carriers were given a configuration of a version, once put has put it; 0 where that took
// longer than most.
func (h *Hollow) Configured(
	version uint32,
	most time.Duration,
	put func() error,
) (acknowledged, known time.Duration, err error) {
	w := h.look(&watch{hi: uint64(version)})
	defer h.watch.Store(nil)
	began := time.Now()
	over := time.After(most)
	if err := put(); err != nil {
		return 0, 0, err
	}
	acknowledged = time.Since(began)
	select {
	case <-w.there:
		known = time.Since(began)
	case <-over:
	}
	return acknowledged, known, nil
}

// Up is how many lines stand, and how many of them said that they know what others know of backends.
func (h *Hollow) Up() (lines, settled int) {
	for _, c := range h.all {
		c.mu.Lock()
		for k, l := range c.connections {
			if l != nil {
				lines++
			}
			if c.synced[k] {
				settled++
			}
		}
		c.mu.Unlock()
	}
	return lines, settled
}

// Said is what went over lines and beats until now: bytes to and from the hollow ones, frames, messages with tables.
type Said struct {
	LinesIn, LinesOut, FramesIn, FramesOut, BeatsIn, BeatsOut, Tables int64
}

// Said reads the counts.
func (h *Hollow) Said() Said {
	return Said{
		LinesIn:   h.connections.Read.Load(),
		LinesOut:  h.connections.Wrote.Load(),
		FramesIn:  h.connections.In.Load(),
		FramesOut: h.connections.Out.Load(),
		BeatsIn:   h.heartbeats.Read.Load(),
		BeatsOut:  h.heartbeats.Wrote.Load(),
		Tables:    h.tables.Load(),
	}
}
