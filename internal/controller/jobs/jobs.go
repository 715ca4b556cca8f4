// Package jobs replicates the state of jobs between sites. A job is an ingest batch of a client company. Sites accept
// edits while they are partitioned from each other: the state of a job is its set of edits, a merge is a set union,
// and ComputeView derives the same view from the same set in any order. Version vectors track causality, not clocks.
// The numbered conflict rules are explained in docs/notes/jobs.md.
package jobs

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// Dot identifies an edit by its origin, which is one incarnation of an instance, and its number there, starting at 1.
type Dot struct {
	Origin string `cbor:"1,keyasint"` // NAME@INCARNATION
	Number uint64 `cbor:"2,keyasint"`
}

func (d Dot) String() string { return fmt.Sprintf("%s#%d", d.Origin, d.Number) }

// VersionVector holds, by origin, the number up to which all edits are known.
type VersionVector map[string]uint64

// Contains reports whether v includes the edit.
func (v VersionVector) Contains(d Dot) bool { return v[d.Origin] >= d.Number }

// Dominates reports whether v includes every edit that other includes.
func (v VersionVector) Dominates(other VersionVector) bool {
	for origin, n := range other {
		if v[origin] < n {
			return false
		}
	}
	return true
}

// Kind is the operation of an edit.
type Kind string

// Kinds of edits. The last four are outcomes.
const (
	Announce   Kind = "announce" // a source expects to deliver the job
	Arrive     Kind = "arrive"   // the job was delivered
	Hold       Kind = "hold"
	Release    Kind = "release"
	Withdraw   Kind = "withdraw"
	Place      Kind = "place"
	Expire     Kind = "expire"
	Prioritise Kind = "prioritise"
	Seen       Kind = "seen" // an operator acknowledges the lost edits in Dots
	Late       Kind = "late"
	Dispatched Kind = "dispatched"
	Uncertain  Kind = "in doubt"
	Voided     Kind = "voided"
	Resolved   Kind = "settled"
)

// outcomes lists the kinds that record what became of a job; a later one takes precedence.
var outcomes = []Kind{Dispatched, Uncertain, Voided, Resolved}

var allKinds = append(
	[]Kind{Announce, Arrive, Hold, Release, Withdraw, Place, Expire, Prioritise, Seen, Late},
	outcomes...,
)

// ID identifies a job. Each source of a tenant numbers its jobs.
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

// Job is the description of a job by its source.
type Job struct {
	Due     int64    `cbor:"1,keyasint"` // Unix time in ms, by the clock of the source
	Product string   `cbor:"2,keyasint"`
	Txns    int      `cbor:"3,keyasint"`
	Home    string   `cbor:"4,keyasint"` // the site of the source
	Places  []string `cbor:"5,keyasint"` // zones that the job may run in; empty: any
	Expires int64    `cbor:"6,keyasint"` // Unix time in ms; 0: never
}

// Edit is one operation on a job. Raw holds the received encoding, so that fields of a newer version are kept and
// forwarded unchanged.
type Edit struct {
	Dot           Dot           `cbor:"1,keyasint"`
	CausalContext VersionVector `cbor:"2,keyasint" json:"Knew"` // the edits of this job that its author had seen
	ID            ID            `cbor:"3,keyasint"`
	Kind          Kind          `cbor:"4,keyasint"`
	Site          string        `cbor:"5,keyasint"`
	Operator      bool          `cbor:"6,keyasint"` // a person requested it; otherwise it is automatic
	Job           *Job          `cbor:"7,keyasint,omitempty"`
	Places        []string      `cbor:"8,keyasint,omitempty"`
	Expires       int64         `cbor:"9,keyasint,omitempty"`
	Priority      int           `cbor:"10,keyasint,omitempty"`
	Dots          []Dot         `cbor:"11,keyasint,omitempty"` // the lost edits that a Seen edit acknowledges
	Epoch         uint64        `cbor:"12,keyasint,omitempty"` // of a dispatch

	Raw []byte `cbor:"-"`
}

// Decode decodes an edit. An edit of an unknown kind is valid; it does not affect the view.
func Decode(raw []byte) (e Edit, err error) {
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return e, fmt.Errorf("decode edit: %w", err)
	}
	if e.Dot.Origin == "" || e.Dot.Number == 0 || e.ID.Tenant == "" || e.ID.Source == "" {
		return e, fmt.Errorf("decode edit: origin, number, tenant or source is missing")
	}
	e.Raw = raw
	return e, nil
}

// Encode sets Raw to the encoding of the edit.
func (e *Edit) Encode() {
	e.Raw, _ = cbor.Marshal(e)
}

