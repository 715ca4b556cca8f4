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
	heartbeatInterval = 250 * time.Millisecond // maximum time between two responses on a connection
	batchDelay        = 10 * time.Millisecond  // collects edits that arrive together into one response
	heartbeatTimeout  = time.Second            // a connection without a frame for this long is closed
	maxEditsPerFrame  = 2000
	compactInterval   = time.Second
	reconcileInterval = 500 * time.Millisecond // minimum time between two requests for the retained edits of a peer
	maxWriteBatch     = 4096                   // edits
	fullMeshLimit     = 12                     // up to this many instances, each subscribes to all others
)

// Node persists a replica and synchronizes it with the peers. The mutex is held while a batch is written, so that no
// edit is visible before it is on disk. It is never held during network I/O.
type Node struct {
	name          string
	store         *Store
	log           *logrus.Entry
	streams       *membership.Streams
	fleet         *membership.Fleet
	requiredPeers []string // peers that must have seen an edit before it is compacted; nil: all ever seen
	authorize     func(e Edit, v View) error

	mu      sync.Mutex
	replica *Replica
	changed chan struct{} // closed at the next change
	peers   map[string]PeerStatus

	requests chan editRequest
}

type editRequest struct {
	edit   Edit
	result chan editResult
}

type editResult struct {
	edit Edit
	err  error
}

// PeerStatus is the latest known version vector of a peer. Instances forward it to those that do not subscribe to that
// peer.
type PeerStatus struct {
	Origin        string        `cbor:"1,keyasint"`
	Versions      VersionVector `cbor:"2,keyasint"`
	LastHeartbeat uint64        `cbor:"3,keyasint"` // increases within an incarnation
}

// syncRequest asks a peer for edits. A subscriber sends one after each response.
type syncRequest struct {
	Versions     VersionVector `cbor:"1,keyasint"`
	WantRetained bool          `cbor:"2,keyasint"` // version vectors are equal, but digests differ
}

// syncResponse carries a Delta and the state of the sender.
type syncResponse struct {
	Edits     [][]byte              `cbor:"1,keyasint"`
	Complete  VersionVector         `cbor:"2,keyasint"`
	Compacted bool                  `cbor:"3,keyasint"`
	Retained  map[string][]uint64   `cbor:"4,keyasint"`
	Peers     map[string]PeerStatus `cbor:"5,keyasint"` // set at most once per heartbeatInterval
	Versions  VersionVector         `cbor:"6,keyasint"`
	Digest    uint64                `cbor:"7,keyasint"`
}

// Config configures a Node.
type Config struct {
	Path        string                     // of the store
	Peers       []string                   // peers that must have seen an edit before it is compacted; nil: all ever seen
	Authorize   func(e Edit, v View) error // policy check of requested edits; nil: allow all
	Incarnation string                     // never reused
}

// Open opens the store, then starts to accept edits and to synchronize with peers.
func Open(c Config, fleet *membership.Fleet, streams *membership.Streams, log *logrus.Entry) (*Node, error) {
	store, state, err := OpenStore(c.Path)
	if err != nil {
		return nil, err
	}
	self := fleet.Self()
	n := &Node{
		name:          self.Name,
		store:         store,
		log:           log,
		streams:       streams,
		fleet:         fleet,
		requiredPeers: c.Peers,
		authorize:     c.Authorize,
		changed:       make(chan struct{}),
		peers:         map[string]PeerStatus{},
		requests:      make(chan editRequest, 1024),
		replica:       NewReplica(self.Name+"@"+c.Incarnation, self.Site),
	}
	n.replica.Restore(state.Versions, state.Edits)
	n.updateRequiredPeers(state.Peers) // before the first compaction, since peers may not have connected yet
	if n.authorize == nil {
		n.authorize = func(Edit, View) error { return nil }
	}
	if state.QuarantinedAs != "" {
		log.WithFields(logrus.Fields{"reason": "jobs", "aside": state.QuarantinedAs}).Error(
			"job store is unreadable; starting with an empty one and restoring edits from peers",
		)
	}
	jobs, edits := n.replica.Sizes()
	log.WithFields(logrus.Fields{"jobs": jobs, "edits": edits, "as": n.replica.Origin()}).Info("job store opened")
	streams.Serve(membership.StreamJobs, n.serveSubscriber)
	streams.Go(n.writeLoop)
	streams.Go(n.subscriptionLoop)
	streams.Go(n.compactLoop)
	return n, nil
}

