// Package fleet is a rig: several processes of the built program on loopback, each pair of them joined by ways that a
// test cuts, silences or slows; processes are killed, stopped and continued by their own ids. What happens is set off
// by what was seen in a log or an answer, and every wait is for something to be seen.
package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"elmfold/internal/fakes/link"
)

// Patience is how long something is waited for that must come.
const Patience = 60 * time.Second

// Process is one controller.
type Process struct {
	Name, Site string
	Dir        string // its own; what it keeps is there
	Listen     string // of the fleet's words
	Streams    string // ... and connections

	rig   *Rig
	extra string // of the operator file
	cmd   *exec.Cmd

	mu            sync.Mutex
	output        []string
	more          chan struct{} // closed at each line
	incarnationAt int           // in lines: where its present life began
	ended         chan struct{}
}

// Rig holds the processes.
type Rig struct {
	Program   string
	Proxies   int
	Dir       string
	Zones     []string         // of the list that each process is told
	Members   []map[string]any // of the list
	NoSums    bool             // no sums are told on
	Processes []*Process
	ways      map[[2]int]*link.Way // of words, from one to another
	streams   map[[2]int]*link.Way
}

// New lays out n processes of a program, in sites in turn; none runs yet. extra is what a process's operator file says
// beside the section member; ways is whether each pair has ways of its own.
func New(program, dir string, n, sites, proxies int, ways bool, extra func(p *Process) string) (*Rig, error) {
	r := &Rig{
		Program: program,
		Proxies: proxies,
		Dir:     dir,
		Zones:   []string{"a", "b"},
		ways:    map[[2]int]*link.Way{},
		streams: map[[2]int]*link.Way{},
	}
	for i := range 12 {
		r.Members = append(r.Members, Member(fmt.Sprintf("s-%02d", i), r.Zones[i%2], 1))
	}
	for i := range n {
		p := &Process{
			Name:  fmt.Sprintf("n%d", i),
			Site:  fmt.Sprintf("site-%c", 'a'+i%sites),
			rig:   r,
			more:  make(chan struct{}),
			ended: make(chan struct{}),
		}
		p.Dir = filepath.Join(dir, p.Name)
		close(p.ended)
		if err := os.MkdirAll(p.Dir, 0o755); err != nil {
			return nil, err
		}
		var err error
		if p.Listen, err = free(); err == nil {
			p.Streams, err = free()
		}
		if err != nil {
			return nil, err
		}
		r.Processes = append(r.Processes, p)
	}
	for i := range n {
		for j := range n {
			if i == j || !ways {
				continue
			}
			var err error
			if r.ways[[2]int{i, j}], err = link.NewWay(r.Processes[j].Listen); err == nil {
				r.streams[[2]int{i, j}], err = link.NewWay(r.Processes[j].Streams)
			}
			if err != nil {
				r.Close()
				return nil, err
			}
		}
	}
	for _, p := range r.Processes {
		if extra != nil {
			p.extra = extra(p)
		}
	}
	return r, nil
}

// Member is a backend of a list.
func Member(id, zone string, size float64) map[string]any {
	return map[string]any{"id": id, "locality": zone, "flavor": "m", "phase": "SERVING", "size": size, "up_since_ms": 0}
}

// Ports are lent from below those that the system gives to connections that go out, which would take them meanwhile.
const (
	firstPort = 10000
	ports     = 20000
)

var lent atomic.Int64

// free is a port that is free for connections and datagrams, and was not lent yet by this process.
func free() (string, error) {
	for range 1000 {
		n := firstPort + (int64(os.Getpid())*997+lent.Add(1))%ports
		addr := fmt.Sprintf("127.0.0.1:%d", n)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		at, _ := net.ResolveUDPAddr("udp", addr)
		if u, err := net.ListenUDP("udp", at); err == nil {
			_ = u.Close()
			return addr, nil
		}
	}
	return "", errors.New("no port is free")
}

// Reach is where one process reaches the words of another, and StreamsOf its connections.
func (r *Rig) Reach(i, j int) string {
	if w := r.ways[[2]int{i, j}]; w != nil {
		return w.Addr()
	}
	return r.Processes[j].Listen
}

// StreamsOf is where one process reaches the connections of another.
func (r *Rig) StreamsOf(i, j int) string {
	if w := r.streams[[2]int{i, j}]; w != nil {
		return w.Addr()
	}
	return r.Processes[j].Streams
}

// At is a process's number.
func (r *Rig) At(p *Process) int { return slices.Index(r.Processes, p) }

// Part sets all ways between those of which cut says so, for both directions; the others are open.
func (r *Rig) Part(mode link.Mode, cut func(i, j int) bool) {
	for _, ways := range []map[[2]int]*link.Way{r.ways, r.streams} {
		for at, w := range ways {
			there, back := link.Open, link.Open
			if cut != nil && cut(at[0], at[1]) {
				there = mode
			}
			if cut != nil && cut(at[1], at[0]) {
				back = mode
			}
			w.Set(there, back)
		}
	}
}

// Cut sets the ways between two, or only from the one to the other.
func (r *Rig) Cut(i, j int, mode link.Mode, oneWay bool) {
	for _, ways := range []map[[2]int]*link.Way{r.ways, r.streams} {
		back := mode
		if oneWay {
			back = link.Open
		}
		ways[[2]int{i, j}].Set(mode, back)
		ways[[2]int{j, i}].Set(back, mode)
	}
}

