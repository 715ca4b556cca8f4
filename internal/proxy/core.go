package proxy

import (
	"slices"
	"time"

	"elmfold/internal/controlplane/registry"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

// What of the core's words counts here. A controller that is *apart* has no contact with a majority of the voters: what
// it holds was in force once, and may be old. Each controller says whether it is with its first words, with each answer
// to a renewal and when that ends.

const (
	apartMost = 2500 * time.Millisecond // the steering controller may be apart for so long before another is turned to
	touchFor  = 3 * time.Second         // ... and one is turned to only after it was in touch for so long
	tablesFor = 3 * time.Second         // tables count that were worked out after a renewal no older than this
	sentMost  = 8                       // renewals of which the sending is remembered
)

// touch is what a life of a controller says of its contact with a majority of the voters.
type touch struct {
	apart bool
	since time.Duration // of that; at first, of its first word
}

// hear takes a word of it.
func (t *touch) hear(now time.Duration, apart bool) {
	if apart != t.apart {
		t.apart, t.since = apart, now
	}
}

// steady says whether it is to be steered by: it is in touch, for long enough if it is not the one that steers.
func (t *touch) steady(now time.Duration, steers bool) bool {
	if steers {
		return !t.apart || now <= t.since+apartMost
	}
	return !t.apart && now >= t.since+touchFor
}

// candidate is a controller that a carrier could be steered by: its line stands.
type candidate struct {
	name, zone string
	steady     bool
}

// steererOf is the controller that steers a carrier of a zone: one in touch before one that is apart, then that of the
// own zone, then by rendezvous, so that all carriers of a zone turn to the same. Where nobody is in touch one that is
// apart steers, as its tables are no worse than none. "" if there is none.
func steererOf(zone string, all []candidate) string {
	best, bestRank := "", uint64(0)
	for _, k := range all {
		rank := balancer.Rank(k.name, zone) >> 2
		if k.zone == zone {
			rank |= 1 << 62
		}
		if k.steady {
			rank |= 1 << 63
		}
		if best == "" || rank > bestRank {
			best, bestRank = k.name, rank
		}
	}
	return best
}

// sentTimes are the times at which renewals were sent on a line, by their numbers, which rise by one.
type sentTimes struct {
	at     [sentMost]time.Duration
	newest uint64
}

func (s *sentTimes) note(number uint64, now time.Duration) {
	s.at[number%sentMost], s.newest = now, number
}

// of is when a renewal was sent; false: it was not on this line, or too long ago.
func (s *sentTimes) of(number uint64) (time.Duration, bool) {
	if number == 0 || number > s.newest || number+sentMost <= s.newest || s.at[number%sentMost] == 0 {
		return 0, false
	}
	return s.at[number%sentMost], true
}

// rightUntil is until when this carrier may use what only a member may: RightFor from the newest instant whose
// renewals, or later ones, a majority of the voters has answered, of the old ones too while they count. renewed is
// the sending of the newest renewal that a controller answered, by its name. Whether they are in touch with one
// another does not matter: a lease stands between a carrier and each controller, and the majorities of two carriers
// share one that lists both. false: no majority has answered.
func rightUntil(e rpc.Epoch, renewed map[string]time.Duration) (time.Duration, bool) {
	var all []time.Duration
	for _, at := range renewed {
		all = append(all, at)
	}
	slices.Sort(all)
	slices.Reverse(all)
	for _, at := range all {
		if e.HasMajority(func(v rpc.Voter) bool { r, ok := renewed[v.Name]; return ok && r >= at }) {
			return at + registry.LeaseUseDuration, true
		}
	}
	return 0, false
}

// counts says whether a controller's word that a configuration is in force is to be acted on. A carrier that has
// one goes only forward, so whatever is newer is welcome. One that has none waits for somebody in touch, until
// readAtLeast after the first word of any: then the newest that was once in force is better than none.
func counts(now, firstWord time.Duration, has, apart bool) bool {
	return has || !apart || firstWord >= 0 && now > firstWord+readAtLeast
}
