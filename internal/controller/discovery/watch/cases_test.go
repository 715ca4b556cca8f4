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
	fakeconsul "elmfold/internal/fakes/consul"
	fakeetcd "elmfold/internal/fakes/etcd"
	"elmfold/internal/fakes/kv"
	"elmfold/internal/fakes/link"
)

// fasthttp stops the ignored goroutines on its own within 10 s.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const (
	prefix      = "elm/b"
	waitTimeout = 30 * time.Second
)

// serverOf returns the fake server of the environment as its concrete type.
func serverOf[T any](r *testEnv) T {
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

// server is a fake registry of either kind.
type server interface {
	Addr() string
	Stop()
	SetUnresponsive(bool)
	Expire()
}

// testEnv holds a fake registry, a network link to it and a Follower, and collects what the Follower reports.
type testEnv struct {
	*testing.T
	kind                string
	store               *kv.Store
	server              server
	link                *link.Link
	follower            *watch.Follower
	published           chan reconcile.PublishList
	logEntries          chan reconcile.LogEntry
	members             map[string]reconcile.Member
	revision            int64
	revisionMayDecrease bool
}

// forEachKind runs a test against both kinds of registry.
func forEachKind(t *testing.T, f func(t *testing.T, kind string)) {
	for _, kind := range []string{"etcd", "consul"} {
		t.Run(kind, func(t *testing.T) { f(t, kind) })
	}
}

func newTestEnv(t *testing.T, kind string, conf *tls.Config) *testEnv {
	t.Helper()
	r := &testEnv{T: t, kind: kind, store: kv.New(7), members: map[string]reconcile.Member{}}
	var err error
	if kind == "etcd" {
		r.server, err = fakeetcd.Start(r.store, conf)
	} else {
		r.server, err = fakeconsul.Start(r.store, conf)
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

// config returns a configuration with short backoffs.
func (r *testEnv) config() reconcile.Config {
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

func (r *testEnv) source(endpoints []string, a discovery.Access) watch.Source {
	if r.kind == "etcd" {
		return etcd.New(endpoints, prefix, a)
	}
	return consul.New(endpoints, prefix, a, 2*time.Second)
}

func (r *testEnv) start(p reconcile.Config, a discovery.Access) {
	r.published, r.logEntries = make(chan reconcile.PublishList, 10000), make(chan reconcile.LogEntry, 10000)
	log := logrus.New()
	log.SetOutput(io.Discard)
	endpoints := []string{r.link.Addr()}
	r.follower = watch.New(p, r.source(endpoints, a), endpoints, func(any) {}, logrus.NewEntry(log))
	r.follower.SetObserver(func(o reconcile.Order) {
		switch o := o.(type) {
		case reconcile.PublishList:
			r.published <- o
		case reconcile.LogEntry:
			r.logEntries <- o
		}
	})
	go r.follower.Run()
	r.Cleanup(r.follower.Stop)
}

// apply applies a published list. It checks that each member is a change and that the revision does not decrease.
func (r *testEnv) apply(o reconcile.PublishList) {
	r.Helper()
	if o.Complete {
		clear(r.members)
	}
	if o.Revision < r.revision && !o.Complete && !r.revisionMayDecrease {
		r.Errorf("revision %d was published after %d", o.Revision, r.revision)
	}
	r.revision = o.Revision
	for _, m := range o.Members {
		previous, known := r.members[m.ID]
		if deleted := m.Phase == reconcile.Deleted; deleted && !known || !deleted && known && previous == m {
			r.Errorf("%+v was published twice", m)
		}
		if r.members[m.ID] = m; m.Phase == reconcile.Deleted {
			delete(r.members, m.ID)
		}
	}
}

// waitForMembers applies published lists until the phases of all members are as wanted.
func (r *testEnv) waitForMembers(want map[string]string) {
	r.Helper()
	timeout := time.After(waitTimeout)
	for !r.hasMembers(want) {
		select {
		case o := <-r.published:
			r.apply(o)
		case <-timeout:
			r.Fatalf("timed out: members are %+v, want %v", r.members, want)
		}
	}
}

func (r *testEnv) hasMembers(want map[string]string) bool {
	for id, phase := range want {
		if r.members[id].Phase != phase {
			return false
		}
	}
	return len(r.members) == len(want)
}

// waitForLogEntry waits for a log entry that contains the text.
func (r *testEnv) waitForLogEntry(text string) reconcile.LogEntry {
	r.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case n := <-r.logEntries:
			if strings.Contains(n.Text+" "+n.Reason, text) {
				return n
			}
		case <-timeout:
			r.Fatalf("timed out waiting for a log entry with %q", text)
		}
	}
}

func (r *testEnv) put(id, phase string) { r.store.Put(prefix+"/"+id, value(phase)) }

// Guards against lost, repeated or reordered changes when the connection breaks at any byte of a response and data
// arrives in pieces of any size.
func TestConnectionCutAtAnyByte(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		step := int64(11)
		if testing.Short() {
			step = 101
		}
		for at := int64(0); at < 1500; at += step {
			r := newTestEnv(t, kind, nil)
			if m, ok := r.server.(*fakeetcd.Member); ok {
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
			r.start(r.config(), discovery.Access{})
			r.waitForMembers(map[string]string{"a": "SERVING", "b": "SERVING", "c": "SERVING", "d": "SERVING"})
			r.put("a", reconcile.Draining)
			r.store.Txn(
				kv.Change{Key: prefix + "/b", Gone: true},
				kv.Change{Key: prefix + "/c", Value: []byte(value(reconcile.Draining))},
				kv.Change{Key: prefix + "/e", Value: []byte(value(reconcile.Serving))},
			)
			r.put("d", reconcile.Draining)
			r.waitForMembers(map[string]string{"a": "DRAINING", "c": "DRAINING", "d": "DRAINING", "e": "SERVING"})
			r.follower.Stop()
			r.link.Close()
			r.server.Stop()
			if t.Failed() {
				t.Fatalf("cut at byte %d", at)
			}
		}
	})
}

// Guards against lost or repeated changes when three of four connections break at a random byte and writes are delayed
// and split.
func TestRandomConnectionCuts(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		for seed := range uint64(12) {
			r := newTestEnv(t, kind, nil)
			r.link.Become(func(n int) link.Script {
				s := link.Drawn(seed, n, 1200, link.Break)
				if s.Delay = 100 * time.Microsecond; n%4 == 3 {
					s.Down.After = -1
				}
				return s
			})
			r.start(r.config(), discovery.Access{})
			want := map[string]string{}
			for i := range 30 {
				id, phase := fmt.Sprint("s-", i%7), []string{reconcile.Serving, reconcile.Draining}[i/7%2]
				r.put(id, phase)
				want[id] = phase
				if i%5 == 0 {
					r.waitForMembers(want)
				}
			}
			r.waitForMembers(want)
			r.follower.Stop()
		}
	})
}

