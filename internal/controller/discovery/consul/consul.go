// Package consul asks Consul's key-value store by its published HTTP API, with reads that block. What it hears
// it hands to a reconcile.Reconciler, which decides. The API tells no deletions and no changes, only an index: a small
// read blocks on that, and the Roster asks for the whole list when it has moved.
package consul

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"elmfold/internal/controller/discovery"
	"elmfold/internal/controller/reconcile"
)

const (
	mostAnswer  = 128 << 20 // bytes
	dialTimeout = 1500 * time.Millisecond
	wait        = time.Second            // that a read blocks: silence is noticed after that
	grace       = 800 * time.Millisecond // more: Consul adds a sixteenth by chance
)

// Source asks a cluster. Use New.
type Source struct {
	endpoints []string
	prefix    string
	access    discovery.Access
	answer    time.Duration

	mu       sync.Mutex
	client   *fasthttp.HostClient
	ctx      context.Context // of the orders that client is for: once it ends so do its calls
	at       int             // endpoint of client
	answered bool            // it has answered
	token    string
}

// New makes a Source of the keys under a prefix; endpoints are HOST:PORT. answer is what a read of the whole
// list may take.
func New(endpoints []string, prefix string, access discovery.Access, answer time.Duration) *Source {
	return &Source{endpoints: endpoints, prefix: prefix, access: access, answer: answer}
}

// Leave drops the connections.
func (s *Source) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave()
}

func (s *Source) leave() {
	if s.client != nil {
		s.client.CloseIdleConnections()
	}
	s.client = nil
}

// Close drops them; calls under way end with their contexts.
func (s *Source) Close() { s.Leave() }

func (s *Source) dial(ctx context.Context, endpoint int) (*fasthttp.HostClient, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client != nil && s.at == endpoint && s.ctx.Err() == nil {
		return s.client, nil
	}
	s.leave()
	addr := s.endpoints[endpoint]
	c := &fasthttp.HostClient{Addr: addr, MaxConns: 4, MaxResponseBodySize: mostAnswer, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true,
		Dial:                     discovery.NewConnections(ctx, dialTimeout).Dial}
	if f := s.access.TLS; f != nil {
		host, _, _ := net.SplitHostPort(addr)
		conf, err := f.Load(host)
		if err != nil {
			return nil, &failure{reconcile.CertificateRejected, err.Error()}
		}
		c.IsTLS, c.TLSConfig = true, conf
	}
	s.client, s.ctx, s.at, s.answered = c, ctx, endpoint, false
	return c, nil
}

// failure is an error whose kind is known.
type failure struct {
	why  reconcile.FailureReason
	text string
}

func (f *failure) Error() string { return f.text }

func why(err error) reconcile.FailureReason {
	var f *failure
	var late net.Error
	switch {
	case errors.As(err, &f):
		return f.why
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrTLSHandshakeTimeout),
		errors.As(err, &late) && late.Timeout():
		return reconcile.TimedOut
	case discovery.Refuses(err):
		return reconcile.CertificateRejected
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return reconcile.InvalidResponse
	}
	var record tls.RecordHeaderError
	if errors.As(err, &record) {
		return reconcile.CertificateRejected
	}
	return reconcile.ConnectionLost
}

// refused tells what a status with its text means.
func refused(code int, body []byte) error {
	text := strings.TrimSpace(string(body[:min(len(body), 200)]))
	f := &failure{reconcile.InvalidResponse, fmt.Sprintf("status %d: %s", code, text)}
	switch {
	case code == fasthttp.StatusForbidden && strings.Contains(text, "ACL not found"), code == fasthttp.StatusUnauthorized:
		f.why = reconcile.InvalidToken
	case code == fasthttp.StatusForbidden && strings.Contains(text, "auth method"):
		f.why = reconcile.BadCredentials
	case code == fasthttp.StatusForbidden:
		f.why = reconcile.Forbidden
	case code >= 500, code == fasthttp.StatusTooManyRequests:
		f.why = reconcile.ConnectionLost // no leader, or too busy
	}
	return f
}

// secret gives the token, one that it logs in for where there is none.
func (s *Source) secret(c *fasthttp.HostClient) (string, error) {
	s.mu.Lock()
	token := s.token
	s.mu.Unlock()
	if token != "" || s.access.TokenFile == "" && s.access.Method == "" {
		return token, nil
	}
	var err error
	if s.access.TokenFile != "" {
		if token, err = discovery.Secret(s.access.TokenFile); err != nil {
			return "", &failure{reconcile.InvalidToken, err.Error()}
		}
	} else if token, err = s.login(c); err != nil {
		return "", err
	}
	s.mu.Lock()
	s.token = token
	s.mu.Unlock()
	return token, nil
}

// login changes a bearer for a token.
func (s *Source) login(c *fasthttp.HostClient) (string, error) {
	bearer, err := discovery.Secret(s.access.BearerFile)
	if err != nil {
		return "", &failure{reconcile.BadCredentials, err.Error()}
	}
	body, _ := json.Marshal(map[string]string{"AuthMethod": s.access.Method, "BearerToken": bearer})
	var said struct{ SecretID string }
	_, err = s.send(c, "POST", "/v1/acl/login", "", body, s.answer, &said)
	var f *failure
	switch {
	case errors.As(err, &f) && f.why >= reconcile.BadCredentials:
		return "", &failure{reconcile.BadCredentials, "the log-in: " + f.text}
	case err != nil:
		return "", err
	case said.SecretID == "":
		return "", &failure{reconcile.InvalidResponse, "the log-in gave no token"}
	}
	return said.SecretID, nil
}

