// Package discovery plays how a key-value registry is followed: delays, size, memory.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/command"
	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/reconcile"
	standconsul "elmfold/internal/fakes/consul"
	standetcd "elmfold/internal/fakes/etcd"
	"elmfold/internal/fakes/kv"
	"elmfold/internal/fakes/link"
)

// The size of the experiment, as the issue states it.
const (
	backends    = 2000
	changes     = 20000
	cuts        = 200
	compactions = 50
	restarts    = 20
	older       = 5 // of the restarts
	every       = 1700 * time.Microsecond
	checkpoints = 20
	grace       = 2 * time.Second
	hold        = time.Second
)

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{registryCommand(), sizeCommand(), followerCommand()}
}

func registryCommand() *cobra.Command {
	var w report.Where
	var kind string
	c := &cobra.Command{
		Use:   "registry",
		Short: "a registry that cuts, compacts and is restored, beside a client that reads all each second",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			kinds := []string{kind}
			if kind == "" {
				kinds = []string{operatorfile.Etcd, operatorfile.Consul}
			}
			// Side by side: neither fills a core, and both end within a minute.
			reports, errs := make([]*report.Report, len(kinds)), make([]error, len(kinds))
			var playing sync.WaitGroup
			for i, k := range kinds {
				playing.Go(func() { reports[i], errs[i] = playRegistry(k, w.Seed) })
			}
			playing.Wait()
			for i, r := range reports {
				if errs[i] == nil {
					errs[i] = r.Leave(w.Out)
				}
			}
			return errors.Join(errs...)
		},
	}
	w.Flags(c)
	c.Flags().StringVar(&kind, "kind", "", "etcd or consul; both without it")
	return c
}

// registryServer is a stand-in of either kind.
type registryServer interface {
	Addr() string
	Stop()
}

// asked is how many reads, checks and watches a server has answered.
func asked(s registryServer) int {
	switch s := s.(type) {
	case *standetcd.Member:
		ranges, watches, _ := s.Asked()
		return ranges + watches
	case *standconsul.Server:
		wholes, blocked, _ := s.Asked()
		return wholes + blocked
	}
	return 0
}

func serve(kind string, store *kv.Store) (registryServer, error) {
	if kind == operatorfile.Etcd {
		return standetcd.Start(store, nil)
	}
	return standconsul.Start(store, nil)
}

// ledger knows each change that was made and sees what a client makes of it.
type ledger struct {
	mu      sync.Mutex
	made    map[string][]deed // by id, in order
	began   time.Time
	history int
}

// deed is a change: the member's size is its number, so that no two are alike.
type deed struct {
	number  int
	gone    bool
	drain   bool
	at      time.Time
	history int
}

// watcher is one client's view.
type watcher struct {
	*ledger
	reported        map[string]reconcile.Member
	seen            map[string]int // the number last told, by id
	delays          []float64      // ms
	drains          []float64
	doubled, wrong  int
	late            int
	changes, wholes int
	requests        int
	freed           map[string]bool // its order may begin anew: the registry was restored
}

func newWatcher(l *ledger) *watcher {
	return &watcher{ledger: l, reported: map[string]reconcile.Member{}, seen: map[string]int{}, freed: map[string]bool{}}
}

// handle takes what a client was told, whole or as changes.
func (w *watcher) handle(l reconcile.List) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Complete {
		w.wholes++
		clear(w.reported)
	}
	for _, m := range l.Members {
		was, there := w.reported[m.ID]
		gone := m.Phase == reconcile.Deleted
		if gone && !there || !gone && there && was == m {
			w.doubled++
			continue
		}
		w.changes++
		if w.reported[m.ID] = m; gone {
			delete(w.reported, m.ID)
		}
		w.place(m, gone, there, now)
	}
}

// place finds the deed that was told: the next one of that backend that fits. One before it is out of order,
// unless the registry went back.
func (w *watcher) place(m reconcile.Member, gone, there bool, now time.Time) {
	all := w.made[m.ID]
	from := w.seen[m.ID]
	for i := from; i < len(all); i++ {
		if d := all[i]; gone && d.gone || !gone && d.number == int(m.Weight) && !d.gone {
			w.seen[m.ID] = i + 1
			delay := float64(now.Sub(d.at)) / float64(time.Millisecond)
			if d.history == w.history && d.number <= changes {
				w.delays = append(w.delays, delay)
				if d.drain && there { // else nobody sends there
					if w.drains = append(w.drains, delay); now.Sub(d.at) > grace {
						w.late++
					}
				}
			}
			return
		}
	}
	if !w.freed[m.ID] {
		w.wrong++
	}
}

