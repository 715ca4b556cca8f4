// Package jobs plays edits of parted sites.
package jobs

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/jobs"
	"elmfold/internal/fakes/fleet"
	"elmfold/internal/fakes/link"
)

const (
	editSites   = 5
	editEach    = 3 // processes of a site
	editJobs    = 1500
	healRounds  = 30
	maxHealTime = 2 * time.Second // p99
	editHands   = 6               // clients of a process
	failHands   = 5               // things that fail at once, each at processes of its own
	editSkew    = time.Hour       // by which a site's clock may be off
)

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{editsCommand()}
}

func editsCommand() *cobra.Command {
	var w report.Where
	var program string
	var edits, faults int
	c := &cobra.Command{
		Use:   "edits",
		Short: "sites of real processes take edits of the same jobs while links and processes fail, and come to the same",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playEdits(w, program, edits, faults) },
	}
	w.Flags(c)
	c.Flags().StringVar(&program, "program", "bin/elmfold-full", "the controller")
	c.Flags().IntVar(&edits, "edits", 100_000, "that are answered")
	c.Flags().IntVar(&faults, "faults", 1000, "cuts, kills, stops, old copies")
	return c
}

// made is an edit that was answered, with the time that its site's clock told.
type made struct {
	edit  jobs.Edit
	clock int64
}

type editing struct {
	*fleet.Rig
	seed      uint64
	mu        sync.Mutex
	all       []made
	unsure    map[jobs.ID]bool // an answer of one of its edits did not come
	refused   int
	remaining atomic.Int64   // edits
	faults    atomic.Int64   // that are left
	hasEdit   []sync.RWMutex // by process: held while nobody may make edits there
	quiet     atomic.Bool    // no more faults
}

