package gateway

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
)

// What the operator puts is a configuration with just the routes that RouteOf names.
func TestConfiguration(t *testing.T) {
	c, err := routeconfig.Parse(Configuration(0x1f, Shape{Services: 3, Routes: 20}, 1))
	if err != nil {
		t.Fatal(err)
	}
	if c.Version != 0x1f || len(c.Routes()) != 21 || len(c.Services) != 3 {
		t.Fatalf("version %d, %d routes, %d services", c.Version, len(c.Routes()), len(c.Services))
	}
	for i := range 21 {
		host, prefix := RouteOf(i)
		if r := c.Route(host, prefix+"x"); r == nil || r.Services[0].Service != ServiceName(i%3) {
			t.Fatalf("route %d: %+v", i, r)
		}
	}
}

// A backend runs what is meant for it, once, and says of all else that it did not.
func TestBackend(t *testing.T) {
	b := &Backend{ID: "i-1", options: BackendOptions{Slots: 1}, runs: map[string]int{}}
	for _, c := range []struct {
		attempt, target string
		status          int
	}{{"", "", 400}, {"7", "i-2", 421}, {"7", "i-1", 200}, {"8", "", 200}} {
		r, w := httptest.NewRequest(http.MethodGet, "/a/b?c", nil), httptest.NewRecorder()
		r.Header.Set("X-Elmfold-Attempt-Id", c.attempt)
		r.Header.Set("X-Elmfold-Target-Instance", c.target)
		b.ServeHTTP(w, r)
		h := w.Header()
		if ran := h.Get(
			"X-Elmfold-Server-Seal",
		) != ""; w.Code != c.status || ran != (c.status == 200) ||
			ran == (h.Get("X-Elmfold-Not-Executed") != "") {
			t.Errorf("%+v: %d %v", c, w.Code, h)
		}
	}
	if all, twice := b.Runs(); all != 2 || twice != 0 {
		t.Errorf("%d ran, %d twice", all, twice)
	}
}

// A hollow carrier looks at the very fields that controllers fill.
func TestFrame(t *testing.T) {
	text, err := cbor.Marshal(
		&rpc.Message{
			Hello:          &rpc.Hello{Incarnation: 1},
			EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true, Endpoints: []rpc.Endpoint{{ID: "i-1"}}},
			RegisterUpdate: rpc.RegisterUpdate{
				CommittedVersions: map[string]rpc.Version{configRegister: {Number: 3}},
				CommittedValues:   []rpc.Register{{Name: configRegister, Version: rpc.Version{Number: 3}, Value: []byte("x")}},
			},
			RoutingTables: []rpc.RoutingTable{{Service: "s"}},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	var f frame
	if err := cbor.Unmarshal(text, &f); err != nil {
		t.Fatal(err)
	}
	if f.Hello == nil || !f.EndpointsSynced || f.Safe[configRegister].Number != 3 || f.Offers[0].Version.Number != 3 ||
		len(f.Backends) == 0 ||
		len(f.Tables) == 0 {
		t.Errorf("%+v", f)
	}
}

// The kernel's counts are read for a process that is there.
func TestUsage(t *testing.T) {
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{cmd: &exec.Cmd{Process: self}}
	u, err := p.Usage()
	if err != nil || u.Resident <= 0 || u.Peak < u.Resident/2 || u.Read <= 0 {
		t.Fatalf("%+v, %v", u, err)
	}
}
