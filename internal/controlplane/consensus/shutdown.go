package consensus

import (
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

// handoverInterval is the delay between two queries of the peers' state, and between two copies of a value to one peer.
const handoverInterval = 300 * time.Millisecond

// voteNotHandedOver is the entry of NotHandedOver for the vote of the local disk.
const voteNotHandedOver = "its vote"

// onShutdown begins the handover.
func (r *Replica) onShutdown() {
	r.shuttingDown, r.shutdownAt = true, r.now
	r.queryForHandover()
}

func (r *Replica) queryForHandover() {
	r.broadcast(rpc.Consensus{ShuttingDown: true, QueryState: true, QueryID: r.nextQueryID()})
}

// NotHandedOver lists what a shutdown still waits for: registers, with the peer that lacks them, and voteNotHandedOver.
func (r *Replica) NotHandedOver() []string { return r.notHandedOver }

// tickShutdown completes a shutdown once this disk is no longer needed: the peers have all chosen values, and if the
// voters should change, this disk no longer votes.
func (r *Replica) tickShutdown() {
	if !r.shuttingDown || r.handedOver {
		return
	}
	resend := r.now >= r.handoverQueriedAt+handoverInterval
	if resend { // concurrent requests change the state of the peers
		r.handoverQueriedAt = r.now
		r.queryForHandover()
	}
	pending := r.transferState(resend)
	if r.IsVoter() && (r.epoch.IsJoint() || !slices.Equal(r.desiredVoters(), r.epoch.Voters)) {
		pending = append(pending, voteNotHandedOver)
	}
	r.notHandedOver = pending
	if len(pending) == 0 {
		r.handedOver = true
		r.emit(HandedOver{})
	}
}

// transferState sends the voters the values that they lack, and returns what still needs this disk. A register needs it
// until all connected voters have the value, and enough voters have it to keep it durable without this disk.
func (r *Replica) transferState(resend bool) (pending []string) {
	for _, name := range r.sortedRegisters() {
		reg := r.registers[name]
		switch {
		case name == epochRegister || !reg.hasAccepted():
		case !reg.isChosen():
			pending = append(pending, name)
		default:
			pending = append(pending, r.transferRegister(reg, resend)...)
		}
	}
	return pending
}

func (r *Replica) transferRegister(reg *register, resend bool) (pending []string) {
	onDisk := map[string]bool{} // by store id
	for _, name := range r.connectedPeers() {
		p := r.peers[name]
		reported := p.reportedAt >= r.shutdownAt && p.reportedAt != never
		onDisk[p.storeID] = reported && !p.accepted[reg.name].Less(reg.chosenBallot)
		if onDisk[p.storeID] || !r.epoch.IsVoter(p.storeID) {
			continue
		}
		pending = append(pending, reg.name+" at "+name)
		if resend && reported {
			r.send(name, r.chosenValue(reg))
		}
	}
	for _, set := range [][]Voter{r.epoch.Voters, r.epoch.OldVoters} {
		if !r.isDurableWithoutSelf(set, onDisk) {
			pending = append(pending, reg.name)
		}
	}
	return pending
}

// isDurableWithoutSelf reports whether a value is durable in a set of voters without counting the local disk.
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
