package session

import (
	"slices"

	"elmfold/internal/gateway/rpc"
)

// maxPastIncarnations is the number of earlier incarnations remembered for each peer.
const maxPastIncarnations = 16

// Sessions holds the current connection of each peer by name. The zero value is empty. It is not safe for concurrent
// use.
type Sessions struct {
	// PreferNewest selects the newer of two connections from the same incarnation; otherwise the older one is kept. It is
	// for accepted connections, where a peer that connects again has abandoned its earlier connection.
	PreferNewest bool

	byName map[string]*peerSession
}

type peerSession struct {
	conn        *rpc.Conn // current connection, or nil
	incarnation uint64    // latest known incarnation
	past        []uint64  // earlier incarnations, at most maxPastIncarnations
}

// Register makes conn the current connection of the peer that sent hello on it. It closes the previous connection and
// returns it as replaced, or nil if there was none. Register refuses conn, that is, it closes conn and returns ok =
// false, if a later incarnation of the peer is known, or if another connection of the same incarnation is current and
// PreferNewest is not set.
func (s *Sessions) Register(hello *rpc.Hello, conn *rpc.Conn) (replaced *rpc.Conn, ok bool) {
	p := s.peer(hello)
	if !s.accepts(p, hello.Incarnation, conn) {
		conn.Close()
		return nil, false
	}
	p.setIncarnation(hello.Incarnation)
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

func (s *Sessions) accepts(p *peerSession, incarnation uint64, conn *rpc.Conn) bool {
	if slices.Contains(p.past, incarnation) {
		return false
	}
	hasOther := p.incarnation == incarnation && p.conn != nil && p.conn != conn
	return !hasOther || s.PreferNewest
}

// setIncarnation records the latest incarnation of the peer.
func (p *peerSession) setIncarnation(incarnation uint64) {
	if p.incarnation == incarnation {
		return
	}
	p.past = append(p.past, p.incarnation)
	if len(p.past) > maxPastIncarnations {
		p.past = slices.Delete(p.past, 0, 1)
	}
	p.incarnation = incarnation
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
