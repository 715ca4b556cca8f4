package cli

import (
	"strings"
	"testing"

	"github.com/hexops/autogold"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/controlplane/sharding"
)

// What the night sees of shard keys: at the assigner, at another node, and where nobody assigns.
func TestShardsInStatus(t *testing.T) {
	var out strings.Builder
	for _, shards := range []*sharding.Status{
		{Assigner: "core-1", Term: 3, Active: true, Services: []sharding.ServiceStatus{{
			Service: "accounts",
			Ranges: []sharding.RangeStatus{
				{Last: 4095, Holder: "i-1", Fence: 7, Reason: sharding.ReasonFirst, Served: true, Load: 3.25},
				{First: 4096, Last: 4607, Holder: "i-2", Fence: 12, Reason: sharding.ReasonSilent,
					WaitsFor: []sharding.FormerStatus{{Endpoint: "i-1", ReleaseS: 3.2, Unanswered: 2}}},
				{First: 4608, Last: 65535, Holder: "i-3", Fence: 13, Reason: sharding.ReasonNew, Load: 20},
			},
		}}},
		{Assigner: "core-2", Term: 4},
		{},
	} {
		status := Status{Status: consensus.Status{Epoch: 1, HasQuorum: true, IsVoter: true}, Shards: shards}
		if err := PrintStatus(&out, status); err != nil {
			t.Fatal(err)
		}
		out.WriteString("----\n")
	}
	autogold.Equal(t, out.String())
}
