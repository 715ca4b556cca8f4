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

// runOwner runs the commands of a queue until it is stopped.
func runOwner(q *session.CommandQueue) {
	for {
		select {
		case f := <-q.Commands():
			f()
		case <-q.Stopped():
			return
		}
	}
}

// On a full queue, Do blocks and Post does not. Post keeps the order, also when the owner calls it. After Stop, neither
// blocks.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := session.NewCommandQueue(2)
		var got []int
		for i := range 6 {
			q.Post(func() { got = append(got, i) })
		}
		blocked := true
		go func() {
			q.Do(func() { got = append(got, 100) })
			blocked = false
		}()
		synctest.Wait()
		if !blocked {
			t.Error("Do did not block on a full queue")
		}
		q.Post(func() {
			for i := range 5 {
				q.Post(func() { got = append(got, 10+i) })
			}
		})
		go runOwner(q)
		synctest.Wait()
		posted := slices.DeleteFunc(slices.Clone(got), func(i int) bool { return i == 100 })
		if want := []int{0, 1, 2, 3, 4, 5, 10, 11, 12, 13, 14}; blocked || len(got) != 12 || !slices.Equal(posted, want) {
			t.Errorf("ran %v, Do blocked: %v", got, blocked)
		}
		q.Stop()
		q.Stop()
		for range 5 {
			q.Do(func() { t.Error("a function ran after Stop") })
		}
		for range 5 {
			q.Post(func() { t.Error("a function ran after Stop") })
		}
		synctest.Wait() // the test fails if the goroutine that drains the overflow is still running
	})
}

// fixture is a Dialer with simulated peers. It records dials, messages and disconnects in a log.
type fixture struct {
	mu        sync.Mutex // protects log, listeners and accepted
	log       strings.Builder
	queue     *session.CommandQueue
	dialer    *session.Dialer
	listeners map[string]chan *rpc.Conn // accepted connections by address; dials to other addresses are refused
	startedAt time.Time
	accepted  []*rpc.Conn // all accepted connections, to be closed at the end
}

func newFixture(addresses ...string) *fixture {
	f := &fixture{
		queue:     session.NewCommandQueue(16),
		listeners: map[string]chan *rpc.Conn{},
		startedAt: time.Now(),
	}
	for _, a := range addresses {
		f.listeners[a] = make(chan *rpc.Conn, 64)
	}
	f.dialer = &session.Dialer{
		Queue:         f.queue,
		Clock:         clockwork.NewRealClock(),
		SelfName:      "me",
		RetryInterval: 250 * time.Millisecond,
		ReadTimeout:   3 * time.Second,
		Hello: func() *rpc.Message {
			return &rpc.Message{Hello: &rpc.Hello{Node: rpc.Node{Name: "me"}, Incarnation: 9}}
		},
		Dial: func(address string) (net.Conn, error) {
			listener := f.listener(address)
			if listener == nil {
				f.logf("dials %s: refused", address)
				return nil, errors.New("refused")
			}
			local, remote := net.Pipe()
			f.logf("dials %s", address)
			f.mu.Lock()
			defer f.mu.Unlock()
			conn := rpc.NewConn(remote)
			f.accepted = append(f.accepted, conn)
			listener <- conn
			return local, nil
		},
		OnMessage: func(name string, _ *rpc.Conn, m *rpc.Message) {
			if m.Hello != nil {
				f.logf("%s is up, life %d", name, m.Hello.Incarnation)
			} else {
				f.logf("%s says %d", name, m.WantAck)
			}
		},
		OnDisconnect: func(name string, _ *rpc.Conn) { f.logf("%s is lost", name) },
	}
	go runOwner(f.queue)
	for _, a := range addresses {
		f.queue.Do(func() { f.dialer.Connect(a) })
		time.Sleep(10 * time.Millisecond) // makes the order of the dials deterministic
	}
	return f
}

// listener returns the accepted connections of an address, or nil if the address refuses connections.
func (f *fixture) listener(address string) chan *rpc.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listeners[address]
}

// setListener makes an address accept connections, or refuse them if the listener is nil.
func (f *fixture) setListener(address string, listener chan *rpc.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[address] = listener
}

