package consensus

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"elmfold/internal/gateway/rpc"
)

// idealCluster is a cluster whose network and disks complete every action at once.
type idealCluster struct {
	nodes     []*Replica // nil if down
	records   []map[string][]byte
	now       time.Duration
	messages  []func() // deliveries, in order
	committed int      // requests with the outcome Committed
}

// step passes events to node i and performs its actions.
func (cluster *idealCluster) step(i int, events ...Event) {
	for queue := cluster.nodes[i].Step(cluster.now, events...); len(queue) > 0; {
		action := queue[0]
		queue = queue[1:]
		switch action := action.(type) {
		case Persist:
			if cluster.records[i][action.Record] = action.Value; action.Value == nil {
				delete(cluster.records[i], action.Record)
			}
			queue = append(queue, cluster.nodes[i].Step(cluster.now, Persisted{Seq: action.Seq})...)
		case Send:
			for j, r := range cluster.nodes {
				if r != nil && r.options.Self.Name == action.To {
					deliver := func() { cluster.step(j, MessageReceived{testNode(i).Name, action.Message}) }
					cluster.messages = append(cluster.messages, deliver)
				}
			}
		case RequestDone:
			if action.Outcome == Committed {
				cluster.committed++
			}
		}
	}
}

func (cluster *idealCluster) deliverAll() {
	for n := 0; len(cluster.messages) > 0 && n < 10000; n++ {
		deliver := cluster.messages[0]
		cluster.messages = cluster.messages[1:]
		deliver()
	}
}

func (cluster *idealCluster) advance(d time.Duration) {
	for end := cluster.now + d; cluster.now < end; {
		cluster.now += 100 * ms
		for i := range cluster.nodes {
			if cluster.nodes[i] != nil {
				cluster.step(i)
			}
		}
		cluster.deliverAll()
	}
}

// start starts node i with its records, and connects it to all others.
func (cluster *idealCluster) start(t *testing.T, i int, incarnation uint64, firstStart bool) {
	t.Helper()
	records := maps.Clone(cluster.records[i])
	_, complete := records[recordsCompleteMarker]
	delete(records, recordsCompleteMarker)
	state, err := LoadState(testNode(i).Name, records, complete, firstStart, fmt.Sprintf("d%d.%d", i, incarnation))
	if err != nil {
		t.Fatal(err)
	}
	cluster.nodes[i] = New(
		Options{
			Self:        testNode(i),
			Incarnation: incarnation<<32 | uint64(i),
			MaxFaults:   1,
			Seeds:       []string{"a0", "a1", "a2"},
			State:       state,
		},
	)
	cluster.step(i)
	for j, r := range cluster.nodes {
		if r != nil && j != i {
			cluster.step(i, PeerConnected{Node: testNode(j), StoreID: r.StoreID(), MayHaveLostState: r.MayHaveLostState()})
			cluster.step(
				j,
				PeerConnected{
					Node:             testNode(i),
					StoreID:          cluster.nodes[i].StoreID(),
					MayHaveLostState: cluster.nodes[i].MayHaveLostState(),
				},
			)
		}
	}
	cluster.deliverAll()
}

func newIdealCluster(t *testing.T, nodes int) *idealCluster {
	t.Helper()
	cluster := &idealCluster{now: ms}
	for range nodes {
		cluster.nodes, cluster.records = append(cluster.nodes, nil), append(cluster.records, map[string][]byte{})
	}
	for i := range nodes {
		cluster.start(t, i, 1, true)
	}
	cluster.advance(4 * time.Second)
	if cluster.nodes[0].Epoch().Number == 0 {
		t.Fatal("the cluster was not bootstrapped")
	}
	return cluster
}

// stateSizes returns the bytes of a node's records, of its state report and of its Replica.
func (cluster *idealCluster) stateSizes(i int) (disk, report, memory int) {
	for name, value := range cluster.records[i] {
		disk += len(name) + len(value)
	}
	node := cluster.nodes[i]
	return disk, len(rpc.Encode(&rpc.Message{Consensus: node.stateReport(0)})), len(node.key(nil))
}

// Guards against a disk, a message or a process that grows with the number of changes or restarts, and against a node
// that needs more than one exchange to learn all changes that it missed.
func TestBoundedOverChanges(t *testing.T) {
	t.Parallel()
	cluster := newIdealCluster(t, 4)
	version := uint64(0)
	proposeChanges := func(n int) {
		for k := range n {
			version++
			i := k % 3
			if k%5 == 4 {
				change := Evacuate(k%4 < 2, version, ms, 1_700_000_000_000+version*1000, sentNow)
				cluster.step(i, Propose{version, fmt.Sprint("zone/", k%2), change})
			} else {
				body := fmt.Appendf(nil, "configuration %08d", version)
				cluster.step(i, Propose{version, configRegister, ReplaceConfig(version, version*2654435761, body)})
			}
			cluster.deliverAll()
			if k%20 == 0 {
				cluster.advance(100 * ms)
			}
		}
		cluster.advance(4 * time.Second)
	}
	proposeChanges(100) // a zone remembers the ids of its last eight requests
	disk, report, memory := cluster.stateSizes(0)
	cluster.nodes[3] = nil // down
	for i := range 3 {
		cluster.step(i, PeerDisconnected{testNode(3).Name})
	}
	proposeChanges(10_000)
	if cluster.committed != 10_100 {
		t.Fatalf("%d of 10100 were committed", cluster.committed)
	}
	disk2, report2, memory2 := cluster.stateSizes(0)
	t.Logf(
		"after 100 and after 10,100 changes: %d and %d bytes on disk, %d and %d in a state report, %d and %d in memory",
		disk,
		disk2,
		report,
		report2,
		memory,
		memory2,
	)
	if disk2 > disk+64 || report2 > report+32 || memory2 > memory+256 {
		t.Error("the state grows with the number of changes")
	}
	cluster.start(t, 3, 2, false)
	for _, name := range []string{configRegister, "zone/0", "zone/1"} {
		want, _ := cluster.nodes[0].CommittedValue(name)
		if got, _ := cluster.nodes[3].CommittedValue(name); got.Version != want.Version {
			t.Errorf("the node that was down has %s %v after one exchange, not %v", name, got.Version, want.Version)
		}
	}
	// Restarts and replaced disks must leave nothing behind.
	for incarnation := uint64(10); incarnation < 60; incarnation++ {
		i := int(incarnation % 4)
		if incarnation%3 == 0 {
			cluster.records[i] = map[string][]byte{}
		}
		for j := range cluster.nodes {
			if j != i {
				cluster.step(j, PeerDisconnected{testNode(i).Name})
			}
		}
		cluster.start(t, i, incarnation, false)
		cluster.advance(6 * time.Second)
	}
	disk3, report3, memory3 := cluster.stateSizes(0)
	e := cluster.nodes[0].Epoch()
	t.Logf(
		"after 50 restarts, 16 of them with new disks (epoch %d): %d, %d and %d bytes",
		e.Number,
		disk3,
		report3,
		memory3,
	)
	if e.Number < 20 || disk3 > disk+128 || report3 > report+32 || memory3 > memory+512 {
		t.Error("the state grows with the number of restarts")
	}
}
