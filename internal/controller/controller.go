// Package controller runs a controller process: it accepts connections from proxies and load collectors, follows the
// list of backends in a discovery service or key-value registry, and runs the event loop that decides.
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
	commandQueueLength = 4096
	listQueueLength    = 64
	heapFraction       = 0.7 // of the configured memory; soft limit of the Go runtime
)

// Run loads the settings and the operator file at path, if that is not empty, and runs a controller until SIGTERM,
// SIGINT or a failure of its listener. SIGHUP reloads both. Run returns the exit code of the process.
func Run(path string, extensions Extensions) int {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	cfg, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		log.WithField("reason", "settings").Error(err)
		return 2
	}
	entry := log.WithField("name", cfg.Name)
	var file operatorfile.File
	if path != "" {
		if file, err = operatorfile.Read(path); err != nil {
			logFileErrors(entry, "cannot start", err)
			return 2
		}
	}

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	c := &controller{config: cfg, operatorPath: path, operatorFile: file, extensions: extensions, log: entry}
	if err := c.start(); err != nil {
		entry.WithField("reason", "listen").Error(err)
		return 1
	}
	failed := make(chan error, 1)
	go func() { failed <- c.listener.Serve() }()
	for {
		select {
		case s := <-stop:
			entry.WithField("reason", s.String()).Info("stopping")
			return 0
		case err := <-failed:
			entry.WithField("reason", "listen").Error(err)
			return 1
		case <-hangup:
			c.reload()
		}
	}
}

// logFileErrors logs a line for each error of an operator file.
func logFileErrors(log *logrus.Entry, text string, err error) {
	var fileErrors operatorfile.FileErrors
	if !errors.As(err, &fileErrors) {
		log.WithField("reason", "operator").Errorf("%s: %v", text, err)
	}
	for _, fileError := range fileErrors {
		log.WithField("reason", "operator").Errorf("%s: %v", text, fileError)
	}
}

// controller is a running controller with its current configuration.
type controller struct {
	config       config.Config
	operatorPath string // empty: no operator file
	operatorFile operatorfile.File
	extensions   Extensions
	sources      *sources
	queue        chan eventloop.Command
	control      *controlSocket // nil: none is configured
	extension    RequestHandler // requests that controlSocket does not handle; nil: none
	listener     *server.Listener
	log          *logrus.Entry
}

// setProcessLimits applies the limits of cores and memory to the Go runtime.
func setProcessLimits(cfg config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Round(cfg.Cores))))
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryMB) * (1 << 20)))
}

// start starts all components. The event loop has the initial backend list before proxies can connect.
func (c *controller) start() error {
	cfg := c.config
	setProcessLimits(cfg)
	queue, lists := make(chan eventloop.Command, commandQueueLength), make(chan eventloop.Command, listQueueLength)
	c.queue, c.sources = queue, &sources{queue: lists, log: c.log}
	state, list := c.openWarmState()
	if c.operatorFile.Registry == nil {
		c.followDiscovery(list)
	} else {
		c.followRegistry()
	}
	loop := eventloop.New(cfg.Deployment, cfg.Names, c.sources, c.log)
	loop.SetCachedList(list)
	if state != nil {
		for _, belief := range state.InitialBeliefs() {
			loop.Handle(eventloop.Command{Message: belief})
		}
	}
	c.setFactSink(loop, state)
	if err := c.joinFleet(loop); err != nil {
		return err
	}
	loop.Step(now())
	go loop.Run(queue, lists, cfg.Tick, now)
	if err := c.listen(list); err != nil {
		return err
	}
	if f := c.operatorFile.Cells; f != nil {
		c.applyCells(f)
	}
	if err := c.openChannel(list); err != nil {
		return err
	}
	c.openControl()
	return nil
}

