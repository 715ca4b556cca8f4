package simulation

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/proxy"
	"elmfold/internal/proxy/upstream"
)

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

func (m *Machine) control() string { return m.IP + ":8544" }

func (m *Machine) front() string { return m.IP + ":8548" }

func (w *World) settings(m *Machine) *bootconfig.Settings {
	s := bootconfig.Default()
	s.Name, s.IP, s.Zone, s.Region = m.Name, m.IP, m.Zone, "land"
	s.Zones = map[string]string{}
	for _, z := range w.shape.Zones {
		s.Zones[z] = "land"
	}
	s.PortRange, s.Bootstrap, s.InFaultBudget = [2]int{ports, ports + 15}, !m.started && !m.later, m.Disk != nil
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

// first is Run, but for a machine that was started, and perhaps ended, already.
func (w *World) first(m *Machine) {
	w.mu.Lock()
	was := m.started
	w.mu.Unlock()
	if !was {
		w.Run(m)
	}
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
		calls := quiet(&http.Server{
			Handler: s.Handler(), ConnContext: s.ConnContext, ReadTimeout: 20 * time.Second,
		})
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
