package membership_test

import (
	"fmt"
	"testing"

	"elmfold/internal/fakes/fleet"
	"elmfold/internal/fakes/link"
)

var program string

func TestMain(m *testing.M) { fleet.Built(m, &program) }

func rig(t *testing.T, n int) *fleet.Rig {
	t.Helper()
	t.Parallel()
	return fleet.Laid(t, program, n, 3, nil)
}

// see fails the test where a process does not say it.
func see(t *testing.T, p *fleet.Process, words ...string) {
	t.Helper()
	if _, err := p.Sees(words...); err != nil {
		t.Fatal(err)
	}
}

// all waits until each process counts so many members.
func all(t *testing.T, r *fleet.Rig, members int, which ...int) {
	t.Helper()
	for _, i := range which {
		see(t, r.Processes[i], fmt.Sprintf("members=%d", members))
	}
}

func forget(r *fleet.Rig) {
	for _, p := range r.Processes {
		p.Forget()
	}
}

// Five processes find each other; one is killed with -9 and comes again under its name; one is stopped for as long
// as it takes the others to notice and goes on; two halves that both live find each other once the cut is healed.
func TestProcessesComeAndGo(t *testing.T) {
	r := rig(t, 5)
	all(t, r, 5, 0, 1, 2, 3, 4)
	forget(r)
	r.Processes[2].Kill()
	for _, i := range []int{0, 1, 3, 4} {
		see(t, r.Processes[i], "an instance is not there any more", "member=n2")
	}
	forget(r)
	if err := r.Processes[2].Start(); err != nil {
		t.Fatal(err)
	}
	for _, i := range []int{0, 1, 3, 4} {
		see(t, r.Processes[i], "an instance is there", "member=n2")
	}
	all(t, r, 5, 2)
	forget(r)
	r.Processes[4].Stop()
	for _, i := range []int{0, 1, 2, 3} {
		see(t, r.Processes[i], "an instance is not there any more", "member=n4")
	}
	r.Processes[4].Continue()
	for _, i := range []int{0, 1, 2, 3} {
		see(t, r.Processes[i], "an instance is there", "member=n4")
	}
	forget(r)
	r.Part(link.Silent, func(i, j int) bool { return (i < 2) != (j < 2) })
	all(t, r, 2, 0, 1)
	all(t, r, 3, 2, 3, 4)
	forget(r)
	r.Part(link.Open, nil)
	all(t, r, 5, 0, 1, 2, 3, 4)
}

// What n0 says reaches nobody, but it hears: the others do not take it for dead while one of them can still be asked
// by it, and what it cannot reach is not dead for the others.
func TestProcessesOneWay(t *testing.T) {
	r := rig(t, 5)
	all(t, r, 5, 0, 1, 2, 3, 4)
	forget(r)
	r.Part(link.Silent, func(i, j int) bool { return i == 0 })
	for _, i := range []int{1, 2, 3, 4} {
		see(t, r.Processes[i], "an instance is not there any more", "member=n0")
	}
	forget(r)
	r.Part(link.Open, nil)
	for _, i := range []int{1, 2, 3, 4} {
		see(t, r.Processes[i], "an instance is there", "member=n0")
	}
}

// Three processes of which one only has proxies that try a slow backend: the proxy of another that never tried it
// is told less weight for it. With the two that know killed, it stays with what it sees itself.
func TestProcessesTellSums(t *testing.T) {
	r := rig(t, 3)
	all(t, r, 3, 0, 1, 2)
	addr, err := r.Processes[0].Addr()
	if err != nil {
		t.Fatal(err)
	}
	far, err := r.Processes[2].Addr()
	if err != nil {
		t.Fatal(err)
	}
	says, err := fleet.Dial(addr, 0, "a")
	if err != nil {
		t.Fatal(err)
	}
	defer says.Close()
	hears, err := fleet.Dial(far, 1, "a")
	if err != nil {
		t.Fatal(err)
	}
	defer hears.Close()
	quick := map[string]float64{}
	for i := range 12 {
		quick[fmt.Sprintf("s-%02d", i)] = 100
	}
	quick["s-04"] = 700
	if err := says.Report(20, quick, func() bool { return hears.Part("s-04") < 0.5 }); err != nil {
		t.Fatal(err)
	}
}
