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
	now, reported Member
	mod           int64  // revision that it was last changed at
	sum           uint64 // of its value
	bad           int64  // ... at which its value could not be read
	present       bool   // the registry has the key
	holdUntil     Time   // till then what was told stands against now; 0: it does not
	endedAt       Time   // when its end was told; of use while told is none
	ended         bool
}

// print is what a Checked must say.
type print struct {
	revision int64
	count    int
	mod      int64
}

// Reconciler holds the list. Use it from one goroutine.
type Reconciler struct {
	plan    Config
	now     Time
	entries map[string]*entry
	have    bool // a whole list was told
	history uint64
	// revision: all up to it is in entries.
	revision int64
	live     int  // entries that are told
	ends     int  // ended since the last look at those that are remembered, and those
	due      Time // of the first hold or remembered end that is over; 0: none

	phase             phase
	try               int
	lastMessage       Time // the last word of this try
	progressRequested bool
	restUntil         Time // resting till then
	needed            bool // the whole list, before a watch
	sure              bool // since the last break it was checked, as far as can be, that the registry remembers our list
	other             bool // it does not: the next whole list is of another history
	lastRead          Time
	read              bool // lastRead is set
	limit             int
	expect            print
	auditing          bool
	auditAt           Time

	pages   []KeyValue // of the whole list that is being read
	pagesAt int64
	pagesOf uint64
	part    []KeyValue // of a revision that is not complete

	turn    []int // endpoints in the order in which they are tried
	at      int
	rounds  uint64
	draws   uint64
	fails   int // in a row
	refused int
	down    bool
	why     FailureReason
	noted   int

	out      []Order
	reported []Member
}

// New makes a Roster that holds nothing. A Plan without an endpoint is a fault of the caller's.
func New(plan Config) *Reconciler {
	if plan.Endpoints < 1 || plan.PageSize < 1 {
		panic("roster: a plan without endpoints or pages")
	}
	r := &Reconciler{plan: plan, entries: map[string]*entry{}, limit: plan.PageSize}
	r.shuffle()
	return r
}

// Current is how many backends were told and are not ended, and the revision up to which all is known.
func (r *Reconciler) Current() (backends int, revision int64) { return r.live, r.revision }

// Step takes what was heard in a moment, in order.
func (r *Reconciler) Step(now Time, events []Event) []Order {
	r.now, r.out, r.noted = max(now, r.now), nil, 0
	for _, e := range events {
		r.handle(e)
	}
	r.expire()
	switch {
	case r.phase == resting && r.now >= r.restUntil:
		r.begin()
	case (r.phase == reading || r.phase == checking) && r.now >= r.lastMessage+r.plan.ResponseTimeout:
		r.broken(TimedOut, fmt.Errorf("no answer in %v", r.plan.ResponseTimeout))
	case r.phase == watching && r.now >= r.lastMessage+r.plan.WatchTimeout:
		r.broken(TimedOut, fmt.Errorf("nothing came in %v, progress was asked for", r.plan.WatchTimeout))
	case r.phase == watching && !r.progressRequested && r.now >= r.lastMessage+r.plan.ProgressInterval:
		r.progressRequested = true
		r.order(RequestProgress{r.try})
	}
	if r.phase == watching && r.plan.SupportsCheck && r.plan.AuditInterval > 0 && !r.auditing && r.now >= r.auditAt {
		r.auditing = true
		r.check()
	}
	if r.noted > mostNotes {
		r.note(LogEntry{Warn: true, Text: "more entries are read past", Endpoint: -1, Count: r.noted - mostNotes})
	}
	return r.out
}

const mostNotes = 20 // about entries, in one step

