// Package simulation runs the whole gateway in one process, in virtual time: real controllers and carriers over
// connections and disks in memory, scripted backends, an operator and clients beside them, and an exact ledger of what
// each of them saw. It must be run inside a testing/synctest bubble.
//
// A seed fixes the load (each request's moment, id, zone, path and body), the free faults and the aimed ones, and
// what each backend does with each request. It does not fix what the carriers draw (transit takes chance of its
// own), nor how goroutines that are ready at the same virtual moment follow one another, nor what hangs on either:
// whom an aimed fault meets where it asks who acknowledged. A failing day is thus played again under the same
// troubles, not to the byte.
package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/proxy"
	"elmfold/internal/proxy/upstream"
)

const (
	ports = 7540
)

// slowStartOf is how long a service's backends are cold, and what they may be sent then, requests/s.
func slowStartOf(service string) (span time.Duration, rate float64) {
	if service == "fresh" {
		return 14 * time.Second, 8
	}
	return 3 * time.Second, 1
}

// Shape is a deployment.
type Shape struct {
	Zones    []string
	Cores    int // spread over the zones in turn
	Proxies  int
	Spare    int // carriers that start later
	Backends int // of each service in each zone; 0: two
	Faults   int // machineFaults
	Log      hclog.Logger
}

// Machine is one that runs a program of the gateway.
type Machine struct {
	Name, IP, Zone string
	Disk           *Disk // nil: it carries
	incarnation    int
	host           *Host // nil: no process runs
	proxy          *proxy.Proxy
	controller     *controlplane.Server
	stop           func() // of what the process leaves behind in this one
	started        bool   // once before
	shuttingDown   bool
	ending         bool                   // SIGTERM has come to this process
	later          bool                   // it came after the first start of the whole system: bootstrap is false
	spare          bool                   // it carries, but not yet
	retired        bool                   // gone for good, as far as the operator knows
	successor      *Machine               // that came in its place
	firstStart     time.Duration          // the start of its first process
	seeds          []string               // of its next start; nil: the operator's list then
	clock          atomic.Int64           // how far its time of day is off
	hung           int                    // troubles of its disk that last
	up             func(at time.Duration) // ends its trouble
	in             bool                   // the platform sends clients there
	missed         int
}

// World is one day.
type World struct {
	Net               *Net
	Ledger            *Ledger
	HeartbeatInterval time.Duration
	Machines          map[string]*Machine
	Proxies           []*Machine
	cores             atomic.Pointer[[]*Machine] // that the operator counts, by their slots
	listed            []listing                  // ... as its list has them, which lags
	coreMu            sync.Mutex
	shape             Shape
	seed              uint64
	began             time.Time
	mu                sync.Mutex // of backends, and of the machines' processes
	backends          map[string]*Backend
	incarnations      int
	loads             atomic.Uint64
	platform          *Host
	operator          *Host
	pens              [2]*Host // of the two operators
	done              chan struct{}
	proxies           []*proxy.Proxy // of all lives, for their invariants
	busy              sync.WaitGroup // clients' requests, and scripts
}