// differs counts the backends of which the view is not what the registry holds.
func (w *watcher) differs(store *kv.Store, prefix string) (n int) {
	_, revision, _, _, _ := store.State()
	entries, _ := store.Range(prefix+"/", prefix+"0", revision, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	held := map[string]reconcile.Member{}
	for _, e := range entries {
		if m, err := reconcile.ParseValue(prefix, e.Key, e.Value, 1<<20); err == nil {
			held[m.ID] = m
		}
	}
	for id, m := range held {
		if w.reported[id] != m {
			n++
		}
	}
	for id := range w.reported {
		if _, ok := held[id]; !ok {
			n++
		}
	}
	return n
}

const prefix = "lab/backends"

func member(id string, phase string, number int) string {
	return fmt.Sprintf(
		`{"id":%q,"host_port":"10.1.0.18:3000","locality":"a","flavor":"m2","cell":3,"phase":%q,"size":%d,"up_since_ms":0}`,
		id,
		phase,
		number,
	)
}

func playRegistry(kind string, seed uint64) (*report.Report, error) {
	began := time.Now()
	chance := rand.New(rand.NewPCG(seed, 16))
	store := kv.New(77)
	book := &ledger{made: map[string][]deed{}, began: began}
	id := func(i int) string { return fmt.Sprintf("s-%04d", i) }
	state := map[string]string{}
	for i := range backends {
		store.Put(prefix+"/"+id(i), member(id(i), reconcile.Serving, i+1000000))
		book.made[id(i)] = append(book.made[id(i)], deed{number: i + 1000000, at: began})
		state[id(i)] = reconcile.Serving
	}
	number := 0
	server, err := serve(kind, store)
	if err != nil {
		return nil, err
	}
	split := func(n int) link.Script {
		s := link.Calm
		s.Split = 256 + (n*977)%4096
		return s
	}
	ours, err := link.New(server.Addr(), split)
	if err != nil {
		return nil, err
	}
	theirs, err := link.New(server.Addr(), nil)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	plan := reconcile.DefaultConfig()
	plan.Prefix, plan.Endpoints, plan.RestoredListHold = prefix, 1, hold
	plan.WatchSendsChanges, plan.SupportsCheck = kind == operatorfile.Etcd, kind == operatorfile.Etcd
	o := operatorfile.Registry{Kind: kind, Endpoints: []string{ours.Addr()}, Config: plan}
	if kind == operatorfile.Consul {
		o.Config.ResponseTimeout, o.Config.AuditInterval = 4*time.Second, 0
	}
	mine, naive := newWatcher(book), newWatcher(book)
	follower := command.NewFollower(o, fmt.Sprint("lab", seed), func(said any) {
		if l, ok := said.(reconcile.List); ok {
			mine.handle(l)
		}
	}, logrus.NewEntry(log))
	go follower.Run()
	stop := make(chan struct{})
	var polling sync.WaitGroup
	polling.Add(1)
	go func() { defer polling.Done(); poll(kind, theirs.Addr(), naive, stop) }()

	// What happens at which change is drawn before it begins.
	plans := map[int][]string{}
	draw := func(n int, what string) {
		for range n {
			at := 200 + chance.IntN(changes-400)
			plans[at] = append(plans[at], what)
		}
	}
	draw(cuts, "cut")
	draw(compactions, "compact")
	draw(restarts-older, "restart")
	for i := range older { // one in each part of the run, away from the checkpoints
		at := (i+1)*changes/(older+1) + 250
		plans[at] = append(plans[at], "older")
	}
	done, answered := map[string]int{}, 0
	missed := 0
	settle := func() {
		for over := time.Now().Add(8 * time.Second); ; time.Sleep(2 * time.Millisecond) {
			if n := mine.differs(store, prefix); n == 0 {
				return
			} else if time.Now().After(over) {
				missed += n
				return
			}
		}
	}
	settle()
	first := time.Since(began)
	snapshot, snapState := store.Save(), map[string]string{}
	next := time.Now()
	for i := 1; i <= changes; i++ {
		if i%(changes/checkpoints) == 0 {
			settle()
			snapshot, next = store.Save(), time.Now()
			for k, v := range state {
				snapState[k] = v
			}
			book.mu.Lock()
			mine.freed, naive.freed = map[string]bool{}, map[string]bool{}
			book.mu.Unlock()
		}
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		next = next.Add(every)
		name := id(chance.IntN(backends))
		number++
		d := deed{number: number, at: time.Now(), history: book.history}
		phase := reconcile.Serving
		switch was := state[name]; {
		case was == reconcile.Serving && chance.IntN(2) == 0:
			phase, d.drain = reconcile.Draining, true
		case was == reconcile.Draining && chance.IntN(2) == 0:
			phase, d.gone = "", true
		}
		state[name] = phase
		book.mu.Lock()
		book.made[name] = append(book.made[name], d)
		book.mu.Unlock()
		if d.gone {
			store.Delete(prefix + "/" + name)
		} else {
			store.Put(prefix+"/"+name, member(name, phase, number))
		}
		for _, what := range plans[i] {
			done[what]++
			switch what {
			case "cut":
				ours.CutAll()
			case "compact":
				store.Compact(0)
			case "restart", "older":
				answered += asked(server)
				server.Stop()
				if what == "older" {
					_, _, _, epoch, _ := store.State()
					book.mu.Lock()
					book.history++ // what was done before is no change any more when it is told again
					mine.freed, naive.freed = everyone(book.made), everyone(book.made)
					for id := range mine.seen {
						mine.seen[id], naive.seen[id] = 0, 0
					}
					book.mu.Unlock()
					store.Restore(snapshot, 77+uint64(epoch%2))
					clear(state)
					for k, v := range snapState {
						state[k] = v
					}
				}
				if server, err = serve(kind, store); err != nil {
					return nil, err
				}
				ours.To(server.Addr())
				theirs.To(server.Addr())
				ours.CutAll()
				theirs.CutAll()
			}
		}
	}
	settle()
	close(stop)
	polling.Wait()
	follower.Stop()
	answered += asked(server)
	server.Stop()
	ours.Close()
	theirs.Close()

	r := report.New(
		"registry-"+kind,
		seed,
		fmt.Sprintf(
			"%d backends, %d changes, %d cuts, %d compactions, %d restarts of which %d with an older list",
			backends,
			changes,
			done["cut"],
			done["compact"],
			done["restart"]+done["older"],
			done["older"],
		),
		"elmfold",
		"reads all each second",
	)
	r.Expect("missed at a checkpoint", missed, 0)
	r.Expect("doubled", mine.doubled, 0)
	r.Expect("out of order", mine.wrong, 0)
	r.Expect("drains told later than 2 s", mine.late, 0)
	r.Row("drains told", len(mine.drains), len(naive.drains))
	r.Row("changes told", mine.changes, naive.changes)
	r.Row("delay, median ms", report.Ms(report.Part(mine.delays, 0.5)), report.Ms(report.Part(naive.delays, 0.5)))
	r.Row("delay, p99 ms", report.Ms(report.Part(mine.delays, 0.99)), report.Ms(report.Part(naive.delays, 0.99)))
	r.Row("delay of drains, p99 ms", report.Ms(report.Part(mine.drains, 0.99)), report.Ms(report.Part(naive.drains, 0.99)))
	r.Row("bytes received", ours.Passed(), theirs.Passed())
	r.Row("connections", ours.Taken(), theirs.Taken())
	r.Row("requests answered", answered-naive.requests, naive.requests)
	r.Row("first whole list, ms", report.Ms(float64(first)/float64(time.Millisecond)), "")
	r.Row("seconds", fmt.Sprintf("%.1f", time.Since(began).Seconds()), "")
	r.Curves["elmfold"], r.Curves["reads all each second"] = mine.delays, naive.delays
	r.Figure = fmt.Sprintf(
		"%s seed %d: missed %d, doubled %d, out of order %d, drains late %d; delay median %s ms, p99 %s ms",
		kind,
		seed,
		missed,
		mine.doubled,
		mine.wrong,
		mine.late,
		report.Ms(report.Part(mine.delays, 0.5)),
		report.Ms(report.Part(mine.delays, 0.99)),
	)
	return r, nil
}

func everyone(made map[string][]deed) map[string]bool {
	all := map[string]bool{}
	for id := range made {
		all[id] = true
	}
	return all
}

// poll is the naive client: it reads all each second and tells the differences.
func poll(kind, addr string, w *watcher, stop chan struct{}) {
	had := map[string]reconcile.Member{}
	read := reader(kind, addr)
	for tick := time.NewTicker(time.Second); ; {
		select {
		case <-stop:
			tick.Stop()
			return
		case <-tick.C:
		}
		entries, err := read()
		w.requests++
		if err != nil {
			continue
		}
		l := reconcile.List{}
		now := map[string]reconcile.Member{}
		for _, e := range entries {
			m, err := reconcile.ParseValue(prefix, e.Key, e.Value, 1<<20)
			if err != nil {
				continue
			}
			if now[m.ID] = m; had[m.ID] != m {
				l.Members = append(l.Members, m)
			}
		}
		for id, m := range had {
			if _, ok := now[id]; !ok {
				m.Phase = reconcile.Deleted
				l.Members = append(l.Members, m)
			}
		}
		had = now
		w.handle(l)
	}
}

func sizeCommand() *cobra.Command {
	var w report.Where
	c := &cobra.Command{
		Use:   "registry-size",
		Short: "memory and time of following 10,000 keys of 300 bytes, in a process of its own",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playSize(w) },
	}
	w.Flags(c)
	return c
}

