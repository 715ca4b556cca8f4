//go:build wasip1

// Quirk keeps one client firm away from the backends of a kind that its exports do not suit.
package main

import (
	"elmfold/pluginsdk"
	"elmfold/pluginsdk/pluginapi"
)

const firm, unfit = "acme", "old"

func init() {
	pluginsdk.Propose(func(m pluginapi.Snapshot) (a pluginapi.Response) {
		p := pluginapi.Proposal{Kind: pluginapi.Allow, Tenant: firm}
		for _, b := range m.Backends {
			if b.Kind != unfit && !b.Drains {
				p.Backends = append(p.Backends, b.ID)
			}
		}
		a.Proposals = append(a.Proposals, p)
		return a
	})
}

func main() {}
