package controlplane

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/gateway/session"
)

// acceptRetryInterval is the pause after an Accept error, such as too many open files.
const acceptRetryInterval = 50 * time.Millisecond

// peer is another control-plane node.
type peer struct {
	node   rpc.Node
	conn   *rpc.Conn // the connection that this node dialled; nil while disconnected
	synced bool      // the first message of the peer has arrived, which contains its endpoint table
}

// proxyConn is an open connection of a proxy.
type proxyConn struct {
	node        rpc.Node
	conn        *rpc.Conn
	lastRenewal uint64 // number of the newest lease renewal that was received
}

// onDialledMessage handles a message on a connection that this node dialled.
func (s *Server) onDialledMessage(name string, conn *rpc.Conn, m *rpc.Message) {
	if m.Hello != nil {
		s.onPeerConnected(name, conn, m.Hello)
	}
	s.onPeerMessage(name, conn, m)
}

func (s *Server) onPeerConnected(name string, conn *rpc.Conn, hello *rpc.Hello) {
	p := s.peers[name]
	if p == nil {
		p = &peer{}
		s.peers[name] = p
	}
	p.node, p.conn, p.synced = hello.Node, conn, true
	s.log.Info("peer connected", logfield.Peer, name)
	conn.Send(&rpc.Message{
		KnownPeers:     s.knownNodes(),
		EndpointUpdate: rpc.EndpointUpdate{Endpoints: s.registry.All(s.now())},
	})
	s.step(consensus.PeerConnected(peerIdentity(hello)))
}

func peerIdentity(hello *rpc.Hello) consensus.PeerIdentified {
	return consensus.PeerIdentified{
		Node:             hello.Node,
		StoreID:          hello.StoreID,
		MayHaveLostState: hello.MayHaveLostState,
		Origin:           hello.Origin,
	}
}

func (s *Server) onPeerDisconnect(name string, _ *rpc.Conn) {
	s.peers[name].conn = nil
	s.log.Info("peer disconnected", logfield.Peer, name)
	s.step(consensus.PeerDisconnected{Name: name})
}

// acceptConnections accepts and serves the connections of proxies and peers.
func (s *Server) acceptConnections() {
	for {
		netConn, err := s.options.Listener.Accept()
		if err == nil {
			go s.serveConnection(rpc.NewConn(netConn))
			continue
		}
		select {
		case <-s.queue.Stopped():
			return
		case <-s.options.Clock.After(acceptRetryInterval):
		}
	}
}

// acceptedConn is a connection that a peer or a proxy dialled. Only the owner uses the fields below hello.
type acceptedConn struct {
	conn  *rpc.Conn
	hello rpc.Hello // of the sender

	handshake session.Handshake // 0 until this node has answered hello
	completed bool              // the sender has answered this node's Hello
}

// serveConnection passes the messages of an accepted connection to the owner until the connection ends.
func (s *Server) serveConnection(conn *rpc.Conn) {
	var accepted *acceptedConn
	for {
		m, err := conn.Receive(connTimeout)
		if err != nil {
			break
		}
		isFirst := accepted == nil
		if hasHello := m.Hello != nil; hasHello != isFirst { // protocol error
			break
		}
		if isFirst {
			accepted = &acceptedConn{conn: conn, hello: *m.Hello}
			s.queue.Do(func() { s.onHello(accepted) })
			continue
		}
		s.queue.Do(func() { s.onAcceptedMessage(accepted, m) })
	}
	conn.Close()
	if accepted != nil {
		s.queue.Do(func() { s.onAcceptedClosed(accepted) })
	}
}

func (s *Server) acceptedSessions(a *acceptedConn) *session.Sessions {
	if a.hello.IsProxy {
		return &s.acceptedProxies
	}
	return &s.acceptedPeers
}

// onHello answers the first message of an accepted connection. The connection becomes the current one of the sender
// only with the sender's next message: the Hello may be that of a process that has ended since, while this process was
// suspended.
func (s *Server) onHello(a *acceptedConn) {
	if s.acceptedSessions(a).IsPast(&a.hello) {
		a.conn.Close()
		s.onConnectionRefused(&a.hello)
		return
	}
	a.handshake = s.acceptedSessions(a).StartHandshake()
	if a.hello.IsProxy {
		s.onProxyHello(a)
	} else {
		s.onPeerHello(a)
	}
}

