package rollout

import (
	"time"

	"elmfold/internal/controlplane/paxos"
)

// BallotNumber orders the ballots of a version.
type BallotNumber = paxos.BallotNumber

// Target is a version with the digest of its body.
type Target struct{ Version, Digest uint64 }

// Reason of a halt.
type Reason uint8

// Reasons of a halt.
const (
	NoReason         Reason = iota
	TooFewConfirmed         // within the timeout of a stage
	Unhealthy               // proxies with it fail more, or are slower, than those without it
	ProxiesEnded            // too many proxies ended that were told to prepare it
	NotReadable             // proxies cannot read it
	Superseded              // a higher version is stored
	HaltedByOperator        // it was ordered
)

func (r Reason) String() string {
	switch r {
	case NoReason:
		return ""
	case TooFewConfirmed:
		return "too few confirmed"
	case Unhealthy:
		return "unhealthy"
	case ProxiesEnded:
		return "proxies ended"
	case NotReadable:
		return "not readable"
	case Superseded:
		return "superseded"
	case HaltedByOperator:
		return "halted by the operator"
	}
	return "unknown"
}

// Decision ends a version: it is committed, or halted for a Reason. The zero Decision stands for none.
type Decision struct {
	Committed bool
	Digest    uint64 // of what is committed
	Reason    Reason // of a halt
}

func (d Decision) isZero() bool { return d == Decision{} }

// Vote is what a disk holds of a version: one record.
type Vote struct {
	Version uint64
	paxos.Acceptor[Decision]
	Decided bool // Value is the decision
	Closed  bool // this disk has lost state, and answers no ballot for this version or any below
}

// Kind of a Message.
type Kind uint8

// Kinds of messages between control-plane nodes.
const (
	PrepareRequest    Kind = iota + 1 // phase 1a
	PromiseResponse                   // phase 1b
	AcceptRequest                     // phase 2a
	AcceptedResponse                  // phase 2b
	PreemptedResponse                 // a higher ballot was promised; Ballot is that one
	DecidedNotice                     // Value is the decision
)

// Message is what one control-plane node sends to another.
type Message struct {
	Kind     Kind
	Version  uint64
	Ballot   BallotNumber
	Accepted BallotNumber // PromiseResponse: the ballot of Value
	Value    Decision
}

// Event is what Coordinator.Step or Participant.Step is told: one of the structs below that have isEvent.
type Event interface{ isEvent() }

// BodyStored says that the body of a version is durable on the voters' disks. No ballot for it begins before.
type BodyStored struct{ Target }

// LeaseGranted says that a proxy holds a lease. An incarnation that held it before has ended.
type LeaseGranted struct {
	Proxy, Zone string
	Incarnation uint64 // not 0
}

// LeaseEnded says that a proxy's lease expired, or was returned in order.
type LeaseEnded struct {
	Proxy    string
	Returned bool
}

// ProxyConnected says that a proxy has a new connection: it is told all that concerns it.
type ProxyConnected struct{ Proxy string }

// Confirmed says that a proxy has prepared a version, or cannot read it.
type Confirmed struct {
	Proxy       string
	Incarnation uint64
	Target
	NotReadable bool
}

// Measured is what a proxy has seen since its last report.
type Measured struct {
	Proxy     string
	Attempts  float64
	Failed    float64 // of the Attempts
	LatencyMS float64 // sum, of the responses
	AddedMS   float64 // sum, of what the proxy itself added
}

// HaltRequested is an operator's order to halt a version.
type HaltRequested struct{ Version uint64 }

// PeerConnected says that the connection to another control-plane node is up.
type PeerConnected struct{ Peer string }

// PeerDisconnected says that it broke.
type PeerDisconnected struct{ Peer string }

// MessageReceived is a message of another control-plane node.
type MessageReceived struct {
	From string
	Message
}

// Persisted answers a Persist.
type Persisted struct {
	Seq uint64
	Err error
}

// CaughtUp says that this disk, which had lost state, has read all up to a version; it votes on later ones. It must be
// marked as complete only after the record that this causes is written.
type CaughtUp struct{ UpTo uint64 }

// Resumed says that this process was suspended: what it knows of leases is outdated.
type Resumed struct{}

