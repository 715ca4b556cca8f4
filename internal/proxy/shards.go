package proxy

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"elmfold/internal/gateway/apierror"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
	"elmfold/internal/proxy/upstream"
)

const (
	// maxHolderWait, and holderWaitShare of the latency target, bound how long a request waits for its key to be granted.
	maxHolderWait   = time.Second
	holderWaitShare = 0.5
	// maxTableWait is how long a request that an endpoint rejected waits for a newer shard table.
	maxTableWait = 100 * time.Millisecond
	// maxHolderRetryAfter bounds the time after which a client is told to come back.
	maxHolderRetryAfter = 3 * time.Second
)

// changeSignal wakes those that wait for the next change.
type changeSignal struct {
	mu      sync.Mutex
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (s *changeSignal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *changeSignal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// onShards applies the assignments of shard keys. Those of a former assigner are ignored.
func (p *Proxy) onShards(now time.Duration, n *node, u *rpc.ShardUpdate) {
	if len(u.ShardTables) == 0 || u.ShardTerm < p.shardTerm {
		return
	}
	p.shardTerm, p.shardNode = u.ShardTerm, n.info.Name
	p.withBalancer(func(b *balancer.Balancer) {
		for _, t := range u.ShardTables {
			b.SetShards(t.Service, t.Full, shardRanges(now, t.Ranges))
		}
	})
	p.shardsChanged.notify()
}

func shardRanges(now time.Duration, ranges []rpc.ShardRange) []balancer.ShardRange {
	all := make([]balancer.ShardRange, 0, len(ranges))
	for _, r := range ranges {
		next := balancer.ShardRange{First: r.First, Last: r.Last, Holder: r.Holder}
		if r.AvailableIn > 0 {
			next.AvailableAt = now + time.Duration(r.AvailableIn)*time.Millisecond
		}
		all = append(all, next)
	}
	return all
}

// keyUsage returns the keys of the requests since the last report, for the assigner.
func (p *Proxy) keyUsage() (usage []rpc.KeyUsage) {
	p.withBalancer(func(b *balancer.Balancer) {
		for _, u := range b.TakeKeyUsage() {
			usage = append(usage, rpc.KeyUsage(u))
		}
	})
	return usage
}

// parseShardKey sets the shard key of the request if its service is sharded.
func (q *clientRequest) parseShardKey() apierror.Kind {
	if !q.config.Sharded[q.service] {
		return apierror.None
	}
	key, err := strconv.ParseUint(q.request.Header.Get(upstream.HeaderShardKey), 10, 16)
	if err != nil {
		return apierror.Malformed
	}
	q.sharded, q.shardKey = true, uint16(key)
	return apierror.None
}

// awaitHolder waits for a change of the shard table if the request's key may be granted in time. It reports whether
// the table has changed.
func (p *Proxy) awaitHolder(f *forwardedRequest, availableAt time.Duration, changed <-chan struct{}) bool {
	now := p.now()
	if f.holderWaitEnd == 0 {
		wait := time.Duration(holderWaitShare * float64(f.route.LatencyTarget))
		f.holderWaitEnd = now + min(wait, maxHolderWait, f.deadline.Sub(p.options.Clock.Now()))
	}
	f.holderAvailableAt = availableAt
	if availableAt > f.holderWaitEnd {
		return false
	}
	return p.awaitChange(f, f.holderWaitEnd-now, changed)
}

// awaitChange waits until the shard table changes. It reports false after a time, or if the client has disconnected.
func (p *Proxy) awaitChange(f *forwardedRequest, timeout time.Duration, changed <-chan struct{}) bool {
	if timeout <= 0 {
		return false
	}
	timer := p.options.Clock.NewTimer(timeout)
	defer timer.Stop()
	var disconnected <-chan struct{}
	if ctx := f.context(); ctx != nil {
		disconnected = ctx.Done()
	}
	select {
	case <-changed:
		return true
	case <-timer.Chan():
	case <-disconnected:
	}
	return false
}

// holderRetryAfter returns when a client should come back with a request whose key no endpoint holds.
func (p *Proxy) holderRetryAfter(f *forwardedRequest) time.Duration {
	left := f.holderAvailableAt - p.now()
	base := max(min(left, maxHolderRetryAfter), apierror.NoHolder.Policy().RetryAfter)
	return base + time.Duration(rand.Float64()*float64(apierror.NoHolder.Policy().RetryAfter)) // spreads the clients
}
