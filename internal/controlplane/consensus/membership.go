package consensus

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// voterTimeout is how long a voter may be silent before a node that is caught up takes its place.
const voterTimeout = 2 * time.Second

// candidate is what is known of a voter, or of a node that does not vote yet.
type candidate struct {
	Voter
	lastContact  time.Duration // negative: none in this incarnation
	inactivity   time.Duration // since then
	connectedAt  time.Duration // of a node that does not vote
	shuttingDown bool
	replaced     bool // its machine is back with another disk: this one is gone for good
	caughtUp     bool // it has all that is chosen
}

func (c candidate) isGone() bool {
	return (c.shuttingDown || c.inactivity > voterTimeout) && !c.replaced
}

// desiredVoters are those who should vote: those that do, with at most a few changes.
func (r *Replica) desiredVoters() []Voter {
	var voters, learners []candidate
	for _, v := range r.epoch.Voters {
		voters = append(voters, r.voterCandidate(v))
	}
	for _, name := range r.connectedPeers() {
		p := r.peers[name]
		if r.epoch.IsVoter(p.storeID) || p.storeID == "" || p.shuttingDown {
			continue
		}
		learners = append(learners, candidate{
			Voter:       p.voter(),
			caughtUp:    r.isCaughtUp(p) && p.reportedAt != never,
			connectedAt: p.connectedAt,
		})
	}
	return chooseVoters(voters, learners, r.options.MaxFaults, r.epoch.TargetSize())
}

func (r *Replica) voterCandidate(v Voter) candidate {
	if v.StoreID == r.storeID {
		return candidate{Voter: v, shuttingDown: r.shuttingDown, lastContact: r.now}
	}
	p := r.peers[v.Name]
	if p == nil { // it was not seen in this incarnation
		return candidate{Voter: v, inactivity: r.now, lastContact: never}
	}
	// Silence counts from when this node itself had quorum contact again. And a machine that was back with another disk,
	// and is silent again, is gone like any other.
	c := candidate{
		Voter:        v,
		lastContact:  p.lastContact,
		inactivity:   r.now - max(p.lastContact, r.contact.establishedAt),
		shuttingDown: p.shuttingDown,
	}
	c.replaced = p.storeID != v.StoreID && (p.connected || c.inactivity <= voterTimeout)
	return c
}

// chooseVoters decides on the next change of voters.
//
//   - A machine that came back with another disk votes with that one, once it is caught up: the old one is gone for
//     sure.
//   - A learner that is caught up takes the place of a voter that shuts down or is silent. It comes beside the others
//     only once all of them have answered since it connected: otherwise it could come beside one that was lost just
//     before, whose place it is to take, and the dead one would count for ever.
//   - By silence alone the number of voters only goes from even to odd, and never below 2f+1: a partition looks like a
//     loss, and those that are cut off must find a majority with any others that are half of the machines. Three that
//     lost one stay three and need both that are left; of two that lost one nothing is decided until it is back.
//   - One that shuts down is removed likewise, but down to f+1.
//   - They are never more than targetSize, or 2f+1: otherwise machines whose places others took long ago, and that
//     wake, could be a majority that may go at any moment.
func chooseVoters(voters, learners []candidate, maxFaults, targetSize int) []Voter {
	c := newVoterChange(voters)
	for _, learner := range learners {
		if !learner.caughtUp {
			continue
		}
		previous := slices.IndexFunc(voters, func(v candidate) bool { return v.Name == learner.Name })
		switch {
		case previous >= 0 && voters[previous].replaced:
			c.remove(voters[previous].Voter)
		case previous >= 0:
			continue
		case len(c.gone) > 0:
			c.remove(c.gone[0].Voter)
			c.gone = c.gone[1:]
		case !c.mayGrow(learner, max(targetSize, 2*maxFaults+1)):
			continue
		}
		c.next = append(c.next, learner.Voter)
	}
	if len(c.gone) > 0 && len(c.next) == len(voters) && len(c.next)%2 == 0 {
		minSize := 2*maxFaults + 1
		if c.gone[0].shuttingDown {
			minSize = maxFaults + 1
		}
		if len(c.next)-1 >= minSize {
			c.remove(c.gone[0].Voter)
		}
	}
	return sortVoters(c.next)
}

// voterChange is a change of voters in the making.
type voterChange struct {
	next []Voter
	gone []candidate // voters whose place is free, the longest silent first
	// stable says that no voter shuts down or was replaced.
	stable          bool
	earliestContact time.Duration // the earliest of the voters' last contacts
}

func newVoterChange(voters []candidate) *voterChange {
	c := &voterChange{stable: true, earliestContact: time.Duration(math.MaxInt64)}
	for _, v := range voters {
		c.next = append(c.next, v.Voter)
		c.stable = c.stable && !v.shuttingDown && !v.replaced
		c.earliestContact = min(c.earliestContact, v.lastContact)
		if v.isGone() {
			c.gone = append(c.gone, v)
		}
	}
	slices.SortStableFunc(c.gone, func(a, b candidate) int { return cmp.Compare(b.inactivity, a.inactivity) })
	return c
}

func (c *voterChange) remove(out Voter) {
	c.next = slices.DeleteFunc(c.next, func(v Voter) bool { return v.StoreID == out.StoreID })
}

// mayGrow reports whether a learner may come beside the voters.
func (c *voterChange) mayGrow(learner candidate, maxSize int) bool {
	return c.stable && c.earliestContact > learner.connectedAt+pingInterval && len(c.next) < maxSize
}
