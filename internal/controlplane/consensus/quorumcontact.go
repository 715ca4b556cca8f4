package consensus

import (
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	// QuorumContactTimeout is how long quorum contact lasts, counted from the sending of the ping that a majority
	// answered.
	QuorumContactTimeout = 1500 * time.Millisecond

	pingInterval = 400 * time.Millisecond
	maxOpenPings = 8
)

// quorumContact tracks contact with a majority of the voters: pongs to pings of this process, dated by the sending of
// the ping. After the process was suspended, pongs that waited in a socket therefore do not count as recent contact.
type quorumContact struct {
	confirmedAt   time.Duration // when the newest ping that a majority answered was sent
	pingedAt      time.Duration
	establishedAt time.Duration // since when contact has been continuous
	pings         []ping        // the newest maxOpenPings
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
		answered := func(v Voter) bool { return p.responders[v.StoreID] || r.isReplacedVoterOfPair(v) }
		if p.sentAt > c.confirmedAt && r.epoch.HasMajority(answered) {
			if r.now > c.confirmedAt+QuorumContactTimeout {
				c.establishedAt = r.now
			}
			c.confirmedAt = p.sentAt
		}
	}
}

// HasQuorum reports whether a majority of the voters has answered a recent ping of this process. Without it, nothing is
// decided, read or reported as current. If a peer belongs to another cluster, a majority of the seeds is required too.
func (r *Replica) HasQuorum(now time.Duration) bool {
	return r.epoch.Number > 0 && now <= r.contact.confirmedAt+QuorumContactTimeout && !r.isOutvoted()
}
