package proxy

import (
	"math"
	"testing"

	"elmfold/internal/gateway/routeconfig"
)

// Guards against shares that deviate from their weights, even over few requests at each of many proxies.
func TestTrafficSplit(t *testing.T) {
	config := &routeconfig.Config{}
	route := &routeconfig.Route{Services: []routeconfig.WeightedService{
		{Service: "a", Weight: 0.7}, {Service: "b", Weight: 0.2}, {Service: "c", Weight: 0.1}}}
	other := &routeconfig.Route{Services: []routeconfig.WeightedService{
		{Service: "a", Weight: 0.5}, {Service: "b", Weight: 0.5}}}
	const proxies, requests = 10, 20 // per proxy
	counts := map[string]int{}
	for range proxies {
		var splits trafficSplits
		for range requests {
			counts[splits.service(config, route)]++
			splits.service(config, other) // another route's requests between them change nothing
		}
	}
	for _, s := range route.Services {
		share := float64(counts[s.Service]) / (proxies * requests)
		if math.Abs(share-s.Weight) > 0.05 {
			t.Errorf("%s has %.3f of the requests, its weight is %.3f", s.Service, share, s.Weight)
		}
	}
}

func TestTrafficSplitResetsWithConfiguration(t *testing.T) {
	var splits trafficSplits
	route := &routeconfig.Route{Services: []routeconfig.WeightedService{
		{Service: "a", Weight: 0.5}, {Service: "b", Weight: 0.5}}}
	splits.service(&routeconfig.Config{Version: 1}, route)
	splits.service(&routeconfig.Config{Version: 2}, &routeconfig.Route{Services: route.Services})
	if len(splits.next) != 1 {
		t.Errorf("%d routes are kept, want only those of the current configuration", len(splits.next))
	}
	single := &routeconfig.Route{Services: []routeconfig.WeightedService{{Service: "a", Weight: 1}}}
	if splits.service(&routeconfig.Config{}, single) != "a" || splits.config.Version != 2 {
		t.Error("a route with one service uses the sequence")
	}
}
