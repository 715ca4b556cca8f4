package proxy

import (
	"context"
	"time"

	"elmfold/internal/proxy/balancer"
)

const (
	// healthCheckStep is the first pause between two health checks and the increase of each further one, up to
	// maxHealthCheckPause. After frequentHealthChecks, slowHealthCheckInterval applies: the endpoint may have stopped
	// without deregistering.
	healthCheckStep         = 100 * time.Millisecond
	maxHealthCheckPause     = 700 * time.Millisecond
	frequentHealthChecks    = 25
	slowHealthCheckInterval = 5 * time.Second
	// warmupReportDelay is the time from an endpoint's heartbeat until the proxy learns that the endpoint is in slow
	// start.
	warmupReportDelay = 300 * time.Millisecond
)

// checkHealth connects to a suspect endpoint until a connection comes up or the endpoint is removed.
func (p *Proxy) checkHealth(suspect balancer.Suspect) {
	p.pool.CloseIdle(suspect.Address) // existing connections are suspect too
	for checks := 1; ; checks++ {
		err := p.pool.Connect(context.Background(), suspect.Address)
		if isKnown := p.recordHealthCheck(suspect, err == nil); !isKnown || err == nil {
			return
		}
		pause := min(healthCheckStep*time.Duration(checks), maxHealthCheckPause)
		if checks > frequentHealthChecks {
			pause = slowHealthCheckInterval
		}
		select {
		case <-p.options.Clock.After(pause):
		case <-p.queue.Stopped():
			return
		}
	}
}

// recordHealthCheck records the result of a health check and reports whether the endpoint is still known.
func (p *Proxy) recordHealthCheck(suspect balancer.Suspect, passed bool) (isKnown bool) {
	reportDelay := p.options.Settings.HeartbeatInterval.Duration() + warmupReportDelay
	p.withBalancer(func(b *balancer.Balancer) {
		isKnown = b.IsStillKnown(suspect)
		if isKnown && passed {
			b.HealthCheckPassed(p.now(), suspect, reportDelay)
		}
	})
	return isKnown
}
