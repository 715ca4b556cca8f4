package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// system is one core, its operators' list, and what they were told.
type system struct {
	r      *run
	dir    string
	net    string // the first three bytes of its addresses
	faults int    // machines that may be lost at once
	seeds  []string
	ledger *ledger

	mu      sync.Mutex
	all     []*machine
	version uint32 // the highest that was used
	ended   []string
	chance  *rand.Rand

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

const (
	maxMachines = 16
	startSpread = 300 * time.Millisecond // in which all start, in any order
	watchEvery  = 120 * time.Millisecond
	callTimeout = time.Second // a caller's patience
)

var zones = []string{"a", "b", "c"}

// newSystem makes the machines; start starts them. All of it ends with the run.
func newSystem(r *run, size, faults int) (*system, error) {
	s := &system{r: r, dir: r.dir, net: r.nextNet(), faults: faults, ledger: newLedger(),
		chance: rand.New(rand.NewPCG(r.chance.Uint64(), 2)), version: uint32(1 + r.chance.IntN(9))}
	for range size {
		if _, err := s.another(); err != nil {
			return nil, err
		}
	}
	for _, m := range s.all[:min(size, 3)] {
		s.seeds = append(s.seeds, m.control())
	}
	s.ctx, s.stop = context.WithCancel(r.ctx)
	if !r.quiet {
		s.done.Go(func() { s.watch(s.ctx) })
	}
	r.systems = append(r.systems, s)
	return s, nil
}

// another makes a machine with an address of its own.
func (s *system) another() (*machine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.all)
	if n == maxMachines {
		return nil, fmt.Errorf("more than %d machines", maxMachines)
	}
	m := &machine{s: s, name: fmt.Sprintf("core-%d", n+1), zone: zones[n%len(zones)], ip: fmt.Sprintf("%s.%d", s.net, n+1)}
	m.disk = filepath.Join(s.dir, m.name)
	s.all = append(s.all, m)
	return m, os.MkdirAll(s.dir, 0o755)
}

// start is the first start of all, in any order within a span.
func (s *system) start(within time.Duration) error {
	order := s.machines()
	s.chance.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for i, m := range order {
		if i > 0 {
			if err := s.r.wait(within / time.Duration(len(order)) * time.Duration(s.chance.IntN(100)) / 100); err != nil {
				return err
			}
		}
		if err := m.start(true, s.seeds); err != nil {
			return err
		}
	}
	return nil
}

// up is a system that has taken its first order.
func (r *run) up(size, faults int) (*system, error) {
	s, err := newSystem(r, size, faults)
	if err != nil {
		return nil, err
	}
	if err := s.start(startSpread); err != nil {
		return nil, err
	}
	return s, s.orders("the start", time.Now(), 8*time.Second)
}

// add brings a new machine: a new address, an empty disk, seeds of this moment.
func (s *system) add(seeds []string) (*machine, error) {
	m, err := s.another()
	if err != nil {
		return nil, err
	}
	return m, m.start(false, seeds)
}

func (s *system) machines() []*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.all)
}

// serving are those that could answer.
func (s *system) serving() (out []*machine) {
	for _, m := range s.machines() {
		if m.serves() {
			out = append(out, m)
		}
	}
	return out
}

// list is what callers know: it lags behind machines that went.
func (s *system) list() (out []*machine) {
	for _, m := range s.machines() {
		m.mu.Lock()
		if m.incarnation > 0 && (m.lost.IsZero() || time.Since(m.lost) < seedLag) {
			out = append(out, m)
		}
		m.mu.Unlock()
	}
	return out
}

// own takes the end of a process that nobody brought about.
func (s *system) own(what string) {
	s.r.log("%s", what)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, what)
}

func (s *system) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chance.IntN(n)
}

// evidence adds to the journal how the core saw itself when its story fell short.
func (s *system) evidence() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout) // the play's own may be over
	defer cancel()
	each(s.serving(), func(_ int, m *machine) {
		if a := s.call(ctx, m, "core.status", "", nil, callTimeout); a.orderOutcome() == committed {
			s.r.log("%s: core.status: %s", m.name, a.body)
		}
	})
}

// close ends all processes, and gives what was wrong besides the story's own checks.
func (s *system) close() []string {
	s.stop()
	s.done.Wait()
	for _, m := range s.machines() {
		m.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(s.ledger.broken(), s.ended)
}

// watch reads at one machine after the other for as long as the story lasts; the ledger checks each answer.
func (s *system) watch(ctx context.Context) {
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchEvery):
		}
		if all := s.list(); len(all) > 0 {
			s.done.Go(func() { s.read(ctx, all[i%len(all)], callTimeout) })
		}
	}
}