// send makes a call and reads its answer; none is there where the status is 404.
func (s *Source) send(c *fasthttp.HostClient, method, path, token string, body []byte, within time.Duration,
	into any) (index int64, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	scheme := "http://"
	if c.IsTLS {
		scheme = "https://"
	}
	req.SetRequestURI(scheme + c.Addr + path)
	req.Header.SetMethod(method)
	if token != "" {
		req.Header.Set("X-Consul-Token", token)
	}
	req.SetBody(body)
	if err := c.DoTimeout(req, resp, within); err != nil {
		return 0, s.explainRefusal(c, err)
	}
	s.mu.Lock()
	s.answered = true
	s.mu.Unlock()
	code := resp.StatusCode()
	if code != fasthttp.StatusOK && code != fasthttp.StatusNotFound {
		return 0, refused(code, resp.Body())
	}
	if string(resp.Header.Peek("X-Consul-Results-Filtered-By-ACLs")) == "true" {
		return 0, &failure{reconcile.Forbidden, "the token may not see all of the list"}
	}
	if text := resp.Header.Peek("X-Consul-Index"); len(text) > 0 {
		if index, err = strconv.ParseInt(string(text), 10, 64); err != nil || index < 0 {
			return 0, &failure{reconcile.InvalidResponse, fmt.Sprintf("X-Consul-Index %.40q", text)}
		}
	}
	if code == fasthttp.StatusNotFound {
		return index, nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return 0, &failure{reconcile.InvalidResponse, "an answer that is not readable: " + err.Error()}
	}
	return index, nil
}

// explainRefusal tells a connection that ends right after the TLS handshake, before any answer, from one that broke: a
// server that refuses our certificate says so then, in a message that the reset often overtakes.
func (s *Source) explainRefusal(c *fasthttp.HostClient, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var op *net.OpError
	early := errors.Is(err, fasthttp.ErrConnectionClosed) || errors.As(err, &op) && op.Op != "dial"
	if c.IsTLS && !s.answered && early {
		return &failure{
			reconcile.CertificateRejected,
			"closed after the handshake, as by one that refuses our certificate: " + err.Error(),
		}
	}
	return err
}

// get makes a call with a token; one that has expired is renewed, once.
func (s *Source) get(ctx context.Context, endpoint int, path string, within time.Duration,
	into any) (index int64, err error) {
	c, err := s.dial(ctx, endpoint)
	if err != nil {
		return 0, err
	}
	for again := false; ; again = true {
		token, err := s.secret(c)
		if err == nil {
			index, err = s.send(c, "GET", path, token, nil, within, into)
		}
		if err == nil || why(err) != reconcile.InvalidToken || again {
			return index, err
		}
		s.mu.Lock()
		s.token = ""
		s.mu.Unlock()
	}
}

// Do carries out an order; see watch.Source. When ctx ends, the calls of all orders of that context end.
func (s *Source) Do(ctx context.Context, o reconcile.Order, say func(reconcile.Event)) {
	answer := make(chan reconcile.Event, 1)
	wait := func(f func() reconcile.Event) (e reconcile.Event, ok bool) {
		go func() { answer <- f() }()
		select {
		case e = <-answer:
			return e, true
		case <-ctx.Done():
			return nil, false
		}
	}
	switch o := o.(type) {
	case reconcile.ReadPage:
		if e, ok := wait(func() reconcile.Event { return s.read(ctx, o) }); ok {
			say(e)
		}
	case reconcile.Watch:
		for block := !o.Immediate; ; block = true {
			e, ok := wait(func() reconcile.Event { return s.watch(ctx, o, block) })
			if !ok {
				return
			}
			say(e)
			if p, ok := e.(reconcile.Progress); !ok || p.Revision != o.AfterRevision {
				return // the Roster goes on from here
			}
		}
	}
}

// The prefix is asked for without its slash and with a separator, which folds all that is below into one
// entry; the index is that of all.
func (s *Source) watch(ctx context.Context, o reconcile.Watch, block bool) reconcile.Event {
	path := fmt.Sprintf("/v1/kv/%s?keys&separator=%%2F", escape(s.prefix))
	if block { // an index of 0 would not, and below 1 none is valid
		path += fmt.Sprintf("&index=%d&wait=%dms", max(o.AfterRevision, 1), wait.Milliseconds())
	}
	var keys []string
	index, err := s.get(ctx, o.Endpoint, path, wait+grace, &keys)
	if err != nil {
		return reconcile.AttemptFailed{Attempt: o.Attempt, Reason: why(err), Err: err}
	}
	return reconcile.Progress{Attempt: o.Attempt, Revision: index}
}

// read reads the whole list of the same prefix, so that both have the same index, and leaves out what merely
// begins alike.
func (s *Source) read(ctx context.Context, o reconcile.ReadPage) reconcile.Event {
	var pairs []struct {
		Key         string
		Value       []byte
		ModifyIndex int64
	}
	index, err := s.get(ctx, o.Endpoint, "/v1/kv/"+escape(s.prefix)+"?recurse&consistent", s.answer, &pairs)
	if err != nil {
		return reconcile.AttemptFailed{Attempt: o.Attempt, Reason: why(err), Err: err}
	}
	p := reconcile.Page{Attempt: o.Attempt, Revision: index}
	for _, kv := range pairs {
		if strings.HasPrefix(kv.Key, s.prefix+"/") && kv.Key != s.prefix+"/" { // folders have keys of their own
			p.Entries = append(p.Entries, reconcile.KeyValue{Key: kv.Key, Value: kv.Value, ModRevision: kv.ModifyIndex})
		}
	}
	return p
}

func escape(prefix string) string {
	return (&url.URL{Path: prefix}).EscapedPath()
}
