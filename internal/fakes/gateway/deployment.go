// Package gateway is what stands round the gateway on one machine: a launcher that writes settings and runs the real
// programs on loopback addresses, an operator, backends that speak their side of the protocol, and hollow carriers and
// backends that say the same words on the wire without any traffic. Everything is bounded in count and ends with Stop.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"elmfold/internal/gateway/bootconfig"
)

// Ports are the same on each machine; a machine is an address in 127.0.0.0/8.
const (
	frontPort, readyPort, controlPort, backendPort = 8548, 8542, 8544, 8080
	firstPort, lastPort                            = 7540, 7555
	maxProcesses                                   = 24
	stopTimeout                                    = 8 * time.Second

	roleControlPlane, roleProxy = "controlplane", "proxy" // as in deploy/system.toml
)

// Plan of a deployment. Machines take the zones in turn.
type Plan struct {
	Programs             string // folder of elmfold-controlplane and elmfold-proxy
	Dir                  string // for settings, disks and logs; it is not removed
	Controllers, Carrier int
	Zones                []string
	Faults               int     // machines that may be lost at once
	Beat                 float64 // s
	Verbose              bool    // the programs write each log line
	MetricsPort          int     // of each program, at its address; 0: none
	Environment          []string
	Network              int // 0, or 1 for a second deployment of the same process at a time
}

// networksApart is how far apart the networks of two deployments of one process are, of maxNetworks.
const (
	networksApart = 120
	maxNetworks   = 240
)

// Process is one of the programs on its machine.
type Process struct {
	Name, Zone, IP string
	role           string
	settings       string
	log            string
	environment    []string
	program        string
	verbose        bool
	metricsPort    int
	cmd            *exec.Cmd
	ended          chan struct{}
}

// Front is where clients call a carrier.
func (p *Process) Front() string { return at(p.IP, frontPort) }

// Control is where operators and backends call a controller.
func (p *Process) Control() string { return at(p.IP, controlPort) }

// Peer is where controllers and carriers call a controller.
func (p *Process) Peer() string { return at(p.IP, firstPort) }

// ID is the process's number.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Deployment is a running system.
type Deployment struct {
	Plan        Plan
	Net         string // the first two bytes of its addresses, as in 127.41
	Controllers []*Process
	Carriers    []*Process
}

