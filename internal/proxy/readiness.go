package proxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/rpc"
)

const (
	readinessPath = "/v1/readiness"
	// maxDrainDelay is how long the proxy still accepts connections after its readiness probe starts to fail. The platform
	// probes each second, and removes the proxy after two failures.
	maxDrainDelay = 2500 * time.Millisecond
)

// Readiness returns the handler of the platform's readiness probe, which answers 200 or 503.
func (p *Proxy) Readiness() http.Handler {
	mux := chi.NewRouter()
	mux.Get(readinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready.Load() || p.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// checkReady makes the proxy ready once it has a configuration and has applied what a majority of the voters stores.
// After maxStartupWait, a configuration is enough. A ready proxy stays ready even if it loses all nodes.
func (p *Proxy) checkReady(now time.Duration) {
	config := p.config.Load()
	if p.ready.Load() || config == nil {
		return
	}
	reported, isBehind := map[string]bool{}, false
	for _, v := range p.epoch.AllVoters() {
		n := p.nodes[v.Name]
		if n == nil || n.conn == nil || !n.endpointsSynced || !n.hasReported {
			continue
		}
		reported[v.StoreID] = true
		isBehind = isBehind || p.isBehind(n)
	}
	hasReadQuorum := p.epoch.HasMajority(func(v rpc.Voter) bool { return reported[v.StoreID] })
	if hasReadQuorum && !isBehind || now > p.firstMessageAt+maxStartupWait {
		p.ready.Store(true)
		p.log.Info("ready", logfield.SyncedFrom, len(reported), logfield.Version, config.Version,
			logfield.Endpoints, len(p.endpoints))
	}
}

// isBehind reports whether a node stores a newer register version, possibly committed, than the proxy has applied.
// Other registers, which a node of another version may report, do not concern proxies.
func (p *Proxy) isBehind(n *node) bool {
	for name, stored := range n.stored {
		zone, isZone := strings.CutPrefix(name, zoneRegisterPrefix)
		switch {
		case name == configRegister && p.configVersion.Less(stored):
			return true
		case isZone && p.evacuations[zone].Version.Less(stored):
			return true
		}
	}
	return false
}

// Shutdown stops the proxy gracefully within the timeout. It fails the readiness probe and accepts connections until
// the platform has noticed, with responses that close the connection. Then it releases the leases and waits for the
// requests in flight.
func (p *Proxy) Shutdown(timeout time.Duration) {
	p.stopping.Store(true)
	startedAt := p.options.Clock.Now()
	<-p.options.Clock.After(min(maxDrainDelay, timeout/2))
	p.queue.Do(p.releaseLeases)
	ctx, cancel := context.WithTimeout(context.Background(), timeout-p.options.Clock.Now().Sub(startedAt))
	defer cancel()
	_ = p.server.Shutdown(ctx) // requests that exceed the timeout end with the process
	p.queue.Stop()
}
