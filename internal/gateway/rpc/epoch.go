package rpc

import "slices"

// Voter is a disk that counts: the controller whose machine it is in, and the disk's own id, drawn when it was first
// written, so that a wiped disk is somebody new.
type Voter struct {
	Controller `cbor:"1,keyasint"`
	ID         string `cbor:"2,keyasint"`
}

// Epoch is who votes in the core. Each follows from a decision of the one before. While Old is not empty the change
// to Voters is under way, and quorums of both count.
type Epoch struct {
	Number uint64  `cbor:"1,keyasint"` // 0: there is none yet
	Old    []Voter `cbor:"2,keyasint,omitempty"`
	Voters []Voter `cbor:"3,keyasint"`
	// Founded is how many founded the core.
	Founded int `cbor:"4,keyasint,omitempty"`
}

// Size is how many voters there should be: as many as founded the core, and one more if that is even, as an even number
// bears no more losses than the odd one below it.
func (e Epoch) Size() int {
	if e.Founded == 0 {
		return len(e.Voters) | 1
	}
	return e.Founded | 1
}

// All are those whose words may count, each once.
func (e Epoch) All() []Voter {
	all := slices.Clone(e.Voters)
	for _, v := range e.Old {
		if !e.in(all, v.ID) {
			all = append(all, v)
		}
	}
	return all
}

// Voter says whether a disk votes.
func (e Epoch) Voter(id string) bool { return e.in(e.Voters, id) || e.in(e.Old, id) }

func (e Epoch) in(set []Voter, id string) bool {
	return slices.ContainsFunc(set, func(v Voter) bool { return v.ID == id })
}

// Most says whether those for which has is true are a majority, of the old voters too while they count.
func (e Epoch) Most(has func(Voter) bool) bool { return e.enough(0, has) }

// Safe says whether those for which has is true are so many that a value lasts on their disks: a majority, and one
// more than may be lost at once, where there are so many.
func (e Epoch) Safe(faults int, has func(Voter) bool) bool { return e.enough(faults, has) }

func (e Epoch) enough(faults int, has func(Voter) bool) bool {
	if e.Number == 0 {
		return false
	}
	for _, set := range [][]Voter{e.Voters, e.Old} {
		n := 0
		for _, v := range set {
			if has(v) {
				n++
			}
		}
		if len(set) > 0 && n < min(max(faults+1, len(set)/2+1), len(set)) {
			return false
		}
	}
	return len(e.Voters) > 0
}
