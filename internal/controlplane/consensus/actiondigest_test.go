package consensus

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// digestsFile is the golden file of TestOrdersStayTheSame. It has a line for each run.
const digestsFile = "testdata/orders.txt"

// actionsDigest runs a simulation, and returns the number and the digest of the actions of all nodes. Messages are
// encoded canonically. Its texts are part of the digests in the golden file.
func actionsDigest(t *testing.T, seed uint64, profile faultProfile) string {
	t.Helper()
	canonical, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	encoded := func(v any) []byte {
		b, err := canonical.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	sum, count := sha256.New(), 0
	sim := simulateTraced(seed, profile, driverBugs{}, discardLog, func(i int, action Action) {
		count++
		fmt.Fprintf(sum, "%d ", i)
		switch action := action.(type) {
		case Persist:
			fmt.Fprintf(sum, "persist %d %s %x\n", action.Seq, action.Record, action.Value)
		case Send:
			fmt.Fprintf(sum, "send %s %x\n", action.To, encoded(action.Message))
		case ValueCommitted:
			fmt.Fprintf(sum, "in force %x\n", encoded(action.Register))
		case EpochEntered:
			fmt.Fprintf(sum, "entered %x\n", encoded(action.Epoch))
		case RequestDone:
			fmt.Fprintf(sum, "done %d %d %x\n", action.RequestID, action.Outcome, encoded(action.Register))
		case HandedOver:
			fmt.Fprintln(sum, "left")
		case ForeignPeerFound:
			fmt.Fprintln(sum, "foreign", action.Name, action.ClusterID)
		}
	})
	if sim.failure != "" {
		t.Errorf("seed %d: %s", seed, sim.failure)
	}
	return fmt.Sprintf("%d orders %x", count, sum.Sum(nil)[:12])
}

// recordDigests makes TestOrdersStayTheSame write its golden file, after an intended change of behavior.
var recordDigests = flag.Bool("record-orders", false, "write the golden file of TestOrdersStayTheSame")

// Guards against refactorings that change behavior: the nodes must perform the recorded actions.
func TestOrdersStayTheSame(t *testing.T) {
	t.Parallel()
	profiles := []struct {
		name     string // in the golden file
		profile  faultProfile
		seeds    uint64
		withRace uint64 // seeds with the race detector
	}{{"wild", randomFaults, 40, 4}, {"long", longFaults, 6, 1}, {"budget", boundedFaults, 20, 2}}
	text, err := os.ReadFile(digestsFile)
	if err != nil {
		t.Fatal(err)
	}
	var recorded strings.Builder
	want := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, digest, _ := strings.Cut(strings.TrimSpace(line), ": ")
		want[name] = digest
	}
	for _, p := range profiles {
		if raceEnabled {
			p.seeds = p.withRace
		}
		digests := make([]string, p.seeds)
		runParallel(len(digests), func(k int) { digests[k] = actionsDigest(t, uint64(k), p.profile) })
		for seed, digest := range digests {
			name := fmt.Sprintf("%s %d", p.name, seed)
			fmt.Fprintf(&recorded, "%s: %s\n", name, digest)
			if digest != want[name] && !*recordDigests {
				t.Errorf("%s: %s, recorded %s", name, digest, want[name])
			}
		}
	}
	if *recordDigests && !raceEnabled {
		if err := os.WriteFile(digestsFile, []byte(recorded.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