// State is the state of a job.
type State string

// States of a job.
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
	StateUnknown    State = "unknown" // edits exist, but no announcement, arrival or outcome
)

// Ended reports whether the state is final. StateUnknown counts as final: every replica has compacted the job.
func (s State) Ended() bool {
	return s == StateWithdrawn || s == StateVoided || s == StateResolved || s == StateUnknown
}

// LostEdit is an edit that lost a conflict, with the rule that decided it. JSON and CBOR encode its fields under their
// Go names.
type LostEdit struct {
	Dot    Dot
	Kind   Kind
	Site   string
	Rule   int
	Reason string
}

// View is the state of a job that a set of edits results in. JSON and CBOR encode its fields in this order, and the
// untagged ones under their Go names.
type View struct {
	ID         ID
	Job        Job
	State      State
	HoldReason string `json:"Why"` // set while the job is held
	Places     []string
	Expires    int64
	Priority   int
	Epoch      uint64
	Lost       []LostEdit // not yet acknowledged by an operator
}

// Conflict rules, as numbered in LostEdit.Rule.
const (
	RuleOutcome            = 1 // an outcome overrides any intent
	RuleFurtherOutcome     = 2 // the later outcome in the list of outcomes wins
	RuleSuperseded         = 3 // an edit supersedes its causal context; automation never supersedes an operator
	RuleSafer              = 4 // withdraw > hold > release; narrower placement; earlier expiry; lower priority
	RuleOperator           = 5 // an operator wins over automation
	RuleHomeSite           = 6 // the home site of the job wins over other sites
	RuleTieBreak           = 7 // the hash of the dot decides
	RuleDisjointPlacements = 8 // placements without a common zone hold the job
)

// ruleReasons must not change: views carry these texts, and instances of different builds compare checksums of their
// views.
var ruleReasons = map[int]string{
	RuleOutcome:            "it came too late: the job had taken effect",
	RuleFurtherOutcome:     "another word tells more of what became of it",
	RuleSafer:              "a safer wish stands",
	RuleOperator:           "an operator's wish stands",
	RuleHomeSite:           "the home site's wish stands",
	RuleTieBreak:           "another wish stands, by name",
	RuleDisjointPlacements: "the placements have nothing in common; the job is held",
}

// unsuperseded returns the edits of the given kinds that no other edit of these kinds supersedes, ordered by hash. An
// edit supersedes those in its causal context, except that an automatic edit does not supersede an operator's.
func unsuperseded(edits []*Edit, kinds ...Kind) (current []*Edit) {
	seen, seenByOperator := VersionVector{}, VersionVector{}
	for _, e := range edits {
		if !slices.Contains(kinds, e.Kind) {
			continue
		}
		for origin, n := range e.CausalContext {
			seen[origin] = max(seen[origin], n)
			if e.Operator {
				seenByOperator[origin] = max(seenByOperator[origin], n)
			}
		}
	}
	for _, e := range edits {
		superseded := seen
		if e.Operator {
			superseded = seenByOperator
		}
		if slices.Contains(kinds, e.Kind) && !superseded.Contains(e.Dot) {
			current = append(current, e)
		}
	}
	slices.SortFunc(current, compareByHash)
	return current
}

// compareByHash orders edits by the hash of their dots, so that no site is favored.
func compareByHash(a, b *Edit) int {
	return cmp.Or(
		cmp.Compare(xxh3.HashString(a.Dot.String()), xxh3.HashString(b.Dot.String())),
		cmp.Compare(a.Dot.String(), b.Dot.String()),
	)
}

// pickWinner returns the edit that wins among concurrent edits and records the others as lost. A negative result of
// compareSafety means that the first edit is safer.
func (v *View) pickWinner(concurrent []*Edit, compareSafety func(a, b *Edit) int) *Edit {
	if len(concurrent) == 0 {
		return nil
	}
	compare := func(a, b *Edit) (order, rule int) {
		trueFirst := func(condition bool) int {
			if condition {
				return 0
			}
			return 1
		}
		if c := compareSafety(a, b); c != 0 {
			return c, RuleSafer
		}
		if c := cmp.Compare(trueFirst(a.Operator), trueFirst(b.Operator)); c != 0 {
			return c, RuleOperator
		}
		if c := cmp.Compare(trueFirst(a.Site == v.Job.Home), trueFirst(b.Site == v.Job.Home)); c != 0 {
			return c, RuleHomeSite
		}
		return compareByHash(a, b), RuleTieBreak
	}
	winner := slices.MinFunc(concurrent, func(a, b *Edit) int { c, _ := compare(a, b); return c })
	for _, e := range concurrent {
		if e != winner && !sameRequest(e, winner) {
			_, rule := compare(winner, e)
			v.addLost(e, rule)
		}
	}
	return winner
}

