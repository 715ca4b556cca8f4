// Package controller holds a whole controller: it listens for proxies and collectors, follows discovery or a
// key-value registry, and lets the module decide.
package controller

import (
	"errors"
	"math"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/config"
	"elmfold/internal/controller/discovery"
	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/server"
	"elmfold/internal/controller/tenancy"
	"elmfold/internal/controller/warmstart"
	"elmfold/internal/policy"
)

const (
	queueLength = 4096
	listsLength = 64
	heapPart    = 0.7 // of the memory allowed, that the collector of garbage aims to stay under
)

// Run reads what the controller is told and holds it until a signal ends it or its listener fails; it returns
// the exit code. path is that of the operator file, empty for none.
func Run(path string, parts Extensions) int {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	sheet, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		log.WithField("reason", "settings").Error(err)
		return 2
	}
	entry := log.WithField("name", sheet.Name)
	var file operatorfile.File
	if path != "" {
		if file, err = operatorfile.Read(path); err != nil {
			faulty(entry, "the start ends", err)
			return 2
		}
	}

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	c := &controller{sheet: sheet, path: path, file: file, parts: parts, log: entry}
	if err := c.open(); err != nil {
		entry.WithField("reason", "listen").Error(err)
		return 1
	}
	failed := make(chan error, 1)
	go func() { failed <- c.streams.Serve() }()
	for {
		select {
		case s := <-stop:
			entry.WithField("reason", s.String()).Info("stopping")
			return 0
		case err := <-failed:
			entry.WithField("reason", "listen").Error(err)
			return 1
		case <-again:
			c.reload()
		}
	}
}

// faulty logs a line for each fault of an operator file.
func faulty(log *logrus.Entry, text string, err error) {
	var faults operatorfile.FileErrors
	if !errors.As(err, &faults) {
		log.WithField("reason", "operator").Errorf("%s: %v", text, err)
	}
	for _, f := range faults {
		log.WithField("reason", "operator").Errorf("%s: %v", text, f)
	}
}

// controller is what runs, and what it was told last.
type controller struct {
	sheet   config.Config
	path    string // of the operator file
	file    operatorfile.File
	parts   Extensions
	lists   *sources
	queue   chan eventloop.Command
	control *control       // nil: operators are not answered
	more    RequestHandler // requests beside the cells'; nil: none
	streams *server.Listener
	log     *logrus.Entry
}

// allow sets the limits of the process.
func allow(s config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Round(s.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(s.MemoryMB) * (1 << 20)))
}

// open starts the parts. The desk has the list known at the start before anyone can connect.
func (c *controller) open() error {
	sheet := c.sheet
	allow(sheet)
	queue, lists := make(chan eventloop.Command, queueLength), make(chan eventloop.Command, listsLength)
	c.queue, c.lists = queue, &sources{queue: lists, log: c.log}
	memory, list := c.openMemory()
	if c.file.Registry == nil {
		c.discover(list)
	} else {
		c.follow()
	}
	loop := eventloop.New(sheet.Deployment, sheet.Names, c.lists, c.log)
	loop.SetCachedList(list)
	if memory != nil {
		for _, figure := range memory.InitialBeliefs() {
			loop.Handle(eventloop.Command{Message: figure})
		}
	}
	c.setFactSink(loop, memory)
	if err := c.joinFleet(loop); err != nil {
		return err
	}
	loop.Step(clock())
	go loop.Run(queue, lists, sheet.Tick, clock)
	if err := c.listen(list); err != nil {
		return err
	}
	if f := c.file.Cells; f != nil {
		c.plan(f)
	}
	if err := c.openChannel(list); err != nil {
		return err
	}
	c.openControl()
	return nil
}

