package consensus

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

// Types of package rpc that are part of the interface of this package.
type (
	// BallotNumber orders the ballots of a register.
	BallotNumber = rpc.BallotNumber
	// Version orders the values of a register.
	Version = rpc.Version
	// Register is a named value with its version.
	Register = rpc.Register
	// Epoch is a numbered set of voters.
	Epoch = rpc.Epoch
	// Voter is a disk that votes.
	Voter = rpc.Voter
)

// Event is an input of Step: Propose, ReadRequest, Persisted, PeerIdentified, PeerConnected, PeerDisconnected,
// MessageReceived or Shutdown.
type Event interface{ isEvent() }

// Propose requests a change of a register. RequestDone is the response.
type Propose struct {
	RequestID uint64 // not 0
	Register  string
	Change    ChangeFunc
}

// ReadRequest requests the committed value of a register. RequestDone is the response.
type ReadRequest struct {
	RequestID uint64 // not 0
	Register  string
}

// Persisted reports the result of a Persist.
type Persisted struct {
	Seq uint64
	Err error // if not nil, the record on disk is unknown
}

// PeerIdentified reports that a peer has sent its Hello, on a connection opened by either side.
type PeerIdentified struct {
	Node             rpc.Node
	StoreID          string // of the peer's disk
	MayHaveLostState bool   // the peer's disk may have forgotten an epoch or votes
	Origin           rpc.Origin
}

// PeerConnected is a PeerIdentified that also reports that the connection for messages to the peer is up.
type PeerConnected PeerIdentified

// PeerDisconnected reports that the connection for messages to a peer has closed.
type PeerDisconnected struct{ Name string }

// MessageReceived is a message from a peer.
type MessageReceived struct {
	From    string // the peer's name
	Message *rpc.Message
}

// Shutdown requests that the Replica hand over the state that only this node has. HandedOver is the response.
type Shutdown struct{}

func (Propose) isEvent()          {}
func (ReadRequest) isEvent()      {}
func (Persisted) isEvent()        {}
func (PeerIdentified) isEvent()   {}
func (PeerConnected) isEvent()    {}
func (PeerDisconnected) isEvent() {}
func (MessageReceived) isEvent()  {}
func (Shutdown) isEvent()         {}

// Action is an output of Step: Persist, Send, ValueCommitted, EpochEntered, RequestDone, HandedOver or
// ForeignPeerFound. The caller performs the actions in order.
type Action interface{ isAction() }

// Persist requests that a record be written and synced. Persisted is the response. Records are written in the order of
// their Seq. An empty value erases the record.
type Persist struct {
	Seq    uint64
	Record string
	Value  []byte
}

// Send requests that a message be sent to a peer. It is lost if the connection closes.
type Send struct {
	To      string // the peer's name
	Message *rpc.Message
}

// ValueCommitted reports a newly committed value. The versions of a register only increase.
type ValueCommitted struct{ Register }

// EpochEntered reports that a newer epoch was decided.
type EpochEntered struct{ Epoch }

// RequestDone is the response to a Propose or a ReadRequest. Register is the committed value, as far as this node
// knows.
type RequestDone struct {
	RequestID uint64
	Outcome   Outcome
	Register
}

// ForeignPeerFound reports a peer of another cluster, which was bootstrapped independently. Its messages are ignored,
// and the clusters are never merged.
type ForeignPeerFound struct {
	Name      string
	ClusterID uint64 // of the other cluster
}

// HandedOver is the response to a Shutdown: the process may end.
type HandedOver struct{}

func (Persist) isAction()          {}
func (Send) isAction()             {}
func (ValueCommitted) isAction()   {}
func (EpochEntered) isAction()     {}
func (RequestDone) isAction()      {}
func (HandedOver) isAction()       {}
func (ForeignPeerFound) isAction() {}

// Outcome is the result of a request.
type Outcome uint8

// Outcomes of a request.
const (
	Indeterminate     Outcome = iota // the change may be committed, now or later
	Committed                        // the value that the ChangeFunc returned is committed
	Conflict                         // another value is committed with the same version
	Aborted                          // the change is not committed and never will be
	PossibleDuplicate                // as Aborted, because the request may be a late copy of an earlier one
)

// Age is how long a value has been committed, measured with monotonic clocks.
type Age struct {
	Duration time.Duration
	Exact    bool // otherwise Duration is a lower bound
}

// ChangeFunc computes the value that follows the committed one, and the outcome of the proposal once that value is
// committed. A result with the version of the committed value changes nothing. The function must be free of side
// effects, because it may be called several times with different values.
type ChangeFunc func(committed Register, age Age) (next Register, outcome Outcome)
