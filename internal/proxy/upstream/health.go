package upstream

import (
	"context"
	"net/http"
	"time"

	"elmfold/internal/gateway/apierror"
)

// HealthStatus is an endpoint's response to a health check.
type HealthStatus struct {
	OK         bool          // the status is 200
	EndpointID string        // value of HeaderInstanceID; may be empty
	WarmupLeft time.Duration // time left of the endpoint's slow start
	HasWarmup  bool          // the response reported WarmupLeft
	Load       Load
	HasLoad    bool // the response reported Load
}

// CheckHealth sends GET path to an endpoint, without an attempt ID. The error is an *apierror.Error as of Do and means
// that there was no response. A response other than 200, a rejection included, is returned with OK false.
func (p *Pool) CheckHealth(ctx context.Context, address, path string, deadline time.Time) (HealthStatus, error) {
	c := &Call{Address: address, Method: http.MethodGet, RequestTarget: path, Host: address, Deadline: deadline}
	if err := validateCall(c); err != nil {
		return HealthStatus{}, apierror.New(apierror.Malformed, address, err)
	}
	a, err := p.startAttempt(ctx, c, false)
	if err != nil {
		return HealthStatus{}, err
	}
	a.conn.servedHealthCheck = true
	for unmatched := 0; ; unmatched++ {
		resp, err := a.readHead()
		if err != nil {
			return HealthStatus{}, err
		}
		isHealth := len(resp.Header[HeaderInstanceID]) > 0 || len(resp.Header[HeaderAttemptID]) == 0
		if isHealth {
			return a.acceptHealth(resp)
		}
		if unmatched == maxUnmatchedResponses || !a.discardResponse(resp) { // a late response to an earlier request
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
		a.releaseAfterResponse(resp)
	} else {
		a.releaseConn(false)
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
