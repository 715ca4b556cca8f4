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

// A controller is killed and its registry dies with it: the next one starts on the list that was held, with the
// drain, and a proxy that joins is given the others. state shows what a start would believe.
func TestKilled(t *testing.T) {
	held := kv.New(1)
	for _, id := range []string{"s-1", "s-2", "s-7"} {
		held.Put("elm/"+id, entryJSON(reconcile.Serving))
	}
	m, err := etcd.Start(held, nil)
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
	held.Put("elm/s-2", entryJSON(reconcile.Draining))
	awaitLine(t, in, "out=s-2")
	state := func(what string) string {
		var out bytes.Buffer
		Run([]string{"state", what, "--operator", file}, &out, &out)
		return out.String()
	}
	if text := state("show"); !strings.Contains(text, "a controller holds it") {
		t.Errorf("while it runs state shows %q", text)
	}
	// The batch with the drain goes out within half a second; a kill before that loses that batch and no more.
	for over := time.Now().Add(20 * time.Second); time.Now().Before(over); time.Sleep(600 * time.Millisecond) {
		_ = first.Process.Kill()
		_ = first.Wait()
		if strings.Contains(state("show"), "s-2  DRAINING") {
			break
		}
		first = startProcess(t, false, env)
		awaitLine(t, first.output, "msg=ready")
	}
	m.Stop()
	if text := state("check"); !strings.Contains(text, "in order; of n3, 4 facts") {
		t.Errorf("state check: %q", text)
	}
	if text := state("export"); strings.Count(text, "\n") != 4 {
		t.Errorf("state export: %q", text)
	}
	second := startProcess(t, false, env)
	if line := awaitLine(t, second.output, "from the store or from peers"); !strings.Contains(line, "backends=3") {
		t.Errorf("the next start: %q", line)
	}
	addr = second.awaitReady()
	table := awaitLine(t, subscribe(t, addr), "whole=1")
	if !strings.Contains(table, "s-1:") || !strings.Contains(table, "s-7:") || strings.Contains(table, "s-2:") {
		t.Errorf("the first table is %q", table)
	}
}

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

