package rpc

// Node is a process of the gateway.
type Node struct {
	Name           string `cbor:"1,keyasint"`
	Zone           string `cbor:"2,keyasint,omitempty"`
	Address        string `cbor:"3,keyasint"`           // "ip:port" for connections of this package
	ControlAddress string `cbor:"4,keyasint,omitempty"` // "ip:port" for operators and endpoints; empty for a proxy
}

// BallotNumber is the proposal number of a Paxos round. Numbers are ordered by Round, then by Incarnation. The zero
// number comes before all others.
type BallotNumber struct {
	_           struct{} `cbor:",toarray"`
	Round       uint64   // the epoch in its upper 16 bits, a counter below them
	Incarnation uint64   // of the proposer, so that no two proposers use the same number
}

// Less reports whether b comes before o.
func (b BallotNumber) Less(o BallotNumber) bool {
	return b.Round < o.Round || b.Round == o.Round && b.Incarnation < o.Incarnation
}

// Version orders the values of a register: by Number, then by ID. The zero version stands for no value.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // of the configuration: its generation; of an evacuation: ms since 1970, rising
	ID     uint64   // of the configuration: the xxh3 of its body; of an evacuation: drawn for the order
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

// Kinds of Paxos messages: the requests of the two phases, their answers, and a refusal of either.
const (
	Prepare   PaxosKind = iota + 1 // phase 1a
	Promise                        // phase 1b
	Accept                         // phase 2a
	Accepted                       // phase 2b
	Preempted                      // a higher ballot was promised: PaxosMessage.Ballot is that one
)

// PaxosMessage is one message of a ballot about one register.
type PaxosMessage struct {
	Kind           PaxosKind    `cbor:"1,keyasint"`
	Register       string       `cbor:"2,keyasint"`
	Ballot         BallotNumber `cbor:"3,keyasint"`
	AcceptedBallot BallotNumber `cbor:"4,keyasint,omitempty"` // Promise: the ballot under which Value was accepted
	Value          *Register    `cbor:"5,keyasint,omitempty"` // Promise: what was accepted; Accept: what is proposed
	// Promise, Accept: ms since Value was chosen, plus 1; 0: unknown
	ValueAge uint64 `cbor:"6,keyasint,omitempty"`
}

// ChosenValue is a value that was chosen, with the ballot that chose it.
type ChosenValue struct {
	Ballot   BallotNumber `cbor:"1,keyasint"`
	Register Register     `cbor:"2,keyasint"`
	ValueAge uint64       `cbor:"3,keyasint,omitempty"` // as in a PaxosMessage
}
