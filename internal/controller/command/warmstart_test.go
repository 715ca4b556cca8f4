package command

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/pubsub"
	"elmfold/internal/controller/pubsub/client"
	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/statestore"
	"elmfold/internal/controller/warmstart"
	"elmfold/internal/fakes/etcd"
	"elmfold/internal/fakes/kv"
)

// Checks that a killed controller restarts with the stored list while the registry is down, and that a drain in the
// list stays in effect. Also checks the state commands.
func TestRestartAfterKill(t *testing.T) {
	registry := kv.New(1)
	for _, id := range []string{"s-1", "s-2", "s-7"} {
		registry.Put("elm/"+id, entryJSON(reconcile.Serving))
	}
	m, err := etcd.Start(registry, nil)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := writeTempFile(
		t,
		"op.conf",
		"registry etcd\n  endpoint "+m.Addr()+"\n  prefix elm\nstore\n  file "+filepath.Join(dir, "state")+"\n",
	)
	config := writeTempFile(t, "config.json", platformConfig)
	env := []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file}
	first := startProcess(t, false, env)
	addr := first.awaitReady()
	in := subscribe(t, addr)
	awaitLine(t, in, "s-7:1")
	registry.Put("elm/s-2", entryJSON(reconcile.Draining))
	awaitLine(t, in, "out=s-2")
	state := func(what string) string {
		var out bytes.Buffer
		Run([]string{"state", what, "--operator", file}, &out, &out)
		return out.String()
	}
	if text := state("show"); !strings.Contains(text, "a controller has the store open") {
		t.Errorf("state show while the controller runs: %q", text)
	}
	// The store writes a batch within half a second. A kill before that loses the batch, so kill again until the drain is
	// stored.
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(600 * time.Millisecond) {
		_ = first.Process.Kill()
		_ = first.Wait()
		if strings.Contains(state("show"), "s-2  DRAINING") {
			break
		}
		first = startProcess(t, false, env)
		awaitLine(t, first.output, "msg=ready")
	}
	m.Stop()
	if text := state("check"); !strings.Contains(text, "valid; written by n3, 4 records") {
		t.Errorf("state check: %q", text)
	}
	if text := state("export"); strings.Count(text, "\n") != 4 {
		t.Errorf("state export: %q", text)
	}
	second := startProcess(t, false, env)
	if line := awaitLine(t, second.output, "from the store or from peers"); !strings.Contains(line, "backends=3") {
		t.Errorf("restart: %q", line)
	}
	addr = second.awaitReady()
	table := awaitLine(t, subscribe(t, addr), "whole=1")
	if !strings.Contains(table, "s-1:") || !strings.Contains(table, "s-7:") || strings.Contains(table, "s-2:") {
		t.Errorf("first table: %q", table)
	}
}

// subscribe connects to a controller as a proxy, and returns the stream of its messages.
func subscribe(t *testing.T, addr string) *bufio.Reader {
	t.Helper()
	stream, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stream.Close() })
	_ = stream.SetDeadline(time.Now().Add(time.Minute))
	_, _ = io.WriteString(stream, "SUBSCRIBE node=2 locality=a w=5 cold=1\r\n")
	return bufio.NewReader(stream)
}

