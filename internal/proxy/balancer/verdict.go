// Package balancer settles what a carrier decides for each request: whether it is let in (the level), which backend of
// the table is asked, whether another may be asked after a failure, and what a cold backend may be sent. It does no I/O
// and reads no clock; times are spans since the process began, chance comes in as an argument. A Settler is not safe
// for concurrent use: its owner holds one small mutex, never over I/O.
package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"elmfold/internal/gateway/apierror"
)

// Tuned values.
const (
	illFirst    = 500 * time.Millisecond // an ill backend is left alone for so long
	illDown     = time.Second
	zoneWithin  = 1500 * time.Millisecond // two machines of a zone fall silent so close to each other: the zone may be
	silentLong  = time.Second             // silent for so long, a backend may come back cold
	foreignDown = 3 * time.Second         // the address is another's: a word of it comes, or it is dropped
	shedDown    = 150 * time.Millisecond
	illAfter    = 3                      // failures in a row that say that a backend is ill
	spillAt     = 1.0                    // load over capacity of the better of two from which others are looked at
	loadPart    = 0.4                    // of a load in what an answer is held to cost, where there is room
	farPenalty  = 0.5                    // ... by which one of another zone must be less loaded
	loadHalf    = 800 * time.Millisecond // in which what others have there fades, as far as it is not told anew
	waitHalf    = 3 * time.Second        // ... where requests waited
	// part of the time to the aim that may pass at a backend before nobody more is sent there
	waitPart = 0.5
	// load over capacity that a backend may have at least, and of which late requests have their part
	loadLeast  = 1.25
	loadMost   = 8.0
	rankPart   = 0.06 // of the limit that each rank below the highest gives up, for so many ranks
	rankMost   = 5
	tookKeep   = 0.9                    // of the mean time of work, at each answer
	tookFirst  = 100 * time.Millisecond // ... before there was one
	afterLeast = 50 * time.Millisecond
	afterMost  = time.Second
	parts      = 10        // of a window of the budget
	buckets    = parts + 1 // so that they cover a whole window wherever in a part it ends

	safeRatio = 0.65 // part of the shared budget's ratio and slack that the carriers use up together
	safeSlack = 0.6
	coldPart  = 0.9 // of the rate of a cold backend that its one sender uses
	connPart  = 0.9 // of the connections that a backend accepts
)

// Bounds are the figures of the rules that bind all carriers together.
type Bounds struct {
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	ColdExcess, ColdSlack  float64
}

// Backend is what a carrier knows of a backend.
type Backend struct {
	ID, Service, Address, Zone string
	Capacity                   int
	Usable                     bool // listed, ready, its zone not evacuated
	ColdUntil                  time.Duration

	weight   float64 // of the controller's table; negative: it has not said
	busy     int     // requests of this carrier
	others   float64 // requests of others, as last told of, at othersAt
	othersAt time.Duration
	share    int // connections that this carrier may have to it, as of the last pick
	downTill time.Duration
	failures int
	Doubted  bool // not to be asked until it is proved to be there
	proving  bool
	doubtAt  time.Duration
	coldAt   time.Duration // when the last request to it while cold was let go
	owner    bool          // this carrier is the one that sends to it while it is cold
	epoch    int           // of the members that said so
	tries    float64       // since the last report
	voided   float64
	took     time.Duration
	answers  float64
	waiting  bool
	work     time.Duration // the mean time of its answers where nobody waited
	answered time.Duration // when it last answered
	silentAt time.Duration // when it last was found silent
}

type service struct {
	backends []*Backend
	came     float64 // since the last report
	voided   float64
	level    float64 // requests/s; 0: unbounded
	tokens   float64
	tokensAt time.Duration
	asked    [buckets]float64 // by part of the window
	again    [buckets]float64
	at       int64         // the part that was written last
	took     time.Duration // of work alone: answers of backends where nobody waited
	maxConns int
	coldRate float64
	cold     time.Duration
}

// Settler is a carrier's.
type Settler struct {
	name, zone string
	bounds     Bounds
	services   map[string]*service
	backends   map[string]*Backend
	members    []Member
	epoch      int // of members
	most       int // the greatest number of members heard of
	began      time.Duration
	right      time.Duration // until when what only a member may do is allowed
}

// Member is a carrier that holds a lease.
type Member struct{ Name, Zone string }

// New makes a Settler that knows no backend.
func New(name, zone string, b Bounds, now time.Duration) *Settler {
	return &Settler{name: name, zone: zone, bounds: b, services: map[string]*service{}, backends: map[string]*Backend{},
		most: 1, began: now, right: -1}
}

