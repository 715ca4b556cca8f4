// Package consul reads the list of backends from Consul's key-value store over its HTTP API and reports the results as
// events to a reconcile.Reconciler. The API reports neither deletions nor individual changes, only an index. A small
// blocking query waits for that index, and the reconciler requests the whole list when the index changes.
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
	maxResponseBytes   = 128 << 20
	maxErrorTextBytes  = 200
	dialTimeout        = 1500 * time.Millisecond
	blockingQueryWait  = time.Second
	blockingQueryGrace = 800 * time.Millisecond // Consul adds up to 1/16 of the wait as jitter
)

// Source reads the backends from one Consul cluster. Use New.
type Source struct {
	endpoints   []string
	prefix      string
	access      discovery.Access
	readTimeout time.Duration

	mu             sync.Mutex
	client         *fasthttp.HostClient
	clientCtx      context.Context // ends the calls of client
	clientEndpoint int             // index in endpoints
	answered       bool            // client has received a response
	token          string
}

// New creates a Source for the keys under prefix. Each endpoint has the form HOST:PORT. readTimeout limits a read of
// the whole list.
func New(endpoints []string, prefix string, access discovery.Access, readTimeout time.Duration) *Source {
	return &Source{endpoints: endpoints, prefix: prefix, access: access, readTimeout: readTimeout}
}

// Disconnect closes the idle connections; the next order dials again.
func (s *Source) Disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnect()
}

func (s *Source) disconnect() {
	if s.client != nil {
		s.client.CloseIdleConnections()
	}
	s.client = nil
}

// Close closes the idle connections. Calls in progress end with their contexts.
func (s *Source) Close() { s.Disconnect() }

// connect returns the client for an endpoint. It makes a new client if the endpoint has changed or the context of the
// current client has ended.
func (s *Source) connect(ctx context.Context, endpoint int) (*fasthttp.HostClient, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client != nil && s.clientEndpoint == endpoint && s.clientCtx.Err() == nil {
		return s.client, nil
	}
	s.disconnect()
	addr := s.endpoints[endpoint]
	c := &fasthttp.HostClient{
		Addr: addr, MaxConns: 4, MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true,
		Dial:                     discovery.NewConnections(ctx, dialTimeout).Dial,
	}
	if files := s.access.TLS; files != nil {
		host, _, _ := net.SplitHostPort(addr)
		tlsConfig, err := files.Load(host)
		if err != nil {
			return nil, &failure{reconcile.CertificateRejected, err.Error()}
		}
		c.IsTLS, c.TLSConfig = true, tlsConfig
	}
	s.client, s.clientCtx, s.clientEndpoint, s.answered = c, ctx, endpoint, false
	return c, nil
}

// failure is an error with a known reason.
type failure struct {
	reason reconcile.FailureReason
	text   string
}

func (f *failure) Error() string { return f.text }

// failureReason classifies an error of a call.
func failureReason(err error) reconcile.FailureReason {
	var f *failure
	var netErr net.Error
	switch {
	case errors.As(err, &f):
		return f.reason
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrTLSHandshakeTimeout),
		errors.As(err, &netErr) && netErr.Timeout():
		return reconcile.TimedOut
	case discovery.IsCertificateError(err):
		return reconcile.CertificateRejected
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return reconcile.InvalidResponse
	}
	var recordErr tls.RecordHeaderError
	if errors.As(err, &recordErr) {
		return reconcile.CertificateRejected
	}
	return reconcile.ConnectionLost
}

// statusError classifies an error response by its status code and body.
func statusError(code int, body []byte) error {
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorTextBytes)]))
	f := &failure{reconcile.InvalidResponse, fmt.Sprintf("status %d: %s", code, text)}
	switch {
	case code == fasthttp.StatusForbidden && strings.Contains(text, "ACL not found"), code == fasthttp.StatusUnauthorized:
		f.reason = reconcile.InvalidToken
	case code == fasthttp.StatusForbidden && strings.Contains(text, "auth method"):
		f.reason = reconcile.BadCredentials
	case code == fasthttp.StatusForbidden:
		f.reason = reconcile.Forbidden
	case code >= 500, code == fasthttp.StatusTooManyRequests:
		f.reason = reconcile.ConnectionLost // the cluster has no leader or is overloaded
	}
	return f
}

