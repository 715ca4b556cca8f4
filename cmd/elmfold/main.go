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
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	sheet, err := launch.Read(os.Getenv, os.ReadFile)
	if err != nil {
		log.WithField("reason", "settings").Error(err)
		os.Exit(2)
	}
	entry := log.WithField("name", sheet.Name)
	runtime.GOMAXPROCS(max(1, int(math.Round(sheet.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(sheet.MemoryMB) * (1 << 20)))

	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	failed := make(chan error, 1)
	go func() { failed <- serve(sheet, entry) }()
	select {
	case s := <-stop:
		entry.WithField("reason", s.String()).Info("stopping")
	case err := <-failed:
		entry.WithField("reason", "listen").Error(err)
		os.Exit(1)
	}
}

// serve starts the parts. The desk has the list known at the start before anyone can connect.
func serve(sheet launch.Sheet, log *logrus.Entry) error {
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
		return err
	}
	log.WithFields(logrus.Fields{"listen": ln.Addr().String(), "discovery": sheet.Discovery,
		"backends": len(sheet.Known.Members), "proxies": sheet.Deployment.Proxies,
		"revision": sheet.Known.Revision}).Info("ready")
	return ln.Serve()
}

var began = time.Now()

// clock is the wall's time at the start and what has passed since, so that it never goes back.
func clock() choice.Time {
	return choice.Time((began.UnixNano() + time.Since(began).Nanoseconds()) / (1e9 / int64(choice.Second)))
}
