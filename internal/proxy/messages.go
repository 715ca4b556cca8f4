package proxy

import (
	"time"

	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
)

// node is what is known of a control-plane node.
type node struct {
	info            rpc.Node
	conn            *rpc.Conn // nil: none is up
	incarnation     uint64
	connectedAt     time.Duration
	disconnectedAt  time.Duration
	quorum          quorumStatus
	endpointsSynced bool // it knows of endpoints what its peers know

	// Of registers.

	hasReported bool                   // it votes, and had quorum contact when it said what it stores
	stored      map[string]rpc.Version // by register: what it stored then
	committed   rpc.Version            // the newest configuration that it said to be committed
	fetches     int                    // how often it was asked for the wanted configuration

	// Of leases.

	proxies   map[string]rpc.ProxyInfo // that hold a lease there
	renewals  renewalTimes
	renewedAt time.Duration // the sending of the newest renewal that was answered; negative: none was
}

// onMessage handles a message on the current connection to a node, part by part.
func (p *Proxy) onMessage(name string, conn *rpc.Conn, m *rpc.Message) {
	now := p.now()
	if m.Hello != nil {
		p.onConnected(now, conn, m.Hello)
	}
	n := p.nodes[name]
	if m.Hello != nil || m.StoredVersions != nil || m.LeaseRenewed > 0 { // the messages that say it
		n.quorum.update(now, m.NoQuorum)
	}
	n.endpointsSynced = n.endpointsSynced || m.EndpointsSynced
	p.connectNodes(m.KnownPeers)
	p.onEpoch(m.Epoch)
	if m.Complete {
		n.hasReported, n.stored = true, m.StoredVersions
	}
	p.onRegisterUpdate(now, n, &m.RegisterUpdate)
	for _, e := range m.Endpoints {
		p.onEndpoint(now, name, e)
	}
	p.onProxies(n, m)
	if !p.onTables(now, n, m) {
		return
	}
	p.checkReady(now)
}

// onConnected begins anew with a node: its first message says all that it knows.
func (p *Proxy) onConnected(now time.Duration, conn *rpc.Conn, hello *rpc.Hello) {
	name := hello.Node.Name
	previous := p.nodes[name]
	n := &node{
		info:        hello.Node,
		conn:        conn,
		incarnation: hello.Incarnation,
		connectedAt: now,
		renewedAt:   -1,
		proxies:     map[string]rpc.ProxyInfo{},
	}
	if previous != nil && previous.incarnation == n.incarnation { // its connection alone was lost
		n.quorum = previous.quorum
	} else {
		n.quorum.changedAt = now
	}
	p.nodes[name] = n
	p.noteFirstMessage(now)
	for _, e := range p.endpoints { // its first message says anew which endpoints are live there
		p.setNotLive(now, e, name)
	}
	p.log.Info("connected to node", logfield.Node, name)
	p.renewLease(n, false)
}

// noteFirstMessage has what counts only after maxStartupWait looked at as soon as that is over.
func (p *Proxy) noteFirstMessage(now time.Duration) {
	if p.firstMessageAt >= 0 {
		return
	}
	p.firstMessageAt = now
	p.options.Clock.AfterFunc(maxStartupWait+time.Millisecond, func() {
		p.queue.Post(func() {
			p.fetchConfiguration(p.now())
			p.checkReady(p.now())
		})
	})
}

func (p *Proxy) onDisconnect(name string, _ *rpc.Conn) {
	n := p.nodes[name]
	n.conn, n.disconnectedAt = nil, p.now()
	p.log.Info("disconnected from node", logfield.Node, name)
}

func (p *Proxy) connectNodes(nodes []rpc.Node) {
	for _, n := range nodes {
		p.dialer.Connect(n.Address)
	}
}

// onEpoch takes over a newer epoch.
func (p *Proxy) onEpoch(e *rpc.Epoch) {
	if e == nil || e.Number <= p.epoch.Number {
		return
	}
	p.epoch = *e
	for _, v := range p.epoch.AllVoters() {
		p.dialer.Connect(v.Address)
	}
}
