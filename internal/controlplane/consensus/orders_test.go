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

// ordersFile is the golden file, a line for each day.
const ordersFile = "testdata/orders.txt"

// ordersOf is the digest of all orders of a drawn day, in their order: what is put on which disk, sent to whom, in
// force and answered. Messages count by their keys and values.
func ordersOf(t *testing.T, seed uint64, s story) string {
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
	w := playTraced(seed, s, driverFlaws{}, quiet, func(i int, o Action) {
		count++
		fmt.Fprintf(sum, "%d ", i)
		switch o := o.(type) {
		case Persist:
			fmt.Fprintf(sum, "persist %d %s %x\n", o.Seq, o.Record, o.Value)
		case Send:
			fmt.Fprintf(sum, "send %s %x\n", o.To, encoded(o.Message))
		case ValueCommitted:
			fmt.Fprintf(sum, "in force %x\n", encoded(o.Register))
		case EpochEntered:
			fmt.Fprintf(sum, "entered %x\n", encoded(o.Epoch))
		case RequestDone:
			fmt.Fprintf(sum, "done %d %d %x\n", o.RequestID, o.Outcome, encoded(o.Register))
		case HandedOver:
			fmt.Fprintln(sum, "left")
		case ForeignPeerFound:
			fmt.Fprintln(sum, "foreign", o.Name, o.ClusterID)
		}
	})
	if w.fault != "" {
		t.Errorf("seed %d: %s", seed, w.fault)
	}
	return fmt.Sprintf("%d orders %x", count, sum.Sum(nil)[:12])
}

// recordOrders has TestOrdersStayTheSame write its golden file, where a change is meant to change orders.
var recordOrders = flag.Bool("record-orders", false, "write the golden file of TestOrdersStayTheSame")

// Drawn days go order for order as they went when the golden file was recorded: a change of names or of shape must not
// change what is done. It was first recorded with d330930, and anew where what is decided was changed on purpose: with
// the founding by machines, which gave each message an id of the system.
func TestOrdersStayTheSame(t *testing.T) {
	t.Parallel()
	stories := []struct {
		name   string
		story  story
		upTo   uint64
		within uint64 // so many of them beside the race detector
	}{{"wild", wild, 40, 4}, {"long", long, 6, 1}, {"budget", budget, 20, 2}}
	text, err := os.ReadFile(ordersFile)
	if err != nil {
		t.Fatal(err)
	}
	var recorded strings.Builder
	want := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, digest, _ := strings.Cut(strings.TrimSpace(line), ": ")
		want[name] = digest
	}
	for _, s := range stories {
		if raced {
			s.upTo = s.within
		}
		got := make([]string, s.upTo)
		parallel(len(got), func(k int) { got[k] = ordersOf(t, uint64(k), s.story) })
		for seed, digest := range got {
			name := fmt.Sprintf("%s %d", s.name, seed)
			fmt.Fprintf(&recorded, "%s: %s\n", name, digest)
			if digest != want[name] && !*recordOrders {
				t.Errorf("%s: %s, recorded %s", name, digest, want[name])
			}
		}
	}
	if *recordOrders && !raced {
		if err := os.WriteFile(ordersFile, []byte(recorded.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
