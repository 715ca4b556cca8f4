package balancer

import (
	"time"

	"elmfold/internal/gateway/apierror"
)

const (
	burstSeconds = 1.0 / 4 // bucket size, in seconds of the rate limit
	minBurst     = 2       // minimum bucket size, in requests
)

// rateLimiter is a token bucket.
type rateLimiter struct {
	rate      float64 // requests/s; 0 means unlimited
	tokens    float64
	updatedAt time.Duration
}

func (l *rateLimiter) burst() float64 { return max(l.rate*burstSeconds, minBurst) }

// allow takes a token. If the bucket is empty, wait is the time until the next token.
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

// SetRateLimit sets the rate limit of a service, in requests/s; 0 means unlimited.
func (b *Balancer) SetRateLimit(name string, rate float64, now time.Duration) {
	l := &b.service(name).limiter
	wasUnlimited := l.rate == 0
	l.rate = rate
	if wasUnlimited {
		l.tokens, l.updatedAt = l.burst(), now
	}
}

// Admit counts a request for a service and applies the service's rate limit. It returns None, or RateLimited and the
// time after which the client may retry.
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
