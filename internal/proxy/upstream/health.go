package upstream

import (
	"context"
	"net/http"
	"time"

	"elmfold/internal/gateway/apierror"
)

// HealthStatus is an endpoint's response to a health check.
type HealthStatus struct {
	OK         bool          // it responded 200
	EndpointID string        // "": it gave none
	WarmupLeft time.Duration // until its slow start ends
	HasWarmup  bool          // WarmupLeft was told
	Load       Load
	HasLoad    bool // Load was told
}

// CheckHealth checks an endpoint: GET path, without an id. An *apierror.Error (as of Do) says that no response came; a
// response other than 200, a rejection included, is a CheckHealth that is not OK.
func (p *Pool) CheckHealth(ctx context.Context, address, path string, deadline time.Time) (HealthStatus, error) {
	c := &Call{Address: address, Method: http.MethodGet, RequestTarget: path, Host: address, Deadline: deadline}
	if err := validate(c); err != nil {
		return HealthStatus{}, apierror.New(apierror.Malformed, address, err)
	}
	a, err := p.start(ctx, c, false)
	if err != nil {
		return HealthStatus{}, err
	}
	a.conn.carriedNameless = true
	for surplus := 0; ; surplus++ {
		resp, err := a.readHead()
		if err != nil {
			return HealthStatus{}, err
		}
		isHealth := len(resp.Header[HeaderInstanceID]) > 0 || len(resp.Header[HeaderAttemptID]) == 0
		if isHealth {
			return a.acceptHealth(resp)
		}
		if surplus == maxSurplus || !a.skipResponse(resp) { // it was the late response to a request
			return HealthStatus{}, a.fail(apierror.MismatchedResponse, errMismatched)
		}
	}
}

func (a *attempt) acceptHealth(resp *http.Response) (HealthStatus, error) {
	endpointID := resp.Header.Get(HeaderInstanceID)
	r := a.newResponse(resp)
	_, whole, err := a.readBody(resp)
	if err != nil {
		return HealthStatus{}, err
	}
	if whole {
		a.release(resp)
	} else {
		a.end(false)
	}
	return HealthStatus{
		OK:         r.Status == http.StatusOK,
		EndpointID: endpointID,
		WarmupLeft: r.WarmupLeft,
		HasWarmup:  r.HasWarmup,
		Load:       r.Load,
		HasLoad:    r.HasLoad,
	}, nil
}
