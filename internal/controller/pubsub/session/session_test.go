package session

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"reflect"
	"slices"
	"testing"
)

func set(key string, figure float64) Update { return Update{Key: key, Value: Value{Number: figure}} }

// rig is Sessions with one owner on the other side of a link that can be cut.
type rig struct {
	t      *testing.T
	s      *Broker
	now    Time
	copy   Replica
	conn   int
	conns  int
	link   []Send // on the way to the copy
	orders []Action
	want   map[string]Value // the plain model: each order applied when it was made
	marks  []int            // answered
	joined int
	left   int
	closed []Reason
}

func newRig(t *testing.T, plan Config) *rig {
	return &rig{t: t, s: New(plan), now: 10, want: map[string]Value{}}
}

func (r *rig) step(events ...Event) {
	for _, e := range events {
		if c, ok := e.(TopicChanged); ok {
			for _, x := range c.Updates {
				if x.Deleted {
					delete(r.want, x.Key)
				} else {
					r.want[x.Key] = x.Value
				}
			}
		}
	}
	r.orders = r.s.Step(r.now, events)
	for _, o := range r.orders {
		switch o := o.(type) {
		case Send:
			if o.Conn == r.conn {
				r.link = append(r.link, o)
			}
		case MarkerAcked:
			r.marks = append(r.marks, o.Marker)
		case OwnerJoined:
			r.joined++
		case OwnerLeft:
			r.left++
		case Close:
			r.closed = append(r.closed, o.Reason)
		}
	}
}

func (r *rig) open(credit int) {
	r.conns++
	r.conn, r.link = r.conns, nil
	r.step(Opened{Conn: r.conn, Topic: "p", Owner: true, Epoch: r.copy.Epoch, Seq: r.copy.Seq, Credit: credit})
}

// take lets the first message take effect and acknowledges it, unless the acknowledgement is lost.
func (r *rig) take(lost bool) {
	m := r.link[0]
	r.link = r.link[1:]
	if _, _, err := r.copy.Apply(m); err != nil {
		r.t.Fatalf("%v: %+v at %d", err, m, r.copy.Seq)
	}
	if !lost {
		r.step(Acked{Conn: r.conn, Epoch: r.copy.Epoch, Seq: r.copy.Seq, AddedCredit: 1})
	}
}

func (r *rig) settle() {
	for i := 0; len(r.link) > 0; i++ {
		if r.take(false); i > 10000 {
			r.t.Fatal("it never ends")
		}
	}
}

// The model: orders in their order, cuts at any moment, acknowledgements lost, doubled and late, a topic that is
// changed while nobody is there, a controller that starts anew. At rest what took effect is what was ordered; each
// number took effect once; each mark is answered once at most, and only after its values were there.
func TestModel(t *testing.T) {
	for seed := range int64(150) {
		chance := rand.New(rand.NewSource(seed))
		plan := DefaultConfig(uint64(seed + 1))
		plan.MaxUpdatesPerMessage, plan.Linger = 1+chance.Intn(6), 1<<40
		r := newRig(t, plan)
		mark, seen := 0, map[int]bool{}
		for range 400 {
			r.now++
			switch n := chance.Intn(20); {
			case n < 8:
				var sets []Update
				for range 1 + chance.Intn(5) {
					key := fmt.Sprintf("%c%d", 'a'+rune(chance.Intn(3)), chance.Intn(6))
					sets = append(sets, Update{Key: key, Deleted: chance.Intn(4) == 0, Value: Value{Number: float64(chance.Intn(4))}})
				}
				mark++
				r.step(TopicChanged{Topic: "p", Updates: sets, Marker: mark})
			case n < 14 && len(r.link) > 0:
				r.take(chance.Intn(5) == 0)
			case n == 14 && r.conn > 0: // late and doubled acknowledgements
				seq := r.copy.Seq - uint32(chance.Intn(2))
				r.step(Acked{Conn: r.conn, Epoch: r.copy.Epoch, Seq: seq, AddedCredit: chance.Intn(2)})
			case n == 15 && r.conn > 0: // cut; what was on the way is lost
				r.step(Closed{r.conn})
				r.conn, r.link = 0, nil
			case n < 18 && r.conn == 0, n == 18:
				r.open(1 + chance.Intn(3))
			case n == 19 && chance.Intn(6) == 0: // another controller, which is told the same orders
				plan.Epoch += 1000
				r.s = New(plan)
				var sets []Update
				for _, k := range slices.Sorted(maps.Keys(r.want)) {
					sets = append(sets, Update{Key: k, Value: r.want[k]})
				}
				r.conn, r.link = 0, nil
				r.step(TopicChanged{Topic: "p", Updates: sets})
			}
			for _, m := range r.marks {
				if seen[m] {
					t.Fatalf("seed %d: mark %d is answered twice", seed, m)
				}
				seen[m] = true
			}
			r.marks = nil
			if sets, _ := r.s.Pending("p"); sets > 18 {
				t.Fatalf("seed %d: %d sets wait of 18 keys", seed, sets)
			}
		}
		r.open(4)
		r.settle()
		if len(r.want) > 0 && !reflect.DeepEqual(r.copy.State, r.want) {
			t.Fatalf("seed %d: holds %v, ordered %v", seed, r.copy.State, r.want)
		}
	}
}