const (
	sizeKeys  = 10000
	sizeBytes = 300
)

func playSize(w report.Where) error {
	r := report.New(
		"registry-size",
		w.Seed,
		fmt.Sprintf("%d keys of %d bytes, a follower in a process of its own", sizeKeys, sizeBytes),
		operatorfile.Etcd,
		operatorfile.Consul,
	)
	got := map[string]footprint{}
	for _, kind := range []string{operatorfile.Etcd, operatorfile.Consul} {
		store := kv.New(1)
		for i := range sizeKeys {
			id := fmt.Sprintf("s-%05d", i)
			text := member(id, reconcile.Serving, 1)
			text = strings.TrimSuffix(text, "}") + `,"note":"` + strings.Repeat("x", sizeBytes-len(text)-10) + `"}`
			store.Put(prefix+"/"+id, text)
		}
		server, err := serve(kind, store)
		if err != nil {
			return err
		}
		out, err := exec.Command(os.Args[0], "follower", "--kind", kind, "--endpoint", server.Addr()).Output()
		server.Stop()
		if err != nil {
			return err
		}
		var f footprint
		if err := json.Unmarshal(out, &f); err != nil {
			return err
		}
		got[kind] = f
	}
	a, b := got[operatorfile.Etcd], got[operatorfile.Consul]
	r.Row("backends told", a.Backends, b.Backends)
	r.Row("first whole read, ms", report.Ms(a.Ms), report.Ms(b.Ms))
	r.Row("resident before, KiB", a.Before, b.Before)
	r.Row("resident while following, KiB", a.After, b.After)
	r.Row("heap while following, KiB", a.Heap, b.Heap)
	r.Row("heap for each backend, bytes", a.Heap*1024/sizeKeys, b.Heap*1024/sizeKeys)
	for kind, f := range got {
		if f.Backends != sizeKeys {
			r.Missed = append(r.Missed, fmt.Sprintf("%s told %d backends", kind, f.Backends))
		}
	}
	r.Figure = fmt.Sprintf(
		"following %d keys: heap %d KiB (etcd), %d KiB (Consul); first whole read %s and %s ms",
		sizeKeys,
		a.Heap,
		b.Heap,
		report.Ms(a.Ms),
		report.Ms(b.Ms),
	)
	return r.Leave(w.Out)
}

