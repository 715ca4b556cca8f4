// Package steering puts the decisions of choice into the gateway: names into indices, reports into events, orders into
// the tables of carriers. There is one Assigner for each service; the carriers that steer here are its proxies. A
// Bearing does no I/O, reads no clock and is not safe for concurrent use: the controller's owner calls it. Times are
// spans since the process began. Equal calls give equal tables.
//
// What choice can do and is not used here: further tries (Gate.Tries) are settled by the carriers' shared budget; cold
// backends are held to a rate of their own by the one carrier that sends to them; lines between carriers and
// controllers are ordered and wide, so fences are answered at once and nothing is held back for the channel.
package steering

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/policy"
)

const (
	early       = 100 * time.Millisecond // a tick may come by so much: the owner's ticker is coarse and jitters
	late        = 500 * time.Millisecond // ... and still counts as in time
	gathering   = 2 * time.Second        // ... carriers join together: the use of the first few is not the zone's
	settling    = 5 * time.Second        // what is heard of so soon after a start was there before
	quietAfter  = 45 * policy.Second     // without news for so long a service has no ticks; lines of what is gone went
	goneFor     = 35 * policy.Second     // until a place may mean another backend
	forgetAfter = 60 * time.Second       // ... or carrier; choice remembers its use for 12 s
	silentMost  = 12                     // ticks without a request after which a use is no longer told as 0
	useHalf     = 0.5                    // what a second leaves of an old use, as choice has it, that of a small one slower
	useMany     = 5.0                    // requests/s, from which it is not small
	useSlow     = 0.4                    // the slowest, by that
	unbounded   = 1e6                    // a level from which choice binds nobody
	leastLevel  = 0.01                   // 0 means unbounded on the line
	defaultSLA  = time.Second
	// choice holds a fleet for overloaded once its median answer takes 0.4 of the SLA time, and lifts the bound by
	// steps that go by the same measure. Here carriers shed at once what would be late, so the bound is the second
	// line, against what they cannot see: it acts when half of the answers come after their aim (1.2 times the target).
	spread = 3
)

// Service is what choice has to know of one.
type Service struct {
	LatencyTarget time.Duration // inside which an answer earns its full worth
}

// Endpoint is one that is in use or drains; those that are gone are left out of the list.
type Endpoint struct {
	ID, Service, Zone string
	Capacity          int
	Ready             bool // false: it drains, or its zone is evacuated
}

// Adapter steers the carriers that joined, for all services.
type Adapter struct {
	Log func(service, text string) // lines for people; may be nil

	zones     []string
	firstTick time.Duration
	began     time.Duration // the first now that was seen; negative: none yet
	services  map[string]*service
	names     []string // of services, sorted
	backends  map[string]*backend
	carriers  map[string]*carrier
	places    []*carrier // by index
	members   []float64  // by zone: carriers that hold a lease
	now       time.Duration
}

type carrier struct {
	name        string
	index, zone int
	here, heard bool    // it steers here; it has reported since
	spent       float64 // seconds that its reports covered
	leftAt      time.Duration
}

type backend struct {
	Endpoint
	in   *service
	seen bool // in the list that is being taken
}

// New makes a Bearing that knows no service. Controllers that start together should not tick together: firstTick, up to
// a second, is when this one does first; 0 is a whole one.
func New(zones []string, firstTick time.Duration) *Adapter {
	zones = slices.Compact(slices.Sorted(slices.Values(zones)))
	return &Adapter{zones: zones, firstTick: firstTick, began: -1, services: map[string]*service{},
		backends: map[string]*backend{}, carriers: map[string]*carrier{}, members: make([]float64, len(zones))}
}

func ticks(d time.Duration) policy.Time { return policy.Time(d / (100 * time.Microsecond)) }

func (b *Adapter) zone(name string) int { return slices.Index(b.zones, name) }

func (b *Adapter) at(now time.Duration) {
	if b.now = max(b.now, now); b.began < 0 {
		b.began = now
	}
}

