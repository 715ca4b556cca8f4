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

// Kinds of messages.
const (
	kindRequest uint8 = iota + 1
	kindPartial
	kindTotal
)

const (
	roundInterval = time.Second
	usageSamples  = 5.0 // smoothing window of the moving average of usage
)

// LoadAggregator exchanges attempt reports and product usage with the other instances. Each round, a request travels
// down the aggregation tree, partial sums travel up, and totals travel down.
type LoadAggregator struct {
	fleet     *Fleet
	onSummary func(aggregation.Summary) // must not block
	startTime time.Time
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu           sync.Mutex
	node         *aggregation.Node
	usage        map[usageKey]float64
	pendingRound int // 0: none
	round        int
}

type usageKey struct {
	proxy         int
	product, zone string
}

// StartLoadAggregator starts the aggregation rounds; onSummary receives the sums of the other instances.
func (f *Fleet) StartLoadAggregator(onSummary func(aggregation.Summary)) *LoadAggregator {
	s := &LoadAggregator{
		fleet:     f,
		onSummary: onSummary,
		startTime: time.Now(),
		node:      aggregation.New(f.config.Name, f.self.Incarnation),
		usage:     map[usageKey]float64{},
	}
	f.Handle(kindRequest, func(from string, body []byte) {
		var request aggregation.Request
		if cbor.Unmarshal(body, &request) == nil {
			s.handleRequest(from, request)
		}
	})
	f.Handle(kindPartial, func(from string, body []byte) {
		var partial aggregation.Partial
		if cbor.Unmarshal(body, &partial) == nil {
			s.handlePartial(from, partial)
		}
	})
	f.Handle(kindTotal, func(from string, body []byte) {
		var total aggregation.Total
		if cbor.Unmarshal(body, &total) == nil {
			s.handleTotal(from, total)
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
	ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(func() { s.roundLoop(ctx) })
	return s
}

// roundLoop starts a round at intervals while this instance is the root of the tree.
func (s *LoadAggregator) roundLoop(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			isRoot := s.node.Parent() == ""
			s.mu.Unlock()
			if isRoot {
				s.handleRequest("", aggregation.Request{Timeout: aggregation.RequestTimeout})
			}
		}
	}
}

// Close stops the rounds. The caller closes the fleet afterwards.
func (s *LoadAggregator) Close() {
	s.cancel()
	s.done.Wait()
}

func (s *LoadAggregator) now() time.Duration { return time.Since(s.startTime) }

// RecordAttempts adds attempts of the local proxies at a backend. The mean latency is that of the successful attempts.
func (s *LoadAggregator) RecordAttempts(backend string, attempts, failed float64, meanLatency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.Record(
		aggregation.Report{
			Backend:        backend,
			Attempts:       attempts,
			Failed:         failed,
			TotalLatencyMS: float64(meanLatency) / float64(time.Millisecond) * (attempts - failed),
		},
		s.now(),
	)
}

// RecordUsage adds a sample of the txns/s of a product at a proxy to its moving average.
func (s *LoadAggregator) RecordUsage(proxy int, product, zone string, txns float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := usageKey{proxy, product, zone}
	s.usage[key] += (txns - s.usage[key]) / usageSamples
}

// RemoveProxy discards the usage of a disconnected proxy.
func (s *LoadAggregator) RemoveProxy(proxy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.usage {
		if key.proxy == proxy {
			delete(s.usage, key)
		}
	}
}

// deferredSends holds messages to send after the mutex is released.
type deferredSends []func()

func (d deferredSends) send() {
	for _, send := range d {
		send()
	}
}

func (s *LoadAggregator) sendTo(name string, kind uint8, body any) func() {
	return func() { _ = s.fleet.Send(name, kind, body) } // a lost message is replaced in the next round
}

// handleRequest forwards a request of the parent to the children, and finishes the round once they have answered or
// the request times out.
func (s *LoadAggregator) handleRequest(from string, request aggregation.Request) {
	s.mu.Lock()
	var sends deferredSends
	defer func() { sends.send() }()
	defer s.mu.Unlock()
	if from != s.node.Parent() {
		return
	}
	s.round++
	s.pendingRound = s.round
	for _, name := range s.node.Children() {
		sends = append(sends, s.sendTo(name, kindRequest, request.ForChildren()))
	}
	if s.node.HasAllPartials() {
		sends = append(sends, s.finishRound()...)
		return
	}
	round := s.round
	time.AfterFunc(min(max(request.Timeout, 0), aggregation.RequestTimeout), func() {
		s.mu.Lock()
		var sends deferredSends
		if s.pendingRound == round {
			sends = s.finishRound()
		}
		s.mu.Unlock()
		sends.send()
	})
}

func (s *LoadAggregator) handlePartial(from string, partial aggregation.Partial) {
	s.mu.Lock()
	var sends deferredSends
	if s.node.HandlePartial(from, partial, s.now()) && s.pendingRound > 0 && s.node.HasAllPartials() {
		sends = s.finishRound()
	}
	s.mu.Unlock()
	sends.send()
}

func (s *LoadAggregator) handleTotal(from string, total aggregation.Total) {
	s.mu.Lock()
	sends := s.forwardTotal(s.node.HandleTotal(from, total, s.now()))
	s.mu.Unlock()
	sends.send()
}

// finishRound sends the partial sums of this round to the parent, or the total to the children if this instance is the
// root. The caller holds the mutex.
func (s *LoadAggregator) finishRound() (sends deferredSends) {
	s.pendingRound = 0
	usage := make([]aggregation.Usage, 0, len(s.usage))
	for key, txns := range s.usage {
		usage = append(usage, aggregation.Usage{Product: key.product, Zone: key.zone, Txns: txns})
	}
	slices.SortFunc(usage, func(a, b aggregation.Usage) int { return cmp.Compare(a.Txns, b.Txns) })
	s.node.SetUsage(usage)
	partial, total, childTotals := s.node.Flush(s.now())
	if partial != nil {
		sends = append(sends, s.sendTo(s.node.Parent(), kindPartial, *partial))
	}
	return append(sends, s.forwardTotal(total, childTotals)...)
}

// forwardTotal passes a total to onSummary and returns the messages that forward it to the children. The caller holds
// the mutex.
func (s *LoadAggregator) forwardTotal(
	total *aggregation.Summary,
	childTotals map[string]aggregation.Total,
) (sends deferredSends) {
	if total == nil {
		return nil
	}
	s.onSummary(*total)
	for _, name := range s.node.Children() {
		sends = append(sends, s.sendTo(name, kindTotal, childTotals[name]))
	}
	return sends
}
