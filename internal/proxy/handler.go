package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/proxy/balancer"
	"elmfold/internal/proxy/upstream"
)

const (
	// maxTimeBudget is the upper limit of a time budget; a client's longer one is ignored.
	maxTimeBudget = 10 * time.Minute
	// Bytes that the request line and each field add to a head beside their names and values.
	requestLineBytes = 20
	fieldBytes       = 4
)

// clientRequest is a request from a client and what the proxy has determined about it.
type clientRequest struct {
	writer    http.ResponseWriter
	request   *http.Request
	conn      *clientConn // nil: the connection was not accepted by this package
	arrivedAt time.Time
	config    *routeconfig.Config // the configuration in use; nil: none is known
	route     *routeconfig.Route
	service   string
	sharded   bool   // the service is sharded
	shardKey  uint16 // if sharded
	target    string // the request-target from the path on
	deadline  time.Time
	body      requestBody
}

// handle forwards a client's request to an endpoint and returns the response.
func (p *Proxy) handle(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(*clientConn)
	q := &clientRequest{writer: w, request: r, conn: conn, arrivedAt: p.options.Clock.Now(), config: p.config.Load()}
	if q.hasDisconnected() { // while a pipelined request was handled before this one
		p.respondError(q, apierror.ClientDisconnected, 0)
		return
	}
	if q.config == nil {
		p.respondError(q, apierror.NotReady, 0)
		return
	}
	if kind := q.parseHead(); kind != apierror.None {
		p.respondError(q, kind, 0)
		return
	}
	q.service = p.splits.service(q.config, q.route)
	if kind := q.parseShardKey(); kind != apierror.None {
		p.respondError(q, kind, 0)
		return
	}
	if kind, retryAfter := p.admit(q); kind != apierror.None {
		p.respondError(q, kind, retryAfter)
		return
	}
	if kind := q.bufferBody(); kind != apierror.None {
		p.respondError(q, kind, 0)
		return
	}
	p.forward(q)
}

func (p *Proxy) admit(q *clientRequest) (kind apierror.Kind, retryAfter time.Duration) {
	p.withBalancer(func(b *balancer.Balancer) {
		if q.sharded {
			b.CountKey(q.service, q.shardKey, rand.Float64())
		}
		kind, retryAfter = b.Admit(p.now(), q.service)
	})
	return kind, retryAfter
}

// parseHead checks the head and sets the target, route and deadline of the request.
func (q *clientRequest) parseHead() apierror.Kind {
	limits := q.config.Limits
	switch {
	case headBytes(q.request) > limits.HeaderBytes:
		return apierror.HeaderTooLarge
	case q.request.ContentLength > limits.BodyBytes:
		return apierror.BodyTooLarge
	}
	q.target = originForm(q.request.RequestURI)
	if !strings.HasPrefix(q.target, "/") || q.request.Header.Get("Upgrade") != "" {
		return apierror.Malformed
	}
	path, _, _ := strings.Cut(q.target, "?")
	q.route = q.config.Route(q.request.Host, path)
	if q.route == nil {
		return apierror.NoRoute
	}
	q.deadline = q.arrivedAt.Add(q.timeout())
	return apierror.None
}

func headBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + requestLineBytes
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + fieldBytes
		}
	}
	return size
}

// originForm returns the request-target from the path on. In absolute form (RFC 9112, section 3.2.2) the path follows
// the authority.
func originForm(target string) string {
	if rest, isAbsolute := strings.CutPrefix(target, "http://"); isAbsolute {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
	}
	return target
}

// timeout returns the route's timeout, or the client's time budget if that is shorter.
func (q *clientRequest) timeout() time.Duration {
	text := q.request.Header.Get(upstream.HeaderTimeBudget)
	ms, err := strconv.ParseFloat(text, 64)
	isBudget := err == nil && ms > 0 && ms < maxTimeBudget.Seconds()*1000 // false for NaN
	if text == "" || !isBudget {
		return q.route.Timeout
	}
	return min(q.route.Timeout, time.Duration(ms*float64(time.Millisecond)))
}
