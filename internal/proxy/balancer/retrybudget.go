package balancer

import (
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	windowSlots = 10              // slots per retry window
	ringSlots   = windowSlots + 1 // covers a whole window that ends within a slot

	// ratioShare and slackShare are the fractions of RetryRatio and RetrySlack that all proxies together use. The rest
	// is a safety margin.
	ratioShare = 0.65
	slackShare = 0.6
)

// retryBudget counts requests and retries over a sliding window, in a ring buffer of slots.
type retryBudget struct {
	requests [ringSlots]float64
	retries  [ringSlots]float64
	slot     int64 // number of the newest slot
}

// advance slides the window to now and clears the slots that it enters.
func (w *retryBudget) advance(now, window time.Duration) {
	newest := int64(now / (window / windowSlots))
	for ; w.slot < newest; w.slot++ {
		if newest-w.slot > ringSlots {
			w.slot = newest - ringSlots
		}
		next := (w.slot + 1) % ringSlots
		w.requests[next], w.retries[next] = 0, 0
	}
}

func (w *retryBudget) countRequest(now, window time.Duration) {
	w.advance(now, window)
	w.requests[w.slot%ringSlots]++
}

func (w *retryBudget) countRetry() { w.retries[w.slot%ringSlots]++ }

// totals returns the requests and retries of the window. The oldest slot may lie partly outside the window, so its
// retries count and its requests do not.
func (w *retryBudget) totals() (requests, retries float64) {
	for i := range ringSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests - w.requests[(w.slot+1)%ringSlots], retries
}

// AllowRetry reports whether a request may be sent to another endpoint after a failure. A request that may have been
// executed is retried only if it is idempotent. attempts is the number of endpoints that received the request so far.
// An allowed retry is charged to the retry budget, unless no endpoint has received the request yet.
func (b *Balancer) AllowRetry(now time.Duration, name string, kind apierror.Kind, idempotent bool,
	attempts, maxAttempts int) bool {
	policy := kind.Policy()
	mayRepeat := idempotent || !policy.MayHaveExecuted
	if !policy.Retryable || !mayRepeat || attempts >= maxAttempts {
		return false
	}
	if attempts == 0 {
		return true // the next attempt is the first one to reach an endpoint, not a retry
	}
	w := &b.service(name).retries
	w.advance(now, b.bounds.RetryWindow)
	requests, retries := w.totals()
	// The process that this one replaced may have just used up its share, so the budget ramps up over one window.
	ramp := min(float64(now-b.startedAt)/float64(b.bounds.RetryWindow), 1)
	slack := b.bounds.RetrySlack * slackShare / float64(b.maxProxies)
	if retries+1 > (b.bounds.RetryRatio*ratioShare*requests+slack)*ramp {
		return false
	}
	w.countRetry()
	return true
}
