package tenancy

import (
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"elmfold/internal/bench/report"
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/policy"
)

const (
	stepProxies, stepBackends, stepSize = 5000, 500, 2
)

func stepCommand() *cobra.Command {
	var w report.Where
	c := &cobra.Command{
		Use:   "cells-step",
		Short: "time of a step at 5,000 proxies and 500 backends when one backend comes, when one tenant moves",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return playSteps(w) },
	}
	w.Flags(c)
	return c
}

// stage is cells before the decisions, as the desk has them.
type stage struct {
	c   *tenancy.Manager
	a   *policy.Assigner
	now policy.Time
}

// step gives the time that each took and how many proxies were told of another set.
func (s *stage) step(events []tenancy.Event, also []policy.Event) (inCells, inChoice time.Duration, told int) {
	s.now += policy.Second
	began := time.Now()
	orders := s.c.Step(s.now, events)
	inCells = time.Since(began)
	for _, o := range orders {
		if a, ok := o.(policy.ProxyRestricted); ok {
			also = append(also, a)
			told++
		}
	}
	began = time.Now()
	s.a.Step(s.now, append(also, policy.TimerFired{}))
	return inCells, time.Since(began), told
}

func stageFor(plan tenancy.Plan, list []tenancy.Backend) *stage {
	d := policy.Deployment{
		Products:        []policy.Product{{Revenue: 1, SLA: 8000}, {Revenue: 2, SLA: 8000, OwnZone: true}},
		Zones:           2,
		Proxies:         stepProxies,
		HonorRemovals:   true,
		WarmupTime:      10 * policy.Second,
		WarmupCapacity:  0.3,
		WarmupOverload:  3,
		MinConns:        4000,
		LinesPerSecond:  1e6,
		MaxQueuedLines:  1e7,
		MessageOverhead: 6,
		MessageWindow:   10 * policy.Second,
	}
	plan.Products, plan.Zones, plan.WarmupTime = d.Products, 2, d.WarmupTime
	s := &stage{c: tenancy.New(stepProxies), a: policy.New(d), now: 1000 * policy.Second}
	events := []tenancy.Event{tenancy.ListUpdate{Backends: list}, tenancy.PlanUpdate{Plan: plan}}
	var also []policy.Event
	entries := make([]policy.Entry, 0, len(list))
	for _, b := range list {
		entries = append(entries, policy.Entry{Backend: b.Index, Zone: b.Zone, Status: policy.Ready, Weight: 1})
	}
	also = append(also, policy.ListUpdate{Kind: policy.ListFull, Entries: entries})
	for i := range stepProxies {
		events = append(events, tenancy.ProxyConnected{Proxy: i, Zone: i % 2})
		also = append(also, policy.ProxyConnected{Proxy: i, Zone: i % 2, Rate: 5})
	}
	s.step(events, also)
	for range 3 {
		s.step(nil, nil)
	}
	return s
}

func playSteps(w report.Where) error {
	var list []tenancy.Backend
	for i := range stepBackends {
		list = append(
			list,
			tenancy.Backend{Index: i, ID: fmt.Sprintf("s-%d-%03d", w.Seed, i), Zone: i % 2, Status: policy.Ready, Weight: 1},
		)
	}
	shuffled, moved := tenancy.DefaultPlan(), tenancy.DefaultPlan()
	shuffled.Shuffle, shuffled.ShardSize = true, stepSize
	for i := range 20 {
		moved.Cells = append(moved.Cells, tenancy.Cell{Name: fmt.Sprint("c", i), Share: 1})
	}
	for i := range stepProxies {
		shuffled.Tenants = append(shuffled.Tenants, tenancy.Tenant{Name: fmt.Sprint("t", i), Proxies: []int{i}})
	}
	for i := range 500 {
		t := tenancy.Tenant{Name: fmt.Sprint("t", i), Cell: fmt.Sprint("c", i%20)}
		for j := range 10 {
			t.Proxies = append(t.Proxies, i*10+j)
		}
		moved.Tenants = append(moved.Tenants, t)
	}
	r := report.New(
		"cells-step",
		w.Seed,
		fmt.Sprintf("%d proxies, %d backends", stepProxies, stepBackends),
		"cells, ms",
		"choice, ms",
		"proxies told",
		"least possible",
	)
	millis := func(d time.Duration) string { return report.Ms(float64(d) / float64(time.Millisecond)) }

	s := stageFor(shuffled, list[:stepBackends-1])
	quiet, quietChoice, told := s.step(nil, nil)
	r.Row("shuffled, nothing happens", millis(quiet), millis(quietChoice), told, 0)
	enter := 0
	plan := shuffled
	plan.Products, plan.Zones = []policy.Product{{}, {OwnZone: true}}, 2
	for _, t := range plan.Tenants {
		if slices.Contains(plan.AssignedBackends(t, list), stepBackends-1) {
			enter++
		}
	}
	inCells, inChoice, told := s.step(
		[]tenancy.Event{tenancy.ListUpdate{Backends: list}},
		[]policy.Event{
			policy.ListUpdate{Entries: []policy.Entry{{Backend: stepBackends - 1, Zone: 1, Status: policy.Ready, Weight: 1}}},
		},
	)
	r.Row("shuffled, one backend comes", millis(inCells), millis(inChoice), told, enter)
	if told != enter {
		r.Missed = append(r.Missed, fmt.Sprintf("%d proxies are told, the sets of %d change", told, enter))
	}
	s = stageFor(moved, list)
	quiet, quietChoice, told = s.step(nil, nil)
	r.Row("20 fixed cells, nothing happens", millis(quiet), millis(quietChoice), told, 0)
	inCells, inChoice, told = s.step([]tenancy.Event{tenancy.Move{Tenant: "t0", Cell: "c1"}}, nil)
	r.Row("20 fixed cells, a tenant of 10 proxies begins to move", millis(inCells), millis(inChoice), told, 3)
	worst, all := time.Duration(0), 0
	for range 30 {
		a, _, n := s.step(nil, nil)
		worst, all = max(worst, a), all+n
	}
	r.Row("... its other steps, the longest, all told", millis(worst), "", all, 17)
	inCells, inChoice, told = s.step([]tenancy.Event{tenancy.ListUpdate{Backends: list[:stepBackends-1]}},
		[]policy.Event{policy.ListUpdate{Entries: []policy.Entry{{Backend: stepBackends - 1, Status: policy.Gone}}}})
	r.Row("20 fixed cells, one backend goes", millis(inCells), millis(inChoice), told, 250)
	r.Figure = fmt.Sprintf(
		"one backend that comes to %d: %s ms in cells, %d of %d proxies told, %d is the least",
		stepBackends,
		r.Rows[1].Figures[0],
		enter,
		stepProxies,
		enter,
	)
	return r.Leave(w.Out)
}