// Guards against missing a registry that stops responding while its TCP connection stays open, and against publishing
// duplicate events twice.
func TestUnresponsiveRegistry(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		for _, at := range []int64{0, 9, 150, 400, 700, 1100} {
			r := newTestEnv(t, kind, nil)
			if m, ok := r.server.(*fakeetcd.Member); ok {
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
			p := r.config()
			p.ProgressInterval, p.ResponseTimeout = 50*time.Millisecond, 300*time.Millisecond
			if kind == "etcd" {
				p.WatchTimeout = 200 * time.Millisecond
			}
			r.start(p, discovery.Access{})
			r.waitForMembers(map[string]string{"a": "SERVING"})
			r.put("a", reconcile.Draining)
			r.put("b", reconcile.Serving)
			r.waitForMembers(map[string]string{"a": "DRAINING", "b": "SERVING"})
			r.server.SetUnresponsive(true)
			r.waitForLogEntry("silent")
			r.store.Delete(prefix + "/b")
			r.server.SetUnresponsive(false)
			r.waitForMembers(map[string]string{"a": "DRAINING"})
			r.follower.Stop()
		}
	})
}

// Guards against missed or superfluous updates when the known revision is compacted during an outage, and again while
// the pages of the whole list are read.
func TestCompactionDuringOutage(t *testing.T) {
	r := newTestEnv(t, "etcd", nil)
	for i := range 20 {
		r.put(fmt.Sprint("s-", i), reconcile.Serving)
	}
	r.start(r.config(), discovery.Access{})
	want := map[string]string{}
	for i := range 20 {
		want[fmt.Sprint("s-", i)] = reconcile.Serving
	}
	r.waitForMembers(want)
	r.link.Refuse(true)
	r.link.CutAll()
	r.waitForLogEntry("registry fails")
	r.put("s-3", reconcile.Draining)
	r.store.Delete(prefix + "/s-4")
	r.put("s-5", reconcile.Serving) // unchanged
	r.store.Compact(0)
	compactions := 0
	serverOf[*fakeetcd.Member](r).Pages(func(int) {
		if compactions < 4 { // compact the revision of each page that is read
			compactions++
			r.put("s-6", reconcile.Serving)
			r.store.Compact(0)
		}
	})
	r.link.Refuse(false)
	want["s-3"] = reconcile.Draining
	delete(want, "s-4")
	r.waitForMembers(want)
	r.waitForLogEntry("compaction interrupted the read of the whole list")
	if len(r.published) > 0 {
		t.Errorf("unexpected update: %+v", <-r.published)
	}
}

