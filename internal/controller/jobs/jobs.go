// Package jobs holds what parted sites know of jobs, and merges it. A job is an ingest batch of a client firm as
// the fleet deals with it. Sites take edits while they are cut off from each other; a job's state is the set of its
// edits, so a merge is a union, and Settle reads one answer out of any set, whatever the order in which it came.
// Causes are told by versions, never by clocks. The rules are numbered in docs/notes/jobs.md. No I/O here.
package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// Dot names an edit: the one that made it, in one of its lives, and its number there, from 1 on.
type Dot struct {
	Origin string `cbor:"1,keyasint"` // NAME@INCARNATION
	Number uint64 `cbor:"2,keyasint"`
}

func (d Dot) String() string { return fmt.Sprintf("%s#%d", d.Origin, d.Number) }

// VersionVector say up to which number an origin's edits are known, without a gap.
type VersionVector map[string]uint64

// Contains says whether an edit is among them.
func (v VersionVector) Contains(d Dot) bool { return v[d.Origin] >= d.Number }

// Dominates says whether all that others know is known.
func (v VersionVector) Dominates(others VersionVector) bool {
	for origin, n := range others {
		if v[origin] < n {
			return false
		}
	}
	return true
}

// Kind is what an edit does.
type Kind string

// Kinds. What came of a job ranks in the order in which it stands here, from Dispatched on.
const (
	Announce   Kind = "announce" // a source says that it comes
	Arrive     Kind = "arrive"   // it is here
	Hold       Kind = "hold"
	Release    Kind = "release"
	Withdraw   Kind = "withdraw"
	Place      Kind = "place"
	Expire     Kind = "expire"
	Prioritise Kind = "prioritise"
	Seen       Kind = "seen" // an operator has seen the edits named, which lost
	Late       Kind = "late"
	Dispatched Kind = "dispatched"
	Uncertain  Kind = "in doubt"
	Voided     Kind = "voided"
	Resolved   Kind = "settled"
)

var effects = []Kind{Dispatched, Uncertain, Voided, Resolved} // a later one tells more

var kinds = append([]Kind{Announce, Arrive, Hold, Release, Withdraw, Place, Expire, Prioritise, Seen, Late}, effects...)

