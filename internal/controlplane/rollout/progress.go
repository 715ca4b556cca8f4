package rollout

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// shareTolerance absorbs floating-point error in the product of a share and a count.
const shareTolerance = 1e-9

// hashMultiplier is the constant of the rrmxmx mixing function.
const hashMultiplier = 0xd6e8feb86659fd93

// rendezvousHash returns the sort key of a name for a version. All nodes sort alike, and the order differs between
// versions.
func rendezvousHash(version uint64, name string) uint64 {
	h := fnv.New64a()
	for i := range 8 {
		_, _ = h.Write([]byte{byte(version >> (8 * i))}) // Write of a hash.Hash never fails
	}
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 32 // the upper bits of FNV hashes of short names hardly differ
	x *= hashMultiplier
	return x ^ x>>32
}

// byRank sorts names in place by their rendezvous hash and returns them.
func byRank(version uint64, names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousHash(version, a), rendezvousHash(version, b)), cmp.Compare(a, b))
	})
	return names
}

// leasesByZone returns the proxies with a lease by zone, and the zones in the order in which stages include them.
func (c *Coordinator) leasesByZone(version uint64) (zones []string, proxies map[string][]string) {
	proxies = map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.leases)) {
		zone := c.leases[name].zone
		proxies[zone] = append(proxies[zone], name)
	}
	return byRank(version, slices.Collect(maps.Keys(proxies))), proxies
}

// isConfirmed reports whether a proxy's confirmation counts: it is for the body that is being rolled out, and the
// incarnation that sent it holds the lease.
func (c *Coordinator) isConfirmed(v *trackedVersion, proxy string) bool {
	held, hasLease := c.leases[proxy]
	confirmed, ok := v.confirmations[proxy]
	return hasLease && ok && !confirmed.notReadable && confirmed.incarnation == held.incarnation &&
		confirmed.digest == v.digest
}

// stageZone is a zone of a stage: its proxies with a lease, and how many of them the stage asks.
type stageZone struct {
	names  []string
	wanted int
}

func (c *Coordinator) stageZones(v *trackedVersion, stage Stage) []stageZone {
	zones, proxies := c.leasesByZone(v.Version)
	if stage.Zones > 0 {
		zones = zones[:min(stage.Zones, len(zones))]
	}
	result := make([]stageZone, 0, len(zones))
	for _, zone := range zones {
		names := proxies[zone]
		wanted := len(names)
		if stage.Proxies > 0 {
			wanted = min(wanted, stage.Proxies)
		}
		result = append(result, stageZone{names, wanted})
	}
	return result
}

// isStageConfirmed reports whether a stage has enough confirmations in each of its zones and in total.
func (c *Coordinator) isStageConfirmed(v *trackedVersion, stage Stage, zones []stageZone) bool {
	total, enough := 0, true
	for _, zone := range zones {
		confirmed := 0
		for _, name := range zone.names {
			if c.isConfirmed(v, name) {
				confirmed++
			}
		}
		total += confirmed
		enough = enough && confirmed >= int(math.Ceil(stage.MinShare*float64(zone.wanted)-shareTolerance))
	}
	return enough && total >= max(stage.MinTotal, 1)
}

// askToPrepare sends prepare commands to further proxies of a zone until the wanted number has been asked.
func (c *Coordinator) askToPrepare(v *trackedVersion, zone stageZone) {
	asked := 0
	for _, name := range zone.names {
		if v.askedToPrepare[name] == c.leases[name].incarnation {
			asked++
		}
	}
	if asked >= zone.wanted {
		return
	}
	for _, name := range byRank(v.Version, zone.names) {
		incarnation := c.leases[name].incarnation
		if asked < zone.wanted && v.askedToPrepare[name] != incarnation {
			asked++
			v.askedToPrepare[name] = incarnation
			c.sendCommand(name, CommandPrepare, Target{v.Version, v.digest})
		}
	}
}