// NextDeadline is the moment at which Step is due without any event.
func (r *Reconciler) NextDeadline() Time {
	var at Time
	switch r.phase {
	case resting:
		at = r.restUntil
	case watching:
		at = r.lastMessage + r.plan.WatchTimeout
		if !r.progressRequested {
			at = r.lastMessage + r.plan.ProgressInterval
		}
		if r.plan.SupportsCheck && r.plan.AuditInterval > 0 && !r.auditing {
			at = min(at, r.auditAt)
		}
	default:
		at = r.lastMessage + r.plan.ResponseTimeout
	}
	if r.due > 0 {
		at = min(at, r.due)
	}
	return at
}

func (r *Reconciler) order(o Order) { r.out = append(r.out, o) }

func (r *Reconciler) note(n LogEntry) { r.order(n) }

func (r *Reconciler) chance() float64 {
	r.draws++
	return chance(r.plan.Seed, r.draws)
}

// shuffle draws the order of a round of endpoints: two controllers seldom have the same.
func (r *Reconciler) shuffle() {
	r.turn, r.at = r.turn[:0], 0
	keys := make([]float64, r.plan.Endpoints)
	for i := range keys {
		keys[i], r.turn = r.chance(), append(r.turn, i)
	}
	slices.SortStableFunc(r.turn, func(a, b int) int { return cmp.Compare(keys[a], keys[b]) })
	r.rounds++
}

func (r *Reconciler) endpoint() int { return r.turn[r.at] }

// rest waits, and for a whole read as long as the last one asks for.
func (r *Reconciler) rest(span Time) {
	r.phase, r.restUntil = resting, r.now+span
	if r.read && (r.needed || !r.have) {
		r.restUntil = max(r.restUntil, r.lastRead+r.plan.MinReloadInterval)
	}
}

// begin starts the next try: the whole list where it is needed, else on from the revision held.
func (r *Reconciler) begin() {
	r.try++
	r.lastMessage, r.progressRequested, r.auditing, r.part = r.now, false, false, nil
	if r.have && r.plan.SupportsCheck && !r.sure {
		r.phase = checking
		r.check()
	} else {
		r.goOn()
	}
}

func (r *Reconciler) goOn() {
	if r.have && !r.needed {
		r.watch()
		return
	}
	r.phase, r.pages, r.lastMessage, r.lastRead, r.read = reading, nil, r.now, r.now, true
	r.order(ReadPage{Attempt: r.try, Endpoint: r.endpoint(), Limit: r.limit})
}

func (r *Reconciler) watch() {
	r.phase, r.lastMessage, r.progressRequested, r.auditing = watching, r.now, false, false
	r.auditAt = r.now + r.plan.AuditInterval
	// After a break an index may have gone back: one that is waited for would not come.
	r.order(Watch{Attempt: r.try, Endpoint: r.endpoint(), AfterRevision: r.revision,
		Immediate: !r.plan.WatchSendsChanges && !r.sure})
}

// check asks whether the registry remembers the list as we do. A registry that was restored and has since
// passed the revision held shows it by nothing else.
func (r *Reconciler) check() {
	r.expect = print{revision: r.revision}
	for _, e := range r.entries {
		if e.present {
			r.expect.count, r.expect.mod = r.expect.count+1, max(r.expect.mod, e.mod)
		}
	}
	r.order(Check{Attempt: r.try, Endpoint: r.endpoint(), Revision: r.revision})
}

// need leaves what is under way for a whole read within a span.
func (r *Reconciler) need(span Time) {
	r.needed = true
	r.rest(Time(float64(span) * r.chance()))
}

func (r *Reconciler) readAgain(text string, revision int64) {
	r.note(LogEntry{Warn: true, Text: text, Endpoint: r.endpoint(), Revision: revision, Count: r.live})
	r.need(r.plan.ReloadJitter)
}

