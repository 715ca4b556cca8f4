package controlplane

import (
	"elmfold/internal/gateway/rpc"
)

// onProxyHello answers the Hello of a proxy with the complete state that it needs. From then on it is sent each change.
func (s *Server) onProxyHello(a *acceptedConn) {
	s.proxies[a.conn] = &proxyConn{node: a.hello.Node, conn: a.conn}
	s.sendInitialState(a.conn)
}

// onProxyMessage handles a message of a proxy on its current connection.
func (s *Server) onProxyMessage(conn *rpc.Conn, m *rpc.Message) {
	p := s.proxies[conn]
	if m.RenewLease > 0 {
		s.onLeaseRenewal(p, m)
	}
	for _, name := range m.FetchRegisters {
		s.sendRegister(conn, name)
	}
	if m.ReleaseLease {
		s.registry.ReleaseLease(p.node.Name)
	}
}

// sendInitialState sends the complete state that a proxy needs on a new connection.
func (s *Server) sendInitialState(conn *rpc.Conn) {
	m := s.registerSnapshot()
	m.Hello, m.KnownPeers = s.hello(), s.knownNodes()
	m.Endpoints, m.EndpointsSynced = s.registry.Local(s.now()), s.endpointsSynced
	m.Proxies = s.registry.Proxies()
	m.ShardUpdate = s.sharding.all()
	conn.Send(m)
}

// registerSnapshot returns a message with the state of all registers on this node.
func (s *Server) registerSnapshot() *rpc.Message {
	m := &rpc.Message{
		NoQuorum: !s.hasQuorumNow(),
		RegisterUpdate: rpc.RegisterUpdate{
			StoredVersions:    map[string]rpc.Version{},
			CommittedVersions: map[string]rpc.Version{},
		},
	}
	m.Complete = s.replica.IsVoter() && !m.NoQuorum
	if e := s.replica.Epoch(); e.Number > 0 {
		m.Epoch = &e
	}
	for _, name := range s.replica.RegisterNames() {
		if isShardRegister(name) {
			continue
		}
		accepted, _ := s.replica.Accepted(name)
		m.StoredVersions[name] = accepted.Version
		r, committed := s.replica.CommittedValue(name)
		if !committed {
			continue
		}
		m.CommittedVersions[name] = r.Version
		if name != configRegister { // the configuration is large, so a proxy fetches it from one node only
			m.CommittedValues = append(m.CommittedValues, r)
		}
	}
	return m
}

// onLeaseRenewal renews the lease of a proxy and handles the load report in the same message.
func (s *Server) onLeaseRenewal(p *proxyConn, m *rpc.Message) {
	p.conn.Send(&rpc.Message{Lease: rpc.Lease{LeaseRenewed: m.RenewLease}, NoQuorum: !s.hasQuorumNow()})
	p.lastRenewal = m.RenewLease
	s.registry.RenewLease(s.now(), rpc.ProxyInfo{Name: p.node.Name, Zone: p.node.Zone})
	s.steering.onReport(p, &m.LoadReport)
	s.sharding.onKeyUsage(m.KeyUsage)
}

func (s *Server) sendRegister(conn *rpc.Conn, name string) {
	r, committed := s.replica.CommittedValue(name)
	if !committed {
		return
	}
	conn.Send(&rpc.Message{RegisterUpdate: rpc.RegisterUpdate{
		CommittedValues:   []rpc.Register{r},
		CommittedVersions: map[string]rpc.Version{name: r.Version},
	}})
}

// broadcastToProxies sends a message to all proxies. The message is encoded only once.
func (s *Server) broadcastToProxies(m *rpc.Message) {
	body := rpc.Encode(m)
	for conn := range s.proxies {
		conn.SendEncoded(body)
	}
}
