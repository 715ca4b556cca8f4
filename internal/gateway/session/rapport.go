// Package session keeps a process in touch with others by lines, and lets one goroutine own what they say: a Queue
// hands it commands, a Keeper dials and listens, and Lines settles which line speaks for whom, so that no word of a
// line that was replaced, or of an earlier life of its speaker, is ever handed on.
package session

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"elmfold/internal/gateway/rpc"
)

// Queue is what an owner, a goroutine that runs the functions of C one by one, is yet to do. Safe for concurrent use.
type Queue struct {
	c       chan func()
	stopped chan struct{}
	once    sync.Once
	mu      sync.Mutex
	over    []func() // posted while there was no room, in their order; a goroutine takes them to c
}

// NewQueue makes a Queue with room for so many commands, which must be over 0.
func NewQueue(room int) *Queue {
	return &Queue{c: make(chan func(), room), stopped: make(chan struct{})}
}

// Do queues f, and waits for room unless the queue is stopped. Never call it on the owner's goroutine: a full queue
// would wait for itself.
func (q *Queue) Do(f func()) {
	select {
	case q.c <- f:
	case <-q.stopped:
	}
}

// Post queues f and never waits: for callbacks that may come on the owner's own goroutine, as a disk's do when it
// refuses at once. What is posted from one goroutine keeps its order.
func (q *Queue) Post(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.over) == 0 {
		select {
		case q.c <- f:
			return
		default:
			go q.pour()
		}
	}
	q.over = append(q.over, f)
}

func (q *Queue) pour() {
	for n := 1; n > 0; {
		q.mu.Lock()
		f := q.over[0]
		q.mu.Unlock()
		q.Do(f)
		q.mu.Lock()
		q.over[0], q.over = nil, q.over[1:]
		n = len(q.over)
		q.mu.Unlock()
	}
}

// C is where the owner takes commands from.
func (q *Queue) C() <-chan func() { return q.c }

// Stop ends the queue: nothing waits for room any more, and Keepers dial no more. It may be called more than once.
func (q *Queue) Stop() { q.once.Do(func() { close(q.stopped) }) }

// Stopped is closed by Stop.
func (q *Queue) Stopped() <-chan struct{} { return q.stopped }

// Lines are the lines that speak, one a name. The zero value is empty. It belongs to an owner.
type Lines struct {
	// Latest: of two lines of one life the later one counts, as it does where the others dial; else the one that stands.
	Latest bool
	by     map[string]*speaker
}

type speaker struct {
	line *rpc.Conn // nil: none
	life uint64    // the newest one seen
	past []uint64  // lives that it followed, the newest pastMost
}

const pastMost = 16

// Take lets a line speak for the one who says hello on it. ok is false if another one does so rightly, or a later life
// of that name has been heard; the line is closed then. Else replaced is the line that spoke until now, which is closed
// (nil: none).
func (l *Lines) Take(hello *rpc.Hello, line *rpc.Conn) (replaced *rpc.Conn, ok bool) {
	if l.by == nil {
		l.by = map[string]*speaker{}
	}
	s := l.by[hello.Node.Name]
	if s == nil {
		s = &speaker{life: hello.Incarnation}
		l.by[hello.Node.Name] = s
	}
	if slices.Contains(s.past, hello.Incarnation) || s.life == hello.Incarnation && s.line != nil && s.line != line && !l.Latest {
		line.Close()
		return nil, false
	}
	if s.life != hello.Incarnation {
		if s.past = append(s.past, s.life); len(s.past) > pastMost {
			s.past = slices.Delete(s.past, 0, 1)
		}
		s.life = hello.Incarnation
	}
	if replaced = s.line; replaced == line {
		replaced = nil
	}
	if s.line = line; replaced != nil {
		replaced.Close()
	}
	return replaced, true
}

// Speaks says whether the line is the one that speaks for the name.
func (l *Lines) Speaks(name string, line *rpc.Conn) bool {
	s := l.by[name]
	return s != nil && s.line == line && line != nil
}

