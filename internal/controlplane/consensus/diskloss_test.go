package consensus

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// mayLoseDisk reports whether the cluster must tolerate the loss of a machine's disk now: in each epoch that may be in
// use, at most maxFaults disks are lost, and the others are a quorum.
func (sim *simulation) mayLoseDisk(i int) bool {
	if sim.maxFaults == 0 {
		return false
	}
	storeID := sim.machines[i].storeID
	newest := uint64(0)
	for n, e := range sim.epochs {
		hasEntered := func(v Voter) bool { return sim.storedEpochs[v.StoreID] >= n && sim.storeExists(v.StoreID) }
		if n > newest && e.HasMajority(hasEntered) {
			newest = n
		}
	}
	if newest == 0 && !sim.mayLoseDiskDuringBootstrap(i) {
		return false
	}
	for _, e := range sim.possibleEpochs(newest) {
		if len(e.Voters) < 2*sim.maxFaults+1 {
			return false // too few to tolerate maxFaults
		}
		for _, voters := range [][]Voter{e.Voters, e.OldVoters} {
			lost := 0
			for _, v := range voters {
				if v.StoreID == storeID || !sim.storeExists(v.StoreID) {
					lost++
				}
			}
			if lost > sim.maxFaults {
				return false
			}
		}
		remains := func(v Voter) bool { return v.StoreID != storeID && sim.storeExists(v.StoreID) }
		if !e.HasMajority(remains) || !e.IsDurable(sim.maxFaults, remains) {
			return false
		}
	}
	return true
}

// mayLoseDiskDuringBootstrap is mayLoseDisk while no epoch is decided.
func (sim *simulation) mayLoseDiskDuringBootstrap(i int) bool {
	rule := bootstrapRule{seeds: len(sim.seeds), maxFaults: sim.maxFaults}
	intact, intactSeeds, lost := 0, 0, 1
	for _, m := range sim.machines {
		var d diskRecord
		isIntact := m.records[recordDisk] != nil && cbor.Unmarshal(m.records[recordDisk], &d) == nil &&
			d.WrittenAtFirstStart && m.records[recordsCompleteMarker] != nil
		switch {
		case m == sim.machines[i]:
		case m.paused || m.replica == nil && !m.removed || len(sim.blockedLinks) > 0:
			return false // it may have a proposal with this disk as a voter
		case !isIntact:
			lost++
		default:
			intact++
			if slices.Contains(sim.seeds, m.node.Address) {
				intactSeeds++
			}
		}
	}
	hasQuorum := intact >= sim.maxFaults+1
	if rule.seedsDecide() {
		hasQuorum = intactSeeds >= len(sim.seeds)/2+1
	}
	return hasQuorum && lost <= sim.maxFaults
}

// possibleEpochs returns the decided epochs starting with a number, and the later ones that are proposed or accepted.
func (sim *simulation) possibleEpochs(from uint64) (all []Epoch) {
	for _, n := range slices.Sorted(maps.Keys(sim.epochs)) {
		if n >= from {
			all = append(all, sim.epochs[n])
		}
	}
	addProposed := func(v Register) {
		if e, err := decodeEpoch(v.Value); err == nil && e.Number > from {
			all = append(all, e)
		}
	}
	for _, m := range sim.machines {
		var record registerRecord
		if data := m.records[registerRecordName(epochRegister)]; data != nil && cbor.Unmarshal(data, &record) == nil {
			addProposed(record.Value)
		}
		if m.replica != nil && m.replica.registers[epochRegister] != nil {
			register := m.replica.registers[epochRegister]
			if addProposed(register.acceptor.Value); register.proposal.Value != nil {
				addProposed(*register.proposal.Value)
			}
		}
	}
	return all
}