// CommandReceived is a command of a control-plane node to a proxy.
type CommandReceived struct {
	Command Command
	Target
}

// ControllerConnected says that a proxy's connection to a control-plane node is new.
type ControllerConnected struct{ Name string }

// BodyReceived says that a proxy has fetched the body of a version.
type BodyReceived struct{ Target }

// CompileDone says that a body was checked and compiled, or cannot be.
type CompileDone struct {
	Target
	Err error
}

func (BodyStored) isEvent()          {}
func (LeaseGranted) isEvent()        {}
func (LeaseEnded) isEvent()          {}
func (ProxyConnected) isEvent()      {}
func (Confirmed) isEvent()           {}
func (Measured) isEvent()            {}
func (HaltRequested) isEvent()       {}
func (PeerConnected) isEvent()       {}
func (PeerDisconnected) isEvent()    {}
func (MessageReceived) isEvent()     {}
func (Persisted) isEvent()           {}
func (CaughtUp) isEvent()            {}
func (Resumed) isEvent()             {}
func (CommandReceived) isEvent()     {}
func (ControllerConnected) isEvent() {}
func (BodyReceived) isEvent()        {}
func (CompileDone) isEvent()         {}

// Action is what a Step asks its caller to do: one of the structs below that have isAction.
type Action interface{ isAction() }

// Persist is a record that replaces the one of its version. Records of one version are written in their order.
type Persist struct {
	Seq uint64
	Vote
}

// Drop ends the record of a version.
type Drop struct{ Version uint64 }

// Send is a message to another control-plane node.
type Send struct {
	To string
	Message
}

// Command is what a proxy is told of a version.
type Command uint8

// Commands to proxies.
const (
	CommandPrepare  Command = iota + 1 // fetch, check and compile it, and confirm
	CommandActivate                    // serve it
	CommandDiscard                     // it is halted, or superseded
)

// SendCommand is a command for a proxy, or for all that are connected (""). It is lost with the connection, and
// sent anew at ProxyConnected.
type SendCommand struct {
	Proxy   string
	Command Command
	Target
}

// VersionDecided tells the decision on a version, once.
type VersionDecided struct {
	Version uint64
	Decision
}

// Fetch asks for a body.
type Fetch struct{ Target }

// Compile asks for a body to be checked and compiled. CompileDone answers it.
type Compile struct{ Target }

// SendConfirmation is for a control-plane node, or for all that are connected ("").
type SendConfirmation struct {
	To          string
	Incarnation uint64
	Target
	NotReadable bool
}

// Activate has requests that begin from now on served by a version.
type Activate struct{ Target }

// Discard lets a prepared version go.
type Discard struct{ Target }

// FreshnessChanged says whether a proxy may call itself ready, as far as its version goes.
type FreshnessChanged struct{ Fresh bool }

func (Persist) isAction()          {}
func (Drop) isAction()             {}
func (Send) isAction()             {}
func (SendCommand) isAction()      {}
func (VersionDecided) isAction()   {}
func (Fetch) isAction()            {}
func (Compile) isAction()          {}
func (SendConfirmation) isAction() {}
func (Activate) isAction()         {}
func (Discard) isAction()          {}
func (FreshnessChanged) isAction() {}

// Stage of a Plan. Asked are Proxies of each of Zones zones; 0: all.
type Stage struct {
	Proxies, Zones int
	MinShare       float64       // of those asked in each zone that must confirm; the number is rounded up
	MinTotal       int           // confirmations in all zones, at least 1
	Soak           time.Duration // from enough confirmations to the next stage
	Timeout        time.Duration // without enough confirmations for so long the version is halted
}

// Plan is how versions are rolled out.
type Plan struct {
	Stages            []Stage
	ListenDuration    time.Duration // a node that starts counts nothing before; a lease's duration
	MaxEnded          int           // so many ended proxies halt a version; 0: none does
	MaxNotReadable    int           // so many proxies that cannot read it halt a version; 0: none does
	MinAttempts       float64       // on both sides, from which on they are compared; 0: never
	MaxExtraFailures  float64       // share of failures over that of proxies without the version
	MaxExtraLatencyMS float64       // mean, of responses and of what is added, over that of proxies without it
}