// openMemory opens what is kept over crashes, if anything is; list is the one to begin with.
func (c *controller) openMemory() (memory WarmState, list reconcile.List) {
	list = c.sheet.CachedList
	if c.file.Store == nil && c.file.Peers == nil {
		return nil, list
	}
	memory, err := c.parts.WarmState(c.file, c.sheet.Name, c.log)
	if err != nil {
		c.log.WithField("reason", "store").Errorf("nothing is kept over crashes: %v", err)
		return nil, list
	}
	if known, ok := memory.InitialList(); ok && (c.file.Registry != nil || known.Revision >= list.Revision) {
		list = known
		fields := logrus.Fields{"revision": known.Revision, "backends": len(known.Members)}
		c.log.WithFields(fields).Info("the list to begin with is from the store or from peers")
	}
	c.lists.memory = memory
	return memory, list
}

// setFactSink has what the decisions learn kept and shown on the channel.
func (c *controller) setFactSink(loop *eventloop.Loop, memory WarmState) {
	if memory == nil && c.file.Channel == nil {
		return
	}
	loop.SetFactSink(func(facts []warmstart.Fact) {
		if memory != nil {
			memory.RecordFacts(facts)
		}
		if served := c.lists.channel.Load(); served != nil {
			(*served).Look(facts)
		}
	})
}

// joinFleet joins the other members of the fleet, where the operator file names them.
func (c *controller) joinFleet(loop *eventloop.Loop) error {
	if c.file.Member == nil || c.parts.Member == nil {
		return nil
	}
	m, err := c.parts.Member(c.file, c.sheet, func(n eventloop.Command) { c.queue <- n }, c.log)
	if err != nil {
		return err
	}
	if c.file.Member.ShareTotals {
		loop.SetObserver(m)
	}
	c.more = m.HandleRequest
	fields := logrus.Fields{"member": m.Addr(), "site": c.file.Member.Site}
	c.log.WithFields(fields).Info("takes part in the fleet")
	return nil
}

// listen takes connections of proxies and collectors from now on.
func (c *controller) listen(list reconcile.List) error {
	sheet := c.sheet
	handle := func(from *server.Conn, said any) { c.queue <- eventloop.Command{From: from, Message: said} }
	ln, err := server.Listen(sheet.Listen, sheet.MemoryMB<<20, sheet.Sockets, handle, c.log)
	if err != nil {
		return err
	}
	c.log.WithFields(logrus.Fields{"listen": ln.Addr().String(), "discovery": sheet.Discovery,
		"backends": len(list.Members), "proxies": sheet.Deployment.Proxies,
		"revision": list.Revision}).Info("ready")
	c.streams = ln
	return nil
}

// openChannel serves the pub-sub channel, where the operator file has one.
func (c *controller) openChannel(list reconcile.List) error {
	f := c.file.Channel
	if f == nil || c.parts.Channel == nil {
		return nil
	}
	handle := func(n eventloop.Command) { c.queue <- n }
	served, err := c.parts.Channel(*f, c.sheet.Deployment.Proxies, c.sheet.Names, handle, c.log)
	if err != nil {
		return err
	}
	served.Tell(list)
	c.lists.channel.Store(&served)
	c.log.WithField("channel", served.Addr()).Info("the channel is served")
	return nil
}

// openControl answers operators, where the operator file names a socket.
func (c *controller) openControl() {
	f := c.file.Control
	if f == nil {
		return
	}
	var err error
	if c.control, err = openControl(f.Path, c.queue, c.more, c.log); err != nil {
		c.log.WithField("reason", "control").Errorf("operators are not answered: %v", err)
	}
}

// plan hands the cells of the operator file to the desk; none free everybody.
func (c *controller) plan(f *operatorfile.Cells) {
	if f == nil {
		c.queue <- eventloop.Command{Message: tenancy.PlanUpdate{}}
		return
	}
	if names := f.TenantsWithUnknownProxies(c.sheet.Deployment.Proxies); len(names) > 0 {
		c.log.WithField("tenants", names).Warn("proxies of these tenants are not among the settings'")
	}
	c.queue <- eventloop.Command{Message: tenancy.PlanUpdate{Plan: f.PlanFor(c.sheet.Deployment)}}
}

