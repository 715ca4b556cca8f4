package consensus

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

// Types of package rpc that stand in the interface of this package.
type (
	// BallotNumber orders the ballots of a register.
	BallotNumber = rpc.BallotNumber
	// Version orders the values of a register.
	Version = rpc.Version
	// Register is a named value with its version.
	Register = rpc.Register
	// Epoch is who votes.
	Epoch = rpc.Epoch
	// Voter is a disk that votes.
	Voter = rpc.Voter
)

// Event is what Step is told: Propose, ReadRequest, Persisted, PeerIdentified, PeerConnected, PeerDisconnected,
// MessageReceived or Shutdown.
type Event interface{ isEvent() }

// Propose asks for a change of a register. RequestDone answers it.
type Propose struct {
	RequestID uint64 // not 0
	Register  string
	Change    ChangeFunc
}

// ReadRequest asks for the committed value of a register. RequestDone answers it.
type ReadRequest struct {
	RequestID uint64 // not 0
	Register  string
}

// Persisted answers a Persist.
type Persisted struct {
	Seq uint64
	Err error // not nil: nothing is known of what is on the disk
}

// PeerIdentified says that a peer has sent its Hello, on a connection of either side.
type PeerIdentified struct {
	Node             rpc.Node
	StoreID          string // of its disk
	MayHaveLostState bool   // its disk may have forgotten that there is an epoch
	Origin           rpc.Origin
}

// PeerConnected is a PeerIdentified, and says that the connection to the peer over which messages go out is up.
type PeerConnected PeerIdentified

// PeerDisconnected says that this connection broke.
type PeerDisconnected struct{ Name string }

// MessageReceived is a message of a peer.
type MessageReceived struct {
	From    string // the peer's name
	Message *rpc.Message
}

// Shutdown says that this process is to end. The Replica hands over what only it has; HandedOver answers it.
type Shutdown struct{}

func (Propose) isEvent()          {}
func (ReadRequest) isEvent()      {}
func (Persisted) isEvent()        {}
func (PeerIdentified) isEvent()   {}
func (PeerConnected) isEvent()    {}
func (PeerDisconnected) isEvent() {}
func (MessageReceived) isEvent()  {}
func (Shutdown) isEvent()         {}

// Action is what Step asks its caller to do: Persist, Send, ValueCommitted, EpochEntered, RequestDone, HandedOver or
// ForeignPeerFound.
// Actions are carried out in their order.
type Action interface{ isAction() }

// Persist is a record to be written to the disk and synced; Persisted answers it. Records are written in the order of
// their Seq. An empty value stands for no record.
type Persist struct {
	Seq    uint64
	Record string
	Value  []byte
}

// Send is a message to a peer. It may be lost with the connection.
type Send struct {
	To      string // the peer's name
	Message *rpc.Message
}

// ValueCommitted says that a value is committed. The versions of one register rise.
type ValueCommitted struct{ Register }

// EpochEntered says that a newer epoch was decided.
type EpochEntered struct{ Epoch }

// RequestDone answers a Propose or a ReadRequest. Register is the committed value, as far as it is known here.
type RequestDone struct {
	RequestID uint64
	Outcome   Outcome
	Register
}

// ForeignPeerFound says that a peer belongs to a system that was founded independently of this one. What it says does
// not count; the two are never merged.
type ForeignPeerFound struct {
	Name      string
	ClusterID uint64 // of the other system
}

// HandedOver answers a Shutdown: nothing needs this process any more.
type HandedOver struct{}

func (Persist) isAction()        {}
func (Send) isAction()           {}
func (ValueCommitted) isAction() {}
func (EpochEntered) isAction()   {}
func (RequestDone) isAction()    {}
func (HandedOver) isAction()     {}

func (ForeignPeerFound) isAction() {}

// Outcome is what became of a request.
type Outcome uint8

// Outcomes of a request.
const (
	Indeterminate Outcome = iota // the change may be committed, now or later
	Committed                    // the change, or what the ChangeFunc found in its place, is committed
	Conflict                     // another value is committed under its version, for good
	Aborted                      // the change is not committed and never will be
)

// Age is how long a value has been committed, by steady clocks.
type Age struct {
	Duration time.Duration
	Exact    bool // otherwise all that have the value started after it, and Duration is the least that it can be
}

// ChangeFunc is the meaning of a proposal: it returns the value that is to follow the committed one, and the outcome of
// the proposal once that value is committed. A value with the version of the committed one changes nothing. It may be
// called more than once, with different values, and must have no effect of its own.
type ChangeFunc func(committed Register, age Age) (next Register, outcome Outcome)
