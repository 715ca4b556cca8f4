package consensus

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	pingEvery = 400 * time.Millisecond
	// TouchFor is how long contact with a majority counts, from the sending of the question that it answered.
	TouchFor = 1500 * time.Millisecond
)

// touch is contact with a majority of the voters: answers to questions of this life, dated by their sending, so that a
// process that was frozen, and answers that lay in a socket, do not count for what they no longer are.
type touch struct {
	at     time.Duration // the sending of the newest question that a majority answered
	pingAt time.Duration
	since  time.Duration // since when contact stands
	asked  []asked
}

type asked struct {
	round uint64
	at    time.Duration
	by    map[string]bool // disks
}

func (t *touch) answer(round uint64, disk string) {
	for _, a := range t.asked {
		if a.round == round {
			a.by[disk] = true
		}
	}
}

func (t *touch) tend(r *Replica) {
	if r.now >= t.pingAt+pingEvery {
		t.pingAt = r.now
		r.round++
		t.asked = append(t.asked, asked{r.round, r.now, map[string]bool{r.disk: r.born}})
		if len(t.asked) > 8 {
			t.asked = t.asked[1:]
		}
		round := r.round
		r.toAll(func() *rpc.Message { return &rpc.Message{Consensus: rpc.Consensus{Ping: true, QueryID: round}} })
	}
	for _, a := range t.asked {
		if a.at > t.at && r.epoch.HasMajority(func(v Voter) bool { return a.by[v.StoreID] || r.ghost(v) }) {
			if r.now > t.at+TouchFor {
				t.since = r.now
			}
			t.at = a.at
		}
	}
}

// InTouch says whether a majority of the voters has answered a question of this life that was asked just now. Without,
// nothing is decided, nothing is read, and nothing is told as new.
func (r *Replica) InTouch(now time.Duration) bool {
	return r.epoch.Number > 0 && now <= r.touch.at+TouchFor
}