// ID names a job: what a source of a tenant counts.
type ID struct {
	Tenant string `cbor:"1,keyasint"`
	Source string `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
}

func (id ID) String() string { return fmt.Sprintf("%s/%s/%d", id.Tenant, id.Source, id.Number) }

// Compare orders jobs by tenant, source and number.
func (id ID) Compare(o ID) int {
	return cmp.Or(cmp.Compare(id.Tenant, o.Tenant), cmp.Compare(id.Source, o.Source), cmp.Compare(id.Number, o.Number))
}

// Job is what a source says of it.
type Job struct {
	Due     int64    `cbor:"1,keyasint"` // ms since 1970 by the source's clock
	Product string   `cbor:"2,keyasint"`
	Txns    int      `cbor:"3,keyasint"`
	Home    string   `cbor:"4,keyasint"` // site
	Places  []string `cbor:"5,keyasint"` // zones that it may go to; none: any
	Expires int64    `cbor:"6,keyasint"` // ms since 1970; 0: never
}

// Edit is one thing that one of us was told or did. Fields that a newer version adds are in the raw bytes, which are
// kept and passed on as they came.
type Edit struct {
	Dot           Dot           `cbor:"1,keyasint"`
	CausalContext VersionVector `cbor:"2,keyasint" json:"Knew"` // by whoever made it, of this job
	ID            ID            `cbor:"3,keyasint"`
	Kind          Kind          `cbor:"4,keyasint"`
	Site          string        `cbor:"5,keyasint"`
	Operator      bool          `cbor:"6,keyasint"` // a person asked for it; else it is automatic
	Job           *Job          `cbor:"7,keyasint,omitempty"`
	Places        []string      `cbor:"8,keyasint,omitempty"`
	Expires       int64         `cbor:"9,keyasint,omitempty"`
	Priority      int           `cbor:"10,keyasint,omitempty"`
	Dots          []Dot         `cbor:"11,keyasint,omitempty"` // that were seen
	Epoch         uint64        `cbor:"12,keyasint,omitempty"` // of a dispatch

	Raw []byte `cbor:"-"`
}

// Decode reads an edit. A kind of a newer version is kept, and changes nothing here.
func Decode(raw []byte) (e Edit, err error) {
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return e, fmt.Errorf("not an edit: %w", err)
	}
	if e.Dot.Origin == "" || e.Dot.Number == 0 || e.ID.Tenant == "" || e.ID.Source == "" {
		return e, fmt.Errorf("not an edit: without a name of its own or of its job")
	}
	e.Raw = raw
	return e, nil
}

// Encode gives an edit its bytes.
func (e *Edit) Encode() {
	e.Raw, _ = cbor.Marshal(e)
}

// State is where a job stands.
type State string

// States.
const (
	StateAnnounced  State = "announced"
	StateArrived    State = "arrived"
	StateHeld       State = "held"
	StateWithdrawn  State = "withdrawn"
	StateDispatched State = "dispatched"
	StateUncertain  State = "in doubt"
	StateVoided     State = "voided"
	StateResolved   State = "settled"
	StateLate       State = "late"
	StateUnknown    State = "unknown" // edits of a job that nobody announced here
)

// Ended says whether nothing more can come of a job.
func (s State) Ended() bool {
	return s == StateWithdrawn || s == StateVoided || s == StateResolved || s == StateUnknown // all have forgotten it
}

// LostEdit is an edit that did not get its way, with the number of the rule that settled it.
type LostEdit struct {
	Dot    Dot
	Kind   Kind
	Site   string
	Rule   int
	Reason string
}

// View is what a set of edits comes to.
type View struct {
	ID         ID
	Job        Job
	State      State
	HoldReason string `json:"Why"` // of a job that is held
	Places     []string
	Expires    int64
	Priority   int
	Epoch      uint64
	Lost       []LostEdit // that no operator has seen yet
}

// Rules, by the number that a Lost names.
const (
	RuleOutcome            = 1 // what has taken effect outranks any wish
	RuleFurtherOutcome     = 2 // of what took effect, what tells more
	RuleSuperseded         = 3 // what knew of the other replaces it; nothing automatic replaces an operator's
	RuleSafer              = 4 // withdraw > hold > release; narrower placement; earlier expiry; lower priority
	RuleOperator           = 5 // an operator over what is automatic
	RuleHomeSite           = 6 // the home site over a guest
	RuleTieBreak           = 7 // a total order of the edits' names, which no clock can turn
	RuleDisjointPlacements = 8 // placements with nothing in common hold the job
)

var reasons = map[int]string{
	RuleOutcome:            "it came too late: the job had taken effect",
	RuleFurtherOutcome:     "another word tells more of what became of it",
	RuleSafer:              "a safer wish stands",
	RuleOperator:           "an operator's wish stands",
	RuleHomeSite:           "the home site's wish stands",
	RuleTieBreak:           "another wish stands, by name",
	RuleDisjointPlacements: "the placements have nothing in common; the job is held",
}

// standing are the edits of some kinds that none of the others replaces, in their total order. One replaces another
// where it knew of it; nothing automatic replaces an operator's.
func standing(edits []*Edit, which ...Kind) (top []*Edit) {
	known := [2]VersionVector{{}, {}} // by all, by operators
	for _, e := range edits {
		if slices.Contains(which, e.Kind) {
			for origin, n := range e.CausalContext {
				if known[0][origin] = max(known[0][origin], n); e.Operator {
					known[1][origin] = max(known[1][origin], n)
				}
			}
		}
	}
	for _, e := range edits {
		by := known[0]
		if e.Operator {
			by = known[1]
		}
		if slices.Contains(which, e.Kind) && !by.Contains(e.Dot) {
			top = append(top, e)
		}
	}
	slices.SortFunc(top, byName)
	return top
}

// byName is the last rule: by a hash, so that no site's name is favoured.
func byName(a, b *Edit) int {
	return cmp.Or(
		cmp.Compare(xxh3.HashString(a.Dot.String()), xxh3.HashString(b.Dot.String())),
		cmp.Compare(a.Dot.String(), b.Dot.String()),
	)
}

// winner picks one of those that stand; safer compares two of them, less is safer. The others lost, by a rule each.
func (v *View) winner(top []*Edit, safer func(a, b *Edit) int) *Edit {
	if len(top) == 0 {
		return nil
	}
	rank := func(a, b *Edit) (order, rule int) {
		flag := func(is bool) int {
			if is {
				return 0
			}
			return 1
		}
		if c := safer(a, b); c != 0 {
			return c, RuleSafer
		}
		if c := cmp.Compare(flag(a.Operator), flag(b.Operator)); c != 0 {
			return c, RuleOperator
		}
		if c := cmp.Compare(flag(a.Site == v.Job.Home), flag(b.Site == v.Job.Home)); c != 0 {
			return c, RuleHomeSite
		}
		return byName(a, b), RuleTieBreak
	}
	best := slices.MinFunc(top, func(a, b *Edit) int { c, _ := rank(a, b); return c })
	for _, e := range top {
		if e != best && !alike(e, best) {
			_, rule := rank(best, e)
			v.lose(e, rule)
		}
	}
	return best
}

// alike says whether two wish for the same: then nobody lost.
func alike(a, b *Edit) bool {
	return a.Kind == b.Kind && a.Expires == b.Expires && a.Priority == b.Priority && slices.Equal(a.Places, b.Places)
}

func (v *View) lose(e *Edit, rule int) {
	v.Lost = append(v.Lost, LostEdit{e.Dot, e.Kind, e.Site, rule, reasons[rule]})
}

// caution ranks what is to be done with a job, the safest first.
var caution = map[Kind]int{Withdraw: 0, Hold: 1, Release: 2}

// ComputeView reads the one answer out of a set of edits of one job.
func ComputeView(id ID, edits []*Edit) View {
	v := View{ID: id, State: StateUnknown}
	v.announce(edits)
	v.place(standing(edits, Place))
	v.Expires = v.Job.Expires
	byExpiry := func(a, b *Edit) int { return cmp.Compare(expiry(a.Expires), expiry(b.Expires)) }
	if e := v.winner(standing(edits, Expire), byExpiry); e != nil {
		v.Expires = e.Expires
	}
	byPriority := func(a, b *Edit) int { return cmp.Compare(a.Priority, b.Priority) }
	if e := v.winner(standing(edits, Prioritise), byPriority); e != nil {
		v.Priority = e.Priority
	}
	wishes := standing(edits, Hold, Release, Withdraw)
	v.applyIntent(edits, wishes)
	v.effect(edits, wishes)
	v.dropForgotten(edits)
	v.dropSeen(edits)
	return v
}

// announce takes the job from its source. Of two announcements the job is one's: the first by name, as both are true
// of it.
func (v *View) announce(edits []*Edit) {
	none := func(a, b *Edit) int { return 0 }
	e := v.winner(standing(edits, Announce, Arrive), none)
	if e == nil {
		return
	}
	if e.Job != nil {
		v.Job = *e.Job
	}
	v.Lost = nil // both say that it is there
	v.State = StateAnnounced
	if slices.ContainsFunc(edits, func(o *Edit) bool { return o.Kind == Arrive }) {
		v.State = StateArrived
	}
}

// applyIntent applies the most cautious of those who hold, release or withdraw the job.
func (v *View) applyIntent(edits, wishes []*Edit) {
	late := slices.ContainsFunc(edits, func(o *Edit) bool { return o.Kind == Late })
	wish := v.winner(wishes, func(a, b *Edit) int { return cmp.Compare(caution[a.Kind], caution[b.Kind]) })
	switch {
	case wish != nil && wish.Kind == Withdraw:
		v.State = StateWithdrawn
	case late && (wish == nil || wish.Kind != Release || !wish.Operator):
		v.State = StateLate
	case wish != nil && wish.Kind == Hold:
		v.State, v.HoldReason = StateHeld, "an edit holds it"
	case v.HoldReason != "" && v.State != StateUnknown:
		v.State = StateHeld
	}
}

// dropForgotten drops edits that were made where an old copy had the job open still; all others have seen it end, and
// forgot it.
func (v *View) dropForgotten(edits []*Edit) {
	hasEffect := func(e *Edit) bool { return slices.Contains(effects, e.Kind) }
	if v.Job.Product != "" || slices.ContainsFunc(edits, hasEffect) {
		return
	}
	v.State, v.HoldReason, v.Lost = StateUnknown, "", nil
	for _, e := range standing(edits, Hold, Release, Withdraw, Place, Expire, Prioritise) {
		v.lose(e, RuleOutcome)
	}
}

// dropSeen drops lost edits that somebody has seen, and sorts the others.
func (v *View) dropSeen(edits []*Edit) {
	seen := map[Dot]bool{}
	for _, e := range edits {
		for _, d := range e.Dots {
			seen[d] = seen[d] || e.Kind == Seen
		}
	}
	v.Lost = slices.DeleteFunc(v.Lost, func(l LostEdit) bool { return seen[l.Dot] })
	slices.SortFunc(v.Lost, func(a, b LostEdit) int {
		return cmp.Or(
			cmp.Compare(a.Dot.Origin, b.Dot.Origin),
			cmp.Compare(a.Dot.Number, b.Dot.Number),
			cmp.Compare(a.Rule, b.Rule),
		)
	})
}

// expiry is none for never, so that the earlier is the lesser.
func expiry(at int64) int64 {
	if at == 0 {
		return 1<<63 - 1
	}
	return at
}

// place narrows the placement to what all that stand have in common; nothing in common holds the job.
func (v *View) place(top []*Edit) {
	v.Places = slices.Clone(v.Job.Places)
	for i, e := range top {
		if i == 0 {
			v.Places = slices.Clone(e.Places) // a wish moves it: it may leave where the source put it
		}
		v.Places = slices.DeleteFunc(v.Places, func(z string) bool { return !slices.Contains(e.Places, z) })
	}
	slices.Sort(v.Places)
	if len(top) > 0 && len(v.Places) == 0 {
		v.HoldReason = reasons[RuleDisjointPlacements]
		for _, e := range top {
			v.lose(e, RuleDisjointPlacements)
		}
		return
	}
	for _, e := range top {
		sorted := slices.Sorted(slices.Values(e.Places))
		if len(top) > 1 && !slices.Equal(sorted, v.Places) {
			v.lose(e, RuleSafer)
		}
	}
}

// effect lets what became of a job outrank what was wished.
func (v *View) effect(edits, wishes []*Edit) {
	var best *Edit
	for _, e := range standing(edits, effects...) {
		if best == nil || slices.Index(effects, e.Kind) > slices.Index(effects, best.Kind) {
			best = e
		}
	}
	if best == nil {
		return
	}
	for _, e := range edits {
		if slices.Contains(effects, e.Kind) {
			v.Epoch = max(v.Epoch, e.Epoch)
		}
	}
	for _, e := range standing(edits, effects...) {
		if e.Kind != best.Kind {
			v.lose(e, RuleFurtherOutcome)
		}
	}
	for _, w := range wishes {
		if w.Kind != Release && !slices.ContainsFunc(v.Lost, func(l LostEdit) bool { return l.Dot == w.Dot }) {
			v.lose(w, RuleOutcome)
		}
	}
	v.HoldReason = ""
	v.State = map[Kind]State{
		Dispatched: StateDispatched,
		Uncertain:  StateUncertain,
		Voided:     StateVoided,
		Resolved:   StateResolved,
	}[best.Kind]
}

// ValidateEdit says what is wrong with an edit that somebody asks for, in one line; nil where it can be taken.
func ValidateEdit(e Edit) error {
	var what string
	switch {
	case !slices.Contains(kinds, e.Kind):
		what = fmt.Sprintf("kind: %q is none; write one of %s", e.Kind, join(kinds))
	case e.ID.Tenant == "" || e.ID.Source == "":
		what = "job: write its tenant, its source and its number there"
	case len(e.ID.Tenant) > 128 || len(e.ID.Source) > 128:
		what = "job: tenant and source have 128 bytes at most"
	case (e.Kind == Announce || e.Kind == Arrive) && (e.Job == nil || e.Job.Product == "" || e.Job.Txns <= 0 ||
		e.Job.Home == ""):
		what = "job: write its product, txns (1 or more) and home"
	case e.Kind == Place && len(e.Places) == 0:
		what = "places: write one zone at least"
	case e.Kind == Expire && e.Expires < 0, e.Job != nil && e.Job.Expires < 0:
		what = "expires: write ms since 1970, or 0 for never"
	case e.Kind == Seen && len(e.Dots) == 0:
		what = "dots: write which edits were seen"
	case e.Priority < -1000 || e.Priority > 1000:
		what = "priority: write a number from -1000 to 1000"
	case len(e.Places) > 64 || len(e.Dots) > 64 || e.Job != nil && len(e.Job.Places) > 64:
		what = "places, dots: 64 at most"
	default:
		return nil
	}
	return fmt.Errorf("%s", what)
}

func join(all []Kind) string {
	words := make([]string, len(all))
	for i, k := range all {
		words[i] = string(k)
	}
	return strings.Join(words, ", ")
}

// least is up to where all know, of an origin.
func least(origin string, all []VersionVector) (n uint64) {
	for i, v := range all {
		if i == 0 || v[origin] < n {
			n = v[origin]
		}
	}
	return n
}

// clone copies versions.
func (v VersionVector) clone() VersionVector { return maps.Clone(v) }
