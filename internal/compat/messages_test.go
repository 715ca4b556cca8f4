package compat_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"elmfold/internal/gateway/rpc"
)

// fieldCases returns cases that set one field of a message each, to check its CBOR key.
func fieldCases() []struct {
	name string
	set  func(*rpc.Message)
} {
	node := rpc.Node{Name: "core-0", Zone: "north", Address: "10.0.0.10:7540", ControlAddress: "10.0.0.10:8544"}
	other := rpc.Node{Name: "core-1", Zone: "south", Address: "10.0.0.11:7540", ControlAddress: "10.0.0.11:8544"}
	ballot := rpc.BallotNumber{Round: 1<<48 | 7, Incarnation: 0xfedcba9876543210}
	older := rpc.BallotNumber{Round: 3, Incarnation: 4}
	version := rpc.Version{Number: 1<<48 | 7, ID: 0xfedcba9876543210}
	value := rpc.Register{Name: "charter", Version: rpc.Version{Number: 3, ID: 4}, Value: []byte("value")}
	ballots := map[string]rpc.BallotNumber{"charter": ballot}
	versions := map[string]rpc.Version{"charter": version}
	return []struct {
		name string
		set  func(*rpc.Message)
	}{
		{"empty", func(*rpc.Message) {}},
		{"seq", func(m *rpc.Message) { m.WantAck = 1 }},
		{"reply", func(m *rpc.Message) { m.Ack = 2 }},
		{"hello-of-a-proxy", func(m *rpc.Message) {
			m.Hello = &rpc.Hello{
				Node:        rpc.Node{Name: "edge-0", Zone: "north", Address: "10.0.0.100:7540"},
				Incarnation: 77,
				IsProxy:     true,
			}
		}},
		{"hello-of-a-controlplane-node", func(m *rpc.Message) {
			m.Hello = &rpc.Hello{Node: node, Incarnation: 78, StoreID: "0123456789abcdef", MayHaveLostState: true}
		}},
		{"offers", func(m *rpc.Message) { m.CommittedValues = []rpc.Register{value} }},
		{"held", func(m *rpc.Message) { m.StoredVersions = versions }},
		{"safe", func(m *rpc.Message) { m.CommittedVersions = versions }},
		{"want", func(m *rpc.Message) { m.FetchRegisters = []string{"charter"} }},
		{"era", func(m *rpc.Message) { m.EpochNumber = 9 }},
		{"disk", func(m *rpc.Message) { m.StoreID = "0123456789abcdef" }},
		{"epoch", func(m *rpc.Message) {
			m.Epoch = &rpc.Epoch{Number: 5, OldVoters: []rpc.Voter{{Node: other, StoreID: "b"}},
				Voters: []rpc.Voter{{Node: node, StoreID: "a"}}, InitialSize: 3}
		}},
		{"ballot-prepare", func(m *rpc.Message) {
			m.Paxos = []rpc.PaxosMessage{{Kind: rpc.Prepare, Register: "charter", Ballot: ballot}}
		}},
		{"ballot-promise", func(m *rpc.Message) {
			m.Paxos = []rpc.PaxosMessage{
				{Kind: rpc.Promise, Register: "charter", Ballot: ballot, AcceptedBallot: older, Value: &value, ValueAge: 12},
			}
		}},
		{"ballot-accept", func(m *rpc.Message) {
			m.Paxos = []rpc.PaxosMessage{{Kind: rpc.Accept, Register: "zone/north", Ballot: ballot, Value: &value, ValueAge: 13}}
		}},
		{"ballot-accepted", func(m *rpc.Message) {
			m.Paxos = []rpc.PaxosMessage{{Kind: rpc.Accepted, Register: "charter", Ballot: ballot}}
		}},
		{"ballot-preempted", func(m *rpc.Message) {
			m.Paxos = []rpc.PaxosMessage{{Kind: rpc.Preempted, Register: "charter", Ballot: ballot}}
		}},
		{"chosen", func(m *rpc.Message) { m.ChosenBallots = ballots }},
		{"copies", func(m *rpc.Message) {
			m.ChosenValues = []rpc.ChosenValue{{Ballot: ballot, Register: value, ValueAge: 14}}
		}},
		{"has", func(m *rpc.Message) { m.AcceptedBallots = ballots }},
		{"all", func(m *rpc.Message) { m.Complete = true }},
		{"ask", func(m *rpc.Message) { m.QueryState = true }},
		{"round", func(m *rpc.Message) { m.QueryID = 15 }},
		{"ping", func(m *rpc.Message) { m.Ping = true }},
		{"pong", func(m *rpc.Message) { m.Pong = true }},
		{"leaving", func(m *rpc.Message) { m.ShuttingDown = true }},
		{"apart", func(m *rpc.Message) { m.NoQuorum = true }},
		{"know", func(m *rpc.Message) { m.KnownPeers = []rpc.Node{node, other} }},
		{"backends", func(m *rpc.Message) {
			m.Endpoints = []rpc.Endpoint{
				{
					ID:               "b-1",
					Service:          "alpha",
					Address:          "10.0.1.1:8080",
					Zone:             "north",
					Capacity:         16,
					Seq:              17,
					State:            rpc.Draining,
					WarmupRemaining:  18,
					DirectHeartbeats: true,
					Generation:       "g-2",
				},
				{ID: "b-2", State: rpc.Gone},
				{ID: "b-3", State: rpc.Ready},
			}
		}},
		{"settled", func(m *rpc.Message) { m.EndpointsSynced = true }},
		{"renew", func(m *rpc.Message) { m.RenewLease = 19 }},
		{"renewed", func(m *rpc.Message) { m.LeaseRenewed = 20 }},
		{"members", func(m *rpc.Message) { m.Proxies = []rpc.ProxyInfo{{Name: "edge-0", Zone: "north"}} }},
		{"uses", func(m *rpc.Message) {
			m.ServiceLoads = []rpc.ServiceLoad{{Service: "alpha", Requests: 21.5, Failed: 22.5}}
		}},
		{"met", func(m *rpc.Message) {
			m.EndpointReports = []rpc.EndpointReport{{ID: "b-1", Attempts: 23.5, Failed: 24.5, Latency: 25, Queued: true}}
		}},
		{"spent", func(m *rpc.Message) { m.ReportSeconds = 1.25 }},
		{"steer", func(m *rpc.Message) { m.WantTables = true }},
		{"tables", func(m *rpc.Message) {
			m.RoutingTables = []rpc.RoutingTable{
				{Service: "alpha", Full: true, Weights: map[string]float64{"b-1": 0.75}, HasRateLimit: true, RateLimit: 26.5},
			}
		}},
		{"came", func(m *rpc.Message) { m.ProxiesAdded = []rpc.ProxyInfo{{Name: "edge-1", Zone: "south"}} }},
		{"went", func(m *rpc.Message) { m.ProxiesRemoved = []string{"edge-2"} }},
		{"leave", func(m *rpc.Message) { m.ReleaseLease = true }},
	}
}

