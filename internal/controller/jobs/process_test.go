package jobs_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"elmfold/internal/controller/jobs"
	"elmfold/internal/fakes/fleet"
	"elmfold/internal/fakes/link"
)

var program string

func TestMain(m *testing.M) { fleet.Built(m, &program) }

type rig struct {
	*fleet.Rig
	t       *testing.T
	clients []*fleet.Client
}

func newRig(t *testing.T, n, sites int) *rig {
	t.Helper()
	t.Parallel()
	r := &rig{t: t, Rig: fleet.Laid(t, program, n, sites, func(p *fleet.Process) string {
		return fmt.Sprintf("control\n    socket %s\njobs\n    file %s\n", p.Control(), file(p))
	})}
	for _, p := range r.Processes {
		r.clients = append(r.clients, p.Client())
	}
	return r
}

func file(p *fleet.Process) string { return filepath.Join(p.Dir, "jobs") }

func id(n int) jobs.ID { return jobs.ID{Tenant: "acme", Source: "sap", Number: uint64(n)} }

// do makes an edit at a process; it must be taken.
func (r *rig) do(at int, e jobs.Edit) {
	r.t.Helper()
	if e.Kind == jobs.Arrive {
		e.Job = &jobs.Job{Due: 1000, Product: "lookup", Txns: 5, Home: "site-a"}
	}
	if err := fleet.Until(fmt.Sprintf("%s at n%d", e.Kind, at), func() (bool, error) {
		err := r.clients[at].Ask("job edit", e, nil)
		return err == nil, err
	}); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) views(at int) (all []jobs.View, err error) {
	err = r.clients[at].Ask("jobs", nil, &all)
	return all, err
}

// same waits until all of some have the same jobs, and what must be so of them is.
func (r *rig) same(what string, must func(all []jobs.View) bool, which ...int) {
	r.t.Helper()
	if err := fleet.Until(what, func() (bool, error) {
		first, err := r.views(which[0])
		if err != nil || !must(first) {
			return false, fmt.Errorf("n%d has %+v (%w)", which[0], first, err)
		}
		for _, i := range which[1:] {
			if other, err := r.views(i); err != nil || !reflect.DeepEqual(first, other) {
				return false, fmt.Errorf("n%d has %+v, n%d %+v (%w)", which[0], first, i, other, err)
			}
		}
		return true, nil
	}); err != nil {
		r.t.Fatal(err)
	}
}

func is(n int, state jobs.State) func([]jobs.View) bool {
	return func(all []jobs.View) bool {
		for _, v := range all {
			if v.ID == id(n) {
				return v.State == state
			}
		}
		return false
	}
}

// Six processes at three sites that are parted: each site takes edits of the same job; the cuts are healed a link at a
// time, and all come to the same, with what lost and by which rule.
func TestProcessesParted(t *testing.T) {
	r := newRig(t, 6, 3)
	r.do(0, jobs.Edit{ID: id(1), Kind: jobs.Arrive})
	r.same("it is known to all", is(1, jobs.StateArrived), 0, 1, 2, 3, 4, 5)
	r.Part(link.Silent, func(i, j int) bool { return i%3 != j%3 })
	r.do(0, jobs.Edit{ID: id(1), Kind: jobs.Release, Operator: true})
	r.do(1, jobs.Edit{ID: id(1), Kind: jobs.Hold})
	r.do(5, jobs.Edit{ID: id(1), Kind: jobs.Dispatched, Epoch: 4})
	r.same("a site agrees while it is cut off", is(1, jobs.StateHeld), 1, 4)
	r.Part(link.Silent, func(i, j int) bool { return i%3 != j%3 && i%3 != 1 && j%3 != 1 })
	r.same("two sites meet", is(1, jobs.StateDispatched), 1, 4, 2, 5)
	r.Part(link.Open, nil)
	r.same("all meet", func(all []jobs.View) bool {
		return len(all) == 1 && all[0].State == jobs.StateDispatched && len(all[0].Lost) == 2 && all[0].Epoch == 4
	}, 0, 1, 2, 3, 4, 5)
}

// What was answered is on the disk: a process is killed with -9 between an answer and whoever would hear of it.
// Then one starts from yesterday's copy of its store and one from half a store: nothing is lost, nothing ended is
// open again.
func TestProcessesStores(t *testing.T) {
	r := newRig(t, 5, 5)
	r.Part(link.Silent, func(i, j int) bool { return i == 0 || j == 0 })
	r.do(0, jobs.Edit{ID: id(1), Kind: jobs.Arrive})
	r.Processes[0].Kill()
	r.Part(link.Open, nil)
	start := func(i int) {
		t.Helper()
		r.clients[i].Close()
		if err := r.Processes[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	start(0)
	r.same("what was answered is there", is(1, jobs.StateArrived), 0, 1, 2, 3, 4)

	r.do(1, jobs.Edit{ID: id(2), Kind: jobs.Arrive})
	r.same("another", is(2, jobs.StateArrived), 0, 1, 2, 3, 4)
	r.Processes[1].Kill()
	copied, err := os.ReadFile(file(r.Processes[1]))
	if err != nil {
		t.Fatal(err)
	}
	start(1)
	r.do(1, jobs.Edit{ID: id(1), Kind: jobs.Hold, Operator: true})
	r.do(2, jobs.Edit{ID: id(2), Kind: jobs.Resolved})
	gone := func(all []jobs.View) bool { return len(all) == 1 && is(1, jobs.StateHeld)(all) }
	r.same("the second has ended, and all have folded it", gone, 0, 1, 2, 3, 4)
	r.Processes[1].Kill()
	if err := os.WriteFile(file(r.Processes[1]), copied, 0o600); err != nil {
		t.Fatal(err)
	}
	start(1)
	r.do(1, jobs.Edit{ID: id(1), Kind: jobs.Prioritise, Priority: 7})
	r.same(
		"the copy of yesterday takes nothing back",
		func(all []jobs.View) bool { return gone(all) && all[0].Priority == 7 },
		0,
		1,
		2,
		3,
		4,
	)

	r.Processes[3].Kill()
	if err := os.WriteFile(file(r.Processes[3]), copied[:len(copied)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	start(3)
	r.same("half a store is begun anew", gone, 0, 1, 2, 3, 4)
}

// What cannot be taken is one clear error, and loses nothing.
func TestProcessesRefuse(t *testing.T) {
	r := newRig(t, 1, 1)
	r.do(0, jobs.Edit{ID: id(1), Kind: jobs.Arrive})
	for what, body := range map[string]any{
		"kind":    jobs.Edit{ID: id(1), Kind: "burn"},
		"product": jobs.Edit{ID: id(2), Kind: jobs.Arrive, Job: &jobs.Job{Product: "x", Txns: 1, Home: "site-a"}},
		"places":  jobs.Edit{ID: id(1), Kind: jobs.Place, Places: []string{"nowhere"}},
		"no such": jobs.Edit{ID: id(9), Kind: jobs.Hold},
		"unknown": map[string]any{"ID": id(1), "Kind": "hold", "Sight": 1},
	} {
		if err := r.clients[0].Ask("job edit", body, nil); !errors.Is(err, fleet.ErrRefused) {
			t.Errorf("%s: %v", what, err)
		}
	}
	r.same("it stands", is(1, jobs.StateArrived), 0)
}
