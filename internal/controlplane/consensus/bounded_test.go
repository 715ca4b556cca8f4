package consensus

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"elmfold/internal/gateway/rpc"
)

// calm is a system of a few controllers whose lines and disks answer at once.
type calm struct {
	nodes   []*Replica
	records []map[string][]byte
	now     time.Duration
	queue   []func()
	done    int
	left    int
}

func (c *calm) step(i int, events ...Event) {
	for queue := c.nodes[i].Step(c.now, events...); len(queue) > 0; {
		o := queue[0]
		queue = queue[1:]
		switch o := o.(type) {
		case Persist:
			if c.records[i][o.Record] = o.Value; o.Value == nil {
				delete(c.records[i], o.Record)
			}
			queue = append(queue, c.nodes[i].Step(c.now, Persisted{Seq: o.Seq})...)
		case Send:
			for j, r := range c.nodes {
				if r != nil && r.options.Self.Name == o.To {
					c.queue = append(c.queue, func() { c.step(j, MessageReceived{controllerOf(i).Name, o.Message}) })
				}
			}
		case RequestDone:
			if o.Outcome == Committed {
				c.done++
			}
		case HandedOver:
			c.left++
		}
	}
}

func (c *calm) settle() {
	for n := 0; len(c.queue) > 0 && n < 10000; n++ {
		do := c.queue[0]
		c.queue = c.queue[1:]
		do()
	}
}

func (c *calm) pass(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 100 * ms
		for i := range c.nodes {
			if c.nodes[i] != nil {
				c.step(i)
			}
		}
		c.settle()
	}
}

// start begins controller i with what its disk has, and lines to all others.
func (c *calm) start(t *testing.T, i int, life uint64, first bool) {
	t.Helper()
	records := maps.Clone(c.records[i])
	_, known := records[recordComplete]
	delete(records, recordComplete)
	m, err := LoadState(controllerOf(i).Name, records, known, first, fmt.Sprintf("d%d.%d", i, life))
	if err != nil {
		t.Fatal(err)
	}
	c.nodes[i] = New(
		Options{
			Self:        controllerOf(i),
			Incarnation: life<<32 | uint64(i),
			MaxFaults:   1,
			Seeds:       []string{"a0", "a1", "a2"},
			State:       m,
		},
	)
	c.step(i)
	for j, r := range c.nodes {
		if r != nil && j != i {
			c.step(i, PeerConnected{Node: controllerOf(j), StoreID: r.StoreID(), MayHaveLostState: r.MayHaveLostState()})
			c.step(
				j,
				PeerConnected{
					Node:             controllerOf(i),
					StoreID:          c.nodes[i].StoreID(),
					MayHaveLostState: c.nodes[i].MayHaveLostState(),
				},
			)
		}
	}
	c.settle()
}

func newCalm(t *testing.T, n int) *calm {
	t.Helper()
	c := &calm{now: ms}
	for range n {
		c.nodes, c.records = append(c.nodes, nil), append(c.records, map[string][]byte{})
	}
	for i := range n {
		c.start(t, i, 1, true)
	}
	c.pass(4 * time.Second)
	if c.nodes[0].Epoch().Number == 0 {
		t.Fatal("nothing was founded")
	}
	return c
}

// sizes of what one controller keeps, says of all it has, and holds in its memory.
func (c *calm) sizes(i int) (disk, words, memory int) {
	for name, value := range c.records[i] {
		disk += len(name) + len(value)
	}
	return disk, len(rpc.Encode(&rpc.Message{Consensus: c.nodes[i].stateReport(0)})), len(c.nodes[i].key(nil))
}

// After ten thousand changes, restarts and new controllers, a disk, a message and a process are as small as after a
// hundred; and a member that was away for all of it has all within one exchange.
func TestBoundedOverChanges(t *testing.T) {
	t.Parallel()
	c := newCalm(t, 4)
	version := uint64(0)
	changes := func(n int) {
		for k := range n {
			version++
			i := k % 3
			if k%5 == 4 {
				c.step(
					i,
					Propose{version, fmt.Sprint("zone/", k%2), Evacuate(k%4 < 2, version, ms, 1_700_000_000_000+version*1000)},
				)
			} else {
				c.step(
					i,
					Propose{
						version,
						charter,
						ReplaceConfig(version, version*2654435761, fmt.Appendf(nil, "configuration %08d", version)),
					},
				)
			}
			c.settle()
			if k%20 == 0 {
				c.pass(100 * ms)
			}
		}
		c.pass(4 * time.Second)
	}
	changes(100) // a zone keeps the ids of its last eight orders
	disk, words, memory := c.sizes(0)
	c.nodes[3] = nil // away
	for i := range 3 {
		c.step(i, PeerDisconnected{controllerOf(3).Name})
	}
	changes(10_000)
	if c.done != 10_100 {
		t.Fatalf("%d of 10100 were taken", c.done)
	}
	disk2, words2, memory2 := c.sizes(0)
	t.Logf(
		"after 100 and after 10,100 changes: disk %d and %d bytes, what it says it has %d and %d, the process's state "+
			"%d and %d",
		disk,
		disk2,
		words,
		words2,
		memory,
		memory2,
	)
	if disk2 > disk+64 || words2 > words+32 || memory2 > memory+256 {
		t.Error("it grows with the number of changes")
	}
	c.start(t, 3, 2, false)
	for _, name := range []string{charter, "zone/0", "zone/1"} {
		want, _ := c.nodes[0].CommittedValue(name)
		if got, _ := c.nodes[3].CommittedValue(name); got.Version != want.Version {
			t.Errorf("the one that was away has %s %v after one exchange, not %v", name, got.Version, want.Version)
		}
	}
	// Restarts and machines that are replaced leave nothing behind on a disk.
	for life := uint64(10); life < 60; life++ {
		i := int(life % 4)
		if life%3 == 0 {
			c.records[i] = map[string][]byte{}
		}
		for j := range c.nodes {
			if j != i {
				c.step(j, PeerDisconnected{controllerOf(i).Name})
			}
		}
		c.start(t, i, life, false)
		c.pass(6 * time.Second)
	}
	disk3, words3, memory3 := c.sizes(0)
	e := c.nodes[0].Epoch()
	t.Logf(
		"... and after 50 restarts, 16 of them with new disks (epoch %d): %d, %d and %d",
		e.Number,
		disk3,
		words3,
		memory3,
	)
	if e.Number < 20 || disk3 > disk+128 || words3 > words+32 || memory3 > memory+512 {
		t.Error("it grows with the number of restarts")
	}
}
