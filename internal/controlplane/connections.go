package controlplane

import (
	"slices"
	"strings"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
)

// acceptRetryInterval is the pause after an error of the listener, such as too many open files.
const acceptRetryInterval = 50 * time.Millisecond

// peer is another control-plane node.
type peer struct {
	node   rpc.Node
	conn   *rpc.Conn // that was dialled from here; nil: none is up
	synced bool      // its first message on a connection has come
}

// proxyConn is a proxy with its current connection.
type proxyConn struct {
	node        rpc.Node
	conn        *rpc.Conn
	lastRenewal uint64 // the newest that was received
}

// onDialledMessage handles a message on a connection that was dialled from here.
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
	s.step(consensus.PeerConnected(identityOf(hello)))
}

func identityOf(hello *rpc.Hello) consensus.PeerIdentified {
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

// acceptConnections serves the connections that others dial.
func (s *Server) acceptConnections() {
	for {
		netConn, err := s.options.Listener.Accept()
		if err == nil {
			go s.serve(rpc.NewConn(netConn))
			continue
		}
		select {
		case <-s.queue.Stopped():
			return
		case <-s.options.Clock.After(acceptRetryInterval):
		}
	}
}

// serve hands the messages of an accepted connection to the owner until it ends.
func (s *Server) serve(conn *rpc.Conn) {
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
			break // a connection begins with Hello
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

// onAcceptedMessage handles a message of a connection if that is the current one. A message on an old connection
// that is read late, after the process was suspended, must not renew a lease.
func (s *Server) onAcceptedMessage(from rpc.Hello, conn *rpc.Conn, m *rpc.Message) {
	name := from.Node.Name
	if from.IsProxy {
		if m.Hello != nil {
			s.acceptedProxies.Register(m.Hello, conn)
		}
		if s.acceptedProxies.IsCurrent(name, conn) {
			s.onProxyMessage(from, conn, m)
		}
		return
	}
	if m.Hello != nil {
		if _, ok := s.acceptedPeers.Register(m.Hello, conn); !ok {
			return
		}
		s.onPeerAccepted(from, conn)
	}
	if s.acceptedPeers.IsCurrent(name, conn) {
		s.onPeerMessage(name, conn, m)
	}
}

// onPeerAccepted answers the Hello of a peer. A peer to which no connection is up from here is dialled at once: after a
// loss of all power each moment counts.
func (s *Server) onPeerAccepted(from rpc.Hello, conn *rpc.Conn) {
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
	s.step(identityOf(&from))
}

func (s *Server) onAcceptedClosed(from rpc.Hello, conn *rpc.Conn) {
	if from.IsProxy {
		s.acceptedProxies.Unregister(from.Node.Name, conn)
	} else {
		s.acceptedPeers.Unregister(from.Node.Name, conn)
	}
	if p := s.proxies[conn]; p != nil {
		delete(s.proxies, conn)
		s.steering.leave(p)
	}
}

// onPeerMessage handles a message of a peer, on whichever connection. Answers go out on the one that was dialled from
// here, as those of the replica do, or on the connection itself.
func (s *Server) onPeerMessage(name string, conn *rpc.Conn, m *rpc.Message) {
	if m.RenewLease > 0 && m.Ack == 0 { // a keep-alive: both directions say something each second
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

// connectNodes keeps connections to nodes that were heard of.
func (s *Server) connectNodes(nodes ...rpc.Node) {
	for _, node := range nodes {
		if node.Name != "" && node.Name != s.self.Name {
			s.dialer.Connect(node.Address)
		}
	}
}

// knownNodes are all control-plane nodes, the own one included, sorted by name.
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
