// Package aggregation adds up what the controllers of a fleet met at each backend, over a tree that each of them
// works out alone from the same names: a node sends what it and those below it met to one parent, with a number,
// and the root's total comes back down. So each origin's word counts once, and what a process sends and hears does
// not grow with the number of processes. Nothing here reads a clock or a socket. docs/notes/spread.md weighs the
// other ways.
package aggregation

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	fanOut     = 8                // children of a node
	maxReports = 4096             // backends of a message; what is more is dropped
	mostSpent  = 60 * 1000.0      // ms that a try can have taken
	mostPart   = 8.0              // multiple of what the others tell for each origin that one may tell
	mostAge    = 15 * time.Second // older sums say nothing
	mostUses   = 1024             // pairs of a product and a zone
	mostUnsure = 64               // folds whose way back is awaited
)

// Report is what was met at a backend: tries, how many of them voided, and ms that the answers of the others took
// in all.
type Report struct {
	Backend        string  `cbor:"1,keyasint"`
	Attempts       float64 `cbor:"2,keyasint"`
	Failed         float64 `cbor:"3,keyasint"`
	TotalLatencyMS float64 `cbor:"4,keyasint"`
}

// Summary is words of several origins. Age is how old they are on the mean.
type Summary struct {
	Reports []Report      `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	Origins int           `cbor:"3,keyasint"`
	Usage   []Usage       `cbor:"4,keyasint"` // that come to their proxies
}

// Usage is how many txns/s of a product come to the proxies of a zone.
type Usage struct {
	Product string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint"`
	Txns    float64 `cbor:"3,keyasint"`
}

// Request goes down the tree: who hears it tells its parent what it has, within the span if it has to wait for others.
type Request struct {
	Timeout time.Duration `cbor:"1,keyasint"`
}

// RequestTimeout is the span that a root gives; each further one down has a part of it.
const (
	RequestTimeout = 400 * time.Millisecond
	askPart        = 0.6
)

// ForChildren is what goes on to the children.
func (a Request) ForChildren() Request {
	return Request{min(max(time.Duration(askPart*float64(a.Timeout)), 0), RequestTimeout)}
}

// Partial goes to the parent: what came together since the number before.
type Partial struct {
	Seq         uint64  `cbor:"1,keyasint"`
	Summary     Summary `cbor:"2,keyasint"`
	Incarnation uint64  `cbor:"3,keyasint"` // of the one that sends it: numbers begin anew with each
}

// Total comes from the parent: a total of the root, in which what the child sent up to Counted is contained.
type Total struct {
	Root         string  `cbor:"1,keyasint"`
	Seq          uint64  `cbor:"2,keyasint"` // of the root
	IncludedUpTo uint64  `cbor:"3,keyasint"`
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

// heap is what is open at a node; born is the sum of tries times the moments at which they were met.
type heap struct {
	reports map[string]Report
	born    float64
	tries   float64
}

func (h *heap) add(w Report, at float64) {
	if h.reports == nil {
		h.reports = map[string]Report{}
	}
	if _, there := h.reports[w.Backend]; !there && len(h.reports) >= maxReports {
		return
	}
	was := h.reports[w.Backend]
	was.Backend = w.Backend
	h.reports[w.Backend] = was.plus(w)
	h.born, h.tries = h.born+w.Attempts*at, h.tries+w.Attempts
}

func (h *heap) list() (all []Report) {
	for _, w := range h.reports {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Backend, b.Backend) })
	return all
}

// child is what a node has of another one below it.
type child struct {
	incarnation uint64
	last        uint64 // number taken
	at          time.Duration
	open        []Report // since the last fold
	age         time.Duration
	origins     int
	uses        []Usage
	notified    bool // since the last fold
}

// fold is what a node sent up, until it comes back in a total.
type fold struct {
	number uint64
	at     time.Duration
	own    map[string]Report
	counts map[string]uint64 // by child: its folds up to that are in it
}

// Node is one controller's place in the tree.
type Node struct {
	self        string
	incarnation uint64
	parent      string // empty: it is the root
	below       []string
	own         heap
	uses        []Usage
	children    map[string]*child
	number      uint64
	unsure      []fold // oldest first
	root        string
	total       uint64 // number of the last one taken
}

// New makes a Node that knows of nobody else; its life is another one at each start of the process.
func New(self string, life uint64) *Node {
	return &Node{self: self, incarnation: life, children: map[string]*child{}}
}

