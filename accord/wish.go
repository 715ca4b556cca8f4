package accord

import (
	"math"
	"slices"
	"time"
)

const (
	awayFor    = 2 * time.Second // a voter that is silent for so long gives its place to a new one that is whole
	votersMost = 7
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
		if v.ID != r.disk {
			s.away, s.leaving, s.seen = r.now, false, never // it was not seen in this life
			if p := r.peers[v.Name]; p != nil {
				// Silence counts from when this controller itself was in touch again; and a machine that was back with
				// another disk, and is silent again, is gone like any other.
				s.away, s.leaving, s.seen = r.now-max(p.seenAt, r.touch.since), p.leaving, p.seenAt
				s.wiped = p.disk != v.ID && (p.up || s.away <= awayFor)
			}
		}
		voters = append(voters, s)
	}
	for _, name := range r.lines() {
		p := r.peers[name]
		if !r.epoch.Voter(p.disk) && p.disk != "" && !p.leaving {
			others = append(others, seat{Voter: Voter{Controller: p.Controller, ID: p.disk}, whole: r.whole(p) && p.hasAt != never, came: p.upAt})
		}
	}
	return wish(voters, others, r.o.Faults)
}

// wish decides on one change of voters at most.
//
//   - A machine that came back with another disk votes with that one, once it is whole: the old one is gone for sure.
//   - One that is whole takes the place of a voter that leaves or is silent; it comes beside the others only once all of
//     them have answered since it came. Guards against it coming beside one that was lost just before, whose place it
//     is to take: the dead would count for ever.
//   - By silence alone the number of voters only goes from even to odd, and never below 2f+1: a cut looks like a loss, and
//     those that are cut off must find a majority with any others that are half of the machines. Three that lost one stay
//     three and need both that are left; of two that lost one nothing is decided until it is back.
//   - One that leaves is let go likewise, but down to f+1.
func wish(voters, others []seat, faults int) []Voter {
	var now []Voter
	for _, s := range voters {
		now = append(now, s.Voter)
	}
	change := func(out, in *Voter) []Voter {
		next := slices.DeleteFunc(slices.Clone(now), func(v Voter) bool { return out != nil && v.ID == out.ID })
		if in != nil {
			next = append(next, *in)
		}
		return sorted(next)
	}
	for _, c := range others {
		for _, v := range voters {
			if c.whole && v.wiped && v.Name == c.Name {
				return change(&v.Voter, &c.Voter)
			}
		}
	}
	gone, calm, answered := -1, true, time.Duration(math.MaxInt64)
	for i, v := range voters {
		calm, answered = calm && !v.leaving && !v.wiped, min(answered, v.seen)
		if (v.leaving || v.away > awayFor) && !v.wiped && (gone < 0 || v.away > voters[gone].away) {
			gone = i
		}
	}
	for _, c := range others {
		switch back := slices.ContainsFunc(voters, func(v seat) bool { return v.Name == c.Name }); {
		case !c.whole || back:
		case gone >= 0:
			return change(&voters[gone].Voter, &c.Voter)
		case calm && answered > c.came+pingEvery && len(voters) < max(votersMost, 2*faults+1):
			return change(nil, &c.Voter)
		}
	}
	if gone >= 0 && len(voters)%2 == 0 {
		least := 2*faults + 1
		if voters[gone].leaving {
			least = faults + 1
		}
		if len(voters)-1 >= least {
			return change(&voters[gone].Voter, nil)
		}
	}
	return now
}
