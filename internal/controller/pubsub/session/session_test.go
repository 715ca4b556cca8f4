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

func update(key string, number float64) Update {
	return Update{Key: key, Value: Value{Number: number}}
}

// harness connects a Broker to the replica of one owner over a simulated link.
type harness struct {
	t        *testing.T
	broker   *Broker
	now      Time
	replica  Replica
	conn     int // 0: disconnected
	lastConn int
	link     []Send           // messages in flight to the replica
	want     map[string]Value // the reference state: each update applied at once
	markers  []int            // acknowledged
	joined   int
	left     int
	closed   []Reason
}

func newHarness(t *testing.T, config Config) *harness {
	return &harness{t: t, broker: New(config), now: 10, want: map[string]Value{}}
}

func (h *harness) step(events ...Event) {
	for _, event := range events {
		if change, ok := event.(TopicChanged); ok {
			for _, u := range change.Updates {
				if u.Deleted {
					delete(h.want, u.Key)
				} else {
					h.want[u.Key] = u.Value
				}
			}
		}
	}
	for _, action := range h.broker.Step(h.now, events) {
		switch action := action.(type) {
		case Send:
			if action.Conn == h.conn {
				h.link = append(h.link, action)
			}
		case MarkerAcked:
			h.markers = append(h.markers, action.Marker)
		case OwnerJoined:
			h.joined++
		case OwnerLeft:
			h.left++
		case Close:
			h.closed = append(h.closed, action.Reason)
		}
	}
}

func (h *harness) open(credit int) {
	h.lastConn++
	h.conn, h.link = h.lastConn, nil
	h.step(Opened{Conn: h.conn, Topic: "p", Owner: true, Epoch: h.replica.Epoch, Seq: h.replica.Seq, Credit: credit})
}

// deliver applies the first message in flight and acknowledges it, unless the acknowledgement is lost.
func (h *harness) deliver(ackLost bool) {
	m := h.link[0]
	h.link = h.link[1:]
	if _, _, err := h.replica.Apply(m); err != nil {
		h.t.Fatalf("%v: %+v at %d", err, m, h.replica.Seq)
	}
	if !ackLost {
		h.step(Acked{Conn: h.conn, Epoch: h.replica.Epoch, Seq: h.replica.Seq, AddedCredit: 1})
	}
}

// deliverAll delivers messages until none is in flight.
func (h *harness) deliverAll() {
	for i := 0; len(h.link) > 0; i++ {
		if h.deliver(false); i > 10000 {
			h.t.Fatal("messages are still in flight after 10000 deliveries")
		}
	}
}

// Under random updates, disconnects, controller restarts, and lost, repeated and late acknowledgements, the replica
// converges to the reference state, no marker is acknowledged twice, and the backlog never exceeds the keys of the
// topic.
func TestModel(t *testing.T) {
	for seed := range int64(150) {
		random := rand.New(rand.NewSource(seed))
		config := DefaultConfig(uint64(seed + 1))
		config.MaxUpdatesPerMessage, config.Linger = 1+random.Intn(6), 1<<40
		h := newHarness(t, config)
		marker, seen := 0, map[int]bool{}
		for range 400 {
			h.now++
			switch n := random.Intn(20); {
			case n < 8:
				var updates []Update
				for range 1 + random.Intn(5) {
					key := fmt.Sprintf("%c%d", 'a'+rune(random.Intn(3)), random.Intn(6))
					updates = append(updates, Update{
						Key: key, Deleted: random.Intn(4) == 0, Value: Value{Number: float64(random.Intn(4))},
					})
				}
				marker++
				h.step(TopicChanged{Topic: "p", Updates: updates, Marker: marker})
			case n < 14 && len(h.link) > 0:
				h.deliver(random.Intn(5) == 0)
			case n == 14 && h.conn > 0: // a late or repeated acknowledgement
				seq := h.replica.Seq - uint32(random.Intn(2))
				h.step(Acked{Conn: h.conn, Epoch: h.replica.Epoch, Seq: seq, AddedCredit: random.Intn(2)})
			case n == 15 && h.conn > 0: // disconnect; messages in flight are lost
				h.step(Closed{h.conn})
				h.conn, h.link = 0, nil
			case n < 18 && h.conn == 0, n == 18:
				h.open(1 + random.Intn(3))
			case n == 19 && random.Intn(6) == 0: // another controller with the same state
				config.Epoch += 1000
				h.broker = New(config)
				var updates []Update
				for _, k := range slices.Sorted(maps.Keys(h.want)) {
					updates = append(updates, Update{Key: k, Value: h.want[k]})
				}
				h.conn, h.link = 0, nil
				h.step(TopicChanged{Topic: "p", Updates: updates})
			}
			for _, m := range h.markers {
				if seen[m] {
					t.Fatalf("seed %d: marker %d is acknowledged twice", seed, m)
				}
				seen[m] = true
			}
			h.markers = nil
			if updates, _ := h.broker.Pending("p"); updates > 18 {
				t.Fatalf("seed %d: %d updates are pending for 18 keys", seed, updates)
			}
		}
		h.open(4)
		h.deliverAll()
		if len(h.want) > 0 && !reflect.DeepEqual(h.replica.State, h.want) {
			t.Fatalf("seed %d: replica holds %v, want %v", seed, h.replica.State, h.want)
		}
	}
}

