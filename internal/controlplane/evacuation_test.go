package controlplane_test

import (
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
