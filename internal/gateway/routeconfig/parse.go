package routeconfig

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/encoding/protojson"

	"elmfold/internal/gateway/apierror"
)

const (
	maxTimeoutSeconds    = 600
	maxTargetOverTimeout = 60 * time.Second // a latency target this far above the timeout is invalid
	maxDurationSeconds   = 365 * 24 * 3600  // prevents an overflow of time.Duration
	idempotentRouteKind  = "safe"           // value of routeKind
	supportedProtocol    = "h1"             // value of protocol
	supportedGrants      = "call"           // value of granted
	defaultHeaderBytes   = 16384
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	protojsonNoBreak     = "\u00a0" // protojson uses it at random to make its error texts unstable
	protojsonErrorPrefix = "proto:"
)

// Parse parses, validates and compiles a configuration. Each error is an *apierror.Error of kind InvalidArgument whose
// subject is the invalid key. Parse ignores unknown fields. It rejects only values that the operator's protocol defines
// as invalid or that the gateway cannot apply, because a rejection blocks the operator's whole change.
func Parse(body []byte) (*Config, error) {
	var doc Document
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, &doc); err != nil {
		return nil, invalid("configuration", "cannot be read whole: %s", protojsonErrorText(err))
	}
	version, err := ParseVersion(doc.GetGeneration())
	if err != nil {
		return nil, invalid("generation", "%w", err)
	}
	body = bytes.Clone(body) // the caller may reuse its buffer
	c := &Config{
		Version:  version,
		Limits:   compileLimits(doc.GetLimits()),
		Services: make(map[string]*Service, len(doc.GetPools())),
		Sharded:  map[string]bool{},
		Body:     body,
		Digest:   xxh3.Hash(body),
		hosts:    make(map[string]*hostRoutes, len(doc.GetSockets())),
	}
	if err := c.compileServices(doc.GetPools()); err != nil {
		return nil, err
	}
	if err := c.compileHosts(doc.GetSockets()); err != nil {
		return nil, err
	}
	return c, nil
}

// protojsonErrorText returns a stable text of a protojson error, without the prefix of the package.
func protojsonErrorText(err error) string {
	text := strings.ReplaceAll(err.Error(), protojsonNoBreak, " ")
	return strings.TrimSpace(strings.TrimPrefix(text, protojsonErrorPrefix))
}

func invalid(key, format string, args ...any) *apierror.Error {
	return apierror.New(apierror.InvalidArgument, key, fmt.Errorf(format, args...))
}

// keyError is an error at a key, relative to the message that is being compiled.
type keyError struct {
	key   string
	cause error
}

func (e *keyError) Error() string { return e.key + ": " + e.cause.Error() }

func (e *keyError) Unwrap() error { return e.cause }

// within returns the error with its key relative to the enclosing message.
func (e *keyError) within(key string) *keyError { return &keyError{key + "." + e.key, e.cause} }

func (c *Config) compileServices(pools []*Document_Pool) error {
	for i, p := range pools {
		if c.Services[p.GetName()] != nil {
			return invalid(fmt.Sprintf("pools[%d].name", i), "%q is there twice", p.GetName())
		}
		c.Services[p.GetName()] = &Service{
			Name:          p.GetName(),
			HealthPath:    p.GetHealthPath(),
			MaxConns:      int(max(p.GetMaxConns(), 0)),
			SlowStart:     seconds(p.GetColdS(), 0),
			SlowStartRate: positiveOr(p.GetColdRateS(), 0),
		}
		if p.GetSharded() {
			c.Sharded[p.GetName()] = true
		}
		c.noteUnsupported(fmt.Sprintf("pools[%d]", i), p)
	}
	return nil
}

// noteUnsupported notes the settings of a service that are not applied. They are no errors: an error would block the
// operator's whole change.
func (c *Config) noteUnsupported(key string, p *Document_Pool) {
	note := func(name, value, applied string) {
		text := fmt.Sprintf("%s.%s of %q: %s is not supported, %s applies", key, name, p.GetName(), value, applied)
		c.Unsupported = append(c.Unsupported, text)
	}
	if protocol := p.GetProtocol(); protocol != "" && protocol != supportedProtocol {
		note("protocol", strconv.Quote(protocol), strconv.Quote(supportedProtocol))
	}
	if p.GetTlsMode() {
		note("tlsMode", "true", "false")
	}
	if granted := p.GetGranted(); p.GetSharded() && granted != "" && granted != supportedGrants {
		note("granted", strconv.Quote(granted), strconv.Quote(supportedGrants))
	}
}

