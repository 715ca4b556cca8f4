package simulation

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Keys that backends hold, for services that are divided by key (Config.Sharded).

const (
	// maxKey is the greatest key.
	maxKey = 1<<16 - 1
	// thawSpan is the time after a heal in which a grant that arrives does not count: thawS.
	thawSpan = 300 * time.Millisecond
	// holdMax is the longest hold that a backend takes: holdMaxS.
	holdMax = 10 * time.Second
	// maxDrift is by how much the clock of a backend may be slow.
	maxDrift = 0.02
	// keyWarmup is how long keys are slow that came without a handover: warmupS.
	keyWarmup = 2 * time.Second
	// coldKeyFactor is by how much longer they are worked at.
	coldKeyFactor = 4

	grantPath   = "/v1/grant"
	releasePath = "/v1/release"
)

// Hold is a range of keys at one backend, for as long as no call about it changed more than its end.
type Hold struct {
	Backend   string
	First     uint16
	Last      uint16
	Fence     uint64
	From, To  time.Duration
	Excused   bool          // its grants arrived just after a heal
	Ended     bool          // by a release, or by a grant in its place
	coldUntil time.Duration // its keys are slow until then
}

// KeyRun is a request on a key that began at a backend.
type KeyRun struct {
	Backend string
	Key     uint16
	At      time.Duration
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	Source        *uint16 `json:"source"`
	TargetVersion *uint16 `json:"targetVersion"`
	Fence         uint64  `json:"fence"`
	HoldS         float64 `json:"holdS"`
	Handoff       string  `json:"handoff"`
}

// keyHolder is what one backend knows of its keys. Its owner's mutex guards it.
type keyHolder struct {
	holds   []*Hold // all that were; those that ended stay for the ledger
	fences  []fenced
	running map[uint16]int // requests at work, by key
	drift   float64
}

// fenced is the highest fence that was seen on some keys.
type fenced struct {
	first, last uint16
	fence       uint64
}

func (k *keyHolder) highest(first, last uint16) (fence uint64) {
	for _, f := range k.fences {
		if f.first <= last && first <= f.last {
			fence = max(fence, f.fence)
		}
	}
	return fence
}

func (k *keyHolder) note(first, last uint16, fence uint64) {
	known := slices.ContainsFunc(k.fences, func(f fenced) bool {
		return f.first <= first && last <= f.last && f.fence >= fence
	})
	if !known {
		k.fences = append(k.fences, fenced{first, last, fence})
	}
}

// at is the hold of a key at a time; nil: there is none.
func (k *keyHolder) at(key uint16, now time.Duration) *Hold {
	for _, h := range k.holds {
		if h.First <= key && key <= h.Last && h.From <= now && now < h.To {
			return h
		}
	}
	return nil
}

// answerKeys answers a grant or a release.
func (b *Backend) answerKeys(x *exchange, body []byte) bool {
	if to := x.request.Header.Get("X-Elmfold-Target-Instance"); to != "" && to != b.ID {
		return x.refuseInstance()
	}
	if b.keys == nil {
		return say(x.conn, http.StatusBadRequest, "", x.fields, nil)
	}
	var c keyCall
	if err := json.Unmarshal(body, &c); err != nil || c.Source == nil || c.TargetVersion == nil ||
		*c.Source > *c.TargetVersion || c.Fence == 0 {
		return say(x.conn, http.StatusBadRequest, "", x.fields, nil)
	}
	if x.request.URL.Path == releasePath {
		return b.release(x, *c.Source, *c.TargetVersion, c.Fence)
	}
	from := x.arrival.From
	excused := b.w.Net.healedSince(from, b.host.IP, thawSpan)
	span := time.Duration(c.HoldS * float64(time.Second))
	if span <= 0 || span > holdMax {
		return say(x.conn, http.StatusBadRequest, "", x.fields, nil)
	}
	if !b.takeKeys(*c.Source, *c.TargetVersion, &c, span, excused) {
		return say(x.conn, http.StatusConflict, "", x.fields, nil)
	}
	return say(x.conn, http.StatusOK, "", x.fields, nil)
}

