package reconcile

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

type phase uint8

const (
	resting phase = iota
	reading
	checking
	watching
)

// entry is a key: what the registry says now, and what the desk was told. A member without an id is none.
type entry struct {
	now, told Member
	mod       int64  // revision that it was last changed at
	sum       uint64 // of its value
	bad       int64  // ... at which its value could not be read
	present   bool   // the registry has the key
	until     Time   // till then what was told stands against now; 0: it does not
	endedAt   Time   // when its end was told; of use while told is none
	ended     bool
}

// print is what a Checked must say.
type print struct {
	revision int64
	count    int
	mod      int64
}

// Roster holds the list. Use it from one goroutine.
type Roster struct {
	plan    Plan
	now     Time
	entries map[string]*entry
	have    bool // a whole list was told
	history uint64
	// revision: all up to it is in entries.
	revision int64
	live     int  // entries that are told
	ends     int  // ended since the last look at those that are remembered, and those
	due      Time // of the first hold or remembered end that is over; 0: none

	phase    phase
	try      int
	heard    Time // the last word of this try
	asked    bool
	until    Time // resting till then
	needed   bool // the whole list, before a watch
	sure     bool // since the last break it was checked, as far as can be, that the registry remembers our list
	other    bool // it does not: the next whole list is of another history
	lastRead Time
	read     bool // lastRead is set
	limit    int
	expect   print
	auditing bool
	auditAt  Time

	pages   []Raw // of the whole list that is being read
	pagesAt int64
	pagesOf uint64
	part    []Raw // of a revision that is not complete

	turn    []int // endpoints in the order in which they are tried
	at      int
	rounds  uint64
	draws   uint64
	fails   int // in a row
	refused int
	down    bool
	why     Why
	noted   int

	out  []Order
	told []Member
}

// New makes a Roster that holds nothing. A Plan without an endpoint is a fault of the caller's.
func New(plan Plan) *Roster {
	if plan.Endpoints < 1 || plan.Page < 1 {
		panic("roster: a plan without endpoints or pages")
	}
	r := &Roster{plan: plan, entries: map[string]*entry{}, limit: plan.Page}
	r.shuffle()
	return r
}

// Held is how many backends were told and are not ended, and the revision up to which all is known.
func (r *Roster) Held() (backends int, revision int64) { return r.live, r.revision }

// Step takes what was heard in a moment, in order.
func (r *Roster) Step(now Time, events []Event) []Order {
	r.now, r.out, r.noted = max(now, r.now), nil, 0
	for _, e := range events {
		r.hear(e)
	}
	r.expire()
	switch {
	case r.phase == resting && r.now >= r.until:
		r.begin()
	case (r.phase == reading || r.phase == checking) && r.now >= r.heard+r.plan.Answer:
		r.broken(Silent, fmt.Errorf("no answer in %v", r.plan.Answer))
	case r.phase == watching && r.now >= r.heard+r.plan.Silence:
		r.broken(Silent, fmt.Errorf("nothing came in %v, progress was asked for", r.plan.Silence))
	case r.phase == watching && !r.asked && r.now >= r.heard+r.plan.Ask:
		r.asked = true
		r.order(Ask{r.try})
	}
	if r.phase == watching && r.plan.Checks && r.plan.Audit > 0 && !r.auditing && r.now >= r.auditAt {
		r.auditing = true
		r.check()
	}
	if r.noted > mostNotes {
		r.note(Note{Warn: true, Text: "more entries are read past", Endpoint: -1, Count: r.noted - mostNotes})
	}
	return r.out
}

const mostNotes = 20 // about entries, in one step

// Next is the moment at which Step is due without any event.
func (r *Roster) Next() Time {
	var at Time
	switch r.phase {
	case resting:
		at = r.until
	case watching:
		at = r.heard + r.plan.Silence
		if !r.asked {
			at = r.heard + r.plan.Ask
		}
		if r.plan.Checks && r.plan.Audit > 0 && !r.auditing {
			at = min(at, r.auditAt)
		}
	default:
		at = r.heard + r.plan.Answer
	}
	if r.due > 0 {
		at = min(at, r.due)
	}
	return at
}

func (r *Roster) order(o Order) { r.out = append(r.out, o) }

func (r *Roster) note(n Note) { r.order(n) }

func (r *Roster) chance() float64 {
	r.draws++
	return chance(r.plan.Seed, r.draws)
}