// openWarmState opens the warm state, if the operator file has a store or peers, and returns the initial backend list.
// state is nil where there is none.
func (c *controller) openWarmState() (state WarmState, list reconcile.List) {
	list = c.config.CachedList
	if c.operatorFile.Store == nil && c.operatorFile.Peers == nil {
		return nil, list
	}
	state, err := c.extensions.WarmState(c.operatorFile, c.config.Name, c.log)
	if err != nil {
		c.log.WithField("reason", "store").Errorf("warm state is not available: %v", err)
		return nil, list
	}
	if known, ok := state.InitialList(); ok && (c.operatorFile.Registry != nil || known.Revision >= list.Revision) {
		list = known
		fields := logrus.Fields{"revision": known.Revision, "backends": len(known.Members)}
		c.log.WithFields(fields).Info("initial backend list restored from the store or from peers")
	}
	c.sources.warmState = state
	return state, list
}

// setFactSink passes the facts of the event loop to the warm state and the pub-sub channel.
func (c *controller) setFactSink(loop *eventloop.Loop, state WarmState) {
	if state == nil && c.operatorFile.Channel == nil {
		return
	}
	loop.SetFactSink(func(facts []warmstart.Fact) {
		if state != nil {
			state.RecordFacts(facts)
		}
		if channel := c.sources.channel.Load(); channel != nil {
			(*channel).Look(facts)
		}
	})
}

// joinFleet joins the fleet, if the operator file has a member section.
func (c *controller) joinFleet(loop *eventloop.Loop) error {
	if c.operatorFile.Member == nil || c.extensions.Member == nil {
		return nil
	}
	send := func(command eventloop.Command) { c.queue <- command }
	m, err := c.extensions.Member(c.operatorFile, c.config, send, c.log)
	if err != nil {
		return err
	}
	if c.operatorFile.Member.ShareTotals {
		loop.SetObserver(m)
	}
	c.extension = m.HandleRequest
	fields := logrus.Fields{"member": m.Addr(), "site": c.operatorFile.Member.Site}
	c.log.WithFields(fields).Info("joined the fleet")
	return nil
}

// listen opens the listener for proxies and collectors.
func (c *controller) listen(list reconcile.List) error {
	cfg := c.config
	handler := func(from *server.Conn, message any) { c.queue <- eventloop.Command{From: from, Message: message} }
	ln, err := server.Listen(cfg.Listen, cfg.MemoryMB<<20, cfg.Sockets, handler, c.log)
	if err != nil {
		return err
	}
	c.log.WithFields(logrus.Fields{"listen": ln.Addr().String(), "discovery": cfg.Discovery,
		"backends": len(list.Members), "proxies": cfg.Deployment.Proxies,
		"revision": list.Revision}).Info("ready")
	c.listener = ln
	return nil
}

// openChannel opens the pub-sub channel, if the operator file has one.
func (c *controller) openChannel(list reconcile.List) error {
	f := c.operatorFile.Channel
	if f == nil || c.extensions.Channel == nil {
		return nil
	}
	send := func(command eventloop.Command) { c.queue <- command }
	channel, err := c.extensions.Channel(*f, c.config.Deployment.Proxies, c.config.Names, send, c.log)
	if err != nil {
		return err
	}
	channel.Tell(list)
	c.sources.channel.Store(&channel)
	c.log.WithField("channel", channel.Addr()).Info("pub-sub channel is open")
	return nil
}

// openControl opens the control socket, if the operator file has one.
func (c *controller) openControl() {
	f := c.operatorFile.Control
	if f == nil {
		return
	}
	var err error
	if c.control, err = openControlSocket(f.Path, c.queue, c.extension, c.log); err != nil {
		c.log.WithField("reason", "control").Errorf("control socket is not available: %v", err)
	}
}

// applyCells sends the plan of cells to the event loop. nil removes all cells.
func (c *controller) applyCells(cells *operatorfile.Cells) {
	if cells == nil {
		c.queue <- eventloop.Command{Message: tenancy.PlanUpdate{}}
		return
	}
	if names := cells.TenantsWithUnknownProxies(c.config.Deployment.Proxies); len(names) > 0 {
		c.log.WithField("tenants", names).Warn("these tenants have proxies beyond the ProxyCount of the settings")
	}
	c.queue <- eventloop.Command{Message: tenancy.PlanUpdate{Plan: cells.PlanFor(c.config.Deployment)}}
}