// Configure sets which services there are. Those that stay keep all that is known of them; one with another target is
// decided anew on what is worth recalling, and its carriers are told whole tables. Backends of new services must be
// listed again.
func (b *Adapter) Configure(services map[string]Service) {
	for name, s := range b.services {
		if _, stays := services[name]; !stays {
			delete(b.services, name)
			maps.DeleteFunc(b.backends, func(_ string, e *backend) bool { return e.in == s })
		}
	}
	for name, c := range services {
		target := cmp.Or(max(c.LatencyTarget, 0), defaultSLA)
		if s := b.services[name]; s == nil {
			s = &service{b: b, name: name, target: target, fence: -1, places: map[string]int{}}
			b.services[name] = s
		} else if s.target != target {
			s.target = target
			s.renew()
		}
	}
	b.names = slices.Sorted(maps.Keys(b.services))
}

// SetEndpoints takes the whole list, in any order. Those of services or zones that are not known here are read past.
func (b *Adapter) SetEndpoints(now time.Duration, all []Endpoint) {
	b.at(now)
	for _, e := range b.backends {
		e.seen = false
	}
	for _, e := range slices.SortedFunc(slices.Values(all), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }) {
		s := b.services[e.Service]
		if s == nil || b.zone(e.Zone) < 0 {
			continue
		}
		old := b.backends[e.ID]
		if old != nil && old.in != s {
			old.in.gone(e.ID)
			old = nil
		}
		if old == nil {
			old = &backend{in: s}
			b.backends[e.ID] = old
		}
		if old.seen = true; old.Endpoint != e {
			old.Endpoint = e
			s.list(e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.backends)) {
		if e := b.backends[id]; !e.seen {
			e.in.gone(id)
			delete(b.backends, id)
		}
	}
}

// SetProxies takes all carriers that hold a lease, those that steer here among them: what comes to the others is guessed
// from their number.
func (b *Adapter) SetProxies(all []rpc.ProxyInfo) {
	clear(b.members)
	for _, m := range all {
		if z := b.zone(m.Zone); z >= 0 {
			b.members[z]++
		}
	}
}

// Join takes a carrier that has a new line and steers here. It is told whole tables once it has reported: choice holds
// one that it has not heard of to a request a second. After a start of this controller all wait for two seconds.
func (b *Adapter) Join(name, zone string) {
	z := b.zone(zone)
	if z < 0 {
		return // it goes by what it knows itself
	}
	b.Leave(name)
	c := b.carriers[name]
	if c == nil {
		// Carriers whose names never come again must not pile up.
		i := slices.IndexFunc(b.places, func(o *carrier) bool { return !o.here && b.now > o.leftAt+forgetAfter })
		if i < 0 {
			i, b.places = len(b.places), append(b.places, nil)
		} else {
			delete(b.carriers, b.places[i].name)
		}
		c = &carrier{name: name, index: i}
		b.carriers[name], b.places[i] = c, c
	}
	c.zone, c.here, c.heard = z, true, false
}

// Leave takes that a carrier's line broke, or that it steers elsewhere.
func (b *Adapter) Leave(name string) {
	if c := b.carriers[name]; c != nil && c.here {
		c.here, c.leftAt = false, b.now
		for _, s := range b.services {
			s.leave(c)
		}
	}
}

// Report takes what came to a joined carrier and was met by it in so many seconds.
func (b *Adapter) Report(name string, uses []rpc.ServiceLoad, met []rpc.EndpointReport, spent float64) {
	c := b.carriers[name]
	if c == nil || !c.here || !(spent > 0) || math.IsInf(spent, 1) {
		return
	}
	c.spent, c.heard = c.spent+spent, true
	for _, u := range uses {
		if s := b.services[u.Service]; s != nil && u.Requests > 0 {
			s.use(c, u, spent)
		}
	}
	for _, m := range met {
		if e := b.backends[m.ID]; e != nil && m.Attempts > 0 {
			e.in.meet(m)
		}
	}
}

// Step runs what is due and returns, by carrier, what it is to hold from now on and was not told yet: nil where
// nothing changed. It should be called a few times a second; drains and losses go out with the first call after they
// were listed, all else once a second.
func (b *Adapter) Step(now time.Duration) map[string][]rpc.RoutingTable {
	b.at(now)
	var out map[string][]rpc.RoutingTable
	for _, name := range b.names {
		for _, t := range b.services[name].step() {
			if out == nil {
				out = map[string][]rpc.RoutingTable{}
			}
			out[t.to.name] = append(out[t.to.name], t.table)
		}
	}
	return out
}