// shuffle draws the order of a round of endpoints: two controllers seldom have the same.
func (r *Roster) shuffle() {
	r.turn, r.at = r.turn[:0], 0
	keys := make([]float64, r.plan.Endpoints)
	for i := range keys {
		keys[i], r.turn = r.chance(), append(r.turn, i)
	}
	slices.SortStableFunc(r.turn, func(a, b int) int { return cmp.Compare(keys[a], keys[b]) })
	r.rounds++
}

func (r *Roster) endpoint() int { return r.turn[r.at] }

// rest waits, and for a whole read as long as the last one asks for.
func (r *Roster) rest(span Time) {
	r.phase, r.until = resting, r.now+span
	if r.read && (r.needed || !r.have) {
		r.until = max(r.until, r.lastRead+r.plan.ReadGap)
	}
}

// begin starts the next try: the whole list where it is needed, else on from the revision held.
func (r *Roster) begin() {
	r.try++
	r.heard, r.asked, r.auditing, r.part = r.now, false, false, nil
	if r.have && r.plan.Checks && !r.sure {
		r.phase = checking
		r.check()
	} else {
		r.goOn()
	}
}

func (r *Roster) goOn() {
	if r.have && !r.needed {
		r.watch()
		return
	}
	r.phase, r.pages, r.heard, r.lastRead, r.read = reading, nil, r.now, r.now, true
	r.order(Read{Try: r.try, Endpoint: r.endpoint(), Limit: r.limit})
}

func (r *Roster) watch() {
	r.phase, r.heard, r.asked, r.auditing = watching, r.now, false, false
	r.auditAt = r.now + r.plan.Audit
	// After a break an index may have gone back: one that is waited for would not come.
	r.order(Watch{Try: r.try, Endpoint: r.endpoint(), After: r.revision, AtOnce: !r.plan.Changes && !r.sure})
}

// check asks whether the registry remembers the list as we do. A registry that was restored and has since
// passed the revision held shows it by nothing else.
func (r *Roster) check() {
	r.expect = print{revision: r.revision}
	for _, e := range r.entries {
		if e.present {
			r.expect.count, r.expect.mod = r.expect.count+1, max(r.expect.mod, e.mod)
		}
	}
	r.order(Check{Try: r.try, Endpoint: r.endpoint(), Revision: r.revision})
}

// need leaves what is under way for a whole read within a span.
func (r *Roster) need(span Time) {
	r.needed = true
	r.rest(Time(float64(span) * r.chance()))
}

func (r *Roster) doubt(text string, revision int64) {
	r.note(Note{Warn: true, Text: text, Endpoint: r.endpoint(), Revision: revision, Count: r.live})
	r.need(r.plan.Spread)
}

// broken ends a try. Another endpoint is next at once; when all were tried, after a pause that grows.
func (r *Roster) broken(why Why, err error) {
	if r.phase == resting {
		return
	}
	r.order(Leave{r.try})
	if !r.down {
		r.order(Fail{})
	}
	if !r.down || why >= Password && why != r.why {
		r.note(Note{Warn: true, Text: "registry fails; the list stays as it is", Endpoint: r.endpoint(),
			Reason: fmt.Sprintf("%v: %v", why, err), Revision: r.revision, Count: r.live})
		r.why = why
	}
	r.down, r.fails, r.sure = true, r.fails+1, false
	pause, most := r.plan.Pause, r.plan.Pauses
	doublings := r.fails / r.plan.Endpoints
	if why >= Password {
		most, doublings = r.plan.Refusals, r.refused
		r.refused++
	}
	for ; doublings > 0 && pause < most; doublings-- {
		pause *= 2
	}
	if r.at++; r.at == len(r.turn) {
		r.shuffle()
	}
	r.rest(Time(float64(min(pause, most)) * (0.5 + 0.5*r.chance())))
}

func (r *Roster) answered() {
	if r.down {
		r.note(Note{Text: "registry answers again", Endpoint: r.endpoint(), Revision: r.revision, Count: r.live})
	}
	r.down, r.fails, r.refused = false, 0, 0
}

func (r *Roster) hear(e Event) {
	switch e := e.(type) {
	case Page:
		if e.Try == r.try && r.phase == reading {
			r.hearPage(e)
		}
	case TooLarge:
		if e.Try == r.try && r.phase == reading {
			r.hearTooLarge()
		}
	case Checked:
		if e.Try == r.try && (r.phase == checking || r.phase == watching && r.auditing) {
			r.hearChecked(e)
		}
	case Opened, Progress, Changes:
		if r.phase == watching {
			r.hearWatch(e)
		}
	case Compacted:
		r.hearCompacted(e)
	case Broken:
		if e.Try == r.try {
			r.broken(e.Why, e.Err)
		}
	case Wanted:
		if r.needed = true; r.phase == watching || r.phase == checking {
			r.need(0)
		}
	}
}

