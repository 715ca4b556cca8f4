package controlplane_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against calls that keep waiting after their client has disconnected, and against disconnects that the metrics
// miss.
func TestClientDisconnect(t *testing.T) {
	for call, body := range map[string]string{
		"config.read":                  "",
		"evacuation.begin&of=north":    "",
		"instances.deregister&of=i-1":  "",
		"instances.heartbeat&of=i-1":   `{"address":"10.0.1.1:80","descriptor":{"service":"a","zone":"north","capacity":1},"observed":{"state":"draining","callSeq":1}}`, //nolint:lll // one body
		"config.replace&generation=00": `{"generation":"00000002","sockets":[],"pools":[]}`,
	} {
		t.Run(call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(3, 1)
				time.Sleep(3 * time.Second)
				for _, n := range c.nodes[1:] { // no call can complete from now on
					c.net.Freeze(n.ip, true)
				}
				ctx, disconnect := context.WithCancel(t.Context())
				r := httptest.NewRequestWithContext(ctx, "POST", "/v1/rpc?call="+call, strings.NewReader(body))
				time.AfterFunc(100*time.Millisecond, disconnect)
				began, w := time.Now(), httptest.NewRecorder()
				c.nodes[0].server.Handler().ServeHTTP(w, r)
				detected := strings.Contains(w.Body.String(), "the client closed its connection")
				if took := time.Since(began); took > 101*time.Millisecond || !detected {
					t.Errorf("the call ended after %v: %d %s", took, w.Code, w.Body)
				}
				synctest.Wait() // until the disconnect is counted
				metrics := httptest.NewRecorder()
				c.nodes[0].server.Metrics().ServeHTTP(metrics, httptest.NewRequest("GET", "/metrics", nil))
				for _, want := range []string{"\nelmfold_calls_in_progress 0\n", "\nelmfold_call_disconnects_total 1\n"} {
					if !strings.Contains(metrics.Body.String(), want) {
						t.Errorf("no %q in\n%s", want, metrics.Body)
					}
				}
				for _, n := range c.nodes[1:] {
					c.net.Freeze(n.ip, false)
				}
				c.stop()
			})
		})
	}
}
