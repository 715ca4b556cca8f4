package accord

import (
	"slices"
	"time"
)

const (
	awayFor    = 3 * time.Second // a voter that is silent for so long gives its place to a new one that is whole
	flickering = 1200 * time.Millisecond
	votersMost = 7
)

// seat is what is known of a voter, or of a controller that is none yet.
type seat struct {
	Voter
	away    time.Duration // since its last answer
	leaving bool
	wiped   bool // its machine is back with another disk: this one is gone for good
	whole   bool // it has all that is chosen
}

// wish is who should vote: those that do, or one change to them.
func (r *Replica) wish() []Voter {
	var voters, others []seat
	for _, v := range r.epoch.Voters {
		s := seat{Voter: v, leaving: r.leaving}
		if v.ID != r.disk {
			s.away, s.leaving = max(r.now, flickering), false // it was not seen in this life
			if p := r.peers[v.Name]; p != nil {
				// Silence counts from when this controller itself was in touch again; and a machine that was back with
				// another disk, and is silent again, is gone like any other.
				s.away, s.leaving = r.now-max(p.seenAt, r.touch.since), p.leaving
				s.wiped = p.disk != v.ID && (p.up || s.away <= awayFor)
			}
		}
		voters = append(voters, s)
	}
	for _, name := range r.lines() {
		p := r.peers[name]
		if !r.epoch.Voter(p.disk) && p.disk != "" && !p.leaving {
			others = append(others, seat{Voter: Voter{Controller: p.Controller, ID: p.disk}, whole: r.whole(p) && p.hasAt != never})
		}
	}
	return wish(voters, others, r.o.Faults)
}

// wish decides on one change of voters at most.
//
//   - A machine that came back with another disk votes with that one, once it is whole: the old one is gone for sure.
//   - One that is whole takes the place of a voter that leaves or is silent; it comes beside the others only while all of
//     them answer, so that a change is never waited for by more than the faults that are to be borne.
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
	gone, calm := -1, true
	for i, v := range voters {
		calm = calm && v.away < flickering && !v.leaving && !v.wiped
		if (v.leaving || v.away > awayFor) && !v.wiped && (gone < 0 || v.away > voters[gone].away) {
			gone = i
		}
	}
	for _, c := range others {
		switch back := slices.ContainsFunc(voters, func(v seat) bool { return v.Name == c.Name }); {
		case !c.whole || back:
		case gone >= 0:
			return change(&voters[gone].Voter, &c.Voter)
		case calm && len(voters) < max(votersMost, 2*faults+1):
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
