// Package apierror defines the kinds of errors of proxied requests and control calls. One table maps each kind to its
// response: the HTTP status, whether an endpoint may have executed the request, and whether the request may be retried
// at another endpoint.
package apierror

import (
	"fmt"
	"net/http"
	"time"
)

// Kind classifies an error. The table of policies has a row for each Kind.
type Kind uint8

// Kinds of errors: of proxied requests first, then of control calls.
const (
	None Kind = iota

	// Errors of a request that no endpoint has executed.

	NoRoute            // no route of the host has a prefix that matches the path
	Malformed          // the request is not valid HTTP or cannot be forwarded
	HeaderTooLarge     // the header exceeds maxHeaderBytes
	BodyTooLarge       // the body exceeds maxBodyBytes
	ClientTimeout      // the client did not send the body in time
	NotReady           // the proxy has no configuration yet
	NoEndpoint         // the service has no usable endpoint
	RateLimited        // the request exceeds the rate limit of this proxy
	EndpointsSaturated // all endpoints are at their limit of connections or requests
	DeadlineExceeded   // no time is left to start an attempt
	ShuttingDown       // the process is shutting down
	ConnectFailed      // the connection to the endpoint could not be established
	RejectedByEndpoint // the endpoint reported that it did not execute the request
	Misdirected        // 421: the address now belongs to another endpoint
	NoHolder           // no endpoint holds the request's shard key
	KeyNotHeld         // 421: the endpoint does not hold the request's shard key
	ClientDisconnected // the client disconnected before the proxy sent anything to an endpoint

	// Errors of a request that an endpoint may have executed.

	ConnectionBroken   // the connection broke after the proxy had sent part of the request
	InvalidResponse    // the endpoint sent something other than an HTTP response
	MismatchedResponse // the response belongs to another request or lacks the server seal
	TruncatedResponse  // the response is incomplete
	ResponseTimeout    // the response did not arrive in time
	EndpointFailed     // the endpoint responded with a 5xx status, which the proxy forwards
	AttemptCancelled   // the proxy cancelled the attempt: the client disconnected or sent an incomplete body

	// Errors of a control call by an operator or an endpoint.

	InvalidArgument // the arguments are malformed or not acceptable
	UnknownMethod   // the method does not exist
	NotDurable      // too few disks have stored the value
	Unavailable     // this node lacks the state or the quorum contact for the call; nothing was changed
	OutcomeUnknown  // the proposal may or may not be committed, now or later
	VersionConflict // another value is committed under the same version; a retry cannot succeed
	PayloadTooLarge // the body of the call is too large

	kindCount
)

// Policy is the response to errors of a Kind.
type Policy struct {
	Name            string // part of the error texts that clients and operators receive, so it must not change
	Status          int    // HTTP status
	MayHaveExecuted bool   // an endpoint may have executed the request
	// Retryable allows an attempt at another endpoint. If MayHaveExecuted is set, the route must also be idempotent.
	Retryable  bool
	RetryAfter time.Duration // value of the Retry-After header; 0: no header
}

// The statuses 408, 421, 429 and 503 promise that the request was not executed and never will be. Rows with
// MayHaveExecuted therefore have other statuses.
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
	NoHolder: {
		Name:       "no holder of the key",
		Status:     http.StatusServiceUnavailable,
		RetryAfter: 200 * time.Millisecond,
	},
	KeyNotHeld: {
		Name:       "key not held",
		Status:     http.StatusServiceUnavailable,
		Retryable:  true,
		RetryAfter: 100 * time.Millisecond,
	},
	// The next two are sent because a client that has closed only its sending side can still read.
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

// Policy returns the response to errors of this kind.
func (k Kind) Policy() Policy { return policies[k] }

func (k Kind) String() string { return policies[k].Name }

// Kinds returns all kinds in the order of their values.
func Kinds() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Error is an error with a Kind.
type Error struct {
	Kind    Kind
	Subject string // the endpoint, key or file concerned; may be empty
	Cause   error  // may be nil
}

// New returns an Error.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
