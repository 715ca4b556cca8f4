//go:build wasip1

// Quirk is an example plug-in that excludes one kind of backend for one tenant.
package main

import (
	"elmfold/pluginsdk"
	"elmfold/pluginsdk/pluginapi"
)

const tenant, excludedKind = "acme", "old"

func init() {
	pluginsdk.Propose(func(snapshot pluginapi.Snapshot) (response pluginapi.Response) {
		p := pluginapi.Proposal{Kind: pluginapi.Allow, Tenant: tenant}
		for _, b := range snapshot.Backends {
			if b.Kind != excludedKind && !b.Drains {
				p.Backends = append(p.Backends, b.ID)
			}
		}
		response.Proposals = append(response.Proposals, p)
		return response
	})
}

func main() {}
