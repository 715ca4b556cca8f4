package steering

import (
	"math"

	"elmfold/internal/policy"
)

const (
	sharedFrom, sharedTill = 0.85, 0.7 // part of a zone's capacity in use from which others may be asked for its excess
	fairFrom, fairTill     = 0.5, 0.6  // ... or of its fair part of all strength that is left to it
	sureHome               = 1.5       // by which zones of others are said to be fuller, where nothing is to leave one
	rampStart, rampTurn    = 0.1, 5 * policy.Second
)

// elsewhere says what comes to the carriers that are steered by others, by zone, in requests/s: as if each of them got
// what one here gets. Choice then lets other zones join for what a zone is asked for over its fair part. That is more
// often than the design has it, and what crosses zones costs: where some of the zone's capacity is free
// and at least half of its fair part is there, the other zones are said to be as full as the fullest one here, which
// keeps all at home. A single carrier's overflow is the carrier's own to place.
func (s *service) elsewhere(at policy.Time) []float64 {
	n := len(s.b.zones)
	uses, strength, here, rates := make([]float64, n), make([]float64, n), make([]float64, n), make([]float64, n)
	all, rate, joined, members, fullest := 0.0, 0.0, 0.0, 0.0, 0.0
	for i, l := range s.slots {
		if l.joined {
			z := s.b.places[i].zone
			here[z], rates[z] = here[z]+1, rates[z]+l.rate
		}
	}
	for _, l := range s.lives {
		if l.entry.Status == policy.Ready {
			w := l.entry.Weight
			if l.entry.Up > 0 {
				turns := max(at-l.entry.Up, 0) / rampTurn
				w *= min(1, rampStart*math.Exp2(float64(min(turns, 10))))
			}
			strength[l.entry.Zone], all = strength[l.entry.Zone]+w, all+w
		}
	}
	for z := range n {
		rate, joined, members = rate+rates[z], joined+here[z], members+max(s.b.members[z], here[z])
	}
	short := false
	for z := range n {
		there := max(s.b.members[z], here[z])
		asks := rates[z] * there / max(here[z], 1)
		if here[z] == 0 {
			asks = rate / max(joined, 1) * there
		}
		uses[z] = asks - rates[z]
		if here[z] == 0 || strength[z] == 0 {
			continue
		}
		fullest = max(fullest, asks/strength[z])
		busy, fair := sharedFrom, fairFrom
		if s.shared {
			busy, fair = sharedTill, fairTill
		}
		short = short || asks*s.took > busy*strength[z] || strength[z]/all < fair*there/members
	}
	if s.shared = short; !short {
		for z := range n {
			more := fullest * strength[z]
			if here[z] == 0 {
				more *= sureHome
			}
			uses[z] = max(more-rates[z], 0)
		}
	}
	return uses
}
