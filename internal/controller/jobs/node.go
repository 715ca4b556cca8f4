package jobs

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"elmfold/internal/controller/membership"
)

const (
	heartbeatInterval = 250 * time.Millisecond // at least so often one has something to say
	together          = 10 * time.Millisecond
	heartbeatTimeout  = time.Second
	perFrame          = 2000 // edits
	foldEvery         = time.Second
	resolveInterval   = 500 * time.Millisecond // that one who differs is asked what it has
	mostAtOnce        = 4096                   // edits that are stored together
	partners          = 12                     // up to so many each hears from all; beyond, from some
)

// Node is a replica that is kept on a disk and told on to others. Its mutex is held while a batch is written:
// nobody may see an edit that is not on the disk yet, and only who deals with jobs waits for it. It is never held
// over a socket.
type Node struct {
	name      string
	storage   *Store
	log       *logrus.Entry
	streams   *membership.Streams
	fleet     *membership.Fleet
	count     []string // who counts beside this one; nil: whoever was ever there
	authorize func(e Edit, v View) error

	mu      sync.Mutex
	r       *Replica
	changed chan struct{} // closed when there is something new
	peers   map[string]PeerStatus

	intake chan editRequest
}

type editRequest struct {
	edit Edit
	to   chan answer
}

type answer struct {
	edit Edit
	err  error
}

// PeerStatus is what one knew when it was heard last, told on for those who do not hear it themselves.
type PeerStatus struct {
	Origin        string        `cbor:"1,keyasint"`
	Versions      VersionVector `cbor:"2,keyasint"`
	LastHeartbeat uint64        `cbor:"3,keyasint"` // grows in a life of it
}

// peerRequest is what one says that wants to hear; it says it again after each frame.
type peerRequest struct {
	Versions VersionVector `cbor:"1,keyasint"`
	Kept     bool          `cbor:"2,keyasint"` // it knows the same, and has other edits
}

// given answers it.
type given struct {
	Edits    [][]byte              `cbor:"1,keyasint"`
	Whole    VersionVector         `cbor:"2,keyasint"`
	Folded   bool                  `cbor:"3,keyasint"`
	Kept     map[string][]uint64   `cbor:"4,keyasint"`
	Heard    map[string]PeerStatus `cbor:"5,keyasint"`
	Versions VersionVector         `cbor:"6,keyasint"`
	Digest   uint64                `cbor:"7,keyasint"`
}

// Config is what a Node is told.
type Config struct {
	Path        string
	Peers       []string
	Authorize   func(e Edit, v View) error // what the decisions permit; nil: all
	Incarnation string                     // of this process: never used before
}

// Open begins to take and tell edits.
func Open(p Config, fleet *membership.Fleet, streams *membership.Streams, log *logrus.Entry) (*Node, error) {
	keep, held, err := OpenStore(p.Path)
	if err != nil {
		return nil, err
	}
	self := fleet.Self()
	n := &Node{
		name:      self.Name,
		storage:   keep,
		log:       log,
		streams:   streams,
		fleet:     fleet,
		count:     p.Peers,
		authorize: p.Authorize,
		changed:   make(chan struct{}),
		peers:     map[string]PeerStatus{},
		intake:    make(chan editRequest, 1024),
		r:         NewReplica(self.Name+"@"+p.Incarnation, self.Site),
	}
	n.r.Restore(held.Versions, held.Edits)
	n.counts(held.Peers) // before it folds anything: also those that are not there yet count
	if n.authorize == nil {
		n.authorize = func(Edit, View) error { return nil }
	}
	if held.QuarantinedAs != "" {
		log.WithFields(
			logrus.Fields{"reason": "jobs", "aside": held.QuarantinedAs},
		).Error(
			"the store of jobs cannot be read and is begun anew; what others know comes back from them",
		)
	}
	jobs, kept := n.r.Sizes()
	log.WithFields(logrus.Fields{"jobs": jobs, "edits": kept, "as": n.r.Origin()}).Info("jobs are kept")
	streams.Serve(membership.StreamJobs, n.serve)
	streams.Go(n.store)
	streams.Go(n.follow)
	streams.Go(n.fold)
	return n, nil
}

