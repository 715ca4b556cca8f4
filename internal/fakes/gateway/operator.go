package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Shape of a drawn configuration: routes are spread over the services in turn, 8 to a host.
type Shape struct {
	Services, Routes int
	Target           float64 // s
	Safe             bool
	UnsafeFrom       int // routes from this number on may be executed once only, with Safe; 0: none
	Sharded          int // so many of the services, the last ones, are divided by key
}

const routesOfHost = 8

// ServiceName of a number.
func ServiceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// RouteOf is the host and path prefix of a route.
func RouteOf(i int) (host, prefix string) {
	return fmt.Sprintf("host%d.example", i/routesOfHost), fmt.Sprintf("/part%04d/", i)
}

// Configuration is one of a version; extra routes come after those of the shape.
func Configuration(version uint32, s Shape, extra int) []byte {
	type object = map[string]any
	if s.Target == 0 {
		s.Target = 1
	}
	kindOf := func(route int) string {
		if s.Safe && (s.UnsafeFrom == 0 || route < s.UnsafeFrom) {
			return "safe"
		}
		return "unsafe"
	}
	var sockets, pools []any
	for first := 0; first < s.Routes+extra; first += routesOfHost {
		var rules []any
		host, _ := RouteOf(first)
		for i := first; i < min(first+routesOfHost, s.Routes+extra); i++ {
			_, prefix := RouteOf(i)
			rules = append(rules, object{"name": fmt.Sprintf("r-%07d", i), "routeKind": kindOf(i), "targetS": s.Target,
				"priority":  1,
				"predicate": object{"pathPrefix": prefix},
				"effect":    object{"service": ServiceName(i % s.Services), "timeoutS": 5, "maxTries": 2}})
		}
		sockets = append(sockets, object{"authority": host, "ruleset": rules})
	}
	for i := range s.Services {
		pool := object{"name": ServiceName(i), "healthPath": "/health", "maxConns": 2000, "protocol": "h1",
			"tlsMode": false, "coldS": 3.0, "coldRateS": 1000.0}
		if i >= s.Services-s.Sharded {
			pool["sharded"], pool["warmupS"], pool["granted"] = true, 1.0, "call"
		}
		pools = append(pools, pool)
	}
	text, err := json.Marshal(object{"generation": fmt.Sprintf("%08x", version),
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"sockets": sockets, "pools": pools})
	if err != nil {
		panic(err) // all of it is plain
	}
	return text
}

// Operator calls controllers, another one after each failure.
type Operator struct {
	Controls []string
	next     int
}

// Replace puts a configuration; it returns when it is acknowledged.
func (o *Operator) Replace(ctx context.Context, text []byte) error {
	_, err := o.call(ctx, "config.replace", "", text)
	return err
}

// Read gives back the newest.
func (o *Operator) Read(ctx context.Context) ([]byte, error) {
	return o.call(ctx, "config.read", "", nil)
}

func (o *Operator) call(ctx context.Context, call, of string, text []byte) ([]byte, error) {
	for wait := 50 * time.Millisecond; ; wait = min(2*wait, 400*time.Millisecond) {
		answer, status, err := post(ctx, o.Controls[o.next%len(o.Controls)], call, of, text)
		switch {
		case err == nil && status == http.StatusOK:
			return answer, nil
		case err == nil && status >= 400 && status < 500 && status != http.StatusRequestTimeout &&
			status != http.StatusTooManyRequests:
			return nil, fmt.Errorf("%s: %d: %s", call, status, answer)
		}
		o.next++
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%s: %w; last %d %s %s", call, ctx.Err(), status, answer, fmt.Sprint(err))
		case <-time.After(wait):
		}
	}
}

func post(ctx context.Context, control, call, of string, text []byte) ([]byte, int, error) {
	url := "http://" + control + "/v1/rpc?call=" + call
	if of != "" {
		url += "&of=" + of
	}
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return answer, resp.StatusCode, err
}
