package consensus

import (
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

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
		}
	})
	if w.fault != "" {
		t.Errorf("seed %d: %s", seed, w.fault)
	}
	return fmt.Sprintf("%d orders %x", count, sum.Sum(nil)[:12])
}

// Drawn days go order for order as they went with d330930, which wrote the golden file: a change of names or of shape
// must not change what is done.
func TestOrdersStayTheSame(t *testing.T) {
	t.Parallel()
	stories := []struct {
		name   string
		story  story
		upTo   uint64
		within uint64 // so many of them beside the race detector
	}{{"wild", wild, 40, 4}, {"long", long, 6, 1}, {"budget", budget, 20, 2}}
	text, err := os.ReadFile("testdata/orders-d330930.txt")
	if err != nil {
		t.Fatal(err)
	}
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
			if name := fmt.Sprintf("%s %d", s.name, seed); digest != want[name] {
				t.Errorf("%s: %s, with d330930 %s", name, digest, want[name])
			}
		}
	}
}
