// Package counsel is the controller's side of the gateway: it holds the operator's word on disk with the other
// controllers, knows the backends by their beats and the carriers by their leases, and tells carriers what changed.
//
// One goroutine owns all tables (own) and works through a queue of commands; lines, the disk and HTTP calls only
// queue and are answered. What is decided lies in accord, presence and bearing.
package counsel

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/accord"
	"elmfold/charter"
	"elmfold/fault"
	"elmfold/parley"
	"elmfold/premise"
	"elmfold/presence"
	"elmfold/record"
)

const (
	tickEvery    = 200 * time.Millisecond
	gatherFor    = 700 * time.Millisecond // no further controller came: the founders are those that did
	gatherMost   = 4 * time.Second        // ... and with fewer than the faults to be borne ask for, after this
	dialFor      = 800 * time.Millisecond
	dialAgain    = 300 * time.Millisecond
	silentFor    = 3 * time.Second // a line that says nothing for so long has died; every side speaks once a second
	pingEvery    = time.Second
	wordFor      = 900 * time.Millisecond // a word of leaving that is not with enough others by then is not acknowledged
	wokeLate     = time.Second            // a tick that late: this process was frozen, and what it reads may be old
	markAgain    = time.Second
	gatherEach   = 300 * time.Microsecond // for each carrier, that words of what comes may wait, up to the tick
	gatherLeast  = 10 * time.Millisecond
	distrustFor  = 500 * time.Millisecond
	founders     = "founders" // names of records that are not registers
	complete     = record.Marker
	charterName  = "charter" // the register of the configuration
	zonePrefix   = "zone/"   // ... of the evacuation of a zone
	registerMark = "r/"      // before the names of registers among the records
)

// Disk is where records are kept; PutAsync calls done once the record is safe on the disk.
type Disk interface {
	PutAsync(name string, value []byte, done func(error))
	All() map[string][]byte
}

// Options make a Server.
type Options struct {
	Settings  *premise.Settings
	Disk      Disk
	Known     bool // the disk is known never to have forgotten anything
	Fresh     bool // ... it was empty
	Log       hclog.Logger
	Clock     clockwork.Clock
	Dial      func(address string) (net.Conn, error)
	Listen    net.Listener // for controllers and carriers
	TimeOfDay func() time.Time
}

type peer struct {
	told bool // its first words on the line that stands have come
	who  parley.Controller
	out  *parley.Line // nil: down
	life uint64
}

type carrier struct {
	who    parley.Controller
	line   *parley.Line
	steers bool
}

type word struct { // of a backend that leaves, waiting for others to have it
	need  int
	until time.Duration
	done  chan<- error
}

// Server is one controller.
type Server struct {
	o       Options
	log     hclog.Logger
	me      parley.Controller
	life    uint64
	began   time.Time
	queue   chan func()
	stopped chan struct{}
	once    sync.Once

	// Owned by own.
	replica   *accord.Replica
	table     *presence.Table
	peers     map[string]*peer // by name
	dialing   map[string]bool  // by address
	carriers  map[*parley.Line]*carrier
	founders  []parley.Controller
	joined    map[string]parley.Controller // that came while there were no founders
	joinedAt  time.Duration
	waiting   map[uint64]chan<- accord.Done
	token     uint64
	words     map[uint64]*word
	seq       uint64
	charter   *charter.Charter // in force
	settled   bool             // what others know of backends was heard, or nobody knows more
	tickAt    time.Duration
	pingAt    time.Duration
	doubtTill time.Duration
	steer     *steering
	diskFails int
	pending   []parley.Backend // words for carriers that may wait for the tick
	list      []byte           // All, packed
	listAt    time.Duration
	markAt    time.Duration // when the mark is to be tried again; 0: it need not be
	founding  bool          // founders are on their way to the disk
}

// New makes a Server; Run starts it.
func New(o Options) *Server {
	s := &Server{o: o, log: o.Log, life: rand.Uint64() | 1, began: o.Clock.Now(), queue: make(chan func(), 1024),
		stopped: make(chan struct{}), table: presence.New(o.Settings.Beat.Span()), peers: map[string]*peer{},
		dialing: map[string]bool{}, carriers: map[*parley.Line]*carrier{}, joined: map[string]parley.Controller{},
		waiting: map[uint64]chan<- accord.Done{}, words: map[uint64]*word{}}
	s.me = parley.Controller{Name: o.Settings.Name, Zone: o.Settings.Zone, Address: o.Settings.Own(),
		Control: o.Settings.Listen["control"]}
	var disk []accord.Register
	for name, value := range o.Disk.All() {
		switch {
		case name == founders:
			if err := json.Unmarshal(value, &s.founders); err != nil {
				s.log.Error("founders on disk", "err", err)
			}
		case strings.HasPrefix(name, registerMark) && len(value) >= 16:
			disk = append(disk, decode(name, value))
		}
	}
	slices.SortFunc(disk, func(a, b accord.Register) int { return strings.Compare(a.Name, b.Name) })
	first := o.Settings.Bootstrap && o.Fresh
	votes := o.Known || first
	s.replica = accord.New(s.me.Name, o.Settings.FaultBudget.Machines, votes, disk)
	if s.settled = first; first {
		s.mark()
	}
	s.steer = newSteering(s)
	return s
}

