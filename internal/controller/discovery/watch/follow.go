// Package watch puts a reconcile.Reconciler between a key-value registry and the desk: one goroutine owns the Roster,
// carries out what it orders at a Source, and tells the desk what it tells. It decides nothing.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/reconcile"
)

// Source asks one kind of registry. Do carries out a Read, Check, Watch or Ask, hands each answer to say, and
// returns when nothing more comes for that order; when ctx ends it does so at once. Disconnect drops the connections,
// so that what is asked next dials anew; Close ends them for good.
type Source interface {
	Do(ctx context.Context, o reconcile.Order, say func(reconcile.Event))
	Disconnect()
	Close()
}

// Follower follows one registry.
type Follower struct {
	reconciler *reconcile.Reconciler
	source     Source
	names      []string // of the endpoints, for the log
	tell       func(any)
	seen       func(reconcile.Order) // each order that people may want to see; nil: nobody
	log        *logrus.Entry
	events     chan reconcile.Event
	stop       context.Context
	end        context.CancelFunc
	work       sync.WaitGroup
}

// New makes a Follower. tell is given each reconcile.List and each reconcile.Failed, from Run's goroutine.
func New(plan reconcile.Config, source Source, names []string, tell func(any), log *logrus.Entry) *Follower {
	f := &Follower{reconciler: reconcile.New(plan), source: source, names: names, tell: tell, log: log,
		events: make(chan reconcile.Event, 64)}
	f.stop, f.end = context.WithCancel(context.Background())
	return f
}

// SetObserver hands on each Tell and Note, before what is told goes to the desk.
func (f *Follower) SetObserver(seen func(reconcile.Order)) { f.seen = seen }

// Follow is what the module orders where lists are asked for: a registry is followed in any case.
func (f *Follower) Follow(bool) {}

// Reload asks for the whole list once.
func (f *Follower) Reload() {
	select {
	case f.events <- reconcile.ReloadRequested{}:
	case <-f.stop.Done():
	default: // what waits there is news already
	}
}

// Stop ends Run; nothing is told any more once it has returned.
func (f *Follower) Stop() {
	f.end()
	f.work.Wait()
}

// Run follows the registry until Stop.
func (f *Follower) Run() {
	f.work.Add(1)
	defer f.work.Done()
	defer f.source.Close()
	began := time.Now()
	due := time.NewTimer(0)
	var trying context.Context
	leave := context.CancelFunc(func() {})
	try := -1
	// begin leaves all earlier tries with the first order of a later one.
	begin := func(of int) context.Context {
		if of != try {
			leave()
			trying, leave = context.WithCancel(f.stop)
			try = of
		}
		return trying
	}
	defer func() { leave() }()
	for {
		var events []reconcile.Event
		select {
		case <-f.stop.Done():
			return
		case e := <-f.events:
			events = append(events, e)
		case <-due.C:
		}
		for n := len(f.events); n > 0; n-- {
			events = append(events, <-f.events)
		}
		for _, o := range f.reconciler.Step(time.Since(began), events) {
			switch o := o.(type) {
			case reconcile.PublishList:
				f.see(o)
				f.tell(o.List)
			case reconcile.PublishFailure:
				f.tell(reconcile.SourceFailed{})
			case reconcile.LogEntry:
				f.see(o)
				f.note(o)
			case reconcile.Cancel:
				leave()
				f.source.Disconnect()
			case reconcile.ReadPage:
				f.do(begin(o.Attempt), o)
			case reconcile.Check:
				f.do(begin(o.Attempt), o)
			case reconcile.Watch:
				f.do(begin(o.Attempt), o)
			case reconcile.RequestProgress:
				f.do(begin(o.Attempt), o)
			}
		}
		due.Reset(f.reconciler.NextDeadline() - time.Since(began))
	}
}

func (f *Follower) see(o reconcile.Order) {
	if f.seen != nil {
		f.seen(o)
	}
}

func (f *Follower) do(ctx context.Context, o reconcile.Order) {
	f.work.Add(1)
	go func() {
		defer f.work.Done()
		f.source.Do(ctx, o, func(e reconcile.Event) {
			select {
			case f.events <- e:
			case <-ctx.Done():
			}
		})
	}()
}

func (f *Follower) note(n reconcile.LogEntry) {
	fields := logrus.Fields{"revision": n.Revision}
	if n.Endpoint >= 0 && n.Endpoint < len(f.names) {
		fields["endpoint"] = f.names[n.Endpoint]
	}
	if n.Key != "" {
		fields["key"] = n.Key
	}
	if n.Reason != "" {
		fields["reason"] = n.Reason
	}
	if n.Count != 0 {
		fields["count"] = n.Count
	}
	entry := f.log.WithFields(fields)
	if n.Warn {
		entry.Warn(n.Text)
	} else {
		entry.Info(n.Text)
	}
}
