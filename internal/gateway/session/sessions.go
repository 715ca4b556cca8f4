package session

import (
	"slices"

	"elmfold/internal/gateway/rpc"
)

// maxPastIncarnations bounds what is remembered of one peer.
const maxPastIncarnations = 16

// Sessions holds the current connection of each peer, by name. The zero value is empty. It belongs to one goroutine.
type Sessions struct {
	// PreferNewest lets the later of two connections of one incarnation replace the earlier. It is for the side that
	// accepts: a peer that dials again has given the earlier one up. Otherwise the earlier one stays.
	PreferNewest bool

	byName map[string]*peerSession
}

type peerSession struct {
	conn        *rpc.Conn // nil: none
	incarnation uint64    // the newest that was seen
	past        []uint64  // incarnations before it, at most maxPastIncarnations
}

// Register makes conn the current connection of the peer whose Hello came on it. replaced is the connection that was
// current before, which is closed (nil: none). ok is false, and conn is closed, if conn must not be used: another
// connection of that incarnation is current, or a later incarnation was seen.
func (s *Sessions) Register(hello *rpc.Hello, conn *rpc.Conn) (replaced *rpc.Conn, ok bool) {
	p := s.peer(hello)
	if !s.accepts(p, hello.Incarnation, conn) {
		conn.Close()
		return nil, false
	}
	p.enter(hello.Incarnation)
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
	taken := p.incarnation == incarnation && p.conn != nil && p.conn != conn
	return !taken || s.PreferNewest
}

// enter notes that the peer runs under an incarnation now.
func (p *peerSession) enter(incarnation uint64) {
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
