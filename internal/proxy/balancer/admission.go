package balancer

import (
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	// burstSeconds is the part of a rate limit that may come at once, and minBurst the least that may.
	burstSeconds = 1.0 / 4
	minBurst     = 2
)

// rateLimiter is a token bucket.
type rateLimiter struct {
	rate      float64 // requests/s; 0: unlimited
	tokens    float64
	updatedAt time.Duration
}

func (l *rateLimiter) burst() float64 { return max(l.rate*burstSeconds, minBurst) }

// allow takes a token. If there is none, wait is the time until the next.
func (l *rateLimiter) allow(now time.Duration) (wait time.Duration, ok bool) {
	if l.rate <= 0 {
		return 0, true
	}
	l.tokens = min(l.tokens+l.rate*(now-l.updatedAt).Seconds(), l.burst())
	l.updatedAt = now
	if l.tokens < 1 {
		return time.Duration((1 - l.tokens) / l.rate * float64(time.Second)), false
	}
	l.tokens--
	return 0, true
}

// SetRateLimit sets the rate limit of a service, in requests/s; 0 is unlimited.
func (b *Balancer) SetRateLimit(name string, rate float64, now time.Duration) {
	l := &b.service(name).limiter
	wasUnlimited := l.rate == 0
	l.rate = rate
	if wasUnlimited {
		l.tokens, l.updatedAt = l.burst(), now
	}
}

// Admit handles a request that arrived for a service. One over the rate limit is rejected with RateLimited, and
// with the time after which it may come again.
func (b *Balancer) Admit(now time.Duration, name string) (apierror.Kind, time.Duration) {
	s := b.service(name)
	s.requests++
	s.retries.countRequest(now, b.bounds.RetryWindow)
	if wait, ok := s.limiter.allow(now); !ok {
		s.rejected++
		return apierror.RateLimited, wait
	}
	return apierror.None, 0
}
