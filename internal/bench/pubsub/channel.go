// Package pubsub plays the pub-sub channel and the streams beside it.
package pubsub

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/pubsub"
	"elmfold/internal/controller/pubsub/client"
	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/fakes/link"
	"elmfold/internal/policy"
)

const (
	chanProxies, chanOrders, chanSlow = 2000, 200000, 50
	interruption                      = 0.43 // of the proxies, three times
	interruptions, chanBackends       = 3, 60
	chanSlowness                      = 30 * time.Millisecond // for each message
	deliveryTimeout                   = 2 * time.Minute       // for all to hold what was ordered
)

// Commands of the lab.
func Commands() []*cobra.Command {
	return []*cobra.Command{channelCommand()}
}

func channelCommand() *cobra.Command {
	var w report.Where
	c := &cobra.Command{
		Use: "channel",
		Short: "2,000 proxies subscribe on loopback, 43% are cut off three times, 50 are slow: orders sent, applied, " +
			"twice, missing",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return playChannel(w) },
	}
	w.Flags(c)
	return c
}

// subscriber is a stand-in proxy, and what was ordered for it.
type subscriber struct {
	mu      sync.Mutex
	want    map[string]float64 // weight by backend
	table   map[string]session.Value
	seen    map[uint64]bool // epoch and number that took effect
	twice   int
	effects int
	largest int // sets that took effect at once
	same    int // ... that stood there already
	delays  []float64
	at      map[string]time.Time // of the last order for a backend, until it took effect
}