// golden reads a file of lines with a name and the hexadecimal encoding of a message.
func golden(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		b, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
		all[name] = b
	}
	return all
}

// decode receives a frame over a connection.
func decode(t *testing.T, frame []byte) *rpc.Message {
	t.Helper()
	here, there := net.Pipe()
	line := rpc.NewConn(here)
	defer line.Close()
	go func() { _, _ = there.Write(frame) }()
	m, err := line.Receive(0)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func framed(body []byte) []byte {
	frame := []byte{}
	n := len(body)
	for ; n >= 0x80; n >>= 7 {
		frame = append(frame, byte(n)|0x80)
	}
	return append(append(frame, byte(n)), body...)
}

// Each field of a message keeps the key and the encoding of d330930.
func TestMessageFieldsKeepTheirBytes(t *testing.T) {
	want := golden(t, "testdata/message-fields.txt")
	cases := fieldCases()
	if len(want) != len(cases) {
		t.Errorf("%d golden messages, %d cases", len(want), len(cases))
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &rpc.Message{}
			c.set(m)
			if got := rpc.Encode(m); !bytes.Equal(got, want[c.name]) {
				t.Errorf("encoded as %x, d330930 encoded %x", got, want[c.name])
			}
			if back := rpc.Encode(decode(t, framed(want[c.name]))); !bytes.Equal(back, want[c.name]) {
				t.Errorf("%x was decoded and encoded again as %x", want[c.name], back)
			}
		})
	}
}

// Random messages with many fields, encoded by d330930, are decoded completely. A field that was not decoded would be
// missing after encoding the message again.
func TestDrawnMessagesAreReadWhole(t *testing.T) {
	for name, body := range golden(t, "testdata/messages-drawn.txt") {
		if back := rpc.Encode(decode(t, framed(body))); !bytes.Equal(back, body) {
			t.Errorf("%s: %x was decoded and encoded again as %x", name, body, back)
		}
	}
}

// Each message is preceded by its length as a uvarint.
func TestFramesKeepTheirForm(t *testing.T) {
	here, there := net.Pipe()
	line := rpc.NewConn(here)
	defer line.Close()
	body := bytes.Repeat([]byte("x"), 300)
	line.SendEncoded(body)
	want := append([]byte{0xac, 0x02}, body...)
	got := make([]byte, len(want))
	for n := 0; n < len(got); {
		k, err := there.Read(got[n:])
		if err != nil {
			t.Fatal(err)
		}
		n += k
	}
	if !bytes.Equal(got, want) {
		t.Errorf("the frame begins with % x, want % x", got[:8], want[:8])
	}
	if fmt.Sprintf("%x", framed(body)) != fmt.Sprintf("%x", want) {
		t.Error("the frames of these tests have a different encoding")
	}
}

// Fields added after d330930, which ignores them, keep the keys and the encoding of their first version.
func TestLaterFieldsKeepTheirBytes(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*rpc.Message)
		want string
	}{
		{"cluster ID of a message", func(m *rpc.Message) { m.ClusterID = 7 }, "a1182607"},
		{"cluster ID of an epoch", func(m *rpc.Message) { m.Epoch = &rpc.Epoch{Number: 1, ClusterID: 7} },
			"a1181da3010103f60507"},
		{"origin of a disk", func(m *rpc.Message) {
			m.Hello = &rpc.Hello{Origin: rpc.Origin{Address: "a", Seeds: []string{"b"}}}
		}, "a103a301a201600360020006a201616102816162"},
		{"registers with waiting proposals", func(m *rpc.Message) { m.WaitingFor = []string{"a"} }, "a11827816161"},
		{"next proposers", func(m *rpc.Message) { m.NextProposers = map[string]string{"a": "b"} }, "a11828a161616162"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &rpc.Message{}
			c.set(m)
			if got := hex.EncodeToString(rpc.Encode(m)); got != c.want {
				t.Errorf("encoded as %s, want %s", got, c.want)
			}
		})
	}
}