// NewWorld makes the machines of a day; none is started.
func NewWorld(seed uint64, shape Shape) *World {
	if shape.Log == nil {
		shape.Log = hclog.NewNullLogger()
		if level := os.Getenv("SIMULATION_LOG"); level != "" { // to look into one day
			shape.Log = hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(level), DisableTime: true})
		}
	}
	w := &World{
		Ledger:            NewLedger(bootconfig.Default().Bounds),
		HeartbeatInterval: 1500 * time.Millisecond,
		Machines:          map[string]*Machine{},
		shape:             shape,
		seed:              seed,
		began:             time.Now(),
		backends:          map[string]*Backend{},
		done:              make(chan struct{}),
	}
	w.Net = NewNet(func(from, to string) time.Duration {
		zone := func(ip string) string { return ip[:strings.Index(ip[3:], ".")+3] }
		switch {
		case from == to:
			return 20 * time.Microsecond
		case zone(from) == zone(to):
			return 200 * time.Microsecond
		}
		return 1400 * time.Microsecond
	})
	for i := range shape.Cores {
		m := &Machine{Name: fmt.Sprintf("core-%d", i), IP: fmt.Sprintf("10.%d.0.%d", i%len(shape.Zones), 10+i),
			Zone: shape.Zones[i%len(shape.Zones)]}
		w.addCore(m)
	}
	for i := range shape.Proxies + shape.Spare {
		m := &Machine{Name: fmt.Sprintf("edge-%d", i), IP: fmt.Sprintf("10.%d.0.%d", i%len(shape.Zones), 100+i),
			Zone: shape.Zones[i%len(shape.Zones)], spare: i >= shape.Proxies}
		w.Machines[m.Name] = m
		w.Proxies = append(w.Proxies, m)
	}
	w.Ledger.Faults = shape.Faults
	w.platform, w.operator = w.Net.Host("10.90.0.1"), w.Net.Host("10.91.0.1")
	w.pens = [2]*Host{w.operator, w.Net.Host("10.91.0.2")}
	return w
}

// Now is since the world began.
func (w *World) Now() time.Duration { return time.Since(w.began) }

// Rand is a stream of chance of its own for each actor, so that none shifts another's.
func (w *World) Rand(actor string, n uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, sum([]byte(actor))+n))
}

// Start starts all machines that carry or control within 0.3 s, in any order, and the platform.
func (w *World) Start() {
	r := w.Rand("start", 0)
	for _, m := range slices.Concat(w.Cores(), w.Proxies) {
		if after := time.Duration(r.Int64N(int64(300 * time.Millisecond))); !m.spare {
			w.Go(func() { time.Sleep(after); w.first(m) })
		}
	}
	go w.watch()
}

// first is Run, but for a machine that was started, and perhaps ended, already.
func (w *World) first(m *Machine) {
	w.mu.Lock()
	was := m.started
	w.mu.Unlock()
	if !was {
		w.Run(m)
	}
}

func (w *World) settings(m *Machine) *bootconfig.Settings {
	s := bootconfig.Default()
	s.Name, s.IP, s.Zone, s.Region = m.Name, m.IP, m.Zone, "land"
	s.Zones = map[string]string{}
	for _, z := range w.shape.Zones {
		s.Zones[z] = "land"
	}
	s.PortRange, s.Bootstrap, s.Counted = [2]int{ports, ports + 15}, !m.started && !m.later, m.Disk != nil
	if s.Seeds = m.seeds; s.Seeds == nil {
		s.Seeds = w.seeds(m)
	}
	m.seeds = nil
	s.Limits.MaxFDs, s.FaultBudget.Machines, s.FaultBudget.Zones = 4100, w.shape.Faults, 1
	s.HeartbeatInterval, s.Bounds = bootconfig.Seconds(w.HeartbeatInterval.Seconds()), w.Ledger.Bounds
	s.Listen = map[string]string{"front": m.front(), "readiness": m.IP + ":8542"}
	if m.Disk != nil {
		s.Listen = map[string]string{"control": m.control()}
	}
	return &s
}

// runs says whether a process runs on a machine.
func (w *World) runs(m *Machine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.host != nil
}

func (m *Machine) control() string { return m.IP + ":8544" }
func (m *Machine) front() string   { return m.IP + ":8548" }

func must(l net.Listener, err error) net.Listener {
	if err != nil {
		panic(err)
	}
	return l
}

// Run starts the machine's process.
func (w *World) Run(m *Machine) {
	if w.run(m); m.Disk != nil {
		w.coreEvent()
	}
}

