package balancer

import (
	"cmp"
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
)

// minShardConns is the least number of requests that a proxy may have in progress at an endpoint of a sharded service:
// no other endpoint can take them.
const minShardConns = 2

// unknownHoldersWait is the time after which a table may be there if this proxy has received none.
const unknownHoldersWait = time.Second

// ShardRange is an inclusive range of shard keys.
type ShardRange struct {
	First, Last uint16
	Holder      string        // ID of the endpoint that holds the range; empty: none does
	AvailableAt time.Duration // when a range without a holder is granted at the latest; 0: soon
}

// shardTable has the holders of all keys of a service, sorted by key, without gaps.
type shardTable []ShardRange

// find returns the range of a key.
func (t shardTable) find(key uint16) ShardRange {
	i, _ := slices.BinarySearchFunc(t, key, func(r ShardRange, key uint16) int { return cmp.Compare(r.Last, key) })
	if i == len(t) {
		return ShardRange{}
	}
	return t[i]
}

// with returns the table with a range in place of what it covers.
func (t shardTable) with(r ShardRange) shardTable {
	next := make(shardTable, 0, len(t)+2)
	for _, old := range t {
		if old.Last < r.First || old.First > r.Last {
			next = append(next, old)
			continue
		}
		if old.First < r.First {
			head := old
			head.Last = r.First - 1
			next = append(next, head)
		}
		if old.Last >= r.Last {
			next = append(next, r)
		}
		if old.Last > r.Last {
			tail := old
			tail.First = r.Last + 1
			next = append(next, tail)
		}
	}
	return next
}

// SetShards updates the holders of the keys of a service. If full is true, the ranges cover all keys.
func (b *Balancer) SetShards(name string, full bool, ranges []ShardRange) {
	s := b.service(name)
	if full {
		s.shards = slices.Clone(ranges)
		return
	}
	for _, r := range ranges {
		s.shards = s.shards.with(r)
	}
}

// ConfigureShards sets whether a service is sharded.
func (b *Balancer) ConfigureShards(name string, sharded bool) { b.service(name).sharded = sharded }

// pickHolder selects the endpoint that holds the key of a request. The kind is None, NoHolder if no endpoint holds the
// key, or EndpointsSaturated if its holder takes no more requests now.
func (b *Balancer) pickHolder(now time.Duration, s *service, r *Request) (Selection, apierror.Kind) {
	if len(s.shards) == 0 {
		return Selection{AvailableAt: now + unknownHoldersWait}, apierror.NoHolder
	}
	found := s.shards.find(r.Key)
	e := b.endpoints[found.Holder]
	if found.Holder == "" || e == nil || !e.Usable {
		return Selection{AvailableAt: found.AvailableAt}, apierror.NoHolder
	}
	maxConns := b.maxConns(s)
	isFull := e.load(now) >= s.loadLimit(r)
	if isFull || !b.isAvailable(now, s, e, max(maxConns, minShardConns)) {
		return Selection{}, apierror.EndpointsSaturated
	}
	e.inFlight++
	if now < e.WarmupEnd {
		e.warmupSentAt = now
	}
	return Selection{ID: e.ID, Address: e.Address, MaxConns: maxConns, endpoint: e}, apierror.None
}

// maxSampledKeys limits the keys of a service in a report.
const maxSampledKeys = 128

// keySample is a sample of the keys of a service's requests since the last report.
type keySample struct {
	keys []uint16
	seen int // requests
}

// add counts a request. draw is a uniform random number in [0,1), which decides whether the key replaces one of a full
// sample (reservoir sampling).
func (k *keySample) add(key uint16, draw float64) {
	k.seen++
	if len(k.keys) < maxSampledKeys {
		k.keys = append(k.keys, key)
		return
	}
	if i := int(draw * float64(k.seen)); i < maxSampledKeys {
		k.keys[i] = key
	}
}

// KeyUsage has a sample of the keys of a service's requests.
type KeyUsage struct {
	Service string
	Keys    []uint16
	Weight  float64 // number of requests that each key stands for
}

// CountKey counts a request for a key of a sharded service.
func (b *Balancer) CountKey(name string, key uint16, draw float64) {
	b.service(name).keySample.add(key, draw)
}

// TakeKeyUsage returns the samples since the previous call, sorted by service.
func (b *Balancer) TakeKeyUsage() (all []KeyUsage) {
	for name, s := range b.services {
		if sample := s.keySample; sample.seen > 0 {
			all = append(all, KeyUsage{name, sample.keys, float64(sample.seen) / float64(len(sample.keys))})
			s.keySample = keySample{}
		}
	}
	slices.SortFunc(all, func(x, y KeyUsage) int { return cmp.Compare(x.Service, y.Service) })
	return all
}
