package membership_test

import (
	"fmt"
	"testing"

	"elmfold/internal/fakes/fleet"
	"elmfold/internal/fakes/link"
)

var program string

func TestMain(m *testing.M) { fleet.Built(m, &program) }

func newRig(t *testing.T, n int) *fleet.Rig {
	t.Helper()
	t.Parallel()
	return fleet.Laid(t, program, n, 3, nil)
}

// requireLog fails the test unless the process logs a line with these words.
func requireLog(t *testing.T, p *fleet.Process, words ...string) {
	t.Helper()
	if _, err := p.Sees(words...); err != nil {
		t.Fatal(err)
	}
}

// requireMembers waits until each of the given processes sees the number of members.
func requireMembers(t *testing.T, r *fleet.Rig, members int, processes ...int) {
	t.Helper()
	for _, i := range processes {
		requireLog(t, r.Processes[i], fmt.Sprintf("members=%d", members))
	}
}

func forgetLogs(r *fleet.Rig) {
	for _, p := range r.Processes {
		p.Forget()
	}
}

// Five processes detect a killed one, its restart, a stopped one that continues, and the halves of a partition that
// heals.
func TestProcessesComeAndGo(t *testing.T) {
	r := newRig(t, 5)
	requireMembers(t, r, 5, 0, 1, 2, 3, 4)
	forgetLogs(r)
	r.Processes[2].Kill()
	for _, i := range []int{0, 1, 3, 4} {
		requireLog(t, r.Processes[i], "instance departed", "member=n2")
	}
	forgetLogs(r)
	if err := r.Processes[2].Start(); err != nil {
		t.Fatal(err)
	}
	for _, i := range []int{0, 1, 3, 4} {
		requireLog(t, r.Processes[i], "instance joined", "member=n2")
	}
	requireMembers(t, r, 5, 2)
	forgetLogs(r)
	r.Processes[4].Stop()
	for _, i := range []int{0, 1, 2, 3} {
		requireLog(t, r.Processes[i], "instance departed", "member=n4")
	}
	r.Processes[4].Continue()
	for _, i := range []int{0, 1, 2, 3} {
		requireLog(t, r.Processes[i], "instance joined", "member=n4")
	}
	forgetLogs(r)
	r.Part(link.Silent, func(i, j int) bool { return (i < 2) != (j < 2) })
	requireMembers(t, r, 2, 0, 1)
	requireMembers(t, r, 3, 2, 3, 4)
	forgetLogs(r)
	r.Part(link.Open, nil)
	requireMembers(t, r, 5, 0, 1, 2, 3, 4)
}

// An instance that receives but cannot send is detected as departed by the others, and joins again once it can send.
func TestProcessesOneWay(t *testing.T) {
	r := newRig(t, 5)
	requireMembers(t, r, 5, 0, 1, 2, 3, 4)
	forgetLogs(r)
	r.Part(link.Silent, func(i, j int) bool { return i == 0 })
	for _, i := range []int{1, 2, 3, 4} {
		requireLog(t, r.Processes[i], "instance departed", "member=n0")
	}
	forgetLogs(r)
	r.Part(link.Open, nil)
	for _, i := range []int{1, 2, 3, 4} {
		requireLog(t, r.Processes[i], "instance joined", "member=n0")
	}
}

// A proxy learns from another instance's proxy that a backend is slow, and lowers the weight of that backend without
// having tried it.
func TestProcessesShareLoadReports(t *testing.T) {
	r := newRig(t, 3)
	requireMembers(t, r, 3, 0, 1, 2)
	addr, err := r.Processes[0].Addr()
	if err != nil {
		t.Fatal(err)
	}
	receiverAddr, err := r.Processes[2].Addr()
	if err != nil {
		t.Fatal(err)
	}
	reporter, err := fleet.Dial(addr, 0, "a")
	if err != nil {
		t.Fatal(err)
	}
	defer reporter.Close()
	receiver, err := fleet.Dial(receiverAddr, 1, "a")
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	latencies := map[string]float64{}
	for i := range 12 {
		latencies[fmt.Sprintf("s-%02d", i)] = 100
	}
	latencies["s-04"] = 700
	if err := reporter.Report(20, latencies, func() bool { return receiver.Part("s-04") < 0.5 }); err != nil {
		t.Fatal(err)
	}
}