// Close ends it; the streams are closed before it.
func (n *Node) Close() error { return n.storage.Close() }

// Submit takes an edit that somebody asks for; it returns once it is on the disk.
func (n *Node) Submit(ctx context.Context, e Edit) (Edit, error) {
	a := editRequest{e, make(chan answer, 1)}
	select {
	case n.intake <- a:
	case <-ctx.Done():
		return e, ctx.Err()
	}
	select {
	case got := <-a.to:
		return got.edit, got.err
	case <-ctx.Done():
		return e, ctx.Err()
	}
}

// View is how a job stands here.
func (n *Node) View(id ID) (View, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.View(id)
}

// Views are all jobs that are known here.
func (n *Node) Views() []View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.Views()
}

// Sizes counts jobs and edits that are kept.
func (n *Node) Sizes() (jobs, edits int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.Sizes()
}

// Checksum is of all views but those that each forgets in its own time: two that know the same have the same.
func (n *Node) Checksum() uint64 {
	h := xxh3.New()
	for _, v := range n.Views() {
		if !v.State.Ended() || len(v.Lost) > 0 {
			raw, _ := cbor.Marshal(v)
			_, _ = h.Write(raw)
		}
	}
	return h.Sum64()
}

// Versions is what is known here.
func (n *Node) Versions() VersionVector {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.Versions().clone()
}

// Changed is closed at the next news.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// notify wakes who waits for it; the mutex is held.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// store takes what is asked for, as much at once as came while the last was written.
func (n *Node) store(ctx context.Context) {
	for {
		var all []editRequest
		select {
		case <-ctx.Done():
			return
		case a := <-n.intake:
			all = append(all, a)
		}
		for more := true; more && len(all) < mostAtOnce; {
			select {
			case a := <-n.intake:
				all = append(all, a)
			default:
				more = false
			}
		}
		answers, err := n.storeAll(all)
		for i, a := range all {
			if err != nil && answers[i].err == nil {
				answers[i].err = err
			}
			a.to <- answers[i]
		}
		if err != nil { // what was made is not on the disk: nothing may be told of it
			n.log.WithField("reason", "jobs").Fatalf("edits cannot be kept: %v", err)
		}
	}
}

// storeAll makes edits and stores them in one write.
func (n *Node) storeAll(all []editRequest) ([]answer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var made []Edit
	answers := make([]answer, len(all))
	for i, a := range all {
		v, _ := n.r.View(a.edit.ID)
		e, err := a.edit, n.authorize(a.edit, v)
		if err == nil {
			e, err = n.r.Prepare(e)
		}
		if answers[i] = (answer{e, err}); err == nil {
			made = append(made, e)
			n.r.Merge([]Edit{e}, nil) // so that those after it know of it; peers hear of it once it is stored
		}
	}
	err := n.storage.Put(made, n.r.Versions().clone(), nil)
	if err == nil && len(made) > 0 {
		n.notify()
	}
	return answers, err
}