// Checks that measurements are stored with their time, are served to peers with their age, and are accepted at the next
// start. Guards against unbounded growth from expired measurements.
func TestMeasurements(t *testing.T) {
	dir := t.TempDir()
	now := time.UnixMilli(5_000_000_000)
	s, _, err := statestore.Open(filepath.Join(dir, "state"), "n3", 0, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	// Built without OpenWarmState, so that no other goroutine reads the clock of the test.
	m := &factCache{
		name:         "n3",
		store:        s,
		now:          func() time.Time { return now },
		members:      map[string]reconcile.Member{},
		measurements: map[measurementKey]measurement{},
		session:      warmstart.New(warmstart.Config{MaxAge: 10 * time.Minute, HalfLife: 10 * time.Second, MaxFacts: 1000}),
	}
	m.Update(
		reconcile.List{
			Revision: 3,
			Complete: true,
			Members:  []reconcile.Member{{ID: "s-1", Zone: "a", Phase: reconcile.Serving}},
		},
	)
	m.RecordFacts(
		[]warmstart.Fact{
			{Kind: warmstart.Usage, Key: "4/look", Value: 12, Age: 3 * time.Second},
			{Kind: warmstart.Derating, Key: "s-1", Value: 0.4},
			{Kind: warmstart.Throughput, Value: 5},
		},
	)
	now = now.Add(2 * time.Second)
	ages := map[string]time.Duration{}
	for _, f := range m.currentFacts() {
		if f.Origin != "n3" {
			t.Errorf("fact with origin %q: %v", f.Origin, f)
		}
		ages[f.Kind.String()] = f.Age
	}
	if ages["use"] != 5*time.Second || ages["relief"] != 2*time.Second || ages["pace"] != 2*time.Second {
		t.Errorf("ages %v", ages)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	m.store = nil
	_, records, err := statestore.Inspect(filepath.Join(dir, "state"))
	if err != nil {
		t.Fatal(err)
	}
	restarted := factCache{
		name:      "n3",
		now:       func() time.Time { return now },
		startTime: now,
		session:   warmstart.New(warmstart.Config{MaxAge: 10 * time.Minute, HalfLife: 10 * time.Second, MaxFacts: 1000}),
	}
	l, refused, ok := restarted.acceptFacts(
		[]warmstart.Event{warmstart.Received{Source: "store", Facts: factsFromRecords(records, "n3", now)}},
	)
	got := map[warmstart.Kind]warmstart.Accepted{}
	for _, b := range restarted.InitialBeliefs() {
		got[b.Kind] = b
	}
	if !ok || len(l.Members) != 1 || len(refused) > 0 || len(got) != 3 || got[warmstart.Usage].Value != 12 ||
		got[warmstart.Usage].Age != 5*time.Second ||
		got[warmstart.Derating].Confidence < 0.85 ||
		got[warmstart.Derating].Confidence > 0.9 {
		t.Errorf("accepted %v, refused %v, list %v", got, refused, l)
	}
	now = now.Add(2 * measurementTTL)
	for i := range 1000 {
		now = now.Add(time.Second)
		m.RecordFacts([]warmstart.Fact{{Kind: warmstart.Derating, Key: fmt.Sprint("s-", i), Value: 0.5}})
	}
	if n := len(m.measurements); n > int(measurementTTL/time.Second)+1 {
		t.Errorf("%d measurements are kept", n)
	}
}

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Checks that the age of a stored list counts from its last confirmation, and that a list that is older than the grace
// period or from the future is refused.
func TestListGracePeriod(t *testing.T) {
	start := time.UnixMilli(1_000_000_000)
	var records []statestore.Record
	for i, phase := range []string{reconcile.Serving, reconcile.Draining, reconcile.Deleted} {
		records = append(
			records,
			statestore.Record{Kind: warmstart.Backend, Key: fmt.Sprint("s-", i), State: phase, Revision: int64(i + 1),
				Note: fmt.Sprintf(`{"id":"s-%d","locality":"a","phase":%q}`, i, phase), At: start.UnixMilli()},
		)
	}
	confirmed := start.Add(time.Hour)
	records = append(records, statestore.Record{Kind: warmstart.Backend, Key: listConfirmedKey, At: confirmed.UnixMilli()})
	acceptAt := func(at time.Time) (reconcile.List, []warmstart.Rejected, bool) {
		plan := warmstart.DefaultConfig()
		plan.MaxAge = time.Minute
		m := &factCache{now: func() time.Time { return at }, startTime: at, session: warmstart.New(plan)}
		facts := factsFromRecords(records, "n1", at)
		return m.acceptFacts([]warmstart.Event{warmstart.Received{Source: "store", Facts: facts}})
	}
	l, refused, ok := acceptAt(confirmed.Add(59 * time.Second))
	if !ok || len(refused) > 0 || len(l.Members) != 2 || l.Members[1].Phase != reconcile.Draining || l.Revision != 3 ||
		!l.Complete {
		t.Errorf("within the grace period: list %+v, refused %v", l, refused)
	}
	for age, reason := range map[time.Duration]string{
		61 * time.Second: "exceeds the maximum age",
		-time.Second:     "negative age",
	} {
		if l, refused, ok := acceptAt(confirmed.Add(age)); ok || len(l.Members) > 0 || len(refused) != 1 ||
			refused[0].Reason != reason || refused[0].Count != 3 {
			t.Errorf("at age %v: list %+v, refused %+v", age, l, refused)
		}
	}
}

// Checks that a controller starts with the list of a running peer if it has no store and cannot reach its registry. Two
// controllers that start together and query each other use the list of the platform's configuration.
func TestStartFromPeers(t *testing.T) {
	registry := kv.New(1)
	registry.Put("elm/s-7", entryJSON(reconcile.Serving))
	registry.Put("elm/s-8", entryJSON(reconcile.Draining))
	m, err := etcd.Start(registry, nil)
	if err != nil {
		t.Fatal(err)
	}
	freeAddress := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		return ln.Addr().String()
	}
	peerAddress := freeAddress()
	config := writeTempFile(t, "config.json", platformConfig)
	running := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + writeTempFile(t, "a.conf",
		"registry etcd\n  endpoint "+m.Addr()+"\n  prefix elm\npeers\n  listen "+peerAddress+"\n")})
	addr := running.awaitReady()
	awaitLine(t, subscribe(t, addr), "s-7:")
	m.Stop()
	file := func(listen, ask string) string {
		return writeTempFile(
			t,
			"b.conf",
			"registry etcd\n  endpoint "+m.Addr()+"\n  prefix elm\npeers\n  listen "+listen+"\n  ask "+ask+"\n",
		)
	}
	secondFile := file(freeAddress(), peerAddress)
	second := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + secondFile})
	if line := awaitLine(t, second.output, "from the store or from peers"); !strings.Contains(line, "backends=2") {
		t.Errorf("start with a peer: %q", line)
	}
	if line := awaitLine(t, second.output, "msg=ready"); !strings.Contains(line, "backends=2") {
		t.Errorf("start with a peer: %q", line)
	}
	one, two := freeAddress(), freeAddress()
	third := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file(one, two)})
	fourth := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file(two, one)})
	for _, c := range []*process{third, fourth} {
		// The platform's configuration has three backends.
		if line := awaitLine(t, c.output, "msg=ready"); !strings.Contains(line, "backends=3") {
			t.Errorf("one of two that start together: %q", line)
		}
	}
}

