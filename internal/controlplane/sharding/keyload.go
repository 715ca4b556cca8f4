package sharding

import (
	"math"
	"time"
)

// loadTimeConstant is the time over which the load of a key is averaged.
const loadTimeConstant = 5 * time.Second

// keyLoad is an exponentially decaying count of the requests for each key of a service.
type keyLoad struct {
	counts    [MaxKey + 1]float32
	total     float64
	decayedAt time.Duration
}

// add counts requests for a key.
func (l *keyLoad) add(key uint16, requests float64) {
	l.counts[key] += float32(requests)
	l.total += requests
}

// decay lets the counts decay up to now.
func (l *keyLoad) decay(now time.Duration) {
	if l.total == 0 {
		l.decayedAt = now
		return
	}
	kept := float32(math.Exp(-float64(now-l.decayedAt) / float64(loadTimeConstant)))
	l.decayedAt, l.total = now, 0
	for key := range l.counts {
		l.counts[key] *= kept
		l.total += float64(l.counts[key])
	}
}

// sum returns the count of a range.
func (l *keyLoad) sum(r Range) (n float64) {
	if l.total == 0 {
		return 0
	}
	for key := int(r.First); key <= int(r.Last); key++ {
		n += float64(l.counts[key])
	}
	return n
}
