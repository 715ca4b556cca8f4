package rollout

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// rank orders names for a version: another one goes first each time, the same at all controllers.
func rank(version uint64, name string) uint64 {
	h := fnv.New64a()
	for i := range 8 {
		_, _ = h.Write([]byte{byte(version >> (8 * i))})
	}
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 32 // fnv leaves the upper bits of short names alike
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func ranked(version uint64, names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(version, a), rank(version, b)), cmp.Compare(a, b))
	})
	return names
}

// zones are the live leases by zone, and the zones in the order in which they come.
func (s *Steward) zones(version uint64) (names []string, in map[string][]string) {
	in = map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		zone := s.members[name].zone
		in[zone] = append(in[zone], name)
	}
	return ranked(version, slices.Collect(maps.Keys(in))), in
}

// counts says whether a carrier's confirmation does: its lease is live, by the life that confirmed, for this body.
func (s *Steward) counts(c *change, carrier string) bool {
	m, live := s.members[carrier]
	said, has := c.says[carrier]
	return live && has && !said.refused && said.life == m.life && said.digest == c.digest
}

// enough says whether a step has its confirmations. Ask tells those of the step that were not told yet.
func (s *Steward) enough(c *change, step Step, ask bool) bool {
	zones, in := s.zones(c.Version)
	if step.Zones > 0 {
		zones = zones[:min(step.Zones, len(zones))]
	}
	all, good := 0, true
	for _, zone := range zones {
		names := in[zone]
		want := len(names)
		if step.Carriers > 0 {
			want = min(want, step.Carriers)
		}
		have, asked := 0, 0
		for _, name := range names {
			if s.counts(c, name) {
				have++
			}
			if c.asked[name] == s.members[name].life {
				asked++
			}
		}
		if ask && asked < want {
			for _, name := range ranked(c.Version, names) {
				if life := s.members[name].life; asked < want && c.asked[name] != life {
					asked++
					c.asked[name] = life
					s.tell(name, Prepare, Target{c.Version, c.digest})
				}
			}
		}
		all += have
		good = good && have >= int(math.Ceil(step.Share*float64(want)-1e-9))
	}
	return good && all >= max(step.Least, 1)
}

// judge moves a version through its stages, or finds a reason to halt it.
func (s *Steward) judge(c *change) {
	if !c.safe || c.Known || c.Version <= s.taken.Version {
		return
	}
	if c.halt != NoReason {
		return
	}
	for version, other := range s.changes {
		if version > c.Version && other.safe && !(other.Known && !other.Value.Taken) {
			c.halt = Overtaken
			return
		}
	}
	if s.now < s.listen {
		c.since = s.now
		return
	}
	if c.halt = s.harm(c); c.halt != NoReason {
		return
	}
	for c.step < len(s.plan.Steps) {
		step := s.plan.Steps[c.step]
		if !s.enough(c, step, true) {
			if c.enoughAt = neverYet; s.now >= c.since+step.Within {
				c.halt = TooFew
			}
			return
		}
		if c.enoughAt == neverYet {
			c.enoughAt = s.now
		}
		if s.now < c.enoughAt+step.Soak {
			return
		}
		c.step, c.since, c.enoughAt = c.step+1, s.now, neverYet
	}
}

// harm is what a version does to those that were told of it.
func (s *Steward) harm(c *change) Reason {
	refused := 0
	for _, said := range c.says {
		if said.refused && said.digest == c.digest {
			refused++
		}
	}
	w, o := c.with, c.without
	switch p := s.plan; {
	case p.Ended > 0 && c.ended >= p.Ended:
		return Ended
	case p.Refused > 0 && refused >= p.Refused:
		return Refused
	case p.Tries == 0 || w.tries < p.Tries || o.tries < p.Tries:
		return NoReason
	case w.failed/w.tries > o.failed/o.tries+p.FailMore, w.took/w.tries > o.took/o.tries+p.SlowMore,
		w.added/w.tries > o.added/o.tries+p.SlowMore:
		return Ill
	}
	return NoReason
}

// wish is what this controller would have decided, as of now: its counting may have changed since its ballot began.
func (s *Steward) wish(c *change) Decision {
	switch steps := s.plan.Steps; {
	case c.halt != NoReason:
		return Decision{Reason: c.halt}
	case !c.safe || s.now < s.listen || c.step < len(steps) || len(steps) == 0:
	case s.enough(c, steps[len(steps)-1], false):
		return Decision{Taken: true, Digest: c.digest}
	default: // it fell under its bound between the last count and the ballot
		c.step, c.since, c.enoughAt = len(steps)-1, s.now, neverYet
	}
	return Decision{}
}