func (w *World) run(m *Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.host != nil || m.retired {
		return
	}
	m.incarnation++
	h := w.Net.Host(m.IP)
	m.host, m.shuttingDown, m.ending, m.spare = h, false, false, false
	set := w.settings(m)
	log := w.shape.Log.Named(m.Name)
	if w.shape.Log.IsInfo() {
		log = log.With("t", hclog.Fmt("%v", logTime{w}))
	}
	quiet := func(s *http.Server) *http.Server {
		s.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
		s.ReadHeaderTimeout, s.IdleTimeout = 5*time.Second, 20*time.Second
		return s
	}
	dial := func(address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
		defer cancel()
		return h.Dial(ctx, address, 3*time.Second)
	}
	if m.Disk != nil {
		disk, known, fresh := m.Disk.Open(h)
		s := controlplane.New(controlplane.Options{Settings: set, Disk: disk, DiskComplete: known, DiskFresh: fresh, Log: log,
			Clock: clockwork.NewRealClock(), Dial: dial, Listener: must(h.Listen(set.OwnPeerAddress())), TimeOfDay: m.timeOfDay})
		calls := quiet(&http.Server{Handler: s.Handler(), ReadTimeout: 20 * time.Second})
		listen := must(h.Listen(m.control()))
		go func() { _ = calls.Serve(listen) }()
		go s.Run()
		m.controller = s
		m.stop = func() {
			_ = calls.Close()
			// Calls that wait end by their own times; a Server that was stopped leaves them waiting for ever.
			time.Sleep(6 * time.Second)
			s.Stop()
		}
	} else {
		c := proxy.New(proxy.Options{Settings: set, Log: log, Clock: clockwork.NewRealClock(), Dial: dial,
			Upstream: upstream.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return h.Dial(ctx, address, 2*time.Second)
			}}})
		ready := quiet(&http.Server{Handler: c.Readiness()})
		listen, front := must(h.Listen(m.IP+":8542")), must(h.Listen(m.front()))
		go func() { _ = ready.Serve(listen) }()
		go func() { _ = c.Serve(front) }()
		go c.Run()
		m.proxy = c
		w.proxies = append(w.proxies, c)
		m.stop = func() {
			_ = ready.Close()
			c.Shutdown(0)
		}
	}
	if m.started {
		w.Ledger.BeginFault(w.Now(), m.Name, "start", false)(w.Now())
	} else {
		m.firstStart = w.Now()
	}
	if m.up != nil {
		m.up(w.Now())
		m.up = nil
	}
	m.started = true
}

type logTime struct{ w *World }

func (t logTime) String() string { return fmt.Sprintf("%.4f", t.w.Now().Seconds()) }

// Kill ends a machine's process as SIGKILL does.
func (w *World) Kill(m *Machine) { w.end(m, "kill", false) }

// Power takes a machine's power; Run gives it back.
func (w *World) Power(m *Machine) {
	w.Net.Dark(m.IP, true)
	w.end(m, "power", true)
}

// PowerOn gives it back and starts the process.
func (w *World) PowerOn(m *Machine) {
	w.Net.Dark(m.IP, false)
	w.Run(m)
}

func (w *World) end(m *Machine, what string, silent bool) {
	if w.stop(m, what, silent); m.Disk != nil {
		w.coreEvent()
	}
}

func (w *World) stop(m *Machine, what string, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, leaving := m.host, m.shuttingDown
	if h == nil {
		return
	}
	if what != "exit" {
		m.up = w.Ledger.BeginFault(w.Now(), m.Name, what, false)
	}
	m.host = nil
	if m.Disk != nil {
		m.Disk.lose(h, w.Rand("unsynced "+m.Name, uint64(m.incarnation)))
	}
	if silent {
		h.Power()
	} else {
		h.Kill()
	}
	if stop := m.stop; !leaving {
		w.busy.Go(stop)
	}
}

