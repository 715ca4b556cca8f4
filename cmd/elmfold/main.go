// Elmfold is a controller: it listens for proxies and collectors, follows discovery, and lets the module
// decide.
package main

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/choice"
	"elmfold/desk"
	"elmfold/launch"
	"elmfold/registry"
	"elmfold/stream"
)

const (
	queueLength = 4096
	heapPart    = 0.7 // of the memory allowed, that the collector of garbage aims to stay under
)

func main() {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	sheet, err := launch.Read(os.Getenv, os.ReadFile)
	if err != nil {
		log.WithField("reason", "settings").Error(err)
		os.Exit(2)
	}
	entry := log.WithField("name", sheet.Name)

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	c, err := open(sheet, entry)
	if err != nil {
		entry.WithField("reason", "listen").Error(err)
		os.Exit(1)
	}
	failed := make(chan error, 1)
	go func() { failed <- c.streams.Serve() }()
	for {
		select {
		case s := <-stop:
			entry.WithField("reason", s.String()).Info("stopping")
			return
		case err := <-failed:
			entry.WithField("reason", "listen").Error(err)
			os.Exit(1)
		case <-again:
			c.reload()
		}
	}
}

// controller is what runs, and what it was told last.
type controller struct {
	sheet   launch.Sheet
	lists   *registry.Registry
	streams *stream.Listener
	log     *logrus.Entry
}

// allow sets the limits of the process.
func allow(s launch.Sheet) {
	runtime.GOMAXPROCS(max(1, int(math.Round(s.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(s.MemoryMB) * (1 << 20)))
}

// open starts the parts. The desk has the list known at the start before anyone can connect.
func open(sheet launch.Sheet, log *logrus.Entry) (*controller, error) {
	allow(sheet)
	queue := make(chan desk.News, queueLength)
	lists := registry.New(sheet.Discovery, func(said any) { queue <- desk.News{Said: said} }, log)
	lists.From(sheet.Known)
	d := desk.New(sheet.Deployment, sheet.Names, lists, log)
	d.Known(sheet.Known)
	d.Step(clock())
	go d.Run(queue, sheet.Tick, clock)
	go lists.Run(!sheet.Deployment.Asked)

	hear := func(from *stream.Conn, said any) { queue <- desk.News{From: from, Said: said} }
	ln, err := stream.Listen(sheet.Listen, sheet.MemoryMB<<20, sheet.Sockets, hear, log)
	if err != nil {
		return nil, err
	}
	log.WithFields(logrus.Fields{"listen": ln.Addr().String(), "discovery": sheet.Discovery,
		"backends": len(sheet.Known.Members), "proxies": sheet.Deployment.Proxies,
		"revision": sheet.Known.Revision}).Info("ready")
	return &controller{sheet: sheet, lists: lists, streams: ln, log: log}, nil
}

// reload takes over a file that was replaced. One that is broken, half written or missing changes nothing;
// streams, tables and the list held stay in any case.
func (c *controller) reload() {
	next, err := launch.Read(os.Getenv, os.ReadFile)
	if err != nil {
		c.log.WithField("reason", "settings").Errorf("the configuration stays as it was: %v", err)
		return
	}
	if keys := c.sheet.Kept(next); len(keys) > 0 {
		c.log.WithField("keys", keys).Warn("these changes wait for a restart")
	}
	if next.Discovery != c.sheet.Discovery {
		c.lists.Move(next.Discovery)
	}
	allow(next)
	c.streams.Allow(next.MemoryMB<<20, next.Sockets)
	c.sheet.Discovery = next.Discovery
	c.log.WithFields(logrus.Fields{"discovery": next.Discovery, "memory_mb": next.MemoryMB, "sockets": next.Sockets,
		"cores": next.Cores}).Info("configuration taken over")
}

var began = time.Now()

// clock is the wall's time at the start and what has passed since, so that it never goes back.
func clock() choice.Time {
	return choice.Time((began.UnixNano() + time.Since(began).Nanoseconds()) / (1e9 / int64(choice.Second)))
}