// hearTooLarge reads on by smaller pages.
func (r *Roster) hearTooLarge() {
	if r.limit == 1 {
		r.broken(Odd, fmt.Errorf("one entry does not fit into an answer"))
		return
	}
	r.limit = max(r.limit/2, 1)
	r.need(0)
}

// hearWatch takes what the current watch says.
func (r *Roster) hearWatch(e Event) {
	switch e := e.(type) {
	case Opened:
		if e.Try != r.try {
			return
		}
		// A lower revision is a member's that lags: what we hold was checked with the registry just now.
		if r.word(); e.History != r.history {
			r.doubt("the watch is another registry's; its whole list is read", e.Revision)
		}
	case Progress:
		if e.Try == r.try {
			r.hearProgress(e)
		}
	case Changes:
		if e.Try == r.try {
			r.hearChanges(e)
		}
	}
}

// word notes a sign of life.
func (r *Roster) word() {
	r.heard, r.asked = r.now, false
	r.answered()
}

func (r *Roster) hearPage(e Page) {
	r.heard = r.now
	first := len(r.pages) == 0
	if first {
		r.pagesAt, r.pagesOf = e.Revision, e.History
	}
	switch last := len(e.Entries) - 1; {
	case e.Revision != r.pagesAt || e.History != r.pagesOf:
		r.broken(Odd, fmt.Errorf("pages of revisions %d and %d make no list", r.pagesAt, e.Revision))
	case e.More && last < 0:
		r.broken(Odd, fmt.Errorf("an empty page with more to come"))
	case len(r.pages)+len(e.Entries) > r.plan.MostKeys:
		r.broken(Odd, fmt.Errorf("more than %d keys", r.plan.MostKeys))
	case e.More:
		r.pages = append(r.pages, e.Entries...)
		r.order(Read{Try: r.try, Endpoint: r.endpoint(), Limit: r.limit, After: e.Entries[last].Key,
			Revision: r.pagesAt})
	default:
		r.pages = append(r.pages, e.Entries...)
		r.answered()
		r.settle()
		r.pages, r.limit, r.needed = nil, min(r.limit, r.plan.Page), false
		// The watch goes on from here within the same try: the connection is there already.
		r.watch()
	}
}

func (r *Roster) hearChecked(e Checked) {
	r.heard = r.now
	audit := r.auditing
	r.auditing, r.auditAt, r.sure = false, r.now+r.plan.Audit, true
	last, ok := r.entries[e.Last.Key]
	// While a watch goes on the last key may have changed again since.
	same := e.Count == r.expect.count && (e.Count == 0 || e.Last.Mod == r.expect.mod && ok &&
		(last.mod == e.Last.Mod && last.sum == sum(e.Last.Value) || audit && last.mod > e.Last.Mod))
	r.other = r.other || !same
	switch {
	case e.History != r.history || e.Now < r.expect.revision:
		r.doubt("the registry is another one, or was restored; its whole list is read", e.Now)
	case !same:
		r.doubt("the registry remembers another list at the revision held; its whole list is read", e.Now)
	case !audit:
		r.answered()
		r.goOn()
	}
}

func (r *Roster) hearProgress(e Progress) {
	r.word()
	r.sure = true
	switch {
	case e.History != r.history:
		r.doubt("progress is another registry's; its whole list is read", e.Revision)
	case r.plan.Changes:
		// A lower revision is that of a member that lags.
		if len(r.part) == 0 {
			r.revision = max(r.revision, e.Revision)
		}
	case e.Revision < r.revision:
		r.doubt("the registry's index went back; its whole list is read", e.Revision)
	case e.Revision > r.revision:
		r.need(r.plan.ReadGap)
	}
}

func (r *Roster) hearChanges(e Changes) {
	r.word()
	if e.History != r.history {
		r.doubt("changes are another registry's; its whole list is read", 0)
		return
	}
	for _, c := range e.Changes {
		if n := len(r.part); n > 0 && c.Mod < r.part[n-1].Mod {
			r.broken(Odd, fmt.Errorf("revision %d after %d", c.Mod, r.part[n-1].Mod))
			return
		}
		r.part = append(r.part, c)
	}
	if len(r.part) > r.plan.MostKeys {
		r.broken(Odd, fmt.Errorf("more than %d changes at one revision", r.plan.MostKeys))
		return
	}
	if e.Part {
		return
	}
	before, at := r.live, r.revision
	for _, c := range r.part {
		if c.Mod > at { // else it was told, in a whole list or before a break
			r.change(c)
			r.revision = c.Mod
		}
	}
	r.part = nil
	r.tell(false)
	r.shrunk(before)
}

