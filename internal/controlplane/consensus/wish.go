package consensus

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	awayFor = 2 * time.Second // a voter that is silent for so long gives its place to a new one that is whole
)

// seat is what is known of a voter, or of a controller that is none yet.
type seat struct {
	Voter
	seen    time.Duration // its last answer; negative: none in this life
	away    time.Duration // since then
	came    time.Duration // of one that is no voter yet: when its line stood
	leaving bool
	wiped   bool // its machine is back with another disk: this one is gone for good
	whole   bool // it has all that is chosen
}

// wish is who should vote: those that do, or one change to them.
func (r *Replica) wish() []Voter {
	var voters, others []seat
	for _, v := range r.epoch.Voters {
		s := seat{Voter: v, leaving: r.leaving, seen: r.now}
		if v.StoreID != r.disk {
			s.away, s.leaving, s.seen = r.now, false, never // it was not seen in this life
			if p := r.peers[v.Name]; p != nil {
				// Silence counts from when this controller itself was in touch again; and a machine that was back with
				// another disk, and is silent again, is gone like any other.
				s.away, s.leaving, s.seen = r.now-max(p.seenAt, r.touch.since), p.leaving, p.seenAt
				s.wiped = p.disk != v.StoreID && (p.up || s.away <= awayFor)
			}
		}
		voters = append(voters, s)
	}
	for _, name := range r.lines() {
		p := r.peers[name]
		if !r.epoch.IsVoter(p.disk) && p.disk != "" && !p.leaving {
			others = append(others, seat{Voter: Voter{Node: p.Node, StoreID: p.disk}, whole: r.whole(p) && p.hasAt != never, came: p.upAt})
		}
	}
	return wish(voters, others, r.o.Faults, r.epoch.TargetSize())
}

// wish decides on the next change of voters.
//
//   - A machine that came back with another disk votes with that one, once it is whole: the old one is gone for sure.
//   - One that is whole takes the place of a voter that leaves or is silent; it comes beside the others only once all of
//     them have answered since it came. Guards against it coming beside one that was lost just before, whose place it
//     is to take: the dead would count for ever.
//   - By silence alone the number of voters only goes from even to odd, and never below 2f+1: a cut looks like a loss, and
//     those that are cut off must find a majority with any others that are half of the machines. Three that lost one stay
//     three and need both that are left; of two that lost one nothing is decided until it is back.
//   - One that leaves is let go likewise, but down to f+1.
//   - They are never more than most: as many as founded the core, or 2f+1. Guards against machines whose places others took
//     long ago, and that wake, being a majority that may go at any moment.
func wish(voters, others []seat, faults, most int) []Voter {
	var next []Voter
	var gone []seat // the longest silent first
	calm, answered := true, time.Duration(math.MaxInt64)
	for _, v := range voters {
		next = append(next, v.Voter)
		calm, answered = calm && !v.leaving && !v.wiped, min(answered, v.seen)
		if (v.leaving || v.away > awayFor) && !v.wiped {
			gone = append(gone, v)
		}
	}
	slices.SortStableFunc(gone, func(a, b seat) int { return cmp.Compare(b.away, a.away) })
	drop := func(out Voter) {
		next = slices.DeleteFunc(next, func(v Voter) bool { return v.StoreID == out.StoreID })
	}
	for _, c := range others {
		if !c.whole {
			continue
		}
		before := slices.IndexFunc(voters, func(v seat) bool { return v.Name == c.Name })
		switch {
		case before >= 0 && voters[before].wiped:
			drop(voters[before].Voter)
		case before >= 0:
			continue
		case len(gone) > 0:
			drop(gone[0].Voter)
			gone = gone[1:]
		case !calm || answered <= c.came+pingEvery || len(next) >= max(most, 2*faults+1):
			continue
		}
		next = append(next, c.Voter)
	}
	if len(gone) > 0 && len(next) == len(voters) && len(next)%2 == 0 {
		least := 2*faults + 1
		if gone[0].leaving {
			least = faults + 1
		}
		if len(next)-1 >= least {
			drop(gone[0].Voter)
		}
	}
	return sorted(next)
}