// Guards against missed changes when the registry cancels a watch whose revision is compacted.
func TestCompactionCancelsWatch(t *testing.T) {
	r := newTestEnv(t, "etcd", nil)
	r.put("a", reconcile.Serving)
	r.start(r.config(), discovery.Access{})
	r.waitForMembers(map[string]string{"a": "SERVING"})
	r.server.SetUnresponsive(true)
	for range 5 {
		r.put("a", reconcile.Draining)
		r.put("a", reconcile.Serving)
	}
	r.put("a", reconcile.Draining)
	r.store.Compact(0)
	r.server.SetUnresponsive(false)
	r.waitForLogEntry("the last known revision is compacted")
	r.waitForMembers(map[string]string{"a": "DRAINING"})
}

// Guards against trusting a registry at once that was restored from a snapshot, with the same cluster ID or another.
// Known drains and removals stay in effect for RestoredListHold; later changes take effect at once.
func TestRegistryRestoredFromSnapshot(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		for _, id := range []uint64{7, 8} {
			r := newTestEnv(t, kind, nil)
			r.put("a", reconcile.Serving)
			r.put("b", reconcile.Serving)
			r.put("c", reconcile.Serving)
			snapshot := r.store.Save()
			p := r.config()
			p.RestoredListHold = 400 * time.Millisecond
			r.start(p, discovery.Access{})
			r.waitForMembers(map[string]string{"a": "SERVING", "b": "SERVING", "c": "SERVING"})
			r.put("a", reconcile.Draining)
			r.put("c", reconcile.Draining)
			r.store.Delete(prefix + "/b")
			r.put("d", reconcile.Serving)
			r.waitForMembers(map[string]string{"a": "DRAINING", "c": "DRAINING", "d": "SERVING"})
			r.revisionMayDecrease = true
			r.store.Restore(snapshot, id)
			r.waitForLogEntry("of another history")
			r.waitForMembers(map[string]string{"a": "DRAINING", "c": "DRAINING"})
			r.put("c", reconcile.Serving) // a change after the restore takes effect at once
			r.waitForMembers(map[string]string{"a": "DRAINING", "c": "SERVING"})
			r.waitForLogEntry("stopped holding drains and removals")
			r.waitForMembers(map[string]string{"a": "SERVING", "b": "SERVING", "c": "SERVING"})
			r.follower.Stop()
		}
	})
}

// Guards against treating a lower Consul index as another history: Consul lowers it when it purges old deletions.
func TestConsulIndexDecreases(t *testing.T) {
	r := newTestEnv(t, "consul", nil)
	r.put("a", reconcile.Serving)
	r.put("b", reconcile.Serving)
	r.start(r.config(), discovery.Access{})
	r.waitForMembers(map[string]string{"a": "SERVING", "b": "SERVING"})
	r.store.Delete(prefix + "/b")
	r.waitForMembers(map[string]string{"a": "SERVING"})
	serverOf[*fakeconsul.Server](r).Forget(true)
	r.waitForLogEntry("index decreased")
	r.put("a", reconcile.Draining)
	r.revisionMayDecrease = true
	r.waitForMembers(map[string]string{"a": "DRAINING"})
	for len(r.logEntries) > 0 {
		if n := <-r.logEntries; strings.Contains(n.Text, "history") {
			t.Errorf("log entry %+v", n)
		}
	}
}

