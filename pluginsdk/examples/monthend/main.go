//go:build wasip1

// Monthend is an example plug-in for the load peak at the end of a month. While the demand of all tenants exceeds the
// capacity of the backends, it sheds a tenth of the transactions of each tenant whose demand is over twice the mean.
package main

import (
	"elmfold/pluginsdk"
	"elmfold/pluginsdk/moment"
)

const (
	ratePerWeight = 5.0 // transactions/s that a backend can handle per unit of weight
	admittedShare = 0.9
)

func init() {
	pluginsdk.Propose(func(m moment.Moment) (answer moment.Answer) {
		capacity, totalDemand := 0.0, 0.0
		demands := make([]float64, len(m.Tenants))
		for _, b := range m.Backends {
			if !b.Drains {
				capacity += ratePerWeight * b.Weight * b.Relief
			}
		}
		for i, t := range m.Tenants {
			for _, rate := range t.Rates {
				demands[i] += rate
			}
			totalDemand += demands[i]
		}
		for i, t := range m.Tenants {
			if totalDemand > capacity && demands[i] > 2*totalDemand/float64(len(m.Tenants)) {
				answer.Proposals = append(answer.Proposals,
					moment.Proposal{Kind: moment.Shed, Tenant: t.Name, Figure: admittedShare})
			}
		}
		return answer
	})
}

func main() {}