// onAcceptedMessage handles a message after the Hello if its connection is the current one of the sender. Messages on
// an older connection are dropped: one that is read late, after this process was suspended, must not renew a lease.
func (s *Server) onAcceptedMessage(a *acceptedConn, m *rpc.Message) {
	if a.handshake == 0 {
		return // refused
	}
	if !a.completed {
		a.completed = true
		s.onHandshakeCompleted(a)
	}
	if !s.acceptedSessions(a).IsCurrent(a.hello.Node.Name, a.conn) {
		return
	}
	if a.hello.IsProxy {
		s.onProxyMessage(a.conn, m)
	} else {
		s.onPeerMessage(a.hello.Node.Name, a.conn, m)
	}
}

// onHandshakeCompleted makes an accepted connection the current one of the sender, unless a later one is known.
func (s *Server) onHandshakeCompleted(a *acceptedConn) {
	_, ok := s.acceptedSessions(a).Register(&a.hello, a.handshake, a.conn)
	switch {
	case !ok && s.acceptedSessions(a).IsPast(&a.hello):
		s.onConnectionRefused(&a.hello)
	case ok && !a.hello.IsProxy:
		s.log.Info("peer connection accepted", logfield.Peer, a.hello.Node.Name,
			logfield.Incarnation, formatIncarnation(a.hello.Incarnation))
		s.step(peerIdentity(&a.hello))
	}
}

// onConnectionRefused counts a connection that was refused because a later incarnation of its sender is known. The
// sender dials again and again, so each incarnation is logged only once.
func (s *Server) onConnectionRefused(from *rpc.Hello) {
	s.metrics.connectionsRefused.Inc()
	name := from.Node.Name
	if s.lastRefused[name] == from.Incarnation {
		return
	}
	s.lastRefused[name] = from.Incarnation
	s.log.Warn("connection of an earlier incarnation refused", logfield.Peer, name,
		logfield.Incarnation, formatIncarnation(from.Incarnation))
}

func formatIncarnation(incarnation uint64) string { return fmt.Sprintf("%016x", incarnation) }

// onPeerHello answers the Hello of a peer. If this node has no connection to the peer, it dials at once instead of
// waiting for the next retry, which speeds up the start of a whole cluster.
func (s *Server) onPeerHello(a *acceptedConn) {
	node := a.hello.Node
	s.connectNodes(node)
	if p := s.peers[node.Name]; p == nil || p.conn == nil {
		s.dialer.RetryNow(node.Address)
	}
	a.conn.Send(&rpc.Message{
		Hello:      s.hello(),
		KnownPeers: s.knownNodes(),
		EndpointUpdate: rpc.EndpointUpdate{
			Endpoints:       s.registry.All(s.now()),
			EndpointsSynced: s.endpointsSynced,
		},
	})
}

func (s *Server) onAcceptedClosed(a *acceptedConn) {
	s.acceptedSessions(a).Unregister(a.hello.Node.Name, a.conn)
	if p := s.proxies[a.conn]; p != nil {
		delete(s.proxies, a.conn)
		s.steering.stopSteering(p)
	}
}

// onPeerMessage handles a message of a peer on either connection, the dialled or the accepted one. Direct responses use
// the same connection; messages of the replica use the dialled one.
func (s *Server) onPeerMessage(name string, conn *rpc.Conn, m *rpc.Message) {
	if m.RenewLease > 0 && m.Ack == 0 { // a keep-alive, which is answered so that there is traffic in both directions
		conn.Send(&rpc.Message{Lease: rpc.Lease{LeaseRenewed: m.RenewLease}})
	}
	s.connectNodes(m.KnownPeers...)
	s.onEndpointUpdate(&m.EndpointUpdate)
	if m.WantAck > 0 {
		s.storeDepartures(m.Endpoints, func() {
			conn.Send(&rpc.Message{Acknowledgement: rpc.Acknowledgement{Ack: m.WantAck}})
		})
	}
	if m.Ack > 0 {
		s.onAck(name, m.Ack)
	}
	if m.StoreID != "" {
		s.step(consensus.MessageReceived{From: name, Message: m})
	}
}

// connectNodes makes the dialer connect to the given nodes and keep the connections.
func (s *Server) connectNodes(nodes ...rpc.Node) {
	for _, node := range nodes {
		if node.Name != "" && node.Name != s.self.Name {
			s.dialer.Connect(node.Address)
		}
	}
}

// knownNodes returns all known control-plane nodes, including this one, sorted by name.
func (s *Server) knownNodes() []rpc.Node {
	all := []rpc.Node{s.self}
	for _, p := range s.peers {
		if p.node.Name != "" {
			all = append(all, p.node)
		}
	}
	slices.SortFunc(all, func(a, b rpc.Node) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (s *Server) broadcastToPeers(m *rpc.Message) {
	for _, p := range s.peers {
		if p.conn != nil {
			p.conn.Send(m)
		}
	}
}
