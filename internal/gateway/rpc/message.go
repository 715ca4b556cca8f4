package rpc

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes limits the body of a frame. The largest allowed configuration fits into it.
const MaxFrameBytes = 16 << 20

// Message is the body of a frame. The fields of the embedded types are encoded in the same CBOR map. A message usually
// sets only a few fields; receivers ignore empty ones.
type Message struct {
	Acknowledgement
	Hello *Hello `cbor:"3,keyasint,omitempty"` // only in the first message of a connection
	RegisterUpdate
	Consensus
	// NoQuorum reports that the sender has no quorum contact, so that its state may be outdated.
	NoQuorum bool `cbor:"37,keyasint,omitempty"`
	// KnownPeers are all control-plane nodes that the sender knows.
	KnownPeers []Node `cbor:"11,keyasint,omitempty"`
	EndpointUpdate
	Lease
	LoadReport
	RoutingTables []RoutingTable `cbor:"22,keyasint,omitempty"`
	ProxyChanges
	ShardUpdate
}

// Hello identifies the sender at the start of a connection.
type Hello struct {
	Node             Node   `cbor:"1,keyasint"`
	Incarnation      uint64 `cbor:"2,keyasint"` // chosen at random at the start of the process
	IsProxy          bool   `cbor:"3,keyasint,omitempty"`
	StoreID          string `cbor:"4,keyasint,omitempty"` // of a control-plane node's disk
	MayHaveLostState bool   `cbor:"5,keyasint,omitempty"` // the disk may have lost an epoch or votes
	Origin           Origin `cbor:"6,keyasint,omitzero"`  // of the disk
}

// Acknowledgement requests or confirms the receipt of a message.
type Acknowledgement struct {
	WantAck uint64 `cbor:"1,keyasint,omitempty"` // if not 0, the receiver replies with an Ack of this number
	Ack     uint64 `cbor:"2,keyasint,omitempty"`
}

// RegisterUpdate reports the registers of a control-plane node, or requests their values.
type RegisterUpdate struct {
	CommittedValues []Register `cbor:"4,keyasint,omitempty"`
	// StoredVersions are the versions on the sender's disk by register, whether committed or not.
	StoredVersions    map[string]Version `cbor:"5,keyasint,omitempty"`
	CommittedVersions map[string]Version `cbor:"6,keyasint,omitempty"` // by register
	FetchRegisters    []string           `cbor:"7,keyasint,omitempty"` // names of the requested registers
}

// Consensus carries the consensus protocol between control-plane nodes. The receiver ignores it unless the sender is a
// voter of the receiver's own epoch, except for Epoch and for chosen values.
type Consensus struct {
	EpochNumber uint64 `cbor:"27,keyasint,omitempty"` // the sender's epoch
	StoreID     string `cbor:"28,keyasint,omitempty"` // of the sender's disk
	ClusterID   uint64 `cbor:"38,keyasint,omitempty"` // of the sender's epoch
	// Epoch is the latest decided epoch that the sender knows. It is sent to proxies too.
	Epoch         *Epoch                  `cbor:"29,keyasint,omitempty"`
	Paxos         []PaxosMessage          `cbor:"30,keyasint,omitempty"`
	ChosenBallots map[string]BallotNumber `cbor:"31,keyasint,omitempty"` // by register; their values are chosen
	ChosenValues  []ChosenValue           `cbor:"32,keyasint,omitempty"`
	// AcceptedBallots are the ballots accepted by the sender's disk, by register.
	AcceptedBallots map[string]BallotNumber `cbor:"33,keyasint,omitempty"`
	// Complete reports that AcceptedBallots has every register of the sender. In a message to a proxy, it reports that
	// the sender is a voter and has quorum contact.
	Complete     bool   `cbor:"9,keyasint,omitempty"`
	QueryState   bool   `cbor:"8,keyasint,omitempty"`  // requests a reply with AcceptedBallots and Complete
	QueryID      uint64 `cbor:"24,keyasint,omitempty"` // of a QueryState or Ping; repeated in the reply
	Ping         bool   `cbor:"34,keyasint,omitempty"`
	Pong         bool   `cbor:"35,keyasint,omitempty"`
	ShuttingDown bool   `cbor:"36,keyasint,omitempty"` // the sender hands over its state and shuts down
	// WaitingFor are the registers for which the sender's proposals wait for those of another node. It is a hint.
	WaitingFor []string `cbor:"39,keyasint,omitempty"`
	// NextProposers are the names of the nodes that should propose next, by register. They are hints.
	NextProposers map[string]string `cbor:"40,keyasint,omitempty"`
}

// EndpointUpdate reports changed endpoints.
type EndpointUpdate struct {
	Endpoints       []Endpoint `cbor:"13,keyasint,omitempty"`
	EndpointsSynced bool       `cbor:"14,keyasint,omitempty"` // the sender knows all endpoints that its peers know
}

// Lease renews a proxy's lease or confirms the renewal.
type Lease struct {
	// RenewLease is the increasing number of the renewal. Between control-plane nodes it serves as a heartbeat.
	RenewLease   uint64      `cbor:"15,keyasint,omitempty"`
	LeaseRenewed uint64      `cbor:"16,keyasint,omitempty"` // RenewLease of the confirmed renewal
	Proxies      []ProxyInfo `cbor:"17,keyasint,omitempty"` // in a first message: all proxies that hold a lease
}

// LoadReport has a proxy's statistics since its last report.
type LoadReport struct {
	ServiceLoads    []ServiceLoad    `cbor:"18,keyasint,omitempty"`
	EndpointReports []EndpointReport `cbor:"19,keyasint,omitempty"`
	ReportSeconds   float64          `cbor:"20,keyasint,omitempty"` // time that the report covers
	// WantTables selects the receiver as the node that sends routing tables to this proxy.
	WantTables bool `cbor:"21,keyasint,omitempty"`
}

// ProxyChanges reports the proxies that acquired or lost their lease, as changes to Lease.Proxies. ReleaseLease gives
// up the sender's own lease.
type ProxyChanges struct {
	ProxiesAdded   []ProxyInfo `cbor:"25,keyasint,omitempty"`
	ProxiesRemoved []string    `cbor:"26,keyasint,omitempty"` // names; applied before ProxiesAdded
	ReleaseLease   bool        `cbor:"23,keyasint,omitempty"`
}

// Encode encodes a message as the body of a frame. The result may be sent on several connections.
func Encode(m *Message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("rpc: %v", err)) // impossible: all field types can be encoded
	}
	return body
}

// Decode decodes the body of a frame. It ignores unknown fields.
func Decode(body []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}