func (r *Roster) hearCompacted(e Compacted) {
	if e.Try != r.try || r.phase == resting {
		return
	}
	if e.Check && r.phase == watching {
		// What changed since is on its way by the watch; an older list cannot be compared any more.
		r.heard, r.auditing, r.auditAt = r.now, false, r.now+r.plan.Audit
		return
	}
	if r.phase == reading {
		// It was overtaken: larger pages take fewer turns.
		r.limit = min(r.limit*2, max(r.plan.MostPage, r.plan.Page))
		r.note(Note{Text: "compacted while the whole list was read; it is read anew", Endpoint: r.endpoint(),
			Revision: e.Least, Count: r.limit})
	} else {
		r.note(Note{Text: "the revision held is compacted away; the whole list is read", Endpoint: r.endpoint(),
			Revision: e.Least, Count: r.live})
	}
	r.sure = true // more cannot be learned of what it remembers
	r.need(r.plan.Spread)
}

// key gives the entry of a key, a new one if there is none.
func (r *Roster) key(key string) *entry {
	e, ok := r.entries[key]
	if !ok {
		e = &entry{}
		r.entries[key] = e
	}
	return e
}

// take puts what the registry holds into an entry. A value that cannot be read leaves the backend as it was
// told: a slip of the pen is no end.
func (r *Roster) take(e *entry, c Raw) {
	e.mod, e.present, e.sum = c.Mod, !c.Gone, sum(c.Value)
	if c.Gone {
		e.now = Member{}
		return
	}
	m, err := ParseValue(r.plan.Prefix, c.Key, c.Value, r.plan.MostValue)
	if err != nil {
		if e.now = e.told; e.bad != c.Mod {
			e.bad = c.Mod
			r.readPast(c, err)
		}
		return
	}
	if e.now = m; m.Phase == Deleted {
		e.now = Member{}
	}
}

func (r *Roster) readPast(c Raw, err error) {
	if r.noted++; r.noted <= mostNotes {
		r.note(Note{Warn: true, Text: "an entry is read past", Key: c.Key, Reason: err.Error(), Endpoint: -1,
			Revision: c.Mod})
	}
}

// change takes a change of this history; with it no hold stands any longer.
func (r *Roster) change(c Raw) {
	if !strings.HasPrefix(c.Key, r.plan.Prefix+"/") {
		if !c.Gone {
			_, err := ParseValue(r.plan.Prefix, c.Key, nil, 0)
			r.readPast(c, err)
		}
		return
	}
	e := r.key(c.Key)
	r.take(e, c)
	e.until = 0
	r.show(e)
	r.drop(c.Key, e)
}

// drop forgets a key that is gone and never was a backend.
func (r *Roster) drop(key string, e *entry) {
	if !e.present && e.told.ID == "" && !e.ended {
		delete(r.entries, key)
	}
}

// show makes what is told of an entry what the registry says now, unless something stands against it.
func (r *Roster) show(e *entry) {
	if e.until > 0 || e.now == e.told {
		return
	}
	m := e.now
	if m.ID == "" {
		m = e.told
		m.Phase = Deleted
		e.ended, e.endedAt = true, r.now
		r.live--
		r.dueAt(r.now + r.plan.KeepEnds)
		if r.ends++; r.ends > r.plan.MostEnds {
			r.dueAt(r.now)
		}
	} else if e.told.ID == "" {
		r.live++
		e.ended = false
	}
	e.told = e.now
	r.told = append(r.told, m)
}

func (r *Roster) tell(whole bool) {
	if len(r.told) > 0 || whole {
		r.order(Tell{List{Revision: r.revision, Whole: whole, Members: r.told}})
	}
	r.told = nil
}

func (r *Roster) dueAt(at Time) {
	if r.due == 0 || at < r.due {
		r.due = at
	}
}

// shrunk says that much of the list ended at once: a registry that was emptied by mistake looks like a fleet
// that died. Who is told to be gone without a drain stays in the tables while it answers, where the settings
// say that gone alone does not bind.
func (r *Roster) shrunk(before int) {
	if r.plan.Shrink > 0 && float64(before-r.live) > r.plan.Shrink*float64(before) {
		r.note(Note{Warn: true, Text: "the list shrank at once", Endpoint: r.endpoint(), Revision: r.revision,
			Count: before - r.live, Reason: fmt.Sprintf("%d of %d backends ended", before-r.live, before)})
	}
}