// After a disconnect, the owner resumes after the last message that it applied, and receives nothing twice.
func TestResumeAfterDisconnect(t *testing.T) {
	for applied := range 6 {
		h := newHarness(t, DefaultConfig(7))
		h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 1), update("b2", 2)}})
		h.open(8)
		for i := range 4 {
			h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", float64(10+i))}, Marker: i + 1})
		}
		if len(h.link) != 5 || !h.link[0].Snapshot {
			t.Fatalf("sent %+v", h.link)
		}
		for range min(applied, 5) {
			h.deliver(true)
		}
		h.step(Closed{h.conn})
		before := h.replica.Applied
		h.open(8)
		resent := len(h.link)
		h.deliverAll()
		if !reflect.DeepEqual(h.replica.State, h.want) || h.joined != 1 || len(h.markers) != 4 {
			t.Errorf("after %d messages: replica holds %v, owner joined %d times, markers %v",
				applied, h.replica.State, h.joined, h.markers)
		}
		// All updates that may be lost are resent in one message.
		if want := choose(applied < 5, 1, 0); resent != want || h.replica.Applied != before+want {
			t.Errorf("after %d messages: %d sent on resuming, %d applied", applied, resent, h.replica.Applied-before)
		}
	}
}

// A controller with another epoch sends a snapshot, which the replica applies although its sequence number is lower.
func TestSnapshotFromAnotherController(t *testing.T) {
	h := newHarness(t, DefaultConfig(7))
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 1), update("b2", 2)}})
	h.open(8)
	for i := range 20 {
		h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", float64(i))}})
		h.deliverAll()
	}
	oldSeq := h.replica.Seq
	h.broker = New(DefaultConfig(8))
	h.want = map[string]Value{}
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b3", 3)}})
	h.open(8)
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b4", 4)}})
	h.deliverAll()
	if !reflect.DeepEqual(h.replica.State, h.want) || h.replica.Seq >= oldSeq || h.replica.Epoch != 8 {
		t.Errorf("replica holds %v at sequence number %d of epoch %d", h.replica.State, h.replica.Seq, h.replica.Epoch)
	}
	// A late delta of the old controller is rejected.
	late := Send{Epoch: 7, Seq: oldSeq + 1, Prev: oldSeq, Updates: []Update{update("b1", 99)}}
	if _, fresh, err := h.replica.Apply(late); fresh || !errors.Is(err, ErrGap) {
		t.Errorf("a late delta of another epoch: applied %v, error %v", fresh, err)
	}
}

// The backlog of a slow owner never exceeds the keys of the topic and is sent in key order, with the current values.
func TestBacklogOfSlowOwner(t *testing.T) {
	config := DefaultConfig(7)
	config.MaxUpdatesPerMessage = 50
	h := newHarness(t, config)
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b0", 0)}})
	h.open(1)
	for i := range 20000 {
		h.step(TopicChanged{Topic: "p", Updates: []Update{update(fmt.Sprintf("b%d", i%200), float64(i))}, Marker: i + 1})
	}
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("a-drain", 1)}})
	if updates, messages := h.broker.Pending("p"); updates > 201 || messages != 1 || len(h.link) != 1 {
		t.Fatalf("%d updates are pending and %d messages in flight", updates, messages)
	}
	h.deliver(false)
	if first := h.link[0]; first.Updates[0].Key != "a-drain" || len(first.Updates) != 50 {
		t.Errorf("the first pending update is %+v", first.Updates[0])
	}
	h.deliverAll()
	if !reflect.DeepEqual(h.replica.State, h.want) || h.replica.Applied != 6 || len(h.markers) != 20000 {
		t.Errorf("%d messages applied, %d markers acknowledged", h.replica.Applied, len(h.markers))
	}
}