// take stores what another one gave, and then counts it.
func (n *Node) take(from string, g given) error {
	edits := make([]Edit, 0, len(g.Edits))
	for _, raw := range g.Edits {
		e, err := Decode(raw)
		if err != nil {
			return err
		}
		edits = append(edits, e)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh := n.r.FilterNew(edits)
	knows := n.r.Versions().clone()
	for _, e := range fresh {
		knows[e.Dot.Origin] = max(knows[e.Dot.Origin], e.Dot.Number)
	}
	for origin, m := range g.Whole {
		knows[origin] = max(knows[origin], m)
	}
	if !maps.Equal(knows, n.r.Versions()) {
		if err := n.storage.Put(fresh, knows, nil); err != nil {
			n.log.WithField("reason", "jobs").Fatalf("edits cannot be kept: %v", err)
		}
		n.r.Merge(fresh, g.Whole)
		n.notify()
	}
	if g.Folded && g.Kept != nil {
		if gone := n.r.DiscardCompacted(g.Kept, g.Versions); len(gone) > 0 {
			n.log.WithFields(
				logrus.Fields{"edits": len(gone), "of": from},
			).Debug(
				"edits that another one has folded are forgotten",
			)
			if err := n.storage.Put(nil, nil, gone); err != nil {
				return err
			}
		}
	}
	n.countAll(slices.Collect(maps.Keys(g.Heard))) // whoever anybody knows of counts
	for name, h := range g.Heard {
		if was := n.peers[name]; name != n.name && (h.Origin != was.Origin || h.LastHeartbeat > was.LastHeartbeat) {
			n.peers[name] = h
			n.r.RecordPeerVersions(name, h.Versions)
		}
	}
	return nil
}

// give is what one that knows so much lacks, and who was heard of; the wait for news is outside.
func (n *Node) give(a peerRequest, beats uint64, heard bool) (g given, news <-chan struct{}) {
	knows := a.Versions
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.r.DeltaSince(knows, perFrame)
	g = given{
		Whole:    l.Complete,
		Folded:   l.Compacted,
		Kept:     l.Retained,
		Versions: n.r.Versions().clone(),
		Digest:   n.r.Digest(),
	}
	if heard {
		g.Heard = maps.Clone(n.peers)
		g.Heard[n.name] = PeerStatus{n.r.Origin(), g.Versions, beats}
	}
	if a.Kept {
		g.Folded, g.Kept = true, n.r.Retained()
	}
	for _, e := range l.Edits {
		g.Edits = append(g.Edits, e.Raw)
	}
	return g, n.changed
}

// serve tells one that wants to hear: at once what it lacks, then what is new, what came within a moment together,
// and who was heard of with each beat only: that grows with the members, and edits come by hundreds a second.
func (n *Node) serve(ctx context.Context, _ string, c *membership.Conn) {
	began := time.Now()
	beats := func() uint64 { return uint64(began.UnixMilli()) + uint64(time.Since(began)/time.Millisecond) }
	c.Timeout = heartbeatTimeout
	var last time.Time
	for {
		var a peerRequest
		if c.Receive(&a) != nil {
			return
		}
		due := time.Since(last) >= heartbeatInterval
		g, news := n.give(a, beats(), due)
		if len(g.Edits) == 0 && len(g.Whole) == 0 && !a.Kept && !due {
			select {
			case <-ctx.Done():
				return
			case <-news:
				time.Sleep(together)
			case <-time.After(heartbeatInterval - time.Since(last)):
			}
			due = time.Since(last) >= heartbeatInterval
			g, _ = n.give(a, beats(), due)
		}
		if due {
			last = time.Now()
		}
		if c.Send(g) != nil {
			return
		}
	}
}

// whom gives those that one hears from: all, or where there are many all of its site by turns, one of each other site,
// and its successor, so that whatever one knows comes to all.
func whom(self membership.Peer, all []membership.Peer) (names []string) {
	if len(all) <= partners {
		for _, p := range all {
			if p.Name != self.Name {
				names = append(names, p.Name)
			}
		}
		return names
	}
	slices.SortFunc(all, func(a, b membership.Peer) int {
		if x, y := xxh3.HashString(self.Name+a.Name), xxh3.HashString(self.Name+b.Name); x != y {
			return map[bool]int{true: -1, false: 1}[x < y]
		}
		return 0
	})
	sites := map[string]int{}
	for _, p := range all {
		most := 1
		if p.Site == self.Site {
			most = 3
		}
		if sites[p.Site]++; sites[p.Site] <= most && p.Name != self.Name {
			names = append(names, p.Name)
		}
	}
	ring := slices.Clone(all)
	slices.SortFunc(ring, func(a, b membership.Peer) int { return map[bool]int{true: -1, false: 1}[a.Name < b.Name] })
	at := slices.IndexFunc(ring, func(p membership.Peer) bool { return p.Name == self.Name })
	if next := ring[(at+1)%len(ring)].Name; next != self.Name && !slices.Contains(names, next) {
		names = append(names, next)
	}
	return names
}

// follow hears from others, each on a goroutine of its own, as they come. One that went is asked on: after a cut it is
// heard at once, not only when the fleet has found it again.
func (n *Node) follow(ctx context.Context) {
	changes := make(chan []membership.Peer, 1)
	n.fleet.Watch(func(all []membership.Peer) {
		select {
		case <-changes:
		default:
		}
		changes <- all
	})
	hearing, ever := map[string]context.CancelFunc{}, map[string]membership.Peer{}
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			for _, stop := range hearing {
				stop()
			}
			return
		case all := <-changes:
			n.updatePeers(ctx, all, ever, hearing, &running)
		}
	}
}