func (s *Settler) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		s.services[name] = v
	}
	return v
}

// Configure sets what a service's pool says.
func (s *Settler) Configure(name string, maxConns int, coldRate float64, cold time.Duration) {
	v := s.service(name)
	v.maxConns, v.coldRate, v.cold = maxConns, coldRate, cold
}

// Cold is how long a backend of a service stays cold after a start, as its pool says.
func (s *Settler) Cold(name string) time.Duration { return s.service(name).cold }

// Put sets what is known of a backend; what was met at it stays.
func (s *Settler) Put(now time.Duration, b Backend) {
	old := s.backends[b.ID]
	if old == nil {
		b.weight, b.coldAt, b.othersAt, b.answered, b.silentAt = -1, -time.Hour, -time.Hour, now, -time.Hour
		old = &b
		s.backends[b.ID] = old
		v := s.service(b.Service)
		v.backends = append(v.backends, old)
		slices.SortFunc(v.backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	} else {
		if old.Zone != b.Zone {
			old.epoch = 0
		}
		old.Address, old.Zone, old.Capacity, old.Usable, old.ColdUntil = b.Address, b.Zone, b.Capacity, b.Usable, b.ColdUntil
	}
}

// Drop forgets a backend.
func (s *Settler) Drop(id string) {
	if b := s.backends[id]; b != nil {
		delete(s.backends, id)
		v := s.service(b.Service)
		v.backends = slices.DeleteFunc(v.backends, func(o *Backend) bool { return o == b })
	}
}

// Members sets who holds a lease. The greatest number ever heard of shares the budgets: one that is cut off counts
// itself among fewer than there are.
func (s *Settler) Members(all []Member) {
	s.members, s.most, s.epoch = all, max(s.most, len(all)), s.epoch+1
}

// Right sets until when this carrier may do what only a member may.
func (s *Settler) Right(until time.Duration) { s.right = max(s.right, until) }

// own settles who sends to a backend while it is cold: one member of its zone, or of all where its zone has none, by
// rendezvous, so that all carriers that know the same members agree without a word.
// It is worked out when a cold one is asked for: members change often, cold backends are few.
func (s *Settler) own(b *Backend) bool {
	if b.epoch == s.epoch {
		return b.owner
	}
	best, winner := uint64(0), ""
	for _, near := range []bool{true, false} {
		for _, m := range s.members {
			if near && m.Zone != b.Zone {
				continue
			}
			if v := Rank(m.Name, b.ID); winner == "" || v > best {
				best, winner = v, m.Name
			}
		}
		if winner != "" {
			break
		}
	}
	b.owner, b.epoch = winner == s.name, s.epoch
	return b.owner
}

// Rank is the rendezvous rank of a name for a thing: the greatest wins.
func Rank(name, thing string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(thing))
	x := h.Sum64()
	x ^= x >> 33 // the last bytes alone would decide little of an FNV sum's high bits
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Weights sets a service's table as its zone's controller ordered it.
func (s *Settler) Weights(name string, whole bool, weights map[string]float64) {
	for _, b := range s.service(name).backends {
		if w, said := weights[b.ID]; said {
			b.weight = w
		} else if whole {
			b.weight = -1
		}
	}
}

// Level sets a service's level, requests/s; 0 is unbounded.
func (s *Settler) Level(name string, level float64, now time.Duration) {
	v := s.service(name)
	if v.level == 0 {
		v.tokens, v.tokensAt = burst(level), now
	}
	v.level = level
}

func burst(level float64) float64 { return max(level/4, 2) }

// Admit takes a request that came for a service. One over the level is refused, with when to come again.
func (s *Settler) Admit(now time.Duration, name string) (apierror.Kind, time.Duration) {
	v := s.service(name)
	v.came++
	v.turn(now, s.bounds.RetryWindow)
	v.asked[v.at%buckets]++
	if v.level <= 0 {
		return apierror.None, 0
	}
	v.tokens = min(v.tokens+v.level*(now-v.tokensAt).Seconds(), burst(v.level))
	v.tokensAt = now
	if v.tokens < 1 {
		v.voided++
		return apierror.RateLimited, time.Duration((1 - v.tokens) / v.level * float64(time.Second))
	}
	v.tokens--
	return apierror.None, 0
}

// turn moves the window of the budget on.
func (v *service) turn(now, window time.Duration) {
	at := int64(now / (window / parts))
	for ; v.at < at; v.at++ {
		if at-v.at > buckets {
			v.at = at - buckets
		}
		v.asked[(v.at+1)%buckets], v.again[(v.at+1)%buckets] = 0, 0
	}
}

// load is the part of a backend's capacity that is held to be taken.
func (b *Backend) load(now time.Duration) float64 {
	half := loadHalf
	if b.others+float64(b.busy) > float64(b.Capacity) { // nobody else's are answered sooner than it can
		half = waitHalf
	}
	fade := math.Exp2(-float64(now-b.othersAt) / float64(half))
	return (float64(b.busy) + b.others*fade) / float64(max(b.Capacity, 1))
}

// cost is how long an answer will take beside one of the service's usual backends with room: by how long it works, as
// backends of a service vary in speed, by how far what is there must be worked off first, and a little by its load, as
// some become slower when nearly full.
func (b *Backend) cost(now time.Duration, v *service) float64 {
	speed, load := 1.0, b.load(now)
	if b.work > 0 && v.took > 0 {
		speed = min(max(float64(b.work)/float64(v.took), 0.5), 3)
	}
	return speed*(1+max(load+1/float64(max(b.Capacity, 1))-1, 0)) + loadPart*load
}

func (s *Settler) share(v *service) int {
	if v.maxConns == 0 {
		return math.MaxInt
	}
	return max(int(connPart*float64(v.maxConns)/float64(s.most)), 1)
}

// may says whether a backend may be asked now, but for those that were asked already.
func (s *Settler) may(now time.Duration, v *service, b *Backend, share int) bool {
	switch {
	case !b.Usable, b.Doubted, now < b.downTill, b.busy >= share:
		return false
	case now < b.ColdUntil:
		return s.mayCold(now, v, b)
	}
	return true
}

// mayCold: only the one that owns it sends to a cold backend, at its rate, without a burst, and while its lease
// stands by its own clock.
func (s *Settler) mayCold(now time.Duration, v *service, b *Backend) bool {
	if !s.own(b) || now > s.right || v.coldRate <= 0 {
		return false
	}
	// Two that both hold themselves to be the owner for a moment stay under the bound together.
	rate := min(v.coldRate*coldPart, (v.coldRate*s.bounds.ColdExcess+s.bounds.ColdSlack)/2-1)
	return rate > 0 && now >= b.coldAt+time.Duration(float64(time.Second)/rate)
}

// Ask is what a request wants of a backend.
type Ask struct {
	Service string
	ToAim   time.Duration // what is left of the time inside which an answer earns its full worth; may be negative
	Tried   []string      // backends that it was at before
	Draws   [2]float64    // of [0,1)
	// Priority is the rank of the request's route, 0 the highest: the lower ones are shed first.
	Priority int
}

// limit is the load from which a backend gets no more of such requests. Guards against an overload in which each is
// served, and each late: backends queue more than can be answered inside the aim.
func (v *service) limit(a Ask) float64 {
	took := cmp.Or(v.took, tookFirst)
	rank := 1 - rankPart*float64(min(max(a.Priority, 0), rankMost))
	return min(max(rank*waitPart*float64(a.ToAim)/float64(took), loadLeast), loadMost)
}

// After is when a request that found all backends full may come again: soon enough to be served inside its aim,
// spread by chance, so that those refused together do not return together.
func After(target time.Duration, u float64) time.Duration {
	return min(max(time.Duration(float64(target)/4*(0.6+0.8*u)), afterLeast), afterMost)
}

// Share is how many connections this carrier may have to the backend, idle ones included: they all count there.
func (b *Backend) Share() int { return b.share }

// Pick chooses a backend for a request. Where none may be asked it says why. A pick must be ended by End.
func (s *Settler) Pick(now time.Duration, a Ask) (*Backend, apierror.Kind) {
	v := s.services[a.Service]
	if v == nil || len(v.backends) == 0 {
		return nil, apierror.NoEndpoint
	}
	tried, limit := a.Tried, v.limit(a)
	share := s.share(v)
	var best *Backend
	cost := 0.0
	// Two by their weights, of them the one that answers sooner (Mitzenmacher 2001): what is known of loads is late,
	// and all that see the same would run to the same best one.
	sum := 0.0
	for _, b := range v.backends {
		if s.may(now, v, b, share) && !slices.Contains(tried, b.ID) {
			sum += s.weightOf(v, b)
		}
	}
	if sum > 0 {
		for _, u := range a.Draws {
			x := u * sum
			for _, b := range v.backends {
				if w := s.weightOf(v, b); w > 0 && s.may(now, v, b, share) && !slices.Contains(tried, b.ID) {
					if x -= w; x < 0 {
						if l := b.cost(now, v); best == nil || l < cost {
							best, cost = b, l
						}
						break
					}
				}
			}
		}
	}
	if best == nil || best.load(now) >= spillAt {
		best = nil
		for _, b := range v.backends {
			if !s.may(now, v, b, share) || slices.Contains(tried, b.ID) {
				continue
			}
			l := b.load(now)
			if b.Zone != s.zone {
				l += farPenalty
			}
			if best == nil || l < cost {
				best, cost = b, l
			}
		}
	}
	if best == nil || best.load(now) >= limit {
		for _, b := range v.backends {
			if b.Usable {
				return nil, apierror.EndpointsSaturated
			}
		}
		return nil, apierror.NoEndpoint
	}
	best.busy++
	best.share = share
	if now < best.ColdUntil {
		best.coldAt = now
	}
	return best, apierror.None
}

// weightOf is a backend's weight in the table: as ordered by the zone's controller; where it has said nothing, own
// zone first and by capacity.
func (s *Settler) weightOf(v *service, b *Backend) float64 {
	if b.weight >= 0 {
		return b.weight
	}
	if b.Zone == s.zone {
		return float64(b.Capacity)
	}
	return 0
}

// Met is what a try at a backend brought.
type Met struct {
	Kind    apierror.Kind // None: an answer
	Took    time.Duration
	Running int // as the answer told; with Waiting
	Waiting int
	HasLoad bool
	Cold    time.Duration
	HasCold bool
	Silent  bool // its machine said nothing at all, as one without power does
}

// End ends a pick.
func (s *Settler) End(now time.Duration, b *Backend, m Met) {
	b.busy--
	b.tries++
	if m.HasLoad {
		b.others, b.othersAt = max(float64(m.Running+m.Waiting-b.busy-1), 0), now
		b.waiting = b.waiting || m.Waiting > 0
	}
	if m.HasCold && m.Cold > 0 {
		b.ColdUntil = max(b.ColdUntil, now+m.Cold)
	}
	if m.Silent {
		s.silent(now, b, now-m.Took)
	}
	switch m.Kind {
	case apierror.None, apierror.EndpointFailed:
		b.answered = now
		if !b.proving {
			b.Doubted = false
		}
		b.failures, b.downTill = 0, 0
		if m.Kind == apierror.None && (!m.HasLoad || m.Waiting == 0) {
			b.work = time.Duration(tookKeep*float64(cmp.Or(b.work, m.Took)) + (1-tookKeep)*float64(m.Took))
		}
		if v := s.service(b.Service); m.HasLoad && m.Waiting == 0 || v.took == 0 || m.Took < v.took {
			v.took = time.Duration(tookKeep*float64(cmp.Or(v.took, m.Took)) + (1-tookKeep)*float64(m.Took))
		}
		if m.Kind == apierror.EndpointFailed {
			b.voided++
		} else {
			b.took, b.answers = b.took+m.Took, b.answers+1
		}
	case apierror.ConnectFailed:
		b.voided++
		b.doubt(now)
	case apierror.EndpointsSaturated: // beyond its connections
		b.down(now, shedDown)
	case apierror.RejectedByEndpoint:
		b.answered = now
		b.down(now, shedDown)
		b.failures = 0
		if !m.HasLoad { // it is full: no room for a moment
			b.others, b.othersAt = float64(b.Capacity), now
		}
	case apierror.Misdirected:
		b.voided++
		b.down(now, foreignDown)
	case apierror.ResponseTimeout:
		b.voided++
		if b.failures++; b.failures >= illAfter {
			b.downTill = max(b.downTill, now+illDown)
		}
	case apierror.ConnectionBroken, apierror.InvalidResponse, apierror.MismatchedResponse, apierror.TruncatedResponse:
		b.voided++
		if b.failures++; b.failures >= illAfter {
			b.downTill = max(b.downTill, now+illFirst)
		}
	}
}

// silent takes note of a machine that says nothing. Two in a zone at once: it may be the zone, or the way there. Those
// of it that have not answered since are in doubt too, as a request that may run once only is lost at a machine
// without power.
func (s *Settler) silent(now time.Duration, b *Backend, since time.Duration) {
	b.silentAt = now
	b.doubt(now)
	others := false
	for _, o := range s.backends {
		others = others || o != b && o.Zone == b.Zone && o.Address != b.Address && now < o.silentAt+zoneWithin
	}
	for _, o := range s.backends {
		if others && o.Zone == b.Zone && o.answered < since {
			o.doubt(now)
		}
	}
}

// doubt takes a backend out until it is proved to be there: by a connection that comes up beside the requests, never by
// one of them.
func (b *Backend) doubt(now time.Duration) {
	if !b.Doubted {
		b.Doubted, b.doubtAt = true, now
	}
}

// Doubt is a backend to be proved.
type Doubt struct {
	Address string
	b       *Backend
}

// Doubts are the backends that wait to be proved and for which nobody is at it yet; whoever takes them proves them.
func (s *Settler) Doubts() (all []Doubt) {
	for _, b := range s.backends {
		if b.Doubted && !b.proving {
			b.proving = true
			all = append(all, Doubt{b.Address, b})
		}
	}
	slices.SortFunc(all, func(a, b Doubt) int { return cmp.Compare(a.b.ID, b.b.ID) })
	return all
}

// Wanted says whether a backend that is being proved is still known, at that address.
func (s *Settler) Wanted(d Doubt) bool { return s.backends[d.b.ID] == d.b && d.b.Address == d.Address }

// Proved says that a backend in doubt is there. One that was away for long may come back cold, and nobody has said so
// yet: unsure is how long that may take to be heard.
func (s *Settler) Proved(now time.Duration, d Doubt, unsure time.Duration) {
	b := d.b
	if b.Doubted && now > b.doubtAt+silentLong {
		b.ColdUntil = max(b.ColdUntil, now+unsure)
	}
	b.Doubted, b.proving, b.failures, b.downTill = false, false, 0, 0
}

func (b *Backend) down(now, for_ time.Duration) {
	b.failures, b.downTill = b.failures+1, max(b.downTill, now+for_)
}

// Again says whether a request may go to another backend after a failure: one that has not run always, one that may
// have run if its route allows repetition. Offered is how many backends it was sent to, each of them after the
// first draws on the budget that all carriers share; so does the next one, if it counts.
func (s *Settler) Again(
	now time.Duration,
	name string,
	kind apierror.Kind,
	repeatable bool,
	offered, maxTries int,
) bool {
	rule := kind.Policy()
	if !rule.Retryable || rule.MayHaveExecuted && !repeatable || offered >= maxTries {
		return false
	}
	if offered == 0 {
		return true // it has not arrived anywhere: the next arrival is its first
	}
	v := s.service(name)
	v.turn(now, s.bounds.RetryWindow)
	asked, again := 0.0, 0.0
	for i := range buckets {
		asked, again = asked+v.asked[i], again+v.again[i]
	}
	asked -= v.asked[(v.at+1)%buckets] // the oldest part may lie before the window
	// A new life may follow one that spent its part just now: its slack grows over one window.
	grown := min(float64(now-s.began)/float64(s.bounds.RetryWindow), 1)
	slack := s.bounds.RetrySlack * safeSlack / float64(s.most)
	if again+1 > (s.bounds.RetryRatio*safeRatio*asked+slack)*grown {
		return false
	}
	v.again[v.at%buckets]++
	return true
}

// Report is what came and was met since the last one.
type Report struct {
	Uses []Use
	Met  []Tried
}

// Use is what came for a service; Voided was refused or failed here.
type Use struct {
	Service      string
	Came, Voided float64
}

// Tried is what was met at a backend.
type Tried struct {
	ID            string
	Tries, Voided float64
	Took          time.Duration // mean of the answers
	Waiting       bool
}

// Report takes it out.
func (s *Settler) Report() (r Report) {
	for name, v := range s.services {
		if v.came > 0 {
			r.Uses = append(r.Uses, Use{Service: name, Came: v.came, Voided: v.voided})
			v.came, v.voided = 0, 0
		}
		for _, b := range v.backends {
			if b.tries > 0 {
				t := Tried{ID: b.ID, Tries: b.tries, Voided: b.voided, Waiting: b.waiting}
				if b.answers > 0 {
					t.Took = b.took / time.Duration(b.answers)
				}
				r.Met = append(r.Met, t)
				b.tries, b.voided, b.took, b.answers, b.waiting = 0, 0, 0, 0, false
			}
		}
	}
	slices.SortFunc(r.Uses, func(a, b Use) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(r.Met, func(a, b Tried) int { return cmp.Compare(a.ID, b.ID) })
	return r
}
