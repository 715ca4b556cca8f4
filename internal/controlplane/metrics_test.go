package controlplane_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A call whose caller leaves waits for nobody. Guards against work that outlives the one who asked for it.
func TestCallerLeaves(t *testing.T) {
	for call, body := range map[string]string{
		"config.read":                  "",
		"evacuation.begin&of=north":    "",
		"instances.deregister&of=i-1":  "",
		"instances.heartbeat&of=i-1":   `{"address":"10.0.1.1:80","descriptor":{"service":"a","zone":"north","capacity":1},"observed":{"state":"draining","callSeq":1}}`, //nolint:lll // one body
		"config.replace&generation=00": `{"generation":"00000002","sockets":[],"pools":[]}`,
	} {
		t.Run(call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := convene(3, 1)
				time.Sleep(3 * time.Second)
				for _, k := range c.cores[1:] { // from here on no answer comes of anything
					c.net.Freeze(k.ip, true)
				}
				ctx, leave := context.WithCancel(t.Context())
				r := httptest.NewRequestWithContext(ctx, "POST", "/v1/rpc?call="+call, strings.NewReader(body))
				time.AfterFunc(100*time.Millisecond, leave)
				began, w := time.Now(), httptest.NewRecorder()
				c.cores[0].server.Handler().ServeHTTP(w, r)
				hasLeft := strings.Contains(w.Body.String(), "the caller has left")
				if took := time.Since(began); took > 101*time.Millisecond || !hasLeft {
					t.Errorf("it ended after %v: %d %s", took, w.Code, w.Body)
				}
				synctest.Wait() // what counts the caller's leaving has run
				figures := httptest.NewRecorder()
				c.cores[0].server.Metrics().ServeHTTP(figures, httptest.NewRequest("GET", "/metrics", nil))
				for _, want := range []string{"\nelmfold_calls_in_progress 0\n", "\nelmfold_call_disconnects_total 1\n"} {
					if !strings.Contains(figures.Body.String(), want) {
						t.Errorf("no %q in\n%s", want, figures.Body)
					}
				}
				for _, k := range c.cores[1:] {
					c.net.Freeze(k.ip, false)
				}
				c.end()
			})
		})
	}
}
