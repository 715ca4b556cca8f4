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
		return fmt.Sprintf("control\n    socket %s\njobs\n    file %s\n", p.Control(), storePath(p))
	})}
	for _, p := range r.Processes {
		r.clients = append(r.clients, p.Client())
	}
	return r
}

func storePath(p *fleet.Process) string { return filepath.Join(p.Dir, "jobs") }

func jobID(n int) jobs.ID { return jobs.ID{Tenant: "acme", Source: "sap", Number: uint64(n)} }

// edit makes an edit at a process, and retries until it is accepted.
func (r *rig) edit(at int, e jobs.Edit) {
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

// requireSame waits until the given processes have equal views that satisfy a condition.
func (r *rig) requireSame(what string, condition func(views []jobs.View) bool, processes ...int) {
	r.t.Helper()
	if err := fleet.Until(what, func() (bool, error) {
		first, err := r.views(processes[0])
		if err != nil || !condition(first) {
			return false, fmt.Errorf("n%d has %+v (%w)", processes[0], first, err)
		}
		for _, i := range processes[1:] {
			if other, err := r.views(i); err != nil || !reflect.DeepEqual(first, other) {
				return false, fmt.Errorf("n%d has %+v, n%d %+v (%w)", processes[0], first, i, other, err)
			}
		}
		return true, nil
	}); err != nil {
		r.t.Fatal(err)
	}
}

func hasState(n int, state jobs.State) func([]jobs.View) bool {
	return func(all []jobs.View) bool {
		for _, v := range all {
			if v.ID == jobID(n) {
				return v.State == state
			}
		}
		return false
	}
}

// Six processes at three partitioned sites edit the same job. They are reconnected one link at a time and converge to
// the same view with the same lost edits.
func TestProcessesParted(t *testing.T) {
	r := newRig(t, 6, 3)
	r.edit(0, jobs.Edit{ID: jobID(1), Kind: jobs.Arrive})
	r.requireSame("all know the job", hasState(1, jobs.StateArrived), 0, 1, 2, 3, 4, 5)
	r.Part(link.Silent, func(i, j int) bool { return i%3 != j%3 })
	r.edit(0, jobs.Edit{ID: jobID(1), Kind: jobs.Release, Operator: true})
	r.edit(1, jobs.Edit{ID: jobID(1), Kind: jobs.Hold})
	r.edit(5, jobs.Edit{ID: jobID(1), Kind: jobs.Dispatched, Epoch: 4})
	r.requireSame("a partitioned site converges", hasState(1, jobs.StateHeld), 1, 4)
	r.Part(link.Silent, func(i, j int) bool { return i%3 != j%3 && i%3 != 1 && j%3 != 1 })
	r.requireSame("two sites converge", hasState(1, jobs.StateDispatched), 1, 4, 2, 5)
	r.Part(link.Open, nil)
	r.requireSame("all sites converge", func(all []jobs.View) bool {
		return len(all) == 1 && all[0].State == jobs.StateDispatched && len(all[0].Lost) == 2 && all[0].Epoch == 4
	}, 0, 1, 2, 3, 4, 5)
}

// An acknowledged edit survives a kill. A process that restarts with an old copy of its store, or with a truncated
// one, neither loses edits nor reopens ended jobs.
func TestProcessesStores(t *testing.T) {
	r := newRig(t, 5, 5)
	r.Part(link.Silent, func(i, j int) bool { return i == 0 || j == 0 })
	r.edit(0, jobs.Edit{ID: jobID(1), Kind: jobs.Arrive})
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
	r.requireSame("the acknowledged edit survives", hasState(1, jobs.StateArrived), 0, 1, 2, 3, 4)

	r.edit(1, jobs.Edit{ID: jobID(2), Kind: jobs.Arrive})
	r.requireSame("all know the second job", hasState(2, jobs.StateArrived), 0, 1, 2, 3, 4)
	r.Processes[1].Kill()
	copied, err := os.ReadFile(storePath(r.Processes[1]))
	if err != nil {
		t.Fatal(err)
	}
	start(1)
	r.edit(1, jobs.Edit{ID: jobID(1), Kind: jobs.Hold, Operator: true})
	r.edit(2, jobs.Edit{ID: jobID(2), Kind: jobs.Resolved})
	hasEnded := func(all []jobs.View) bool { return len(all) == 1 && hasState(1, jobs.StateHeld)(all) }
	r.requireSame("the second job is compacted everywhere", hasEnded, 0, 1, 2, 3, 4)
	r.Processes[1].Kill()
	if err := os.WriteFile(storePath(r.Processes[1]), copied, 0o600); err != nil {
		t.Fatal(err)
	}
	start(1)
	r.edit(1, jobs.Edit{ID: jobID(1), Kind: jobs.Prioritise, Priority: 7})
	r.requireSame(
		"the old store reverts nothing",
		func(all []jobs.View) bool { return hasEnded(all) && all[0].Priority == 7 },
		0,
		1,
		2,
		3,
		4,
	)

	r.Processes[3].Kill()
	if err := os.WriteFile(storePath(r.Processes[3]), copied[:len(copied)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	start(3)
	r.requireSame("the truncated store is replaced", hasEnded, 0, 1, 2, 3, 4)
}

// An invalid edit is rejected with an error and changes nothing.
func TestProcessesRefuse(t *testing.T) {
	r := newRig(t, 1, 1)
	r.edit(0, jobs.Edit{ID: jobID(1), Kind: jobs.Arrive})
	for what, body := range map[string]any{
		"kind":          jobs.Edit{ID: jobID(1), Kind: "burn"},
		"product":       jobs.Edit{ID: jobID(2), Kind: jobs.Arrive, Job: &jobs.Job{Product: "x", Txns: 1, Home: "site-a"}},
		"places":        jobs.Edit{ID: jobID(1), Kind: jobs.Place, Places: []string{"nowhere"}},
		"unknown job":   jobs.Edit{ID: jobID(9), Kind: jobs.Hold},
		"unknown field": map[string]any{"ID": jobID(1), "Kind": "hold", "Sight": 1},
	} {
		if err := r.clients[0].Ask("job edit", body, nil); !errors.Is(err, fleet.ErrRefused) {
			t.Errorf("%s: %v", what, err)
		}
	}
	r.requireSame("the job is unchanged", hasState(1, jobs.StateArrived), 0)
}