func playEdits(w report.Where, program string, edits, faults int) error {
	dir, err := os.MkdirTemp("", "edits")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if program, err = filepath.Abs(program); err != nil {
		return err
	}
	n := editSites * editEach
	rig, err := fleet.New(program, dir, n, editSites, 10, true, func(p *fleet.Process) string {
		return fmt.Sprintf("control\n    socket %s\njobs\n    file %s\n", p.Control(), filepath.Join(p.Dir, "jobs"))
	})
	if err != nil {
		return err
	}
	defer rig.Close()
	if err := rig.StartAll(); err != nil {
		return err
	}
	e := &editing{Rig: rig, seed: w.Seed, unsure: map[jobs.ID]bool{}, hasEdit: make([]sync.RWMutex, n)}
	e.remaining.Store(int64(edits))
	e.faults.Store(int64(faults))
	began := time.Now()
	for i := range editJobs {
		c := rig.Processes[i%n].Client()
		e.make(
			c,
			i%n,
			jobs.Edit{
				ID:   editID(i),
				Kind: jobs.Arrive,
				Job:  &jobs.Job{Due: int64(i), Product: "lookup", Txns: 10, Home: rig.Processes[i%n].Site},
			},
		)
		c.Close()
	}
	if err := e.same(); err != nil {
		return err
	}
	var working, failing sync.WaitGroup
	for at := range n {
		for hand := range editHands {
			working.Go(func() { e.work(at, hand) })
		}
	}
	done, injected := make(chan bool), 0
	for hand := range failHands {
		failing.Go(func() {
			n := e.fail(hand, done)
			e.mu.Lock()
			injected += n
			e.mu.Unlock()
		})
	}
	heals := e.heals() // meanwhile: parted sites that meet again
	working.Wait()
	close(done)
	failing.Wait()
	e.Part(link.Open, nil)
	for _, p := range rig.Processes {
		p.Continue()
	}
	if err := e.same(); err != nil {
		return err
	}
	took := time.Since(began)
	r := report.New(
		"edits",
		w.Seed,
		fmt.Sprintf(
			"%d processes at %d sites, %d jobs, %d edits answered, %d faults, %.0f s",
			n,
			editSites,
			editJobs,
			len(e.all),
			injected,
			took.Seconds(),
		),
		"",
	)
	views := make([][]jobs.View, n)
	memory := 0 // of the largest
	for i, p := range rig.Processes {
		c := p.Client()
		if err := c.Ask("jobs", nil, &views[i]); err != nil {
			return err
		}
		// each forgets them in its own time
		views[i] = slices.DeleteFunc(views[i], func(v jobs.View) bool { return v.State.Ended() && len(v.Lost) == 0 })
		c.Close()
		memory = max(memory, report.ResidentOf(p.ID()))
	}
	differ := 0
	for _, v := range views[1:] {
		if !reflect.DeepEqual(v, views[0]) {
			differ++
		}
	}
	lost, wrong, rules := e.checkEdit(views[0])
	r.Expect("edits that were answered and are lost", lost, 0)
	r.Expect("processes whose jobs differ after the heal", differ, 0)
	r.Expect("jobs that are not what their edits come to by the rules", wrong, 0)
	slices.Sort(heals)
	p50, p99 := report.Part(heals, 0.5), report.Part(heals, 0.99)
	r.Row(
		"seconds from the heal until all are one",
		fmt.Sprintf("p50 %.2f", p50),
		fmt.Sprintf("p99 %.2f of %d", p99, len(heals)),
	)
	if p99 > maxHealTime.Seconds() {
		r.Missed = append(r.Missed, fmt.Sprintf("p99 from the heal until all are one is %.2f s", p99))
	}
	r.Row("edits a second, answered", fmt.Sprintf("%.0f", float64(len(e.all))/took.Seconds()))
	r.Row("jobs with an answer that did not come", len(e.unsure))
	for rule := 1; rule <= 8; rule++ {
		r.Row(fmt.Sprintf("shown as lost by rule %d", rule), rules[rule])
	}
	r.Row("resident memory at the end, most of a process, MB", memory>>20)
	vanish, apart := e.byClock()
	r.Row("baseline: last writer by clock, wishes that vanish though the winner did not know of them", vanish)
	r.Row("baseline: ... of them withdrawals and holds", apart)
	r.Figure = fmt.Sprintf(
		"%d edits, %d faults: lost %d, differ %d; one %.2f s after a heal (p99 %.2f); by clock %d wishes vanish",
		len(e.all),
		injected,
		lost,
		differ,
		p50,
		p99,
		vanish,
	)
	return r.Leave(w.Out)
}

func editID(i int) jobs.ID {
	return jobs.ID{Tenant: fmt.Sprint("t", i%40), Source: "sap", Number: uint64(i)}
}

// make asks for an edit; what is refused is no edit, and what was not answered may be one.
func (e *editing) make(c *fleet.Client, at int, edit jobs.Edit) {
	var got jobs.Edit
	err := c.Ask("job edit", edit, &got)
	skew := time.Duration(at%editSites-2) * editSkew / 2
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.all = append(e.all, made{got, time.Now().Add(skew).UnixNano()})
		e.remaining.Add(-1)
	case errors.Is(err, fleet.ErrRefused):
		e.refused++
	case !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, os.ErrNotExist):
		e.unsure[edit.ID] = true
	}
}

