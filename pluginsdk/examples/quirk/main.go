//go:build wasip1

// Quirk is an example plug-in that excludes one kind of backend for one tenant.
package main

import (
	"elmfold/pluginsdk"
	"elmfold/pluginsdk/moment"
)

const tenant, excludedKind = "acme", "old"

func init() {
	pluginsdk.Propose(func(m moment.Moment) (answer moment.Answer) {
		p := moment.Proposal{Kind: moment.Allow, Tenant: tenant}
		for _, b := range m.Backends {
			if b.Kind != excludedKind && !b.Drains {
				p.Backends = append(p.Backends, b.ID)
			}
		}
		answer.Proposals = append(answer.Proposals, p)
		return answer
	})
}

func main() {}