// Guards against an unreported mass removal, and against a list that stays empty when the registry is filled again.
func TestRegistryEmptiedAndRefilled(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		r := newTestEnv(t, kind, nil)
		all := map[string]string{}
		for i := range 10 {
			id := fmt.Sprint("s-", i)
			r.put(id, reconcile.Serving)
			all[id] = reconcile.Serving
		}
		r.start(r.config(), discovery.Access{})
		r.waitForMembers(all)
		var gone []kv.Change
		for id := range all {
			gone = append(gone, kv.Change{Key: prefix + "/" + id, Gone: true})
		}
		r.store.Txn(gone...)
		if n := r.waitForLogEntry("removed at once"); n.Count != 10 {
			t.Errorf("log entry %+v", n)
		}
		r.waitForMembers(map[string]string{})
		for id := range all {
			r.put(id, reconcile.Serving)
		}
		r.waitForMembers(all)
	})
}

// Guards against an invalid value that affects other entries or is not logged, and against missing the last of several
// changes of one key in a response.
func TestInvalidValues(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		r := newTestEnv(t, kind, nil)
		r.put("good", reconcile.Serving)
		r.store.Put(prefix+"/nojson", "{")
		r.store.Put(prefix+"/long", `{"locality":"`+strings.Repeat("x", 70000)+`"}`)
		r.store.Put(prefix+"/alias", `{"id":"good","locality":"a","phase":"SERVING"}`)
		r.store.Put(prefix+"2/other", value(reconcile.Serving)) // shares only the text of the prefix
		if m, ok := r.server.(*fakeetcd.Member); ok {
			m.Outside(true)
			m.Largest(2) // pages of three entries exceed the limit
		}
		r.start(r.config(), discovery.Access{})
		r.waitForMembers(map[string]string{"good": "SERVING"})
		invalidKeys := map[string]bool{}
		for len(invalidKeys) < 3 {
			invalidKeys[r.waitForLogEntry("ignoring an invalid entry").Key] = true
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
		r.waitForMembers(map[string]string{"good": "DRAINING"})
		if kind == "etcd" {
			r.waitForLogEntry("outside the prefix")
		}
	})
}

// authority is a test certificate authority.
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

// issue writes a certificate and its key to files and returns their paths.
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
	return writeFile(t, dir, name+".pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		writeFile(t, dir, name+".key", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: text}))
}

func writeFile(t *testing.T, dir, name string, text []byte) string {
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against an unclear log entry after wrong credentials, against no recovery when the file is corrected, and
// against logging the renewal of an expired token.
func TestRejectedCredentials(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		dir := t.TempDir()
		secret := writeFile(t, dir, "secret", []byte("wrong\n"))
		r := newTestEnv(t, kind, nil)
		r.put("a", reconcile.Serving)
		var a discovery.Access
		switch s := r.server.(type) {
		case *fakeetcd.Member:
			s.Users(map[string]string{"elm": "right"})
			a = discovery.Access{User: "elm", PasswordFile: secret}
		case *fakeconsul.Server:
			s.Bearer("right")
			a = discovery.Access{Method: "jwt", BearerFile: secret}
		}
		r.start(r.config(), a)
		if n := r.waitForLogEntry("registry fails"); !strings.Contains(n.Reason, "password: ") {
			t.Errorf("the log entry has the reason %q", n.Reason)
		}
		writeFile(t, dir, "secret", []byte("right\n"))
		r.waitForMembers(map[string]string{"a": "SERVING"})
		r.waitForLogEntry("available again")
		r.server.Expire()
		r.link.CutAll()
		r.put("a", reconcile.Draining)
		r.waitForMembers(map[string]string{"a": "DRAINING"})
		for len(r.logEntries) > 0 {
			if n := <-r.logEntries; strings.Contains(n.Reason, "token") {
				t.Errorf("the renewal was logged: %+v", n)
			}
		}
	})
}

