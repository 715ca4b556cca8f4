package session_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/gateway/session"
)

// own runs the queue's commands until it is stopped.
func own(q *session.CommandQueue) {
	for {
		select {
		case f := <-q.Commands():
			f()
		case <-q.Stopped():
			return
		}
	}
}

// Do waits for room, Post does not and keeps its order beyond it, also when it is the owner who posts; after Stop
// nobody waits.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := session.NewCommandQueue(2)
		var got []int
		for i := range 6 {
			q.Post(func() { got = append(got, i) })
		}
		waits := true
		go func() {
			q.Do(func() { got = append(got, 100) })
			waits = false
		}()
		synctest.Wait()
		if !waits {
			t.Error("Do found room where there is none")
		}
		q.Post(func() {
			for i := range 5 {
				q.Post(func() { got = append(got, 10+i) })
			}
		})
		go own(q)
		synctest.Wait()
		posted := slices.DeleteFunc(slices.Clone(got), func(i int) bool { return i == 100 })
		if want := []int{0, 1, 2, 3, 4, 5, 10, 11, 12, 13, 14}; waits || len(got) != 12 || !slices.Equal(posted, want) {
			t.Errorf("%v, Do waits %v", got, waits)
		}
		q.Stop()
		q.Stop()
		for range 5 {
			q.Do(func() { t.Error("done after the end") })
		}
		for range 5 {
			q.Post(func() { t.Error("done after the end") })
		}
		synctest.Wait() // the goroutine that takes what is over has ended too, or the bubble does not
	})
}

// stage is a Keeper of addresses where scripted speakers accept lines.
type stage struct {
	mu    sync.Mutex // of out and lines
	out   strings.Builder
	q     *session.CommandQueue
	k     *session.Dialer
	lines map[string]chan *rpc.Conn // that were accepted at an address; none: it refuses
	began time.Time
	// All that were accepted: a line that nobody reads ends with Close alone.
	accepted []*rpc.Conn
}

func begin(addresses ...string) *stage {
	s := &stage{q: session.NewCommandQueue(16), lines: map[string]chan *rpc.Conn{}, began: time.Now()}
	for _, a := range addresses {
		s.lines[a] = make(chan *rpc.Conn, 64)
	}
	s.k = &session.Dialer{
		Queue:         s.q,
		Clock:         clockwork.NewRealClock(),
		SelfName:      "me",
		RetryInterval: 250 * time.Millisecond,
		ReadTimeout:   3 * time.Second,
		Hello: func() *rpc.Message {
			return &rpc.Message{Hello: &rpc.Hello{Node: rpc.Node{Name: "me"}, Incarnation: 9}}
		},
		Dial: func(address string) (net.Conn, error) {
			accepts := s.at(address)
			if accepts == nil {
				s.note("dials %s: refused", address)
				return nil, errors.New("refused")
			}
			here, there := net.Pipe()
			s.note("dials %s", address)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.accepted = append(s.accepted, rpc.NewConn(there))
			accepts <- s.accepted[len(s.accepted)-1]
			return here, nil
		},
		OnMessage: func(name string, _ *rpc.Conn, m *rpc.Message) {
			if m.Hello != nil {
				s.note("%s is up, life %d", name, m.Hello.Incarnation)
			} else {
				s.note("%s says %d", name, m.WantAck)
			}
		},
		OnDisconnect: func(name string, _ *rpc.Conn) { s.note("%s is lost", name) },
	}
	go own(s.q)
	for _, a := range addresses {
		s.q.Do(func() { s.k.Connect(a) })
		time.Sleep(10 * time.Millisecond) // nothing happens at one moment, so that its order is always the same
	}
	return s
}

// at is where lines to an address are accepted, nil: nowhere.
func (s *stage) at(address string) chan *rpc.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines[address]
}

// accept lets an address accept lines, or refuse them (nil).
func (s *stage) accept(address string, lines chan *rpc.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines[address] = lines
}

