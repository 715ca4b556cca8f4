package consensus

import (
	"slices"
	"strings"
	"time"
)

// Status is this node's view of the control plane, for operators. Its JSON is the answer to core.status, so the keys
// must not change. Lists are sorted by name.
type Status struct {
	Epoch         uint64           `json:"epoch"`             // 0: none is decided, or this node does not know it
	Changing      bool             `json:"changing"`          // the epoch is joint
	HasQuorum     bool             `json:"inTouch"`           // this node has contact with a majority of the voters
	IsVoter       bool             `json:"votes"`             // this node's disk votes
	ShuttingDown  bool             `json:"leaving"`           // this node hands over its state and ends
	NotHandedOver []string         `json:"missing,omitempty"` // what is not handed over yet
	Self          MemberStatus     `json:"me"`
	Voters        []MemberStatus   `json:"voters"`
	Learners      []MemberStatus   `json:"learners"` // connected nodes that do not vote
	Registers     []RegisterStatus `json:"registers"`
	Bootstrap     *BootstrapStatus `json:"founding,omitempty"` // only while there is no epoch
	ForeignPeers  []string         `json:"foreign,omitempty"`  // nodes of another cluster
}

// BootstrapStatus is the progress towards the first epoch, as far as this node knows the machines.
type BootstrapStatus struct {
	Disks        int  `json:"disks"`           // connected and intact, the local one included
	Needed       int  `json:"needed"`          // how many of them are a quorum
	SeedsOnly    bool `json:"seeds,omitempty"` // only the disks of seeds count
	CanBootstrap bool `json:"enough"`          // the connected disks are a quorum
}

// MemberStatus is a node with its disk, as the answering node sees it.
type MemberStatus struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	StoreID         string   `json:"disk"`
	Responsive      bool     `json:"inTouch"`           // it answers pings
	InactiveSeconds float64  `json:"silentS,omitempty"` // since the last pong, or the start of the answering process
	Replaced        bool     `json:"gone,omitempty"`    // a voter whose machine returned with another disk
	ShuttingDown    bool     `json:"leaving,omitempty"`
	Change          string   `json:"change,omitempty"`  // in a joint epoch: changeIn, changeOut or empty
	CaughtUp        bool     `json:"whole"`             // its disk has all values known to be chosen, by its last report
	Missing         []string `json:"lacks,omitempty"`   // registers whose newest value it lacks
	Unconfirmed     []string `json:"unheard,omitempty"` // registers that changed since its last report
}

// Values of MemberStatus.Change.
const (
	changeIn  = "in"  // is being added
	changeOut = "out" // is being removed
)

// RegisterStatus is the newest value of a register on the answering node's disk.
type RegisterStatus struct {
	Name          string `json:"name"`
	VersionNumber uint64 `json:"hi"`
	VersionID     uint64 `json:"lo,string"`
	Chosen        bool   `json:"chosen"` // known to be chosen
	Disks         int    `json:"disks"`  // voters known to have this value or a newer one
}

// Status returns the state without changing it.
func (r *Replica) Status(now time.Duration) Status {
	return Status{
		Epoch:         r.epoch.Number,
		Changing:      r.epoch.IsJoint(),
		HasQuorum:     r.HasQuorum(now),
		IsVoter:       r.IsVoter(),
		ShuttingDown:  r.shuttingDown,
		NotHandedOver: r.notHandedOver,
		Self:          r.selfStatus(),
		Voters:        r.voterStatuses(now),
		Learners:      r.learnerStatuses(now),
		Registers:     r.registerStatuses(),
		Bootstrap:     r.bootstrapStatus(),
		ForeignPeers:  r.ForeignPeers(),
	}
}

func (r *Replica) bootstrapStatus() *BootstrapStatus {
	if r.epoch.Number > 0 {
		return nil
	}
	rule, votes := r.bootstrapRule(), r.bootstrapVotes(anyStore)
	s := &BootstrapStatus{Disks: votes.intact, Needed: rule.needed(), CanBootstrap: r.canBootstrap()}
	if rule.seedsDecide() {
		s.Disks, s.SeedsOnly = votes.intactSeeds, true
	}
	return s
}

