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

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/proxy"
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
	Spare    int  // carriers that start later
	Backends int  // of each service in each zone; 0: two
	Faults   int  // machineFaults
	Sharded  bool // a service that is divided by key is there too
	Log      hclog.Logger
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

func must(l net.Listener, err error) net.Listener {
	if err != nil {
		panic(err)
	}
	return l
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
	w.Ledger.endHolds(b.ID, w.Now())
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
