// Package reconcile keeps a list of backends consistent with a key-value registry. A Reconciler is a state machine
// without I/O, clock or goroutines: Step takes the current time and the events since the last step, and returns orders.
// The orders read, check and watch the registry, and publish each change of the list once and in order.
package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// phase is what the reconciler is doing.
type phase uint8

const (
	waiting  phase = iota // until the next attempt starts
	reading               // the whole list
	checking              // the published list against the registry
	watching
)

// checkExpectation is the result of a Check if the registry still has the published list.
type checkExpectation struct {
	revision    int64
	count       int
	modRevision int64 // the highest one
}

// Reconciler holds the list. It is not safe for concurrent use.
type Reconciler struct {
	config     Config
	now        Time
	entries    map[string]*entry // by key
	hasList    bool              // a whole list has been published
	clusterID  uint64            // ID of the registry cluster that revision belongs to
	revision   int64             // entries include all changes up to it
	liveCount  int               // published backends
	tombstones int               // an upper bound of the removed backends in entries
	nextExpiry Time              // when the first RestoredListHold or tombstone expires; 0 if there is none

	phase             phase
	attempt           int
	lastMessageAt     Time // of the current attempt
	progressRequested bool // since lastMessageAt
	waitUntil         Time // end of the phase waiting
	reloadNeeded      bool // the whole list has to be read before the next watch
	// verified is set if the list was compared with the registry since the last failure, or cannot be compared because
	// its revision is compacted.
	verified bool
	// diverged is set if a check found a different list at the same revision, so that the registry was restored or
	// replaced. Reading the whole list clears it.
	diverged     bool
	lastReloadAt Time
	hasReloaded  bool // lastReloadAt is set
	pageSize     int  // of the next read
	expected     checkExpectation
	auditing     bool // a check runs during the watch
	nextAuditAt  Time

	pages          []KeyValue // pages of the current read
	pagesRevision  int64
	pagesClusterID uint64
	partialChanges []KeyValue // changes of a revision that is not yet complete

	endpointOrder  []int // order of the attempts in the current round
	endpointIndex  int   // in endpointOrder
	randomDraws    uint64
	failures       int // consecutive
	rejections     int // consecutive
	failing        bool
	failureReason  FailureReason // the last one that was logged
	invalidEntries int           // in the current step

	orders      []Order // of the current step
	unpublished []Member
}

// New returns a reconciler with an empty list. It panics if the configuration has no endpoint or no page size.
func New(config Config) *Reconciler {
	if config.Endpoints < 1 || config.PageSize < 1 {
		panic("reconcile: Endpoints and PageSize must be positive")
	}
	r := &Reconciler{config: config, entries: map[string]*entry{}, pageSize: config.PageSize}
	r.shuffle()
	return r
}

// Current returns the number of published backends and the revision of the list.
func (r *Reconciler) Current() (backends int, revision int64) { return r.liveCount, r.revision }

// Step processes events in order, then timeouts. It returns the resulting orders.
func (r *Reconciler) Step(now Time, events []Event) []Order {
	r.now, r.orders, r.invalidEntries = max(now, r.now), nil, 0
	for _, e := range events {
		r.handle(e)
	}
	r.expire()
	switch {
	case r.phase == waiting && r.now >= r.waitUntil:
		r.startAttempt()
	case (r.phase == reading || r.phase == checking) && r.now >= r.lastMessageAt+r.config.ResponseTimeout:
		r.fail(TimedOut, fmt.Errorf("no response within %v", r.config.ResponseTimeout))
	case r.phase == watching && r.now >= r.lastMessageAt+r.config.WatchTimeout:
		r.fail(TimedOut, fmt.Errorf("no message within %v, although progress was requested", r.config.WatchTimeout))
	case r.phase == watching && !r.progressRequested && r.now >= r.lastMessageAt+r.config.ProgressInterval:
		r.progressRequested = true
		r.emit(RequestProgress{r.attempt})
	}
	if r.phase == watching && r.isAuditPending() && r.now >= r.nextAuditAt {
		r.auditing = true
		r.startCheck()
	}
	if r.invalidEntries > maxInvalidEntryLogs {
		r.log(LogEntry{Warn: true, Text: "ignoring further invalid entries", Endpoint: -1,
			Count: r.invalidEntries - maxInvalidEntryLogs})
	}
	return r.orders
}

const maxInvalidEntryLogs = 20 // per step

// isAuditPending reports whether the current watch is to be audited at nextAuditAt.
func (r *Reconciler) isAuditPending() bool {
	return r.config.SupportsCheck && r.config.AuditInterval > 0 && !r.auditing
}

// NextDeadline returns the time at which Step has to run even without an event.
func (r *Reconciler) NextDeadline() Time {
	var at Time
	switch r.phase {
	case waiting:
		at = r.waitUntil
	case watching:
		at = r.lastMessageAt + r.config.WatchTimeout
		if !r.progressRequested {
			at = r.lastMessageAt + r.config.ProgressInterval
		}
		if r.isAuditPending() {
			at = min(at, r.nextAuditAt)
		}
	default:
		at = r.lastMessageAt + r.config.ResponseTimeout
	}
	if r.nextExpiry > 0 {
		at = min(at, r.nextExpiry)
	}
	return at
}

func (r *Reconciler) emit(o Order) { r.orders = append(r.orders, o) }

func (r *Reconciler) log(n LogEntry) { r.emit(n) }

func (r *Reconciler) random() float64 {
	r.randomDraws++
	return random(r.config.Seed, r.randomDraws)
}

// shuffle starts a round of endpoints in random order, which spreads the load of the controllers.
func (r *Reconciler) shuffle() {
	r.endpointOrder, r.endpointIndex = r.endpointOrder[:0], 0
	keys := make([]float64, r.config.Endpoints)
	for i := range keys {
		keys[i], r.endpointOrder = r.random(), append(r.endpointOrder, i)
	}
	slices.SortStableFunc(r.endpointOrder, func(a, b int) int { return cmp.Compare(keys[a], keys[b]) })
}

func (r *Reconciler) endpoint() int { return r.endpointOrder[r.endpointIndex] }

// waitFor delays the next attempt. If it has to read the whole list, the delay respects MinReloadInterval.
func (r *Reconciler) waitFor(delay time.Duration) {
	r.phase, r.waitUntil = waiting, r.now+delay
	if r.hasReloaded && (r.reloadNeeded || !r.hasList) {
		r.waitUntil = max(r.waitUntil, r.lastReloadAt+r.config.MinReloadInterval)
	}
}

// startAttempt starts the next attempt. It checks the list first if the last attempt failed.
func (r *Reconciler) startAttempt() {
	r.attempt++
	r.lastMessageAt, r.progressRequested, r.auditing, r.partialChanges = r.now, false, false, nil
	if r.hasList && r.config.SupportsCheck && !r.verified {
		r.phase = checking
		r.startCheck()
	} else {
		r.readOrWatch()
	}
}

// readOrWatch reads the whole list if necessary, and otherwise watches for changes after the current revision.
func (r *Reconciler) readOrWatch() {
	if r.hasList && !r.reloadNeeded {
		r.startWatch()
		return
	}
	r.phase, r.pages, r.lastMessageAt, r.lastReloadAt, r.hasReloaded = reading, nil, r.now, r.now, true
	r.emit(ReadPage{Attempt: r.attempt, Endpoint: r.endpoint(), Limit: r.pageSize})
}

func (r *Reconciler) startWatch() {
	r.phase, r.lastMessageAt, r.progressRequested, r.auditing = watching, r.now, false, false
	r.nextAuditAt = r.now + r.config.AuditInterval
	// If the registry's index has decreased below r.revision during a failure, a blocking query would wait until the
	// index exceeds r.revision. The first response is therefore requested at once.
	r.emit(Watch{Attempt: r.attempt, Endpoint: r.endpoint(), AfterRevision: r.revision,
		Immediate: !r.config.WatchSendsChanges && !r.verified})
}

// startCheck asks the registry for a summary of the list at the current revision. Only a check detects that the
// registry was restored from a backup and has reached the current revision again.
func (r *Reconciler) startCheck() {
	r.expected = checkExpectation{revision: r.revision}
	for _, e := range r.entries {
		if e.present {
			r.expected.count, r.expected.modRevision = r.expected.count+1, max(r.expected.modRevision, e.modRevision)
		}
	}
	r.emit(Check{Attempt: r.attempt, Endpoint: r.endpoint(), Revision: r.revision})
}

// reload ends the attempt and reads the whole list after a random delay of up to maxDelay.
func (r *Reconciler) reload(maxDelay time.Duration) {
	r.reloadNeeded = true
	r.waitFor(time.Duration(float64(maxDelay) * r.random()))
}

func (r *Reconciler) reloadWithWarning(text string, revision int64) {
	r.log(LogEntry{Warn: true, Text: text, Endpoint: r.endpoint(), Revision: revision, Count: r.liveCount})
	r.reload(r.config.ReloadJitter)
}

// fail ends an attempt and schedules the next one, at the next endpoint. The delay doubles after each round of
// endpoints, or with each rejection.
func (r *Reconciler) fail(reason FailureReason, err error) {
	if r.phase == waiting {
		return
	}
	r.emit(Cancel{r.attempt})
	if !r.failing {
		r.emit(PublishFailure{})
	}
	if !r.failing || reason >= BadCredentials && reason != r.failureReason {
		r.log(LogEntry{Warn: true, Text: "registry fails; keeping the last known list", Endpoint: r.endpoint(),
			Reason: fmt.Sprintf("%v: %v", reason, err), Revision: r.revision, Count: r.liveCount})
		r.failureReason = reason
	}
	r.failing, r.failures, r.verified = true, r.failures+1, false
	backoff, maxBackoff := r.config.MinBackoff, r.config.MaxBackoff
	doublings := r.failures / r.config.Endpoints
	if reason >= BadCredentials {
		maxBackoff, doublings = r.config.MaxRejectedBackoff, r.rejections
		r.rejections++
	}
	for ; doublings > 0 && backoff < maxBackoff; doublings-- {
		backoff *= 2
	}
	if r.endpointIndex++; r.endpointIndex == len(r.endpointOrder) {
		r.shuffle()
	}
	r.waitFor(time.Duration(float64(min(backoff, maxBackoff)) * (0.5 + 0.5*r.random())))
}

// markHealthy ends an outage after a valid response.
func (r *Reconciler) markHealthy() {
	if r.failing {
		r.log(LogEntry{Text: "registry is available again", Endpoint: r.endpoint(), Revision: r.revision, Count: r.liveCount})
	}
	r.failing, r.failures, r.rejections = false, 0, 0
}

func (r *Reconciler) handle(e Event) {
	switch e := e.(type) {
	case Page:
		if e.Attempt == r.attempt && r.phase == reading {
			r.onPage(e)
		}
	case PageTooLarge:
		if e.Attempt == r.attempt && r.phase == reading {
			r.onPageTooLarge()
		}
	case CheckResult:
		if e.Attempt == r.attempt && (r.phase == checking || r.phase == watching && r.auditing) {
			r.onCheckResult(e)
		}
	case WatchOpened, Progress, Changes:
		if r.phase == watching {
			r.onWatch(e)
		}
	case Compacted:
		r.onCompacted(e)
	case AttemptFailed:
		if e.Attempt == r.attempt {
			r.fail(e.Reason, e.Err)
		}
	case ReloadRequested:
		if r.reloadNeeded = true; r.phase == watching || r.phase == checking {
			r.reload(0)
		}
	}
}

// onPageTooLarge restarts the read with smaller pages.
func (r *Reconciler) onPageTooLarge() {
	if r.pageSize == 1 {
		r.fail(InvalidResponse, fmt.Errorf("a single entry exceeds the response size limit"))
		return
	}
	r.pageSize = max(r.pageSize/2, 1)
	r.reload(0)
}

// onWatch handles the events of the current watch.
func (r *Reconciler) onWatch(e Event) {
	switch e := e.(type) {
	case WatchOpened:
		if e.Attempt != r.attempt {
			return
		}
		// The list was verified before the watch, so a lower revision only means that this registry server lags.
		if r.recordMessage(); e.ClusterID != r.clusterID {
			r.reloadWithWarning("the watch is from another cluster; reading the whole list", e.Revision)
		}
	case Progress:
		if e.Attempt == r.attempt {
			r.onProgress(e)
		}
	case Changes:
		if e.Attempt == r.attempt {
			r.onChanges(e)
		}
	}
}

// recordMessage restarts the timeouts of the watch.
func (r *Reconciler) recordMessage() {
	r.lastMessageAt, r.progressRequested = r.now, false
	r.markHealthy()
}

func (r *Reconciler) onPage(e Page) {
	r.lastMessageAt = r.now
	if len(r.pages) == 0 {
		r.pagesRevision, r.pagesClusterID = e.Revision, e.ClusterID
	}
	switch last := len(e.Entries) - 1; {
	case e.Revision != r.pagesRevision || e.ClusterID != r.pagesClusterID:
		r.fail(InvalidResponse, fmt.Errorf(
			"pages of one read are from revision %d of cluster %d and revision %d of cluster %d",
			r.pagesRevision, r.pagesClusterID, e.Revision, e.ClusterID))
	case e.More && last < 0:
		r.fail(InvalidResponse, fmt.Errorf("empty page before the last one"))
	case len(r.pages)+len(e.Entries) > r.config.MaxKeys:
		r.fail(InvalidResponse, fmt.Errorf("more than %d keys", r.config.MaxKeys))
	case e.More:
		r.pages = append(r.pages, e.Entries...)
		r.emit(ReadPage{Attempt: r.attempt, Endpoint: r.endpoint(), Limit: r.pageSize, AfterKey: e.Entries[last].Key,
			Revision: r.pagesRevision})
	default:
		r.pages = append(r.pages, e.Entries...)
		r.markHealthy()
		r.applyFullList()
		r.pages, r.pageSize, r.reloadNeeded = nil, min(r.pageSize, r.config.PageSize), false
		// The watch belongs to the same attempt, so that the connection is reused.
		r.startWatch()
	}
}

