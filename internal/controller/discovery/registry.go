// Package discovery follows the list of backends from the discovery service over HTTP. It reads the whole list, watches
// for changes, and passes both to the event loop in the order in which they arrive.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"elmfold/internal/controller/reconcile"
)

const (
	watchWait        = 400 * time.Millisecond // for which discovery may hold a watch open
	callGrace        = 500 * time.Millisecond // beyond watchWait, before a call times out
	dialTimeout      = 250 * time.Millisecond
	retryPause       = 50 * time.Millisecond // after a failure or an immediate response without changes
	maxResponseBytes = 16 << 20
	path             = "/registry/instances"
)

// Registry is a client of one discovery service. Use New.
type Registry struct {
	client      *fasthttp.HostClient
	cancelCalls context.CancelFunc // ends the calls of client
	revision    int64
	knownList   bool // the list at revision is known, so that a watch can continue from it
	send        func(any)
	orders      chan order
	moves       chan string // new addresses
	log         *logrus.Entry
	failing     bool
	stop        chan struct{}

	watchWait, callGrace time.Duration
}

type order uint8

const (
	follow order = iota
	unfollow
	reload
)

// New creates a Registry. Run calls send with each reconcile.List and each reconcile.SourceFailed.
func New(addr string, send func(any), log *logrus.Entry) *Registry {
	r := &Registry{send: send, orders: make(chan order, 16), moves: make(chan string, 1), stop: make(chan struct{}),
		log: log, watchWait: watchWait, callGrace: callGrace}
	r.client, r.cancelCalls = newClient(addr)
	return r
}

// newClient creates a client and a function that ends its calls.
func newClient(addr string) (*fasthttp.HostClient, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: 2, MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1,
		Dial: NewConnections(ctx, dialTimeout).Dial,
	}, cancel
}

// SetKnownList sets the list that the first watch continues from. Call it before Run.
func (r *Registry) SetKnownList(l reconcile.List) {
	r.revision, r.knownList = l.Revision, l.Complete
}

// Follow starts or stops watching for changes.
func (r *Registry) Follow(on bool) {
	if on {
		r.enqueue(follow)
	} else {
		r.enqueue(unfollow)
	}
}

// Reload requests the whole list once.
func (r *Registry) Reload() { r.enqueue(reload) }

// Move switches to another address at once. Of several pending addresses, the last one applies.
func (r *Registry) Move(addr string) {
	for {
		select {
		case r.moves <- addr:
			return
		default:
		}
		select {
		case <-r.moves:
		default:
		}
	}
}

// switchAddress replaces the client by one for another address. The next call requests the whole list, because the
// revisions of the two addresses may differ.
func (r *Registry) switchAddress(addr string) {
	r.log.WithFields(logrus.Fields{"from": r.client.Addr, "to": addr}).Info("switching to the new address of discovery")
	r.cancelCalls()
	r.client, r.cancelCalls = newClient(addr)
	r.knownList, r.failing = false, false
}

// enqueue queues an order without blocking. It drops the order if the queue is full.
func (r *Registry) enqueue(o order) {
	select {
	case r.orders <- o:
	default:
	}
}

// Stop ends Run and the call in progress.
func (r *Registry) Stop() { close(r.stop) }

// Run executes orders, and watches for changes while following is enabled, until Stop.
func (r *Registry) Run(following bool) {
	defer func() { r.cancelCalls() }()
	for {
		select {
		case o := <-r.orders:
			switch o {
			case follow, unfollow:
				following = o == follow
			case reload:
				r.knownList = false
				if !following {
					r.fetch()
				}
			}
			continue
		case addr := <-r.moves:
			r.switchAddress(addr)
		case <-r.stop:
			return
		default:
		}
		if !following {
			select {
			case o := <-r.orders:
				r.enqueue(o)
			case addr := <-r.moves:
				r.switchAddress(addr)
			case <-r.stop:
				return
			}
			continue
		}
		start, revision := time.Now(), r.revision
		if !r.fetch() || r.revision == revision && time.Since(start) < retryPause {
			time.Sleep(retryPause)
		}
	}
}

// fetch makes one call and sends its result. With a known list, the call watches for changes; otherwise it requests the
// whole list. fetch returns false if the call fails; an interruption by Move or Stop is no failure.
func (r *Registry) fetch() bool {
	query, timeout := "", r.callGrace
	if r.knownList {
		query = fmt.Sprintf("?after=%d&wait_ms=%d", r.revision, r.watchWait.Milliseconds())
		timeout += r.watchWait
	}
	l, err := r.call(query, timeout)
	if errors.Is(err, errMoved) || errors.Is(err, errStopped) {
		return true
	}
	if err == nil && !l.Complete && (!r.knownList || l.Revision < r.revision) {
		// A lower revision belongs to another list, so the changes do not apply to the known one.
		err = fmt.Errorf("changes up to revision %d do not follow revision %d", l.Revision, r.revision)
		r.knownList = false
	}
	if err != nil {
		if !r.failing {
			r.log.WithField("reason", err).Warn("discovery fails; keeping the last known list")
			r.send(reconcile.SourceFailed{})
		}
		r.failing = true
		return false
	}
	if r.failing {
		r.log.WithField("revision", l.Revision).Info("discovery is available again")
	}
	r.failing = false
	revisionChanged := l.Revision != r.revision || !r.knownList
	r.revision, r.knownList = l.Revision, true
	if l.Complete || revisionChanged || len(l.Members) > 0 {
		r.send(l)
	}
	return true
}

var (
	errMoved   = errors.New("the address of discovery has changed")
	errStopped = errors.New("the registry client was stopped")
)

// call waits for a response, a new address or Stop. A new address or Stop ends the call, and its response is discarded.
func (r *Registry) call(query string, timeout time.Duration) (reconcile.List, error) {
	done := make(chan error, 1)
	client := r.client
	var list reconcile.List
	go func() {
		var err error
		list, err = get(client, query, timeout)
		done <- err
	}()
	select {
	case err := <-done:
		return list, err
	case addr := <-r.moves:
		r.switchAddress(addr)
		return reconcile.List{}, errMoved
	case <-r.stop:
		return reconcile.List{}, errStopped
	}
}

func get(client *fasthttp.HostClient, query string, timeout time.Duration) (reconcile.List, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + client.Addr + path + query)
	// A call that times out abandons its connection, and the next call dials again.
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return reconcile.List{}, err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return reconcile.List{}, fmt.Errorf("status %d", code)
	}
	return reconcile.ParseList(resp.Body())
}
