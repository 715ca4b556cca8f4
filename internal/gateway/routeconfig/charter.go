// Package routeconfig is the operator's configuration: read from its JSON body, checked, and compiled into a form that
// never changes, so that any number of goroutines may use it without a lock.
package routeconfig

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/encoding/protojson"

	"elmfold/internal/gateway/apierror"
)

//go:generate protoc -I.. --go_out=.. --go_opt=paths=source_relative charter/charter.proto

const (
	longestTimeout = 600 // s
	targetAbove    = 60  // s; a target this far above its timeout is refused
)

// Charter is one whole configuration. Nothing in it may be altered.
type Charter struct {
	Version uint32
	Limits  Limits
	Pools   map[string]*Pool // by name
	Body    []byte           // the bytes exactly as they came
	Digest  uint64           // xxh3 of Body

	routes []*Route
	hosts  map[string]*host
}

// Limits bound what a client may send. What the operator left out, or gave as 0 or less, has its default.
type Limits struct {
	HeaderBytes   int           // 16,384
	BodyBytes     int64         // 64 MiB
	HeaderTimeout time.Duration // 3 s
	IdleTimeout   time.Duration // 15 s
}

// Pool is a service.
type Pool struct {
	Name       string
	HealthPath string
	MaxConns   int           // that a backend accepts from all callers together; 0: not said
	Cold       time.Duration // how long a backend stays cold after a start
	ColdRate   float64       // requests a second a cold backend bears
}

// Route is where requests of one host and path prefix go.
type Route struct {
	Name     string
	Host     string // in lower case, without port
	Prefix   string
	Safe     bool          // may run more than once; false for a kind that is not known
	Target   time.Duration // inside which an answer earns its full worth; the Timeout if the operator gave none
	Timeout  time.Duration // over 0, at most 10 minutes
	Priority int           // 0 is highest
	MaxTries int           // at least 1
	Splits   []Split       // at least one
}

// Split is a service's part of a route, over 0; the parts of a route sum to 1. Entries with no share are left out.
type Split struct {
	Service string
	Share   float64
}

// host is the table of one host: its prefixes, and their lengths from the longest.
type host struct {
	routes  map[string]*Route
	lengths []length
}

// length is a length that some prefix of the host has.
type length struct {
	n     int
	slash bool // each prefix of this length ends with a slash: a path without one there needs no look-up
}

// Read reads a configuration's body, checks it and compiles it. The error is always a *apierror.Fault of Kind Invalid
// that names the key. Fields that are not known are read past. Only what the operator's protocol calls invalid, or
// what can't be acted upon, is refused: an unneeded refusal leaves the operator without its change.
func Read(body []byte) (*Charter, error) {
	var doc Document
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, &doc); err != nil {
		// protobuf varies its messages between builds with a no-break space, which has no place in an answer.
		why := strings.TrimSpace(strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\u00a0", " "), "proto:"))
		return nil, invalid("configuration", "cannot be read whole: %s", why)
	}
	version, err := ParseVersion(doc.GetGeneration())
	if err != nil {
		return nil, invalid("generation", "%w", err)
	}
	body = bytes.Clone(body) // the caller's buffer may be used again
	c := &Charter{
		Version: version, Limits: limits(doc.GetLimits()), Body: body, Digest: xxh3.Hash(body),
		Pools: make(map[string]*Pool, len(doc.GetPools())), hosts: make(map[string]*host, len(doc.GetSockets())),
	}
	for i, p := range doc.GetPools() {
		if c.Pools[p.GetName()] != nil {
			return nil, invalid(fmt.Sprintf("pools[%d].name", i), "%q is there twice", p.GetName())
		}
		c.Pools[p.GetName()] = &Pool{
			Name: p.GetName(), HealthPath: p.GetHealthPath(), MaxConns: int(max(p.GetMaxConns(), 0)),
			Cold: span(p.GetColdS(), 0), ColdRate: positive(p.GetColdRateS(), 0),
		}
	}
	for i, s := range doc.GetSockets() {
		name := lower(bare(s.GetAuthority()))
		h := c.hosts[name]
		if h == nil {
			h = &host{routes: make(map[string]*Route, len(s.GetRuleset()))}
			c.hosts[name] = h
		}
		for j, rule := range s.GetRuleset() {
			r, key, err := c.route(rule)
			if err != nil {
				return nil, invalid(fmt.Sprintf("sockets[%d].ruleset[%d].%s", i, j, key), "route %q: %w", rule.GetName(), err)
			}
			r.Host = name
			c.routes = append(c.routes, r)
			if h.routes[r.Prefix] == nil { // of two with the same prefix, the first holds
				h.routes[r.Prefix] = r
			}
		}
	}
	for _, h := range c.hosts {
		h.measure()
	}
	return c, nil
}

