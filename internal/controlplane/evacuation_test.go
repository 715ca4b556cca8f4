package controlplane_test

import (
	"context"
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
// arrives; and against an order in earnest that is refused although its connection shows that it was sent later.
func TestLateCopyOfFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		time.Sleep(4 * time.Second)
		const begin, finish = "evacuation.begin&of=south", "evacuation.finish&of=south"
		isEvacuated := func() bool {
			return strings.Contains(postCall(c.nodes[2], "core.status", "").Body.String(), `"evacuated":["south"]`)
		}
		newConn := func(node int) context.Context { return c.nodes[node].server.ConnContext(t.Context(), nil) }
		order := func(conn context.Context, node int, call string, want int, wantEvacuated bool, what string) {
			t.Helper()
			w := postCallOn(conn, c.nodes[node], call, "")
			if closes := w.Header().Get("Connection") == "close"; w.Code != want || closes != (want == 503) {
				t.Errorf("%s is answered %d %s, closes the connection: %v", what, w.Code, w.Body, closes)
			}
			time.Sleep(100 * time.Millisecond)
			if isEvacuated() != wantEvacuated {
				t.Errorf("after %s: evacuated %v", what, isEvacuated())
			}
		}
		kept := newConn(0)
		order(kept, 0, begin, 200, true, "the first begin")
		time.Sleep(8 * time.Second)
		order(newConn(1), 1, finish, 200, false, "the finish") // the client gave up the copy that it had sent to node 0
		time.Sleep(2 * time.Second)
		order(newConn(1), 1, begin, 200, true, "the second begin")
		time.Sleep(500 * time.Millisecond)
		order(kept, 0, finish, 503, true, "the late copy of the finish")
		order(context.Background(), 0, finish, 503, true, "a late copy on a connection of unknown age")
		if got := c.logs.count("may be a late copy"); got != 2 {
			t.Errorf("%d lines on late copies", got)
		}
		order(newConn(0), 0, finish, 200, false, "a finish in earnest")

		time.Sleep(8 * time.Second)
		order(newConn(0), 0, begin, 200, true, "a begin")
		time.Sleep(time.Second)
		order(newConn(0), 0, finish, 200, false, "a finish")
		order(newConn(0), 0, begin, 503, false, "a begin whose connection may be older than the finish")
		time.Sleep(500 * time.Millisecond)
		order(newConn(0), 0, begin, 200, true, "the same order, sent again")
		order(kept, 0, finish, 503, true, "the next order on a connection that was kept")
		time.Sleep(6 * time.Second)
		order(kept, 0, finish, 200, false, "the same order after the time for copies")
	})
}

// Guards against an order that waited while the node was suspended, and that is applied as if it had just been sent:
// its client has turned to another node meanwhile, and other orders may have followed.
func TestOrderAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		suspended, other := c.nodes[0], c.nodes[1]
		time.Sleep(5 * time.Second)
		suspended.suspension.Store(int64(1050 * time.Millisecond)) // shorter than quorum contact lasts
		go postCall(other, "config.replace", configJSON("00000001", ""))
		time.Sleep(300 * time.Millisecond) // the order waits for less than maxQueueDelay
		if w := postCall(suspended, "evacuation.begin&of=south", ""); w.Code != 503 {
			t.Errorf("an order that waited during a suspension is answered %d %s", w.Code, w.Body)
		}
		time.Sleep(time.Second)
		if w := postCall(suspended, "evacuation.begin&of=south", ""); w.Code != 200 {
			t.Errorf("an order a second after the suspension is answered %d %s", w.Code, w.Body)
		}
	})
}
