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
	// maxNotice is how long new requests are served after the proxy says that it is not ready: the platform asks each
	// second, and takes a proxy out after two answers other than 200.
	maxNotice = 2500 * time.Millisecond
)

// Readiness answers the platform's readiness probe: 200 or 503.
func (p *Proxy) Readiness() http.Handler {
	mux := chi.NewRouter()
	mux.Get(readinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready.Load() || p.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// checkReady makes this proxy ready once it has read from a majority of the voters, and applied what they store. It
// stays ready, whether nodes are there or not.
func (p *Proxy) checkReady(now time.Duration) {
	config := p.config.Load()
	if p.ready.Load() || config == nil {
		return
	}
	read, isBehind := map[string]bool{}, false
	for _, v := range p.epoch.AllVoters() {
		n := p.nodes[v.Name]
		if n == nil || n.conn == nil || !n.endpointsSynced || !n.hasReported {
			continue
		}
		read[v.StoreID] = true
		isBehind = isBehind || p.isBehind(n)
	}
	hasReadQuorum := p.epoch.HasMajority(func(v rpc.Voter) bool { return read[v.StoreID] })
	if hasReadQuorum && !isBehind || now > p.firstMessageAt+maxStartupWait {
		p.ready.Store(true)
		p.log.Info("ready", logfield.SyncedFrom, len(read), logfield.Version, config.Version,
			logfield.Endpoints, len(p.endpoints))
	}
}

// isBehind reports whether a node stores something newer than what is applied here: it may be committed.
func (p *Proxy) isBehind(n *node) bool {
	for name, stored := range n.stored {
		applied := p.configVersion
		if zone, isZone := strings.CutPrefix(name, zoneRegisterPrefix); isZone {
			applied = p.evacuations[zone].Version
		}
		if applied.Less(stored) {
			return true
		}
	}
	return false
}

// Shutdown ends the proxy gracefully, within a time: it is not ready from now on; new connections are served until the
// platform has seen that, and responses say that the connection closes; then requests under way end, and the process.
func (p *Proxy) Shutdown(timeout time.Duration) {
	p.stopping.Store(true)
	begunAt := p.options.Clock.Now()
	<-p.options.Clock.After(min(maxNotice, timeout/2))
	p.queue.Do(p.releaseLeases)
	ctx, cancel := context.WithTimeout(context.Background(), timeout-p.options.Clock.Now().Sub(begunAt))
	defer cancel()
	_ = p.server.Shutdown(ctx) // what has not ended in time ends with the process
	p.queue.Stop()
}
