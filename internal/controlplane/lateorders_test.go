package controlplane_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	beginSouth  = "evacuation.begin&of=south"
	finishSouth = "evacuation.finish&of=south"
)

func (n *node) newConn(ctx context.Context) context.Context { return n.server.ConnContext(ctx, nil) }

// mustOrder gives an order on a new connection, until it is acknowledged.
func mustOrder(t *testing.T, n *node, call string) {
	t.Helper()
	for range 20 {
		if postCallOn(n.newConn(t.Context()), n, call, "").Code == 200 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("%s is not acknowledged", call)
}

func (n *node) isEvacuated(zone string) bool {
	return strings.Contains(postCall(n, "core.status", "").Body.String(), fmt.Sprintf(`"evacuated":[%q]`, zone))
}

// orderTwice sends an order to a node on a connection that is in use, where the network holds it up, and after a second
// of silence to another node, which acknowledges it. It returns the connection, on which the first copy is to arrive.
func orderTwice(t *testing.T, heldUpTo, acknowledgedBy *node, call string) context.Context {
	t.Helper()
	kept := heldUpTo.newConn(t.Context())
	postCallOn(kept, heldUpTo, "config.read", "")
	time.Sleep(time.Second)
	mustOrder(t, acknowledgedBy, call)
	return kept
}

// Guards against a copy of an order that the network held up for longer than the time for retries, and that undoes a
// later, acknowledged order of the other kind when it arrives (EVAC).
func TestCopyOfOrderHeldUpForLong(t *testing.T) {
	for _, holdUp := range []time.Duration{4500, 6100, 19_000, 120_000} { // in ms
		holdUp *= time.Millisecond
		for _, call := range []string{finishSouth, beginSouth} {
			t.Run(fmt.Sprint(call, holdUp), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := startCluster(3, 1)
					defer c.stop()
					one, two, three := c.nodes[0], c.nodes[1], c.nodes[2]
					time.Sleep(4 * time.Second)
					mustOrder(t, two, beginSouth)
					time.Sleep(8 * time.Second)
					opposite := finishSouth
					if call == finishSouth {
						opposite = beginSouth
					} else {
						mustOrder(t, two, finishSouth)
						time.Sleep(8 * time.Second)
					}
					kept := orderTwice(t, one, two, call)
					time.Sleep(2500 * time.Millisecond)
					mustOrder(t, three, opposite)
					time.Sleep(holdUp - 2500*time.Millisecond)
					w := postCallOn(kept, one, call, "")
					time.Sleep(100 * time.Millisecond)
					if isEvacuated := three.isEvacuated("south"); isEvacuated != (opposite == beginSouth) {
						t.Errorf("a copy that is %v late is answered %d %s and undoes the later order: evacuated %v", holdUp, w.Code,
							w.Body, isEvacuated)
					}
				})
			})
		}
	}
}

// Guards against an order in earnest that is refused, although its connection shows that it was sent after the last
// order: the client has read the answer to an earlier call on it.
func TestOrderOnKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		one := c.nodes[0]
		time.Sleep(4 * time.Second)
		kept := one.newConn(t.Context())
		for i, call := range []string{beginSouth, finishSouth, beginSouth, finishSouth} {
			if w := postCallOn(kept, one, call, ""); w.Code != 200 {
				t.Errorf("order %d is answered %d %s", i, w.Code, w.Body)
			}
			time.Sleep(time.Duration(i+1) * 100 * time.Millisecond)
			if isEvacuated := one.isEvacuated("south"); isEvacuated != (call == beginSouth) {
				t.Errorf("after order %d: evacuated %v", i, isEvacuated)
			}
		}
	})
}

// Guards against a copy of an order that the network held up for longer than the time for retries, and that counts as
// a second one of its kind: a late finish ends the evacuation of another operator (EVAC), and a late begin leaves the
// zone evacuated after its finish.
func TestCopyOfLastOrderHeldUpForLong(t *testing.T) {
	for _, call := range []string{finishSouth, beginSouth} {
		t.Run(call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(3, 1)
				defer c.stop()
				one, two := c.nodes[0], c.nodes[1]
				time.Sleep(4 * time.Second)
				mustOrder(t, two, beginSouth)
				if call == finishSouth {
					time.Sleep(8 * time.Second)
					mustOrder(t, two, beginSouth) // of another operator
					time.Sleep(8 * time.Second)
				}
				kept := orderTwice(t, one, two, call)
				time.Sleep(6100 * time.Millisecond)
				w := postCallOn(kept, one, call, "")
				time.Sleep(100 * time.Millisecond)
				if call == beginSouth {
					mustOrder(t, two, finishSouth)
				}
				if isEvacuated := two.isEvacuated("south"); isEvacuated != (call == finishSouth) {
					t.Errorf("a copy of the last order, 6.1 s late, is answered %d %s and counts: evacuated %v", w.Code, w.Body,
						isEvacuated)
				}
			})
		})
	}
}
