package session

import (
	"slices"
	"sync/atomic"

	"elmfold/internal/gateway/rpc"
)

// maxPastIncarnations is the number of earlier incarnations remembered for each peer.
const maxPastIncarnations = 16

// Handshake is the number of a handshake. StartHandshake numbers them from 1.
type Handshake uint64

// Sessions holds the current connection of each peer by name. The zero value is empty. It is not safe for concurrent
// use, except for StartHandshake.
//
// The order in which connections are read is not the order in which the processes at their other ends started: after a
// suspension of this process, connections of processes that have ended meanwhile are read too, in any order. Sessions
// therefore orders the processes of a peer by handshakes. The peer's process had started before its handshake was
// numbered, and its answer shows that it still ran after that. Since only one process of a peer runs at a time, the one
// with the greater number is the later one.
type Sessions struct {
	// PreferNewest selects the newer of two connections from the same incarnation; otherwise the older one is kept. It is
	// for accepted connections, where a peer that connects again has abandoned its earlier connection.
	PreferNewest bool

	byName     map[string]*peerSession
	handshakes atomic.Uint64 // number of the last handshake
}

type peerSession struct {
	conn        *rpc.Conn // current connection, or nil
	incarnation uint64    // latest known incarnation
	handshake   Handshake // last handshake that was completed by incarnation
	past        []uint64  // earlier incarnations, at most maxPastIncarnations
}

// StartHandshake numbers the handshake on a connection. It must be called once the connection is established and, if
// the peer dialled, its Hello is received; and before this process sends its own Hello.
func (s *Sessions) StartHandshake() Handshake { return Handshake(s.handshakes.Add(1)) }

// IsPast reports whether a later incarnation of the peer that sent hello is known.
func (s *Sessions) IsPast(hello *rpc.Hello) bool {
	p := s.byName[hello.Node.Name]
	return p != nil && slices.Contains(p.past, hello.Incarnation)
}

// Register makes conn the current connection of the peer that sent hello on it. It must be called when the peer has
// answered the Hello of this process, that is, has completed the handshake. Register closes the previous connection and
// returns it as replaced, or nil if there was none. It refuses conn, that is, it closes conn and returns ok = false, if
// a later incarnation of the peer is known, or if another connection of the same incarnation is preferred.
func (s *Sessions) Register(hello *rpc.Hello, handshake Handshake, conn *rpc.Conn) (replaced *rpc.Conn, ok bool) {
	p := s.peer(hello)
	if hello.Incarnation != p.incarnation && handshake < p.handshake {
		p.addPast(hello.Incarnation)
	}
	if s.IsPast(hello) || !s.isPreferred(p, hello.Incarnation, handshake, conn) {
		conn.Close()
		return nil, false
	}
	p.setIncarnation(hello.Incarnation)
	p.handshake = max(p.handshake, handshake)
	if p.conn != conn {
		replaced = p.conn
	}
	p.conn = conn
	if replaced != nil {
		replaced.Close()
	}
	return replaced, true
}

func (s *Sessions) peer(hello *rpc.Hello) *peerSession {
	name := hello.Node.Name
	if s.byName == nil {
		s.byName = map[string]*peerSession{}
	}
	if s.byName[name] == nil {
		s.byName[name] = &peerSession{incarnation: hello.Incarnation}
	}
	return s.byName[name]
}

// isPreferred reports whether conn is preferred to the current connection, if that has the same incarnation.
func (s *Sessions) isPreferred(p *peerSession, incarnation uint64, handshake Handshake, conn *rpc.Conn) bool {
	hasOther := p.incarnation == incarnation && p.conn != nil && p.conn != conn
	return !hasOther || s.PreferNewest && handshake > p.handshake
}

// setIncarnation records the latest incarnation of the peer.
func (p *peerSession) setIncarnation(incarnation uint64) {
	if p.incarnation != incarnation {
		p.addPast(p.incarnation)
		p.incarnation = incarnation
	}
}

func (p *peerSession) addPast(incarnation uint64) {
	if slices.Contains(p.past, incarnation) {
		return
	}
	p.past = append(p.past, incarnation)
	if len(p.past) > maxPastIncarnations {
		p.past = slices.Delete(p.past, 0, 1)
	}
}

// IsCurrent reports whether conn is the current connection of a peer.
func (s *Sessions) IsCurrent(name string, conn *rpc.Conn) bool {
	p := s.byName[name]
	return p != nil && p.conn == conn && conn != nil
}

// Unregister closes conn and reports whether it was the current connection of the peer.
func (s *Sessions) Unregister(name string, conn *rpc.Conn) bool {
	conn.Close()
	if !s.IsCurrent(name, conn) {
		return false
	}
	s.byName[name].conn = nil
	return true
}
