package session

import "sync"

// CommandQueue holds the functions that its owner, a single goroutine, is yet to run. It is safe for concurrent use.
type CommandQueue struct {
	commands chan func()
	stopped  chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	overflow []func() // posted while commands was full, in their order; a goroutine moves them over
}

// NewCommandQueue makes a queue for capacity commands, at least 1.
func NewCommandQueue(capacity int) *CommandQueue {
	return &CommandQueue{commands: make(chan func(), capacity), stopped: make(chan struct{})}
}

// Do queues f. It waits while the queue is full and not stopped, so the owner must never call it: a full queue would
// wait for itself.
func (q *CommandQueue) Do(f func()) {
	select {
	case q.commands <- f:
	case <-q.stopped:
	}
}

// Post queues f and never waits. It is for callbacks that may run on the owner's own goroutine, such as those of a disk
// that refuses a write at once. What one goroutine posts keeps its order.
func (q *CommandQueue) Post(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.overflow) == 0 {
		select {
		case q.commands <- f:
			return
		default:
			go q.drainOverflow()
		}
	}
	q.overflow = append(q.overflow, f)
}

// drainOverflow moves the overflow to the queue until it is empty. A command leaves the overflow only once it is in the
// queue, so that Post never overtakes it.
func (q *CommandQueue) drainOverflow() {
	for more := true; more; {
		q.mu.Lock()
		f := q.overflow[0]
		q.mu.Unlock()
		q.Do(f)
		q.mu.Lock()
		q.overflow[0], q.overflow = nil, q.overflow[1:]
		more = len(q.overflow) > 0
		q.mu.Unlock()
	}
}

// Commands is where the owner receives what it is to run.
func (q *CommandQueue) Commands() <-chan func() { return q.commands }

// Stop ends the queue: Do no longer waits, and Dialers stop. It may be called more than once.
func (q *CommandQueue) Stop() { q.stopOnce.Do(func() { close(q.stopped) }) }

// Stopped is closed by Stop.
func (q *CommandQueue) Stopped() <-chan struct{} { return q.stopped }
