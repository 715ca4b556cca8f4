package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxClockDrift is by how much the clock is slow by which a backend keeps its holds.
const maxClockDrift = 0.02

// Keys is what the backends of one service hold, seen from outside of them all. It is safe for concurrent use.
type Keys struct {
	// Violated is told of two backends that hold a key at once.
	Violated func(format string, values ...any)
	// IsExcused reports whether a grant that arrives at a backend now does not count: the way there has just healed.
	IsExcused func(backend string) bool
	// AnswersTwice reports whether an answer of a backend to a call is sent a second time; nil: none is.
	AnswersTwice func(backend string) bool

	mu      sync.Mutex
	holders map[string]*keyHolder // by backend
	grants  int
}

// NewKeys returns Keys of a service.
func NewKeys(violated func(format string, values ...any), isExcused func(backend string) bool) *Keys {
	return &Keys{Violated: violated, IsExcused: isExcused, holders: map[string]*keyHolder{}}
}

// Grants returns the number of grants that were taken.
func (k *Keys) Grants() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.grants
}

// keyHolder is one backend's view of its keys.
type keyHolder struct {
	drift   float64
	holds   []keyHold
	fences  []keyHold // the highest fence seen, by range
	running map[uint16]int
}

type keyHold struct {
	first, last uint16
	fence       uint64
	until       time.Time
	excused     bool
}

func (h *keyHold) overlaps(first, last uint16) bool { return h.first <= last && first <= h.last }

// keyOrder is the body of a grant or a release.
type keyOrder struct {
	First   *uint16 `json:"source"`
	Last    *uint16 `json:"targetVersion"`
	Fence   uint64  `json:"fence"`
	HoldS   float64 `json:"holdS"`
	Handoff string  `json:"handoff"`
}

// holder returns a backend's view; the lock is held.
func (k *Keys) holder(backend string) *keyHolder {
	h := k.holders[backend]
	if h == nil {
		h = &keyHolder{drift: rand.Float64() * maxClockDrift, running: map[uint16]int{}}
		k.holders[backend] = h
	}
	return h
}

// serve answers a grant or a release to a backend.
func (k *Keys) serve(backend string, w http.ResponseWriter, r *http.Request) {
	var o keyOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.First == nil || o.Last == nil || *o.First > *o.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if k.AnswersTwice != nil && k.AnswersTwice(backend) {
		repeatAnswer(r)
	}
	if r.URL.Path == releasePath {
		k.release(backend, &o)
		for k.isWorking(backend, &o) && r.Context().Err() == nil {
			time.Sleep(2 * time.Millisecond)
		}
		w.Header().Set("X-Elmfold-Handoff", fmt.Sprintf("%s-%d", backend, o.Fence))
		return
	}
	if !k.grant(backend, &o) {
		w.WriteHeader(http.StatusConflict)
	}
}

// Paths of the calls about keys.
const (
	grantPath   = "/v1/grant"
	releasePath = "/v1/release"
)

func (k *Keys) grant(backend string, o *keyOrder) bool {
	excused := k.IsExcused(backend)
	k.mu.Lock()
	defer k.mu.Unlock()
	h, now := k.holder(backend), time.Now()
	for i := range h.fences {
		if h.fences[i].overlaps(*o.First, *o.Last) && h.fences[i].fence > o.Fence {
			return false
		}
	}
	h.note(o)
	h.drop(*o.First, *o.Last)
	span := time.Duration(o.HoldS * (1 + h.drift) * float64(time.Second))
	h.holds = append(h.holds, keyHold{*o.First, *o.Last, o.Fence, now.Add(span), excused})
	k.grants++
	for name, other := range k.holders {
		for i := range other.holds {
			x := &other.holds[i]
			isHeld := x.overlaps(*o.First, *o.Last) && now.Before(x.until) && !x.excused && !excused
			if name != backend && isHeld {
				k.Violated("OWNER: %s is granted %d to %d (fence %d), of which %s holds %d to %d (fence %d) for %v more", backend,
					*o.First, *o.Last, o.Fence, name, x.first, x.last, x.fence, x.until.Sub(now))
			}
		}
	}
	return true
}

// note notes the fence of an order.
func (h *keyHolder) note(o *keyOrder) {
	kept := h.fences[:0]
	for _, f := range h.fences {
		if f.first < *o.First || f.last > *o.Last || f.fence > o.Fence {
			kept = append(kept, f)
		}
	}
	h.fences = append(kept, keyHold{first: *o.First, last: *o.Last, fence: o.Fence})
}

// drop ends what is held of a range.
func (h *keyHolder) drop(first, last uint16) {
	var kept []keyHold
	for _, x := range h.holds {
		if !x.overlaps(first, last) {
			kept = append(kept, x)
			continue
		}
		if x.first < first {
			kept = append(kept, keyHold{x.first, first - 1, x.fence, x.until, x.excused})
		}
		if x.last > last {
			kept = append(kept, keyHold{last + 1, x.last, x.fence, x.until, x.excused})
		}
	}
	h.holds = kept
}

func (k *Keys) release(backend string, o *keyOrder) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.holder(backend)
	h.note(o)
	h.drop(*o.First, *o.Last)
}

func (k *Keys) isWorking(backend string, o *keyOrder) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, n := range k.holder(backend).running {
		if n > 0 && *o.First <= key && key <= *o.Last {
			return true
		}
	}
	return false
}

// begin begins a request on its key; false: the backend does not hold it.
func (k *Keys) begin(backend string, r *http.Request) (end func(), held bool) {
	n, err := strconv.ParseUint(r.Header.Get("X-Elmfold-Shard-Key"), 10, 16)
	key := uint16(n)
	k.mu.Lock()
	defer k.mu.Unlock()
	h, now := k.holder(backend), time.Now()
	for i := range h.holds {
		if x := &h.holds[i]; err == nil && x.overlaps(key, key) && now.Before(x.until) {
			h.running[key]++
			return func() {
				k.mu.Lock()
				defer k.mu.Unlock()
				h.running[key]--
			}, true
		}
	}
	return nil, false
}
