package controlplane

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
)

// acceptRetryInterval is the pause after an Accept error, such as too many open files.
const acceptRetryInterval = 50 * time.Millisecond

// peer is another control-plane node.
type peer struct {
	node   rpc.Node
	conn   *rpc.Conn // the connection that this node dialled; nil while disconnected
	synced bool      // the first message of the peer has arrived, which contains its endpoint table
}

// proxyConn is the current connection of a proxy.
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

// serveConnection passes the messages of an accepted connection to the owner until the connection ends.
func (s *Server) serveConnection(conn *rpc.Conn) {
	var hello *rpc.Hello
	for {
		m, err := conn.Receive(connTimeout)
		if err != nil {
			break
		}
		if m.Hello != nil {
			hello = m.Hello
		}
		if hello == nil {
			break // the first message must contain Hello
		}
		from := *hello
		s.queue.Do(func() { s.onAcceptedMessage(from, conn, m) })
	}
	conn.Close()
	if hello != nil {
		from := *hello
		s.queue.Do(func() { s.onAcceptedClosed(from, conn) })
	}
}

// onAcceptedMessage handles a message if its connection is the current one of the sender. Messages on an older
// connection are dropped: one that is read late, after this process was suspended, must not renew a lease.
func (s *Server) onAcceptedMessage(from rpc.Hello, conn *rpc.Conn, m *rpc.Message) {
	name := from.Node.Name
	if from.IsProxy {
		if m.Hello != nil {
			if _, ok := s.acceptedProxies.Register(m.Hello, conn); !ok {
				s.onConnectionRefused(&from)
			}
		}
		if s.acceptedProxies.IsCurrent(name, conn) {
			s.onProxyMessage(from, conn, m)
		}
		return
	}
	if m.Hello != nil {
		if _, ok := s.acceptedPeers.Register(m.Hello, conn); !ok {
			s.onConnectionRefused(&from)
			return
		}
		s.onPeerAccepted(from, conn)
	}
	if s.acceptedPeers.IsCurrent(name, conn) {
		s.onPeerMessage(name, conn, m)
	}
}

// onConnectionRefused counts a connection that was refused because a later incarnation of its sender is known. A refused
// peer dials again and again, so each incarnation is logged only once.
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

// onPeerAccepted responds to the Hello of a peer. If this node has no connection to the peer, it dials at once instead
// of waiting for the next retry, which speeds up the start of a whole cluster.
func (s *Server) onPeerAccepted(from rpc.Hello, conn *rpc.Conn) {
	s.log.Info("peer connection accepted", logfield.Peer, from.Node.Name,
		logfield.Incarnation, formatIncarnation(from.Incarnation))
	s.connectNodes(from.Node)
	if p := s.peers[from.Node.Name]; p == nil || p.conn == nil {
		s.dialer.RetryNow(from.Node.Address)
	}
	conn.Send(&rpc.Message{
		Hello:      s.hello(),
		KnownPeers: s.knownNodes(),
		EndpointUpdate: rpc.EndpointUpdate{
			Endpoints:       s.registry.All(s.now()),
			EndpointsSynced: s.endpointsSynced,
		},
	})
	s.step(peerIdentity(&from))
}

func (s *Server) onAcceptedClosed(from rpc.Hello, conn *rpc.Conn) {
	if from.IsProxy {
		s.acceptedProxies.Unregister(from.Node.Name, conn)
	} else {
		s.acceptedPeers.Unregister(from.Node.Name, conn)
	}
	if p := s.proxies[conn]; p != nil {
		delete(s.proxies, conn)
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
		conn.Send(&rpc.Message{Acknowledgement: rpc.Acknowledgement{Ack: m.WantAck}})
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