// work makes edits at one process until there are enough.
func (e *editing) work(at, hand int) {
	c := e.Processes[at].Client()
	defer c.Close()
	chance := rand.New(rand.NewPCG(e.seed, uint64(at*100+hand)))
	for e.remaining.Load() > 0 || e.faults.Load() > 0 {
		edit := jobs.Edit{ID: editID(chance.IntN(editJobs)), Operator: chance.IntN(3) == 0}
		switch chance.IntN(40) {
		case 0:
			edit.Kind = jobs.Dispatched
			edit.Epoch = 1
			if edit.ID.Number%10 > 0 { // most stay open, so that there is something to edit
				continue
			}
		case 1:
			edit.Kind = jobs.Withdraw
			if edit.ID.Number%10 > 1 {
				continue
			}
		case 2, 3, 4, 5, 6, 7, 8:
			edit.Kind, edit.Places = jobs.Place, [][]string{{"a"}, {"b"}, {"a", "b"}}[chance.IntN(3)]
		case 9, 10, 11, 12, 13, 14, 15:
			edit.Kind, edit.Expires = jobs.Expire, 1+chance.Int64N(1000)
		case 16, 17, 18, 19, 20, 21, 22, 23:
			edit.Kind, edit.Priority = jobs.Prioritise, chance.IntN(10)
		case 24, 25, 26, 27, 28, 29, 30, 31:
			edit.Kind = jobs.Hold
		default:
			edit.Kind = jobs.Release
		}
		e.hasEdit[at].RLock()
		e.make(c, at, edit)
		e.hasEdit[at].RUnlock()
	}
}

// fail does one thing after the other to links and processes of its own.
func (e *editing) fail(hand int, done <-chan bool) (n int) {
	chance := rand.New(rand.NewPCG(e.seed, uint64(7+hand)))
	copies := map[int][]byte{}
	for e.faults.Load() > 0 {
		select {
		case <-done:
			return n
		case <-time.After(10 * time.Millisecond):
		}
		if e.quiet.Load() {
			continue
		}
		n++
		e.faults.Add(-1)
		at := chance.IntN(editEach)*editSites + hand
		p := e.Processes[at]
		switch kind := chance.IntN(100); {
		case kind < 4: // killed, and now and then begun from an old copy, once others have what it was told since
			path := filepath.Join(p.Dir, "jobs")
			if old := copies[at]; old != nil && chance.IntN(3) == 0 {
				e.hasEdit[at].Lock()
				known := e.known(at)
				p.Kill()
				if known { // else what it answered last would be on no disk any more
					_ = os.WriteFile(path, old, 0o600)
				}
				e.hasEdit[at].Unlock()
			} else {
				p.Kill()
				if now, err := os.ReadFile(path); err == nil {
					copies[at] = now
				}
			}
			_ = p.Start()
		case kind < 14:
			p.Stop()
			time.Sleep(time.Duration(20+chance.IntN(80)) * time.Millisecond)
			p.Continue()
		default:
			mode := []link.Mode{link.Silent, link.Closed}[chance.IntN(2)]
			other := (at + editSites*chance.IntN(editEach) + 1 + chance.IntN(editSites-1)) % len(e.Processes)
			if other != at {
				e.Cut(at, other, mode, chance.IntN(3) == 0)
				time.Sleep(time.Duration(5+chance.IntN(30)) * time.Millisecond)
				e.Cut(at, other, link.Open, false)
			}
		}
	}
	return n
}

// heals parts the sites now and then, heals them, lets nobody make edits, and measures how long it takes until all
// have the same.
func (e *editing) heals() (seconds []float64) {
	chance := rand.New(rand.NewPCG(e.seed, 8))
	for range healRounds {
		if e.remaining.Load() <= 0 {
			return seconds
		}
		e.quiet.Store(true)
		split := 1 + chance.IntN(editSites-1)
		mode := []link.Mode{link.Silent, link.Closed}[chance.IntN(2)]
		e.Part(mode, func(i, j int) bool { return (i%editSites < split) != (j%editSites < split) })
		time.Sleep(700 * time.Millisecond)
		for i := range e.hasEdit {
			e.hasEdit[i].Lock()
		}
		e.Part(link.Open, nil)
		at := time.Now()
		if err := e.same(); err == nil {
			seconds = append(seconds, time.Since(at).Seconds())
		}
		for i := range e.hasEdit {
			e.hasEdit[i].Unlock()
		}
		e.quiet.Store(false)
		time.Sleep(500 * time.Millisecond)
	}
	return seconds
}