// sameRequest reports whether two edits request the same, so that neither loses.
func sameRequest(a, b *Edit) bool {
	return a.Kind == b.Kind && a.Expires == b.Expires && a.Priority == b.Priority && slices.Equal(a.Places, b.Places)
}

func (v *View) addLost(e *Edit, rule int) {
	v.Lost = append(v.Lost, LostEdit{e.Dot, e.Kind, e.Site, rule, ruleReasons[rule]})
}

// intentRank orders the intents from the safest on.
var intentRank = map[Kind]int{Withdraw: 0, Hold: 1, Release: 2}

// ComputeView derives the view of a job from its set of edits, whatever their order.
func ComputeView(id ID, edits []*Edit) View {
	v := View{ID: id, State: StateUnknown}
	v.applyAnnouncement(edits)
	v.applyPlacement(unsuperseded(edits, Place))
	v.Expires = v.Job.Expires
	byExpiry := func(a, b *Edit) int { return cmp.Compare(expiryOrMax(a.Expires), expiryOrMax(b.Expires)) }
	if e := v.pickWinner(unsuperseded(edits, Expire), byExpiry); e != nil {
		v.Expires = e.Expires
	}
	byPriority := func(a, b *Edit) int { return cmp.Compare(a.Priority, b.Priority) }
	if e := v.pickWinner(unsuperseded(edits, Prioritise), byPriority); e != nil {
		v.Priority = e.Priority
	}
	intents := unsuperseded(edits, Hold, Release, Withdraw)
	v.applyIntent(edits, intents)
	v.applyOutcome(edits, intents)
	v.rejectEditsOfForgottenJob(edits)
	v.dropAcknowledged(edits)
	return v
}

// applyAnnouncement takes the description of the job from its announcement or arrival. Of several, the first by hash
// counts; the others are not lost, since all are true.
func (v *View) applyAnnouncement(edits []*Edit) {
	equallySafe := func(a, b *Edit) int { return 0 }
	e := v.pickWinner(unsuperseded(edits, Announce, Arrive), equallySafe)
	if e == nil {
		return
	}
	if e.Job != nil {
		v.Job = *e.Job
	}
	v.Lost = nil
	v.State = StateAnnounced
	if slices.ContainsFunc(edits, func(o *Edit) bool { return o.Kind == Arrive }) {
		v.State = StateArrived
	}
}

// applyIntent applies the safest current intent: withdraw, hold or release. A late job stays late until an operator
// releases it.
func (v *View) applyIntent(edits, intents []*Edit) {
	late := slices.ContainsFunc(edits, func(o *Edit) bool { return o.Kind == Late })
	intent := v.pickWinner(intents, func(a, b *Edit) int { return cmp.Compare(intentRank[a.Kind], intentRank[b.Kind]) })
	switch {
	case intent != nil && intent.Kind == Withdraw:
		v.State = StateWithdrawn
	case late && (intent == nil || intent.Kind != Release || !intent.Operator):
		v.State = StateLate
	case intent != nil && intent.Kind == Hold:
		v.State, v.HoldReason = StateHeld, "an edit holds it" // part of the checksum, as ruleReasons
	case v.HoldReason != "" && v.State != StateUnknown:
		v.State = StateHeld
	}
}

// rejectEditsOfForgottenJob marks all requests as lost if the job has no announcement, arrival or outcome: another
// replica made them on an old copy after the job had ended and been compacted.
func (v *View) rejectEditsOfForgottenJob(edits []*Edit) {
	isOutcome := func(e *Edit) bool { return slices.Contains(outcomes, e.Kind) }
	if v.Job.Product != "" || slices.ContainsFunc(edits, isOutcome) {
		return
	}
	v.State, v.HoldReason, v.Lost = StateUnknown, "", nil
	for _, e := range unsuperseded(edits, Hold, Release, Withdraw, Place, Expire, Prioritise) {
		v.addLost(e, RuleOutcome)
	}
}

// dropAcknowledged drops lost edits that an operator has acknowledged and sorts the rest.
func (v *View) dropAcknowledged(edits []*Edit) {
	acknowledged := map[Dot]bool{}
	for _, e := range edits {
		for _, d := range e.Dots {
			acknowledged[d] = acknowledged[d] || e.Kind == Seen
		}
	}
	v.Lost = slices.DeleteFunc(v.Lost, func(l LostEdit) bool { return acknowledged[l.Dot] })
	slices.SortFunc(v.Lost, func(a, b LostEdit) int {
		return cmp.Or(
			cmp.Compare(a.Dot.Origin, b.Dot.Origin),
			cmp.Compare(a.Dot.Number, b.Dot.Number),
			cmp.Compare(a.Rule, b.Rule),
		)
	})
}

