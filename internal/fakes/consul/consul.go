// Package consul is a stand-in for a Consul server's key-value store, written from the published HTTP API:
// reads that block on an index, keys with a separator, tokens and log-in. It listens on loopback only. Its
// faults are ordered by calls and revisions; a read that blocks for its whole wait is the one thing that takes
// time.
package consul

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"elmfold/internal/fakes/kv"
)

// Server is one server of a cluster.
type Server struct {
	store    *kv.Store
	listener net.Listener
	http     *fasthttp.Server

	mu           sync.Mutex
	tokens       map[string]bool
	acl          bool
	bearer       string
	issued       int
	unresponsive bool
	unsilence    chan struct{}
	leaderles    bool
	forgotten    bool // deletions: the index goes back to the newest key's
	wholes       int
	blocked      int
	bytes        int64
	stop         chan struct{}
}

// Start serves a store; conf may be nil for plain TCP. The index begins above 0 as Consul's does.
func Start(store *kv.Store, conf *tls.Config) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if conf != nil {
		ln = tls.NewListener(ln, conf)
	}
	s := &Server{store: store, listener: ln, tokens: map[string]bool{}, unsilence: make(chan struct{}),
		stop: make(chan struct{})}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: mute{}}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

type mute struct{}

func (mute) Printf(string, ...any) {}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop ends it.
func (s *Server) Stop() {
	s.mu.Lock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	_ = s.http.Shutdown()
}

func (s *Server) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Tokens asks for one of these from now on; Bearer lets a log-in give further ones.
func (s *Server) Tokens(tokens ...string) {
	s.set(func() {
		s.acl = true
		clear(s.tokens)
		for _, t := range tokens {
			s.tokens[t] = true
		}
	})
}

// Bearer is what a log-in must show.
func (s *Server) Bearer(bearer string) { s.set(func() { s.acl, s.bearer = true, bearer }) }

// Expire makes every token unknown.
func (s *Server) Expire() { s.set(func() { clear(s.tokens) }) }

// Leaderless answers as a cluster without a leader does.
func (s *Server) Leaderless(on bool) { s.set(func() { s.leaderles = on }) }

// Forget lets the index go back as it does when old deletions are cleaned up.
func (s *Server) Forget(on bool) { s.set(func() { s.forgotten = on }) }

// SetUnresponsive answers nothing more, with all connections open, until it is called again with false.
func (s *Server) SetUnresponsive(on bool) {
	s.set(func() {
		if s.unresponsive = on; !on {
			close(s.unsilence)
			s.unsilence = make(chan struct{})
		}
	})
}

// Asked is how many whole reads and how many blocking ones came, and the bytes of their answers.
func (s *Server) Asked() (wholes, blocked int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wholes, s.blocked, s.bytes
}

const base = 10 // of the index: other parts of Consul have used it before

func (s *Server) index(prefix string, revision int64) int64 {
	s.mu.Lock()
	forgotten := s.forgotten
	s.mu.Unlock()
	to := prefix + "\xff"
	if forgotten {
		entries, _ := s.store.Range(prefix, to, revision, 0)
		var at int64
		for _, e := range entries {
			at = max(at, e.Mod)
		}
		return at + base
	}
	return s.store.Last(prefix, to, revision) + base
}

type pair struct {
	LockIndex   int64
	Key         string
	Flags       int64
	Value       []byte
	CreateIndex int64
	ModifyIndex int64
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	for {
		s.mu.Lock()
		silent, on := s.unresponsive, s.unsilence
		s.mu.Unlock()
		if !silent {
			break
		}
		select {
		case <-on:
		case <-s.stop:
			return
		}
	}
	path, args := string(ctx.Path()), ctx.QueryArgs()
	token := string(ctx.Request.Header.Peek("X-Consul-Token"))
	s.mu.Lock()
	known, leaderless := !s.acl || s.tokens[token], s.leaderles
	s.mu.Unlock()
	switch {
	case leaderless:
		ctx.Error("No cluster leader", fasthttp.StatusInternalServerError)
		return
	case path == "/v1/acl/login":
		s.login(ctx)
		return
	case !known && token == "":
		ctx.Error("Permission denied: anonymous token lacks permission 'key:read'", fasthttp.StatusForbidden)
		return
	case !known:
		ctx.Error("ACL not found", fasthttp.StatusForbidden)
		return
	}
	prefix, ok := strings.CutPrefix(path, "/v1/kv/")
	if !ok {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsPut() {
		s.store.Put(prefix, string(ctx.PostBody()))
		ctx.SetBodyString("true")
		return
	}
	if ctx.IsDelete() {
		s.store.Delete(prefix)
		ctx.SetBodyString("true")
		return
	}
	after, _ := strconv.ParseInt(string(args.Peek("index")), 10, 64)
	wait, err := time.ParseDuration(string(args.Peek("wait")))
	if err != nil {
		wait = 5 * time.Minute
	}
	if after > 0 {
		s.set(func() { s.blocked++ })
		s.block(prefix, after, wait)
	}
	_, revision, _, _, _ := s.store.State()
	entries, _ := s.store.Range(prefix, prefix+"\xff", revision, 0)
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatInt(s.index(prefix, revision), 10))
	ctx.Response.Header.Set("X-Consul-KnownLeader", "true")
	if len(entries) == 0 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var said any
	if args.Has("keys") {
		said = fold(entries, prefix, string(args.Peek("separator")))
	} else {
		s.set(func() { s.wholes++ })
		pairs := []pair{}
		for _, e := range entries {
			pairs = append(pairs, pair{Key: e.Key, Value: e.Value, CreateIndex: e.Create + base, ModifyIndex: e.Mod + base})
		}
		said = pairs
	}
	body, _ := json.Marshal(said)
	s.set(func() { s.bytes += int64(len(body)) })
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// block waits for an index above one, at most for a span.
func (s *Server) block(prefix string, after int64, wait time.Duration) {
	over := time.NewTimer(wait)
	defer over.Stop()
	_, _, _, began, _ := s.store.State()
	for {
		_, revision, _, epoch, changed := s.store.State()
		if s.index(prefix, revision) > after || epoch != began {
			return
		}
		select {
		case <-changed:
		case <-over.C:
			return
		case <-s.stop:
			return
		}
	}
}

// fold gives the keys up to a separator after the prefix.
func fold(entries []kv.Entry, prefix, separator string) []string {
	keys := []string{}
	for _, e := range entries {
		key := e.Key
		if at := strings.Index(key[len(prefix):], separator); separator != "" && at >= 0 {
			key = key[:len(prefix)+at+len(separator)]
		}
		if n := len(keys); n == 0 || keys[n-1] != key {
			keys = append(keys, key)
		}
	}
	return keys
}

func (s *Server) login(ctx *fasthttp.RequestCtx) {
	var said struct{ AuthMethod, BearerToken string }
	_ = json.Unmarshal(ctx.PostBody(), &said)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bearer == "" || said.BearerToken != s.bearer {
		ctx.Error("Permission denied: auth method refuses the bearer", fasthttp.StatusForbidden)
		return
	}
	s.issued++
	token := fmt.Sprintf("issued-%d", s.issued)
	s.tokens[token] = true
	body, _ := json.Marshal(map[string]string{"SecretID": token})
	ctx.SetBody(body)
}