func (s *stage) note(format string, v ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.out, "%5.2f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, v...))
}

// line is the next one that was accepted, the keeper's hello read.
func (s *stage) line(address string) *rpc.Conn {
	l := <-s.at(address)
	if m, err := l.Receive(time.Second); err != nil || m.Hello == nil || m.Hello.Node.Name != "me" {
		s.note("no hello at %s: %+v, %v", address, m, err)
	}
	return l
}

func (s *stage) says(l *rpc.Conn, m *rpc.Message) {
	l.Send(m)
	synctest.Wait()
}

func hello(name string, life uint64) *rpc.Message {
	return &rpc.Message{Hello: &rpc.Hello{Node: rpc.Node{Name: name}, Incarnation: life}}
}

func word(n uint64) *rpc.Message {
	return &rpc.Message{Acknowledgement: rpc.Acknowledgement{WantAck: n}}
}

// end stops the queue; the keeper's goroutines must end by themselves, or the bubble does not.
func (s *stage) end() string {
	s.q.Stop()
	time.Sleep(10 * time.Second)
	for _, l := range s.accepted {
		l.Close()
	}
	return s.out.String()
}

// A line is dialled, heard, lost by its end or by silence, and dialled again; who refuses is dialled until it does not.
func TestLineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := begin("a")
		l := s.line("a")
		s.says(l, hello("core-0", 1))
		s.says(l, word(1))
		s.q.Do(func() { s.k.Connect("a"); s.k.Connect("") }) // kept already, and nobody
		time.Sleep(time.Second)
		l.Close()
		l = s.line("a")
		s.says(l, hello("core-0", 1))
		time.Sleep(4 * time.Second) // it says nothing
		l = s.line("a")
		lines := s.at("a")
		s.accept("a", nil)
		l.Close()
		time.Sleep(600 * time.Millisecond)
		s.accept("a", lines)
		s.says(s.line("a"), hello("core-0", 2))
		autogold.Equal(t, s.end())
	})
}

// A line that says something before its hello, or hello twice or namelessly, ends; one that leads back here is
// given up.
func TestLineThatIsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := begin("a", "b")
		s.says(s.line("a"), word(1))
		s.says(s.line("b"), hello("me", 9))
		l := s.line("a")
		s.says(l, hello("core-0", 1))
		s.says(l, hello("core-1", 1))
		s.says(l, word(2))
		s.says(s.line("a"), hello("", 1))
		s.line("a")
		autogold.Equal(t, s.end())
	})
}

// A controller that froze and was replaced under its name wakes: what lies in its line is not handed on, its line is
// closed, and it does not take the place of the one that came after it. Guards against tables of an older life.
func TestOlderLifeIsNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := begin("old", "new")
		old := s.line("old")
		s.says(old, hello("core-0", 1))
		s.says(old, word(1))
		next := s.line("new")
		s.says(next, hello("core-0", 2))
		s.says(old, word(2))
		s.says(next, word(3))
		again := s.line("old")
		s.says(again, hello("core-0", 1))
		s.says(again, word(4))
		time.Sleep(time.Second)
		s.says(next, word(5))
		next.Close()
		s.says(s.line("new"), hello("core-0", 2))
		s.says(s.line("old"), hello("core-0", 1)) // after a rest, and refused again
		autogold.Equal(t, s.end())
	})
}

// A speaker that is reached at two addresses speaks on one line; when that is lost, on the other.
func TestTwoAddressesOfOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := begin("a", "b")
		a := s.line("a")
		s.says(a, hello("core-0", 1))
		b := s.line("b")
		s.says(b, hello("core-0", 1))
		s.says(b, word(1))
		s.says(a, word(2))
		s.accept("a", nil)
		time.Sleep(1900 * time.Millisecond)
		a.Close()
		time.Sleep(1100 * time.Millisecond)
		b = s.line("b")
		s.says(b, hello("core-0", 1))
		s.says(b, word(3))
		autogold.Equal(t, s.end())
	})
}