// Checks that facts from a peer keep their origin and age when they are passed on. A list from the controller's own
// source has the controller as its origin, and ages from the failure of the source.
func TestFactOrigin(t *testing.T) {
	at := time.UnixMilli(1_000_000_000)
	m := &factCache{
		name:      "n1",
		now:       func() time.Time { return at },
		startTime: at,
		session:   warmstart.New(warmstart.DefaultConfig()),
		members:   map[string]reconcile.Member{},
	}
	note := `{"id":"s-1","locality":"a","phase":"SERVING"}`
	m.acceptFacts(
		[]warmstart.Event{
			warmstart.Received{
				Source: "x",
				Facts: []warmstart.Fact{{Kind: warmstart.Backend, Key: "s-1", State: reconcile.Serving, Note: note,
					Age: 5 * time.Second, Origin: "n2"}},
			},
		},
	)
	m.Update(reconcile.SourceFailed{})
	at = at.Add(10 * time.Second)
	if f := m.currentFacts(); len(f) != 1 || f[0].Origin != "n2" || f[0].Age != 15*time.Second {
		t.Errorf("before the source provides a list: %+v", f)
	}
	m.Update(
		reconcile.List{
			Revision: 3,
			Complete: true,
			Members:  []reconcile.Member{{ID: "s-2", Zone: "a", Phase: reconcile.Draining}},
		},
	)
	at = at.Add(10 * time.Second)
	if f := m.currentFacts(); len(f) != 1 || f[0].Key != "s-2" || f[0].Origin != "n1" || f[0].Age != 0 ||
		f[0].Revision != 3 {
		t.Errorf("while the source is healthy: %+v", f)
	}
	m.Update(reconcile.SourceFailed{})
	at = at.Add(20 * time.Second)
	if f := m.currentFacts(); len(f) != 1 || f[0].Age != 20*time.Second {
		t.Errorf("after the source failed: %+v", f)
	}
}

// Checks that a client can subscribe to a topic of a running controller, and that channel tail prints the topic.
func TestChannel(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	file := writeTempFile(t, "op.conf", "channel\n  listen "+addr+"\n")
	config := writeTempFile(t, "config.json", platformConfig)
	p := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file})
	awaitLine(t, p.output, "pub-sub channel is open")
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	tableCount := 0
	err = client.Run(
		ctx,
		client.Options{Addresses: []string{addr}, Hello: pubsub.Hello{Topic: "orders/2", Owner: true, Zone: "a", Rate: 5},
			OnChange: func(c *session.Replica, _ []string) {
				_, tables := pubsub.RoutingTables(c.State)
				if tableCount = len(tables); tableCount > 0 {
					stop()
				}
			}},
	)
	if err != nil || tableCount == 0 {
		t.Errorf("%d tables, %v", tableCount, err)
	}
	var out, errs bytes.Buffer
	code := Run([]string{"channel", "tail", "--once", "--operator", file, "orders/2"}, &out, &errs)
	if code != 0 || !strings.Contains(out.String(), "b look") {
		t.Errorf("tail: exit %d: %q %q", code, out.String(), errs.String())
	}
}
