package session

import "sync"

// CommandQueue is a queue of functions for a single goroutine, the owner, to run. It is safe for concurrent use.
type CommandQueue struct {
	commands chan func()
	stopped  chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	overflow []func() // posted while commands was full, in order; drainOverflow moves them to commands
}

// NewCommandQueue returns a queue with the given capacity, which must be at least 1.
func NewCommandQueue(capacity int) *CommandQueue {
	return &CommandQueue{commands: make(chan func(), capacity), stopped: make(chan struct{})}
}

// Do queues f. It blocks while the queue is full and not stopped. The owner must not call it, because this would cause
// a deadlock on a full queue.
func (q *CommandQueue) Do(f func()) {
	select {
	case q.commands <- f:
	case <-q.stopped:
	}
}

// Post queues f and never blocks. It is for callbacks that may run on the owner's goroutine. Functions that one
// goroutine posts run in the order in which it posted them.
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

// drainOverflow moves functions from overflow to commands until overflow is empty. It removes a function only after
// sending it to commands, so that Post cannot send a later function first.
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

// Commands returns the channel from which the owner receives the functions.
func (q *CommandQueue) Commands() <-chan func() { return q.commands }

// Stop stops the queue. After it, Do returns at once and may drop f, and a Dialer with this queue ends its goroutines.
// Stop may be called more than once.
func (q *CommandQueue) Stop() { q.stopOnce.Do(func() { close(q.stopped) }) }

// Stopped returns a channel that Stop closes.
func (q *CommandQueue) Stopped() <-chan struct{} { return q.stopped }
