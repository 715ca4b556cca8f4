// Package registry settles which backends there are and which carriers hold a lease, at one controller: soft state
// that is told again. It does no I/O and reads no clock; times are spans since the process began.
//
// A backend's life is its id. Its newest word is the one of the greatest callSeq, and a life only moves on: ready,
// draining, gone. A controller vouches for those whose beats it hears itself; carriers keep a backend as long as
// anybody vouches for it, and while nobody who has listened for long enough is there to say otherwise.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"elmfold/internal/gateway/rpc"
)

const (
	silentBeats = 3.5              // beats that a backend may miss before nobody vouches for it here
	forgetAfter = 90 * time.Second // a life that is gone is remembered, so that a late beat does not bring it back
	// LeaseFor is how long a carrier is a member after its last renewal, by the controller's clock. The carrier
	// itself, which counts from the sending of the renewal, gives up its rights before.
	LeaseFor = 3 * time.Second
	// RightFor is how long a carrier may use what only a member may, from the sending of a renewal that was answered.
	RightFor = 2 * time.Second
)

// Life is what is known of a backend.
type Life struct {
	rpc.Endpoint               // as last said; ColdLeft and Vouched are not kept here
	HeardAt      time.Duration // its last beat here; negative: never
	ColdUntil    time.Duration
	goneAt       time.Duration
	toldAt       time.Duration // the last word of it, from whomever
	vouched      bool          // as it was told to carriers
}

type lease struct {
	rpc.ProxyInfo
	until time.Duration
}

// Table holds both for one controller.
type Table struct {
	beat   time.Duration
	lives  map[string]*Life
	at     map[string]string // the newest life by address
	leases map[string]lease
	came   []rpc.ProxyInfo // since Changes
	went   []string
}

// New makes a Table; beat is the span between two beats of a backend.
func New(beat time.Duration) *Table {
	return &Table{beat: beat, lives: map[string]*Life{}, at: map[string]string{}, leases: map[string]lease{}}
}

// Beat takes a beat that was heard here. It returns the words that are news to others: to carriers and the other
// controllers; none if nothing changed. Late says that the word was overtaken by a newer one.
func (t *Table) Beat(now time.Duration, b rpc.Endpoint) (news []rpc.Endpoint, late bool) {
	l := t.lives[b.ID]
	if l != nil && (b.Seq < l.Seq && b.Seq > 0 || l.State == rpc.Gone) {
		return nil, true
	}
	changed := t.merge(now, b)
	l = t.lives[b.ID]
	l.HeardAt = now
	if !l.vouched && l.State != rpc.Gone {
		l.vouched, changed = true, true
	}
	if changed {
		news = append(news, t.word(now, l, true))
	}
	return append(news, t.replaced(now, l)...), false
}

// Leave takes a backend's word that it ends.
func (t *Table) Leave(now time.Duration, id string, seq uint64) []rpc.Endpoint {
	l := t.lives[id]
	if l == nil {
		l = &Life{Endpoint: rpc.Endpoint{ID: id}, HeardAt: -1}
		t.lives[id] = l
	} else if l.State == rpc.Gone {
		return nil
	}
	l.State, l.goneAt, l.vouched, l.Seq = rpc.Gone, now, false, max(l.Seq, seq)
	return []rpc.Endpoint{t.word(now, l, false)}
}

// Told takes words of another controller; it returns those that were news here too.
func (t *Table) Told(now time.Duration, words []rpc.Endpoint) (news []rpc.Endpoint) {
	for _, b := range words {
		if t.merge(now, b) {
			l := t.lives[b.ID]
			news = append(news, t.word(now, l, l.vouched))
			news = append(news, t.replaced(now, l)...)
		}
	}
	return news
}

// merge says whether something changed that others want to know.
func (t *Table) merge(now time.Duration, b rpc.Endpoint) bool {
	l := t.lives[b.ID]
	if l != nil {
		l.toldAt = now
	} else {
		l = &Life{Endpoint: b, HeardAt: -1, toldAt: now}
		l.Live, l.WarmupLeft = false, 0
		t.lives[b.ID] = l
		if l.ColdUntil = now; b.WarmupLeft > 0 {
			l.ColdUntil = now + time.Duration(b.WarmupLeft)*time.Millisecond
		}
		if l.State == rpc.Gone {
			l.goneAt = now
		}
		return true
	}
	if b.Seq < l.Seq && b.State <= l.State {
		return false
	}
	changed := false
	if b.State > l.State { // never back: a late beat does not revive what drains
		l.State, changed = b.State, true
		if l.goneAt = now; l.State == rpc.Gone {
			l.vouched = false
		}
	}
	if b.Seq >= l.Seq && b.State != rpc.Gone {
		state := l.State
		until := now + time.Duration(b.WarmupLeft)*time.Millisecond
		// Beats of a cold backend say less each time; only a new spell is news.
		changed = changed || b.Address != l.Address || b.Service != l.Service || b.Capacity != l.Capacity ||
			b.WarmupLeft > 0 && until > l.ColdUntil+t.beat/4
		if until > l.ColdUntil || b.WarmupLeft == 0 {
			l.ColdUntil = until
		}
		l.Endpoint = b
		l.State, l.Live, l.WarmupLeft = state, false, 0
	}
	return changed
}