func at(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// Start writes the settings and starts all processes: controllers first. The error names the program that is missing.
func Start(plan Plan) (*Deployment, error) {
	if n := plan.Controllers + plan.Carrier; n > maxProcesses || plan.Controllers < 1 {
		return nil, fmt.Errorf(
			"%d processes, of which %d are controllers: 1 to %d are run",
			n,
			plan.Controllers,
			maxProcesses,
		)
	}
	if len(plan.Zones) == 0 {
		plan.Zones = []string{"a", "b", "c"}
	}
	if plan.Beat == 0 {
		plan.Beat = 1.5
	}
	d := &Deployment{Plan: plan, Net: fmt.Sprintf("127.%d", 10+(os.Getpid()+plan.Network*networksApart)%maxNetworks)}
	for i := range plan.Controllers {
		// Spread over the zones: with fewer controllers than zones, not the first zones only.
		zone := plan.Zones[i*max(len(plan.Zones)/plan.Controllers, 1)%len(plan.Zones)]
		d.Controllers = append(d.Controllers, &Process{Name: fmt.Sprintf("core-%d", i+1), Zone: zone,
			IP: fmt.Sprintf("%s.0.%d", d.Net, i+1), role: roleControlPlane})
	}
	for i := range plan.Carrier {
		d.Carriers = append(d.Carriers, &Process{Name: fmt.Sprintf("edge-%d", i+1), Zone: plan.Zones[i%len(plan.Zones)],
			IP: fmt.Sprintf("%s.1.%d", d.Net, i+1), role: roleProxy})
	}
	for _, p := range d.all() {
		if err := d.prepare(p); err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

func (d *Deployment) all() []*Process {
	return append(append([]*Process(nil), d.Controllers...), d.Carriers...)
}

// prepare writes a process's settings.
func (d *Deployment) prepare(p *Process) error {
	s := bootconfig.Default()
	s.Name, s.Role, s.IP, s.Zone, s.Region = p.Name, p.role, p.IP, p.Zone, "lab"
	s.Zones = map[string]string{}
	for _, z := range d.Plan.Zones {
		s.Zones[z] = "lab"
	}
	s.PortRange, s.Bootstrap, s.InFaultBudget = [2]int{firstPort, lastPort}, true, p.role == roleControlPlane
	for _, c := range d.Controllers[:min(3, len(d.Controllers))] {
		s.Seeds = append(s.Seeds, c.Control())
	}
	s.Listen = map[string]string{"front": p.Front(), "readiness": at(p.IP, readyPort)}
	s.HeartbeatInterval, s.FaultBudget.Machines, s.FaultBudget.Zones = bootconfig.Seconds(d.Plan.Beat), d.Plan.Faults, 1
	s.Limits.MaxFDs = 16000
	if p.role == roleControlPlane {
		s.Listen = map[string]string{"control": p.Control()}
		s.DataDir, s.Limits.DiskMB = filepath.Join(d.Plan.Dir, p.Name), 1024
		if err := os.MkdirAll(s.DataDir, 0o755); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	p.settings, p.log = filepath.Join(d.Plan.Dir, p.Name+".json"), filepath.Join(d.Plan.Dir, p.Name+".log")
	p.program, p.verbose, p.environment = filepath.Join(
		d.Plan.Programs,
		"elmfold-"+p.role,
	), d.Plan.Verbose, d.Plan.Environment
	p.metricsPort = d.Plan.MetricsPort
	return os.WriteFile(p.settings, append(text, '\n'), 0o644)
}

func (p *Process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.program)
	if p.verbose {
		p.cmd.Args = append(p.cmd.Args, "-v")
	}
	if p.metricsPort > 0 {
		p.cmd.Args = append(p.cmd.Args, "--metrics-port", strconv.Itoa(p.metricsPort))
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(append(os.Environ(), bootconfig.EnvVar+"="+p.settings), p.environment...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a lab that is killed leaves none behind
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.program, err)
	}
	ended := make(chan struct{})
	p.ended = ended
	go func() { _ = p.cmd.Wait(); close(ended) }()
	return nil
}

// Kill ends a process as a loss of it does; its disk stays.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Signal sends one: SIGSTOP and SIGCONT suspend it and let it go on, SIGTERM ends it in order.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// Wait waits for the end of the process, and kills it after a time.
func (p *Process) Wait(timeout time.Duration) {
	select {
	case <-p.ended:
	case <-time.After(timeout):
		p.Kill()
	}
}

// Metrics reads the process's figures, by their names.
func (p *Process) Metrics(ctx context.Context) (map[string]int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at(p.IP, p.metricsPort)+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	figures := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(strings.TrimSpace(line), " ")
		if v, err := strconv.ParseInt(value, 10, 64); err == nil && found && !strings.HasPrefix(name, "#") {
			figures[name] = v
		}
	}
	return figures, nil
}

// Again starts a process that was killed.
func (p *Process) Again() error { return p.start() }

// Running says whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Stop ends all in order, those that do not end in time by force.
func (d *Deployment) Stop() {
	late := time.After(stopTimeout)
	for _, p := range d.all() {
		if p.cmd != nil && p.cmd.Process != nil && p.ended != nil {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range d.all() {
		if p.ended == nil {
			continue
		}
		select {
		case <-p.ended:
		case <-late:
			_ = p.cmd.Process.Kill()
			<-p.ended
			late = time.After(0)
		}
	}
}

// Controls are the addresses for operators and backends.
func (d *Deployment) Controls() (all []string) {
	for _, c := range d.Controllers {
		all = append(all, c.Control())
	}
	return all
}

// Ready waits until all carriers call themselves ready. The error names the one that does not, or that ended.
func (d *Deployment) Ready(ctx context.Context) error {
	for _, c := range d.Carriers {
		for {
			resp, err := http.Get("http://" + at(c.IP, readyPort) + "/v1/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if !c.Running() {
				return fmt.Errorf("%s ended; its log: %s", c.Name, c.log)
			}
			select {
			case <-ctx.Done():
				return errors.Join(fmt.Errorf("%s is not ready", c.Name), ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Usage is what the kernel counts for a process. Read and Wrote are the bytes of its read and write calls
// (/proc/PID/io: payload of sockets and files, without headers of TCP and IP), Calls their number.
type Usage struct {
	Processor   time.Duration // user and system, by ticks of 10 ms
	Read, Wrote int64
	Calls       int64
	Resident    int64 // bytes now
	Peak        int64 // ... at the most
	At          time.Time
}

// Usage reads it.
func (p *Process) Usage() (u Usage, err error) {
	u.At = time.Now()
	dir := fmt.Sprintf("/proc/%d/", p.ID())
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	u.Processor = time.Duration(user+system) * 10 * time.Millisecond
	counts, err := fields(dir+"io", "")
	if err != nil {
		return u, err
	}
	u.Read, u.Wrote, u.Calls = counts["rchar"], counts["wchar"], counts["syscr"]+counts["syscw"]
	status, err := fields(dir+"status", "kB")
	u.Resident, u.Peak = status["VmRSS"]<<10, status["VmHWM"]<<10
	return u, err
}

func fields(path, unit string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	out := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), unit))
		if v, err := strconv.ParseInt(value, 10, 64); err == nil {
			out[name] = v
		}
	}
	return out, err
}

// Rate is the use between two readings, each second of it.
type Rate struct {
	Cores       float64
	Read, Wrote float64 // bytes/s
	Calls       float64
}

// Since is the rate from an earlier reading to this one.
func (u Usage) Since(was Usage) Rate {
	s := u.At.Sub(was.At).Seconds()
	return Rate{Cores: (u.Processor - was.Processor).Seconds() / s, Read: float64(u.Read-was.Read) / s,
		Wrote: float64(u.Wrote-was.Wrote) / s, Calls: float64(u.Calls-was.Calls) / s}
}
