package consensus

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	// QuorumContactTimeout is how long contact with a majority counts, from the sending of the ping that it answered.
	QuorumContactTimeout = 1500 * time.Millisecond

	pingInterval = 400 * time.Millisecond
	maxOpenPings = 8
)

// quorumContact is contact with a majority of the voters: pongs to pings of this incarnation, dated by the sending
// of the ping. So a process that was frozen, and answers that lay in a socket, do not count for what is no longer
// true.
type quorumContact struct {
	confirmedAt   time.Duration // the sending of the newest ping that a majority answered
	pingedAt      time.Duration
	establishedAt time.Duration // since when there is contact without a gap
	pings         []ping        // the newest, at most maxOpenPings
}

type ping struct {
	queryID    uint64
	sentAt     time.Duration
	responders map[string]bool // by store id
}

func (c *quorumContact) onPong(queryID uint64, storeID string) {
	for _, p := range c.pings {
		if p.queryID == queryID {
			p.responders[storeID] = true
		}
	}
}

func (c *quorumContact) tick(r *Replica) {
	if r.now >= c.pingedAt+pingInterval {
		c.pingedAt = r.now
		id := r.nextQueryID()
		c.pings = append(c.pings, ping{id, r.now, map[string]bool{r.storeID: r.identified}})
		if len(c.pings) > maxOpenPings {
			c.pings = c.pings[1:]
		}
		r.broadcast(rpc.Consensus{Ping: true, QueryID: id})
	}
	for _, p := range c.pings {
		answered := func(v Voter) bool { return p.responders[v.StoreID] || r.isStaleIdentity(v) }
		if p.sentAt > c.confirmedAt && r.epoch.HasMajority(answered) {
			if r.now > c.confirmedAt+QuorumContactTimeout {
				c.establishedAt = r.now
			}
			c.confirmedAt = p.sentAt
		}
	}
}

// HasQuorum reports whether a majority of the voters has answered a ping of this incarnation that was sent just now.
// Without it nothing is decided, nothing is read, and nothing is told as current. Beside another system it takes most
// of the seeds too.
func (r *Replica) HasQuorum(now time.Duration) bool {
	return r.epoch.Number > 0 && now <= r.contact.confirmedAt+QuorumContactTimeout && !r.isOutvoted()
}