// Close closes the store. The caller closes the streams first.
func (n *Node) Close() error { return n.store.Close() }

// Submit makes a requested edit and returns once it is on disk.
func (n *Node) Submit(ctx context.Context, e Edit) (Edit, error) {
	request := editRequest{e, make(chan editResult, 1)}
	select {
	case n.requests <- request:
	case <-ctx.Done():
		return e, ctx.Err()
	}
	select {
	case result := <-request.result:
		return result.edit, result.err
	case <-ctx.Done():
		return e, ctx.Err()
	}
}

// View returns the view of a job; false if the job is unknown, or ended and compacted.
func (n *Node) View(id ID) (View, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.View(id)
}

// Views returns the views of all known jobs, ordered by ID.
func (n *Node) Views() []View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Views()
}

// Sizes returns the number of jobs and of edits in the replica.
func (n *Node) Sizes() (jobs, edits int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Sizes()
}

// Checksum returns a hash of all views that compaction does not drop. Nodes with equal version vectors have equal
// checksums.
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

// Versions returns the version vector of the replica.
func (n *Node) Versions() VersionVector {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Versions().clone()
}

// Changed returns a channel that is closed at the next change.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// notify wakes all waiters on Changed. The caller holds the mutex.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// writeLoop writes requested edits in batches: each holds the requests that arrived during the previous write.
func (n *Node) writeLoop(ctx context.Context) {
	for {
		var batch []editRequest
		select {
		case <-ctx.Done():
			return
		case request := <-n.requests:
			batch = append(batch, request)
		}
		for more := true; more && len(batch) < maxWriteBatch; {
			select {
			case request := <-n.requests:
				batch = append(batch, request)
			default:
				more = false
			}
		}
		results, err := n.writeBatch(batch)
		for i, request := range batch {
			if err != nil && results[i].err == nil {
				results[i].err = err
			}
			request.result <- results[i]
		}
		if err != nil { // the replica holds edits that are not on disk and must not be sent to peers
			n.log.WithField("reason", "jobs").Fatalf("failed to write edits to the job store: %v", err)
		}
	}
}

// writeBatch makes the requested edits and stores them in one transaction.
func (n *Node) writeBatch(batch []editRequest) ([]editResult, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var accepted []Edit
	results := make([]editResult, len(batch))
	for i, request := range batch {
		view, _ := n.replica.View(request.edit.ID)
		edit, err := request.edit, n.authorize(request.edit, view)
		if err == nil {
			edit, err = n.replica.Prepare(edit)
		}
		results[i] = editResult{edit, err}
		if err == nil {
			accepted = append(accepted, edit)
			n.replica.Merge([]Edit{edit}, nil) // visible to the rest of the batch; the mutex hides it from peers
		}
	}
	err := n.store.Put(accepted, n.replica.Versions().clone(), nil)
	if err == nil && len(accepted) > 0 {
		n.notify()
	}
	return results, err
}