// settle puts the whole list that was read in the place of the one held and tells the differences: the changed
// ones in the order of their revisions, then who left.
func (r *Roster) settle() {
	same, pages := r.isSameHistory()
	before, first := r.live, !r.have
	if !first && !same {
		r.note(Note{Warn: true, Text: "the list is of another history; drains and ends known stand for a while",
			Endpoint: r.endpoint(), Revision: r.pagesAt, Count: r.live, Reason: r.plan.Hold.String()})
	}
	slices.SortStableFunc(r.pages, func(a, b Raw) int {
		return cmp.Or(cmp.Compare(a.Mod, b.Mod), cmp.Compare(a.Key, b.Key))
	})
	for _, c := range r.pages {
		r.settleEntry(c, same, first)
	}
	for _, key := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[key]; !pages[key] && e.present {
			r.take(e, Raw{Key: key, Mod: e.mod, Gone: true})
			e.until = 0
			r.show(e)
			r.drop(key, e)
		}
	}
	r.history, r.revision, r.have, r.sure, r.other = r.pagesOf, r.pagesAt, true, true, false
	r.tell(first)
	r.shrunk(before)
}

// isSameHistory reports whether the list that was read continues the one held; pages are the keys in it.
func (r *Roster) isSameHistory() (same bool, pages map[string]bool) {
	pages = map[string]bool{}
	same = !r.other && r.pagesOf == r.history
	if r.pagesAt < r.revision {
		// Consul's index goes back when it forgets deletions; the list is the one held then, to the last entry.
		same = same && !r.plan.Changes && len(r.pages) == r.keys()
	}
	for _, c := range r.pages {
		pages[c.Key] = true
		if c.Mod <= r.revision {
			// In one history, what was not changed since the revision held is what is held.
			e, ok := r.entries[c.Key]
			same = same && ok && e.present && e.mod == c.Mod && e.sum == sum(c.Value)
		}
	}
	return same, pages
}

func (r *Roster) settleEntry(c Raw, same, first bool) {
	if !strings.HasPrefix(c.Key, r.plan.Prefix+"/") {
		r.change(c)
		return
	}
	e := r.key(c.Key)
	if same && e.present && e.mod == c.Mod {
		return
	}
	r.take(e, c)
	if same || first {
		e.until = 0
	} else {
		r.hold(e)
	}
	r.show(e)
}

// keys counts those that the registry has.
func (r *Roster) keys() (n int) {
	for _, e := range r.entries {
		if e.present {
			n++
		}
	}
	return n
}

// hold lets a drain or an end that was known stand against what a list of another history says.
func (r *Roster) hold(e *entry) {
	drained := e.told.Phase == Draining && e.now.Phase == Serving
	ended := e.told.ID == "" && e.ended && e.now.ID != ""
	switch {
	case !drained && !ended || r.plan.Hold == 0:
		e.until = 0
	case e.until == 0:
		e.until = r.now + r.plan.Hold
		r.dueAt(e.until)
	}
}

// expire ends holds, and forgets ends that are long past or too many.
func (r *Roster) expire() {
	if r.due == 0 || r.now < r.due {
		return
	}
	r.due = 0
	type end struct {
		key string
		at  Time
	}
	var ends []end
	over := 0
	for _, key := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[key]
		if e.until > 0 && r.now >= e.until {
			e.until = 0
			over++
			r.show(e)
		}
		if e.until > 0 {
			r.dueAt(e.until)
		}
		if !e.present && e.told.ID == "" && e.now.ID == "" {
			if r.now >= e.endedAt+r.plan.KeepEnds {
				delete(r.entries, key)
			} else {
				ends = append(ends, end{key, e.endedAt})
				r.dueAt(e.endedAt + r.plan.KeepEnds)
			}
		}
	}
	if len(ends) > r.plan.MostEnds { // a quarter of them, so that this is seldom
		slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
		n := len(ends) - r.plan.MostEnds*3/4
		for _, e := range ends[:n] {
			delete(r.entries, e.key)
		}
		ends = ends[n:]
	}
	r.ends = len(ends)
	if over > 0 {
		r.note(Note{Text: "drains and ends of another history stand no longer", Endpoint: -1, Revision: r.revision,
			Count: over})
	}
	r.tell(false)
}