// Figures of the decisions are kept with the moment at which they were true, told to peers at their age, and what a
// start believes of them is handed to the desk. Those of a minute ago are let go of, so that ids never pile up.
func TestFigures(t *testing.T) {
	dir := t.TempDir()
	now := time.UnixMilli(5_000_000_000)
	s, _, err := statestore.Open(filepath.Join(dir, "state"), "n3", 0, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	// No goroutine of its own runs beside it: its clock is the test's.
	m := &factCache{
		name:         "n3",
		store:        s,
		now:          func() time.Time { return now },
		members:      map[string]reconcile.Member{},
		measurements: map[measurementKey]measurement{},
		session:      warmstart.New(warmstart.Plan{Grace: 10 * time.Minute, Half: 10 * time.Second, Most: 1000}),
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
			{Kind: warmstart.Use, Key: "4/look", Value: 12, Age: 3 * time.Second},
			{Kind: warmstart.Relief, Key: "s-1", Value: 0.4},
			{Kind: warmstart.Throughput, Value: 5},
		},
	)
	now = now.Add(2 * time.Second)
	ages := map[string]time.Duration{}
	for _, f := range m.currentFacts() {
		if f.Origin != "n3" {
			t.Errorf("told as %q's: %v", f.Origin, f)
		}
		ages[f.Kind.String()] = f.Age
	}
	if ages["use"] != 5*time.Second || ages["relief"] != 2*time.Second || ages["pace"] != 2*time.Second {
		t.Errorf("told with ages %v", ages)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	m.store = nil
	_, records, err := statestore.Look(filepath.Join(dir, "state"))
	if err != nil {
		t.Fatal(err)
	}
	again := factCache{
		name:      "n3",
		now:       func() time.Time { return now },
		startTime: now,
		session:   warmstart.New(warmstart.Plan{Grace: 10 * time.Minute, Half: 10 * time.Second, Most: 1000}),
	}
	l, refused, ok := again.acceptFacts(
		[]warmstart.Event{warmstart.Offered{Source: "store", Facts: factsFromRecords(records, "n3", now)}},
	)
	got := map[warmstart.Kind]warmstart.Believe{}
	for _, b := range again.InitialBeliefs() {
		got[b.Kind] = b
	}
	if !ok || len(l.Members) != 1 || len(refused) > 0 || len(got) != 3 || got[warmstart.Use].Value != 12 ||
		got[warmstart.Use].Age != 5*time.Second ||
		got[warmstart.Relief].Part < 0.85 ||
		got[warmstart.Relief].Part > 0.9 {
		t.Errorf("believed %v, refused %v, list %v", got, refused, l)
	}
	now = now.Add(2 * measurementTTL)
	for i := range 1000 { // ids without end
		now = now.Add(time.Second)
		m.RecordFacts([]warmstart.Fact{{Kind: warmstart.Relief, Key: fmt.Sprint("s-", i), Value: 0.5}})
	}
	if n := len(m.measurements); n > int(measurementTTL/time.Second)+1 {
		t.Errorf("%d figures are held", n)
	}
}

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Case 5: the list counts from when it was last seen to hold, and is refused after the grace; a clock that went
// back refuses it too.
func TestGrace(t *testing.T) {
	began := time.UnixMilli(1_000_000_000)
	var records []statestore.Record
	for i, phase := range []string{reconcile.Serving, reconcile.Draining, reconcile.Deleted} {
		records = append(
			records,
			statestore.Record{Kind: warmstart.Backend, Key: fmt.Sprint("s-", i), State: phase, Revision: int64(i + 1),
				Note: fmt.Sprintf(`{"id":"s-%d","locality":"a","phase":%q}`, i, phase), At: began.UnixMilli()},
		)
	}
	seen := began.Add(time.Hour)
	records = append(records, statestore.Record{Kind: warmstart.Backend, Key: listConfirmedKey, At: seen.UnixMilli()})
	believed := func(at time.Time) (reconcile.List, []warmstart.Refuse, bool) {
		plan := warmstart.Usual()
		plan.Grace = time.Minute
		m := &factCache{now: func() time.Time { return at }, startTime: at, session: warmstart.New(plan)}
		return m.acceptFacts([]warmstart.Event{warmstart.Offered{Source: "store", Facts: factsFromRecords(records, "n1", at)}})
	}
	l, refused, ok := believed(seen.Add(59 * time.Second))
	if !ok || len(refused) > 0 || len(l.Members) != 2 || l.Members[1].Phase != reconcile.Draining || l.Revision != 3 ||
		!l.Complete {
		t.Errorf("within the grace %+v, %v", l, refused)
	}
	for at, why := range map[time.Duration]string{
		61 * time.Second: "older than the grace",
		-time.Second:     "from the future",
	} {
		if l, refused, ok := believed(
			seen.Add(at),
		); ok || len(l.Members) > 0 || len(refused) != 1 || refused[0].Reason != why ||
			refused[0].Count != 3 {
			t.Errorf("at %v %+v, %+v", at, l, refused)
		}
	}
}

// A controller that starts without a store or a registry that answers begins with what a running one tells it; of
// two that start together, neither of which knows anything, neither is made sure.
func TestPeers(t *testing.T) {
	held := kv.New(1)
	held.Put("elm/s-7", entryJSON(reconcile.Serving))
	held.Put("elm/s-8", entryJSON(reconcile.Draining))
	m, err := etcd.Start(held, nil)
	if err != nil {
		t.Fatal(err)
	}
	free := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		return ln.Addr().String()
	}
	at := free()
	config := writeTempFile(t, "config.json", platformConfig)
	running := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + writeTempFile(t, "a.conf",
		"registry etcd\n  endpoint "+m.Addr()+"\n  prefix elm\npeers\n  listen "+at+"\n")})
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
	second := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file(free(), at)})
	if line := awaitLine(t, second.output, "from the store or from peers"); !strings.Contains(line, "backends=2") {
		t.Errorf("with a peer: %q", line)
	}
	if line := awaitLine(t, second.output, "msg=ready"); !strings.Contains(line, "backends=2") {
		t.Errorf("with a peer: %q", line)
	}
	one, two := free(), free()
	third := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file(one, two)})
	fourth := startProcess(t, false, []string{"EDGE_CONFIG=" + config, "EDGE_OPERATOR=" + file(two, one)})
	for _, c := range []*process{third, fourth} {
		if line := awaitLine(t, c.output, "msg=ready"); !strings.Contains(line, "backends=3") { // those of the platform's file
			t.Errorf("of two that start together: %q", line)
		}
	}
}

