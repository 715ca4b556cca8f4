// Package apierror is the closed list of what can go wrong with a request or a control call, and the one table from
// each kind of error to its answer: the status, whether an endpoint may have executed the request, and whether it
// may be retried at another endpoint.
package apierror

import (
	"fmt"
	"net/http"
	"time"
)

// Kind is one way to fail. The list is closed: each Kind has its row in the table of policies.
type Kind uint8

// Kinds of errors. Those of requests come first, those of control calls after them.
const (
	None Kind = iota

	// Of a request that no endpoint has executed.

	NoRoute            // no route of the host begins the path
	Malformed          // the request cannot be passed on as it is
	HeaderTooLarge     // over maxHeaderBytes
	BodyTooLarge       // over maxBodyBytes
	ClientTimeout      // its body did not arrive in time
	NotReady           // no configuration is known yet
	NoEndpoint         // no endpoint of the service may be used now
	RateLimited        // over the rate limit of this proxy
	EndpointsSaturated // all endpoints have all the connections or requests that they may have
	DeadlineExceeded   // no time is left to begin an attempt
	ShuttingDown       // the process ends
	ConnectFailed      // the connection to the endpoint did not come up
	RejectedByEndpoint // the endpoint said that it did not execute it
	Misdirected        // 421: another endpoint has the address
	ClientDisconnected // the client left before anything was sent

	// Of a request that an endpoint may have executed.

	ConnectionBroken   // the connection ended after bytes of the request were written
	InvalidResponse    // what arrived is no response
	MismatchedResponse // the response belongs to another request, or lacks the seal
	TruncatedResponse  // the response ended before its end
	ResponseTimeout    // the time for the response ran out
	EndpointFailed     // the endpoint's own 5xx, which is passed on
	AttemptCancelled   // broken off, because the client left or its body ended early

	// Of a control call, by an operator or an endpoint.

	InvalidArgument // it cannot be read whole, or asks for what cannot be
	UnknownMethod   // there is no such call
	NotDurable      // not enough disks have it
	Unavailable     // this node does not know enough yet, or has no quorum contact; nothing was done
	OutcomeUnknown  // the proposal may be committed or not, now or later
	VersionConflict // another value is committed under its version, for good
	PayloadTooLarge // the body of the call is too large

	kindCount
)

// Policy is how errors of a Kind are answered.
type Policy struct {
	// Name stands in the texts that clients and operators receive, so it does not change with the names here.
	Name            string
	Status          int           // of the answer
	MayHaveExecuted bool          // an endpoint may have executed the request
	Retryable       bool          // another endpoint may be tried, if the route is idempotent or nothing was executed
	RetryAfter      time.Duration // when the caller should come again; 0: nothing is said of it
}