// Case 1: whatever of what was sent took effect before a cut, resuming goes on after it, with nothing twice.
func TestCase1Cut(t *testing.T) {
	for effect := range 6 {
		r := newRig(t, DefaultConfig(7))
		r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 1), set("b2", 2)}})
		r.open(8)
		for i := range 4 {
			r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", float64(10+i))}, Marker: i + 1})
		}
		if len(r.link) != 5 || !r.link[0].Snapshot {
			t.Fatalf("sent %+v", r.link)
		}
		for range min(effect, 5) {
			r.take(true)
		}
		r.step(Closed{r.conn})
		before := r.copy.Applied
		r.open(8)
		again := len(r.link)
		r.settle()
		if !reflect.DeepEqual(r.copy.State, r.want) || r.joined != 1 || len(r.marks) != 4 {
			t.Errorf("after %d: holds %v, joined %d times, marks %v", effect, r.copy.State, r.joined, r.marks)
		}
		// What may be missing is sent as one; what took effect is not sent again.
		if want := choose(effect < 5, 1, 0); again != want || r.copy.Applied != before+want {
			t.Errorf("after %d: %d messages on resuming, %d effects", effect, again, r.copy.Applied-before)
		}
	}
}

// Case 2: to a controller that does not know it, a subscriber is sent all; numbers that are lower there are no reason
// to pass it over. An epoch of a start within the same second is another.
func TestCase2AnotherController(t *testing.T) {
	r := newRig(t, DefaultConfig(7))
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 1), set("b2", 2)}})
	r.open(8)
	for i := range 20 {
		r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", float64(i))}})
		r.settle()
	}
	old := r.copy.Seq
	r.s = New(DefaultConfig(8))
	r.want = map[string]Value{}
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b3", 3)}})
	r.open(8)
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b4", 4)}})
	r.settle()
	if !reflect.DeepEqual(r.copy.State, r.want) || r.copy.Seq >= old || r.copy.Epoch != 8 {
		t.Errorf("holds %v at %d of %d", r.copy.State, r.copy.Seq, r.copy.Epoch)
	}
	// A change of the old one that comes late is nobody's.
	if _, fresh, err := r.copy.Apply(
		Send{Epoch: 7, Seq: old + 1, Prev: old, Updates: []Update{set("b1", 99)}},
	); fresh ||
		!errors.Is(err, ErrGap) {
		t.Errorf("a late change of another epoch: %v, %v", fresh, err)
	}
}

// Case 3: one that reads nothing costs what the topic holds and no more; what it reads last is what holds then, and
// what sorts first, as drains do, is read first.
func TestCase3Slow(t *testing.T) {
	plan := DefaultConfig(7)
	plan.MaxUpdatesPerMessage = 50
	r := newRig(t, plan)
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b0", 0)}})
	r.open(1)
	for i := range 20000 {
		r.step(TopicChanged{Topic: "p", Updates: []Update{set(fmt.Sprintf("b%d", i%200), float64(i))}, Marker: i + 1})
	}
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("a-drain", 1)}})
	if sets, messages := r.s.Pending("p"); sets > 201 || messages != 1 || len(r.link) != 1 {
		t.Fatalf("%d sets and %d messages wait", sets, messages)
	}
	r.take(false)
	if first := r.link[0]; first.Updates[0].Key != "a-drain" || len(first.Updates) != 50 {
		t.Errorf("the first of what waited is %+v", first.Updates[0])
	}
	r.settle()
	if !reflect.DeepEqual(r.copy.State, r.want) || r.copy.Applied != 6 || len(r.marks) != 20000 {
		t.Errorf("%d effects, %d marks answered", r.copy.Applied, len(r.marks))
	}
}

