package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Report holds the counts since the previous report.
type Report struct {
	Services  []ServiceLoad    // sorted by service name
	Endpoints []EndpointReport // sorted by endpoint ID
}

// ServiceLoad counts the requests for a service.
type ServiceLoad struct {
	Service  string
	Requests float64
	Failed   float64 // rejected by the rate limit
}

// EndpointReport summarizes the attempts at an endpoint.
type EndpointReport struct {
	ID       string
	Attempts float64
	Failed   float64
	Latency  time.Duration // mean, over successful attempts
	Queued   bool          // the endpoint reported queued requests
}

// Report returns the counts since the previous call and resets them.
func (b *Balancer) Report() (r Report) {
	for name, s := range b.services {
		if s.requests > 0 {
			r.Services = append(r.Services, ServiceLoad{Service: name, Requests: s.requests, Failed: s.rejected})
			s.requests, s.rejected = 0, 0
		}
		for _, e := range s.endpoints {
			if e.attempts > 0 {
				r.Endpoints = append(r.Endpoints, e.takeReport())
			}
		}
	}
	slices.SortFunc(r.Services, func(x, y ServiceLoad) int { return cmp.Compare(x.Service, y.Service) })
	slices.SortFunc(r.Endpoints, func(x, y EndpointReport) int { return cmp.Compare(x.ID, y.ID) })
	return r
}

func (e *endpoint) takeReport() EndpointReport {
	report := EndpointReport{ID: e.ID, Attempts: e.attempts, Failed: e.failed, Queued: e.hadQueue}
	if e.succeeded > 0 {
		report.Latency = e.latencySum / time.Duration(e.succeeded)
	}
	e.attempts, e.failed, e.succeeded, e.latencySum, e.hadQueue = 0, 0, 0, 0, false
	return report
}
