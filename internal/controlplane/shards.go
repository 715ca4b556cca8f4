package controlplane

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/controlplane/shardcalls"
	"elmfold/internal/controlplane/sharding"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

const (
	// publishDelay is how long changes of the shard table are collected for proxies.
	publishDelay = 5 * time.Millisecond
	// leaseReleaseTimeout is how long a shutdown waits until the lease of the assigner is given up.
	leaseReleaseTimeout = 400 * time.Millisecond
	// shardMetricsInterval is the time between two updates of the assigner's metrics.
	shardMetricsInterval = time.Second
)

// isShardRegister reports whether a register belongs to package sharding. Proxies are not told of these.
func isShardRegister(name string) bool {
	return name == sharding.LeaseRegister || name == sharding.TableRegister
}

// sharder connects the server to package sharding: it passes endpoints, outcomes and key usage to the assigner, and
// performs its proposals and calls. It sends the assignments to all proxies.
type sharder struct {
	server           *Server
	assigner         *sharding.Assigner
	calls            *shardcalls.Client
	leaseUntil       atomic.Int64                      // until when calls may be written, as a duration since the start
	services         []string                          // sharded services of the committed configuration
	healthPaths      atomic.Pointer[map[string]string] // by service
	proposals        map[uint64]uint64                 // ids of proposals, by request id of the replica
	endpointsChanged bool
	stopped          chan struct{} // closed once a shutdown has given up the lease
	stepScheduled    bool
	publishScheduled bool
	deadline         time.Duration // of the running timer; 0: none runs
	metricsSetAt     time.Duration
	hasStopped       bool
}

func newSharder(s *Server, dial func(address string) (net.Conn, error)) *sharder {
	settings := s.options.Settings
	h := &sharder{server: s, proposals: map[uint64]uint64{}, endpointsChanged: true, stopped: make(chan struct{})}
	h.assigner = sharding.New(sharding.Options{
		Node:        s.self.Name,
		StoreID:     s.storeID,
		Incarnation: s.incarnation,
		Rank:        int(balancer.RendezvousHash(s.self.Name, sharding.LeaseRegister) >> 1),
		MaxHold:     settings.Bounds.MaxHold.Duration(),
		Heartbeat:   settings.HeartbeatInterval.Duration(),
	})
	h.calls = &shardcalls.Client{
		Clock:      s.options.Clock,
		Dial:       dial,
		MayWrite:   h.mayWrite,
		HealthPath: func(service string) string { return (*h.healthPaths.Load())[service] },
	}
	return h
}

// mayWrite reports whether the lease of the assigner allows a write now. It is safe for concurrent use.
func (h *sharder) mayWrite() bool {
	return h.server.now() < time.Duration(h.leaseUntil.Load())
}

// configure sets the sharded services of a configuration.
func (h *sharder) configure(config *routeconfig.Config) {
	h.services = slices.Sorted(maps.Keys(config.Sharded))
	paths := map[string]string{}
	for _, name := range h.services {
		paths[name] = cmp.Or(config.Services[name].HealthPath, "/")
	}
	h.healthPaths.Store(&paths)
	h.assigner.SetServices(h.services)
	h.invalidate()
}

// invalidate marks endpoints and evacuations as changed.
func (h *sharder) invalidate() {
	h.endpointsChanged = true
	if len(h.services) > 0 && !h.stepScheduled {
		h.stepScheduled = true
		h.server.queue.Post(func() {
			h.stepScheduled = false
			h.step()
		})
	}
}

// stop gives up the lease, so that another node need not wait for its end. It waits for that, but not long.
func (h *sharder) stop() {
	h.server.queue.Do(func() { h.step(sharding.Shutdown{}) })
	select {
	case <-h.stopped:
	case <-h.server.queue.Stopped():
	case <-h.server.options.Clock.After(leaseReleaseTimeout):
	}
}

// step runs the assigner and performs its actions.
func (h *sharder) step(events ...sharding.Event) {
	now := h.server.now()
	if h.endpointsChanged && len(h.services) > 0 {
		h.endpointsChanged = false
		h.assigner.SetEndpoints(now, h.endpoints(now))
	}
	wasActive := h.assigner.IsActive()
	for _, action := range h.assigner.Step(now, events...) {
		h.execute(action)
	}
	if isActive := h.assigner.IsActive(); isActive != wasActive {
		h.server.log.Info("assigner of shard keys", logfield.Active, isActive, logfield.Term, h.assigner.Term())
	}
	if h.assigner.HasStopped() && !h.hasStopped {
		h.hasStopped = true
		close(h.stopped)
	}
	h.schedulePublish()
	h.scheduleDeadline()
	if now >= h.metricsSetAt+shardMetricsInterval {
		h.metricsSetAt = now
		h.server.metrics.shards.set(h.assigner.Counts())
	}
}