// TreePosition returns the parent and the children of a member. The order of the members is that of a hash of their
// names, so position is independent of zones and naming. A parent always precedes its children in that order, so
// messages cannot loop even if members have different views.
func TreePosition(self string, members []string) (parent string, children []string) {
	all := slices.Clone(members)
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a), xxh3.HashString(b)), cmp.Compare(a, b))
	})
	all = slices.Compact(all)
	at := slices.Index(all, self)
	if at > 0 {
		parent = all[(at-1)/fanOut]
	}
	return parent, all[min(at*fanOut+1, len(all)):min(at*fanOut+1+fanOut, len(all))]
}

// SetMembers says who is there, this one included or not. What went up to a former parent counts as having been added.
func (n *Node) SetMembers(all []string) {
	parent, below := TreePosition(n.self, all)
	if n.below = below; parent != n.parent {
		n.parent, n.unsure = parent, nil
		n.root, n.total = "", 0
	}
	for name := range n.children { // what it told stands; what it numbered anew must not be read past
		if !slices.Contains(all, name) && !slices.Contains(below, name) && len(n.children[name].open) == 0 {
			delete(n.children, name)
		}
	}
}

// Parent is the instance that Fold sends to; none at the root.
func (n *Node) Parent() string { return n.parent }

// Children are the instances that a total is sent on to.
func (n *Node) Children() []string { return n.below }

// Record takes what the own proxies met.
func (n *Node) Record(w Report, now time.Duration) {
	if w, ok := sound(w); ok {
		n.own.add(w, now.Seconds())
	}
}

// SetUsage says what comes to the own proxies.
func (n *Node) SetUsage(all []Usage) { n.uses = addUses(nil, all, 1) }

// addUses adds up by product and zone, in their order; part is 1 or, to take away, -1.
func addUses(to, more []Usage, part float64) []Usage {
	sum := map[[2]string]float64{}
	for _, u := range to {
		sum[[2]string{u.Product, u.Zone}] += u.Txns
	}
	for _, u := range more {
		if at := [2]string{u.Product, u.Zone}; u.Txns >= 0 && u.Txns < 1e9 && len(sum) < mostUses {
			sum[at] = max(sum[at]+part*u.Txns, 0)
		}
	}
	all := make([]Usage, 0, len(sum))
	for at, txns := range sum {
		all = append(all, Usage{at[0], at[1], txns})
	}
	slices.SortFunc(
		all,
		func(a, b Usage) int { return cmp.Or(cmp.Compare(a.Product, b.Product), cmp.Compare(a.Zone, b.Zone)) },
	)
	return all
}

// HasAllPartials says whether all below have told since the last turn.
func (n *Node) HasAllPartials() bool {
	return !slices.ContainsFunc(
		n.below,
		func(name string) bool { return n.children[name] == nil || !n.children[name].notified },
	)
}

// sound bounds a word to what can be.
func sound(w Report) (Report, bool) {
	isNumber := w.Attempts > 0 && w.Failed >= 0 && w.TotalLatencyMS >= 0 // false for NaN
	if !isNumber || w.Attempts > 1e9 || w.Backend == "" || len(w.Backend) > 256 {
		return w, false
	}
	w.Failed = min(w.Failed, w.Attempts)
	w.TotalLatencyMS = min(w.TotalLatencyMS, (w.Attempts-w.Failed)*mostSpent)
	return w, true
}

// HandlePartial takes a child's word; false for one that was taken already.
func (n *Node) HandlePartial(from string, up Partial, now time.Duration) bool {
	c := n.children[from]
	if c == nil {
		c = &child{}
		n.children[from] = c
	}
	if up.Incarnation != c.incarnation {
		c.incarnation, c.last = up.Incarnation, 0
	}
	if up.Seq <= c.last || from == n.self {
		return false
	}
	c.last, c.at, c.notified = up.Seq, now, true
	if up.Summary.Age < 0 || up.Summary.Age > mostAge || len(up.Summary.Reports) > maxReports {
		return true
	}
	for _, w := range up.Summary.Reports {
		if w, ok := sound(w); ok {
			c.open = append(c.open, w)
		}
	}
	c.age, c.origins, c.uses = up.Summary.Age, min(max(up.Summary.Origins, 1), 1<<16), addUses(nil, up.Summary.Usage, 1)
	return true
}

// perOrigin is how many tries a child tells of for each of its origins since the last fold.
func (c *child) perOrigin() (all float64) {
	for _, w := range c.open {
		all += w.Attempts
	}
	return all / float64(max(c.origins, 1))
}

