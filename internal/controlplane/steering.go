package controlplane

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/steering"
	"elmfold/internal/gateway/logfield"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

// steerer connects the server to package steering: it passes endpoints, proxies and load reports to the adapter, and
// sends the resulting routing tables to the steered proxies. These are the proxies that ask this node for tables: those
// of its zone, and those of zones whose own node is unavailable.
type steerer struct {
	server           *Server
	adapter          *steering.Adapter
	services         map[string]steering.Service
	steered          map[string]*proxyConn // by name of the proxy
	endpointsChanged bool                  // since the last SetEndpoints
	proxiesChanged   bool                  // since the last SetProxies
}

func newSteerer(s *Server) *steerer {
	zones := slices.Sorted(maps.Keys(s.options.Settings.Zones))
	// Spreads the ticks of nodes that start together.
	firstTick := time.Duration(balancer.RendezvousHash(s.self.Name, "tick") % uint64(time.Second))
	t := &steerer{
		server:         s,
		adapter:        steering.New(zones, firstTick),
		steered:        map[string]*proxyConn{},
		proxiesChanged: true,
	}
	t.adapter.Log = func(service, text string) { s.log.Debug(text, logfield.Service, service) }
	return t
}

// configure sets the services of a configuration. The latency target of a service is the lowest among its routes. Since
// a new target resets the rate limits of the service, the current target is kept while any route still has it.
func (t *steerer) configure(config *routeconfig.Config) {
	services := map[string]steering.Service{}
	keepsTarget := map[string]bool{}
	for _, route := range config.Routes() {
		for _, weighted := range route.Services {
			name := weighted.Service
			lowest, seen := services[name]
			if !seen || route.LatencyTarget < lowest.LatencyTarget {
				services[name] = steering.Service{LatencyTarget: route.LatencyTarget}
			}
			if route.LatencyTarget == t.services[name].LatencyTarget {
				keepsTarget[name] = true
			}
		}
	}
	for name := range services {
		if keepsTarget[name] {
			services[name] = t.services[name]
		}
	}
	t.services = services
	t.adapter.Configure(services)
	t.endpointsChanged = true
}

// invalidate marks endpoints, evacuations and proxies as changed.
func (t *steerer) invalidate() { t.endpointsChanged, t.proxiesChanged = true, true }

// step runs the adapter and sends changed routing tables to proxies.
func (t *steerer) step(now time.Duration) {
	if t.proxiesChanged {
		t.proxiesChanged = false
		t.adapter.SetProxies(t.server.registry.Proxies())
	}
	if t.endpointsChanged {
		t.endpointsChanged = false
		t.adapter.SetEndpoints(now, t.activeEndpoints())
	}
	for name, tables := range t.adapter.Step(now) {
		if p := t.steered[name]; p != nil {
			p.conn.Send(&rpc.Message{
				RoutingTables: tables,
				// The number of the last renewal lets the proxy detect tables from before a suspension of this process.
				Lease:    rpc.Lease{LeaseRenewed: p.lastRenewal},
				NoQuorum: !t.server.hasQuorumNow(),
			})
		}
	}
}

func (t *steerer) activeEndpoints() []steering.Endpoint {
	evacuated := t.server.evacuatedZones()
	var all []steering.Endpoint
	for _, e := range t.server.registry.Active() {
		if e.Service == "" { // deregistered before any heartbeat arrived
			continue
		}
		all = append(all, steering.Endpoint{
			ID:       e.ID,
			Service:  e.Service,
			Zone:     e.Zone,
			Capacity: e.Capacity,
			Ready:    e.State == rpc.Ready && !evacuated[e.Zone],
		})
	}
	return all
}

// onReport handles the load report in a lease renewal.
func (t *steerer) onReport(p *proxyConn, report *rpc.LoadReport) {
	name := p.node.Name
	if !report.WantTables {
		t.stopSteering(p)
		return
	}
	if t.steered[name] != p { // a new connection, which has received no tables
		if t.steered[name] != nil {
			t.adapter.Leave(name)
		}
		t.steered[name] = p
		p.conn.SendEncoded(t.server.allEndpoints())
		t.adapter.Join(name, p.node.Zone)
	}
	t.adapter.Report(name, report.ServiceLoads, report.EndpointReports, report.ReportSeconds)
}

// stopSteering stops steering a proxy, if it is steered on this connection.
func (t *steerer) stopSteering(p *proxyConn) {
	name := p.node.Name
	if t.steered[name] == p {
		delete(t.steered, name)
		t.adapter.Leave(name)
	}
}
