package rpc

// Node is a process of the gateway.
type Node struct {
	Name           string `cbor:"1,keyasint"`
	Zone           string `cbor:"2,keyasint,omitempty"`
	Address        string `cbor:"3,keyasint"`           // "ip:port" for connections of this package
	ControlAddress string `cbor:"4,keyasint,omitempty"` // "ip:port" for operators and endpoints; empty for a proxy
}

// BallotNumber is the number of a Paxos ballot. Ballots are ordered by Round, then by Incarnation. The zero value comes
// before all others.
type BallotNumber struct {
	_           struct{} `cbor:",toarray"`
	Round       uint64   // epoch number in the upper 16 bits, counter in the lower 48 bits
	Incarnation uint64   // of the proposer, which makes the number unique
}

// Less reports whether b comes before o.
func (b BallotNumber) Less(o BallotNumber) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Incarnation < o.Incarnation
}

// Version is the version of a register's value. Versions are ordered by Number, then by ID. The zero Version means that
// there is no value.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // configuration: its generation; evacuation: increasing Unix time in ms
	ID     uint64   // configuration: xxh3 hash of its body; evacuation: a random number
}

// Less reports whether v comes before o.
func (v Version) Less(o Version) bool {
	return v.Number < o.Number || v.Number == o.Number && v.ID < o.ID
}

// Register is a named value with its version.
type Register struct {
	Name    string  `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"`
	Value   []byte  `cbor:"3,keyasint,omitempty"`
}

// PaxosKind is the kind of a PaxosMessage.
type PaxosKind uint8

// Kinds of Paxos messages: the requests and responses of the two phases, and the rejection of a request.
const (
	Prepare   PaxosKind = iota + 1 // phase 1a
	Promise                        // phase 1b
	Accept                         // phase 2a
	Accepted                       // phase 2b
	Preempted                      // rejection: the acceptor has promised the higher ballot PaxosMessage.Ballot
)

// PaxosMessage is a message of a Paxos ballot for one register.
type PaxosMessage struct {
	Kind           PaxosKind    `cbor:"1,keyasint"`
	Register       string       `cbor:"2,keyasint"`
	Ballot         BallotNumber `cbor:"3,keyasint"`
	AcceptedBallot BallotNumber `cbor:"4,keyasint,omitempty"` // Promise: the ballot under which Value was accepted
	Value          *Register    `cbor:"5,keyasint,omitempty"` // Promise: the accepted value; Accept: the proposed value
	// ValueAge is, in a Promise or Accept, the time in ms since Value was chosen, plus 1. 0 means unknown.
	ValueAge uint64 `cbor:"6,keyasint,omitempty"`
}

// ChosenValue is a chosen value with the ballot that chose it.
type ChosenValue struct {
	Ballot   BallotNumber `cbor:"1,keyasint"`
	Register Register     `cbor:"2,keyasint"`
	ValueAge uint64       `cbor:"3,keyasint,omitempty"` // as in a PaxosMessage
}