// known waits a while until another site knows all that one was told.
func (e *editing) known(at int) bool {
	one, other := e.Processes[at].Client(), e.Processes[(at+1)%len(e.Processes)].Client()
	defer one.Close()
	defer other.Close()
	for range 50 {
		var mine, its struct{ Knows jobs.VersionVector }
		if one.Ask("jobs sizes", nil, &mine) == nil && other.Ask("jobs sizes", nil, &its) == nil &&
			its.Knows.Dominates(mine.Knows) {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// same waits until all know the same.
func (e *editing) same() error {
	clients := make([]*fleet.Client, len(e.Processes))
	for i, p := range e.Processes {
		clients[i] = p.Client()
		defer clients[i].Close()
	}
	return fleet.Until("all know the same", func() (bool, error) {
		var first, s struct {
			Knows jobs.VersionVector
			Sum   uint64
		}
		for i, c := range clients {
			s.Knows = nil
			if err := c.Ask("jobs sizes", nil, &s); err != nil {
				return false, err
			}
			if i == 0 {
				first = s
			} else if s.Sum != first.Sum || !s.Knows.Dominates(first.Knows) || !first.Knows.Dominates(s.Knows) {
				return false, fmt.Errorf("n%d knows other edits than n0", i)
			}
		}
		return true, nil
	})
}

// checkEdit compares the jobs with what the answered edits come to.
func (e *editing) checkEdit(views []jobs.View) (lost, wrong int, rules map[int]int) {
	rules = map[int]int{}
	by := map[jobs.ID][]*jobs.Edit{}
	for i := range e.all {
		by[e.all[i].edit.ID] = append(by[e.all[i].edit.ID], &e.all[i].edit)
	}
	is := map[jobs.ID]jobs.View{}
	for _, v := range views {
		is[v.ID] = v
		for _, l := range v.Lost {
			rules[l.Rule]++
		}
	}
	for id, edits := range by {
		want := jobs.ComputeView(id, edits)
		got, there := is[id]
		if e.unsure[id] {
			continue // an edit that nobody was told of may stand in it
		}
		if !there && !want.State.Ended() {
			lost += len(edits)
			continue
		}
		// ... forgotten, and shown as that
		if there && !alikeView(got, want) && (!want.State.Ended() || got.State != jobs.StateUnknown) {
			wrong++
		}
	}
	return lost, wrong, rules
}

func alikeView(a, b jobs.View) bool {
	if len(a.Lost) != len(b.Lost) || !slices.Equal(a.Places, b.Places) {
		return false
	}
	for i := range a.Lost {
		if a.Lost[i] != b.Lost[i] {
			return false
		}
	}
	return a.State == b.State && a.Expires == b.Expires && a.Priority == b.Priority
}

// byClock is what the naive way loses: of each aspect of a job the latest by clock stands, and what it did not know of
// is gone without a word.
func (e *editing) byClock() (vanish, cautious int) {
	aspects := [][]jobs.Kind{{jobs.Hold, jobs.Release, jobs.Withdraw}, {jobs.Place}, {jobs.Expire}, {jobs.Prioritise}}
	by := map[jobs.ID][]made{}
	for _, m := range e.all {
		by[m.edit.ID] = append(by[m.edit.ID], m)
	}
	for _, all := range by {
		for _, aspect := range aspects {
			mine := slices.DeleteFunc(slices.Clone(all), func(m made) bool { return !slices.Contains(aspect, m.edit.Kind) })
			if len(mine) == 0 {
				continue
			}
			last := slices.MaxFunc(mine, func(a, b made) int { return cmp.Compare(a.clock, b.clock) })
			for _, m := range mine {
				replaced := slices.ContainsFunc(mine, func(o made) bool { return o.edit.CausalContext.Contains(m.edit.Dot) })
				if m.edit.Dot != last.edit.Dot && !last.edit.CausalContext.Contains(m.edit.Dot) && !replaced {
					vanish++
					if m.edit.Kind == jobs.Hold || m.edit.Kind == jobs.Withdraw {
						cautious++
					}
				}
			}
		}
	}
	return vanish, cautious
}
