package sharding

import (
	"time"

	"elmfold/internal/controlplane/consensus"
)

// Event is an input of Step: Decided, CallDone or Shutdown.
type Event interface{ isEvent() }

// Decided is the outcome of a Propose.
type Decided struct {
	ID      uint64 // of the Propose
	Outcome consensus.Outcome
	Value   consensus.Register // as far as the node knows it
}

// CallDone is the result of a Call.
type CallDone struct {
	ID      uint64
	Result  CallResult
	Handoff string // of a release
}

// Shutdown requests that the node give up the lease.
type Shutdown struct{}

func (Decided) isEvent()  {}
func (CallDone) isEvent() {}
func (Shutdown) isEvent() {}

// Action is an output of Step: Propose, Call or LeaseExtended.
type Action interface{ isAction() }

// Propose requests a change of a register. Decided is the response.
type Propose struct {
	ID       uint64
	Register string
	Change   consensus.ChangeFunc
}

// Call requests a call to an endpoint, which must end within its timeout. CallDone is the response.
type Call struct {
	ID         uint64
	Kind       CallKind
	Service    string
	EndpointID string
	Address    string
	Range
	Fence   uint64
	Hold    time.Duration // of a grant
	Handoff string        // of a grant; empty: none
	Timeout time.Duration
}

// LeaseExtended reports until when calls may be written to sockets. An earlier time than before withdraws the lease.
type LeaseExtended struct{ Until time.Duration }

func (Propose) isAction()       {}
func (Call) isAction()          {}
func (LeaseExtended) isAction() {}

// CallKind is the kind of a Call.
type CallKind uint8

// Kinds of calls.
const (
	Grant CallKind = iota
	Release
	Probe // a health check: any answer shows that the endpoint is reachable
)

// CallResult is the result of a Call.
type CallResult uint8

// Results of calls.
const (
	Unanswered    CallResult = iota // the endpoint may have received the call, or may still receive it
	NotSent                         // no byte was written
	Accepted                        // 200
	Outdated                        // 409: the endpoint has seen a higher fence
	Refused                         // any other status: the endpoint does not hold the range by this call
	OtherInstance                   // another instance answered: the endpoint has ended, and its address was given away
)