// applyCellsAndControl applies the changed cells and control sections of a new operator file. It changes nothing and
// returns an error if the plan of cells is not valid for the current list of backends.
func (c *controller) applyCellsAndControl(file operatorfile.File) error {
	if !reflect.DeepEqual(c.operatorFile.Cells, file.Cells) {
		if file.Cells != nil {
			list, err := query(c.queue, func(reply chan []tenancy.Backend) any {
				return eventloop.FleetQuery{Reply: reply}
			})
			if err == nil {
				err = file.Cells.Validate(c.config.Deployment, list)
			}
			if err != nil {
				return err
			}
		}
		c.applyCells(file.Cells)
	}
	if !reflect.DeepEqual(c.operatorFile.Control, file.Control) {
		if c.control != nil {
			c.control.close()
			c.control = nil
		}
		if file.Control != nil {
			var err error
			if c.control, err = openControlSocket(file.Control.Path, c.queue, c.extension, c.log); err != nil {
				c.log.WithField("reason", "control").Errorf("control socket is not available: %v", err)
			}
		}
	}
	return nil
}

// followDiscovery follows the platform's discovery service, starting from a known list.
func (c *controller) followDiscovery(known reconcile.List) {
	c.sources.follow(func(send func(any)) Source {
		registry := discovery.New(c.config.Discovery, send, c.log)
		registry.SetKnownList(known)
		go registry.Run(!c.config.Deployment.ListOnRequest || !known.Complete)
		return registry
	})
}

// followRegistry follows the key-value registry of the operator file.
func (c *controller) followRegistry() {
	c.sources.follow(func(send func(any)) Source {
		return c.extensions.Registry(*c.operatorFile.Registry, c.config.Name, send, c.log)
	})
}

// reload applies changes of the settings and the operator file. If either is missing or invalid, neither is applied.
// Connections, routing tables and the list of backends are kept in any case.
func (c *controller) reload() {
	next, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		c.log.WithField("reason", "settings").Errorf("reload failed; the configuration stays as it was: %v", err)
		return
	}
	if keys := c.config.KeysNeedingRestart(next); len(keys) > 0 {
		c.log.WithField("keys", keys).Warn("these changes take effect after a restart")
	}
	file, err := c.operatorFile, error(nil)
	if c.operatorPath != "" {
		if file, err = operatorfile.Read(c.operatorPath); err != nil {
			logFileErrors(c.log, "reload failed; the configuration stays as it was", err)
			return
		}
		if err = c.applyCellsAndControl(file); err != nil {
			logFileErrors(c.log, "reload failed; the configuration stays as it was", err)
			return
		}
	}
	addressChanged := next.Discovery != c.config.Discovery
	c.config.Discovery = next.Discovery
	if !reflect.DeepEqual(c.operatorFile.Store, file.Store) || !reflect.DeepEqual(c.operatorFile.Peers, file.Peers) {
		c.log.WithField("keys", "store, peers").Warn("these changes take effect after a restart")
	}
	if !reflect.DeepEqual(c.operatorFile.Channel, file.Channel) {
		c.log.WithField("keys", "channel").Warn("these changes take effect after a restart")
	}
	if !reflect.DeepEqual(c.operatorFile.Member, file.Member) {
		c.log.WithField("keys", "member").Warn("these changes take effect after a restart")
	}
	previous := c.operatorFile.Registry
	c.operatorFile = file
	switch {
	case !reflect.DeepEqual(previous, file.Registry):
		if file.Registry != nil {
			c.followRegistry()
		} else {
			c.followDiscovery(reconcile.List{})
		}
	case addressChanged && previous == nil:
		if registry, ok := c.sources.latest().(*discovery.Registry); ok {
			registry.Move(next.Discovery)
		}
	}
	setProcessLimits(next)
	c.listener.SetLimits(next.MemoryMB<<20, next.Sockets)
	c.log.WithFields(logrus.Fields{"discovery": next.Discovery, "memory_mb": next.MemoryMB, "sockets": next.Sockets,
		"cores": next.Cores}).Info("configuration reloaded")
}

var startTime = time.Now()

// now returns the wall-clock time at the start plus the monotonic time since, so that it never goes back.
func now() policy.Time {
	return policy.Time((startTime.UnixNano() + time.Since(startTime).Nanoseconds()) / (1e9 / int64(policy.Second)))
}