// advance moves a version through its stages, or sets the reason to halt it.
func (c *Coordinator) advance(v *trackedVersion) {
	if !v.stored || v.Decided || v.Version <= c.committed.Version || v.haltReason != NoReason {
		return
	}
	if c.isSuperseded(v) {
		v.haltReason = Superseded
		return
	}
	if c.now < c.leaseDiscoveryEnd {
		v.stageStartedAt = c.now
		return
	}
	v.haltReason = c.harmReason(v)
	for v.haltReason == NoReason && v.stage < len(c.plan.Stages) {
		if !c.passStage(v, c.plan.Stages[v.stage]) {
			return
		}
	}
}

// passStage asks the proxies of a stage to prepare the version, and reports whether the version has passed the stage.
func (c *Coordinator) passStage(v *trackedVersion, stage Stage) bool {
	zones := c.stageZones(v, stage)
	for _, zone := range zones {
		c.askToPrepare(v, zone)
	}
	if !c.isStageConfirmed(v, stage, zones) {
		v.confirmedAt = unset
		if c.now >= v.stageStartedAt+stage.Timeout {
			v.haltReason = TooFewConfirmed
		}
		return false
	}
	if v.confirmedAt == unset {
		v.confirmedAt = c.now
	}
	if c.now < v.confirmedAt+stage.Soak {
		return false
	}
	v.stage++
	v.stageStartedAt, v.confirmedAt = c.now, unset
	return true
}

// isSuperseded reports whether a higher version is stored and has not been halted.
func (c *Coordinator) isSuperseded(v *trackedVersion) bool {
	for number, other := range c.versions {
		isHalted := other.Decided && !other.Value.Committed
		if number > v.Version && other.stored && !isHalted {
			return true
		}
	}
	return false
}

// harmReason returns the reason to halt a version that harms the proxies that prepare it, or NoReason.
func (c *Coordinator) harmReason(v *trackedVersion) Reason {
	notReadable := 0
	for _, confirmed := range v.confirmations {
		if confirmed.notReadable && confirmed.digest == v.digest {
			notReadable++
		}
	}
	switch p := &c.plan; {
	case p.MaxEndedProxies > 0 && v.endedProxies >= p.MaxEndedProxies:
		return ProxiesEnded
	case p.MaxNotReadable > 0 && notReadable >= p.MaxNotReadable:
		return NotReadable
	case p.isUnhealthy(&v.withVersion, &v.withoutVersion):
		return Unhealthy
	}
	return NoReason
}

// isUnhealthy reports whether proxies with a version fail more or are slower than those without it.
func (p *Plan) isUnhealthy(with, without *measurement) bool {
	if p.MinAttempts == 0 || with.attempts < p.MinAttempts || without.attempts < p.MinAttempts {
		return false
	}
	fails := with.failed/with.attempts > without.failed/without.attempts+p.MaxExtraFailures
	isSlow := with.latencyMS/with.attempts > without.latencyMS/without.attempts+p.MaxExtraLatencyMS
	addsMore := with.addedMS/with.attempts > without.addedMS/without.attempts+p.MaxExtraLatencyMS
	return fails || isSlow || addsMore
}

// ownDecision returns the decision that this node proposes, or the zero Decision. The confirmations are counted anew,
// as they may have changed since the ballot started.
func (c *Coordinator) ownDecision(v *trackedVersion) Decision {
	if v.haltReason != NoReason {
		return Decision{Reason: v.haltReason}
	}
	stages := c.plan.Stages
	if !v.stored || c.now < c.leaseDiscoveryEnd || v.stage < len(stages) || len(stages) == 0 {
		return Decision{}
	}
	last := stages[len(stages)-1]
	if c.isStageConfirmed(v, last, c.stageZones(v, last)) {
		return Decision{Committed: true, Digest: v.digest}
	}
	// Confirmations were lost after the last stage had passed: repeat that stage.
	v.stage, v.stageStartedAt, v.confirmedAt = len(stages)-1, c.now, unset
	return Decision{}
}
