package consensus

import (
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

// search visits the states of a model, by depth first, or the first of them where there are too many. With one worker
// these are the same each time.
type search[S any] struct {
	most    int // states; 0: all
	batch   int // states that a worker takes at a time
	visited map[xxh3.Uint128]struct{}
	steps   int
	fault   string // the first that was found
	cut     bool   // there are more states

	mu    sync.Mutex
	wake  *sync.Cond
	stack []S
	busy  int // workers
}

// follower gives the states that follow some, their keys, and the first fault among them. Each worker has its own.
type follower[S any] func(states []S) (next []S, keys []xxh3.Uint128, fault string)

func (x *search[S]) run(workers int, begin []S, keys []xxh3.Uint128, newFollower func() follower[S]) {
	x.visited = map[xxh3.Uint128]struct{}{}
	x.wake = sync.NewCond(&x.mu)
	x.add(begin, keys)
	var all sync.WaitGroup
	for range workers {
		all.Go(func() { x.work(newFollower()) })
	}
	all.Wait()
}

// add puts the states that are new on the stack; the lock is held, or no worker runs.
func (x *search[S]) add(states []S, keys []xxh3.Uint128) {
	for i, k := range keys {
		if _, been := x.visited[k]; been || x.cut {
			continue
		}
		x.visited[k] = struct{}{}
		x.cut = x.most > 0 && len(x.visited) >= x.most
		x.stack = append(x.stack, states[i])
	}
}

func (x *search[S]) isOver() bool { return x.fault != "" || x.cut }

func (x *search[S]) work(follow follower[S]) {
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.wake.Broadcast()
	for {
		for len(x.stack) == 0 && x.busy > 0 && !x.isOver() {
			x.wake.Wait()
		}
		if len(x.stack) == 0 || x.isOver() {
			return
		}
		from := max(0, len(x.stack)-x.batch)
		states := slices.Clone(x.stack[from:])
		clear(x.stack[from:])
		x.stack = x.stack[:from]
		x.busy++
		x.mu.Unlock()
		next, keys, fault := follow(states)
		x.mu.Lock()
		x.busy--
		x.steps += len(next)
		if x.fault == "" {
			x.fault = fault
		}
		x.add(next, keys)
		x.wake.Broadcast()
	}
}
