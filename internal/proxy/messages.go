package proxy

import (
	"time"

	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
)

// node is the state of a control-plane node as seen by the proxy.
type node struct {
	info            rpc.Node
	conn            *rpc.Conn // nil: not connected
	incarnation     uint64
	connectedAt     time.Duration
	disconnectedAt  time.Duration
	quorum          quorumStatus
	endpointsSynced bool // it has the endpoints of its peers

	// Registers.

	hasReported bool                   // it is a voter and had quorum contact when it reported stored
	stored      map[string]rpc.Version // stored versions by register
	committed   rpc.Version            // newest configuration version reported as committed
	fetches     int                    // requests for the wanted configuration

	// Leases.

	proxies   map[string]rpc.ProxyInfo // proxies that hold a lease at the node, by name
	renewals  renewalTimes
	renewedAt time.Duration // when the newest acknowledged renewal was sent; negative: none was acknowledged
}

// onMessage handles a message on the current connection to a node.
func (p *Proxy) onMessage(name string, conn *rpc.Conn, m *rpc.Message) {
	now := p.now()
	if m.Hello != nil {
		p.onNodeConnected(now, conn, m.Hello)
	}
	n := p.nodes[name]
	if m.Hello != nil || m.StoredVersions != nil || m.LeaseRenewed > 0 { // the messages that carry NoQuorum
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
	p.onShards(now, n, &m.ShardUpdate)
	if !p.onTables(now, n, m) {
		return
	}
	p.checkReady(now)
}

// onNodeConnected replaces the state of a node: the first message on a connection holds the node's whole state.
func (p *Proxy) onNodeConnected(now time.Duration, conn *rpc.Conn, hello *rpc.Hello) {
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
	if previous != nil && previous.incarnation == n.incarnation { // same process, new connection
		n.quorum = previous.quorum
	} else {
		n.quorum.changedAt = now
	}
	p.nodes[name] = n
	p.recordFirstMessage(now)
	for _, e := range p.endpoints { // the message lists again which are live
		p.setNotLive(now, e, name)
	}
	p.log.Info("connected to node", logfield.Node, name)
	p.renewLease(n, false)
}

// recordFirstMessage records when the first message of any node came and schedules the checks that pass only after
// maxStartupWait.
func (p *Proxy) recordFirstMessage(now time.Duration) {
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

func (p *Proxy) onNodeDisconnected(name string, _ *rpc.Conn) {
	n := p.nodes[name]
	n.conn, n.disconnectedAt = nil, p.now()
	p.log.Info("disconnected from node", logfield.Node, name)
}

func (p *Proxy) connectNodes(nodes []rpc.Node) {
	for _, n := range nodes {
		p.dialer.Connect(n.Address)
	}
}

// onEpoch adopts a newer epoch and connects to its voters.
func (p *Proxy) onEpoch(e *rpc.Epoch) {
	if e == nil || e.Number <= p.epoch.Number {
		return
	}
	p.epoch = *e
	for _, v := range p.epoch.AllVoters() {
		p.dialer.Connect(v.Address)
	}
}
