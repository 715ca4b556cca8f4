package proxy

import (
	"time"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

const (
	// missedHeartbeats is the number of heartbeat intervals after which an endpoint is no longer used if no node reports
	// it as live.
	missedHeartbeats = 4
	// tombstoneTTL is how long a terminated endpoint is remembered, so that a delayed report does not bring it back.
	tombstoneTTL = 90 * time.Second
)

// endpointState combines the reports of all nodes about an endpoint.
type endpointState struct {
	rpc.Endpoint
	liveAt        map[string]bool // names of the nodes that receive its heartbeats
	unconfirmedAt time.Duration   // when liveAt last became empty
	warmupEnd     time.Duration
	goneAt        time.Duration // 0: it has not terminated
	reportedAt    time.Duration // time of the last report
}

// onEndpoint handles a node's report of an endpoint.
func (p *Proxy) onEndpoint(now time.Duration, from string, reported rpc.Endpoint) {
	e := p.endpoints[reported.ID]
	if e == nil {
		e = &endpointState{Endpoint: reported, liveAt: map[string]bool{}, unconfirmedAt: now}
		p.endpoints[reported.ID] = e
	} else {
		e.update(reported)
	}
	e.reportedAt = now
	if reported.WarmupRemaining > 0 {
		warmup := time.Duration(reported.WarmupRemaining) * time.Millisecond
		e.warmupEnd = max(e.warmupEnd, now+warmup)
	}
	if e.State == rpc.Gone && e.goneAt == 0 {
		e.goneAt = now
	}
	if reported.DirectHeartbeats && e.State != rpc.Gone {
		e.liveAt[from] = true
	} else {
		p.setNotLive(now, e, from)
	}
	p.updateBalancer(now, e)
}

// update merges a report unless it is outdated. The lifecycle state only advances.
func (e *endpointState) update(reported rpc.Endpoint) {
	if reported.Seq < e.Seq && reported.State <= e.State {
		return
	}
	state := e.State
	if e.Service != "" && reported.Service == "" { // a report of termination may hold the id only
		reported.Service, reported.Address, reported.Zone = e.Service, e.Address, e.Zone
		reported.Capacity = e.Capacity
	}
	reported.Seq = max(reported.Seq, e.Seq)
	e.Endpoint = reported
	e.State = max(reported.State, state)
}

// setNotLive records that a node does not receive the endpoint's heartbeats.
func (p *Proxy) setNotLive(now time.Duration, e *endpointState, node string) {
	if !e.liveAt[node] {
		return
	}
	delete(e.liveAt, node)
	if len(e.liveAt) == 0 {
		e.unconfirmedAt = now
	}
}

// updateBalancer passes the state of an endpoint to the balancer.
func (p *Proxy) updateBalancer(now time.Duration, e *endpointState) {
	if e.Service == "" {
		return // only its termination was reported
	}
	if e.State == rpc.Gone {
		p.withBalancer(func(b *balancer.Balancer) { b.RemoveEndpoint(e.ID) })
		p.pool.CloseIdle(e.Address)
		return
	}
	isUsable := e.State == rpc.Ready && !p.isEvacuated(e.Zone) && !p.isUnconfirmed(now, e)
	p.withBalancer(func(b *balancer.Balancer) {
		warmupEnd := e.warmupEnd
		if recoveredAt, recovered := p.recoveredZones[e.Zone]; recovered {
			warmupEnd = max(warmupEnd, recoveredAt+b.SlowStart(e.Service))
		}
		b.SetEndpoint(now, balancer.Endpoint{
			ID:        e.ID,
			Service:   e.Service,
			Address:   e.Address,
			Zone:      e.Zone,
			Capacity:  e.Capacity,
			Usable:    isUsable,
			WarmupEnd: warmupEnd,
		})
	})
}

// isUnconfirmed reports whether no node receives the endpoint's heartbeats although a node has been connected for long
// enough. Nodes that are disconnected or have just started are no evidence of a missing heartbeat.
func (p *Proxy) isUnconfirmed(now time.Duration, e *endpointState) bool {
	timeout := missedHeartbeats * p.options.Settings.HeartbeatInterval.Duration()
	if now < e.unconfirmedAt+timeout {
		return false
	}
	for name := range e.liveAt {
		// The report of a disconnected node stops counting once other nodes have had time to receive the heartbeats.
		if n := p.nodes[name]; n == nil || n.conn != nil || now < n.disconnectedAt+timeout {
			return false
		}
	}
	for _, n := range p.nodes {
		if n.conn != nil && now > n.connectedAt+timeout {
			return true
		}
	}
	return false
}

// expireEndpoints disables unconfirmed endpoints, and removes them and terminated ones after tombstoneTTL.
func (p *Proxy) expireEndpoints(now time.Duration) {
	for id, e := range p.endpoints {
		switch {
		case e.State == rpc.Gone:
			if now > e.goneAt+tombstoneTTL {
				delete(p.endpoints, id)
			}
		case p.isUnconfirmed(now, e):
			p.updateBalancer(now, e)
			if now > max(e.unconfirmedAt, e.reportedAt)+tombstoneTTL { // it stopped without deregistering
				p.withBalancer(func(b *balancer.Balancer) { b.RemoveEndpoint(id) })
				delete(p.endpoints, id)
			}
		}
	}
}