// replan takes over another operator file's cells and control. A plan that cannot hold with the list in force is
// refused, and the former one stays.
func (c *controller) replan(file operatorfile.File) error {
	if !reflect.DeepEqual(c.file.Cells, file.Cells) {
		if file.Cells != nil {
			list, err := ask(c.queue, func(to chan []tenancy.Backend) any { return eventloop.FleetQuery{Reply: to} })
			if err == nil {
				err = file.Cells.Validate(c.sheet.Deployment, list)
			}
			if err != nil {
				return err
			}
		}
		c.plan(file.Cells)
	}
	if !reflect.DeepEqual(c.file.Control, file.Control) {
		if c.control != nil {
			c.control.close()
			c.control = nil
		}
		if file.Control != nil {
			var err error
			if c.control, err = openControl(file.Control.Path, c.queue, c.more, c.log); err != nil {
				c.log.WithField("reason", "control").Errorf("operators are not answered: %v", err)
			}
		}
	}
	return nil
}

// discover follows the platform's discovery, on from a list that is known.
func (c *controller) discover(known reconcile.List) {
	c.lists.begin(func(tell func(any)) Source {
		r := discovery.New(c.sheet.Discovery, tell, c.log)
		r.From(known)
		go r.Run(!c.sheet.Deployment.ListOnRequest || !known.Complete)
		return r
	})
}

// follow follows the key-value registry of the operator file.
func (c *controller) follow() {
	c.lists.begin(func(tell func(any)) Source {
		return c.parts.Registry(*c.file.Registry, c.sheet.Name, tell, c.log)
	})
}

// reload takes over a file that was replaced. One that is broken, half written or missing changes nothing;
// streams, tables and the list held stay in any case.
func (c *controller) reload() {
	next, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		c.log.WithField("reason", "settings").Errorf("the configuration stays as it was: %v", err)
		return
	}
	if keys := c.sheet.KeysNeedingRestart(next); len(keys) > 0 {
		c.log.WithField("keys", keys).Warn("these changes wait for a restart")
	}
	file, err := c.file, error(nil)
	if c.path != "" {
		if file, err = operatorfile.Read(c.path); err != nil {
			faulty(c.log, "the configuration stays as it was", err)
			return
		}
		if err = c.replan(file); err != nil {
			faulty(c.log, "the configuration stays as it was", err)
			return
		}
	}
	moved := next.Discovery != c.sheet.Discovery
	c.sheet.Discovery = next.Discovery
	if !reflect.DeepEqual(c.file.Store, file.Store) || !reflect.DeepEqual(c.file.Peers, file.Peers) {
		c.log.WithField("keys", "store, peers").Warn("these changes wait for a restart")
	}
	if !reflect.DeepEqual(c.file.Channel, file.Channel) {
		c.log.WithField("keys", "channel").Warn("these changes wait for a restart")
	}
	if !reflect.DeepEqual(c.file.Member, file.Member) {
		c.log.WithField("keys", "member").Warn("these changes wait for a restart")
	}
	was := c.file.Registry
	c.file = file
	switch {
	case !reflect.DeepEqual(was, file.Registry):
		if file.Registry != nil {
			c.follow()
		} else {
			c.discover(reconcile.List{})
		}
	case moved && was == nil:
		if r, ok := c.lists.source().(*discovery.Registry); ok {
			r.Move(next.Discovery)
		}
	}
	allow(next)
	c.streams.SetLimits(next.MemoryMB<<20, next.Sockets)
	c.log.WithFields(logrus.Fields{"discovery": next.Discovery, "memory_mb": next.MemoryMB, "sockets": next.Sockets,
		"cores": next.Cores}).Info("configuration taken over")
}

var began = time.Now()

// clock is the wall's time at the start and what has passed since, so that it never goes back.
func clock() policy.Time {
	return policy.Time((began.UnixNano() + time.Since(began).Nanoseconds()) / (1e9 / int64(policy.Second)))
}