// replaced ends the life that had an address before: its process ended without a word, or its word is still to come.
func (t *Table) replaced(now time.Duration, l *Life) []rpc.Endpoint {
	if l.State == rpc.Gone || l.Address == "" {
		return nil
	}
	was := t.at[l.Address]
	if old := t.lives[was]; was != l.ID && old != nil && old.vouched && old.Address == l.Address && !l.vouched {
		return nil // that one beats here, and this word may be older than it
	}
	t.at[l.Address] = l.ID
	if old := t.lives[was]; was != l.ID && old != nil && old.State != rpc.Gone && old.Address == l.Address {
		return t.Leave(now, was, old.Seq)
	}
	return nil
}

func (t *Table) word(now time.Duration, l *Life, vouched bool) rpc.Endpoint {
	w := l.Endpoint
	w.Live, w.WarmupLeft = vouched, int(max(l.ColdUntil-now, 0)/time.Millisecond)
	return w
}

// Tick ends what has been silent; it returns the words that are news to carriers: for whom nobody vouches here now.
func (t *Table) Tick(now time.Duration) (news []rpc.Endpoint) {
	silent := time.Duration(silentBeats * float64(t.beat))
	for _, id := range slices.Sorted(maps.Keys(t.lives)) {
		switch l := t.lives[id]; {
		case l.State == rpc.Gone && now > l.goneAt+forgetAfter:
			delete(t.lives, id)
			if t.at[l.Address] == id {
				delete(t.at, l.Address)
			}
		case l.vouched && now > l.HeardAt+silent:
			l.vouched = false
			news = append(news, t.word(now, l, false))
		case !l.vouched && l.State != rpc.Gone && now > max(l.HeardAt, l.goneAt, l.toldAt)+forgetAfter*4:
			delete(t.lives, id)
		}
	}
	return news
}

// All is every life, for a controller that has a new line here and for a carrier that is steered from here.
func (t *Table) All(now time.Duration) []rpc.Endpoint {
	return t.words(now, func(*Life) bool { return true })
}

// Own are the lives that this controller vouches for, and those that leave: what a carrier with a new line here cannot
// do without. The rest it hears from whoever vouches, and as a whole from the one that steers it.
func (t *Table) Own(now time.Duration) []rpc.Endpoint {
	return t.words(now, func(l *Life) bool { return l.vouched || l.State != rpc.Ready })
}

func (t *Table) words(now time.Duration, which func(*Life) bool) []rpc.Endpoint {
	var all []rpc.Endpoint
	for _, id := range slices.Sorted(maps.Keys(t.lives)) {
		if l := t.lives[id]; which(l) {
			all = append(all, t.word(now, l, l.vouched))
		}
	}
	return all
}

// Life is what is known of a backend, nil if nothing is.
func (t *Table) Life(id string) *Life { return t.lives[id] }

// Lives are all that may be used or drain, in the order of their ids.
func (t *Table) Lives() []*Life {
	var all []*Life
	for _, l := range t.lives {
		if l.State != rpc.Gone {
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b *Life) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Renew takes a carrier's renewal; it says whether it is a new member.
func (t *Table) Renew(now time.Duration, m rpc.ProxyInfo) (came bool) {
	_, held := t.leases[m.Name]
	t.leases[m.Name] = lease{ProxyInfo: m, until: now + LeaseFor}
	if !held {
		t.came = append(t.came, m)
	}
	return !held
}

// Release gives a lease back.
func (t *Table) Release(name string) {
	if _, held := t.leases[name]; held {
		t.went = append(t.went, name)
		delete(t.leases, name)
	}
}

// Changes ends the leases that were not renewed, and says who became a member and who is none any more since the last
// call, in that order: one in both went, and came again after.
func (t *Table) Changes(now time.Duration) (went []string, came []rpc.ProxyInfo) {
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		if now > t.leases[name].until {
			t.Release(name)
		}
	}
	went = t.went
	for _, m := range t.came {
		if _, held := t.leases[m.Name]; held {
			came = append(came, m)
		}
	}
	t.went, t.came = nil, nil
	return went, came
}

// Members are those that hold a lease, in the order of their names.
func (t *Table) Members() []rpc.ProxyInfo {
	all := make([]rpc.ProxyInfo, 0, len(t.leases))
	for _, l := range t.leases {
		all = append(all, l.ProxyInfo)
	}
	slices.SortFunc(all, func(a, b rpc.ProxyInfo) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