// applyResponse stores the edits of a response and then merges them into the replica.
func (n *Node) applyResponse(from string, response syncResponse) error {
	edits := make([]Edit, 0, len(response.Edits))
	for _, raw := range response.Edits {
		e, err := Decode(raw)
		if err != nil {
			return err
		}
		edits = append(edits, e)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeLocked(edits, response.Complete)
	if response.Compacted && response.Retained != nil {
		if discarded := n.replica.DiscardCompacted(response.Retained, response.Versions); len(discarded) > 0 {
			n.log.WithFields(logrus.Fields{"edits": len(discarded), "of": from}).Debug(
				"discarded edits that a peer has compacted",
			)
			if err := n.store.Put(nil, nil, discarded); err != nil {
				return err
			}
		}
	}
	n.updateRequiredPeersLocked(slices.Collect(maps.Keys(response.Peers)))
	for name, status := range response.Peers {
		last := n.peers[name]
		isNewer := status.Origin != last.Origin || status.LastHeartbeat > last.LastHeartbeat
		if name != n.name && isNewer {
			n.peers[name] = status
			n.replica.RecordPeerVersions(name, status.Versions)
		}
	}
	return nil
}

// mergeLocked stores and merges edits of a peer. The caller holds the mutex.
func (n *Node) mergeLocked(edits []Edit, complete VersionVector) {
	unknown := n.replica.FilterNew(edits)
	versions := n.replica.Versions().clone()
	for _, e := range unknown {
		versions[e.Dot.Origin] = max(versions[e.Dot.Origin], e.Dot.Number)
	}
	for origin, number := range complete {
		versions[origin] = max(versions[origin], number)
	}
	if maps.Equal(versions, n.replica.Versions()) {
		return
	}
	if err := n.store.Put(unknown, versions, nil); err != nil {
		n.log.WithField("reason", "jobs").Fatalf("failed to write edits to the job store: %v", err)
	}
	n.replica.Merge(unknown, complete)
	n.notify()
}

// buildResponse returns the response to a request, and a channel that is closed at the next change.
func (n *Node) buildResponse(request syncRequest, heartbeat uint64, withPeers bool) (syncResponse, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delta := n.replica.DeltaSince(request.Versions, maxEditsPerFrame)
	response := syncResponse{
		Complete:  delta.Complete,
		Compacted: delta.Compacted,
		Retained:  delta.Retained,
		Versions:  n.replica.Versions().clone(),
		Digest:    n.replica.Digest(),
	}
	if withPeers {
		response.Peers = maps.Clone(n.peers)
		response.Peers[n.name] = PeerStatus{n.replica.Origin(), response.Versions, heartbeat}
	}
	if request.WantRetained {
		response.Compacted, response.Retained = true, n.replica.Retained()
	}
	for _, e := range delta.Edits {
		response.Edits = append(response.Edits, e.Raw)
	}
	return response, n.changed
}

// serveSubscriber answers the requests of a peer. A response without edits waits for a change or for the next
// heartbeat. Only heartbeats carry the status of all peers, because it grows with the fleet and there may be hundreds
// of edits per second.
func (n *Node) serveSubscriber(ctx context.Context, _ string, c *membership.Conn) {
	began := time.Now()
	heartbeat := func() uint64 { return uint64(began.UnixMilli()) + uint64(time.Since(began)/time.Millisecond) }
	c.Timeout = heartbeatTimeout
	var lastHeartbeat time.Time
	for {
		var request syncRequest
		if c.Receive(&request) != nil {
			return
		}
		due := time.Since(lastHeartbeat) >= heartbeatInterval
		response, changed := n.buildResponse(request, heartbeat(), due)
		if len(response.Edits) == 0 && len(response.Complete) == 0 && !request.WantRetained && !due {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				time.Sleep(batchDelay)
			case <-time.After(heartbeatInterval - time.Since(lastHeartbeat)):
			}
			due = time.Since(lastHeartbeat) >= heartbeatInterval
			response, _ = n.buildResponse(request, heartbeat(), due)
		}
		if due {
			lastHeartbeat = time.Now()
		}
		if c.Send(response) != nil {
			return
		}
	}
}