// What was heard of others is told on as theirs, at its age, also when our own source fails; what our source told
// is ours, and grows old from when it failed.
func TestHearsay(t *testing.T) {
	at := time.UnixMilli(1_000_000_000)
	m := &factCache{
		name:      "n1",
		now:       func() time.Time { return at },
		startTime: at,
		session:   warmstart.New(warmstart.Usual()),
		members:   map[string]reconcile.Member{},
	}
	note := `{"id":"s-1","locality":"a","phase":"SERVING"}`
	m.acceptFacts(
		[]warmstart.Event{
			warmstart.Offered{
				Source: "x",
				Facts: []warmstart.Fact{{Kind: warmstart.Backend, Key: "s-1", State: reconcile.Serving, Note: note,
					Age: 5 * time.Second, Origin: "n2"}},
			},
		},
	)
	m.Update(reconcile.SourceFailed{})
	at = at.Add(10 * time.Second)
	if f := m.currentFacts(); len(f) != 1 || f[0].Origin != "n2" || f[0].Age != 15*time.Second {
		t.Errorf("before our source answers %+v", f)
	}
	m.Update(
		reconcile.List{
			Revision: 3,
			Complete: true,
			Members:  []reconcile.Member{{ID: "s-2", Zone: "a", Phase: reconcile.Draining}},
		},
	)
	at = at.Add(10 * time.Second)
	if f := m.currentFacts(); len(f) != 1 || f[0].Key != "s-2" || f[0].Origin != "n1" || f[0].Age != 0 || f[0].Revision != 3 {
		t.Errorf("while it does %+v", f)
	}
	m.Update(reconcile.SourceFailed{})
	at = at.Add(20 * time.Second)
	if f := m.currentFacts(); len(f) != 1 || f[0].Age != 20*time.Second {
		t.Errorf("when it failed %+v", f)
	}
}

// The channel beside the platform's streams: a client subscribes to a real controller, tail shows the topic.
func TestChannel(t *testing.T) {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	_ = free.Close()
	file := writeTempFile(t, "op.conf", "channel\n  listen "+addr+"\n")
	p := startProcess(t, false, []string{"EDGE_CONFIG=" + writeTempFile(t, "config.json", platformConfig), "EDGE_OPERATOR=" + file})
	awaitLine(t, p.output, "pub-sub channel is open")
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	held := 0
	err = client.Run(
		ctx,
		client.Options{Addresses: []string{addr}, Hello: pubsub.Hello{Topic: "orders/2", Own: true, Zone: "a", Rate: 5},
			Changed: func(c *session.Copy, _ []string) {
				_, tables := pubsub.Tables(c.State)
				if held = len(tables); held > 0 {
					stop()
				}
			}},
	)
	if err != nil || held == 0 {
		t.Errorf("%d tables, %v", held, err)
	}
	var out, errs bytes.Buffer
	if code := Run(
		[]string{"channel", "tail", "--once", "--operator", file, "orders/2"},
		&out,
		&errs,
	); code != 0 ||
		!strings.Contains(out.String(), "b look") {
		t.Errorf("tail ends with %d: %q %q", code, out.String(), errs.String())
	}
}