// Late and repeated acknowledgements, and those of another epoch or a replaced connection, have no effect.
// Acknowledging a sequence number that was never sent closes the connection.
func TestAcknowledgements(t *testing.T) {
	h := newHarness(t, DefaultConfig(7))
	h.open(8)
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 1)}, Marker: 1})
	first := h.conn
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 2)}, Marker: 2})
	h.step(Acked{Conn: h.conn, Epoch: 7, Seq: 2}) // acknowledges both
	h.step(
		Acked{Conn: h.conn, Epoch: 7, Seq: 1},
		Acked{Conn: h.conn, Epoch: 7, Seq: 2},
		Acked{Conn: h.conn, Epoch: 6, Seq: 90},
	)
	if !slices.Equal(h.markers, []int{1, 2}) || len(h.closed) > 0 {
		t.Errorf("markers %v, closed %v", h.markers, h.closed)
	}
	h.replica.Epoch, h.replica.Seq = 7, 2
	h.open(8)
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 3)}, Marker: 3})
	h.step(Acked{Conn: first, Epoch: 7, Seq: 3})
	if len(h.markers) != 2 || !slices.Equal(h.closed, []Reason{ReasonReplaced}) {
		t.Errorf("acknowledged on a replaced connection: markers %v, closed %v", h.markers, h.closed)
	}
	h.step(Acked{Conn: h.conn, Epoch: 7, Seq: 4})
	if len(h.markers) != 2 || h.closed[1] != ReasonUnknownSequence {
		t.Errorf("acknowledged a sequence number never sent: markers %v, closed %v", h.markers, h.closed)
	}
	if _, conns, _ := h.broker.Size(); conns != 0 {
		t.Errorf("%d connections remain", conns)
	}
}

// A newer connection of the owner replaces the older one without OwnerLeft or OwnerJoined. OwnerLeft is reported once,
// after the linger. A dropped topic ends at once, without OwnerLeft.
func TestOwnerReplacedLeftAndDropped(t *testing.T) {
	h := newHarness(t, DefaultConfig(7))
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 1)}})
	h.open(8)
	h.deliverAll()
	oldConn := h.conn
	h.open(8)
	h.step(Closed{oldConn}) // the end of the old connection is reported late
	if h.joined != 1 || h.left != 0 {
		t.Errorf("owner joined %d times, left %d times", h.joined, h.left)
	}
	h.step(Closed{h.conn})
	deadline, ok := h.broker.NextDeadline()
	if !ok || deadline != h.now+h.broker.config.Linger {
		t.Errorf("next deadline %v, %v", deadline, ok)
	}
	h.now = deadline - 1
	h.step()
	h.now = deadline
	h.step()
	h.step()
	if h.left != 1 {
		t.Errorf("owner left %d times", h.left)
	}
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 1)}})
	h.open(8)
	h.step(TopicDropped{"p"})
	if topics, conns, values := h.broker.Size(); h.left != 1 || h.closed[len(h.closed)-1] != ReasonReplaced ||
		topics+conns+values != 0 {
		t.Errorf("owner left %d times, closed %v; %d topics, %d connections, %d values remain",
			h.left, h.closed, topics, conns, values)
	}
}

// The number of observers is limited, closed ones are removed, and observers without credit do not block the owner.
func TestObservers(t *testing.T) {
	h := newHarness(t, DefaultConfig(7))
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 1)}})
	h.open(8)
	for i := range 200 {
		h.step(Opened{Conn: 1000 + i, Topic: "p", Credit: 0})
	}
	if _, conns, _ := h.broker.Size(); conns > 2+h.broker.config.MaxObservers || len(h.closed) < 130 ||
		h.closed[0] != ReasonTooManyObservers {
		t.Errorf("%d connections remain, %d closed", conns, len(h.closed))
	}
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 2)}})
	if h.deliverAll(); h.replica.State["b1"].Number != 2 {
		t.Errorf("replica of the owner holds %v", h.replica.State)
	}
	for i := range 200 {
		h.step(Closed{1000 + i})
	}
	if _, conns, _ := h.broker.Size(); conns != 1 {
		t.Errorf("%d connections remain", conns)
	}
}

// When the sequence number wraps around, the next message is a snapshot, and late acknowledgements have no effect.
func TestSequenceNumberWraps(t *testing.T) {
	h := newHarness(t, DefaultConfig(7))
	h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", 1), update("b2", 2)}})
	h.open(8)
	h.deliverAll()
	owner := h.broker.topics["p"].owner
	owner.lastSeq, owner.prevSeq, h.replica.Seq = 1<<32-2, 1<<32-2, 1<<32-2
	for i := range 4 {
		h.step(TopicChanged{Topic: "p", Updates: []Update{update("b1", float64(i+5))}})
		h.deliverAll()
	}
	h.step(Acked{Conn: h.conn, Epoch: 7, Seq: 1<<32 - 1})
	if !reflect.DeepEqual(h.replica.State, h.want) || h.replica.Seq != 3 || len(h.closed) > 0 {
		t.Errorf("replica holds %v at sequence number %d, closed %v", h.replica.State, h.replica.Seq, h.closed)
	}
}
