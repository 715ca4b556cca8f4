package consensus

import (
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

// stateSearch visits the states of a model depth first, up to a limit. With one worker the order is deterministic.
type stateSearch[S any] struct {
	maxStates   int // 0: no limit
	batchSize   int // states that a worker takes from the stack at a time
	visited     map[xxh3.Uint128]struct{}
	transitions int
	failure     string // of the first failed check
	truncated   bool   // stopped at maxStates

	mu          sync.Mutex // protects all fields
	changed     *sync.Cond // signals a change of the stack or of busyWorkers
	stack       []S
	busyWorkers int
}

// expander returns the successors of states, their keys, and the first failure among them. Each worker has its own.
type expander[S any] func(states []S) (next []S, keys []xxh3.Uint128, failure string)

// run visits the states that can be reached from the initial ones.
func (search *stateSearch[S]) run(workers int, initial []S, keys []xxh3.Uint128, newExpander func() expander[S]) {
	search.visited = map[xxh3.Uint128]struct{}{}
	search.changed = sync.NewCond(&search.mu)
	search.add(initial, keys)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { search.work(newExpander()) })
	}
	wg.Wait()
}

// add pushes the unvisited states. The caller holds the lock, or no worker runs.
func (search *stateSearch[S]) add(states []S, keys []xxh3.Uint128) {
	for i, key := range keys {
		if _, visited := search.visited[key]; visited || search.truncated {
			continue
		}
		search.visited[key] = struct{}{}
		search.truncated = search.maxStates > 0 && len(search.visited) >= search.maxStates
		search.stack = append(search.stack, states[i])
	}
}

func (search *stateSearch[S]) isDone() bool { return search.failure != "" || search.truncated }

func (search *stateSearch[S]) work(expand expander[S]) {
	search.mu.Lock()
	defer search.mu.Unlock()
	defer search.changed.Broadcast()
	for {
		for len(search.stack) == 0 && search.busyWorkers > 0 && !search.isDone() {
			search.changed.Wait()
		}
		if len(search.stack) == 0 || search.isDone() {
			return
		}
		from := max(0, len(search.stack)-search.batchSize)
		states := slices.Clone(search.stack[from:])
		clear(search.stack[from:])
		search.stack = search.stack[:from]
		search.busyWorkers++
		search.mu.Unlock()
		next, keys, failure := expand(states)
		search.mu.Lock()
		search.busyWorkers--
		search.transitions += len(next)
		if search.failure == "" {
			search.failure = failure
		}
		search.add(next, keys)
		search.changed.Broadcast()
	}
}