func invalid(key, format string, args ...any) *apierror.Fault {
	return apierror.New(apierror.Invalid, key, fmt.Errorf(format, args...))
}

// route compiles one rule, or gives the key within the rule that is wrong.
func (c *Charter) route(rule *Document_Rule) (r *Route, key string, err error) {
	prefix := rule.GetPredicate().GetPathPrefix()
	if !strings.HasPrefix(prefix, "/") {
		return nil, "predicate.pathPrefix", fmt.Errorf("%q lacks a leading slash", prefix)
	}
	effect := rule.GetEffect()
	splits, key, err := c.splits(effect)
	if err != nil {
		return nil, "effect." + key, err
	}
	// Put so that a NaN, which protojson reads, is refused.
	timeout, target := effect.GetTimeoutS(), rule.GetTargetS()
	if !(timeout > 0 && timeout <= longestTimeout) {
		return nil, "effect.timeoutS", fmt.Errorf("%v s is not over 0 and at most %d", timeout, longestTimeout)
	}
	// In nanoseconds, since the sum of such fractions would not be exact.
	if span(target, 0) >= span(timeout, 0)+targetAbove*time.Second {
		return nil, "targetS", fmt.Errorf("%v s is %d s or more above the timeoutS of %v", target, targetAbove, timeout)
	}
	// A timeout of less than a nanosecond must not become none at all.
	limit := max(span(timeout, 0), 1)
	return &Route{
		Name: rule.GetName(), Prefix: prefix, Safe: rule.GetRouteKind() == "safe", Target: span(target, limit),
		Timeout: limit, Priority: int(rule.GetPriority()), MaxTries: int(max(effect.GetMaxTries(), 1)), Splits: splits,
	}, "", nil
}

// splits are the services of a rule, or the key within its effect that is wrong.
func (c *Charter) splits(effect *Document_Effect) (splits []Split, key string, err error) {
	service, parts := effect.GetService(), effect.GetTrafficSplit()
	switch {
	case service == "" && len(parts) == 0:
		return nil, "service", errors.New("it names no service")
	case service != "" && c.Pools[service] == nil:
		return nil, "service", fmt.Errorf("%q is not among the pools", service)
	case len(parts) == 0:
		return []Split{{Service: service, Share: 1}}, "", nil
	}
	var sum float64
	for i, p := range parts {
		if c.Pools[p.GetService()] == nil {
			return nil, fmt.Sprintf("trafficSplit[%d].service", i), fmt.Errorf("%q is not among the pools", p.GetService())
		}
		if !(p.GetShare() >= 0) {
			return nil, fmt.Sprintf("trafficSplit[%d].share", i), fmt.Errorf("%v is not 0 or above", p.GetShare())
		}
		if p.GetShare() > 0 {
			splits = append(splits, Split{Service: p.GetService(), Share: p.GetShare()})
		}
		sum += p.GetShare()
	}
	if !(sum > 0) || math.IsInf(sum, 0) {
		return nil, "trafficSplit", fmt.Errorf("the shares sum to %v", sum)
	}
	for i := range splits {
		splits[i].Share /= sum
	}
	return splits, "", nil
}