// expiryOrMax maps 0, which means never, to the latest time.
func expiryOrMax(at int64) int64 {
	if at == 0 {
		return math.MaxInt64
	}
	return at
}

// applyPlacement narrows the placement to the zones that all current Place edits share. The job is held if they share
// none.
func (v *View) applyPlacement(current []*Edit) {
	v.Places = slices.Clone(v.Job.Places)
	for i, e := range current {
		if i == 0 {
			v.Places = slices.Clone(e.Places) // replaces the placement of the source
		}
		v.Places = slices.DeleteFunc(v.Places, func(z string) bool { return !slices.Contains(e.Places, z) })
	}
	slices.Sort(v.Places)
	if len(current) > 0 && len(v.Places) == 0 {
		v.HoldReason = ruleReasons[RuleDisjointPlacements]
		for _, e := range current {
			v.addLost(e, RuleDisjointPlacements)
		}
		return
	}
	for _, e := range current {
		sorted := slices.Sorted(slices.Values(e.Places))
		if len(current) > 1 && !slices.Equal(sorted, v.Places) {
			v.addLost(e, RuleSafer)
		}
	}
}

// applyOutcome sets the state to the most advanced outcome, if there is any. Intents that it contradicts are lost.
func (v *View) applyOutcome(edits, intents []*Edit) {
	var best *Edit
	for _, e := range unsuperseded(edits, outcomes...) {
		if best == nil || slices.Index(outcomes, e.Kind) > slices.Index(outcomes, best.Kind) {
			best = e
		}
	}
	if best == nil {
		return
	}
	for _, e := range edits {
		if slices.Contains(outcomes, e.Kind) {
			v.Epoch = max(v.Epoch, e.Epoch)
		}
	}
	for _, e := range unsuperseded(edits, outcomes...) {
		if e.Kind != best.Kind {
			v.addLost(e, RuleFurtherOutcome)
		}
	}
	for _, intent := range intents {
		if intent.Kind != Release && !slices.ContainsFunc(v.Lost, func(l LostEdit) bool { return l.Dot == intent.Dot }) {
			v.addLost(intent, RuleOutcome)
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

// ValidateEdit returns an error in one line if a requested edit is invalid.
func ValidateEdit(e Edit) error {
	var problem string
	switch {
	case !slices.Contains(allKinds, e.Kind):
		problem = fmt.Sprintf("kind: %q is unknown; expected one of %s", e.Kind, joinKinds(allKinds))
	case e.ID.Tenant == "" || e.ID.Source == "":
		problem = "job: tenant and source are required"
	case len(e.ID.Tenant) > 128 || len(e.ID.Source) > 128:
		problem = "job: tenant and source must not exceed 128 bytes"
	case (e.Kind == Announce || e.Kind == Arrive) && (e.Job == nil || e.Job.Product == "" || e.Job.Txns <= 0 ||
		e.Job.Home == ""):
		problem = "job: product, txns (at least 1) and home are required"
	case e.Kind == Place && len(e.Places) == 0:
		problem = "places: at least one zone is required"
	case e.Kind == Expire && e.Expires < 0, e.Job != nil && e.Job.Expires < 0:
		problem = "expires: must be a Unix time in ms, or 0 for never"
	case e.Kind == Seen && len(e.Dots) == 0:
		problem = "dots: at least one acknowledged edit is required"
	case e.Priority < -1000 || e.Priority > 1000:
		problem = "priority: must be between -1000 and 1000"
	case len(e.Places) > 64 || len(e.Dots) > 64 || e.Job != nil && len(e.Job.Places) > 64:
		problem = "places, dots: at most 64 entries are allowed"
	default:
		return nil
	}
	return errors.New(problem)
}

func joinKinds(kinds []Kind) string {
	words := make([]string, len(kinds))
	for i, k := range kinds {
		words[i] = string(k)
	}
	return strings.Join(words, ", ")
}

// minVersion returns the number up to which all vectors include the edits of an origin.
func minVersion(origin string, vectors []VersionVector) (n uint64) {
	for i, v := range vectors {
		if i == 0 || v[origin] < n {
			n = v[origin]
		}
	}
	return n
}

func (v VersionVector) clone() VersionVector { return maps.Clone(v) }
