package rpc

// Endpoint is the state of an endpoint as a control-plane node reports it.
type Endpoint struct {
	ID               string        `cbor:"1,keyasint"` // chosen at random by the endpoint at each start of its process
	Service          string        `cbor:"2,keyasint,omitempty"`
	Address          string        `cbor:"3,keyasint,omitempty"` // "ip:port"
	Zone             string        `cbor:"4,keyasint,omitempty"`
	Capacity         int           `cbor:"5,keyasint,omitempty"` // maximum number of concurrent requests
	Seq              uint64        `cbor:"6,keyasint,omitempty"` // of the heartbeat that this state comes from
	State            EndpointState `cbor:"7,keyasint,omitempty"`
	WarmupRemaining  int           `cbor:"8,keyasint,omitempty"`  // ms until its slow start ends
	DirectHeartbeats bool          `cbor:"9,keyasint,omitempty"`  // the sender receives its heartbeats itself
	Generation       string        `cbor:"10,keyasint,omitempty"` // of its software
}

// EndpointState is the state of an endpoint. An endpoint never returns from a later state to an earlier one.
type EndpointState uint8

// States of an endpoint, in their order.
const (
	Ready EndpointState = iota
	Draining
	Gone
)

// ProxyInfo is a proxy that holds a lease.
type ProxyInfo struct {
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
}

// ServiceLoad counts the requests that a proxy received for a service since its last report.
type ServiceLoad struct {
	Service  string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint"`
	Failed   float64 `cbor:"3,keyasint,omitempty"`
}

// EndpointReport summarizes a proxy's attempts at an endpoint since its last report.
type EndpointReport struct {
	ID       string  `cbor:"1,keyasint"`
	Attempts float64 `cbor:"2,keyasint"`
	Failed   float64 `cbor:"3,keyasint,omitempty"`
	Latency  int64   `cbor:"4,keyasint,omitempty"` // mean of the successful attempts, in units of 0.1 ms
	Queued   bool    `cbor:"5,keyasint,omitempty"` // the endpoint reported queued requests
}

// RoutingTable is the load distribution that a proxy must apply for a service.
type RoutingTable struct {
	Service      string             `cbor:"1,keyasint"`
	Full         bool               `cbor:"2,keyasint,omitempty"` // Weights is complete; otherwise it has only the changes
	Weights      map[string]float64 `cbor:"3,keyasint,omitempty"` // by endpoint ID
	HasRateLimit bool               `cbor:"4,keyasint,omitempty"` // RateLimit is set; otherwise the last one still applies
	RateLimit    float64            `cbor:"5,keyasint,omitempty"` // requests/s of this proxy; 0: unlimited
}