// Run serves until the program ends.
func (s *Server) Run() {
	go s.accept()
	ticks := s.o.Clock.NewTicker(tickEvery)
	if s.founders != nil {
		s.found(s.founders)
	}
	for _, seed := range s.o.Settings.Seeds {
		s.dial(s.o.Settings.Peer(seed))
	}
	for {
		select {
		case f := <-s.queue:
			f()
		case <-ticks.Chan():
			s.tick()
		case <-s.stopped:
			return
		}
	}
}

// Stop ends Run.
func (s *Server) Stop() { s.once.Do(func() { close(s.stopped) }) }

func (s *Server) do(f func()) {
	select {
	case s.queue <- f:
	case <-s.stopped:
	}
}

// post is do for callbacks that may come on the owner's own goroutine, as those of the disk do when it refuses at
// once: they must not wait for it.
func (s *Server) post(f func()) {
	select {
	case s.queue <- f:
	default:
		go s.do(f)
	}
}

// now is the steady time since the start.
func (s *Server) now() time.Duration { return s.o.Clock.Now().Sub(s.began) }

func decode(name string, value []byte) accord.Register {
	u := func(at int) (v uint64) {
		for i := range 8 {
			v = v<<8 | uint64(value[at+i])
		}
		return v
	}
	return accord.Register{Name: strings.TrimPrefix(name, registerMark), Stamp: accord.Stamp{Hi: u(0), Lo: u(8)},
		Value: value[16:]}
}

func encode(r accord.Register) []byte {
	b := make([]byte, 16, 16+len(r.Value))
	for i := range 8 {
		b[i], b[8+i] = byte(r.Stamp.Hi>>(56-8*i)), byte(r.Stamp.Lo>>(56-8*i))
	}
	return append(b, r.Value...)
}

// step hands events to the replica and carries its orders out.
func (s *Server) step(events ...accord.Event) {
	for _, o := range s.replica.Step(s.now(), events...) {
		switch o := o.(type) {
		case accord.Persist:
			s.o.Disk.PutAsync(registerMark+o.Name, encode(o.Register), func(err error) {
				s.post(func() {
					if err != nil {
						s.diskFails++
						s.log.Error("the disk failed", "register", o.Name, "err", err)
					}
					s.step(accord.Persisted{Name: o.Name, Stamp: o.Stamp, Err: err})
				})
			})
		case accord.Send:
			if p := s.peers[o.To]; p != nil && p.out != nil {
				p.out.Send(o.Message)
			}
		case accord.InForce:
			s.inForce(o.Register)
		case accord.Done:
			if done := s.waiting[o.Token]; done != nil {
				delete(s.waiting, o.Token)
				done <- o
			}
		case accord.Complete:
			s.log.Info("the disk has read what it forgot")
			s.mark()
		}
	}
}

// mark writes down that this disk has forgotten nothing, again until the disk takes it.
func (s *Server) mark() {
	s.o.Disk.PutAsync(complete, []byte{1}, func(err error) {
		if err != nil {
			s.post(func() {
				s.log.Error("the mark of a whole disk could not be kept", "err", err)
				s.markAt = s.now() + markAgain
			})
		}
	})
}

// inForce tells carriers of what has become safe. They ask for a configuration where it is nearest to them.
func (s *Server) inForce(r accord.Register) {
	s.log.Info("in force", "register", r.Name, "hi", r.Stamp.Hi)
	m := &parley.Message{Safe: map[string]parley.Stamp{r.Name: r.Stamp}}
	if r.Name == charterName {
		c, err := charter.Read(r.Value)
		if err != nil { // it was checked before it was written
			s.log.Error("a configuration in force cannot be read", "err", err)
			return
		}
		s.charter = c
		s.steer.configured(c)
	} else {
		m.Offers = []parley.Register{r}
		s.steer.changed()
	}
	s.toCarriers(m)
}

func (s *Server) toCarriers(m *parley.Message) {
	body := parley.Pack(m) // once, for all lines
	for l := range s.carriers {
		l.SendPacked(body)
	}
}

// evacuated are the zones that nothing is to be sent to.
func (s *Server) evacuated() map[string]bool {
	out := map[string]bool{}
	for _, name := range s.replica.Names() {
		if zone, ok := strings.CutPrefix(name, zonePrefix); ok {
			if r, safe := s.replica.Newest(name); safe && accord.Evacuated(r.Value) {
				out[zone] = true
			}
		}
	}
	return out
}