// broken ends a try. Another endpoint is next at once; when all were tried, after a pause that grows.
func (r *Reconciler) broken(why FailureReason, err error) {
	if r.phase == resting {
		return
	}
	r.order(Cancel{r.try})
	if !r.down {
		r.order(PublishFailure{})
	}
	if !r.down || why >= BadCredentials && why != r.why {
		r.note(LogEntry{Warn: true, Text: "registry fails; the list stays as it is", Endpoint: r.endpoint(),
			Reason: fmt.Sprintf("%v: %v", why, err), Revision: r.revision, Count: r.live})
		r.why = why
	}
	r.down, r.fails, r.sure = true, r.fails+1, false
	pause, most := r.plan.MinBackoff, r.plan.MaxBackoff
	doublings := r.fails / r.plan.Endpoints
	if why >= BadCredentials {
		most, doublings = r.plan.MaxRejectedBackoff, r.refused
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

func (r *Reconciler) answered() {
	if r.down {
		r.note(LogEntry{Text: "registry answers again", Endpoint: r.endpoint(), Revision: r.revision, Count: r.live})
	}
	r.down, r.fails, r.refused = false, 0, 0
}

func (r *Reconciler) handle(e Event) {
	switch e := e.(type) {
	case Page:
		if e.Attempt == r.try && r.phase == reading {
			r.onPage(e)
		}
	case PageTooLarge:
		if e.Attempt == r.try && r.phase == reading {
			r.onTooLarge()
		}
	case CheckResult:
		if e.Attempt == r.try && (r.phase == checking || r.phase == watching && r.auditing) {
			r.onChecked(e)
		}
	case WatchOpened, Progress, Changes:
		if r.phase == watching {
			r.onWatch(e)
		}
	case Compacted:
		r.onCompacted(e)
	case AttemptFailed:
		if e.Attempt == r.try {
			r.broken(e.Reason, e.Err)
		}
	case ReloadRequested:
		if r.needed = true; r.phase == watching || r.phase == checking {
			r.need(0)
		}
	}
}

// onTooLarge reads on by smaller pages.
func (r *Reconciler) onTooLarge() {
	if r.limit == 1 {
		r.broken(InvalidResponse, fmt.Errorf("one entry does not fit into an answer"))
		return
	}
	r.limit = max(r.limit/2, 1)
	r.need(0)
}

// onWatch takes what the current watch says.
func (r *Reconciler) onWatch(e Event) {
	switch e := e.(type) {
	case WatchOpened:
		if e.Attempt != r.try {
			return
		}
		// A lower revision is a member's that lags: what we hold was checked with the registry just now.
		if r.noteMessage(); e.ClusterID != r.history {
			r.readAgain("the watch is another registry's; its whole list is read", e.Revision)
		}
	case Progress:
		if e.Attempt == r.try {
			r.onProgress(e)
		}
	case Changes:
		if e.Attempt == r.try {
			r.onChanges(e)
		}
	}
}

// noteMessage notes a sign of life.
func (r *Reconciler) noteMessage() {
	r.lastMessage, r.progressRequested = r.now, false
	r.answered()
}

func (r *Reconciler) onPage(e Page) {
	r.lastMessage = r.now
	first := len(r.pages) == 0
	if first {
		r.pagesAt, r.pagesOf = e.Revision, e.ClusterID
	}
	switch last := len(e.Entries) - 1; {
	case e.Revision != r.pagesAt || e.ClusterID != r.pagesOf:
		r.broken(InvalidResponse, fmt.Errorf("pages of revisions %d and %d make no list", r.pagesAt, e.Revision))
	case e.More && last < 0:
		r.broken(InvalidResponse, fmt.Errorf("an empty page with more to come"))
	case len(r.pages)+len(e.Entries) > r.plan.MaxKeys:
		r.broken(InvalidResponse, fmt.Errorf("more than %d keys", r.plan.MaxKeys))
	case e.More:
		r.pages = append(r.pages, e.Entries...)
		r.order(ReadPage{Attempt: r.try, Endpoint: r.endpoint(), Limit: r.limit, AfterKey: e.Entries[last].Key,
			Revision: r.pagesAt})
	default:
		r.pages = append(r.pages, e.Entries...)
		r.answered()
		r.reconcile()
		r.pages, r.limit, r.needed = nil, min(r.limit, r.plan.PageSize), false
		// The watch goes on from here within the same try: the connection is there already.
		r.watch()
	}
}

func (r *Reconciler) onChecked(e CheckResult) {
	r.lastMessage = r.now
	audit := r.auditing
	r.auditing, r.auditAt, r.sure = false, r.now+r.plan.AuditInterval, true
	last, ok := r.entries[e.Last.Key]
	// While a watch goes on the last key may have changed again since.
	same := e.Count == r.expect.count && (e.Count == 0 || e.Last.ModRevision == r.expect.mod && ok &&
		(last.mod == e.Last.ModRevision && last.sum == sum(e.Last.Value) || audit && last.mod > e.Last.ModRevision))
	r.other = r.other || !same
	switch {
	case e.ClusterID != r.history || e.Revision < r.expect.revision:
		r.readAgain("the registry is another one, or was restored; its whole list is read", e.Revision)
	case !same:
		r.readAgain("the registry remembers another list at the revision held; its whole list is read", e.Revision)
	case !audit:
		r.answered()
		r.goOn()
	}
}

func (r *Reconciler) onProgress(e Progress) {
	r.noteMessage()
	r.sure = true
	switch {
	case e.ClusterID != r.history:
		r.readAgain("progress is another registry's; its whole list is read", e.Revision)
	case r.plan.WatchSendsChanges:
		// A lower revision is that of a member that lags.
		if len(r.part) == 0 {
			r.revision = max(r.revision, e.Revision)
		}
	case e.Revision < r.revision:
		r.readAgain("the registry's index went back; its whole list is read", e.Revision)
	case e.Revision > r.revision:
		r.need(r.plan.MinReloadInterval)
	}
}

func (r *Reconciler) onChanges(e Changes) {
	r.noteMessage()
	if e.ClusterID != r.history {
		r.readAgain("changes are another registry's; its whole list is read", 0)
		return
	}
	for _, c := range e.Entries {
		if n := len(r.part); n > 0 && c.ModRevision < r.part[n-1].ModRevision {
			r.broken(InvalidResponse, fmt.Errorf("revision %d after %d", c.ModRevision, r.part[n-1].ModRevision))
			return
		}
		r.part = append(r.part, c)
	}
	if len(r.part) > r.plan.MaxKeys {
		r.broken(InvalidResponse, fmt.Errorf("more than %d changes at one revision", r.plan.MaxKeys))
		return
	}
	if e.Partial {
		return
	}
	before, at := r.live, r.revision
	for _, c := range r.part {
		if c.ModRevision > at { // else it was told, in a whole list or before a break
			r.change(c)
			r.revision = c.ModRevision
		}
	}
	r.part = nil
	r.tell(false)
	r.shrunk(before)
}

func (r *Reconciler) onCompacted(e Compacted) {
	if e.Attempt != r.try || r.phase == resting {
		return
	}
	if e.ForCheck && r.phase == watching {
		// What changed since is on its way by the watch; an older list cannot be compared any more.
		r.lastMessage, r.auditing, r.auditAt = r.now, false, r.now+r.plan.AuditInterval
		return
	}
	if r.phase == reading {
		// It was overtaken: larger pages take fewer turns.
		r.limit = min(r.limit*2, max(r.plan.MaxPageSize, r.plan.PageSize))
		r.note(LogEntry{Text: "compacted while the whole list was read; it is read anew", Endpoint: r.endpoint(),
			Revision: e.OldestRevision, Count: r.limit})
	} else {
		r.note(LogEntry{Text: "the revision held is compacted away; the whole list is read", Endpoint: r.endpoint(),
			Revision: e.OldestRevision, Count: r.live})
	}
	r.sure = true // more cannot be learned of what it remembers
	r.need(r.plan.ReloadJitter)
}

// key gives the entry of a key, a new one if there is none.
func (r *Reconciler) key(key string) *entry {
	e, ok := r.entries[key]
	if !ok {
		e = &entry{}
		r.entries[key] = e
	}
	return e
}

// take puts what the registry holds into an entry. A value that cannot be read leaves the backend as it was
// told: a slip of the pen is no end.
func (r *Reconciler) take(e *entry, c KeyValue) {
	e.mod, e.present, e.sum = c.ModRevision, !c.Deleted, sum(c.Value)
	if c.Deleted {
		e.now = Member{}
		return
	}
	m, err := ParseValue(r.plan.Prefix, c.Key, c.Value, r.plan.MaxValueSize)
	if err != nil {
		if e.now = e.reported; e.bad != c.ModRevision {
			e.bad = c.ModRevision
			r.readPast(c, err)
		}
		return
	}
	if e.now = m; m.Phase == Deleted {
		e.now = Member{}
	}
}

func (r *Reconciler) readPast(c KeyValue, err error) {
	if r.noted++; r.noted <= mostNotes {
		r.note(LogEntry{Warn: true, Text: "an entry is read past", Key: c.Key, Reason: err.Error(), Endpoint: -1,
			Revision: c.ModRevision})
	}
}

// change takes a change of this history; with it no hold stands any longer.
func (r *Reconciler) change(c KeyValue) {
	if !strings.HasPrefix(c.Key, r.plan.Prefix+"/") {
		if !c.Deleted {
			_, err := ParseValue(r.plan.Prefix, c.Key, nil, 0)
			r.readPast(c, err)
		}
		return
	}
	e := r.key(c.Key)
	r.take(e, c)
	e.holdUntil = 0
	r.show(e)
	r.drop(c.Key, e)
}

// drop forgets a key that is gone and never was a backend.
func (r *Reconciler) drop(key string, e *entry) {
	if !e.present && e.reported.ID == "" && !e.ended {
		delete(r.entries, key)
	}
}

// show makes what is told of an entry what the registry says now, unless something stands against it.
func (r *Reconciler) show(e *entry) {
	if e.holdUntil > 0 || e.now == e.reported {
		return
	}
	m := e.now
	if m.ID == "" {
		m = e.reported
		m.Phase = Deleted
		e.ended, e.endedAt = true, r.now
		r.live--
		r.dueAt(r.now + r.plan.TombstoneRetention)
		if r.ends++; r.ends > r.plan.MaxTombstones {
			r.dueAt(r.now)
		}
	} else if e.reported.ID == "" {
		r.live++
		e.ended = false
	}
	e.reported = e.now
	r.reported = append(r.reported, m)
}

func (r *Reconciler) tell(whole bool) {
	if len(r.reported) > 0 || whole {
		r.order(PublishList{List{Revision: r.revision, Complete: whole, Members: r.reported}})
	}
	r.reported = nil
}

func (r *Reconciler) dueAt(at Time) {
	if r.due == 0 || at < r.due {
		r.due = at
	}
}

// shrunk says that much of the list ended at once: a registry that was emptied by mistake looks like a fleet
// that died. Who is told to be gone without a drain stays in the tables while it answers, where the settings
// say that gone alone does not bind.
func (r *Reconciler) shrunk(before int) {
	if r.plan.ShrinkWarnRatio > 0 && float64(before-r.live) > r.plan.ShrinkWarnRatio*float64(before) {
		r.note(LogEntry{Warn: true, Text: "the list shrank at once", Endpoint: r.endpoint(), Revision: r.revision,
			Count: before - r.live, Reason: fmt.Sprintf("%d of %d backends ended", before-r.live, before)})
	}
}

// reconcile puts the whole list that was read in the place of the one held and tells the differences: the changed
// ones in the order of their revisions, then who left.
func (r *Reconciler) reconcile() {
	same, pages := r.isSameHistory()
	before, first := r.live, !r.have
	if !first && !same {
		r.note(LogEntry{Warn: true, Text: "the list is of another history; drains and ends known stand for a while",
			Endpoint: r.endpoint(), Revision: r.pagesAt, Count: r.live, Reason: r.plan.HistoryHold.String()})
	}
	slices.SortStableFunc(r.pages, func(a, b KeyValue) int {
		return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), cmp.Compare(a.Key, b.Key))
	})
	for _, c := range r.pages {
		r.reconcileEntry(c, same, first)
	}
	for _, key := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[key]; !pages[key] && e.present {
			r.take(e, KeyValue{Key: key, ModRevision: e.mod, Deleted: true})
			e.holdUntil = 0
			r.show(e)
			r.drop(key, e)
		}
	}
	r.history, r.revision, r.have, r.sure, r.other = r.pagesOf, r.pagesAt, true, true, false
	r.tell(first)
	r.shrunk(before)
}