// updatePeers hears those of all peers that ever were there whom this node is to hear, and stops hearing the others.
func (n *Node) updatePeers(ctx context.Context, changed []membership.Peer, ever map[string]membership.Peer,
	hearing map[string]context.CancelFunc, running *sync.WaitGroup) {
	for _, p := range changed {
		if ever[p.Name] = p; p.StreamAddr == "" {
			delete(ever, p.Name)
		}
	}
	byName := func(a, b membership.Peer) int { return cmp.Compare(a.Name, b.Name) }
	names := whom(n.fleet.Self(), slices.SortedFunc(maps.Values(ever), byName))
	n.counts(slices.Collect(maps.Keys(ever)))
	for name, stop := range hearing {
		if !slices.Contains(names, name) {
			stop()
			delete(hearing, name)
		}
	}
	for _, name := range names {
		if hearing[name] == nil {
			one, stop := context.WithCancel(ctx)
			hearing[name] = stop
			running.Go(func() { n.subscribe(one, name) })
		}
	}
}

// counts says for whom edits are kept: those of the plan, or whoever was ever there, which outlives this process.
func (n *Node) counts(there []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.countAll(there)
}

// countAll does it; the mutex is held.
func (n *Node) countAll(there []string) {
	names := n.count
	if names == nil {
		names = slices.Compact(slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(n.r.peers)), there...))))
	}
	names = slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == n.name })
	if len(names) != len(n.r.peers) {
		if err := n.storage.PutPeers(names); err != nil {
			n.log.WithField("reason", "jobs").Errorf("who is there is not kept: %v", err)
		}
	}
	n.r.SetPeers(names)
}

const (
	dialFirst    = 50 * time.Millisecond
	maxDialPause = 400 * time.Millisecond
)

// subscribe asks one for what it has, as long as it is wanted.
func (n *Node) subscribe(ctx context.Context, name string) {
	pause := dialFirst
	for ctx.Err() == nil {
		err := n.subscribeOnce(ctx, name, func() { pause = dialFirst })
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if pause = min(2*pause, maxDialPause); err != nil {
			n.log.WithFields(logrus.Fields{"peer": name, "reason": err}).Debug("jobs of a peer are not heard")
		}
	}
}

var errTwice = errors.New("it said less than it gave")

func (n *Node) subscribeOnce(ctx context.Context, name string, well func()) error {
	c, err := n.streams.Dial(name, membership.StreamJobs)
	if err != nil {
		return err
	}
	defer n.streams.Release(c)
	c.Timeout = heartbeatTimeout
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	want, asked := peerRequest{}, time.Now()
	for {
		want.Versions = n.Versions()
		if err := c.Send(want); err != nil {
			return err
		}
		var g given
		if err := c.Receive(&g); err != nil {
			return err
		}
		if g.Versions == nil {
			return errTwice
		}
		if err := n.take(name, g); err != nil {
			return err
		}
		well()
		if want.Kept = n.differs(g) && time.Since(asked) > resolveInterval; want.Kept {
			asked = time.Now()
		}
	}
}

// differs says whether one who knows the same has other edits.
func (n *Node) differs(g given) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.Digest() != g.Digest && n.r.Versions().Dominates(g.Versions) && g.Versions.Dominates(n.r.Versions())
}

// fold forgets now and then what all know.
func (n *Node) fold(ctx context.Context) {
	every := time.NewTicker(foldEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		n.mu.Lock()
		if len(n.r.peers) == 0 && n.count == nil { // nobody was met yet: all may be news to whoever comes
			n.mu.Unlock()
			continue
		}
		if gone := n.r.Compact(); len(gone) > 0 {
			if err := n.storage.Put(nil, nil, gone); err != nil {
				n.log.WithField("reason", "jobs").Errorf("what all know is not forgotten on the disk: %v", err)
			}
		}
		n.mu.Unlock()
	}
}