// Case 4: acknowledgements that are lost, doubled, late, of a connection that was replaced, for numbers never sent.
func TestCase4Acknowledgements(t *testing.T) {
	r := newRig(t, DefaultConfig(7))
	r.open(8)
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 1)}, Marker: 1})
	first := r.conn
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 2)}, Marker: 2})
	r.step(Acked{Conn: r.conn, Epoch: 7, Seq: 2}) // of both
	r.step(
		Acked{Conn: r.conn, Epoch: 7, Seq: 1},
		Acked{Conn: r.conn, Epoch: 7, Seq: 2},
		Acked{Conn: r.conn, Epoch: 6, Seq: 90},
	)
	if !slices.Equal(r.marks, []int{1, 2}) || len(r.closed) > 0 {
		t.Errorf("marks %v, closed %v", r.marks, r.closed)
	}
	r.copy.Epoch, r.copy.Seq = 7, 2
	r.open(8)
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 3)}, Marker: 3})
	r.step(Acked{Conn: first, Epoch: 7, Seq: 3})
	if len(r.marks) != 2 || !slices.Equal(r.closed, []Reason{ReasonReplaced}) {
		t.Errorf("marks %v by a connection that was replaced, closed %v", r.marks, r.closed)
	}
	r.step(Acked{Conn: r.conn, Epoch: 7, Seq: 4})
	if len(r.marks) != 2 || r.closed[1] != ReasonUnknownSequence {
		t.Errorf("a number never sent: marks %v, closed %v", r.marks, r.closed)
	}
	if _, conns, _ := r.s.Size(); conns != 0 {
		t.Errorf("%d connections are held", conns)
	}
}

// Case 5: of two connections the newer holds; that is no leaving and no joining. Served elsewhere, a topic ends at
// once; gone for the linger, its owner has left, once.
func TestCase5Newer(t *testing.T) {
	r := newRig(t, DefaultConfig(7))
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 1)}})
	r.open(8)
	r.settle()
	old := r.conn
	r.open(8)
	r.step(Closed{old}) // the old one is seen to end only now
	if r.joined != 1 || r.left != 0 {
		t.Errorf("joined %d times, left %d", r.joined, r.left)
	}
	r.step(Closed{r.conn})
	at, some := r.s.NextDeadline()
	if !some || at != r.now+r.s.config.Linger {
		t.Errorf("due at %v, %v", at, some)
	}
	r.now = at - 1
	r.step()
	r.now = at
	r.step()
	r.step()
	if r.left != 1 {
		t.Errorf("left %d times", r.left)
	}
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 1)}})
	r.open(8)
	r.step(TopicDropped{"p"})
	if topics, conns, values := r.s.Size(); r.left != 1 || r.closed[len(r.closed)-1] != ReasonReplaced ||
		topics+conns+values != 0 {
		t.Errorf("left %d, closed %v, %d topics, %d connections, %d values are held", r.left, r.closed, topics, conns, values)
	}
}

// Case 6: onlookers are bounded and let go of, and none of them makes the owner wait.
func TestCase6Onlookers(t *testing.T) {
	r := newRig(t, DefaultConfig(7))
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 1)}})
	r.open(8)
	for i := range 200 {
		r.step(Opened{Conn: 1000 + i, Topic: "p", Credit: 0}) // never any credit
	}
	if _, conns, _ := r.s.Size(); conns > 2+r.s.config.MaxObservers || len(r.closed) < 130 ||
		r.closed[0] != ReasonTooManyObservers {
		t.Errorf("%d connections, closed %d", conns, len(r.closed))
	}
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 2)}})
	if r.settle(); r.copy.State["b1"].Number != 2 {
		t.Errorf("the owner holds %v", r.copy.State)
	}
	for i := range 200 {
		r.step(Closed{1000 + i})
	}
	if _, conns, _ := r.s.Size(); conns != 1 {
		t.Errorf("%d connections are held", conns)
	}
}

// Case 7: numbers come to their end: the next message stands for all, and late acknowledgements are of before.
func TestCase7Wrap(t *testing.T) {
	r := newRig(t, DefaultConfig(7))
	r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", 1), set("b2", 2)}})
	r.open(8)
	r.settle()
	o := r.s.topics["p"].owner
	o.lastSeq, o.prevSeq, r.copy.Seq = 1<<32-2, 1<<32-2, 1<<32-2
	for i := range 4 {
		r.step(TopicChanged{Topic: "p", Updates: []Update{set("b1", float64(i+5))}})
		r.settle()
	}
	r.step(Acked{Conn: r.conn, Epoch: 7, Seq: 1<<32 - 1})
	if !reflect.DeepEqual(r.copy.State, r.want) || r.copy.Seq != 3 || len(r.closed) > 0 {
		t.Errorf("holds %v at %d, closed %v", r.copy.State, r.copy.Seq, r.closed)
	}
}
