package rpc

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes bounds the body of one frame: a configuration at its largest, with room to spare.
const MaxFrameBytes = 16 << 20

// Message is the body of one frame. Its parts are embedded, so that the keys of all of them stand side by side on the
// wire; each use sets a few fields only, and the handler of each part ignores a part that is empty.
type Message struct {
	Acknowledgement
	Hello *Hello `cbor:"3,keyasint,omitempty"` // in the first message of a connection only
	RegisterUpdate
	Consensus
	// NoQuorum says that the sender has no quorum contact: what it says was true once and may be outdated.
	NoQuorum bool `cbor:"37,keyasint,omitempty"`
	// KnownPeers are all control-plane nodes that the sender has heard of.
	KnownPeers []Node `cbor:"11,keyasint,omitempty"`
	EndpointUpdate
	Lease
	LoadReport
	RoutingTables []RoutingTable `cbor:"22,keyasint,omitempty"`
	ProxyChanges
}

// Hello says who opens a connection.
type Hello struct {
	Node             Node   `cbor:"1,keyasint"`
	Incarnation      uint64 `cbor:"2,keyasint"` // drawn at the start of the process
	IsProxy          bool   `cbor:"3,keyasint,omitempty"`
	StoreID          string `cbor:"4,keyasint,omitempty"` // of a control-plane node's disk
	MayHaveLostState bool   `cbor:"5,keyasint,omitempty"` // that disk may have forgotten that there is an epoch
	Origin           Origin `cbor:"6,keyasint,omitzero"`  // of that disk
}

// Acknowledgement asks for, or gives, the receipt of a message.
type Acknowledgement struct {
	WantAck uint64 `cbor:"1,keyasint,omitempty"` // not 0: the receiver answers with an Ack of this number
	Ack     uint64 `cbor:"2,keyasint,omitempty"`
}

// RegisterUpdate tells a proxy of the registers that a control-plane node holds, and lets a receiver fetch one.
type RegisterUpdate struct {
	CommittedValues []Register `cbor:"4,keyasint,omitempty"`
	// by register: what the sender's disk has, committed or not
	StoredVersions    map[string]Version `cbor:"5,keyasint,omitempty"`
	CommittedVersions map[string]Version `cbor:"6,keyasint,omitempty"` // by register
	FetchRegisters    []string           `cbor:"7,keyasint,omitempty"` // names of registers whose values the sender wants
}

// Consensus is what control-plane nodes tell each other to decide registers. It counts only if it comes from a voter of
// the receiver's own epoch, but for the epoch itself and for values that were chosen.
type Consensus struct {
	EpochNumber uint64 `cbor:"27,keyasint,omitempty"` // of the epoch in which all of this is said
	StoreID     string `cbor:"28,keyasint,omitempty"` // of the sender's disk
	ClusterID   uint64 `cbor:"38,keyasint,omitempty"` // of that epoch
	// the newest that the sender knows to be decided; to proxies too
	Epoch         *Epoch                  `cbor:"29,keyasint,omitempty"`
	Paxos         []PaxosMessage          `cbor:"30,keyasint,omitempty"`
	ChosenBallots map[string]BallotNumber `cbor:"31,keyasint,omitempty"` // by register: a ballot whose value is chosen
	ChosenValues  []ChosenValue           `cbor:"32,keyasint,omitempty"`
	// by register: what the sender's disk has accepted
	AcceptedBallots map[string]BallotNumber `cbor:"33,keyasint,omitempty"`
	// Complete says that AcceptedBallots names every register of the sender. To a proxy it says that the sender votes
	// and has quorum contact.
	Complete     bool   `cbor:"9,keyasint,omitempty"`
	QueryState   bool   `cbor:"8,keyasint,omitempty"`  // the receiver answers with its AcceptedBallots, Complete
	QueryID      uint64 `cbor:"24,keyasint,omitempty"` // of a QueryState or Ping, repeated in its answer
	Ping         bool   `cbor:"34,keyasint,omitempty"`
	Pong         bool   `cbor:"35,keyasint,omitempty"`
	ShuttingDown bool   `cbor:"36,keyasint,omitempty"` // the sender hands over its state and ends
	// WaitingFor are registers for which the sender has proposals that wait for another node's. It is a hint.
	WaitingFor []string `cbor:"39,keyasint,omitempty"`
	// NextProposers are, by register, the names of the nodes whose proposals should come next. They are hints.
	NextProposers map[string]string `cbor:"40,keyasint,omitempty"`
}

// EndpointUpdate tells of endpoints that changed.
type EndpointUpdate struct {
	Endpoints       []Endpoint `cbor:"13,keyasint,omitempty"`
	EndpointsSynced bool       `cbor:"14,keyasint,omitempty"` // the sender knows of endpoints all that its peers know
}

// Lease renews a proxy's lease and answers the renewal.
type Lease struct {
	// number of the renewal, rising; control-plane nodes use it as a keep-alive
	RenewLease   uint64      `cbor:"15,keyasint,omitempty"`
	LeaseRenewed uint64      `cbor:"16,keyasint,omitempty"` // the number that is answered
	Proxies      []ProxyInfo `cbor:"17,keyasint,omitempty"` // in a first message: all that hold a lease
}

// LoadReport is what a proxy has seen since its last report.
type LoadReport struct {
	ServiceLoads    []ServiceLoad    `cbor:"18,keyasint,omitempty"`
	EndpointReports []EndpointReport `cbor:"19,keyasint,omitempty"`
	ReportSeconds   float64          `cbor:"20,keyasint,omitempty"` // that the report covers
	// the sender wants its routing tables from the receiver
	WantTables bool `cbor:"21,keyasint,omitempty"`
}

// ProxyChanges says which proxies got or lost their lease since the first message of the connection, and gives the
// sender's own lease back.
type ProxyChanges struct {
	ProxiesAdded   []ProxyInfo `cbor:"25,keyasint,omitempty"`
	ProxiesRemoved []string    `cbor:"26,keyasint,omitempty"` // names; a proxy that stands in both left first
	ReleaseLease   bool        `cbor:"23,keyasint,omitempty"`
}

// Encode makes the body of a frame, once for any number of connections.
func Encode(m *Message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("rpc: %v", err)) // cannot fail: all fields above are plain data
	}
	return body
}

// Decode reads the body of a frame. Fields that it does not know are ignored.
func Decode(body []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}
