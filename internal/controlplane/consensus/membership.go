package consensus

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// voterTimeout is how long a voter may be silent before a caught-up learner replaces it.
const voterTimeout = 2 * time.Second

// candidate is what this node knows of a voter or a learner.
type candidate struct {
	Voter
	lastContact  time.Duration // negative if there was none since this process started
	inactivity   time.Duration // time without contact
	connectedAt  time.Duration // of a learner
	shuttingDown bool
	replaced     bool // the machine is connected with another disk, so this one is lost
	caughtUp     bool // the disk has all values that are known to be chosen
}

// isRemovable reports whether this voter may be removed, or replaced by another machine.
func (c candidate) isRemovable() bool {
	return (c.shuttingDown || c.inactivity > voterTimeout) && !c.replaced
}

// desiredVoters returns the voters that there should be: the present ones with few changes.
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
	if p == nil { // not seen since this process started
		return candidate{Voter: v, inactivity: r.now, lastContact: never}
	}
	// Inactivity is counted only while this node itself has quorum contact.
	c := candidate{
		Voter:        v,
		lastContact:  p.lastContact,
		inactivity:   r.now - max(p.lastContact, r.contact.establishedAt),
		shuttingDown: p.shuttingDown,
	}
	// A machine that returned with another disk and then fell silent counts as silent, not as replaced.
	c.replaced = p.storeID != v.StoreID && (p.connected || c.inactivity <= voterTimeout)
	return c
}

// chooseVoters returns the next voters:
//
//   - A machine that returned with another disk votes with that disk once it is caught up, in place of the lost one.
//   - A caught-up learner replaces a voter that shuts down or is silent.
//   - A learner is added only if every voter has answered since the learner connected. Otherwise it might be added
//     beside a voter that has just failed and that it should replace, and the failed voter would count forever.
//   - Silence alone removes a voter only from an even number of voters, and never below 2f+1. A partition looks like a
//     loss, and the nodes that are cut off must still form a majority with any other half of the machines. So three
//     voters that have lost one stay three and need both others; two that have lost one wait until it is back.
//   - A voter that shuts down is removed under the same rule, but down to f+1.
//   - Growth stops at max(targetSize, 2f+1) voters. Otherwise machines that were replaced long ago and return could
//     form a majority that may disappear at any time.
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
		case len(c.removable) > 0:
			c.remove(c.removable[0].Voter)
			c.removable = c.removable[1:]
		case !c.mayGrow(learner, max(targetSize, 2*maxFaults+1)):
			continue
		}
		c.next = append(c.next, learner.Voter)
	}
	if len(c.removable) > 0 && len(c.next) == len(voters) && len(c.next)%2 == 0 {
		minSize := 2*maxFaults + 1
		if c.removable[0].shuttingDown {
			minSize = maxFaults + 1
		}
		if len(c.next)-1 >= minSize {
			c.remove(c.removable[0].Voter)
		}
	}
	return sortVoters(c.next)
}

// voterChange is a change of voters that is being computed.
type voterChange struct {
	next            []Voter
	removable       []candidate   // voters that may be removed, the longest silent first
	stable          bool          // no voter shuts down or was replaced
	earliestContact time.Duration // the earliest of the voters' last contacts
}

func newVoterChange(voters []candidate) *voterChange {
	c := &voterChange{stable: true, earliestContact: time.Duration(math.MaxInt64)}
	for _, v := range voters {
		c.next = append(c.next, v.Voter)
		c.stable = c.stable && !v.shuttingDown && !v.replaced
		c.earliestContact = min(c.earliestContact, v.lastContact)
		if v.isRemovable() {
			c.removable = append(c.removable, v)
		}
	}
	slices.SortStableFunc(c.removable, func(a, b candidate) int { return cmp.Compare(b.inactivity, a.inactivity) })
	return c
}

func (c *voterChange) remove(out Voter) {
	c.next = slices.DeleteFunc(c.next, func(v Voter) bool { return v.StoreID == out.StoreID })
}

// mayGrow reports whether a learner may be added to the voters.
func (c *voterChange) mayGrow(learner candidate, maxSize int) bool {
	return c.stable && c.earliestContact > learner.connectedAt+pingInterval && len(c.next) < maxSize
}