// currentToken returns the cached token. Without one, it reads the token file or logs in. Without access settings, it
// returns an empty token.
func (s *Source) currentToken(c *fasthttp.HostClient) (string, error) {
	s.mu.Lock()
	token := s.token
	s.mu.Unlock()
	if token != "" || s.access.TokenFile == "" && s.access.Method == "" {
		return token, nil
	}
	var err error
	if s.access.TokenFile != "" {
		if token, err = discovery.ReadSecret(s.access.TokenFile); err != nil {
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

// login exchanges the bearer token for a Consul token.
func (s *Source) login(c *fasthttp.HostClient) (string, error) {
	bearer, err := discovery.ReadSecret(s.access.BearerFile)
	if err != nil {
		return "", &failure{reconcile.BadCredentials, err.Error()}
	}
	body, _ := json.Marshal(map[string]string{"AuthMethod": s.access.Method, "BearerToken": bearer})
	var resp struct{ SecretID string }
	_, err = s.send(c, "POST", "/v1/acl/login", "", body, s.readTimeout, &resp)
	var f *failure
	switch {
	case errors.As(err, &f) && f.reason >= reconcile.BadCredentials:
		return "", &failure{reconcile.BadCredentials, "login failed: " + f.text}
	case err != nil:
		return "", err
	case resp.SecretID == "":
		return "", &failure{reconcile.InvalidResponse, "login response contains no token"}
	}
	return resp.SecretID, nil
}

// send makes a call, decodes the response into the given value and returns Consul's index. After a 404 response, it
// leaves the value unchanged.
func (s *Source) send(c *fasthttp.HostClient, method, path, token string, body []byte, timeout time.Duration,
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
	if err := c.DoTimeout(req, resp, timeout); err != nil {
		return 0, s.explainRefusal(c, err)
	}
	s.mu.Lock()
	s.answered = true
	s.mu.Unlock()
	code := resp.StatusCode()
	if code != fasthttp.StatusOK && code != fasthttp.StatusNotFound {
		return 0, statusError(code, resp.Body())
	}
	if string(resp.Header.Peek("X-Consul-Results-Filtered-By-ACLs")) == "true" {
		return 0, &failure{reconcile.Forbidden, "the token has no access to part of the list"}
	}
	if text := resp.Header.Peek("X-Consul-Index"); len(text) > 0 {
		if index, err = strconv.ParseInt(string(text), 10, 64); err != nil || index < 0 {
			return 0, &failure{reconcile.InvalidResponse, fmt.Sprintf("invalid X-Consul-Index %.40q", text)}
		}
	}
	if code == fasthttp.StatusNotFound {
		return index, nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return 0, &failure{reconcile.InvalidResponse, "invalid JSON in the response: " + err.Error()}
	}
	return index, nil
}

// explainRefusal reports a connection that ends after the TLS handshake and before any response as a rejected client
// certificate. The server's TLS alert is often lost because the connection reset arrives first.
func (s *Source) explainRefusal(c *fasthttp.HostClient, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var opErr *net.OpError
	disconnected := errors.Is(err, fasthttp.ErrConnectionClosed) || errors.As(err, &opErr) && opErr.Op != "dial"
	if c.IsTLS && !s.answered && disconnected {
		return &failure{
			reconcile.CertificateRejected,
			"connection closed after the TLS handshake; the server probably rejected the client certificate: " + err.Error(),
		}
	}
	return err
}

// get makes a GET call with a token. If Consul rejects the token, get renews it and retries once.
func (s *Source) get(ctx context.Context, endpoint int, path string, timeout time.Duration,
	into any) (index int64, err error) {
	c, err := s.connect(ctx, endpoint)
	if err != nil {
		return 0, err
	}
	for retried := false; ; retried = true {
		token, err := s.currentToken(c)
		if err == nil {
			index, err = s.send(c, "GET", path, token, nil, timeout, into)
		}
		if err == nil || failureReason(err) != reconcile.InvalidToken || retried {
			return index, err
		}
		s.mu.Lock()
		s.token = ""
		s.mu.Unlock()
	}
}

// Do carries out an order; see watch.Source. The end of ctx ends the calls of every order with that context.
func (s *Source) Do(ctx context.Context, o reconcile.Order, report func(reconcile.Event)) {
	events := make(chan reconcile.Event, 1)
	await := func(f func() reconcile.Event) (e reconcile.Event, ok bool) {
		go func() { events <- f() }()
		select {
		case e = <-events:
			return e, true
		case <-ctx.Done():
			return nil, false
		}
	}
	switch o := o.(type) {
	case reconcile.ReadPage:
		if e, ok := await(func() reconcile.Event { return s.read(ctx, o) }); ok {
			report(e)
		}
	case reconcile.Watch:
		for block := !o.Immediate; ; block = true {
			e, ok := await(func() reconcile.Event { return s.watch(ctx, o, block) })
			if !ok {
				return
			}
			report(e)
			if p, ok := e.(reconcile.Progress); !ok || p.Revision != o.AfterRevision {
				return // the reconciler issues the next order
			}
		}
	}
}

// watch queries the index of the prefix, and waits for a new index if block is set. The query names the prefix without
// its slash and sets a separator, so that Consul folds all keys below it into one entry.
func (s *Source) watch(ctx context.Context, o reconcile.Watch, block bool) reconcile.Event {
	path := fmt.Sprintf("/v1/kv/%s?keys&separator=%%2F", escape(s.prefix))
	if block { // Consul blocks only on an index of at least 1
		path += fmt.Sprintf("&index=%d&wait=%dms", max(o.AfterRevision, 1), blockingQueryWait.Milliseconds())
	}
	var keys []string
	index, err := s.get(ctx, o.Endpoint, path, blockingQueryWait+blockingQueryGrace, &keys)
	if err != nil {
		return reconcile.AttemptFailed{Attempt: o.Attempt, Reason: failureReason(err), Err: err}
	}
	return reconcile.Progress{Attempt: o.Attempt, Revision: index}
}

// read reads the whole list. It queries the same prefix as watch, so that both return the same index, and drops keys
// that only share the prefix as text.
func (s *Source) read(ctx context.Context, o reconcile.ReadPage) reconcile.Event {
	var pairs []struct {
		Key         string
		Value       []byte
		ModifyIndex int64
	}
	index, err := s.get(ctx, o.Endpoint, "/v1/kv/"+escape(s.prefix)+"?recurse&consistent", s.readTimeout, &pairs)
	if err != nil {
		return reconcile.AttemptFailed{Attempt: o.Attempt, Reason: failureReason(err), Err: err}
	}
	p := reconcile.Page{Attempt: o.Attempt, Revision: index}
	for _, kv := range pairs {
		if strings.HasPrefix(kv.Key, s.prefix+"/") && kv.Key != s.prefix+"/" { // a folder has a key of its own
			p.Entries = append(p.Entries, reconcile.KeyValue{Key: kv.Key, Value: kv.Value, ModRevision: kv.ModifyIndex})
		}
	}
	return p
}

func escape(prefix string) string {
	return (&url.URL{Path: prefix}).EscapedPath()
}