// footprint is what a follower costs.
type footprint struct {
	Backends            int
	Ms                  float64
	Before, After, Heap int // KiB
}

func followerCommand() *cobra.Command {
	var kind, endpoint string
	c := &cobra.Command{Use: "follower", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		plan := reconcile.DefaultConfig()
		plan.Prefix, plan.Endpoints = prefix, 1
		plan.WatchSendsChanges, plan.SupportsCheck = kind == operatorfile.Etcd, kind == operatorfile.Etcd
		if kind == operatorfile.Consul {
			plan.ResponseTimeout, plan.AuditInterval = 10*time.Second, 0
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		whole := make(chan int, 1)
		f := footprint{Before: resident()}
		began := time.Now()
		follower := command.NewFollower(
			operatorfile.Registry{Kind: kind, Endpoints: []string{endpoint}, Config: plan},
			"size",
			func(said any) {
				if l, ok := said.(reconcile.List); ok && l.Complete {
					whole <- len(l.Members)
				}
			},
			logrus.NewEntry(log),
		)
		go follower.Run()
		f.Backends = <-whole
		f.Ms = float64(time.Since(began)) / float64(time.Millisecond)
		time.Sleep(2500 * time.Millisecond) // following: progress is asked for
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		f.After, f.Heap = resident(), int(m.HeapAlloc>>10)
		follower.Stop()
		return json.NewEncoder(os.Stdout).Encode(f)
	}}
	c.Flags().StringVar(&kind, "kind", operatorfile.Etcd, "etcd or consul")
	c.Flags().StringVar(&endpoint, "endpoint", "", "HOST:PORT")
	return c
}

// resident is what this process holds, in KiB.
func resident() (kib int) {
	text, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &kib)
		}
	}
	return kib
}
