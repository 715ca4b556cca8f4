//go:build wasip1

// Monthend sheds a tenth of each tenant that asks for over twice the mean, while the fleet is asked for more than
// it has.
package main

import (
	"elmfold/pluginsdk"
	"elmfold/pluginsdk/pluginapi"
)

const perWeight, part = 5.0, 0.9 // txns/s that a unit of weight does at month-end; what is let in

func init() {
	pluginsdk.Propose(func(m pluginapi.Snapshot) (a pluginapi.Response) {
		can, all := 0.0, 0.0
		rates := make([]float64, len(m.Tenants))
		for _, b := range m.Backends {
			if !b.Drains {
				can += perWeight * b.Weight * b.Relief
			}
		}
		for i, t := range m.Tenants {
			for _, r := range t.Rates {
				rates[i] += r
			}
			all += rates[i]
		}
		for i, t := range m.Tenants {
			if all > can && rates[i] > 2*all/float64(len(m.Tenants)) {
				a.Proposals = append(a.Proposals, pluginapi.Proposal{Kind: pluginapi.Shed, Tenant: t.Name, Figure: part})
			}
		}
		return a
	})
}

func main() {}
