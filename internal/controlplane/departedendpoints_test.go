package controlplane_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"elmfold/internal/gateway/rpc"
)

// killAll kills all processes at the same instant, and starts them again on their disks after a pause.
func (c *cluster) killAll(pause time.Duration) {
	for _, n := range c.nodes {
		n.server.Stop()
		n.host.Kill()
	}
	time.Sleep(pause)
	for _, n := range c.nodes {
		c.start(n, false)
	}
}

// Guards against an endpoint whose departure was acknowledged, and that gets requests again after all processes were
// killed at once: a heartbeat of before, which comes late, makes it ready (DRAIN).
func TestDepartureAfterKillOfAll(t *testing.T) {
	const id = "i-1"
	for _, departure := range []string{"draining", "deregistered"} {
		for _, disks := range []string{"kept", "one lost", "one failed", "one hangs"} {
			t.Run(fmt.Sprint(departure, ", disks ", disks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := startCluster(3, 1)
					defer c.stop()
					one, two, three := c.nodes[0], c.nodes[1], c.nodes[2]
					time.Sleep(5 * time.Second)
					heartbeat := func(n *node, state string, seq int) int {
						return postCall(n, "instances.heartbeat&of="+id, heartbeatJSON("alpha", "10.0.1.1:8080", state, seq, 0)).Code
					}
					heartbeat(one, "ready", 1)
					time.Sleep(time.Second)
					switch disks {
					case "one failed":
						one.disk.Full(true)
					case "one hangs":
						one.disk.Hang(10 * time.Second)
					}
					var status int
					if departure == "draining" {
						status = heartbeat(two, "draining", 3)
					} else {
						status = postCall(two, "instances.deregister&of="+id, "").Code
					}
					if status != 200 {
						t.Fatalf("the departure is answered %d", status)
					}
					if disks == "one lost" {
						two.disk.Wipe()
					}
					c.killAll(700 * time.Millisecond)
					time.Sleep(2200 * time.Millisecond)
					states := watchEndpoints(t, c, three)
					heartbeat(one, "ready", 2)
					time.Sleep(time.Second)
					if state, known := states.get(id); known && state == rpc.Ready {
						t.Error("a late heartbeat makes the endpoint ready again")
					}
				})
			})
		}
	}
}

// Guards against a departure that is acknowledged before enough disks have it.
func TestDepartureWithoutDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		time.Sleep(5 * time.Second)
		for _, n := range c.nodes[1:] {
			n.disk.Hang(4 * time.Second)
		}
		if w := postCall(c.nodes[0], "instances.deregister&of=i-1", ""); w.Code < 500 {
			t.Errorf("with two disks of three that hang, a deregistration is answered %d %s", w.Code, w.Body)
		}
		time.Sleep(4 * time.Second)
		if w := postCall(c.nodes[0], "instances.deregister&of=i-1", ""); w.Code != 200 {
			t.Errorf("the same again, after they went on, is answered %d %s", w.Code, w.Body)
		}
	})
}

// Guards against disks that grow with the number of endpoints that have come and gone.
func TestDeparturesDoNotFillTheDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		time.Sleep(5 * time.Second)
		var records [3]int
		for round := range records {
			for i := range 20 {
				id := fmt.Sprintf("i-%d-%d", round, i)
				postCall(c.nodes[i%3], "instances.deregister&of="+id, "")
			}
			time.Sleep(100 * time.Second) // until they are forgotten
			records[round], _ = c.nodes[0].disk.Size()
		}
		if records[1] > records[0] || records[2] > records[0] {
			t.Errorf("records on the disk after 20, 40 and 60 departures: %v", records)
		}
	})
}

// Guards against an endpoint that was deregistered by mistake, is used again since, and is gone once more, on all
// nodes, after a restart of a node that has kept the record of its departure.
func TestForgottenDepartureIsNotRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		time.Sleep(5 * time.Second)
		seq := 0
		heartbeats := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(1500 * time.Millisecond) {
				seq++
				postCall(c.nodes[1], "instances.heartbeat&of=i-1", heartbeatJSON("alpha", "10.0.1.1:8080", "ready", seq, 0))
			}
		}
		heartbeats(3 * time.Second)
		postCall(c.nodes[0], "instances.deregister&of=i-1", "")
		heartbeats(100 * time.Second) // until it is forgotten
		c.killAll(700 * time.Millisecond)
		time.Sleep(2200 * time.Millisecond)
		states := watchEndpoints(t, c, c.nodes[2])
		heartbeats(3 * time.Second)
		if state, known := states.get("i-1"); !known || state != rpc.Ready {
			t.Errorf("proxies are told state %d of the running endpoint, known: %v", state, known)
		}
	})
}