func (f *fixture) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(&f.log, "%5.2f %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// accept returns the next connection that an address accepts, after the Dialer's Hello on it.
func (f *fixture) accept(address string) *rpc.Conn {
	conn := <-f.listener(address)
	if m, err := conn.Receive(time.Second); err != nil || m.Hello == nil || m.Hello.Node.Name != "me" {
		f.logf("no hello at %s: %+v, %v", address, m, err)
	}
	return conn
}

// send sends a message to the Dialer and waits until it is handled.
func (f *fixture) send(conn *rpc.Conn, m *rpc.Message) {
	conn.Send(m)
	synctest.Wait()
}

func hello(name string, incarnation uint64) *rpc.Message {
	return &rpc.Message{Hello: &rpc.Hello{Node: rpc.Node{Name: name}, Incarnation: incarnation}}
}

func message(n uint64) *rpc.Message {
	return &rpc.Message{Acknowledgement: rpc.Acknowledgement{WantAck: n}}
}

// stop stops the queue and returns the log. The test fails if the Dialer's goroutines do not end by themselves.
func (f *fixture) stop() string {
	f.queue.Stop()
	time.Sleep(10 * time.Second)
	for _, conn := range f.accepted {
		conn.Close()
	}
	return f.log.String()
}

// The Dialer reconnects after a connection is closed or times out, and retries while its dials are refused.
func TestLineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a")
		conn := f.accept("a")
		f.send(conn, hello("core-0", 1))
		f.send(conn, message(1))
		f.queue.Do(func() { f.dialer.Connect("a"); f.dialer.Connect("") }) // both are ignored
		time.Sleep(time.Second)
		conn.Close()
		conn = f.accept("a")
		f.send(conn, hello("core-0", 1))
		time.Sleep(4 * time.Second) // exceeds the read timeout
		conn = f.accept("a")
		listener := f.listener("a")
		f.setListener("a", nil)
		conn.Close()
		time.Sleep(600 * time.Millisecond)
		f.setListener("a", listener)
		f.send(f.accept("a"), hello("core-0", 2))
		autogold.Equal(t, f.stop())
	})
}

// A connection is closed if its first message is no Hello, if it sends a second Hello, or if the Hello has no name. An
// address that leads back to this process is not dialed again.
func TestLineThatIsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b")
		f.send(f.accept("a"), message(1))
		f.send(f.accept("b"), hello("me", 9))
		conn := f.accept("a")
		f.send(conn, hello("core-0", 1))
		f.send(conn, hello("core-1", 1))
		f.send(conn, message(2))
		f.send(f.accept("a"), hello("", 1))
		f.accept("a")
		autogold.Equal(t, f.stop())
	})
}

// A node froze, was replaced by another one with its name, and resumes. Its messages are not handled, its connection is
// closed, and it does not replace the later incarnation. Guards against outdated routing tables.
func TestOlderLifeIsNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("old", "new")
		old := f.accept("old")
		f.send(old, hello("core-0", 1))
		f.send(old, message(1))
		replacement := f.accept("new")
		f.send(replacement, hello("core-0", 2))
		f.send(old, message(2))
		f.send(replacement, message(3))
		again := f.accept("old")
		f.send(again, hello("core-0", 1))
		f.send(again, message(4))
		time.Sleep(time.Second)
		f.send(replacement, message(5))
		replacement.Close()
		f.send(f.accept("new"), hello("core-0", 2))
		f.send(f.accept("old"), hello("core-0", 1)) // refused again, after duplicateRetryInterval
		autogold.Equal(t, f.stop())
	})
}

// Of two connections to the same peer at different addresses, only the first is used. The other one takes over when the
// first is lost.
func TestTwoAddressesOfOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b")
		a := f.accept("a")
		f.send(a, hello("core-0", 1))
		b := f.accept("b")
		f.send(b, hello("core-0", 1))
		f.send(b, message(1))
		f.send(a, message(2))
		f.setListener("a", nil)
		time.Sleep(1900 * time.Millisecond)
		a.Close()
		time.Sleep(1100 * time.Millisecond)
		b = f.accept("b")
		f.send(b, hello("core-0", 1))
		f.send(b, message(3))
		autogold.Equal(t, f.stop())
	})
}

// Messages that are still in the owner's queue when their connection is replaced are not handled.
func TestWordsThatWaitedAreNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("old", "new")
		old, replacement := f.accept("old"), f.accept("new")
		f.send(old, hello("core-0", 1))
		blockOwner := make(chan bool)
		f.queue.Do(func() { <-blockOwner })
		f.send(replacement, hello("core-0", 2))
		f.send(old, message(1))
		f.send(replacement, message(2))
		close(blockOwner)
		synctest.Wait()
		autogold.Equal(t, f.stop())
	})
}

// With PreferNewest, a newer connection of the same incarnation replaces the older one. An earlier incarnation never
// replaces a later one.
func TestPreferNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var conns []*rpc.Conn
		for range 40 {
			a, b := net.Pipe()
			conns = append(conns, rpc.NewConn(a))
			defer rpc.NewConn(b).Close()
			defer conns[len(conns)-1].Close()
		}
		isOpen := func(conn *rpc.Conn) bool {
			began := time.Now()
			_, err := conn.Receive(time.Second)
			return err != nil && time.Since(began) == time.Second
		}
		sessions := session.Sessions{PreferNewest: true}
		register := func(i int, incarnation uint64, wantOK bool, wantReplaced *rpc.Conn) {
			t.Helper()
			conn := conns[i]
			replaced, ok := sessions.Register(hello("edge-0", incarnation).Hello, session.Handshake(i+1), conn)
			if ok != wantOK || replaced != wantReplaced || isOpen(conn) != ok || replaced != nil && isOpen(replaced) ||
				sessions.IsCurrent("edge-0", conn) != ok {
				t.Errorf("connection %d of incarnation %d: registered %v, replaced %v", i, incarnation, ok, replaced)
			}
		}
		register(0, 1, true, nil)
		register(1, 1, true, conns[0])
		register(1, 1, true, nil) // the same connection again
		register(2, 2, true, conns[1])
		register(3, 1, false, nil)
		if sessions.Unregister("edge-0", conns[1]) || !sessions.Unregister("edge-0", conns[2]) ||
			sessions.IsCurrent("edge-0", nil) {
			t.Error("Unregister or IsCurrent confuses closed connections")
		}
		register(4, 1, false, nil)
		for i := range 30 { // more incarnations than are remembered
			sessions.Unregister("edge-0", conns[4+i])
			register(5+i, uint64(3+i), true, nil)
		}
		register(36, 31, false, nil)
		if sessions.IsCurrent("edge-1", conns[0]) || sessions.Unregister("edge-1", conns[0]) {
			t.Error("an unknown peer has a current connection")
		}
	})
}

