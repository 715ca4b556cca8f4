package consensus

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Status is what a controller knows of the core, for the operator. Names are in their order.
type Status struct {
	Epoch     uint64           `json:"epoch"`    // 0: there is none yet, or it is not known here
	Changing  bool             `json:"changing"` // a change of voters is under way: old and new ones count
	InTouch   bool             `json:"inTouch"`  // this controller, with a majority of the voters
	Votes     bool             `json:"votes"`    // its disk does
	Leaving   bool             `json:"leaving"`  // it hands over, and ends
	Missing   []string         `json:"missing,omitempty"`
	Me        MemberStatus     `json:"me"`
	Voters    []MemberStatus   `json:"voters"`
	Learners  []MemberStatus   `json:"learners"` // controllers with a line that do not vote
	Registers []RegisterStatus `json:"registers"`
}

// MemberStatus is a controller with its disk, as another one, or itself, sees it.
type MemberStatus struct {
	Name    string   `json:"name"`
	Zone    string   `json:"zone"`
	Disk    string   `json:"disk"`
	InTouch bool     `json:"inTouch"`           // it answers questions
	SilentS float64  `json:"silentS,omitempty"` // since its last answer, or the start of this process
	Gone    bool     `json:"gone,omitempty"`    // a voter whose machine came back with another disk
	Leaving bool     `json:"leaving,omitempty"`
	Change  string   `json:"change,omitempty"`  // while voters change: "in" or "out"
	Whole   bool     `json:"whole"`             // its disk has all that is known to be chosen, as it said last
	Lacks   []string `json:"lacks,omitempty"`   // the registers of which it has not the newest value
	Unheard []string `json:"unheard,omitempty"` // ... and those that changed since it last said what it has
}

// RegisterStatus is the newest value of a register on this controller's disk. Disks are the voters known to have it.
type RegisterStatus struct {
	Name   string `json:"name"`
	Hi     uint64 `json:"hi"` // its stamp
	Lo     uint64 `json:"lo,string"`
	Chosen bool   `json:"chosen"` // known to be decided; otherwise it is found out within a second, in touch
	Disks  int    `json:"disks"`
}

// Status reads the state of the core; it changes nothing.
func (r *Replica) Status(now time.Duration) Status {
	all := r.epoch.AllVoters()
	s := Status{Epoch: r.epoch.Number, Changing: len(r.epoch.OldVoters) > 0, InTouch: r.InTouch(now), Votes: r.Votes(),
		Leaving: r.leaving, Missing: r.missing, Me: r.myStatus(), Voters: []MemberStatus{}, Learners: []MemberStatus{},
		Registers: []RegisterStatus{}}
	for _, v := range all {
		m := r.myStatus()
		if v.StoreID != r.disk {
			p := r.peers[v.Name]
			m = r.peerStatus(now, v, p)
			m.Gone = v.Name == r.o.Me.Name || p != nil && p.disk != v.StoreID
		}
		switch {
		case !s.Changing:
		case !slices.Contains(r.epoch.OldVoters, v):
			m.Change = "in"
		case !slices.Contains(r.epoch.Voters, v):
			m.Change = "out"
		}
		s.Voters = append(s.Voters, m)
	}
	slices.SortStableFunc(s.Voters, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, name := range r.lines() {
		if p := r.peers[name]; !r.epoch.IsVoter(p.disk) {
			s.Learners = append(s.Learners, r.peerStatus(now, Voter{Node: p.Node, StoreID: p.disk}, p))
		}
	}
	for _, name := range r.Names() {
		g := r.regs[name]
		on := RegisterStatus{Name: name, Hi: g.acc.Value.Version.Number, Lo: g.acc.Value.Version.ID, Chosen: g.chosen()}
		for _, v := range all {
			p := r.peers[v.Name]
			if v.StoreID == r.disk && !g.disk.Less(g.acc.Accepted) ||
				p != nil && p.disk == v.StoreID && !p.has[name].Less(g.acc.Accepted) {
				on.Disks++
			}
		}
		s.Registers = append(s.Registers, on)
	}
	return s
}

func (r *Replica) myStatus() MemberStatus {
	m := MemberStatus{Name: r.o.Me.Name, Zone: r.o.Me.Zone, Disk: r.disk, InTouch: true, Leaving: r.leaving}
	m.lack(r, r.born, r.now, func(name string) BallotNumber { return r.regs[name].disk })
	return m
}

// peerStatus is that of another controller; p is nil if it was not heard of in this life.
func (r *Replica) peerStatus(now time.Duration, v Voter, p *peer) MemberStatus {
	m := MemberStatus{Name: v.Name, Zone: v.Zone, Disk: v.StoreID}
	silent := now
	if p != nil && p.disk == v.StoreID {
		m.Leaving, silent = p.leaving, now-p.seenAt
		m.InTouch = p.up && silent <= TouchFor
		m.lack(r, p.hasAt != never, p.hasAt, func(name string) BallotNumber { return p.has[name] })
	}
	if !m.InTouch {
		m.SilentS = silent.Round(100 * time.Millisecond).Seconds()
	}
	return m
}

// lack says what a disk has not of what is known to be chosen, or of what others have that is newer, by what was said of
// it at a time.
func (m *MemberStatus) lack(r *Replica, said bool, at time.Duration, has func(name string) BallotNumber) {
	if !said {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.regs)) {
		g := r.regs[name]
		newest := g.safe
		for _, ahead := range g.ahead {
			if m.Disk == r.disk && newest.Less(ahead) {
				newest = ahead
			}
		}
		switch {
		case name == epochName || !has(name).Less(newest):
		case at < g.openAt:
			m.Unheard = append(m.Unheard, name)
		default:
			m.Lacks = append(m.Lacks, name)
		}
	}
	m.Whole = len(m.Lacks)+len(m.Unheard) == 0
}