// fold closes what is open, as one word.
func (n *Node) fold(now time.Duration) Summary {
	f := fold{number: n.number + 1, at: now, own: n.own.reports, counts: map[string]uint64{}}
	all := heap{}
	for _, w := range n.own.list() {
		all.add(w, 0)
	}
	all.born = n.own.born
	s := Summary{Origins: 1, Usage: n.uses}
	names := make([]string, 0, len(n.children))
	for name := range n.children {
		names = append(names, name)
	}
	slices.Sort(names)
	// One that tells far more for each of its origins than the others do is scaled down, all of its words alike: a true
	// one loses weight only, a false one cannot drown the others.
	rates, sum := map[string]float64{}, n.own.tries
	for _, name := range names {
		rates[name] = n.children[name].perOrigin()
		sum += rates[name]
	}
	for _, name := range names {
		c := n.children[name]
		f.counts[name] = c.last
		if now-c.at > mostAge {
			continue // it is gone, and its use with it
		}
		s.Origins, s.Usage = s.Origins+c.origins, addUses(s.Usage, c.uses, 1)
		scale := 1.0
		if others := (sum - rates[name]) / float64(len(names)); others > 0 && rates[name] > mostPart*others {
			scale = mostPart * others / rates[name]
		}
		for _, w := range c.open {
			all.add(Report{w.Backend, w.Attempts * scale, w.Failed * scale, w.TotalLatencyMS * scale}, (c.at - c.age).Seconds())
		}
		c.open, c.notified = nil, false
	}
	if s.Reports = all.list(); all.tries > 0 {
		s.Age = max(time.Duration((now.Seconds()-all.born/all.tries)*float64(time.Second)), 0)
	}
	n.number++
	n.own = heap{}
	n.unsure = append(n.unsure, f)
	if len(n.unsure) > mostUnsure {
		n.unsure = n.unsure[1:]
	}
	return s
}

// Flush closes what came since the last one: a word for the parent, or, at the root, a total as Take gives it.
func (n *Node) Flush(now time.Duration) (up *Partial, total *Summary, on map[string]Total) {
	s := n.fold(now)
	if n.parent != "" {
		return &Partial{Seq: n.number, Summary: s, Incarnation: n.incarnation}, nil, nil
	}
	total, on = n.HandleTotal(
		"",
		Total{Root: n.self + "@" + strconv.FormatUint(n.incarnation, 36), Seq: n.number, IncludedUpTo: n.number, Summary: s},
		now,
	)
	return nil, total, on
}

// HandleTotal takes a total that came from a member, the parent: what the others met, and what goes on to each child.
// Nil for one that is not the parent's, or was taken already. It is at least as old as what of this node is in it.
func (n *Node) HandleTotal(from string, d Total, now time.Duration) (others *Summary, on map[string]Total) {
	isRepeated := d.Root == n.root && d.Seq <= n.total
	if from != n.parent || isRepeated || d.Summary.Age < 0 || len(d.Summary.Reports) > maxReports {
		return nil, nil
	}
	n.root, n.total = d.Root, d.Seq
	own, counts := map[string]Report{}, map[string]uint64{}
	for len(n.unsure) > 0 && n.unsure[0].number <= d.IncludedUpTo {
		f := n.unsure[0]
		n.unsure = n.unsure[1:]
		d.Summary.Age = max(d.Summary.Age, now-f.at)
		for id, w := range f.own {
			was := own[id]
			was.Backend = id
			own[id] = was.plus(w)
		}
		for name, last := range f.counts {
			counts[name] = last
		}
	}
	on = map[string]Total{}
	for _, name := range n.below {
		on[name] = Total{Root: d.Root, Seq: d.Seq, IncludedUpTo: counts[name], Summary: d.Summary}
	}
	others = &Summary{Age: d.Summary.Age, Origins: d.Summary.Origins, Usage: addUses(d.Summary.Usage, n.uses, -1)}
	for _, w := range d.Summary.Reports {
		o := own[w.Backend]
		w.Attempts, w.Failed, w.TotalLatencyMS = w.Attempts-o.Attempts, w.Failed-o.Failed, w.TotalLatencyMS-o.TotalLatencyMS
		if w.Failed = max(w.Failed, 0); w.Attempts > 1e-6 {
			if w, ok := sound(Report{w.Backend, w.Attempts, w.Failed, max(w.TotalLatencyMS, 0)}); ok {
				others.Reports = append(others.Reports, w)
			}
		}
	}
	return others, on
}
