package balancer

import (
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	// windowSlots is the number of parts of a retry window, and ringSlots covers a whole window wherever in a slot it
	// ends.
	windowSlots = 10
	ringSlots   = windowSlots + 1
	// ratioShare and slackShare are the parts of the shared budget that the proxies use up together.
	ratioShare = 0.65
	slackShare = 0.6
)

// retryBudget counts the requests and retries of a window, in a ring of slots.
type retryBudget struct {
	requests [ringSlots]float64
	retries  [ringSlots]float64
	slot     int64 // the newest
}

// advance moves the window on.
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

// totals are the requests and retries of the window. The oldest slot may lie before it, and counts for retries alone.
func (w *retryBudget) totals() (requests, retries float64) {
	for i := range ringSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests - w.requests[(w.slot+1)%ringSlots], retries
}

// AllowRetry reports whether a request may go to another endpoint after a failure: one that was not executed
// always, one that may have been if its route is idempotent. attempts is the number of endpoints that it was sent
// to. Each of them after the first draws on the budget that all proxies share; so does the next one, if it is
// allowed.
func (b *Balancer) AllowRetry(now time.Duration, name string, kind apierror.Kind, idempotent bool,
	attempts, maxAttempts int) bool {
	policy := kind.Policy()
	mayRepeat := idempotent || !policy.MayHaveExecuted
	if !policy.Retryable || !mayRepeat || attempts >= maxAttempts {
		return false
	}
	if attempts == 0 {
		return true // it has not arrived anywhere: the next arrival is its first
	}
	w := &b.service(name).retries
	w.advance(now, b.bounds.RetryWindow)
	requests, retries := w.totals()
	// A process may follow one that used up its part just now: the budget grows over one window.
	grown := min(float64(now-b.startedAt)/float64(b.bounds.RetryWindow), 1)
	slack := b.bounds.RetrySlack * slackShare / float64(b.maxProxies)
	if retries+1 > (b.bounds.RetryRatio*ratioShare*requests+slack)*grown {
		return false
	}
	w.countRetry()
	return true
}