func (s *Server) tick() {
	now := s.now()
	if s.tickAt > 0 && now-s.tickAt > wokeLate {
		s.doubtTill = now + distrustFor
		s.log.Warn("this process did not run", "for", now-s.tickAt)
	}
	s.tickAt = now
	if s.founders == nil {
		s.gather(now)
	}
	s.step()
	if now >= s.pingAt+pingEvery {
		s.pingAt = now
		for _, p := range s.peers {
			if p.out != nil {
				p.out.Send(&parley.Message{Renew: 1})
			}
		}
		s.expire(now)
	}
	s.flush()
	s.steer.step(now)
	if s.markAt > 0 && now >= s.markAt {
		s.markAt = 0
		s.mark()
	}
	for seq, w := range s.words {
		if now > w.until {
			delete(s.words, seq)
			w.done <- fault.New(fault.Unsafe, "", nil)
		}
	}
	// Nobody who knows more is there: all founders have told what they know, or what beats say is all there is.
	if !s.settled && (s.metAll() || now > 2*s.o.Settings.Beat.Span()) {
		s.settled = true
		s.toCarriers(&parley.Message{Settled: true})
	}
}

func (s *Server) expire(now time.Duration) {
	if news := s.table.Tick(now); len(news) > 0 {
		s.toCarriers(&parley.Message{Backends: news})
		s.steer.changed()
	}
	// Once a second and as changes: while a fleet starts, each member told at once to each would be its square.
	if went, came := s.table.Changes(now); len(went)+len(came) > 0 {
		s.toCarriers(&parley.Message{Went: went, Came: came})
		s.steer.changed()
	}
}

// gather settles who the founders are, once, where nobody knows of any: the first of the seeds, which are the same for
// all and up at the first start, waits until nobody new comes and writes them down before it tells them. One decider
// with a disk needs no vote; a disk that it loses after that is not asked again, as bootstrap is false then.
func (s *Server) gather(now time.Duration) {
	set := s.o.Settings
	if !set.Bootstrap || len(set.Seeds) == 0 || set.Peer(set.Seeds[0]) != s.me.Address || !s.replica.Votes() {
		return
	}
	enough := len(s.joined)+1 >= 2*set.FaultBudget.Machines+1
	if now < s.joinedAt+gatherFor || !enough && now < gatherMost {
		return
	}
	all := append(slices.Collect(maps.Values(s.joined)), s.me)
	slices.SortFunc(all, func(a, b parley.Controller) int { return strings.Compare(a.Name, b.Name) })
	s.keepFounders(all)
}

// keepFounders writes the founders down, then counts by them.
func (s *Server) keepFounders(all []parley.Controller) {
	if s.founders != nil || s.founding {
		return
	}
	s.founding = true // nobody is told before the disk has them, and no second set is taken meanwhile
	text, _ := json.Marshal(all)
	s.o.Disk.PutAsync(founders, text, func(err error) {
		s.post(func() {
			if s.founding = false; err != nil {
				s.log.Error("founders could not be kept", "err", err)
				return
			}
			s.founders = all
			s.found(all)
		})
	})
}

func (s *Server) found(all []parley.Controller) {
	names := []string{}
	for _, f := range all {
		names = append(names, f.Name)
		s.dial(f.Address)
	}
	s.log.Info("founders", "names", fmt.Sprint(names))
	s.step(accord.Found{Founders: names})
	m := &parley.Message{Founders: all}
	for _, p := range s.peers {
		if p.out != nil {
			p.out.Send(m)
		}
	}
	s.toCarriers(m)
}

// metAll says whether all other founders have told their first words on the lines that stand.
func (s *Server) metAll() bool {
	for _, f := range s.founders {
		if p := s.peers[f.Name]; f.Name != s.me.Name && (p == nil || p.out == nil || !p.told) {
			return false
		}
	}
	return len(s.founders) > 0
}

// know takes word of controllers.
func (s *Server) know(all ...parley.Controller) {
	for _, c := range all {
		if c.Name != "" && c.Name != s.me.Name && c.Address != "" {
			s.dial(c.Address)
		}
	}
}

func (s *Server) known() []parley.Controller {
	all := []parley.Controller{s.me}
	for _, p := range s.peers {
		if p.who.Name != "" {
			all = append(all, p.who)
		}
	}
	slices.SortFunc(all, func(a, b parley.Controller) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// later tells carriers of what comes, gathered for as long as telling all of them is work, and at once of what leaves
// or turned cold. Few carriers are told at once: after a loss of all each moment without backends is lost.
func (s *Server) later(news []parley.Backend) {
	wait := time.Duration(len(s.carriers)) * gatherEach
	first := len(s.pending) == 0
	s.pending = append(s.pending, news...)
	urgent := wait < gatherLeast
	for _, b := range news {
		urgent = urgent || b.State != parley.Ready || b.ColdLeft > 0
	}
	switch {
	case urgent:
		s.flush()
	case first && wait < tickEvery: // else the tick does it
		s.o.Clock.AfterFunc(wait, func() { s.post(s.flush) })
	}
}

// flush tells carriers what has gathered since the last tick.
func (s *Server) flush() {
	if len(s.pending) > 0 {
		s.toCarriers(&parley.Message{Backends: s.pending})
		s.pending = nil
	}
}

// packed is the whole list for a carrier that is steered here, made once a tick at most.
func (s *Server) packed() []byte {
	if now := s.now(); s.list == nil || now >= s.listAt+tickEvery {
		s.flush()
		s.list, s.listAt = parley.Pack(&parley.Message{Backends: s.table.All(now)}), now
	}
	return s.list
}
