package watch_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"elmfold/internal/controller/discovery"
	"elmfold/internal/controller/discovery/consul"
	"elmfold/internal/controller/discovery/etcd"
	"elmfold/internal/controller/discovery/watch"
	"elmfold/internal/controller/reconcile"
	standconsul "elmfold/internal/fakes/consul"
	standetcd "elmfold/internal/fakes/etcd"
	"elmfold/internal/fakes/kv"
	"elmfold/internal/fakes/link"
)

// What fasthttp keeps ends by itself, within 10 s.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const (
	prefix = "elm/b"
	limit  = 30 * time.Second // that nothing here comes near
)

// serverOf is the rig's server, of the kind that it was made with.
func serverOf[T any](r *rig) T {
	r.Helper()
	server, ok := r.server.(T)
	if !ok {
		r.Fatalf("the server is a %T", r.server)
	}
	return server
}

func value(phase string) string {
	return fmt.Sprintf(`{"locality":"a","flavor":"m","phase":%q,"size":1}`, phase)
}

// server is a stand-in of either kind.
type server interface {
	Addr() string
	Stop()
	SetUnresponsive(bool)
	Expire()
}

// rig is a stand-in registry, a link to it and a follower, with what that tells.
type rig struct {
	*testing.T
	kind   string
	store  *kv.Store
	server server
	link   *link.Link
	f      *watch.Follower
	tells  chan reconcile.PublishList
	notes  chan reconcile.LogEntry
	list   map[string]reconcile.Member
	at     int64
	doubts int
}

// kinds runs a test against both kinds of registry.
func kinds(t *testing.T, f func(t *testing.T, kind string)) {
	for _, kind := range []string{"etcd", "consul"} {
		t.Run(kind, func(t *testing.T) { f(t, kind) })
	}
}