func (c *Config) compileHosts(sockets []*Document_Socket) error {
	for i, s := range sockets {
		name := toLower(stripPort(s.GetAuthority()))
		host := c.hosts[name]
		if host == nil {
			host = &hostRoutes{byPrefix: make(map[string]*Route, len(s.GetRuleset()))}
			c.hosts[name] = host
		}
		for j, rule := range s.GetRuleset() {
			r, err := c.compileRoute(rule)
			if err != nil {
				key := fmt.Sprintf("sockets[%d].ruleset[%d].%s", i, j, err.key)
				return invalid(key, "route %q: %w", rule.GetName(), err.cause)
			}
			r.Host = name
			c.routes = append(c.routes, r)
			if host.byPrefix[r.Prefix] == nil { // the first of several equal prefixes takes precedence
				host.byPrefix[r.Prefix] = r
			}
		}
	}
	for _, h := range c.hosts {
		h.indexLengths()
	}
	return nil
}

func (c *Config) compileRoute(rule *Document_Rule) (*Route, *keyError) {
	prefix := rule.GetPredicate().GetPathPrefix()
	if !strings.HasPrefix(prefix, "/") {
		return nil, &keyError{"predicate.pathPrefix", fmt.Errorf("%q lacks a leading slash", prefix)}
	}
	effect := rule.GetEffect()
	services, keyErr := c.compileWeights(effect)
	if keyErr != nil {
		return nil, keyErr.within("effect")
	}
	timeout, target := effect.GetTimeoutS(), rule.GetTargetS()
	if inRange := timeout > 0 && timeout <= maxTimeoutSeconds; !inRange { // also true for NaN, which protojson accepts
		return nil, &keyError{"effect.timeoutS",
			fmt.Errorf("%v s is not over 0 and at most %d", timeout, maxTimeoutSeconds)}
	}
	// Compared as durations, because sums of floating-point seconds are inexact.
	if seconds(target, 0) >= seconds(timeout, 0)+maxTargetOverTimeout {
		return nil, &keyError{"targetS", fmt.Errorf("%v s is %d s or more above the timeoutS of %v",
			target, int(maxTargetOverTimeout.Seconds()), timeout)}
	}
	limit := max(seconds(timeout, 0), 1) // a timeout below a nanosecond must not become 0
	return &Route{
		Name:          rule.GetName(),
		Prefix:        prefix,
		Idempotent:    rule.GetRouteKind() == idempotentRouteKind,
		LatencyTarget: seconds(target, limit),
		Timeout:       limit,
		Priority:      int(rule.GetPriority()),
		MaxAttempts:   int(max(effect.GetMaxTries(), 1)),
		Services:      services,
	}, nil
}

// compileWeights returns the services of a rule. trafficSplit takes precedence over service.
func (c *Config) compileWeights(effect *Document_Effect) ([]WeightedService, *keyError) {
	service, shares := effect.GetService(), effect.GetTrafficSplit()
	switch {
	case service == "" && len(shares) == 0:
		return nil, &keyError{"service", errors.New("it names no service")}
	case service != "" && c.Services[service] == nil:
		return nil, &keyError{"service", unknownServiceError(service)}
	case len(shares) == 0:
		return []WeightedService{{Service: service, Weight: 1}}, nil
	}
	var services []WeightedService
	var sum float64
	for i, s := range shares {
		if c.Services[s.GetService()] == nil {
			return nil, &keyError{fmt.Sprintf("trafficSplit[%d].service", i), unknownServiceError(s.GetService())}
		}
		if valid := s.GetShare() >= 0; !valid { // also true for NaN
			return nil, &keyError{fmt.Sprintf("trafficSplit[%d].share", i),
				fmt.Errorf("%v is not 0 or above", s.GetShare())}
		}
		if s.GetShare() > 0 {
			services = append(services, WeightedService{Service: s.GetService(), Weight: s.GetShare()})
		}
		sum += s.GetShare()
	}
	if valid := sum > 0 && !math.IsInf(sum, 0); !valid {
		return nil, &keyError{"trafficSplit", fmt.Errorf("the shares sum to %v", sum)}
	}
	for i := range services {
		services[i].Weight /= sum
	}
	return services, nil
}

func unknownServiceError(name string) error { return fmt.Errorf("%q is not among the pools", name) }

func compileLimits(l *Document_Limits) Limits {
	return Limits{
		HeaderBytes:   int(positiveOr(l.GetMaxHeaderBytes(), defaultHeaderBytes)),
		BodyBytes:     positiveOr(l.GetMaxBodyBytes(), defaultBodyBytes),
		HeaderTimeout: seconds(l.GetHeaderTimeoutS(), defaultHeaderTimeout),
		IdleTimeout:   seconds(l.GetIdleTimeoutS(), defaultIdleTimeout),
	}
}

// positiveOr returns n if it is over 0, and the default value if it is not or is NaN.
func positiveOr[T int64 | float64](n, defaultValue T) T {
	if n > 0 {
		return n
	}
	return defaultValue
}

// seconds converts a number of seconds to a duration of at most maxDurationSeconds. It returns the default value if the
// number is not over 0 or is NaN.
func seconds(s float64, defaultValue time.Duration) time.Duration {
	if isPositive := s > 0; !isPositive {
		return defaultValue
	}
	return time.Duration(math.Round(min(s, maxDurationSeconds) * float64(time.Second)))
}
