package proxy

import (
	"slices"
	"strings"
	"time"

	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

const (
	renewInterval = time.Second
	// latencyUnit is the unit of the latency in rpc.EndpointReport.
	latencyUnit = 100 * time.Microsecond
)

// renewLease renews the lease at a node. With withReport, the routing node also gets the load report.
func (p *Proxy) renewLease(n *node, withReport bool) {
	m := &rpc.Message{Lease: rpc.Lease{RenewLease: p.lastRenewal}}
	n.renewals.record(m.RenewLease, p.now())
	if withReport && n.info.Name == p.routingNode {
		m.LoadReport = p.loadReport()
	}
	if withReport && n.info.Name == p.shardNode {
		m.KeyUsage = p.keyUsage()
	}
	n.conn.Send(m)
}

func (p *Proxy) loadReport() rpc.LoadReport {
	var r balancer.Report
	p.withBalancer(func(b *balancer.Balancer) { r = b.Report() })
	report := rpc.LoadReport{WantTables: true, ReportSeconds: renewInterval.Seconds()}
	for _, s := range r.Services {
		report.ServiceLoads = append(report.ServiceLoads, rpc.ServiceLoad(s))
	}
	for _, e := range r.Endpoints {
		report.EndpointReports = append(report.EndpointReports, rpc.EndpointReport{
			ID:       e.ID,
			Attempts: e.Attempts,
			Failed:   e.Failed,
			Latency:  int64(e.Latency / latencyUnit),
			Queued:   e.Queued,
		})
	}
	return report
}

// onProxies updates which proxies hold a lease at a node.
func (p *Proxy) onProxies(n *node, m *rpc.Message) {
	if m.Hello != nil {
		for _, other := range m.Proxies {
			n.proxies[other.Name] = other
		}
	}
	for _, name := range m.ProxiesRemoved {
		delete(n.proxies, name)
	}
	for _, other := range m.ProxiesAdded {
		n.proxies[other.Name] = other
	}
	if m.Hello != nil || len(m.ProxiesRemoved)+len(m.ProxiesAdded) > 0 {
		p.updateProxies()
	}
}

// updateProxies passes all proxies that hold a lease at any connected node to the balancer.
func (p *Proxy) updateProxies() {
	known := map[string]balancer.ProxyInfo{}
	for _, n := range p.nodes {
		if n.conn == nil {
			continue
		}
		for _, other := range n.proxies {
			known[other.Name] = balancer.ProxyInfo(other)
		}
	}
	if len(known) == 0 {
		return
	}
	all := make([]balancer.ProxyInfo, 0, len(known))
	for _, other := range known {
		all = append(all, other)
	}
	slices.SortFunc(all, func(a, b balancer.ProxyInfo) int { return strings.Compare(a.Name, b.Name) })
	p.withBalancer(func(b *balancer.Balancer) { b.SetProxies(all) })
}

// extendLease extends the proxy's lease if a majority of the voters has renewed it. The proxy stops using the lease
// before the voters expire it.
func (p *Proxy) extendLease() {
	renewedAt := map[string]time.Duration{}
	for name, n := range p.nodes {
		if n.renewedAt >= 0 {
			renewedAt[name] = n.renewedAt
		}
	}
	if until, ok := leaseEnd(p.epoch, renewedAt); ok {
		p.withBalancer(func(b *balancer.Balancer) { b.ExtendLease(until) })
	}
}

// releaseLeases stops the renewals and releases the leases at all connected nodes.
func (p *Proxy) releaseLeases() {
	p.leasesReleased = true // tick renews no lease after this
	for _, n := range p.sortedNodes() {
		if n.conn != nil {
			n.conn.Send(&rpc.Message{ProxyChanges: rpc.ProxyChanges{ReleaseLease: true}})
		}
	}
}

// onTables handles lease renewals and routing tables. It returns false if it closed the connection because of outdated
// tables.
func (p *Proxy) onTables(now time.Duration, n *node, m *rpc.Message) bool {
	sentAt, known := n.renewals.sentTime(m.LeaseRenewed)
	if m.RoutingTables == nil && known {
		n.renewedAt = max(n.renewedAt, sentAt)
		p.extendLease()
	}
	if len(m.RoutingTables) == 0 || n.info.Name != p.routingNode {
		return true
	}
	if !known || now > sentAt+maxTableAge {
		// The tables were computed before the node was suspended or the connection stalled. Dropping them may lose
		// incremental changes, so the proxy reconnects and gets full tables.
		p.log.Warn("outdated routing tables dropped", logfield.Node, n.info.Name)
		n.conn.Close()
		return false
	}
	p.applyTables(now, m.RoutingTables)
	return true
}

func (p *Proxy) applyTables(now time.Duration, tables []rpc.RoutingTable) {
	p.withBalancer(func(b *balancer.Balancer) {
		for _, t := range tables {
			if t.Full || t.Weights != nil {
				b.SetWeights(t.Service, t.Full, t.Weights)
			}
			if t.HasRateLimit {
				b.SetRateLimit(t.Service, t.RateLimit, now)
			}
		}
	})
}