// isSameHistory reports whether the list that was read continues the one held; pages are the keys in it.
func (r *Reconciler) isSameHistory() (same bool, pages map[string]bool) {
	pages = map[string]bool{}
	same = !r.other && r.pagesOf == r.history
	if r.pagesAt < r.revision {
		// Consul's index goes back when it forgets deletions; the list is the one held then, to the last entry.
		same = same && !r.plan.WatchSendsChanges && len(r.pages) == r.keys()
	}
	for _, c := range r.pages {
		pages[c.Key] = true
		if c.ModRevision <= r.revision {
			// In one history, what was not changed since the revision held is what is held.
			e, ok := r.entries[c.Key]
			same = same && ok && e.present && e.mod == c.ModRevision && e.sum == sum(c.Value)
		}
	}
	return same, pages
}

func (r *Reconciler) reconcileEntry(c KeyValue, same, first bool) {
	if !strings.HasPrefix(c.Key, r.plan.Prefix+"/") {
		r.change(c)
		return
	}
	e := r.key(c.Key)
	if same && e.present && e.mod == c.ModRevision {
		return
	}
	r.take(e, c)
	if same || first {
		e.holdUntil = 0
	} else {
		r.hold(e)
	}
	r.show(e)
}

// keys counts those that the registry has.
func (r *Reconciler) keys() (n int) {
	for _, e := range r.entries {
		if e.present {
			n++
		}
	}
	return n
}

