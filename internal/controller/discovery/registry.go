// Package discovery follows discovery: it asks for the list of backends and watches its changes over HTTP.
// What it is told it passes on in the order in which it came; it decides nothing.
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
	wait        = 400 * time.Millisecond // that discovery may take to answer a watch
	grace       = 500 * time.Millisecond // more, after which the network is taken to be silent
	dialTimeout = 250 * time.Millisecond
	pause       = 50 * time.Millisecond // after a failure, or an answer at once with nothing; 200 ms end a watch
	mostBytes   = 16 << 20
	path        = "/registry/instances"
)

// Registry asks one discovery.
type Registry struct {
	client    *fasthttp.HostClient
	breakOff  context.CancelFunc // ends the calls of client
	revision  int64
	knownList bool // a revision that a watch can go on from
	tell      func(any)
	orders    chan order
	moves     chan string // the address to go on at
	log       *logrus.Entry
	down      bool
	stop      chan struct{}

	wait, grace time.Duration
}

type order uint8

const (
	follow order = iota
	unfollow
	reload
)

// New makes a Registry; tell is given each reconcile.List and each reconcile.Failed.
func New(addr string, tell func(any), log *logrus.Entry) *Registry {
	r := &Registry{tell: tell, orders: make(chan order, 16), moves: make(chan string, 1), stop: make(chan struct{}),
		log: log, wait: wait, grace: grace}
	r.client, r.breakOff = clientFor(addr)
	return r
}

// clientFor makes a client, and the function that ends its calls.
func clientFor(addr string) (*fasthttp.HostClient, context.CancelFunc) {
	ctx, breakOff := context.WithCancel(context.Background())
	return &fasthttp.HostClient{
		Addr: addr, MaxConns: 2, MaxResponseBodySize: mostBytes, MaxIdemponentCallAttempts: 1,
		Dial: NewConnections(ctx, dialTimeout).Dial,
	}, breakOff
}

// SetKnownList says which revision is known already.
func (r *Registry) SetKnownList(l reconcile.List) {
	r.revision, r.knownList = l.Revision, l.Complete
}

// Follow asks for changes from now on, or no longer.
func (r *Registry) Follow(on bool) {
	if on {
		r.send(follow)
	} else {
		r.send(unfollow)
	}
}

// Reload asks for the whole list once.
func (r *Registry) Reload() { r.send(reload) }

// Move goes on at another address, at once. Of several the last one holds.
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

// move takes up another address. Its revisions need not be those of the one before, so the whole list is
// asked for; until that comes the list held stays as it is.
func (r *Registry) move(addr string) {
	r.log.WithFields(logrus.Fields{"from": r.client.Addr, "to": addr}).Info("discovery has moved")
	r.breakOff()
	r.client, r.breakOff = clientFor(addr)
	r.knownList, r.down = false, false
}

// send never makes the caller wait: orders beyond what may be waiting say nothing new.
func (r *Registry) send(o order) {
	select {
	case r.orders <- o:
	default:
	}
}

// Stop ends Run, and the call in hand.
func (r *Registry) Stop() { close(r.stop) }

// Run asks until Stop.
func (r *Registry) Run(following bool) {
	defer func() { r.breakOff() }()
	for {
		select {
		case o := <-r.orders:
			switch o {
			case follow, unfollow:
				following = o == follow
			case reload:
				r.knownList = false
				if !following {
					r.ask()
				}
			}
			continue
		case addr := <-r.moves:
			r.move(addr)
		case <-r.stop:
			return
		default:
		}
		if !following {
			select {
			case o := <-r.orders:
				r.send(o)
			case addr := <-r.moves:
				r.move(addr)
			case <-r.stop:
				return
			}
			continue
		}
		at, revision := time.Now(), r.revision
		if !r.ask() || r.revision == revision && time.Since(at) < pause {
			time.Sleep(pause)
		}
	}
}

// ask makes one call: a watch after a known revision, else for the whole list.
func (r *Registry) ask() bool {
	query, within := "", r.grace
	if r.knownList {
		query = fmt.Sprintf("?after=%d&wait_ms=%d", r.revision, r.wait.Milliseconds())
		within += r.wait
	}
	l, err := r.call(query, within)
	if errors.Is(err, errMoved) || errors.Is(err, errStopped) {
		return true
	}
	if err == nil && !l.Complete && (!r.knownList || l.Revision < r.revision) {
		// A revision that goes back is another list's: the changes say nothing of ours.
		err = fmt.Errorf("changes up to revision %d after %d", l.Revision, r.revision)
		r.knownList = false
	}
	if err != nil {
		if !r.down {
			r.log.WithField("reason", err).Warn("discovery fails; the list stays as it is")
			r.tell(reconcile.SourceFailed{})
		}
		r.down = true
		return false
	}
	if r.down {
		r.log.WithField("revision", l.Revision).Info("discovery answers again")
	}
	r.down = false
	moved := l.Revision != r.revision || !r.knownList
	r.revision, r.knownList = l.Revision, true
	if l.Complete || moved || len(l.Members) > 0 {
		r.tell(l)
	}
	return true
}

var (
	errMoved   = errors.New("another address is to be asked")
	errStopped = errors.New("the registry was stopped")
)

// call waits for an answer, or until another address is to be asked, or none: what the old one still has to say is
// nobody's then, and the call ends.
func (r *Registry) call(query string, within time.Duration) (reconcile.List, error) {
	done := make(chan error, 1)
	client := r.client
	var answer reconcile.List
	go func() {
		var err error
		answer, err = get(client, query, within)
		done <- err
	}()
	select {
	case err := <-done:
		return answer, err
	case addr := <-r.moves:
		r.move(addr)
		return reconcile.List{}, errMoved
	case <-r.stop:
		return reconcile.List{}, errStopped
	}
}

func get(client *fasthttp.HostClient, query string, within time.Duration) (reconcile.List, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + client.Addr + path + query)
	// A call that stays without an answer leaves its connection behind: the next one dials anew.
	if err := client.DoTimeout(req, resp, within); err != nil {
		return reconcile.List{}, err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return reconcile.List{}, fmt.Errorf("status %d", code)
	}
	return reconcile.ParseList(resp.Body())
}