// takeKeys takes the keys of a grant; false: a higher fence was seen.
func (b *Backend) takeKeys(first, last uint16, c *keyCall, span time.Duration, excused bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, k := b.w.Now(), b.keys
	if k.highest(first, last) > c.Fence {
		return false
	}
	k.note(first, last, c.Fence)
	until := now + time.Duration(float64(span)*(1+k.drift))
	for _, h := range k.holds {
		if h.First == first && h.Last == last && h.Fence == c.Fence && h.To > now {
			b.w.Ledger.do(func() { h.To, h.Excused = until, h.Excused && excused })
			return true
		}
	}
	cold := time.Duration(0)
	if held := k.at(first, now); held == nil && c.Handoff == "" {
		cold = now + keyWarmup
	}
	k.end(b.w, first, last, now)
	h := &Hold{Backend: b.ID, First: first, Last: last, Fence: c.Fence, From: now, To: until, Excused: excused,
		coldUntil: cold}
	k.holds = append(k.holds, h)
	b.w.Ledger.do(func() { b.w.Ledger.Holds = append(b.w.Ledger.Holds, h) })
	return true
}

// end ends what is held of a range.
func (k *keyHolder) end(w *World, first, last uint16, now time.Duration) {
	w.Ledger.do(func() {
		for _, h := range slices.Clone(k.holds) {
			if h.Last < first || h.First > last || h.To <= now {
				continue
			}
			keep := func(from, to uint16) {
				part := &Hold{Backend: h.Backend, First: from, Last: to, Fence: h.Fence, From: now, To: h.To, Excused: h.Excused,
					coldUntil: h.coldUntil}
				k.holds = append(k.holds, part)
				w.Ledger.Holds = append(w.Ledger.Holds, part)
			}
			if h.First < first {
				keep(h.First, first-1)
			}
			if h.Last > last {
				keep(last+1, h.Last)
			}
			h.To, h.Ended = now, true
		}
	})
}

// release stops new work on a range at once, and answers when what ran on it has ended.
func (b *Backend) release(x *exchange, first, last uint16, fence uint64) bool {
	b.mu.Lock()
	b.keys.note(first, last, fence)
	b.keys.end(b.w, first, last, b.w.Now())
	b.mu.Unlock()
	for b.works(first, last) {
		if over, _ := endOf(x.conn).ended(); over || !b.sleep(5*time.Millisecond) {
			return false
		}
	}
	x.fields["X-Elmfold-Handoff"] = strconv.FormatUint(sum([]byte(b.ID+strconv.Itoa(int(first)))), 16)
	return say(x.conn, http.StatusOK, "", x.fields, nil)
}

func (b *Backend) works(first, last uint16) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, n := range b.keys.running {
		if first <= key && key <= last && n > 0 {
			return true
		}
	}
	return false
}

func (b *Backend) holds(r *http.Request) bool {
	key, ok := requestKey(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	return ok && b.keys.at(key, b.w.Now()) != nil
}

// holdEnd is the end of a hold by its clock, or the end of the one that a later grant put in its place.
func (b *Backend) holdEnd(h *Hold) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.keys.at(h.First, b.w.Now()); now != nil {
		return now.To
	}
	return h.To
}

// beginKey begins work on a request's key: the hold that it runs under, or false where the key is not held.
func (b *Backend) beginKey(key uint16) (*Hold, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.keys.at(key, b.w.Now())
	if h == nil {
		return nil, false
	}
	b.keys.running[key]++
	b.w.Ledger.do(func() { b.w.Ledger.KeyRuns = append(b.w.Ledger.KeyRuns, KeyRun{b.ID, key, b.w.Now()}) })
	return h, true
}

func (b *Backend) endKey(key uint16) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keys.running[key]--
}

// requestKey is the key that a request bears.
func requestKey(r *http.Request) (key uint16, ok bool) {
	n, err := strconv.ParseUint(r.Header.Get("X-Elmfold-Shard-Key"), 10, 16)
	return uint16(n), err == nil
}

// endHolds ends what a backend holds, as its process ends.
func (l *Ledger) endHolds(backend string, at time.Duration) {
	l.do(func() {
		for _, h := range l.Holds {
			if h.Backend == backend {
				h.To = min(h.To, at)
			}
		}
	})
}

// owners: OWNER. Two backends that are up hold the same keys at the same time. Stricter than the operators' rule: it is
// broken also where no request began on them.
func (l *Ledger) owners(out *breaches) {
	for i, a := range l.Holds {
		for _, b := range l.Holds[i+1:] {
			from, to := max(a.From, b.From), min(a.To, b.To)
			if a.Backend == b.Backend || a.Last < b.First || b.Last < a.First || from >= to || a.Excused || b.Excused {
				continue
			}
			out.add("OWNER", from, "%s (fence %d) and %s (fence %d) both hold %d to %d, for %.3f s", a.Backend, a.Fence,
				b.Backend, b.Fence, max(a.First, b.First), min(a.Last, b.Last), (to - from).Seconds())
		}
	}
}
