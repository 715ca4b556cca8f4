//go:build wasip1

// Monthend is an example plug-in for the load peak at the end of a month. While the demand of all tenants exceeds the
// capacity of the backends, it sheds a tenth of the transactions of each tenant whose demand is over twice the mean.
package main

import (
	"elmfold/pluginsdk"
	"elmfold/pluginsdk/pluginapi"
)

const (
	ratePerWeight = 5.0 // transactions/s that a backend can handle per unit of weight
	admittedShare = 0.9
)

func init() {
	pluginsdk.Propose(func(snapshot pluginapi.Snapshot) (response pluginapi.Response) {
		capacity, totalDemand := 0.0, 0.0
		demands := make([]float64, len(snapshot.Tenants))
		for _, b := range snapshot.Backends {
			if !b.Drains {
				capacity += ratePerWeight * b.Weight * b.Relief
			}
		}
		for i, t := range snapshot.Tenants {
			for _, rate := range t.Rates {
				demands[i] += rate
			}
			totalDemand += demands[i]
		}
		for i, t := range snapshot.Tenants {
			if totalDemand > capacity && demands[i] > 2*totalDemand/float64(len(snapshot.Tenants)) {
				response.Proposals = append(response.Proposals,
					pluginapi.Proposal{Kind: pluginapi.Shed, Tenant: t.Name, Figure: admittedShare})
			}
		}
		return response
	})
}

func main() {}
