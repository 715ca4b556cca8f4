// Package apierror is the closed list of what can go wrong with a request or an order, and the one table from each
// kind to its answer: the status, whether a backend may have run the request, and whether it may be tried elsewhere.
package apierror

import (
	"fmt"
	"net/http"
	"time"
)

// Kind is one way to fail. The list is closed: each Kind has its row in the table.
type Kind uint8

// Kinds of a request that was not offered to a backend.
const (
	None        Kind = iota
	NoRoute          // no route of the host begins the path
	Malformed        // the request cannot be passed on as it is
	HeaderLarge      // over maxHeaderBytes
	BodyLarge        // over maxBodyBytes
	ClientSlow       // its body did not come in time
	Unready          // no configuration is known yet
	NoBackend        // no backend of the service may be used now
	OverLevel        // over the carrier's level
	Full             // all backends that may be used have all the connections or work they may have
	OutOfTime        // no time is left to offer it
	Stopping         // the process ends
	Dial             // the connection to the backend did not come up
	Turned           // the backend said that it did not run it
	Misdirected      // 421: another backend has the address

	// Kinds of a request that a backend may have run.
	Broken  // the connection ended after bytes of the request were written
	Garbled // what came is no answer
	Foreign // the answer belongs to another request, or lacks the seal
	CutOff  // the answer ended before its end
	Late    // the time for the answer ran out
	Failed  // the backend's own 5xx, which is passed on

	// Kinds of an order of the operator or a word of a backend.
	Invalid      // it cannot be read whole, or says what cannot be
	UnknownCall  // there is no such call
	Unsafe       // not enough disks have it
	NotYet       // this controller does not know enough yet, or is not in touch; nothing was done
	Open         // an order may be taken or not, now or later
	Conflict     // another value stands under its number, for good
	OverCapacity // the body of an order is too large

	kinds
)

// Rule is the row of a Kind.
type Rule struct {
	Name      string
	Status    int           // of the answer
	MayHave   bool          // a backend may have run it
	Elsewhere bool          // another backend may be asked, if the route may be repeated or it has not run
	After     time.Duration // when to come again; 0: nothing is said of it
}

// 429 and 503 (and 408, 421) promise that the request has not run and never will: no row with MayHave has one.
var rules = [kinds]Rule{
	None:         {Name: "none", Status: http.StatusOK},
	NoRoute:      {Name: "no route", Status: http.StatusNotFound},
	Malformed:    {Name: "malformed", Status: http.StatusBadRequest},
	HeaderLarge:  {Name: "header too large", Status: http.StatusRequestHeaderFieldsTooLarge},
	BodyLarge:    {Name: "body too large", Status: http.StatusRequestEntityTooLarge},
	ClientSlow:   {Name: "client too slow", Status: http.StatusRequestTimeout},
	Unready:      {Name: "not ready", Status: http.StatusServiceUnavailable, After: 300 * time.Millisecond},
	NoBackend:    {Name: "no backend", Status: http.StatusServiceUnavailable, Elsewhere: true, After: 250 * time.Millisecond},
	OverLevel:    {Name: "over its level", Status: http.StatusTooManyRequests, After: 400 * time.Millisecond},
	Full:         {Name: "backends full", Status: http.StatusServiceUnavailable, Elsewhere: true, After: 200 * time.Millisecond},
	OutOfTime:    {Name: "out of time", Status: http.StatusServiceUnavailable},
	Stopping:     {Name: "stopping", Status: http.StatusServiceUnavailable, After: 50 * time.Millisecond},
	Dial:         {Name: "no connection", Status: http.StatusServiceUnavailable, Elsewhere: true, After: 100 * time.Millisecond},
	Turned:       {Name: "turned away", Status: http.StatusServiceUnavailable, Elsewhere: true, After: 200 * time.Millisecond},
	Misdirected:  {Name: "misdirected", Status: http.StatusServiceUnavailable, Elsewhere: true, After: 50 * time.Millisecond},
	Broken:       {Name: "broken off", Status: http.StatusBadGateway, MayHave: true, Elsewhere: true},
	Garbled:      {Name: "garbled", Status: http.StatusBadGateway, MayHave: true, Elsewhere: true},
	Foreign:      {Name: "foreign answer", Status: http.StatusBadGateway, MayHave: true, Elsewhere: true},
	CutOff:       {Name: "cut off", Status: http.StatusBadGateway, MayHave: true, Elsewhere: true},
	Late:         {Name: "late", Status: http.StatusGatewayTimeout, MayHave: true},
	Failed:       {Name: "failed", Status: http.StatusBadGateway, MayHave: true, Elsewhere: true},
	Invalid:      {Name: "invalid", Status: http.StatusBadRequest},
	UnknownCall:  {Name: "unknown call", Status: http.StatusNotFound},
	Unsafe:       {Name: "not safe", Status: http.StatusServiceUnavailable, After: 100 * time.Millisecond},
	NotYet:       {Name: "not yet", Status: http.StatusServiceUnavailable, After: 100 * time.Millisecond},
	Open:         {Name: "not decided", Status: http.StatusGatewayTimeout, MayHave: true},
	Conflict:     {Name: "another one has this number", Status: http.StatusConflict},
	OverCapacity: {Name: "order too large", Status: http.StatusRequestEntityTooLarge},
}

// Rule is the row of the kind.
func (k Kind) Rule() Rule { return rules[k] }

func (k Kind) String() string { return rules[k].Name }

// Kinds are all of them, in their order.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Fault is an error of a Kind. Cause may be nil.
type Fault struct {
	Kind  Kind
	Where string // the backend, key or file
	Cause error
}

func (f *Fault) Error() string {
	switch {
	case f.Cause == nil && f.Where == "":
		return f.Kind.String()
	case f.Cause == nil:
		return fmt.Sprintf("%s: %s", f.Where, f.Kind)
	case f.Where == "":
		return fmt.Sprintf("%s: %v", f.Kind, f.Cause)
	}
	return fmt.Sprintf("%s: %s: %v", f.Where, f.Kind, f.Cause)
}

// Unwrap is the cause.
func (f *Fault) Unwrap() error { return f.Cause }

// New makes a Fault.
func New(k Kind, where string, cause error) *Fault {
	return &Fault{Kind: k, Where: where, Cause: cause}
}