// Close ends all.
func (r *Rig) Close() {
	for _, p := range r.Processes {
		p.Kill()
	}
	var all sync.WaitGroup
	for _, ways := range []map[[2]int]*link.Way{r.ways, r.streams} {
		for _, w := range ways {
			if w != nil {
				all.Go(w.Close)
			}
		}
	}
	all.Wait()
}

// File is the path of a process's operator file.
func (p *Process) File() string { return filepath.Join(p.Dir, "operator.conf") }

// Control is the path of its control socket.
func (p *Process) Control() string { return filepath.Join(p.Dir, "control") }

// Start writes what the process is told and starts it; it returns once it is ready.
func (p *Process) Start(env ...string) error {
	r, me := p.rig, p.rig.At(p)
	config, err := json.Marshal(
		map[string]any{
			"name":      p.Name,
			"listen":    "127.0.0.1:0",
			"discovery": "127.0.0.1:9",
			"limits":    map[string]any{"memory_mb": 256},
			"known":     map[string]any{"revision": 1, "complete": true, "members": r.Members},
			"settings": map[string]any{
				"Zones":   r.Zones,
				"Shapes":  []string{"m"},
				"Classes": []any{map[string]any{"Name": "lookup", "Credit": 1, "Promise": 400000}},
				"Specifics": map[string]any{
					"ProxyCount": r.Proxies,
					"ThrottleBy": "rps",
					"LinesPerS":  3000,
					"PendingMax": 6000,
					"Overhead":   6,
				},
			},
		},
	)
	if err != nil {
		return err
	}
	var file strings.Builder
	fmt.Fprintf(&file, "member\n    listen %s\n    streams %s\n    site %s\n", p.Listen, p.Streams, p.Site)
	if !r.NoSums {
		file.WriteString("    sums\n")
	}
	for k := 1; k <= min(3, len(r.Processes)-1); k++ {
		at := (me + k) % len(r.Processes)
		if len(r.ways) == 0 {
			at = k - 1 // the first ones are there before the others
		}
		if at != me {
			fmt.Fprintf(&file, "    join %s\n", r.Reach(me, at))
		}
	}
	for j, other := range r.Processes {
		if w := r.ways[[2]int{me, j}]; w != nil {
			fmt.Fprintf(&file, "    via %s %s %s\n", other.Name, w.Addr(), r.streams[[2]int{me, j}].Addr())
		}
	}
	file.WriteString(p.extra)
	path := filepath.Join(p.Dir, "config.json")
	if err := errors.Join(
		os.WriteFile(path, config, 0o600),
		os.WriteFile(p.File(), []byte(file.String()), 0o600),
	); err != nil {
		return err
	}
	c := exec.Command(r.Program)
	c.Env = append([]string{"PATH=/bin", "HOME=" + p.Dir, "EDGE_CONFIG=" + path, "EDGE_OPERATOR=" + p.File()}, env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also when the test itself is killed
	out, err := c.StderrPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.incarnationAt, p.ended = c, len(p.output), make(chan struct{})
	ended := p.ended
	p.mu.Unlock()
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			p.mu.Lock()
			p.output = append(p.output, in.Text())
			close(p.more)
			p.more = make(chan struct{})
			p.mu.Unlock()
		}
		_ = c.Wait()
		close(ended)
	}()
	_, err = p.Sees("msg=ready")
	return err
}

// StartAll starts all at once.
func (r *Rig) StartAll() error {
	errs := make([]error, len(r.Processes))
	var all sync.WaitGroup
	for i, p := range r.Processes {
		all.Go(func() { errs[i] = p.Start() })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Sees waits for a line of the present life that holds all words, and gives it.
func (p *Process) Sees(words ...string) (string, error) {
	over := time.After(Patience)
	for {
		p.mu.Lock()
		for _, line := range p.output[p.incarnationAt:] {
			if !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) }) {
				p.mu.Unlock()
				return line, nil
			}
		}
		more, ended := p.more, p.ended
		p.mu.Unlock()
		select {
		case <-more:
		case <-ended:
			p.mu.Lock()
			last := strings.Join(p.output[max(p.incarnationAt, len(p.output)-5):], "\n")
			p.mu.Unlock()
			return "", fmt.Errorf("%s ended before it said %q; it said last:\n%s", p.Name, words, last)
		case <-over:
			return "", fmt.Errorf("%s did not say %q in %v", p.Name, words, Patience)
		}
	}
}

// Forget lets Sees look at what comes from now on only.
func (p *Process) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnationAt = len(p.output)
}

// Log is all that it ever said.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.output, "\n")
}

// Addr is where it takes proxies.
func (p *Process) Addr() (string, error) {
	line, err := p.Sees("msg=ready")
	if err != nil {
		return "", err
	}
	_, rest, _ := strings.Cut(line, `listen="`)
	addr, _, _ := strings.Cut(rest, `"`)
	return addr, nil
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// ID is its process id; 0 while it does not run.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Kill ends it with -9, and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// Stop suspends the process.
func (p *Process) Stop() { p.signal(syscall.SIGSTOP) }

// Continue resumes it.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }
