// Package aggregation sums, over a tree of controllers, what the proxies of a fleet measured at each backend. Every
// controller derives the same tree from the same member names. A node sends the sum of its own measurements and those
// of its children to its parent as a numbered partial; the total of the root is sent back down the tree. Each
// measurement counts once, and the traffic of a process does not grow with the number of processes. The package reads
// no clock and no socket. Alternatives: docs/notes/spread.md.
package aggregation

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	fanOut               = 8                // children of a node
	maxReports           = 4096             // backends in a summary
	maxUsage             = 1024             // pairs of a product and a zone
	maxPending           = 64               // flushes that have not come back in a total
	maxAge               = 15 * time.Second // of a partial that counts
	maxLatencyMS         = 60 * 1000.0      // mean of a report
	maxAttempts          = 1e9              // of a report
	maxTxns              = 1e9              // of a Usage, exclusive
	maxBackendNameLength = 256
	maxOrigins           = 1 << 16 // of a partial
	// maxAttemptsRatio limits the attempts per origin of a child, as a multiple of the mean of the other nodes.
	maxAttemptsRatio = 8.0
	// minAttempts is the smallest number of attempts that is not a rounding error after a subtraction.
	minAttempts = 1e-6
)

// Report sums the attempts at a backend.
type Report struct {
	Backend        string  `cbor:"1,keyasint"`
	Attempts       float64 `cbor:"2,keyasint"`
	Failed         float64 `cbor:"3,keyasint"` // part of Attempts
	TotalLatencyMS float64 `cbor:"4,keyasint"` // of the attempts that did not fail
}

// Summary sums the measurements of several controllers, its origins.
type Summary struct {
	Reports []Report      `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"` // mean, weighted by attempts
	Origins int           `cbor:"3,keyasint"`
	Usage   []Usage       `cbor:"4,keyasint"` // of the proxies of the origins
}

// Usage is the rate of transactions of a product that arrive at the proxies of a zone.
type Usage struct {
	Product string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint"`
	Txns    float64 `cbor:"3,keyasint"` // per second
}

// Request asks a node for a partial and is forwarded down the tree. The node answers when all its children have, or
// after Timeout.
type Request struct {
	Timeout time.Duration `cbor:"1,keyasint"`
}

const (
	// RequestTimeout is the timeout that a root sets.
	RequestTimeout = 400 * time.Millisecond
	// timeoutShare is the part of its own timeout that a node gives its children.
	timeoutShare = 0.6
)

// ForChildren returns the request to forward to the children.
func (r Request) ForChildren() Request {
	timeout := time.Duration(timeoutShare * float64(r.Timeout))
	return Request{min(max(timeout, 0), RequestTimeout)}
}

// Partial is sent to the parent and sums everything since the former partial.
type Partial struct {
	Seq         uint64  `cbor:"1,keyasint"`
	Summary     Summary `cbor:"2,keyasint"`
	Incarnation uint64  `cbor:"3,keyasint"` // of the sender; Seq restarts with each incarnation
}

// Total is sent to a child and holds the total of the root.
type Total struct {
	Root         string  `cbor:"1,keyasint"` // name and incarnation
	Seq          uint64  `cbor:"2,keyasint"` // assigned by the root
	IncludedUpTo uint64  `cbor:"3,keyasint"` // the child's partials up to this Seq are included
	Summary      Summary `cbor:"4,keyasint"`
}

// plus returns the sum of two reports on the same backend.
func (r Report) plus(other Report) Report {
	return Report{
		Backend:        r.Backend,
		Attempts:       r.Attempts + other.Attempts,
		Failed:         r.Failed + other.Failed,
		TotalLatencyMS: r.TotalLatencyMS + other.TotalLatencyMS,
	}
}

func (r Report) scaledBy(factor float64) Report {
	return Report{r.Backend, r.Attempts * factor, r.Failed * factor, r.TotalLatencyMS * factor}
}

// sanitized bounds a report to plausible values; it returns false for a report without meaning.
func (r Report) sanitized() (Report, bool) {
	isNumber := r.Attempts > 0 && r.Failed >= 0 && r.TotalLatencyMS >= 0 // false for NaN
	if !isNumber || r.Attempts > maxAttempts || r.Backend == "" || len(r.Backend) > maxBackendNameLength {
		return r, false
	}
	r.Failed = min(r.Failed, r.Attempts)
	r.TotalLatencyMS = min(r.TotalLatencyMS, (r.Attempts-r.Failed)*maxLatencyMS)
	return r, true
}

// accumulator sums reports by backend.
type accumulator struct {
	reports     map[string]Report
	attempts    float64
	weightedSec float64 // sum of the attempts times the seconds at which they were measured
}

func (a *accumulator) add(r Report, atSec float64) {
	if a.reports == nil {
		a.reports = map[string]Report{}
	}
	former, exists := a.reports[r.Backend]
	if !exists && len(a.reports) >= maxReports {
		return
	}
	former.Backend = r.Backend
	a.reports[r.Backend] = former.plus(r)
	a.attempts += r.Attempts
	a.weightedSec += r.Attempts * atSec
}

func (a *accumulator) sorted() (all []Report) {
	for _, r := range a.reports {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Backend, b.Backend) })
	return all
}

// meanAge returns the mean age of the attempts.
func (a *accumulator) meanAge(now time.Duration) time.Duration {
	if a.attempts > 0 {
		return max(time.Duration((now.Seconds()-a.weightedSec/a.attempts)*float64(time.Second)), 0)
	}
	return 0
}

// child is a node's state of one of its children.
type child struct {
	incarnation uint64
	lastSeq     uint64
	receivedAt  time.Duration
	reports     []Report // since the last flush
	age         time.Duration
	origins     int
	usage       []Usage
	hasReported bool // since the last flush
}

// attemptsPerOrigin returns the attempts since the last flush for each origin of a child.
func (c *child) attemptsPerOrigin() (sum float64) {
	for _, r := range c.reports {
		sum += r.Attempts
	}
	return sum / float64(max(c.origins, 1))
}

// pendingFlush is the node's own part of a partial that has not come back in a total.
type pendingFlush struct {
	seq      uint64
	at       time.Duration
	own      map[string]Report
	childSeq map[string]uint64 // by child: its partials up to this Seq are included
}

// Node is the state of one controller in the tree. It is not safe for concurrent use.
type Node struct {
	self        string
	incarnation uint64
	parent      string // empty at the root
	childNames  []string
	own         accumulator
	usage       []Usage
	children    map[string]*child
	seq         uint64
	pending     []pendingFlush // oldest first
	root        string         // of the last total
	totalSeq    uint64         // of the last total
}

// New returns a Node without other members. The incarnation differs at each start of the process.
func New(self string, incarnation uint64) *Node {
	return &Node{self: self, incarnation: incarnation, children: map[string]*child{}}
}

// TreePosition returns the parent and the children of a member. The members are ordered by a hash of their names, so
// the position does not depend on zones or naming. A parent precedes its children in this order, so messages cannot
// loop even if members have different views of the membership.
func TreePosition(self string, members []string) (parent string, children []string) {
	all := slices.Clone(members)
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
	all = slices.Compact(all)
	index := slices.Index(all, self)
	if index > 0 {
		parent = all[(index-1)/fanOut]
	}
	first := index*fanOut + 1
	return parent, all[min(first, len(all)):min(first+fanOut, len(all))]
}

// SetMembers sets the members of the tree, with or without this one. Partials sent to a former parent count as included
// in a total.
func (n *Node) SetMembers(all []string) {
	parent, children := TreePosition(n.self, all)
	n.childNames = children
	if parent != n.parent {
		n.parent, n.pending = parent, nil
		n.root, n.totalSeq = "", 0
	}
	for name, c := range n.children {
		isMember := slices.Contains(all, name) || slices.Contains(children, name)
		if !isMember && len(c.reports) == 0 { // reports of a former member are still flushed
			delete(n.children, name)
		}
	}
}

// Parent returns the receiver of this node's partials; it is empty at the root.
func (n *Node) Parent() string { return n.parent }

// Children returns the receivers of totals.
func (n *Node) Children() []string { return n.childNames }

// Record adds a measurement of this controller's own proxies.
func (n *Node) Record(r Report, now time.Duration) {
	if r, ok := r.sanitized(); ok {
		n.own.add(r, now.Seconds())
	}
}

// SetUsage sets the usage of this controller's own proxies.
func (n *Node) SetUsage(all []Usage) { n.usage = combineUsage(nil, all, 1) }

// combineUsage adds more to usage, by product and zone; a sign of -1 subtracts it.
func combineUsage(usage, more []Usage, sign float64) []Usage {
	type key struct{ product, zone string }
	sums := map[key]float64{}
	for _, u := range usage {
		sums[key{u.Product, u.Zone}] += u.Txns
	}
	for _, u := range more {
		if u.Txns >= 0 && u.Txns < maxTxns && len(sums) < maxUsage {
			k := key{u.Product, u.Zone}
			sums[k] = max(sums[k]+sign*u.Txns, 0)
		}
	}
	all := make([]Usage, 0, len(sums))
	for k, txns := range sums {
		all = append(all, Usage{k.product, k.zone, txns})
	}
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Product, b.Product), cmp.Compare(a.Zone, b.Zone))
	})
	return all
}

// HasAllPartials reports whether all children have sent a partial since the last flush.
func (n *Node) HasAllPartials() bool {
	return !slices.ContainsFunc(n.childNames, func(name string) bool {
		return n.children[name] == nil || !n.children[name].hasReported
	})
}

// HandlePartial takes a partial from a child; it returns false for a duplicate.
func (n *Node) HandlePartial(from string, p Partial, now time.Duration) bool {
	c := n.children[from]
	if c == nil {
		c = &child{}
		n.children[from] = c
	}
	if p.Incarnation != c.incarnation {
		c.incarnation, c.lastSeq = p.Incarnation, 0
	}
	if p.Seq <= c.lastSeq || from == n.self {
		return false
	}
	c.lastSeq, c.receivedAt, c.hasReported = p.Seq, now, true
	if p.Summary.Age < 0 || p.Summary.Age > maxAge || len(p.Summary.Reports) > maxReports {
		return true
	}
	for _, r := range p.Summary.Reports {
		if r, ok := r.sanitized(); ok {
			c.reports = append(c.reports, r)
		}
	}
	c.age = p.Summary.Age
	c.origins = min(max(p.Summary.Origins, 1), maxOrigins)
	c.usage = combineUsage(nil, p.Summary.Usage, 1)
	return true
}

// reportScales returns the factor by which the reports of each child are scaled. A child whose attempts per origin far
// exceed the mean of the others is scaled down, so that false reports cannot outweigh true ones.
func (n *Node) reportScales(names []string) map[string]float64 {
	rates, sum := map[string]float64{}, n.own.attempts
	for _, name := range names {
		rates[name] = n.children[name].attemptsPerOrigin()
		sum += rates[name]
	}
	scales := map[string]float64{}
	for _, name := range names {
		scales[name] = 1
		others := (sum - rates[name]) / float64(len(names))
		if others > 0 && rates[name] > maxAttemptsRatio*others {
			scales[name] = maxAttemptsRatio * others / rates[name]
		}
	}
	return scales
}