// Term sends SIGTERM; the process ends by itself, or by SIGKILL after graceS.
func (w *World) Term(m *Machine) {
	grace := w.Ledger.Bounds.Grace.Duration()
	w.mu.Lock()
	if m.host == nil || m.ending {
		w.mu.Unlock()
		return
	}
	w.Ledger.BeginFault(w.Now(), m.Name, "term", false)(w.Now() + grace)
	c, s, life := m.proxy, m.controller, m.incarnation
	m.ending = true
	if m.shuttingDown = m.Disk == nil; m.shuttingDown {
		w.Ledger.do(func() { w.Ledger.Terms = append(w.Ledger.Terms, Term{m.Name, w.Now()}) })
	}
	w.mu.Unlock()
	left := make(chan struct{})
	w.busy.Go(func() {
		if c != nil {
			c.Shutdown(grace - 300*time.Millisecond)
		} else if s != nil {
			s.Shutdown(grace - 300*time.Millisecond)
		}
		close(left)
	})
	if c == nil {
		w.coreEvent()
	}
	select {
	case <-left:
	case <-time.After(grace):
	}
	w.mu.Lock()
	same := m.incarnation == life
	w.mu.Unlock()
	if same {
		w.end(m, "exit", false)
	}
}

// Cut parts two machines, both ways or from the first to the second only; the function joins them.
func (w *World) Cut(a, b *Machine, both bool) (join func()) {
	core := a.Disk != nil && b.Disk != nil
	var ends []func(time.Duration)
	for _, m := range []*Machine{a, b} {
		if core || m.Disk == nil {
			ends = append(ends, w.Ledger.BeginFault(w.Now(), m.Name, "cut", false))
		}
	}
	w.Net.Cut(a.IP, b.IP)
	if both {
		w.Net.Cut(b.IP, a.IP)
	}
	if core {
		w.coreEvent()
	}
	return func() {
		w.Net.Join(a.IP, b.IP)
		if both {
			w.Net.Join(b.IP, a.IP)
		}
		for _, end := range ends {
			end(w.Now())
		}
		if core {
			w.coreEvent()
		}
	}
}

// Isolate parts one of the core's machines from the others, both ways or so that it is not heard. The others, which
// are more than half, are settled again before it is joined.
func (w *World) Isolate(c *Machine, both bool) (join func()) {
	ways := [][2]string{}
	for _, o := range w.all() {
		if o != c {
			if ways = append(ways, [2]string{c.IP, o.IP}); both {
				ways = append(ways, [2]string{o.IP, c.IP})
			}
		}
	}
	return w.part(ways, c)
}

// Halve parts some of the core's machines from its others, both ways; the function joins them.
func (w *World) Halve(some []*Machine) (join func()) {
	ways := [][2]string{}
	for _, c := range some {
		for _, o := range w.all() {
			if !slices.Contains(some, o) {
				ways = append(ways, [2]string{c.IP, o.IP}, [2]string{o.IP, c.IP})
			}
		}
	}
	return w.part(ways, some...)
}

// part cuts ways, which is a trouble of some machines; the function joins them.
func (w *World) part(ways [][2]string, of ...*Machine) (join func()) {
	var ends []func(time.Duration)
	for _, m := range of {
		ends = append(ends, w.Ledger.BeginFault(w.Now(), m.Name, "cut", false))
	}
	for _, way := range ways {
		w.Net.Cut(way[0], way[1])
	}
	w.coreEvent()
	return func() {
		for _, way := range ways {
			w.Net.Join(way[0], way[1])
		}
		w.coreEvent()
		for _, end := range ends {
			end(w.Now())
		}
	}
}

// Freeze keeps a machine from all others, which is as near as one process comes to freezing another.
func (w *World) Freeze(m *Machine, span time.Duration) {
	thaw := w.Frozen(m)
	time.Sleep(span)
	thaw()
}

// Frozen is Freeze until the function is called.
func (w *World) Frozen(m *Machine) (thaw func()) {
	end := w.Ledger.BeginFault(w.Now(), m.Name, "freeze", false)
	w.Net.Freeze(m.IP, true)
	if m.Disk != nil {
		w.coreEvent()
	}
	return func() {
		w.Net.Freeze(m.IP, false)
		if end(w.Now()); m.Disk != nil {
			w.coreEvent()
		}
	}
}

