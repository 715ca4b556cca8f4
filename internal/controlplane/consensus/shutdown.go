package consensus

import (
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

// handoverInterval is the pause between two queries for what the peers have, and between two copies sent to one of
// them.
const handoverInterval = 300 * time.Millisecond

// ownVote stands in NotHandedOver for the vote of the own disk.
const ownVote = "its vote"

// onShutdown begins to hand over.
func (r *Replica) onShutdown() {
	r.shuttingDown, r.shutdownAt = true, r.now
	r.queryForHandover()
}

func (r *Replica) queryForHandover() {
	r.broadcast(rpc.Consensus{ShuttingDown: true, QueryState: true, QueryID: r.nextQueryID()})
}

// NotHandedOver is what a shutdown has not handed over yet: registers, with the peer that lacks them, and ownVote.
func (r *Replica) NotHandedOver() []string { return r.notHandedOver }

// tickShutdown ends a shutdown once nothing needs this disk: the peers have all that is chosen, and its vote has
// moved on where that is wanted.
func (r *Replica) tickShutdown() {
	if !r.shuttingDown || r.handedOver {
		return
	}
	resend := r.now >= r.handoverQueriedAt+handoverInterval
	if resend { // while requests go on, what the peers have changes all the time
		r.handoverQueriedAt = r.now
		r.queryForHandover()
	}
	open := r.transferState(resend)
	if r.IsVoter() && (r.epoch.IsJoint() || !slices.Equal(r.desiredVoters(), r.epoch.Voters)) {
		open = append(open, ownVote)
	}
	r.notHandedOver = open
	if len(open) == 0 {
		r.handedOver = true
		r.emit(HandedOver{})
	}
}

// transferState gives the voters what they lack, and returns what still needs this disk: what is not on all voters to
// which a connection is up, and on as many of the others as keep it durable.
func (r *Replica) transferState(resend bool) (open []string) {
	for _, name := range r.sortedRegisters() {
		g := r.registers[name]
		switch {
		case name == epochRegister || !g.hasAccepted():
		case !g.isChosen():
			open = append(open, name) // it is finished as always
		default:
			open = append(open, r.transferRegister(g, resend)...)
		}
	}
	return open
}

func (r *Replica) transferRegister(g *register, resend bool) (open []string) {
	has := map[string]bool{} // by store id
	for _, name := range r.connectedPeers() {
		p := r.peers[name]
		reported := p.reportedAt >= r.shutdownAt && p.reportedAt != never
		has[p.storeID] = reported && !p.accepted[g.name].Less(g.chosenBallot)
		if has[p.storeID] || !r.epoch.IsVoter(p.storeID) {
			continue
		}
		open = append(open, g.name+" at "+name)
		if resend && reported {
			r.send(name, r.chosenValue(g))
		}
	}
	for _, set := range [][]Voter{r.epoch.Voters, r.epoch.OldVoters} {
		if !r.isDurableWithoutSelf(set, has) {
			open = append(open, g.name)
		}
	}
	return open
}

// isDurableWithoutSelf reports whether enough disks of a set, the own one left out, have a value.
func (r *Replica) isDurableWithoutSelf(set []Voter, onDisk map[string]bool) bool {
	others, count := 0, 0
	for _, v := range set {
		if v.StoreID == r.storeID {
			continue
		}
		others++
		if onDisk[v.StoreID] {
			count++
		}
	}
	return count >= min(rpc.QuorumSize(len(set), r.options.MaxFaults), others)
}
