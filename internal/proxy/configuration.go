package proxy

import (
	"strings"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

// fetchRetryInterval is when a configuration that did not come is fetched from another node.
const fetchRetryInterval = 400 * time.Millisecond

func (p *Proxy) onRegisterUpdate(now time.Duration, n *node, u *rpc.RegisterUpdate) {
	for _, r := range u.CommittedValues {
		if u.CommittedVersions[r.Name] != r.Version {
			continue
		}
		if r.Name == configRegister {
			p.applyConfiguration(now, n, r)
		} else if zone, isZone := strings.CutPrefix(r.Name, zoneRegisterPrefix); isZone {
			p.applyEvacuation(now, zone, r)
		}
	}
	if v, told := u.CommittedVersions[configRegister]; told && n.committed.Less(v) {
		n.committed = v
	}
	p.fetchConfiguration(now)
}

// applyConfiguration takes over a committed configuration. What was once in use here never gives way to an older one,
// whoever says so; of two bodies under one version, all keep the same.
func (p *Proxy) applyConfiguration(now time.Duration, n *node, r rpc.Register) {
	trusted := mayTrustCommitted(now, p.firstMessageAt, p.config.Load() != nil, n.quorum.lost)
	if !trusted || !p.configVersion.Less(r.Version) {
		return
	}
	next, err := routeconfig.Parse(r.Value)
	if err != nil { // it was checked before it was proposed
		p.log.Error("committed configuration cannot be parsed", logfield.Error, err)
		return
	}
	p.withBalancer(func(b *balancer.Balancer) {
		for _, s := range next.Services {
			b.ConfigureService(s.Name, s.MaxConns, s.SlowStartRate, s.SlowStart)
		}
	})
	// A proxy that has just started may know that a zone has recovered before it knows for how long its endpoints are in
	// slow start.
	for _, e := range p.endpoints {
		if _, recovered := p.recoveredZones[e.Zone]; recovered {
			p.updateBalancer(now, e)
		}
	}
	p.configVersion = r.Version
	p.config.Store(next)
	p.log.Info("configuration applied", logfield.Version, next.Version)
}

// applyEvacuation takes over whether a zone is evacuated.
func (p *Proxy) applyEvacuation(now time.Duration, zone string, r rpc.Register) {
	if !p.evacuations[zone].Version.Less(r.Version) {
		return
	}
	wasEvacuated := p.isEvacuated(zone)
	p.evacuations[zone] = r
	switch {
	case p.isEvacuated(zone):
		delete(p.recoveredZones, zone)
	case wasEvacuated:
		p.recoveredZones[zone] = now
	default:
		p.recoveredZones[zone] = now - p.sinceOrder(r)
	}
	for _, e := range p.endpoints {
		if e.Zone == zone {
			p.updateBalancer(now, e)
		}
	}
}

// sinceOrder is how long ago an evacuation was ordered. A proxy that has just started has not seen the zone
// evacuated, whose endpoints may have gone into slow start since. The order's version is the time of day, a hint
// that is enough here.
func (p *Proxy) sinceOrder(r rpc.Register) time.Duration {
	ms := p.options.Clock.Now().UnixMilli() - int64(r.Version.Number)
	return max(time.Duration(ms)*time.Millisecond, 0)
}

func (p *Proxy) isEvacuated(zone string) bool {
	return consensus.IsEvacuated(p.evacuations[zone].Value)
}

// fetchConfiguration fetches the newest committed configuration, from one of the nodes that said that it is: with
// quorum contact, the nearest, and another one each time that no answer came. The nearest one may be cut off from
// the others, and have only an older one.
func (p *Proxy) fetchConfiguration(now time.Duration) {
	p.noteWantedVersion(now)
	waits := p.fetchedAt >= 0 && now < p.fetchedAt+fetchRetryInterval
	if !p.configVersion.Less(p.wantedVersion) || waits {
		return
	}
	var best *node
	for _, n := range p.sortedNodes() {
		if n.conn == nil || n.committed.Less(p.wantedVersion) {
			continue
		}
		isBetter := best == nil || n.fetches < best.fetches ||
			n.fetches == best.fetches && n.isPreferredTo(best, p.self.Zone)
		if isBetter {
			best = n
		}
	}
	if best != nil {
		p.fetchedAt = now
		best.fetches++
		best.conn.Send(&rpc.Message{RegisterUpdate: rpc.RegisterUpdate{FetchRegisters: []string{configRegister}}})
	}
}

func (p *Proxy) noteWantedVersion(now time.Duration) {
	for _, n := range p.nodes {
		trusted := mayTrustCommitted(now, p.firstMessageAt, p.config.Load() != nil, n.quorum.lost)
		if !trusted || !p.wantedVersion.Less(n.committed) {
			continue
		}
		p.wantedVersion, p.fetchedAt = n.committed, -1
		for _, other := range p.nodes {
			other.fetches = 0
		}
	}
}

// isPreferredTo reports whether a node is rather to be asked than another: with quorum contact first, then of the zone.
func (n *node) isPreferredTo(other *node, zone string) bool {
	if n.quorum.lost != other.quorum.lost {
		return !n.quorum.lost
	}
	return n.info.Zone == zone && other.info.Zone != zone
}