// summarize returns the sums since the last flush and starts the next period.
func (n *Node) summarize(now time.Duration) Summary {
	n.seq++
	flush := pendingFlush{seq: n.seq, at: now, own: n.own.reports, childSeq: map[string]uint64{}}
	sums := accumulator{}
	for _, r := range n.own.sorted() {
		sums.add(r, 0)
	}
	sums.weightedSec = n.own.weightedSec
	s := Summary{Origins: 1, Usage: n.usage}
	names := slices.Sorted(maps.Keys(n.children))
	scales := n.reportScales(names)
	for _, name := range names {
		c := n.children[name]
		flush.childSeq[name] = c.lastSeq
		if now-c.receivedAt > maxAge {
			continue // the child is gone
		}
		s.Origins += c.origins
		s.Usage = combineUsage(s.Usage, c.usage, 1)
		measuredAt := (c.receivedAt - c.age).Seconds()
		for _, r := range c.reports {
			sums.add(r.scaledBy(scales[name]), measuredAt)
		}
		c.reports, c.hasReported = nil, false
	}
	s.Reports, s.Age = sums.sorted(), sums.meanAge(now)
	n.own = accumulator{}
	n.pending = append(n.pending, flush)
	if len(n.pending) > maxPending {
		n.pending = n.pending[1:]
	}
	return s
}

// Flush ends the period since the last flush. It returns a partial for the parent or, at the root, what HandleTotal
// returns for the new total.
func (n *Node) Flush(now time.Duration) (partial *Partial, others *Summary, forChildren map[string]Total) {
	s := n.summarize(now)
	if n.parent != "" {
		return &Partial{Seq: n.seq, Summary: s, Incarnation: n.incarnation}, nil, nil
	}
	root := n.self + "@" + strconv.FormatUint(n.incarnation, 36)
	others, forChildren = n.HandleTotal("", Total{Root: root, Seq: n.seq, IncludedUpTo: n.seq, Summary: s}, now)
	return nil, others, forChildren
}

// HandleTotal takes a total from the parent. It returns what the other controllers measured, and the total for each
// child. Both are nil if the total is a duplicate or its sender is not the parent. The age of the result is at least
// that of this node's own part.
func (n *Node) HandleTotal(from string, t Total, now time.Duration) (others *Summary, forChildren map[string]Total) {
	isDuplicate := t.Root == n.root && t.Seq <= n.totalSeq
	if from != n.parent || isDuplicate || t.Summary.Age < 0 || len(t.Summary.Reports) > maxReports {
		return nil, nil
	}
	n.root, n.totalSeq = t.Root, t.Seq
	own, childSeq, oldest := n.takeIncluded(t.IncludedUpTo, now)
	t.Summary.Age = max(t.Summary.Age, oldest)
	forChildren = map[string]Total{}
	for _, name := range n.childNames {
		forChildren[name] = Total{Root: t.Root, Seq: t.Seq, IncludedUpTo: childSeq[name], Summary: t.Summary}
	}
	others = &Summary{Age: t.Summary.Age, Origins: t.Summary.Origins, Usage: combineUsage(t.Summary.Usage, n.usage, -1)}
	for _, r := range t.Summary.Reports {
		if r, ok := r.without(own[r.Backend]); ok {
			others.Reports = append(others.Reports, r)
		}
	}
	return others, forChildren
}

// takeIncluded removes the pending flushes up to a Seq. It returns the sum of this node's own reports in them, the
// children's Seq up to which partials are included, and the age of the oldest flush.
func (n *Node) takeIncluded(upTo uint64, now time.Duration) (
	own map[string]Report, childSeq map[string]uint64, oldest time.Duration,
) {
	own, childSeq = map[string]Report{}, map[string]uint64{}
	for len(n.pending) > 0 && n.pending[0].seq <= upTo {
		flush := n.pending[0]
		n.pending = n.pending[1:]
		oldest = max(oldest, now-flush.at)
		for backend, r := range flush.own {
			sum := own[backend]
			sum.Backend = backend
			own[backend] = sum.plus(r)
		}
		maps.Copy(childSeq, flush.childSeq)
	}
	return own, childSeq, oldest
}

// without subtracts this node's own part from a report; it returns false if nothing is left.
func (r Report) without(own Report) (Report, bool) {
	rest, ok := Report{
		Backend:        r.Backend,
		Attempts:       r.Attempts - own.Attempts,
		Failed:         max(r.Failed-own.Failed, 0),
		TotalLatencyMS: max(r.TotalLatencyMS-own.TotalLatencyMS, 0),
	}.sanitized()
	return rest, ok && rest.Attempts > minAttempts
}
