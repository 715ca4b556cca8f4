package accord

import (
	"fmt"
	"testing"
)

// Guards against the end of one evacuation taking back a zone that another operator still empties, and against an order
// that is only sent again counting as a second one.
func TestEvacuationsOverlap(t *testing.T) {
	r, got := Register{Name: "zone/a"}, ""
	order := func(at uint64, begins bool) {
		value, again := Evacuate(begins, at)(r)
		if !again {
			r.Stamp, r.Value = Stamp{Hi: max(at, r.Stamp.Hi+1)}, value
		}
		got += fmt.Sprintf("%d %s again=%v evacuated=%v\n", at, r.Value, again, Evacuated(r.Value))
	}
	order(1000, false)  // nothing to take back
	order(4000, true)   // the first begins
	order(5100, true)   // ... sent again without an answer
	order(8000, true)   // the second
	order(12000, false) // the first ends
	order(13200, false) // ... sent again
	order(16000, false) // the second ends
	order(17000, true)  // a third
	order(17500, false)
	order(15000, true) // by a clock that lags: not the same order
	want := `1000 0f again=false evacuated=false
4000 1b again=false evacuated=true
5100 1b again=true evacuated=true
8000 2b again=false evacuated=true
12000 1f again=false evacuated=true
13200 1f again=true evacuated=true
16000 0f again=false evacuated=false
17000 1b again=false evacuated=true
17500 0f again=false evacuated=false
15000 1b again=false evacuated=true
`
	if got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
