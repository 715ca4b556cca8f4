package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elmfold/internal/controller/aggregation"
)

// Kinds of word that are in use.
const (
	kindRequest uint8 = iota + 1
	kindUp
	kindDown
)

const (
	tellEvery = time.Second
	useSpan   = 5.0 // reports that a use is the mean of
)

// LoadAggregator tells on what the own proxies met and are asked for, and hears what the others' did.
type LoadAggregator struct {
	fleet *Fleet
	tell  func(aggregation.Summary) // must not wait
	began time.Time
	stop  context.CancelFunc
	done  sync.WaitGroup

	mu    sync.Mutex
	node  *aggregation.Node
	uses  map[use]float64
	waits int // turn that is under way; 0: none
	turn  int
}

type use struct {
	proxy         int
	product, zone string
}

// StartLoadAggregator begins to tell sums on; others' totals go to tell.
func (f *Fleet) StartLoadAggregator(tell func(aggregation.Summary)) *LoadAggregator {
	s := &LoadAggregator{
		fleet: f,
		tell:  tell,
		began: time.Now(),
		node:  aggregation.New(f.plan.Name, f.self.Incarnation),
		uses:  map[use]float64{},
	}
	f.Handle(kindRequest, func(from string, body []byte) {
		var a aggregation.Request
		if cbor.Unmarshal(body, &a) == nil {
			s.asked(from, a)
		}
	})
	f.Handle(kindUp, func(from string, body []byte) {
		var up aggregation.Partial
		if cbor.Unmarshal(body, &up) == nil {
			s.handle(from, up)
		}
	})
	f.Handle(kindDown, func(from string, body []byte) {
		var d aggregation.Total
		if cbor.Unmarshal(body, &d) == nil {
			s.take(from, d)
		}
	})
	f.Watch(func(all []Peer) {
		s.mu.Lock()
		defer s.mu.Unlock()
		names := make([]string, 0, len(all))
		for _, p := range all {
			names = append(names, p.Name)
		}
		s.node.SetMembers(names)
	})
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	s.done.Go(func() {
		for every := time.NewTicker(tellEvery); ; {
			select {
			case <-ctx.Done():
				every.Stop()
				return
			case <-every.C:
				s.mu.Lock()
				root := s.node.Parent() == ""
				s.mu.Unlock()
				if root {
					s.asked("", aggregation.Request{Timeout: aggregation.RequestTimeout})
				}
			}
		}
	})
	return s
}

// Close ends it; the fleet is closed after it.
func (s *LoadAggregator) Close() {
	s.stop()
	s.done.Wait()
}

func (s *LoadAggregator) now() time.Duration { return time.Since(s.began) }

// RecordAttempts adds attempts that the local proxies made at a backend; took is the mean latency of successful ones.
func (s *LoadAggregator) RecordAttempts(backend string, tries, voided float64, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.Record(
		aggregation.Report{
			Backend:        backend,
			Attempts:       tries,
			Failed:         voided,
			TotalLatencyMS: float64(took) / float64(time.Millisecond) * (tries - voided),
		},
		s.now(),
	)
}

// RecordUsage adds a sample of the txns/s of a product that arrive at a proxy.
func (s *LoadAggregator) RecordUsage(proxy int, product, zone string, txns float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := use{proxy, product, zone}
	s.uses[at] += (txns - s.uses[at]) / useSpan
}

// RemoveProxy drops the usage of a proxy that has left.
func (s *LoadAggregator) RemoveProxy(proxy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := range s.uses {
		if at.proxy == proxy {
			delete(s.uses, at)
		}
	}
}

// reportList are what is to be sent once the mutex is let go.
type reportList []func()

func (w reportList) send() {
	for _, do := range w {
		do()
	}
}

func (s *LoadAggregator) to(name string, kind uint8, body any) func() {
	return func() { _ = s.fleet.Send(name, kind, body) } // what is lost is lost: the next second's comes
}

// asked passes the question on and answers it once those below have, or the time is over.
func (s *LoadAggregator) asked(from string, a aggregation.Request) {
	s.mu.Lock()
	var out reportList
	defer func() { out.send() }()
	defer s.mu.Unlock()
	if from != s.node.Parent() {
		return
	}
	s.turn++
	s.waits = s.turn
	for _, name := range s.node.Children() {
		out = append(out, s.to(name, kindRequest, a.ForChildren()))
	}
	if s.node.HasAllPartials() {
		out = append(out, s.answer()...)
		return
	}
	turn := s.turn
	time.AfterFunc(min(max(a.Timeout, 0), aggregation.RequestTimeout), func() {
		s.mu.Lock()
		var out reportList
		if s.waits == turn {
			out = s.answer()
		}
		s.mu.Unlock()
		out.send()
	})
}

func (s *LoadAggregator) handle(from string, up aggregation.Partial) {
	s.mu.Lock()
	var out reportList
	if s.node.HandlePartial(from, up, s.now()) && s.waits > 0 && s.node.HasAllPartials() {
		out = s.answer()
	}
	s.mu.Unlock()
	out.send()
}

func (s *LoadAggregator) take(from string, d aggregation.Total) {
	s.mu.Lock()
	out := s.down(s.node.HandleTotal(from, d, s.now()))
	s.mu.Unlock()
	out.send()
}

// answer closes a turn; the mutex is held.
func (s *LoadAggregator) answer() (out reportList) {
	s.waits = 0
	all := make([]aggregation.Usage, 0, len(s.uses))
	for at, txns := range s.uses {
		all = append(all, aggregation.Usage{Product: at.product, Zone: at.zone, Txns: txns})
	}
	slices.SortFunc(all, func(a, b aggregation.Usage) int { return cmp.Compare(a.Txns, b.Txns) })
	s.node.SetUsage(all)
	up, total, on := s.node.Flush(s.now())
	if up != nil {
		out = append(out, s.to(s.node.Parent(), kindUp, *up))
	}
	return append(out, s.down(total, on)...)
}

func (s *LoadAggregator) down(total *aggregation.Summary, on map[string]aggregation.Total) (out reportList) {
	if total == nil {
		return nil
	}
	s.tell(*total)
	for _, name := range s.node.Children() {
		out = append(out, s.to(name, kindDown, on[name]))
	}
	return out
}