func limits(l *Document_Limits) Limits {
	return Limits{
		HeaderBytes:   int(orElse(l.GetMaxHeaderBytes(), 16384)),
		BodyBytes:     orElse(l.GetMaxBodyBytes(), 64<<20),
		HeaderTimeout: span(l.GetHeaderTimeoutS(), 3*time.Second),
		IdleTimeout:   span(l.GetIdleTimeoutS(), 15*time.Second),
	}
}

func orElse(n, otherwise int64) int64 {
	if n <= 0 {
		return otherwise
	}
	return n
}

func positive(x, otherwise float64) float64 {
	if x > 0 {
		return x
	}
	return otherwise
}

// span is a time given in seconds, at most a year; otherwise, if it is not over 0.
func span(s float64, otherwise time.Duration) time.Duration {
	const most = 365 * 24 * 3600 // beyond some 292 years a Duration would turn negative
	if !(s > 0) {
		return otherwise
	}
	return time.Duration(math.Round(min(s, most) * 1e9))
}

// measure fills in the lengths.
func (h *host) measure() {
	slash := map[int]bool{}
	for prefix := range h.routes {
		all, seen := slash[len(prefix)]
		slash[len(prefix)] = (all || !seen) && strings.HasSuffix(prefix, "/")
	}
	for n, all := range slash {
		h.lengths = append(h.lengths, length{n, all})
	}
	slices.SortFunc(h.lengths, func(a, b length) int { return cmp.Compare(b.n, a.n) })
}

// Routes are all routes in the order the operator gave them.
func (c *Charter) Routes() []*Route { return c.routes }

// Route is the route of the host (with or without a port, in any case) whose prefix is the longest that begins the
// path, or nil. The path is compared as it came, without the query: nothing in it is cleaned or unescaped.
func (c *Charter) Route(authority, path string) *Route {
	name := bare(authority)
	h := c.hosts[name]
	if h == nil {
		// Lowered on the stack, since hosts rarely need it but a client may send it always.
		var low [256]byte
		if len(name) > len(low) {
			h = c.hosts[lower(name)]
		} else {
			for i := range len(name) {
				low[i] = lowerByte(name[i])
			}
			h = c.hosts[string(low[:len(name)])]
		}
		if h == nil {
			return nil
		}
	}
	for _, l := range h.lengths {
		if l.n > len(path) || l.slash && path[l.n-1] != '/' {
			continue
		}
		if r := h.routes[path[:l.n]]; r != nil {
			return r
		}
	}
	return nil
}

// Pick is the service that u, in [0,1), falls to by the shares.
func (r *Route) Pick(u float64) string {
	last := len(r.Splits) - 1
	for _, s := range r.Splits[:last] {
		if u -= s.Share; u < 0 {
			return s.Service
		}
	}
	return r.Splits[last].Service // also for what rounding leaves over
}

// bare is an authority without its port.
func bare(authority string) string {
	from := 0
	if strings.HasPrefix(authority, "[") { // an IPv6 address has colons of its own
		from = max(strings.IndexByte(authority, ']'), 0)
	}
	if i := strings.IndexByte(authority[from:], ':'); i >= 0 {
		return authority[:from+i]
	}
	return authority
}

// lower is for ASCII alone, as host names are, and the same as what Route does.
func lower(name string) string {
	low := []byte(name)
	for i, b := range low {
		low[i] = lowerByte(b)
	}
	return string(low)
}

func lowerByte(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// FormatVersion is a version as it stands in bodies: eight hexadecimal digits.
func FormatVersion(v uint32) string { return fmt.Sprintf("%08x", v) }

// ParseVersion reads exactly eight hexadecimal digits, in either case.
func ParseVersion(s string) (uint32, error) {
	v, err := strconv.ParseUint(s, 16, 32)
	if err != nil || len(s) != 8 {
		return 0, fmt.Errorf("%q is not eight hexadecimal digits", s)
	}
	return uint32(v), nil
}