// Guards against refusing the running process of a peer for good because the connection of an earlier, dead process was
// read after its own: the process with the later handshake is current, in whichever order the two are registered.
func TestOrderOfHandshakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dead, running = 1, 2
		newConn := func() *rpc.Conn {
			local, remote := net.Pipe()
			conn := rpc.NewConn(local)
			t.Cleanup(conn.Close)
			t.Cleanup(func() { _ = remote.Close() })
			return conn
		}
		for _, preferNewest := range []bool{false, true} {
			sessions := session.Sessions{PreferNewest: preferNewest}
			ofDead, ofRunning := sessions.StartHandshake(), sessions.StartHandshake()
			current := newConn()
			if _, ok := sessions.Register(hello("core-1", running).Hello, ofRunning, current); !ok {
				t.Fatal("the first connection is refused")
			}
			if _, ok := sessions.Register(hello("core-1", dead).Hello, ofDead, newConn()); ok {
				t.Error("the connection of a process that ended before the current one started is registered")
			}
			if !sessions.IsCurrent("core-1", current) {
				t.Error("the running process has lost its connection")
			}
			if !sessions.IsPast(hello("core-1", dead).Hello) || sessions.IsPast(hello("core-1", running).Hello) {
				t.Error("the running process is taken for the earlier one")
			}
			sessions.Unregister("core-1", current)
			again := newConn()
			if _, ok := sessions.Register(hello("core-1", running).Hello, sessions.StartHandshake(), again); !ok {
				t.Error("a new connection of the running process is refused")
			}
			if _, ok := sessions.Register(hello("core-1", dead).Hello, sessions.StartHandshake(), newConn()); ok {
				t.Error("an earlier process replaces a later one")
			}
		}
	})
}

// With PreferNewest, a connection whose handshake began earlier does not replace one of the same incarnation.
func TestOlderHandshakeOfSameIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sessions := session.Sessions{PreferNewest: true}
		local, remote := net.Pipe()
		older, newer := rpc.NewConn(local), rpc.NewConn(remote)
		defer older.Close()
		defer newer.Close()
		first, second := sessions.StartHandshake(), sessions.StartHandshake()
		sessions.Register(hello("edge-0", 1).Hello, second, newer)
		if _, ok := sessions.Register(hello("edge-0", 1).Hello, first, older); ok || !sessions.IsCurrent("edge-0", newer) {
			t.Error("an abandoned connection has replaced the newer one")
		}
	})
}

// Guards against a dial to a machine that was down, which blocks until its timeout, delaying the connection once the
// machine is back.
func TestRetryNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var mu sync.Mutex
		var dials []time.Duration
		var reachable atomic.Bool
		dialer := &session.Dialer{
			Queue:         session.NewCommandQueue(8),
			Clock:         clockwork.NewRealClock(),
			RetryInterval: time.Second,
			ReadTimeout:   time.Second,
			Dial: func(string) (net.Conn, error) {
				mu.Lock()
				dials = append(dials, time.Since(began))
				mu.Unlock()
				if !reachable.Load() {
					time.Sleep(350 * time.Millisecond)
					return nil, net.ErrClosed
				}
				local, remote := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, remote) }()
				return local, nil
			},
			Hello:        func() *rpc.Message { return &rpc.Message{} },
			OnMessage:    func(string, *rpc.Conn, *rpc.Message) {},
			OnDisconnect: func(string, *rpc.Conn) {},
		}
		dialer.RetryNow("unknown") // ignored
		dialer.Connect("address")
		time.Sleep(100 * time.Millisecond)
		reachable.Store(true)
		dialer.RetryNow("address")
		time.Sleep(100 * time.Millisecond)
		dialer.Queue.Stop()
		time.Sleep(5 * time.Second) // until all goroutines have ended
		mu.Lock()
		defer mu.Unlock()
		if len(dials) != 2 || dials[1] != 100*time.Millisecond {
			t.Errorf("dialed at %v, want at 0 and 100 ms", dials)
		}
	})
}