// 429 and 503 (and 408, 421) promise that the request was not executed and never will be: no row with MayHaveExecuted
// has one of them.
var policies = [kindCount]Policy{
	None:           {Name: "none", Status: http.StatusOK},
	NoRoute:        {Name: "no route", Status: http.StatusNotFound},
	Malformed:      {Name: "malformed", Status: http.StatusBadRequest},
	HeaderTooLarge: {Name: "header too large", Status: http.StatusRequestHeaderFieldsTooLarge},
	BodyTooLarge:   {Name: "body too large", Status: http.StatusRequestEntityTooLarge},
	ClientTimeout:  {Name: "client too slow", Status: http.StatusRequestTimeout},
	NotReady:       {Name: "not ready", Status: http.StatusServiceUnavailable, RetryAfter: 300 * time.Millisecond},
	NoEndpoint: {
		Name:       "no backend",
		Status:     http.StatusServiceUnavailable,
		Retryable:  true,
		RetryAfter: 250 * time.Millisecond,
	},
	RateLimited: {Name: "over its level", Status: http.StatusTooManyRequests, RetryAfter: 400 * time.Millisecond},
	EndpointsSaturated: {
		Name:       "backends full",
		Status:     http.StatusServiceUnavailable,
		Retryable:  true,
		RetryAfter: 200 * time.Millisecond,
	},
	DeadlineExceeded: {Name: "out of time", Status: http.StatusServiceUnavailable},
	ShuttingDown:     {Name: "stopping", Status: http.StatusServiceUnavailable, RetryAfter: 50 * time.Millisecond},
	ConnectFailed: {
		Name:       "no connection",
		Status:     http.StatusServiceUnavailable,
		Retryable:  true,
		RetryAfter: 100 * time.Millisecond,
	},
	RejectedByEndpoint: {
		Name:       "turned away",
		Status:     http.StatusServiceUnavailable,
		Retryable:  true,
		RetryAfter: 200 * time.Millisecond,
	},
	Misdirected: {
		Name:       "misdirected",
		Status:     http.StatusServiceUnavailable,
		Retryable:  true,
		RetryAfter: 50 * time.Millisecond,
	},
	// Both are answered for clients that have closed only their own direction, and may still read.
	ClientDisconnected: {Name: "client gone", Status: http.StatusServiceUnavailable},
	AttemptCancelled:   {Name: "broken off by the client", Status: http.StatusBadGateway, MayHaveExecuted: true},
	ConnectionBroken:   {Name: "broken off", Status: http.StatusBadGateway, MayHaveExecuted: true, Retryable: true},
	InvalidResponse:    {Name: "garbled", Status: http.StatusBadGateway, MayHaveExecuted: true, Retryable: true},
	MismatchedResponse: {Name: "foreign answer", Status: http.StatusBadGateway, MayHaveExecuted: true, Retryable: true},
	TruncatedResponse:  {Name: "cut off", Status: http.StatusBadGateway, MayHaveExecuted: true, Retryable: true},
	ResponseTimeout:    {Name: "late", Status: http.StatusGatewayTimeout, MayHaveExecuted: true},
	EndpointFailed:     {Name: "failed", Status: http.StatusBadGateway, MayHaveExecuted: true, Retryable: true},
	InvalidArgument:    {Name: "invalid", Status: http.StatusBadRequest},
	UnknownMethod:      {Name: "unknown call", Status: http.StatusNotFound},
	NotDurable:         {Name: "not safe", Status: http.StatusServiceUnavailable, RetryAfter: 100 * time.Millisecond},
	Unavailable:        {Name: "not yet", Status: http.StatusServiceUnavailable, RetryAfter: 100 * time.Millisecond},
	OutcomeUnknown:     {Name: "not decided", Status: http.StatusGatewayTimeout, MayHaveExecuted: true},
	VersionConflict:    {Name: "another one has this number", Status: http.StatusConflict},
	PayloadTooLarge:    {Name: "order too large", Status: http.StatusRequestEntityTooLarge},
}

// Policy is the row of the kind.
func (k Kind) Policy() Policy { return policies[k] }

func (k Kind) String() string { return policies[k].Name }

// Kinds are all of them, in their order.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Error is an error of a Kind.
type Error struct {
	Kind    Kind
	Subject string // the endpoint, key or file that it is about; may be empty
	Cause   error  // may be nil
}

// New makes an Error.
func New(kind Kind, subject string, cause error) *Error {
	return &Error{Kind: kind, Subject: subject, Cause: cause}
}

func (e *Error) Error() string {
	switch {
	case e.Cause == nil && e.Subject == "":
		return e.Kind.String()
	case e.Cause == nil:
		return fmt.Sprintf("%s: %s", e.Subject, e.Kind)
	case e.Subject == "":
		return fmt.Sprintf("%s: %v", e.Kind, e.Cause)
	}
	return fmt.Sprintf("%s: %s: %v", e.Subject, e.Kind, e.Cause)
}

// Unwrap is the cause.
func (e *Error) Unwrap() error { return e.Cause }
