package controlplane_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Calls do not identify the operator. An order that is treated as a retry must be logged, so that an operator whose
// order had no effect can find out why.
func TestEvacuationTreatedAsRetryIsLogged(t *testing.T) {
	const message = "treated as a retry"
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		time.Sleep(4 * time.Second)
		begin, finish := "evacuation.begin&of=south", "evacuation.finish&of=south"
		for _, step := range []struct {
			call  string
			node  int
			pause time.Duration
			lines int // expected so far
		}{
			{begin, 0, 0, 0},
			{begin, 1, time.Second, 1}, // within ackS and retryArrivalSlack
			{begin, 2, 8 * time.Second, 1},
			{finish, 0, 8 * time.Second, 1},
			{finish, 0, 8 * time.Second, 1},
			{finish, 1, time.Second, 2},
		} {
			time.Sleep(step.pause)
			c.calls(c.nodes[step.node], "", step.call)
			if got := c.logs.count(message); got != step.lines {
				t.Errorf("after %s at node %d: %d lines, not %d", step.call, step.node, got, step.lines)
			}
		}
	})
}

// Guards against a copy of an order that the network held up, and that undoes a later, acknowledged order when it
// arrives. An order in earnest that looks the same is taken once the time for copies is over.
func TestLateCopyOfFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		time.Sleep(4 * time.Second)
		const begin, finish = "evacuation.begin&of=south", "evacuation.finish&of=south"
		isEvacuated := func() bool {
			return strings.Contains(postCall(c.nodes[2], "core.status", "").Body.String(), `"evacuated":["south"]`)
		}
		order := func(node int, call string, want int, wantEvacuated bool, what string) {
			t.Helper()
			if w := postCall(c.nodes[node], call, ""); w.Code != want {
				t.Errorf("%s is answered %d %s", what, w.Code, w.Body)
			}
			time.Sleep(100 * time.Millisecond)
			if isEvacuated() != wantEvacuated {
				t.Errorf("after %s: evacuated %v", what, isEvacuated())
			}
		}
		order(0, begin, 200, true, "the first begin")
		time.Sleep(8 * time.Second)
		order(1, finish, 200, false, "the finish") // the client gave up the copy that it had sent to node 0
		time.Sleep(2 * time.Second)
		order(1, begin, 200, true, "the second begin")
		time.Sleep(500 * time.Millisecond)
		order(0, finish, 503, true, "the late copy of the finish")
		if got := c.logs.count("may be a late copy"); got != 1 {
			t.Errorf("%d lines on a late copy", got)
		}
		time.Sleep(3 * time.Second)
		order(0, finish, 200, false, "a finish in earnest")
	})
}
