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

// fetchRetryInterval is how long the proxy waits for a requested configuration before it asks another node.
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
	if v, isReported := u.CommittedVersions[configRegister]; isReported && n.committed.Less(v) {
		n.committed = v
	}
	p.fetchConfiguration(now)
}

// applyConfiguration applies a committed configuration that is newer than the current one. The proxy never returns to
// an older version, whichever node reports it as committed. Versions are totally ordered, so all proxies settle on the
// same one.
func (p *Proxy) applyConfiguration(now time.Duration, n *node, r rpc.Register) {
	trusted := mayTrustCommitted(now, p.firstMessageAt, p.config.Load() != nil, n.quorum.lost)
	if !trusted || !p.configVersion.Less(r.Version) {
		return
	}
	next, err := routeconfig.Parse(r.Value)
	if err != nil { // the control plane validates a configuration before it proposes it
		p.log.Error("committed configuration cannot be parsed", logfield.Error, err)
		return
	}
	p.withBalancer(func(b *balancer.Balancer) {
		for _, s := range next.Services {
			b.ConfigureService(s.Name, s.MaxConns, s.SlowStartRate, s.SlowStart)
			b.ConfigureShards(s.Name, next.Sharded[s.Name])
		}
	})
	// A newly started proxy may learn that a zone has recovered before it knows the slow-start duration of its services.
	for _, e := range p.endpoints {
		if _, recovered := p.recoveredZones[e.Zone]; recovered {
			p.updateBalancer(now, e)
		}
	}
	p.configVersion = r.Version
	p.config.Store(next)
	p.log.Info("configuration applied", logfield.Version, next.Version)
}

// applyEvacuation applies a committed value that says whether a zone is evacuated.
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
		p.recoveredZones[zone] = now - p.registerAge(r)
	}
	for _, e := range p.endpoints {
		if e.Zone == zone {
			p.updateBalancer(now, e)
		}
	}
}

// registerAge returns how long ago a zone's register was written. A newly started proxy has not observed the end of an
// evacuation, but the zone's endpoints may still be in slow start after it. The version number is derived from the
// wall-clock time of the write, which is accurate enough here.
func (p *Proxy) registerAge(r rpc.Register) time.Duration {
	ms := p.options.Clock.Now().UnixMilli() - int64(r.Version.Number)
	return max(time.Duration(ms)*time.Millisecond, 0)
}

func (p *Proxy) isEvacuated(zone string) bool {
	return consensus.IsEvacuated(p.evacuations[zone].Value)
}

// fetchConfiguration requests the newest committed configuration from a node that reported it as committed. Each retry
// asks another node: the nearest one may be partitioned from its peers and have only an older version.
func (p *Proxy) fetchConfiguration(now time.Duration) {
	p.updateWantedVersion(now)
	isWaiting := p.fetchedAt >= 0 && now < p.fetchedAt+fetchRetryInterval
	if !p.configVersion.Less(p.wantedVersion) || isWaiting {
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

// updateWantedVersion sets the wanted version to the newest one that a trusted node reports as committed.
func (p *Proxy) updateWantedVersion(now time.Duration) {
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

// isPreferredTo reports whether to request a configuration from n rather than from other: nodes with quorum contact
// come first, then nodes of the given zone.
func (n *node) isPreferredTo(other *node, zone string) bool {
	if n.quorum.lost != other.quorum.lost {
		return !n.quorum.lost
	}
	return n.info.Zone == zone && other.info.Zone != zone
}