// selectSources returns the peers that an instance subscribes to: all in a small fleet; otherwise up to three of its
// own site, one of each other site, and its successor by name, so that every edit reaches every instance.
func selectSources(self membership.Peer, all []membership.Peer) (names []string) {
	if len(all) <= fullMeshLimit {
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
		limit := 1
		if p.Site == self.Site {
			limit = 3
		}
		if sites[p.Site]++; sites[p.Site] <= limit && p.Name != self.Name {
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

// subscriptionLoop keeps one subscription per selected peer. Peers that left the fleet are retried, because after a
// partition they may answer before the fleet detects them again.
func (n *Node) subscriptionLoop(ctx context.Context) {
	changes := make(chan []membership.Peer, 1)
	n.fleet.Watch(func(all []membership.Peer) {
		select {
		case <-changes:
		default:
		}
		changes <- all
	})
	subscriptions, everSeen := map[string]context.CancelFunc{}, map[string]membership.Peer{}
	var subscribers sync.WaitGroup
	defer subscribers.Wait()
	for {
		select {
		case <-ctx.Done():
			for _, cancel := range subscriptions {
				cancel()
			}
			return
		case all := <-changes:
			n.updateSubscriptions(ctx, all, everSeen, subscriptions, &subscribers)
		}
	}
}

// updateSubscriptions subscribes to the selected ones of all peers ever seen and cancels the other subscriptions.
func (n *Node) updateSubscriptions(ctx context.Context, changed []membership.Peer, everSeen map[string]membership.Peer,
	subscriptions map[string]context.CancelFunc, subscribers *sync.WaitGroup) {
	for _, p := range changed {
		if everSeen[p.Name] = p; p.StreamAddr == "" {
			delete(everSeen, p.Name)
		}
	}
	byName := func(a, b membership.Peer) int { return cmp.Compare(a.Name, b.Name) }
	names := selectSources(n.fleet.Self(), slices.SortedFunc(maps.Values(everSeen), byName))
	n.updateRequiredPeers(slices.Collect(maps.Keys(everSeen)))
	for name, cancel := range subscriptions {
		if !slices.Contains(names, name) {
			cancel()
			delete(subscriptions, name)
		}
	}
	for _, name := range names {
		if subscriptions[name] == nil {
			subscription, cancel := context.WithCancel(ctx)
			subscriptions[name] = cancel
			subscribers.Go(func() { n.subscribe(subscription, name) })
		}
	}
}

// updateRequiredPeers adds peers to those that must have seen an edit before it is compacted, unless the configuration
// names them. The set survives restarts.
func (n *Node) updateRequiredPeers(seen []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateRequiredPeersLocked(seen)
}

func (n *Node) updateRequiredPeersLocked(seen []string) {
	names := n.requiredPeers
	if names == nil {
		names = slices.Compact(slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(n.replica.peers)), seen...))))
	}
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == n.name })
	if len(names) != len(n.replica.peers) {
		if err := n.store.PutPeers(names); err != nil {
			n.log.WithField("reason", "jobs").Errorf("failed to write the peers to the job store: %v", err)
		}
	}
	n.replica.SetPeers(names)
}

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// subscribe keeps a subscription to a peer, with exponential backoff, until ctx is done.
func (n *Node) subscribe(ctx context.Context, name string) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := n.subscribeOnce(ctx, name, func() { delay = minRetryDelay })
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		if delay = min(2*delay, maxRetryDelay); err != nil {
			n.log.WithFields(logrus.Fields{"peer": name, "reason": err}).Debug("subscription to the jobs of a peer failed")
		}
	}
}

var errNoVersions = errors.New("response has no version vector")

// subscribeOnce runs a subscription on one connection and calls onResponse after each applied response.
func (n *Node) subscribeOnce(ctx context.Context, name string, onResponse func()) error {
	c, err := n.streams.Dial(name, membership.StreamJobs)
	if err != nil {
		return err
	}
	defer n.streams.Release(c)
	c.Timeout = heartbeatTimeout
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	request, lastReconciled := syncRequest{}, time.Now()
	for {
		request.Versions = n.Versions()
		if err := c.Send(request); err != nil {
			return err
		}
		var response syncResponse
		if err := c.Receive(&response); err != nil {
			return err
		}
		if response.Versions == nil {
			return errNoVersions
		}
		if err := n.applyResponse(name, response); err != nil {
			return err
		}
		onResponse()
		request.WantRetained = n.hasDiverged(response) && time.Since(lastReconciled) > reconcileInterval
		if request.WantRetained {
			lastReconciled = time.Now()
		}
	}
}

// hasDiverged reports whether a peer has the same version vector but retains other edits.
func (n *Node) hasDiverged(response syncResponse) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	versions := n.replica.Versions()
	isEqual := versions.Dominates(response.Versions) && response.Versions.Dominates(versions)
	return isEqual && n.replica.Digest() != response.Digest
}

// compactLoop compacts the replica and the store at intervals.
func (n *Node) compactLoop(ctx context.Context) {
	ticker := time.NewTicker(compactInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.compact()
		}
	}
}

// compact does nothing before the first peer is seen, which may need every edit.
func (n *Node) compact() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.replica.peers) == 0 && n.requiredPeers == nil {
		return
	}
	if dropped := n.replica.Compact(); len(dropped) > 0 {
		if err := n.store.Put(nil, nil, dropped); err != nil {
			n.log.WithField("reason", "jobs").Errorf("failed to delete compacted edits from the job store: %v", err)
		}
	}
}
