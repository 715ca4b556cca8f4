package controlplane_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Nothing in a call says which operator gives an order. One that is taken for a repetition of the last one is named in
// the log, so that the other operator's people can find out why a zone is open again.
func TestEvacuationTakenForARepetitionIsLogged(t *testing.T) {
	const line = "taken for a repetition"
	synctest.Test(t, func(t *testing.T) {
		c := convene(3, 1)
		defer c.end()
		time.Sleep(4 * time.Second)
		begin, finish := "evacuation.begin&of=south", "evacuation.finish&of=south"
		for _, step := range []struct {
			call  string
			node  int
			pause time.Duration
			lines int // so far
		}{
			{begin, 0, 0, 0},
			{begin, 1, time.Second, 1}, // within ackS and a half second
			{begin, 2, 8 * time.Second, 1},
			{finish, 0, 8 * time.Second, 1},
			{finish, 0, 8 * time.Second, 1},
			{finish, 1, time.Second, 2},
		} {
			time.Sleep(step.pause)
			c.calls(c.cores[step.node], "", step.call)
			if got := c.logs.count(line); got != step.lines {
				t.Errorf("after %s at node %d: %d lines, not %d", step.call, step.node, got, step.lines)
			}
		}
	})
}
