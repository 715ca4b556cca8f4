// Package watch runs a reconcile.Reconciler for a key-value registry. One goroutine owns the reconciler, executes its
// orders at a Source, and passes the resulting lists to the event loop.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/reconcile"
)

// Source reads and watches one kind of registry.
//
// Do executes a ReadPage, Check, Watch or RequestProgress order and passes each response to report. It returns after
// the last response to the order, or at once when ctx ends. Disconnect closes the connections; the next order dials
// again. Close closes them for good.
type Source interface {
	Do(ctx context.Context, o reconcile.Order, report func(reconcile.Event))
	Disconnect()
	Close()
}

// Follower keeps the list of one registry up to date. Use New.
type Follower struct {
	reconciler *reconcile.Reconciler
	source     Source
	endpoints  []string // for log lines
	send       func(any)
	observe    func(reconcile.Order) // optional; see SetObserver
	log        *logrus.Entry
	events     chan reconcile.Event
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// New creates a Follower. Run calls send with each reconcile.List and each reconcile.SourceFailed.
func New(config reconcile.Config, source Source, endpoints []string, send func(any), log *logrus.Entry) *Follower {
	f := &Follower{
		reconciler: reconcile.New(config), source: source, endpoints: endpoints, send: send, log: log,
		events: make(chan reconcile.Event, 64),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// SetObserver sets a function that receives each PublishList order, before its list is sent, and each LogEntry. Call it
// before Run.
func (f *Follower) SetObserver(observe func(reconcile.Order)) { f.observe = observe }

// Follow implements eventloop.Lists. It does nothing, because a Follower always watches its registry.
func (f *Follower) Follow(bool) {}

// Reload requests a read of the whole list.
func (f *Follower) Reload() {
	select {
	case f.events <- reconcile.ReloadRequested{}:
	case <-f.ctx.Done():
	default: // drops the request if the queue is full
	}
}

// Stop ends Run and waits until it has returned. Nothing is sent after that.
func (f *Follower) Stop() {
	f.cancel()
	f.running.Wait()
}

// Run follows the registry until Stop.
func (f *Follower) Run() {
	f.running.Add(1)
	defer f.running.Done()
	defer f.source.Close()
	start := time.Now()
	deadline := time.NewTimer(0)
	var attemptCtx context.Context
	cancelAttempt := context.CancelFunc(func() {})
	currentAttempt := -1
	// contextOf returns the context of an attempt. The first order of a new attempt cancels the earlier one.
	contextOf := func(attempt int) context.Context {
		if attempt != currentAttempt {
			cancelAttempt()
			attemptCtx, cancelAttempt = context.WithCancel(f.ctx)
			currentAttempt = attempt
		}
		return attemptCtx
	}
	defer func() { cancelAttempt() }()
	for {
		var events []reconcile.Event
		select {
		case <-f.ctx.Done():
			return
		case e := <-f.events:
			events = append(events, e)
		case <-deadline.C:
		}
		for n := len(f.events); n > 0; n-- {
			events = append(events, <-f.events)
		}
		for _, o := range f.reconciler.Step(time.Since(start), events) {
			switch o := o.(type) {
			case reconcile.PublishList:
				f.notifyObserver(o)
				f.send(o.List)
			case reconcile.PublishFailure:
				f.send(reconcile.SourceFailed{})
			case reconcile.LogEntry:
				f.notifyObserver(o)
				f.writeLog(o)
			case reconcile.Cancel:
				cancelAttempt()
				f.source.Disconnect()
			case reconcile.ReadPage:
				f.request(contextOf(o.Attempt), o)
			case reconcile.Check:
				f.request(contextOf(o.Attempt), o)
			case reconcile.Watch:
				f.request(contextOf(o.Attempt), o)
			case reconcile.RequestProgress:
				f.request(contextOf(o.Attempt), o)
			}
		}
		deadline.Reset(f.reconciler.NextDeadline() - time.Since(start))
	}
}

func (f *Follower) notifyObserver(o reconcile.Order) {
	if f.observe != nil {
		f.observe(o)
	}
}

// request executes an order at the source and queues the events that answer it.
func (f *Follower) request(ctx context.Context, o reconcile.Order) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		f.source.Do(ctx, o, func(e reconcile.Event) {
			select {
			case f.events <- e:
			case <-ctx.Done():
			}
		})
	}()
}

func (f *Follower) writeLog(entry reconcile.LogEntry) {
	fields := logrus.Fields{"revision": entry.Revision}
	if entry.Endpoint >= 0 && entry.Endpoint < len(f.endpoints) {
		fields["endpoint"] = f.endpoints[entry.Endpoint]
	}
	if entry.Key != "" {
		fields["key"] = entry.Key
	}
	if entry.Reason != "" {
		fields["reason"] = entry.Reason
	}
	if entry.Count != 0 {
		fields["count"] = entry.Count
	}
	line := f.log.WithFields(fields)
	if entry.Warn {
		line.Warn(entry.Text)
	} else {
		line.Info(entry.Text)
	}
}
