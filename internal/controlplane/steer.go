package controlplane

import (
	"maps"
	"slices"
	"time"

	"elmfold/internal/controlplane/steering"
	"elmfold/internal/gateway/routeconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/proxy/balancer"
)

// steerer hands what is known here to the decisions, and what they order to the carriers that steer here: those of
// the own zone, and of zones whose controller is away.
type steerer struct {
	s        *Server
	b        *steering.Bearing
	dirty    bool                 // the backends may have changed
	here     map[string]*rpc.Conn // carriers that steer here, by name
	services map[string]steering.Service
	counted  bool // the decisions know the members
}

func newSteerer(s *Server) *steerer {
	zones := slices.Sorted(maps.Keys(s.o.Settings.Zones))
	// Controllers that start together do not tick together.
	first := time.Duration(balancer.Rank(s.me.Name, "tick") % uint64(time.Second))
	t := &steerer{s: s, b: steering.New(zones, first), here: map[string]*rpc.Conn{}}
	t.b.Log = func(service, text string) { s.log.Debug(text, "service", service) }
	return t
}

// configured takes the services of a configuration: the strictest route decides what is late. A service keeps its
// target as long as a route has it: each new one begins its levels anew, and routes come and go.
func (t *steerer) configured(c *routeconfig.Config) {
	services, stays := map[string]steering.Service{}, map[string]bool{}
	for _, r := range c.Routes() {
		for _, split := range r.Services {
			if have, ok := services[split.Service]; !ok || r.LatencyTarget < have.Target {
				services[split.Service] = steering.Service{Target: r.LatencyTarget}
			}
			stays[split.Service] = stays[split.Service] || r.LatencyTarget == t.services[split.Service].Target
		}
	}
	for name := range services {
		if stays[name] {
			services[name] = t.services[name]
		}
	}
	t.services = services
	t.b.Configure(services)
	t.dirty = true
}

// changed: backends, evacuations or members did.
func (t *steerer) changed() { t.dirty, t.counted = true, false }

// step lets the decisions be made that are due and tells the carriers what changed.
func (t *steerer) step(now time.Duration) {
	if !t.counted {
		t.counted = true
		t.b.Members(t.s.table.Proxies())
	}
	if t.dirty {
		t.dirty = false
		evacuated := t.s.evacuated()
		var all []steering.Backend
		for _, l := range t.s.table.Active() {
			if l.Service != "" {
				all = append(all, steering.Backend{ID: l.ID, Service: l.Service, Zone: l.Zone, Capacity: l.Capacity,
					Ready: l.State == rpc.Ready && !evacuated[l.Zone]})
			}
		}
		t.b.Backends(now, all)
	}
	for name, tables := range t.b.Step(now) {
		if line := t.here[name]; line != nil {
			// The carrier's last renewal goes along: what was worked out before a freeze is known by it.
			line.Send(&rpc.Message{RoutingTables: tables, Lease: rpc.Lease{LeaseRenewed: t.s.carriers[line].renewed}, NoQuorum: !t.s.inTouch()})
		}
	}
}

// report takes what a carrier's renewal tells.
func (t *steerer) report(c *carrier, m *rpc.Message) {
	name := c.who.Name
	if !m.WantTables {
		if t.here[name] == c.line {
			t.left(name, c.line)
		}
		return
	}
	if t.here[name] != c.line { // a new life, or a new line: it holds no table of ours
		if t.here[name] != nil {
			t.b.Leave(name)
		}
		t.here[name] = c.line
		c.line.SendEncoded(t.s.packed())
		t.b.Join(name, c.who.Zone)
	}
	t.b.Report(name, m.ServiceLoads, m.EndpointReports, m.ReportSeconds)
}

func (t *steerer) left(name string, line *rpc.Conn) {
	if t.here[name] == line {
		delete(t.here, name)
		t.b.Leave(name)
	}
}