// Reset breaks a machine's connections.
func (w *World) Reset(m *Machine) {
	w.Ledger.BeginFault(w.Now(), m.Name, "reset", false)(w.Now())
	if w.Net.Reset(m.IP); m.Disk != nil {
		w.coreEvent()
	}
}

// running are the machines of a list with a process.
func (w *World) running(all []*Machine) (out []*Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range all {
		if m.host != nil {
			out = append(out, m)
		}
	}
	return out
}

// controls are the addresses of the controllers as a caller asks them: the first, then the others by chance.
func (w *World) controls(r *rand.Rand, first string) []string {
	all := w.list()
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, first); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	return all
}

func (w *World) machineAt(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, m := range w.Machines {
		if strings.HasPrefix(address, m.IP+":") {
			return name
		}
	}
	return ""
}

func (w *World) left(b *Backend, at string) {
	w.Ledger.do(func() {
		w.Ledger.Shutdowns = append(w.Ledger.Shutdowns, Leave{Backend: b.ID, At: w.Now(), By: w.machineAt(at)})
	})
}

// ends notes that a backend is not there to be used any more.
func (w *World) ends(b *Backend) {
	w.Ledger.do(func() {
		for i := range w.Ledger.Incarnations {
			if x := &w.Ledger.Incarnations[i]; x.Backend == b.ID && x.To == 0 {
				x.To = w.Now()
			}
		}
	})
}

func (w *World) gone(b *Backend) {
	w.ends(b)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.backends, b.ID)
}

// Backends are those that run, in the order of their ids.
func (w *World) Backends() (all []*Backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range sortedKeys(w.backends) {
		all = append(all, w.backends[id])
	}
	return all
}

// Go runs a script beside the day; Finish waits for it.
func (w *World) Go(f func()) { w.busy.Go(f) }

// watch is the platform: it asks each carrier every second whether it is ready.
func (w *World) watch() {
	for {
		for _, m := range w.Proxies {
			go w.probe(m)
		}
		select {
		case <-time.After(time.Second):
		case <-w.done:
			return
		}
	}
}

func (w *World) probe(m *Machine) {
	ok := w.platform.get(m.IP+":8542", "/v1/readiness") == http.StatusOK
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		m.in, m.missed = true, 0
	} else if m.missed++; m.missed >= 2 {
		m.in = false
	}
}

// proxiesFor are the carriers for a client of a zone, in the order in which its tries reach them.
func (w *World) proxiesFor(zone string, hash uint64) []*Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var near, in, other []*Machine // the platform uses all of a zone that has none, or too few, when it must
	for _, m := range w.Proxies {
		switch {
		case m.spare:
		case m.Zone == zone:
			if near = append(near, m); m.in {
				in = append(in, m)
			}
		case m.in:
			other = append(other, m)
		}
	}
	switch {
	case len(in) == 0 && len(other) > 0:
		in = other
	case 2*len(in) < len(near):
		in = near
	}
	if len(in) == 0 {
		return nil
	}
	k := int(hash % uint64(len(in)))
	return slices.Concat(in[k:], in[:k])
}

// Violations is how often an invariant that the proxies check themselves did not hold.
func (w *World) Violations() (n uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.proxies {
		n += p.Violations()
	}
	return n
}

// Finish ends the day: clients and scripts first, then all machines, so that no goroutine outlives it.
func (w *World) Finish() {
	close(w.done)
	w.busy.Wait()
	for _, b := range w.Backends() {
		b.Crash()
	}
	for _, m := range w.all() {
		w.Kill(m)
	}
	for _, m := range w.Proxies {
		w.Kill(m)
	}
	w.platform.Kill()
	w.pens[0].Kill()
	w.pens[1].Kill()
	w.busy.Wait()
	time.Sleep(10 * time.Second)
}
