package compat_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane"
	"elmfold/internal/controlplane/storage"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/simulation"
)

// node is a control-plane node of the current version with a real disk, a simulated network and virtual time.
type node struct {
	t      *testing.T
	name   string
	host   *simulation.Host
	server *controlplane.Server
	store  *storage.Store
	found  storage.Recovery
}

var nodeZones = []string{"north", "south", "west"}

func nodeAddress(i, port int) string { return fmt.Sprintf("127.77.0.%d:%d", 10+i, port) }

func newNet() *simulation.Net {
	return simulation.NewNet(func(string, string) time.Duration { return 200 * time.Microsecond })
}

// startNode starts node i of three with its disk in dir.
func startNode(t *testing.T, network *simulation.Net, i int, dir string) *node {
	t.Helper()
	n := &node{t: t, name: fmt.Sprintf("core-%d", i)}
	settings := bootconfig.Default()
	settings.Name, settings.IP, settings.Zone = n.name, fmt.Sprintf("127.77.0.%d", 10+i), nodeZones[i%3]
	settings.Zones = map[string]string{"north": "land", "south": "land", "west": "land"}
	settings.PortRange, settings.Bootstrap, settings.FaultBudget.Machines = [2]int{7540, 7555}, true, 1
	settings.Seeds = []string{nodeAddress(0, 8544), nodeAddress(1, 8544), nodeAddress(2, 8544)}
	settings.Listen = map[string]string{"control": nodeAddress(i, 8544)}
	n.host = network.Host(settings.IP)
	listener, err := n.host.Listen(settings.OwnPeerAddress())
	if err != nil {
		t.Fatal(err)
	}
	n.store, n.found, err = storage.Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	n.server = controlplane.New(
		controlplane.Options{Settings: &settings, Disk: n.store, DiskComplete: n.found.Complete, DiskFresh: n.found.Fresh,
			Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock(), Listener: listener, TimeOfDay: time.Now,
			Dial: func(address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
				defer cancel()
				return n.host.Dial(ctx, address, 3*time.Second)
			}},
	)
	go n.server.Run()
	return n
}

// stop stops the node and keeps its disk.
func (n *node) stop() {
	n.server.Stop()
	n.host.Kill()
	if err := n.store.Close(); err != nil {
		n.t.Error(err)
	}
}

func (n *node) call(call, of, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://control/v1/rpc?call="+call+"&of="+of, strings.NewReader(body))
	n.server.Handler().ServeHTTP(w, r)
	return w
}

func (n *node) wantOK(call, of, body string) string {
	n.t.Helper()
	w := n.call(call, of, body)
	if w.Code != http.StatusOK {
		n.t.Errorf("%s: %s: status %d, body %s", n.name, call, w.Code, w.Body)
	}
	return w.Body.String()
}

// coreStatus has the fields of core.status that these tests use.
type coreStatus struct {
	Epoch    uint64 `json:"epoch"`
	Changing bool   `json:"changing"`
	InTouch  bool   `json:"inTouch"`
	Voters   []struct {
		Name  string `json:"name"`
		Disk  string `json:"disk"`
		Whole bool   `json:"whole"`
	} `json:"voters"`
	Evacuated []string `json:"evacuated"`
}

func (n *node) status() (s coreStatus) {
	n.t.Helper()
	if err := json.Unmarshal([]byte(n.wantOK("core.status", "", "")), &s); err != nil {
		n.t.Fatal(err)
	}
	return s
}

func (n *node) wantConfiguration(want string) {
	n.t.Helper()
	if got := n.wantOK("config.read", "", ""); got != want {
		n.t.Errorf("%s has an unexpected configuration: %.80s", n.name, got)
	}
}

// copyDisk copies one of the disks of d330930 to a temporary directory.
func copyDisk(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata/disks", name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// segment returns the path of the only file of a disk.
func segment(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "word", "0*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("got the files %q, error %v, want one file", files, err)
	}
	return files[0]
}

func configuration(t *testing.T, version int) string {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("testdata/disks/configuration-%d.json", version))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