// Words that wait in the owner's queue when their line is replaced are not handed on either.
func TestWordsThatWaitedAreNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := begin("old", "new")
		old, next := s.line("old"), s.line("new")
		s.says(old, hello("core-0", 1))
		hold := make(chan bool)
		s.q.Do(func() { <-hold })
		s.says(next, hello("core-0", 2))
		s.says(old, word(1))
		s.says(next, word(2))
		close(hold)
		synctest.Wait()
		autogold.Equal(t, s.end())
	})
}

// Where others dial, the later line of one life takes the place of the earlier one; an earlier life never does.
func TestAcceptedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all []*rpc.Conn
		for range 40 {
			a, b := net.Pipe()
			all = append(all, rpc.NewConn(a))
			defer rpc.NewConn(b).Close()
			defer all[len(all)-1].Close()
		}
		open := func(l *rpc.Conn) bool {
			began := time.Now()
			_, err := l.Receive(time.Second)
			return err != nil && time.Since(began) == time.Second
		}
		lines := session.Sessions{PreferNewest: true}
		take := func(i int, life uint64, wantOK bool, wantReplaced *rpc.Conn) {
			t.Helper()
			replaced, ok := lines.Register(hello("edge-0", life).Hello, all[i])
			if ok != wantOK || replaced != wantReplaced || open(all[i]) != ok || replaced != nil && open(replaced) ||
				lines.IsCurrent("edge-0", all[i]) != ok {
				t.Errorf("line %d of life %d: %v, replaced %v", i, life, ok, replaced)
			}
		}
		take(0, 1, true, nil)
		take(1, 1, true, all[0])
		take(1, 1, true, nil) // hello again
		take(2, 2, true, all[1])
		take(3, 1, false, nil)
		if lines.Unregister("edge-0", all[1]) || !lines.Unregister("edge-0", all[2]) || lines.IsCurrent("edge-0", nil) {
			t.Error("lost lines are mixed up")
		}
		take(4, 1, false, nil)
		for i := range 30 { // many lives: what is remembered of them is bounded, the last ones are
			lines.Unregister("edge-0", all[4+i])
			take(5+i, uint64(3+i), true, nil)
		}
		take(36, 31, false, nil)
		if lines.IsCurrent("edge-1", all[0]) || lines.Unregister("edge-1", all[0]) {
			t.Error("a name that nobody has said")
		}
	})
}

// Guards against a dial to a machine that was dark, which hangs until its time is over, holding up the line to it
// once it is heard of.
func TestDialledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var mu sync.Mutex
		var dials []time.Duration
		var light atomic.Bool
		k := &session.Dialer{
			Queue:         session.NewCommandQueue(8),
			Clock:         clockwork.NewRealClock(),
			RetryInterval: time.Second,
			ReadTimeout:   time.Second,
			Dial: func(string) (net.Conn, error) {
				mu.Lock()
				dials = append(dials, time.Since(began))
				mu.Unlock()
				if !light.Load() {
					time.Sleep(350 * time.Millisecond)
					return nil, net.ErrClosed
				}
				here, there := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, there) }()
				return here, nil
			},
			Hello:        func() *rpc.Message { return &rpc.Message{} },
			OnMessage:    func(string, *rpc.Conn, *rpc.Message) {},
			OnDisconnect: func(string, *rpc.Conn) {},
		}
		k.RetryNow("nowhere") // what is not kept is let be
		k.Connect("there")
		time.Sleep(100 * time.Millisecond)
		light.Store(true)
		k.RetryNow("there")
		time.Sleep(100 * time.Millisecond)
		k.Queue.Stop()
		time.Sleep(5 * time.Second) // what dials or waits sees the end
		mu.Lock()
		defer mu.Unlock()
		if len(dials) != 2 || dials[1] != 100*time.Millisecond {
			t.Errorf("dialled at %v, want at 0 and 100 ms", dials)
		}
	})
}