func (r *Replica) voterStatuses(now time.Duration) []MemberStatus {
	all := []MemberStatus{}
	for _, v := range r.epoch.AllVoters() {
		m := r.selfStatus()
		if v.StoreID != r.storeID {
			p := r.peers[v.Name]
			m = r.peerStatus(now, v, p)
			m.Replaced = v.Name == r.options.Self.Name || p != nil && p.storeID != v.StoreID
		}
		m.Change = r.changeOf(v)
		all = append(all, m)
	}
	slices.SortStableFunc(all, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (r *Replica) changeOf(v Voter) string {
	switch {
	case !r.epoch.IsJoint():
		return ""
	case !slices.Contains(r.epoch.OldVoters, v):
		return changeIn
	case !slices.Contains(r.epoch.Voters, v):
		return changeOut
	}
	return ""
}

func (r *Replica) learnerStatuses(now time.Duration) []MemberStatus {
	all := []MemberStatus{}
	for _, name := range r.connectedPeers() {
		if p := r.peers[name]; !r.epoch.IsVoter(p.storeID) {
			all = append(all, r.peerStatus(now, p.voter(), p))
		}
	}
	return all
}

func (r *Replica) registerStatuses() []RegisterStatus {
	all := []RegisterStatus{}
	for _, name := range r.RegisterNames() {
		reg := r.registers[name]
		all = append(all, RegisterStatus{
			Name:          name,
			VersionNumber: reg.acceptor.Value.Version.Number,
			VersionID:     reg.acceptor.Value.Version.ID,
			Chosen:        reg.isChosen(),
			Disks:         r.countDisks(reg),
		})
	}
	return all
}

// countDisks returns the number of voters that are known to have the accepted value or a newer one.
func (r *Replica) countDisks(reg *register) (disks int) {
	for _, v := range r.epoch.AllVoters() {
		p := r.peers[v.Name]
		switch {
		case v.StoreID == r.storeID:
			if !reg.storedBallot.Less(reg.acceptor.Accepted) {
				disks++
			}
		case p != nil && p.storeID == v.StoreID && !p.accepted[reg.name].Less(reg.acceptor.Accepted):
			disks++
		}
	}
	return disks
}

func (r *Replica) selfStatus() MemberStatus {
	m := MemberStatus{
		Name:         r.options.Self.Name,
		Zone:         r.options.Self.Zone,
		StoreID:      r.storeID,
		Responsive:   true,
		ShuttingDown: r.shuttingDown,
	}
	if r.identified {
		r.setMissing(&m, r.now, func(name string) BallotNumber { return r.registers[name].storedBallot })
	}
	return m
}

// peerStatus returns the status of another node. p is nil if the peer has not been seen since this process started.
func (r *Replica) peerStatus(now time.Duration, v Voter, p *peer) MemberStatus {
	m := MemberStatus{Name: v.Name, Zone: v.Zone, StoreID: v.StoreID}
	silence := now
	if p != nil && p.storeID == v.StoreID {
		m.ShuttingDown, silence = p.shuttingDown, now-p.lastContact
		m.Responsive = p.connected && silence <= QuorumContactTimeout
		if p.reportedAt != never {
			r.setMissing(&m, p.reportedAt, func(name string) BallotNumber { return p.accepted[name] })
		}
	}
	if !m.Responsive {
		m.InactiveSeconds = silence.Round(100 * time.Millisecond).Seconds()
	}
	return m
}

// setMissing sets which chosen values a disk lacks. accepted returns the ballots that the disk reported at reportedAt.
func (r *Replica) setMissing(m *MemberStatus, reportedAt time.Duration, accepted func(name string) BallotNumber) {
	for _, name := range r.sortedRegisters() {
		reg := r.registers[name]
		newest := reg.chosenBallot
		if m.StoreID == r.storeID {
			newest = reg.newestAnywhere()
		}
		switch {
		case name == epochRegister || !accepted(name).Less(newest):
		case reportedAt < reg.unconfirmedAt:
			m.Unconfirmed = append(m.Unconfirmed, name)
		default:
			m.Missing = append(m.Missing, name)
		}
	}
	m.CaughtUp = len(m.Missing)+len(m.Unconfirmed) == 0
}

// newestAnywhere returns the highest ballot that is known to be chosen, or that a peer has accepted.
func (reg *register) newestAnywhere() BallotNumber {
	newest := reg.chosenBallot
	for _, ballot := range reg.newerAt {
		if newest.Less(ballot) {
			newest = ballot
		}
	}
	return newest
}