// Lost closes a line, and says whether it was the one that spoke for the name.
func (l *Lines) Lost(name string, line *rpc.Conn) bool {
	line.Close()
	if !l.Speaks(name, line) {
		return false
	}
	l.by[name].line = nil
	return true
}

// Keeper keeps a line to each address that it is told of. All fields are set before the first Keep.
type Keeper struct {
	Queue   *Queue // of the owner, on which Heard and Lost run
	Clock   clockwork.Clock
	Dial    func(address string) (net.Conn, error)
	Self    string        // the own name, if the others are of one's kind: a line back here is given up for good
	Again   time.Duration // from the end of a line, or a dial that failed, to the next dial
	Silence time.Duration // a line that says nothing for so long has died
	Hello   func() *rpc.Message
	// Heard takes each message of a line that speaks for the name. The first one of a line, and only that, has Hello:
	// the line is up. It may close the line: its whole first words come again then, on the next one.
	Heard func(name string, line *rpc.Conn, m *rpc.Message)
	// Lost is told after the last message of a line whose Hello was heard, and before the Hello of the next one.
	Lost func(name string, line *rpc.Conn)

	lines   Lines
	dialing map[string]chan struct{} // by address; what is sent there has it dialled at once
}

const restFor = 3 * time.Second // before an address is dialled again whose line was refused: another one speaks for it

// Keep dials an address from now on, until the queue is stopped; its goroutine ends Silence later at most. It runs on
// the owner's goroutine, or before there is one. An address that is kept already, or is empty, is let be.
func (k *Keeper) Keep(address string) {
	if address == "" || k.dialing[address] != nil {
		return
	}
	if k.dialing == nil {
		k.dialing = map[string]chan struct{}{}
	}
	now := make(chan struct{}, 1)
	k.dialing[address] = now
	go func() {
		for {
			wait := k.Again
			if conn := k.dial(address, now); conn != nil {
				if wait = k.listen(rpc.NewConn(conn)); wait < 0 {
					return
				}
			}
			select {
			case <-k.Clock.After(wait):
			case <-now:
			case <-k.Queue.Stopped():
				return
			}
		}
	}()
}

// Now has an address that is kept dialled at once, also where a dial is under way: for who is heard of and was dark just
// before. It runs on the owner's goroutine.
func (k *Keeper) Now(address string) {
	select {
	case k.dialing[address] <- struct{}{}:
	default:
	}
}

// dial returns a connection, or nil. Guards against a dial to a machine that was dark, which says nothing until its time is
// over, holding up the line to one that is there by now.
func (k *Keeper) dial(address string, now <-chan struct{}) net.Conn {
	for {
		got := make(chan net.Conn, 1)
		go func() {
			conn, err := k.Dial(address)
			if err != nil {
				conn = nil
			}
			got <- conn
		}()
		select {
		case conn := <-got:
			return conn
		case <-now:
			go func() {
				if conn := <-got; conn != nil {
					_ = conn.Close()
				}
			}()
		}
	}
}

// listen hears a line to its end and says when its address is to be dialled again (negative: never).
func (k *Keeper) listen(line *rpc.Conn) time.Duration {
	line.Send(k.Hello())
	var who *rpc.Hello
	var refused atomic.Bool
	for {
		m, err := line.Receive(k.Silence)
		if err != nil || (m.Hello == nil) == (who == nil) { // a line begins with one hello and has no other
			break
		}
		if m.Hello != nil {
			if who = m.Hello; who.Node.Name == "" {
				break
			}
			if who.Node.Name == k.Self {
				line.Close()
				return -1
			}
		}
		name := who.Node.Name
		k.Queue.Do(func() {
			if m.Hello != nil {
				replaced, ok := k.lines.Take(m.Hello, line)
				if refused.Store(!ok); replaced != nil {
					k.Lost(name, replaced)
				}
			}
			if k.lines.Speaks(name, line) {
				k.Heard(name, line, m)
			}
		})
	}
	line.Close()
	if who != nil {
		k.Queue.Do(func() {
			if k.lines.Lost(who.Node.Name, line) {
				k.Lost(who.Node.Name, line)
			}
		})
	}
	if refused.Load() {
		return restFor
	}
	return k.Again
}
