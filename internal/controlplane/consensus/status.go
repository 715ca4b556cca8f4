package consensus

import (
	"slices"
	"strings"
	"time"
)

// Status is what a node knows of the control plane, for operators. Its JSON is the answer to core.status, whose keys do
// not change. Names are in their order.
type Status struct {
	Epoch         uint64           `json:"epoch"`             // 0: there is none yet, or it is not known here
	Changing      bool             `json:"changing"`          // the epoch is a joint one
	HasQuorum     bool             `json:"inTouch"`           // this node has contact with a majority of the voters
	IsVoter       bool             `json:"votes"`             // its disk votes
	ShuttingDown  bool             `json:"leaving"`           // it hands over, and ends
	NotHandedOver []string         `json:"missing,omitempty"` // what it has not handed over yet
	Self          MemberStatus     `json:"me"`
	Voters        []MemberStatus   `json:"voters"`
	Learners      []MemberStatus   `json:"learners"` // connected nodes that do not vote
	Registers     []RegisterStatus `json:"registers"`
	Bootstrap     *BootstrapStatus `json:"founding,omitempty"` // while there is no epoch
	ForeignPeers  []string         `json:"foreign,omitempty"`  // nodes of a system that was founded independently
}

// BootstrapStatus is what a founding has and needs, as far as this node knows the machines.
type BootstrapStatus struct {
	Disks        int  `json:"disks"`           // in touch, from the system's first start, the own one included
	Needed       int  `json:"needed"`          // of them
	SeedsOnly    bool `json:"seeds,omitempty"` // only those of the seeds count
	CanBootstrap bool `json:"enough"`          // they, or all machines that were heard of, are enough
}

// MemberStatus is a node with its disk, as another node, or itself, sees it.
type MemberStatus struct {
	Name            string   `json:"name"`
	Zone            string   `json:"zone"`
	StoreID         string   `json:"disk"`
	Responsive      bool     `json:"inTouch"`           // it answers pings
	InactiveSeconds float64  `json:"silentS,omitempty"` // since its last pong, or the start of this process
	Replaced        bool     `json:"gone,omitempty"`    // a voter whose machine came back with another disk
	ShuttingDown    bool     `json:"leaving,omitempty"`
	Change          string   `json:"change,omitempty"`  // in a joint epoch: changeIn, changeOut or empty
	CaughtUp        bool     `json:"whole"`             // its disk has all that is known to be chosen, as it said last
	Missing         []string `json:"lacks,omitempty"`   // registers of which it lacks the newest value
	Unconfirmed     []string `json:"unheard,omitempty"` // and those that changed since it last said what it has
}

// Values of MemberStatus.Change.
const (
	changeIn  = "in"  // becomes a voter
	changeOut = "out" // was a voter
)

// RegisterStatus is the newest value of a register on this node's disk.
type RegisterStatus struct {
	Name          string `json:"name"`
	VersionNumber uint64 `json:"hi"`
	VersionID     uint64 `json:"lo,string"`
	Chosen        bool   `json:"chosen"` // known to be decided; otherwise it is found out within a second, given a quorum
	Disks         int    `json:"disks"`  // voters that are known to have it
}

// Status reads the state; it changes nothing.
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
		Bootstrap:     r.foundingStatus(),
		ForeignPeers:  r.ForeignPeers(),
	}
}

func (r *Replica) foundingStatus() *BootstrapStatus {
	if r.epoch.Number > 0 {
		return nil
	}
	rule, votes := r.foundingRule(), r.foundingVotes(anyStore)
	s := &BootstrapStatus{Disks: votes.remembering, Needed: rule.needed(), CanBootstrap: r.canFound()}
	if rule.seedsDecide() {
		s.Disks, s.SeedsOnly = votes.rememberingSeeds, true
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
		g := r.registers[name]
		all = append(all, RegisterStatus{
			Name:          name,
			VersionNumber: g.acceptor.Value.Version.Number,
			VersionID:     g.acceptor.Value.Version.ID,
			Chosen:        g.isChosen(),
			Disks:         r.countDisks(g),
		})
	}
	return all
}

// countDisks is the number of voters that are known to have what is accepted here, or something newer.
func (r *Replica) countDisks(g *register) (disks int) {
	for _, v := range r.epoch.AllVoters() {
		p := r.peers[v.Name]
		switch {
		case v.StoreID == r.storeID:
			if !g.storedBallot.Less(g.acceptor.Accepted) {
				disks++
			}
		case p != nil && p.storeID == v.StoreID && !p.accepted[g.name].Less(g.acceptor.Accepted):
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
		r.noteMissing(&m, r.now, func(name string) BallotNumber { return r.registers[name].storedBallot })
	}
	return m
}

// peerStatus is that of another node; p is nil if it was not heard of in this incarnation.
func (r *Replica) peerStatus(now time.Duration, v Voter, p *peer) MemberStatus {
	m := MemberStatus{Name: v.Name, Zone: v.Zone, StoreID: v.StoreID}
	silence := now
	if p != nil && p.storeID == v.StoreID {
		m.ShuttingDown, silence = p.shuttingDown, now-p.lastContact
		m.Responsive = p.connected && silence <= QuorumContactTimeout
		if p.reportedAt != never {
			r.noteMissing(&m, p.reportedAt, func(name string) BallotNumber { return p.accepted[name] })
		}
	}
	if !m.Responsive {
		m.InactiveSeconds = silence.Round(100 * time.Millisecond).Seconds()
	}
	return m
}

// noteMissing notes what a disk lacks of what is known to be chosen, by what was reported of it at a time.
func (r *Replica) noteMissing(m *MemberStatus, reportedAt time.Duration, accepted func(name string) BallotNumber) {
	for _, name := range r.sortedRegisters() {
		g := r.registers[name]
		newest := g.chosenBallot
		if m.StoreID == r.storeID {
			newest = g.newestAnywhere()
		}
		switch {
		case name == epochRegister || !accepted(name).Less(newest):
		case reportedAt < g.unconfirmedAt:
			m.Unconfirmed = append(m.Unconfirmed, name)
		default:
			m.Missing = append(m.Missing, name)
		}
	}
	m.CaughtUp = len(m.Missing)+len(m.Unconfirmed) == 0
}

// newestAnywhere is the highest ballot that is known to be chosen here, or to be accepted by a peer.
func (g *register) newestAnywhere() BallotNumber {
	newest := g.chosenBallot
	for _, ballot := range g.newerAt {
		if newest.Less(ballot) {
			newest = ballot
		}
	}
	return newest
}