// onCheckResult compares the registry's summary of the list with the published list.
func (r *Reconciler) onCheckResult(e CheckResult) {
	r.lastMessageAt = r.now
	isAudit := r.auditing
	r.auditing, r.nextAuditAt, r.verified = false, r.now+r.config.AuditInterval, true
	isSame := r.isExpectedResult(e, isAudit)
	r.diverged = r.diverged || !isSame
	switch {
	case e.ClusterID != r.clusterID || e.Revision < r.expected.revision:
		r.reloadWithWarning("the registry was replaced or restored; reading the whole list", e.Revision)
	case !isSame:
		r.reloadWithWarning("the registry has another list at the last known revision; reading the whole list", e.Revision)
	case !isAudit:
		r.markHealthy()
		r.readOrWatch()
	}
}

func (r *Reconciler) isExpectedResult(e CheckResult, isAudit bool) bool {
	if e.Count != r.expected.count {
		return false
	}
	if e.Count == 0 {
		return true
	}
	last, ok := r.entries[e.Last.Key]
	if !ok || e.Last.ModRevision != r.expected.modRevision {
		return false
	}
	if last.modRevision == e.Last.ModRevision && last.checksum == checksum(e.Last.Value) {
		return true
	}
	return isAudit && last.modRevision > e.Last.ModRevision // the watch has changed the key since the check began
}

func (r *Reconciler) onProgress(e Progress) {
	r.recordMessage()
	r.verified = true
	switch {
	case e.ClusterID != r.clusterID:
		r.reloadWithWarning("progress is from another cluster; reading the whole list", e.Revision)
	case r.config.WatchSendsChanges:
		// A lower revision only means that this registry server lags.
		if len(r.partialChanges) == 0 {
			r.revision = max(r.revision, e.Revision)
		}
	case e.Revision < r.revision:
		r.reloadWithWarning("the registry's index decreased; reading the whole list", e.Revision)
	case e.Revision > r.revision:
		r.reload(r.config.MinReloadInterval)
	}
}

// onChanges applies changes once the revision that they belong to is complete.
func (r *Reconciler) onChanges(e Changes) {
	r.recordMessage()
	if e.ClusterID != r.clusterID {
		r.reloadWithWarning("changes are from another cluster; reading the whole list", 0)
		return
	}
	for _, c := range e.Entries {
		if n := len(r.partialChanges); n > 0 && c.ModRevision < r.partialChanges[n-1].ModRevision {
			previous := r.partialChanges[n-1].ModRevision
			r.fail(InvalidResponse, fmt.Errorf("change of revision %d after revision %d", c.ModRevision, previous))
			return
		}
		r.partialChanges = append(r.partialChanges, c)
	}
	if len(r.partialChanges) > r.config.MaxKeys {
		r.fail(InvalidResponse, fmt.Errorf("more than %d changes of one revision", r.config.MaxKeys))
		return
	}
	if e.Partial {
		return
	}
	liveBefore, knownRevision := r.liveCount, r.revision
	for _, c := range r.partialChanges {
		if c.ModRevision > knownRevision { // others were applied before a failure or with the whole list
			r.applyChange(c)
			r.revision = c.ModRevision
		}
	}
	r.partialChanges = nil
	r.publish(false)
	r.warnIfShrunk(liveBefore)
}

func (r *Reconciler) onCompacted(e Compacted) {
	if e.Attempt != r.attempt || r.phase == waiting {
		return
	}
	if e.ForCheck && r.phase == watching {
		// The revision to compare at is compacted. This audit is skipped, and the watch still delivers all changes.
		r.lastMessageAt, r.auditing, r.nextAuditAt = r.now, false, r.now+r.config.AuditInterval
		return
	}
	if r.phase == reading {
		// Larger pages finish the read before the next compaction.
		r.pageSize = min(r.pageSize*2, max(r.config.MaxPageSize, r.config.PageSize))
		r.log(LogEntry{Text: "compaction interrupted the read of the whole list; reading it again", Endpoint: r.endpoint(),
			Revision: e.OldestRevision, Count: r.pageSize})
	} else {
		r.log(LogEntry{Text: "the last known revision is compacted; reading the whole list", Endpoint: r.endpoint(),
			Revision: e.OldestRevision, Count: r.liveCount})
	}
	r.verified = true // the list cannot be compared at a compacted revision
	r.reload(r.config.ReloadJitter)
}