// Guards against an unclear log entry after an unknown token, and against no recovery when the file is corrected.
func TestUnknownToken(t *testing.T) {
	r := newTestEnv(t, "consul", nil)
	s := serverOf[*fakeconsul.Server](r)
	s.Tokens("t-2")
	r.put("a", reconcile.Serving)
	dir := t.TempDir()
	path := writeFile(t, dir, "token", []byte("t-1"))
	r.start(r.config(), discovery.Access{TokenFile: path})
	if n := r.waitForLogEntry(
		"registry fails",
	); !strings.Contains(n.Reason, "token: ") ||
		!strings.Contains(n.Reason, "ACL not found") {
		t.Errorf("the log entry has the reason %q", n.Reason)
	}
	writeFile(t, dir, "token", []byte("t-2"))
	r.waitForMembers(map[string]string{"a": "SERVING"})
}

// Guards against an unclear log entry when either side rejects the certificate of the other.
func TestRejectedCertificate(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		dir := t.TempDir()
		trustedCA, untrustedCA := newAuthority(t), newAuthority(t)
		cert, key := trustedCA.issue(t, dir, "server")
		conf, err := discovery.Files{Cert: cert, Key: key}.Load("")
		if err != nil {
			t.Fatal(err)
		}
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(trustedCA.pem)
		conf.ClientAuth, conf.ClientCAs = tls.RequireAndVerifyClientCert, pool
		trustedCert, trustedKey := trustedCA.issue(t, dir, "client")
		untrustedCert, untrustedKey := untrustedCA.issue(t, dir, "untrusted")
		trustedFile := writeFile(t, dir, "ca.pem", trustedCA.pem)
		untrustedFile := writeFile(t, dir, "other.pem", untrustedCA.pem)
		for name, files := range map[string]discovery.Files{
			"server rejected": {CA: untrustedFile, Cert: trustedCert, Key: trustedKey},
			"client rejected": {CA: trustedFile, Cert: untrustedCert, Key: untrustedKey},
			"no such file":    {CA: dir + "/none"},
		} {
			t.Run(name, func(t *testing.T) {
				r := newTestEnv(t, kind, conf.Clone())
				r.put("a", reconcile.Serving)
				r.start(r.config(), discovery.Access{TLS: &files})
				if n := r.waitForLogEntry("registry fails"); !strings.Contains(n.Reason, "certificate: ") {
					t.Errorf("the log entry has the reason %q", n.Reason)
				}
			})
		}
		r := newTestEnv(t, kind, conf.Clone())
		r.put("a", reconcile.Serving)
		r.start(r.config(), discovery.Access{TLS: &discovery.Files{CA: trustedFile, Cert: trustedCert, Key: trustedKey}})
		r.waitForMembers(map[string]string{"a": "SERVING"})
	})
}

// Guards against keeping keys whose lease has expired.
func TestLease(t *testing.T) {
	r := newTestEnv(t, "etcd", nil)
	m := serverOf[*fakeetcd.Member](r)
	r.put("stays", reconcile.Serving)
	putWithLease(t, m, 9, prefix+"/x", prefix+"/y")
	r.start(r.config(), discovery.Access{})
	r.waitForMembers(map[string]string{"stays": "SERVING", "x": "SERVING", "y": "SERVING"})
	m.EndLease(9)
	r.waitForMembers(map[string]string{"stays": "SERVING"})
}

// Guards against no recovery from a cluster without a leader, and against a reload that publishes known entries.
func TestNoLeaderAndReload(t *testing.T) {
	r := newTestEnv(t, "consul", nil)
	s := serverOf[*fakeconsul.Server](r)
	r.put("a", reconcile.Serving)
	s.Leaderless(true)
	r.start(r.config(), discovery.Access{})
	if n := r.waitForLogEntry("registry fails"); !strings.Contains(n.Reason, "lost: status 500") {
		t.Errorf("the log entry has the reason %q", n.Reason)
	}
	s.Leaderless(false)
	r.waitForMembers(map[string]string{"a": "SERVING"})
	before, _, _ := s.Asked()
	r.follower.Reload()
	for n := before; n == before; n, _, _ = s.Asked() {
		r.put("b", reconcile.Serving) // each change is published once
		r.put("b", reconcile.Draining)
		r.waitForMembers(map[string]string{"a": "SERVING", "b": "DRAINING"})
	}
}