func newRig(t *testing.T, kind string, conf *tls.Config) *rig {
	t.Helper()
	r := &rig{T: t, kind: kind, store: kv.New(7), list: map[string]reconcile.Member{}}
	var err error
	if kind == "etcd" {
		r.server, err = standetcd.Start(r.store, conf)
	} else {
		r.server, err = standconsul.Start(r.store, conf)
	}
	if err == nil {
		t.Cleanup(r.server.Stop)
		r.link, err = link.New(r.server.Addr(), nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.link.Close)
	return r
}

// plan is quick: its spans are counted in turns of a schedule, not in what a test waits for.
func (r *rig) plan() reconcile.Config {
	p := reconcile.DefaultConfig()
	p.Seed, p.Prefix, p.PageSize = "n1", prefix, 3
	p.MinBackoff, p.MaxBackoff, p.MaxRejectedBackoff = time.Millisecond, 20*time.Millisecond, 20*time.Millisecond
	p.ReloadJitter, p.MinReloadInterval = time.Millisecond, time.Millisecond
	p.WatchSendsChanges, p.SupportsCheck = r.kind == "etcd", r.kind == "etcd"
	if r.kind == "consul" {
		p.AuditInterval = 0
	}
	return p
}

func (r *rig) source(endpoints []string, a discovery.Access) watch.Source {
	if r.kind == "etcd" {
		return etcd.New(endpoints, prefix, a)
	}
	return consul.New(endpoints, prefix, a, 2*time.Second)
}

func (r *rig) begin(p reconcile.Config, a discovery.Access) {
	r.tells, r.notes = make(chan reconcile.PublishList, 10000), make(chan reconcile.LogEntry, 10000)
	log := logrus.New()
	log.SetOutput(io.Discard)
	endpoints := []string{r.link.Addr()}
	r.f = watch.New(p, r.source(endpoints, a), endpoints, func(any) {}, logrus.NewEntry(log))
	r.f.SetObserver(func(o reconcile.Order) {
		switch o := o.(type) {
		case reconcile.PublishList:
			r.tells <- o
		case reconcile.LogEntry:
			r.notes <- o
		}
	})
	go r.f.Run()
	r.Cleanup(r.f.Stop)
}

// hear takes one Tell: each member must be a change, and revisions must not go back.
func (r *rig) hear(o reconcile.PublishList) {
	r.Helper()
	if o.Complete {
		clear(r.list)
	}
	if o.Revision < r.at && !o.Complete && r.doubts == 0 {
		r.Errorf("revision %d is told after %d", o.Revision, r.at)
	}
	r.at = o.Revision
	for _, m := range o.Members {
		was, there := r.list[m.ID]
		if gone := m.Phase == reconcile.Deleted; gone && !there || !gone && there && was == m {
			r.Errorf("%+v is told twice", m)
		}
		if r.list[m.ID] = m; m.Phase == reconcile.Deleted {
			delete(r.list, m.ID)
		}
	}
}

// until hears what is told until the list is as wanted.
func (r *rig) until(want map[string]string) {
	r.Helper()
	over := time.After(limit)
	for !r.is(want) {
		select {
		case o := <-r.tells:
			r.hear(o)
		case <-over:
			r.Fatalf("the list is %+v, want %v", r.list, want)
		}
	}
}

func (r *rig) is(want map[string]string) bool {
	for id, phase := range want {
		if r.list[id].Phase != phase {
			return false
		}
	}
	return len(r.list) == len(want)
}

// note waits for a line that holds some words.
func (r *rig) note(words string) reconcile.LogEntry {
	r.Helper()
	over := time.After(limit)
	for {
		select {
		case n := <-r.notes:
			if strings.Contains(n.Text+" "+n.Reason, words) {
				return n
			}
		case <-over:
			r.Fatalf("no line holds %q", words)
		}
	}
}

func (r *rig) put(id, phase string) { r.store.Put(prefix+"/"+id, value(phase)) }

// Cut at each byte of what the registry sends, in pieces of any size, the list comes out as the registry holds
// it, each change told once and in order.
func TestCase1CutAtAnyByte(t *testing.T) {
	kinds(t, func(t *testing.T, kind string) {
		step := int64(11)
		if testing.Short() {
			step = 101
		}
		for at := int64(0); at < 1500; at += step {
			r := newRig(t, kind, nil)
			if m, ok := r.server.(*standetcd.Member); ok {
				m.Fragment(1)
			}
			r.link.Become(func(n int) link.Script {
				s := link.Calm
				s.Split = 1 + int(at+int64(n))%40
				if n%2 == 0 && n < 6 {
					s.Down = link.Disturbance{After: at, Kind: link.Break}
				}
				return s
			})
			for _, id := range []string{"a", "b", "c", "d"} {
				r.put(id, reconcile.Serving)
			}
			r.begin(r.plan(), discovery.Access{})
			r.until(map[string]string{"a": "SERVING", "b": "SERVING", "c": "SERVING", "d": "SERVING"})
			r.put("a", reconcile.Draining)
			r.store.Txn(
				kv.Change{Key: prefix + "/b", Gone: true},
				kv.Change{Key: prefix + "/c", Value: []byte(value(reconcile.Draining))},
				kv.Change{Key: prefix + "/e", Value: []byte(value(reconcile.Serving))},
			)
			r.put("d", reconcile.Draining)
			r.until(map[string]string{"a": "DRAINING", "c": "DRAINING", "d": "DRAINING", "e": "SERVING"})
			r.f.Stop()
			r.link.Close()
			r.server.Stop()
			if t.Failed() {
				t.Fatalf("cut at byte %d", at)
			}
		}
	})
}

// Cuts drawn from a seed, with each write delayed and split, at every connection but one in four.
func TestCase1Drawn(t *testing.T) {
	kinds(t, func(t *testing.T, kind string) {
		for seed := range uint64(12) {
			r := newRig(t, kind, nil)
			r.link.Become(func(n int) link.Script {
				s := link.Drawn(seed, n, 1200, link.Break)
				if s.Delay = 100 * time.Microsecond; n%4 == 3 {
					s.Down.After = -1
				}
				return s
			})
			r.begin(r.plan(), discovery.Access{})
			want := map[string]string{}
			for i := range 30 {
				id, phase := fmt.Sprint("s-", i%7), []string{reconcile.Serving, reconcile.Draining}[i/7%2]
				r.put(id, phase)
				want[id] = phase
				if i%5 == 0 {
					r.until(want)
				}
			}
			r.until(want)
			r.f.Stop()
		}
	})
}

// Silence with the connection open, at any byte, is noticed without TCP; what comes twice is told once.
func TestCase1Silence(t *testing.T) {
	kinds(t, func(t *testing.T, kind string) {
		for _, at := range []int64{0, 9, 150, 400, 700, 1100} {
			r := newRig(t, kind, nil)
			if m, ok := r.server.(*standetcd.Member); ok {
				m.Twice(true)
			}
			r.link.Become(func(n int) link.Script {
				s := link.Calm
				if n < 2 {
					s.Down = link.Disturbance{After: at, Kind: link.Stall}
				}
				return s
			})
			r.put("a", reconcile.Serving)
			p := r.plan()
			p.ProgressInterval, p.ResponseTimeout = 50*time.Millisecond, 300*time.Millisecond
			if kind == "etcd" {
				p.WatchTimeout = 200 * time.Millisecond
			}
			r.begin(p, discovery.Access{})
			r.until(map[string]string{"a": "SERVING"})
			r.put("a", reconcile.Draining)
			r.put("b", reconcile.Serving)
			r.until(map[string]string{"a": "DRAINING", "b": "SERVING"})
			r.server.SetUnresponsive(true)
			r.note("silent")
			r.store.Delete(prefix + "/b")
			r.server.SetUnresponsive(false)
			r.until(map[string]string{"a": "DRAINING"})
			r.f.Stop()
		}
	})
}

// The revision held is compacted during a break, and again between the pages of the whole list; what became
// draining or was deleted meanwhile is told, and nothing else.
func TestCase2And3CompactedDuringABreak(t *testing.T) {
	r := newRig(t, "etcd", nil)
	for i := range 20 {
		r.put(fmt.Sprint("s-", i), reconcile.Serving)
	}
	r.begin(r.plan(), discovery.Access{})
	want := map[string]string{}
	for i := range 20 {
		want[fmt.Sprint("s-", i)] = reconcile.Serving
	}
	r.until(want)
	r.link.Refuse(true)
	r.link.CutAll()
	r.note("registry fails")
	r.put("s-3", reconcile.Draining)
	r.store.Delete(prefix + "/s-4")
	r.put("s-5", reconcile.Serving) // as it is
	r.store.Compact(0)
	compactions := 0
	serverOf[*standetcd.Member](r).Pages(func(int) {
		if compactions < 4 { // each answer of a page is overtaken
			compactions++
			r.put("s-6", reconcile.Serving)
			r.store.Compact(0)
		}
	})
	r.link.Refuse(false)
	want["s-3"] = reconcile.Draining
	delete(want, "s-4")
	r.until(want)
	r.note("compaction interrupted the read of the whole list")
	if len(r.tells) > 0 {
		t.Errorf("more is told: %+v", <-r.tells)
	}
}

// A watch that lags behind a compaction is told so with the least revision, and the whole list follows.
func TestCase2WatchCancelled(t *testing.T) {
	r := newRig(t, "etcd", nil)
	r.put("a", reconcile.Serving)
	r.begin(r.plan(), discovery.Access{})
	r.until(map[string]string{"a": "SERVING"})
	r.server.SetUnresponsive(true)
	for range 5 {
		r.put("a", reconcile.Draining)
		r.put("a", reconcile.Serving)
	}
	r.put("a", reconcile.Draining)
	r.store.Compact(0)
	r.server.SetUnresponsive(false)
	r.note("the last known revision is compacted")
	r.until(map[string]string{"a": "DRAINING"})
}

// A registry that is restored from a snapshot, with its id or another: drains and ends known stand for the
// hold, the held list stays until the new one is there, and what changes then is told at once.
func TestCase4Restored(t *testing.T) {
	kinds(t, func(t *testing.T, kind string) {
		for _, id := range []uint64{7, 8} {
			r := newRig(t, kind, nil)
			r.put("a", reconcile.Serving)
			r.put("b", reconcile.Serving)
			r.put("c", reconcile.Serving)
			old := r.store.Save()
			p := r.plan()
			p.HistoryHold = 400 * time.Millisecond
			r.begin(p, discovery.Access{})
			r.until(map[string]string{"a": "SERVING", "b": "SERVING", "c": "SERVING"})
			r.put("a", reconcile.Draining)
			r.put("c", reconcile.Draining)
			r.store.Delete(prefix + "/b")
			r.put("d", reconcile.Serving)
			r.until(map[string]string{"a": "DRAINING", "c": "DRAINING", "d": "SERVING"})
			r.doubts++
			r.store.Restore(old, id)
			r.note("of another history")
			r.until(map[string]string{"a": "DRAINING", "c": "DRAINING"})
			r.put("c", reconcile.Serving) // by its own hand
			r.until(map[string]string{"a": "DRAINING", "c": "SERVING"})
			r.note("stopped holding drains and removals")
			r.until(map[string]string{"a": "SERVING", "b": "SERVING", "c": "SERVING"})
			r.f.Stop()
		}
	})
}

// Consul cleans up old deletions and its index goes back: nothing is told, and the next change is.
func TestCase4IndexGoesBackAlone(t *testing.T) {
	r := newRig(t, "consul", nil)
	r.put("a", reconcile.Serving)
	r.put("b", reconcile.Serving)
	r.begin(r.plan(), discovery.Access{})
	r.until(map[string]string{"a": "SERVING", "b": "SERVING"})
	r.store.Delete(prefix + "/b")
	r.until(map[string]string{"a": "SERVING"})
	serverOf[*standconsul.Server](r).Forget(true)
	r.note("index decreased")
	r.put("a", reconcile.Draining)
	r.doubts++
	r.until(map[string]string{"a": "DRAINING"})
	for len(r.notes) > 0 {
		if n := <-r.notes; strings.Contains(n.Text, "history") {
			t.Errorf("note %+v", n)
		}
	}
}

// Emptied by mistake and filled again: people are told, and the list is as the registry says.
func TestCase5Emptied(t *testing.T) {
	kinds(t, func(t *testing.T, kind string) {
		r := newRig(t, kind, nil)
		all := map[string]string{}
		for i := range 10 {
			id := fmt.Sprint("s-", i)
			r.put(id, reconcile.Serving)
			all[id] = reconcile.Serving
		}
		r.begin(r.plan(), discovery.Access{})
		r.until(all)
		var gone []kv.Change
		for id := range all {
			gone = append(gone, kv.Change{Key: prefix + "/" + id, Gone: true})
		}
		r.store.Txn(gone...)
		if n := r.note("removed at once"); n.Count != 10 {
			t.Errorf("note %+v", n)
		}
		r.until(map[string]string{})
		for id := range all {
			r.put(id, reconcile.Serving)
		}
		r.until(all)
	})
}

// Bad values cost their entry and a line each, over the wire too; of a key that goes to and fro within one
// answer each turn is told by etcd, and the last by Consul.
func TestCase7BadValues(t *testing.T) {
	kinds(t, func(t *testing.T, kind string) {
		r := newRig(t, kind, nil)
		r.put("good", reconcile.Serving)
		r.store.Put(prefix+"/nojson", "{")
		r.store.Put(prefix+"/long", `{"locality":"`+strings.Repeat("x", 70000)+`"}`)
		r.store.Put(prefix+"/alias", `{"id":"good","locality":"a","phase":"SERVING"}`)
		r.store.Put(prefix+"2/other", value(reconcile.Serving)) // begins alike
		if m, ok := r.server.(*standetcd.Member); ok {
			m.Outside(true)
			m.Largest(2) // pages of three do not fit
		}
		r.begin(r.plan(), discovery.Access{})
		r.until(map[string]string{"good": "SERVING"})
		faults := map[string]bool{}
		for len(faults) < 3 {
			faults[r.note("ignoring an invalid entry").Key] = true
		}
		if kind == "etcd" {
			r.server.SetUnresponsive(true)
		}
		r.put("good", reconcile.Draining)
		r.put("good", reconcile.Serving)
		r.put("good", reconcile.Draining)
		if kind == "etcd" {
			r.server.SetUnresponsive(false)
		}
		r.until(map[string]string{"good": "DRAINING"})
		if kind == "etcd" {
			r.note("outside the prefix")
		}
	})
}

// authority makes certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{
		key: key,
		cert: &x509.Certificate{
			SerialNumber:          big.NewInt(1),
			Subject:               pkix.Name{CommonName: "test"},
			IsCA:                  true,
			BasicConstraintsValid: true,
			NotBefore:             time.Now().Add(-time.Hour),
			NotAfter:              time.Now().Add(time.Hour),
			KeyUsage:              x509.KeyUsageCertSign,
		},
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// issue writes a certificate and its key and gives the paths.
func (a *authority) issue(t *testing.T, dir, name string) (cert, key string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	text, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return file(t, dir, name+".pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		file(t, dir, name+".key", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: text}))
}

func file(t *testing.T, dir, name string, text []byte) string {
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A wrong password and a token that is not known leave one line that names which; the list stays, and when the
// secret's file is right it goes on. A bearer that expires is renewed without a word.
func TestCase8Refused(t *testing.T) {
	kinds(t, func(t *testing.T, kind string) {
		dir := t.TempDir()
		secret := file(t, dir, "secret", []byte("wrong\n"))
		r := newRig(t, kind, nil)
		r.put("a", reconcile.Serving)
		var a discovery.Access
		switch s := r.server.(type) {
		case *standetcd.Member:
			s.Users(map[string]string{"elm": "right"})
			a = discovery.Access{User: "elm", PasswordFile: secret}
		case *standconsul.Server:
			s.Bearer("right")
			a = discovery.Access{Method: "jwt", BearerFile: secret}
		}
		r.begin(r.plan(), a)
		if n := r.note("registry fails"); !strings.Contains(n.Reason, "password: ") {
			t.Errorf("the line says %q", n.Reason)
		}
		file(t, dir, "secret", []byte("right\n"))
		r.until(map[string]string{"a": "SERVING"})
		r.note("available again")
		r.server.Expire()
		r.link.CutAll()
		r.put("a", reconcile.Draining)
		r.until(map[string]string{"a": "DRAINING"})
		for len(r.notes) > 0 {
			if n := <-r.notes; strings.Contains(n.Reason, "token") {
				t.Errorf("the renewal left %+v", n)
			}
		}
	})
}

func TestCase8Token(t *testing.T) {
	r := newRig(t, "consul", nil)
	s := serverOf[*standconsul.Server](r)
	s.Tokens("t-2")
	r.put("a", reconcile.Serving)
	dir := t.TempDir()
	path := file(t, dir, "token", []byte("t-1"))
	r.begin(r.plan(), discovery.Access{TokenFile: path})
	if n := r.note(
		"registry fails",
	); !strings.Contains(n.Reason, "token: ") ||
		!strings.Contains(n.Reason, "ACL not found") {
		t.Errorf("the line says %q", n.Reason)
	}
	file(t, dir, "token", []byte("t-2"))
	r.until(map[string]string{"a": "SERVING"})
}

// A certificate that either side refuses leaves one line that says so; with the right files it works.
func TestCase8Certificate(t *testing.T) {
	kinds(t, func(t *testing.T, kind string) {
		dir := t.TempDir()
		ours, theirs := newAuthority(t), newAuthority(t)
		cert, key := ours.issue(t, dir, "server")
		conf, err := discovery.Files{Cert: cert, Key: key}.Load("")
		if err != nil {
			t.Fatal(err)
		}
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(ours.pem)
		conf.ClientAuth, conf.ClientCAs = tls.RequireAndVerifyClientCert, pool
		mine, myKey := ours.issue(t, dir, "client")
		alien, alienKey := theirs.issue(t, dir, "alien")
		good := file(t, dir, "ca.pem", ours.pem)
		bad := file(t, dir, "other.pem", theirs.pem)
		for name, files := range map[string]discovery.Files{
			"server refused": {CA: bad, Cert: mine, Key: myKey}, "client refused": {CA: good, Cert: alien, Key: alienKey},
			"no such file": {CA: dir + "/none"},
		} {
			t.Run(name, func(t *testing.T) {
				r := newRig(t, kind, conf.Clone())
				r.put("a", reconcile.Serving)
				r.begin(r.plan(), discovery.Access{TLS: &files})
				if n := r.note("registry fails"); !strings.Contains(n.Reason, "certificate: ") {
					t.Errorf("the line says %q", n.Reason)
				}
			})
		}
		r := newRig(t, kind, conf.Clone())
		r.put("a", reconcile.Serving)
		r.begin(r.plan(), discovery.Access{TLS: &discovery.Files{CA: good, Cert: mine, Key: myKey}})
		r.until(map[string]string{"a": "SERVING"})
	})
}

// Keys under a lease go with it, all at one revision.
func TestLease(t *testing.T) {
	r := newRig(t, "etcd", nil)
	m := serverOf[*standetcd.Member](r)
	r.put("stays", reconcile.Serving)
	grant(t, m, 9, prefix+"/x", prefix+"/y")
	r.begin(r.plan(), discovery.Access{})
	r.until(map[string]string{"stays": "SERVING", "x": "SERVING", "y": "SERVING"})
	m.EndLease(9)
	r.until(map[string]string{"stays": "SERVING"})
}

// No leader is an outage like any other; Reload asks for the whole list and tells nothing that is known.
func TestNoLeaderAndReload(t *testing.T) {
	r := newRig(t, "consul", nil)
	s := serverOf[*standconsul.Server](r)
	r.put("a", reconcile.Serving)
	s.Leaderless(true)
	r.begin(r.plan(), discovery.Access{})
	if n := r.note("registry fails"); !strings.Contains(n.Reason, "lost: status 500") {
		t.Errorf("the line says %q", n.Reason)
	}
	s.Leaderless(false)
	r.until(map[string]string{"a": "SERVING"})
	before, _, _ := s.Asked()
	r.f.Reload()
	for n := before; n == before; n, _, _ = s.Asked() {
		r.put("b", reconcile.Serving) // each change is told once
		r.put("b", reconcile.Draining)
		r.until(map[string]string{"a": "SERVING", "b": "DRAINING"})
	}
}
