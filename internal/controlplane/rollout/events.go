package rollout

import (
	"time"

	"elmfold/internal/controlplane/paxos"
)

// BallotNumber identifies and orders the ballots for a version.
type BallotNumber = paxos.BallotNumber

// Target identifies a version by its number and the digest of its body.
type Target struct{ Version, Digest uint64 }

// Reason is the reason why a version is halted.
type Reason uint8

// Reasons to halt a version.
const (
	NoReason         Reason = iota
	TooFewConfirmed         // a stage timed out without enough confirmations
	Unhealthy               // proxies with the version fail more or are slower than those without it
	ProxiesEnded            // too many proxies ended after they were asked to prepare the version
	NotReadable             // too many proxies cannot compile the body
	Superseded              // a higher version is stored
	HaltedByOperator        // an operator requested it
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

// Decision is the outcome of a version: committed, or halted for a Reason. The zero Decision means that there is none.
type Decision struct {
	Committed bool
	Digest    uint64 // of the committed body
	Reason    Reason // of a halted version
}

func (d Decision) isZero() bool { return d == Decision{} }

// Vote is the record that a voter stores for a version.
type Vote struct {
	Version uint64
	paxos.Acceptor[Decision]
	Decided bool // whether Value is the decision
	Closed  bool // whether this voter lost its state and may not answer ballots for this version or lower ones
}

// Kind is the kind of a Message.
type Kind uint8

// Kinds of messages between control-plane nodes.
const (
	PrepareRequest    Kind = iota + 1 // phase 1a
	PromiseResponse                   // phase 1b
	AcceptRequest                     // phase 2a
	AcceptedResponse                  // phase 2b
	PreemptedResponse                 // Ballot is the higher ballot that was promised
	DecidedNotice                     // Value is the decision
)

// Message is what one control-plane node sends to another.
type Message struct {
	Kind     Kind
	Version  uint64
	Ballot   BallotNumber
	Accepted BallotNumber // in a PromiseResponse, the ballot in which Value was accepted
	Value    Decision
}

// Event is an input of Coordinator.Step or Participant.Step.
type Event interface{ isEvent() }

// BodyStored reports that the body of a version is durable on the voters' disks. No ballot for it starts earlier.
type BodyStored struct{ Target }

// LeaseGranted reports that a proxy holds a lease. Any other incarnation that held it has ended.
type LeaseGranted struct {
	Proxy, Zone string
	Incarnation uint64 // not 0
}

// LeaseEnded reports that a proxy's lease expired, or that the proxy returned it when it shut down.
type LeaseEnded struct {
	Proxy    string
	Returned bool
}

// ProxyConnected reports a new connection from a proxy. The current commands are sent to it again.
type ProxyConnected struct{ Proxy string }

// Confirmed reports that a proxy has prepared a version, or cannot compile its body.
type Confirmed struct {
	Proxy       string
	Incarnation uint64
	Target
	NotReadable bool
}

// Measured reports the traffic of a proxy since its last report.
type Measured struct {
	Proxy     string
	Attempts  float64
	Failed    float64 // part of Attempts
	LatencyMS float64 // sum of the response times
	AddedMS   float64 // sum of the time that the proxy itself added
}

// HaltRequested reports that an operator wants a version to be halted.
type HaltRequested struct{ Version uint64 }

// PeerConnected reports that a connection to another control-plane node is established.
type PeerConnected struct{ Peer string }

// PeerDisconnected reports that the connection to another control-plane node is closed.
type PeerDisconnected struct{ Peer string }

// MessageReceived is a message from another control-plane node.
type MessageReceived struct {
	From string
	Message
}

// Persisted reports the result of a Persist action.
type Persisted struct {
	Seq uint64
	Err error
}

// CaughtUp reports that this node lost its state and has since read everything up to a version. It votes on later
// versions. The caller may mark the disk as complete only after the record of the resulting Persist action is durable.
type CaughtUp struct{ UpTo uint64 }

// Resumed reports that this process was suspended, so that its view of leases may be outdated.
type Resumed struct{}

// CommandReceived is a command from a control-plane node to this proxy.
type CommandReceived struct {
	Command Command
	Target
}

// ControllerConnected reports a new connection from this proxy to a control-plane node.
type ControllerConnected struct{ Name string }

// BodyReceived reports that this proxy has fetched the body of a version.
type BodyReceived struct{ Target }

// CompileDone reports the result of a Compile action.
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

// Action is an output of Coordinator.Step or Participant.Step that the caller carries out.
type Action interface{ isAction() }

// Persist writes the record of a version and replaces the former one. Records of one version are written in order. The
// caller answers with Persisted.
type Persist struct {
	Seq uint64
	Vote
}

// Drop deletes the record of a version.
type Drop struct{ Version uint64 }

// Send sends a message to another control-plane node.
type Send struct {
	To string
	Message
}

// Command tells a proxy what to do with a version.
type Command uint8

// Commands to proxies.
const (
	CommandPrepare  Command = iota + 1 // fetch, check and compile the body, then confirm
	CommandActivate                    // serve the version
	CommandDiscard                     // remove the version, which is halted
)

// SendCommand sends a command to a proxy, or to all connected proxies if Proxy is empty. Commands are lost with the
// connection and sent again after ProxyConnected.
type SendCommand struct {
	Proxy   string
	Command Command
	Target
}

// VersionDecided reports the decision on a version. It is emitted once for each version.
type VersionDecided struct {
	Version uint64
	Decision
}

// Fetch requests the body of a version. The caller answers with BodyReceived.
type Fetch struct{ Target }

// Compile checks and compiles a body. The caller answers with CompileDone.
type Compile struct{ Target }

// SendConfirmation sends a confirmation to a control-plane node, or to all connected ones if To is empty.
type SendConfirmation struct {
	To          string
	Incarnation uint64
	Target
	NotReadable bool
}

// Activate makes a version serve all requests that start from now on.
type Activate struct{ Target }

// Discard releases a version that is not active.
type Discard struct{ Target }

// FreshnessChanged reports whether the active version is recent enough for the proxy to report itself as ready.
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

// Stage is one stage of a Plan.
type Stage struct {
	Proxies  int           // number of proxies in each zone that are asked to prepare the version; 0: all
	Zones    int           // number of zones; 0: all
	MinShare float64       // share of the asked proxies in each zone that must confirm, rounded up to whole proxies
	MinTotal int           // confirmations needed in all zones together, at least 1
	Soak     time.Duration // between enough confirmations and the next stage
	Timeout  time.Duration // the version is halted if the stage lacks confirmations for this long
}

// Plan sets how versions are rolled out.
type Plan struct {
	Stages                 []Stage
	LeaseDiscoveryDuration time.Duration // wait of a starting node until it knows all leases: a lease's duration
	MaxEndedProxies        int           // number of ended proxies that halts a version; 0: no limit
	MaxNotReadable         int           // number of proxies that cannot compile a version that halts it; 0: no limit
	MinAttempts            float64       // attempts with and without the version before a comparison; 0: never compared
	MaxExtraFailures       float64       // excess of the failure ratio over that of proxies without the version
	MaxExtraLatencyMS      float64       // excess of the mean latency, or of the mean added time, over theirs
}
