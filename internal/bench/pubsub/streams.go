package pubsub

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/pubsub"
	"elmfold/internal/controller/pubsub/session"
	"elmfold/internal/controller/server"
	"elmfold/internal/controller/textproto"
	"elmfold/internal/fakes/link"
)

// beside is what the same orders showed on the platform's streams.
type beside struct {
	missing, resynced int // proxies that lack an order; lines that were sent again though they had taken effect
	joinings          int64
	delays            []float64
	synced            time.Duration
}

// playStreams sends the same orders as text. Who comes again after a cut is sent its whole table, as the desk does.
func playStreams(seed uint64) (b beside, err error) {
	conns := make([]atomic.Pointer[server.Conn], chanProxies)
	all := make([]*subscriber, chanProxies)
	for i := range all {
		all[i] = &subscriber{want: map[string]float64{}, table: map[string]session.Value{}, at: map[string]time.Time{}}
	}
	var joinings, again atomic.Int64
	hear := func(from *server.Conn, said any) {
		j, ok := said.(textproto.Subscribe)
		if !ok {
			return
		}
		joinings.Add(1)
		s := all[j.Proxy]
		s.mu.Lock()
		defer s.mu.Unlock()
		var lines []textproto.BackendWeight
		for id, weight := range s.want {
			lines = append(lines, textproto.BackendWeight{Backend: id, Weight: weight})
			if s.table[pubsub.WeightKey("look", id)].Number == weight {
				again.Add(1)
			}
		}
		from.Send(textproto.Append(nil, []textproto.Part{{Products: []string{"look"}, Full: true, Weights: lines}}))
		conns[j.Proxy].Store(from)
	}
	ln, err := server.Listen("127.0.0.1:0", 1<<30, 2*chanProxies+100, hear, report.DiscardLogger())
	if err != nil {
		return b, err
	}
	defer ln.Close()
	go func() { _ = ln.Serve() }()
	cuts, err := link.New(ln.Addr().String(), nil)
	if err != nil {
		return b, err
	}
	defer cuts.Close()
	var over atomic.Bool
	defer over.Store(true)
	for i, s := range all {
		addr := ln.Addr().String()
		if i < int(interruption*chanProxies) {
			addr = cuts.Addr()
		}
		go func() {
			for pause := 20 * time.Millisecond; !over.Load(); time.Sleep(pause) {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					continue
				}
				_, _ = fmt.Fprintf(c, "SUBSCRIBE node=%d locality=a w=1 cold=0\r\n", i)
				s.readText(c, i >= chanProxies-chanSlow)
				_ = c.Close()
			}
		}()
	}
	for end := time.Now().Add(deliveryTimeout); joinings.Load() < chanProxies; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return b, fmt.Errorf("%d of %d have joined streams", joinings.Load(), chanProxies)
		}
	}
	chance := rand.New(rand.NewPCG(seed, 19))
	began := time.Now()
	for n := range chanOrders {
		i, id, weight := drawOrder(chance, n)
		s := all[i]
		s.mu.Lock()
		s.order(id, weight)
		conns[i].Load().Send(
			textproto.Append(
				nil,
				[]textproto.Part{{Products: []string{"look"}, Weights: []textproto.BackendWeight{{Backend: id, Weight: weight}}}},
			),
		)
		s.mu.Unlock()
		if n > 0 && n%(chanOrders/(interruptions+1)) == 0 {
			cuts.CutAll()
		}
		if n%2000 == 1999 {
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.missing = chanProxies
	end := time.Now().Add(deliveryTimeout)
	for ; b.missing > 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		b.missing = 0
		for _, s := range all {
			if !s.right() {
				b.missing++
			}
		}
	}
	b.synced, b.resynced, b.joinings = time.Since(began), int(again.Load()), joinings.Load()
	for _, s := range all {
		s.mu.Lock()
		b.delays = append(b.delays, s.delays...)
		s.mu.Unlock()
	}
	return b, nil
}

// readText applies a stream's text until it ends.
func (s *subscriber) readText(c net.Conn, slow bool) {
	in := bufio.NewScanner(c)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		if slow {
			time.Sleep(chanSlowness)
		}
		s.mu.Lock()
		for _, word := range strings.Fields(in.Text()) {
			name, value, _ := strings.Cut(word, "=")
			if name == "whole" {
				clear(s.table)
			}
			if name != "lines" {
				continue
			}
			for _, l := range strings.Split(value, ",") {
				id, text, _ := strings.Cut(l, ":")
				weight, _ := strconv.ParseFloat(text, 64)
				key := pubsub.WeightKey("look", id)
				if s.table[key] = (session.Value{Number: weight}); weight == 0 {
					delete(s.table, key)
				}
				if at, waits := s.at[id]; waits && weight == s.want[id] {
					s.delays = append(s.delays, float64(time.Since(at))/float64(time.Millisecond))
					delete(s.at, id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// costs are ns of one core for an order of two lines: as text; as values, settled and encoded.
func costs() (text, values float64) {
	const rounds = 200000
	parts := []textproto.Part{
		{
			Products: []string{"look"},
			Weights:  []textproto.BackendWeight{{Backend: "s-01", Weight: 1}, {Backend: "s-02", Weight: 2}},
		},
	}
	began := time.Now()
	var buffer []byte
	for i := range rounds {
		parts[0].Weights[0].Weight = float64(i)
		buffer = textproto.Append(buffer[:0], parts)
	}
	text = float64(time.Since(began).Nanoseconds()) / rounds
	all, orders := session.New(session.DefaultConfig(1)), pubsub.OrderEncoder{}
	all.Step(1, []session.Event{session.Opened{Conn: 1, Topic: "orders/1", Owner: true, Credit: 16}})
	began = time.Now()
	for i := range rounds {
		parts[0].Weights[0].Weight = float64(i)
		sets, mark := orders.Updates(nil, parts)
		for _, o := range all.Step(1, []session.Event{session.TopicChanged{Topic: "orders/1", Updates: sets, Marker: mark}}) {
			if m, ok := o.(session.Send); ok {
				_ = pubsub.Encode(pubsub.KindChange, pubsub.Message{Epoch: m.Epoch, Seq: m.Seq, Prev: m.Prev, Updates: m.Updates})
				all.Step(1, []session.Event{session.Acked{Conn: 1, Epoch: m.Epoch, Seq: m.Seq, AddedCredit: 1}})
			}
		}
	}
	return text, float64(time.Since(began).Nanoseconds()) / rounds
}
