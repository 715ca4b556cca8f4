package rollout

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// shareTolerance absorbs the rounding of a share of a whole number.
const shareTolerance = 1e-9

// hashMultiplier is that of the finalizer of rrmxmx.
const hashMultiplier = 0xd6e8feb86659fd93

// rendezvousHash orders names for a version: another one goes first each time, the same on all nodes.
func rendezvousHash(version uint64, name string) uint64 {
	h := fnv.New64a()
	for i := range 8 {
		_, _ = h.Write([]byte{byte(version >> (8 * i))}) // never fails
	}
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 32 // FNV leaves the upper bits of short names alike
	x *= hashMultiplier
	return x ^ x>>32
}

func byRank(version uint64, names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousHash(version, a), rendezvousHash(version, b)), cmp.Compare(a, b))
	})
	return names
}

// leasesByZone are the proxies with a lease by zone, and the zones in the order in which they are asked.
func (c *Coordinator) leasesByZone(version uint64) (zones []string, proxies map[string][]string) {
	proxies = map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.leases)) {
		zone := c.leases[name].zone
		proxies[zone] = append(proxies[zone], name)
	}
	return byRank(version, slices.Collect(maps.Keys(proxies))), proxies
}

// isConfirmed reports whether a proxy's confirmation counts: it holds a lease under the incarnation that confirmed, and
// it confirmed this body.
func (c *Coordinator) isConfirmed(v *trackedVersion, proxy string) bool {
	held, hasLease := c.leases[proxy]
	confirmed, has := v.confirmations[proxy]
	return hasLease && has && !confirmed.notReadable && confirmed.incarnation == held.incarnation &&
		confirmed.digest == v.digest
}

// isStageConfirmed reports whether a stage has its confirmations. With tellMissing, those proxies of the stage that
// were not told yet are told to prepare the version.
func (c *Coordinator) isStageConfirmed(v *trackedVersion, stage Stage, tellMissing bool) bool {
	zones, proxies := c.leasesByZone(v.Version)
	if stage.Zones > 0 {
		zones = zones[:min(stage.Zones, len(zones))]
	}
	total, enough := 0, true
	for _, zone := range zones {
		names := proxies[zone]
		wanted := len(names)
		if stage.Proxies > 0 {
			wanted = min(wanted, stage.Proxies)
		}
		confirmed := 0
		for _, name := range names {
			if c.isConfirmed(v, name) {
				confirmed++
			}
		}
		if tellMissing {
			c.askToPrepare(v, names, wanted)
		}
		total += confirmed
		enough = enough && confirmed >= int(math.Ceil(stage.MinShare*float64(wanted)-shareTolerance))
	}
	return enough && total >= max(stage.MinTotal, 1)
}

// askToPrepare tells further proxies of a zone, until so many are told.
func (c *Coordinator) askToPrepare(v *trackedVersion, names []string, wanted int) {
	asked := 0
	for _, name := range names {
		if v.askedToPrepare[name] == c.leases[name].incarnation {
			asked++
		}
	}
	if asked >= wanted {
		return
	}
	for _, name := range byRank(v.Version, names) {
		incarnation := c.leases[name].incarnation
		if asked < wanted && v.askedToPrepare[name] != incarnation {
			asked++
			v.askedToPrepare[name] = incarnation
			c.sendCommand(name, CommandPrepare, Target{v.Version, v.digest})
		}
	}
}

// advance moves a version through its stages, or finds a reason to halt it.
func (c *Coordinator) advance(v *trackedVersion) {
	if !v.stored || v.Decided || v.Version <= c.committed.Version || v.haltReason != NoReason {
		return
	}
	if c.isSuperseded(v) {
		v.haltReason = Superseded
		return
	}
	if c.now < c.listenEnd {
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

// passStage reports whether a version goes on to the next stage.
func (c *Coordinator) passStage(v *trackedVersion, stage Stage) bool {
	if !c.isStageConfirmed(v, stage, true) {
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

// isSuperseded reports whether a higher version is stored, and not halted.
func (c *Coordinator) isSuperseded(v *trackedVersion) bool {
	for number, other := range c.versions {
		isHalted := other.Decided && !other.Value.Committed
		if number > v.Version && other.stored && !isHalted {
			return true
		}
	}
	return false
}

// harmReason is what a version does to the proxies that were told of it.
func (c *Coordinator) harmReason(v *trackedVersion) Reason {
	notReadable := 0
	for _, confirmed := range v.confirmations {
		if confirmed.notReadable && confirmed.digest == v.digest {
			notReadable++
		}
	}
	switch p := &c.plan; {
	case p.MaxEnded > 0 && v.endedProxies >= p.MaxEnded:
		return ProxiesEnded
	case p.MaxNotReadable > 0 && notReadable >= p.MaxNotReadable:
		return NotReadable
	case p.isUnhealthy(&v.withVersion, &v.withoutVersion):
		return Unhealthy
	}
	return NoReason
}

// isUnhealthy compares proxies with a version to those without it.
func (p *Plan) isUnhealthy(with, without *measurement) bool {
	if p.MinAttempts == 0 || with.attempts < p.MinAttempts || without.attempts < p.MinAttempts {
		return false
	}
	fails := with.failed/with.attempts > without.failed/without.attempts+p.MaxExtraFailures
	isSlow := with.latencyMS/with.attempts > without.latencyMS/without.attempts+p.MaxExtraLatencyMS
	addsMore := with.addedMS/with.attempts > without.addedMS/without.attempts+p.MaxExtraLatencyMS
	return fails || isSlow || addsMore
}

// ownDecision is what this node would have decided, as of now: its counts may have changed since its ballot began.
func (c *Coordinator) ownDecision(v *trackedVersion) Decision {
	if v.haltReason != NoReason {
		return Decision{Reason: v.haltReason}
	}
	stages := c.plan.Stages
	if !v.stored || c.now < c.listenEnd || v.stage < len(stages) || len(stages) == 0 {
		return Decision{}
	}
	if c.isStageConfirmed(v, stages[len(stages)-1], false) {
		return Decision{Committed: true, Digest: v.digest}
	}
	// It has lost confirmations between the last count and the ballot: back to the last stage.
	v.stage, v.stageStartedAt, v.confirmedAt = len(stages)-1, c.now, unset
	return Decision{}
}