func playChannel(w report.Where) error {
	names := flatsettings.Names{Products: []string{"look"}, Zones: []string{"a"}, Kinds: []string{"s"}}
	streams, joined := make([]atomic.Pointer[eventloop.PartStream], chanProxies), atomic.Int64{}
	var left atomic.Int64
	// The desk's part is played here: it takes joinings, and orders as fast as it can.
	hear := func(n eventloop.Command) {
		switch said := n.Message.(type) {
		case textproto.Subscribe:
			if s, ok := n.From.(eventloop.PartStream); ok {
				streams[said.Proxy].Store(&s)
				joined.Add(1)
			}
		case textproto.Closed:
			left.Add(1)
		}
	}
	hub, err := pubsub.Listen(
		pubsub.Config{Listen: "127.0.0.1:0", Linger: time.Minute, MaxObservers: 4},
		chanProxies,
		names,
		hear,
		report.DiscardLogger(),
	)
	if err != nil {
		return err
	}
	defer hub.Close()
	cuts, err := link.New(hub.Addr(), nil)
	if err != nil {
		return err
	}
	defer cuts.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	all := make([]*subscriber, chanProxies)
	for i := range all {
		s := &subscriber{
			want:  map[string]float64{},
			table: map[string]session.Value{},
			seen:  map[uint64]bool{},
			at:    map[string]time.Time{},
		}
		all[i] = s
		addr := hub.Addr()
		if i < int(interruption*chanProxies) {
			addr = cuts.Addr()
		}
		slow := i >= chanProxies-chanSlow
		go func() {
			_ = client.Run(ctx, client.Options{Addresses: []string{addr}, MinBackoff: 20 * time.Millisecond,
				Hello:    pubsub.Hello{Topic: fmt.Sprint(pubsub.OrdersTopicPrefix, i), Owner: true, Zone: "a", Rate: 1},
				OnChange: func(c *session.Replica, keys []string) { s.took(c, keys, slow) }})
		}()
	}
	for over := time.Now().Add(deliveryTimeout); joined.Load() < chanProxies; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(over) {
			return fmt.Errorf("%d of %d have joined", joined.Load(), chanProxies)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perSession := float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse) / chanProxies
	chance := rand.New(rand.NewPCG(w.Seed, 19))
	began, sent, most := time.Now(), 0, 0
	for n := range chanOrders {
		i, id, weight := drawOrder(chance, n)
		s := all[i]
		s.mu.Lock()
		s.order(id, weight)
		s.mu.Unlock()
		(*streams[i].Load()).SendParts([]textproto.Part{{Weights: []textproto.BackendWeight{{Backend: id, Weight: weight}}}})
		sent++
		if n > 0 && n%(chanOrders/(interruptions+1)) == 0 {
			cuts.CutAll()
		}
		if n%2000 == 1999 { // 200,000 in some seconds, not in an instant
			for _, s := range all {
				most = max(most, s.lacks())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	ordered := time.Since(began)
	missing := chanProxies
	over := time.Now().Add(deliveryTimeout)
	for ; missing > 0 && time.Now().Before(over); time.Sleep(20 * time.Millisecond) {
		missing = 0
		for _, s := range all {
			if !s.right() {
				missing++
			}
		}
	}
	settled := time.Since(began)
	twice, effects, largest, same := 0, 0, 0, 0
	var delays []float64
	for _, s := range all {
		s.mu.Lock()
		twice, effects, largest = twice+s.twice, effects+s.effects, max(largest, s.largest)
		same += s.same
		delays = append(delays, s.delays...)
		s.mu.Unlock()
	}
	stop()
	hub.Close()
	other, err := playStreams(w.Seed)
	if err != nil {
		return err
	}
	text, packed := sizes()
	asText, asValues := costs()
	r := report.New(
		"channel",
		w.Seed,
		fmt.Sprintf(
			"%d proxies on loopback, %.0f%% cut off %d times, %d slow by %v a message",
			chanProxies,
			100*interruption,
			interruptions,
			chanSlow,
			chanSlowness,
		),
		"channel",
		"streams",
	)
	r.Row("orders sent", sent, sent)
	r.Row("messages that took effect", effects, "")
	r.Row("lines sent again though they had taken effect", same, other.resynced)
	r.Expect("messages that took effect twice", twice, 0)
	r.Expect("proxies that lack an order at the end", missing, 0)
	r.Row("proxies that lack an order at the end, streams", "", other.missing)
	r.Expect("joinings", int(joined.Load()), chanProxies)
	r.Row("joinings, streams", "", other.joinings)
	r.Expect("leavings", int(left.Load()), 0)
	r.Row(fmt.Sprintf("most sets in a message (a topic holds %d keys)", chanBackends), largest)
	r.Row(
		fmt.Sprintf(
			"greatest backlog of a proxy, values not in effect yet, sampled each 2,000 orders (bound: %d)",
			chanBackends,
		),
		most,
	)
	if most > chanBackends || largest > chanBackends {
		r.Missed = append(
			r.Missed,
			fmt.Sprintf("a message of %d sets, a backlog of %d, where a topic holds %d", largest, most, chanBackends),
		)
	}
	r.Row(
		"ms from order to effect, median",
		report.Ms(report.Part(delays, 0.5)),
		report.Ms(report.Part(other.delays, 0.5)),
	)
	r.Row(
		"... 99th percentile (cuts and slow ones are among them)",
		report.Ms(report.Part(delays, 0.99)),
		report.Ms(report.Part(other.delays, 0.99)),
	)
	r.Row(
		"s of ordering; until all held it",
		fmt.Sprintf("%.1f; %.1f", ordered.Seconds(), settled.Seconds()),
		fmt.Sprintf("%.1f", other.synced.Seconds()),
	)
	r.Row("kB of heap and stacks a session, both sides and the stand-in", fmt.Sprintf("%.0f", perSession/1000))
	r.Row("bytes of a first table", packed[0], text[0])
	r.Row("bytes of a change of two lines", packed[1], text[1])
	r.Row(
		"us of one core for an order of two lines, settled and encoded",
		report.Ms(asValues/1000),
		report.Ms(asText/1000),
	)
	r.Figure = fmt.Sprintf(
		"seed %d: %d orders, twice %d, missing %d, %s ms to effect at the median",
		w.Seed,
		sent,
		twice,
		missing,
		report.Ms(report.Part(delays, 0.5)),
	)
	return r.Leave(w.Out)
}

// drawOrder is the nth order: a weight that no other has, or 0, for a backend's line at a proxy.
func drawOrder(chance *rand.Rand, n int) (proxy int, backend string, weight float64) {
	proxy, backend, weight = chance.IntN(chanProxies), fmt.Sprint("s-", chance.IntN(chanBackends)), float64(n+1)
	if chance.IntN(6) == 0 {
		weight = 0
	}
	return proxy, backend, weight
}

// order notes what is ordered; the lock is held.
func (s *subscriber) order(id string, weight float64) {
	if s.want[id], s.at[id] = weight, time.Now(); weight == 0 {
		delete(s.want, id)
		delete(s.at, id)
	}
}

// took notes what took effect.
func (s *subscriber) took(c *session.Replica, keys []string, slow bool) {
	if slow {
		time.Sleep(chanSlowness)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	number := c.Epoch<<32 | uint64(c.Seq)
	if s.seen[number] {
		s.twice++
	}
	s.seen[number] = true
	s.effects++
	s.same = c.Unchanged
	s.largest = max(s.largest, len(keys))
	for _, k := range keys {
		v, there := c.State[k]
		if s.table[k] = v; !there {
			delete(s.table, k)
		}
		id := session.SplitKey(k)[2]
		if at, waits := s.at[id]; waits && there && v.Number == s.want[id] {
			s.delays = append(s.delays, float64(time.Since(at))/float64(time.Millisecond))
			delete(s.at, id)
		}
	}
}

// lacks counts the values that differ from what was ordered.
func (s *subscriber) lacks() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, weight := range s.want {
		if s.table[pubsub.WeightKey("look", id)].Number != weight {
			n++
		}
	}
	for key := range s.table {
		if _, wanted := s.want[session.SplitKey(key)[2]]; !wanted {
			n++
		}
	}
	return n
}

// right says whether it holds what was ordered.
func (s *subscriber) right() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.table) != len(s.want) {
		return false
	}
	for id, weight := range s.want {
		if s.table[pubsub.WeightKey("look", id)].Number != weight {
			return false
		}
	}
	return true
}

// sizes are bytes of a first table and of a change, as text of the platform and on the channel.
func sizes() (text, packed [2]int) {
	var lines []textproto.BackendWeight
	var sets []session.Update
	for i := range 12 {
		id := fmt.Sprintf("s-%08x", i*7919)
		lines = append(lines, textproto.BackendWeight{Backend: id, Weight: 0.5 + float64(i)/7})
		sets = append(
			sets,
			session.Update{Key: pubsub.WeightKey("fetch-result", id), Value: session.Value{Number: 0.5 + float64(i)/7}},
		)
	}
	gate := textproto.Part{
		Products:  []string{"fetch-result"},
		Admission: &textproto.Admission{RateLimit: 12.5, Retries: policy.RetryUnexecuted},
		HasMarker: true,
		Marker:    905,
	}
	whole := textproto.Append(
		nil,
		[]textproto.Part{{Products: []string{"fetch-result"}, Full: true, Weights: lines}, gate},
	)
	change := textproto.Append(
		nil,
		[]textproto.Part{{Products: []string{"fetch-result"}, Weights: lines[:2], HasMarker: true, Marker: 906}},
	)
	admission := session.Value{Number: 12.5, Integer: 1}
	sets = append(sets, session.Update{Key: pubsub.AdmissionKey("fetch-result"), Value: admission})
	text = [2]int{len(whole), len(change)}
	packed = [2]int{len(pubsub.Encode(pubsub.KindSnapshot, pubsub.Message{Epoch: 1 << 60, Seq: 900, Updates: sets})),
		len(pubsub.Encode(pubsub.KindChange, pubsub.Message{Epoch: 1 << 60, Seq: 901, Prev: 900, Updates: sets[:2]}))}
	return text, packed
}
