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

// steerer gives what is known here to the decisions (package steering), and their routing tables to the proxies
// that are steered here: those of the own zone, and of zones whose node is away.
type steerer struct {
	server           *Server
	adapter          *steering.Adapter
	services         map[string]steering.Service
	steered          map[string]*proxyConn // proxies that are steered here, by name
	endpointsChanged bool                  // since the adapter was given them
	proxiesChanged   bool                  // since the adapter was given them
}

func newSteerer(s *Server) *steerer {
	zones := slices.Sorted(maps.Keys(s.options.Settings.Zones))
	// Nodes that start together should not tick together.
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

// configure takes over the services of a configuration. The strictest route of a service decides what is late. A
// service keeps its target as long as any route has it: each new one begins its rate limits anew, and routes come
// and go.
func (t *steerer) configure(config *routeconfig.Config) {
	services := map[string]steering.Service{}
	keepsTarget := map[string]bool{}
	for _, route := range config.Routes() {
		for _, weighted := range route.Services {
			name := weighted.Service
			strictest, seen := services[name]
			if !seen || route.LatencyTarget < strictest.LatencyTarget {
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

// invalidate notes that endpoints, evacuations or proxies have changed.
func (t *steerer) invalidate() { t.endpointsChanged, t.proxiesChanged = true, true }

// step lets the decisions be made that are due, and sends the proxies what changed.
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
				// By its last renewal the proxy knows tables that were worked out before this process was suspended.
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
		if e.Service == "" { // only its end was reported
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

// onReport handles what a proxy's renewal reports.
func (t *steerer) onReport(p *proxyConn, report *rpc.LoadReport) {
	name := p.node.Name
	if !report.WantTables {
		t.leave(p)
		return
	}
	if t.steered[name] != p { // another incarnation or connection: it has no table from here
		if t.steered[name] != nil {
			t.adapter.Leave(name)
		}
		t.steered[name] = p
		p.conn.SendEncoded(t.server.allEndpoints())
		t.adapter.Join(name, p.node.Zone)
	}
	t.adapter.Report(name, report.ServiceLoads, report.EndpointReports, report.ReportSeconds)
}

// leave ends the steering of a proxy, if it is steered on this connection.
func (t *steerer) leave(p *proxyConn) {
	name := p.node.Name
	if t.steered[name] == p {
		delete(t.steered, name)
		t.adapter.Leave(name)
	}
}
