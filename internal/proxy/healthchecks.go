package proxy

import (
	"context"
	"time"

	"elmfold/internal/proxy/balancer"
)

const (
	// healthCheckStep is the first pause between two health checks, by which each further one grows, up to
	// maxHealthCheckPause. After manyHealthChecks the endpoint may be gone without a word, and is checked rarely.
	healthCheckStep     = 100 * time.Millisecond
	maxHealthCheckPause = 700 * time.Millisecond
	manyHealthChecks    = 25
	rareHealthCheck     = 5 * time.Second
	// warmupReportDelay is how long after its heartbeat an endpoint's report that it is in slow start takes to come here.
	warmupReportDelay = 300 * time.Millisecond
)

// checkHealth brings up a connection to a suspect endpoint, again and again until one does or the endpoint is gone.
func (p *Proxy) checkHealth(suspect balancer.Suspect) {
	p.pool.CloseIdle(suspect.Address) // the idle connections are as suspect
	for checks := 1; ; checks++ {
		err := p.pool.Connect(context.Background(), suspect.Address)
		if isKnown := p.endHealthCheck(suspect, err == nil); !isKnown || err == nil {
			return
		}
		pause := min(healthCheckStep*time.Duration(checks), maxHealthCheckPause)
		if checks > manyHealthChecks {
			pause = rareHealthCheck
		}
		select {
		case <-p.options.Clock.After(pause):
		case <-p.queue.Stopped():
			return
		}
	}
}

// endHealthCheck notes a health check, and reports whether the endpoint is still known.
func (p *Proxy) endHealthCheck(suspect balancer.Suspect, passed bool) (isKnown bool) {
	reportDelay := p.options.Settings.HeartbeatInterval.Duration() + warmupReportDelay
	p.withBalancer(func(b *balancer.Balancer) {
		isKnown = b.IsStillKnown(suspect)
		if isKnown && passed {
			b.HealthCheckPassed(p.now(), suspect, reportDelay)
		}
	})
	return isKnown
}
