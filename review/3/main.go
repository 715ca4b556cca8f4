//go:build review

// Case 3: a controller that was frozen while another one started twice refuses its connections for good. The loss
// of the third one, which the fault budget allows, then ends the control plane.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"elmfold/internal/fakes/gateway"
	"elmfold/review/standin"
)

const (
	freezeFor    = 1600 * time.Millisecond // the site file freezes machines for 3.5 s
	restartDelay = 300 * time.Millisecond  // "started again after a short delay"
	recoveryS    = 15 * time.Second
	readFor      = 30 * time.Second // ten times contactS
)

func main() { os.Exit(play(os.Args[1], os.Getenv("TROUBLE"))) }

func play(folder, trouble string) int {
	record, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannot(err)
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return cannot(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	// The machines of the site show one core each.
	d, err := gateway.Start(gateway.Plan{Programs: "target", Dir: dir, Controllers: 3, Carrier: 1,
		Zones: []string{"a", "b", "c"}, Faults: 1, Beat: 1.5, MetricsPort: 9464, Environment: []string{"GOMAXPROCS=1"}})
	if err != nil {
		return cannot(err)
	}
	defer d.Stop()
	names := []string{"core-1", "core-2", "core-3"}
	operator := standin.NewCaller(record, names, d.Controls())
	replace := func(version uint32, for_ time.Duration) bool {
		config := string(gateway.Configuration(version, gateway.Shape{Services: 1, Routes: int(version), Safe: true}, 0))
		for end := time.Now().Add(for_); time.Now().Before(end); {
			if operator.Order(0, "config.replace", config) {
				record.Add("operator  version %d acknowledged", version)
				return true
			}
		}
		record.Add("operator  version %d is not acknowledged for %v", version, for_)
		return false
	}
	if !replace(1, 15*time.Second) {
		return cannot(fmt.Errorf("no configuration was taken"))
	}
	time.Sleep(5 * time.Second)

	core := d.Controllers
	restart := func(p *gateway.Process) error {
		record.Add("platform  SIGKILL to %s", p.Name)
		p.Kill()
		time.Sleep(restartDelay)
		record.Add("platform  %s is started again", p.Name)
		return p.Again()
	}
	if trouble != "0" && trouble != "loss" {
		record.Add("platform  core-1 freezes (SIGSTOP)")
		frozenAt := time.Now()
		if err := core[0].Signal(syscall.SIGSTOP); err != nil {
			return cannot(err)
		}
		for range 2 {
			if err := restart(core[1]); err != nil {
				return cannot(err)
			}
			time.Sleep(350 * time.Millisecond)
		}
		time.Sleep(freezeFor - time.Since(frozenAt))
		_ = core[0].Signal(syscall.SIGCONT)
		record.Add("platform  core-1 wakes (SIGCONT) after %v", time.Since(frozenAt).Round(time.Millisecond))
	}
	time.Sleep(recoveryS) // all are back
	if !replace(2, 15*time.Second) {
		return fail(record, "CONFIG: a proper change is not acknowledged though all controllers run")
	}
	if trouble != "0" {
		record.Add("platform  core-3 is lost (SIGKILL)")
		core[2].Kill()
	}
	time.Sleep(recoveryS)
	for end, at := time.Now().Add(readFor), 0; time.Now().Before(end); at++ {
		status, text, err := operator.Once(at%3, "config.read", "")
		if err == nil && status == 200 {
			if strings.Contains(text, `"generation":"00000002"`) {
				record.Add("CONFIG    the newest acknowledged version is read back")
				fmt.Println("the newest acknowledged version is read back")
				return 0
			}
			return fail(record, "CONFIG: another version than the newest acknowledged one is read back")
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fail(record, fmt.Sprintf("CONFIG: %v after all controllers run again, the configuration does not come, read for %v",
		recoveryS, readFor))
}

func fail(record *standin.Record, text string) int {
	record.Add("%s", text)
	fmt.Println(text)
	return 1
}

func cannot(err error) int {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	return 2
}