func (h *sharder) execute(action sharding.Action) {
	switch a := action.(type) {
	case sharding.Propose:
		h.propose(a)
	case sharding.Call:
		h.call(a)
	case sharding.LeaseExtended:
		h.leaseUntil.Store(int64(a.Until))
	}
}

// propose passes a proposal to the replica. It is posted, because the replica may be in the middle of a step.
func (h *sharder) propose(p sharding.Propose) {
	s := h.server
	s.lastRequestID++
	id := s.lastRequestID
	h.proposals[id] = p.ID
	s.queue.Post(func() {
		s.step(consensus.Propose{RequestID: id, Register: p.Register, Change: p.Change})
	})
}

// onRequestDone handles the outcome of a proposal. It reports whether the request was a proposal of the assigner.
func (h *sharder) onRequestDone(d consensus.RequestDone) bool {
	id, isProposal := h.proposals[d.RequestID]
	if !isProposal {
		return false
	}
	delete(h.proposals, d.RequestID)
	h.server.queue.Post(func() {
		h.step(sharding.Decided{ID: id, Outcome: d.Outcome, Value: d.Register})
	})
	return true
}

func (h *sharder) call(c sharding.Call) {
	requestedAt := h.server.options.Clock.Now()
	go func() {
		result, handoff := h.calls.Do(c, requestedAt)
		h.server.metrics.shards.calls.With(int(result)).Inc()
		h.server.queue.Do(func() {
			h.step(sharding.CallDone{ID: c.ID, Result: result, Handoff: handoff})
		})
	}()
}

// endpoints returns the endpoints of sharded services, those that are gone included.
func (h *sharder) endpoints(now time.Duration) []sharding.Endpoint {
	evacuated := h.server.evacuatedZones()
	var all []sharding.Endpoint
	for _, e := range h.server.registry.All(now) {
		if !slices.Contains(h.services, e.Service) {
			continue
		}
		all = append(all, sharding.Endpoint{
			ID:        e.ID,
			Service:   e.Service,
			Address:   e.Address,
			Capacity:  e.Capacity,
			IsUsable:  e.State == rpc.Ready && !evacuated[e.Zone],
			WarmupEnd: now + time.Duration(e.WarmupRemaining)*time.Millisecond,
		})
	}
	return all
}

// onKeyUsage handles a proxy's report of the keys of its requests.
func (h *sharder) onKeyUsage(usage []rpc.KeyUsage) {
	for _, u := range usage {
		h.assigner.AddLoad(u.Service, u.Keys, u.Weight)
	}
}

// scheduleDeadline schedules the next step.
func (h *sharder) scheduleDeadline() {
	next := h.assigner.NextDeadline()
	now := h.server.now()
	isEarlier := h.deadline == 0 || next < h.deadline
	if len(h.services) == 0 || !isEarlier || next >= now+tickInterval {
		return
	}
	h.deadline = next
	h.server.options.Clock.AfterFunc(max(next-now, time.Millisecond), func() {
		h.server.queue.Post(func() {
			if h.deadline == next { // otherwise an earlier deadline has replaced this one
				h.deadline = 0
			}
			h.step()
		})
	})
}

// schedulePublish sends the changed ranges to all proxies after publishDelay.
func (h *sharder) schedulePublish() {
	if h.publishScheduled || !h.assigner.IsActive() {
		return
	}
	h.publishScheduled = true
	h.server.options.Clock.AfterFunc(publishDelay, func() {
		h.server.queue.Post(func() {
			h.publishScheduled = false
			if changes := h.assigner.TakeChanges(); len(changes) > 0 {
				h.server.broadcastToProxies(&rpc.Message{ShardUpdate: h.update(changes)})
			}
		})
	})
}

// all returns all ranges as they were last sent to proxies, for a proxy that has just connected.
func (h *sharder) all() rpc.ShardUpdate { return h.update(h.assigner.Published()) }

func (h *sharder) update(publications []sharding.Publication) (u rpc.ShardUpdate) {
	now := h.server.now()
	for _, p := range publications {
		table := rpc.ShardTable{Service: p.Service, Full: p.Full}
		for _, r := range p.Ranges {
			next := rpc.ShardRange{First: r.First, Last: r.Last, Holder: r.Holder}
			if r.AvailableAt > now {
				next.AvailableIn = uint32((r.AvailableAt - now).Milliseconds()) + 1
			}
			table.Ranges = append(table.Ranges, next)
		}
		u.ShardTables = append(u.ShardTables, table)
		u.ShardTerm = h.assigner.Term()
	}
	return u
}

// status returns the state for operators; nil if no service is sharded.
func (h *sharder) status() *sharding.Status {
	if len(h.services) == 0 {
		return nil
	}
	status := h.assigner.Status(h.server.now())
	return &status
}