// hold lets a drain or an end that was known stand against what a list of another history says.
func (r *Reconciler) hold(e *entry) {
	drained := e.reported.Phase == Draining && e.now.Phase == Serving
	ended := e.reported.ID == "" && e.ended && e.now.ID != ""
	switch {
	case !drained && !ended || r.plan.HistoryHold == 0:
		e.holdUntil = 0
	case e.holdUntil == 0:
		e.holdUntil = r.now + r.plan.HistoryHold
		r.dueAt(e.holdUntil)
	}
}

// expire ends holds, and forgets ends that are long past or too many.
func (r *Reconciler) expire() {
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
		if e.holdUntil > 0 && r.now >= e.holdUntil {
			e.holdUntil = 0
			over++
			r.show(e)
		}
		if e.holdUntil > 0 {
			r.dueAt(e.holdUntil)
		}
		if !e.present && e.reported.ID == "" && e.now.ID == "" {
			if r.now >= e.endedAt+r.plan.TombstoneRetention {
				delete(r.entries, key)
			} else {
				ends = append(ends, end{key, e.endedAt})
				r.dueAt(e.endedAt + r.plan.TombstoneRetention)
			}
		}
	}
	if len(ends) > r.plan.MaxTombstones { // a quarter of them, so that this is seldom
		slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
		n := len(ends) - r.plan.MaxTombstones*3/4
		for _, e := range ends[:n] {
			delete(r.entries, e.key)
		}
		ends = ends[n:]
	}
	r.ends = len(ends)
	if over > 0 {
		r.note(LogEntry{Text: "drains and ends of another history stand no longer", Endpoint: -1, Revision: r.revision,
			Count: over})
	}
	r.tell(false)
}
