package controlplane_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hexops/autogold"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/rpc"
	"elmfold/internal/simulation"
)

// core is a controller on a machine of its own.
type core struct {
	name, ip string
	host     *simulation.Host
	disk     *simulation.Disk
	server   *controlplane.Server
}

// council is some controllers on one network, and what is written down of them.
type council struct {
	net   *simulation.Net
	cores []*core
	mu    sync.Mutex
	out   strings.Builder
	logs  logLines
}

// logLines are the warnings and errors of all controllers.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// count is how many lines say something.
func (l *logLines) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}

// convene starts n controllers that bear so many faults, the zones in turn.
func convene(n, faults int) *council {
	c := &council{net: simulation.NewNet(func(string, string) time.Duration { return 200 * time.Microsecond })}
	for i := range n {
		k := &core{name: fmt.Sprintf("core-%d", i), ip: fmt.Sprintf("10.0.0.%d", 10+i),
			disk: simulation.NewDisk(time.Millisecond)}
		k.host = c.net.Host(k.ip)
		set := bootconfig.Default()
		set.Name, set.IP, set.Zone = k.name, k.ip, []string{"north", "south", "west"}[i%3]
		set.Zones = map[string]string{"north": "land", "south": "land", "west": "land"}
		set.PortRange, set.Bootstrap, set.FaultBudget.Machines = [2]int{7540, 7555}, true, faults
		set.Seeds = []string{"10.0.0.10:8544", "10.0.0.11:8544", "10.0.0.12:8544"}[:n]
		set.Listen = map[string]string{"control": k.ip + ":8544"}
		lines, err := k.host.Listen(set.OwnPeerAddress())
		if err != nil {
			panic(err)
		}
		host := k.host // this life's: a dial may outlast it
		disk, known, fresh := k.disk.Open(k.host)
		k.server = controlplane.New(controlplane.Options{Settings: &set, Disk: disk, DiskComplete: known, DiskFresh: fresh,
			Log:   hclog.New(&hclog.LoggerOptions{Output: &c.logs, Level: hclog.Warn}),
			Clock: clockwork.NewRealClock(), Listener: lines, TimeOfDay: time.Now,
			Dial: func(address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
				defer cancel()
				return host.Dial(ctx, address, 3*time.Second)
			}})
		go k.server.Run()
		c.cores = append(c.cores, k)
	}
	return c
}

func (c *council) end() {
	for _, k := range c.cores {
		k.server.Stop()
		k.host.Kill()
	}
	time.Sleep(10 * time.Second) // virtual: what dials or waits sees the end
}

func (c *council) note(format string, v ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(&c.out, format+"\n", v...)
}

// shown is a body as a transcript shows it.
func shown(body string) string {
	if len(body) > 120 {
		return fmt.Sprintf("%s... (%d bytes)", body[:60], len(body))
	}
	return body
}

// ask makes a call and writes down its answer, and how long that took where it took long.
func (c *council) ask(k *core, method, call, body string) {
	began := time.Now()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, "http://"+k.ip+":8544/v1/rpc?call="+call, strings.NewReader(body))
	k.server.Handler().ServeHTTP(w, r)
	took, at, after := spent(time.Since(began)), "", ""
	if len(c.cores) > 1 {
		at = " at " + k.name
	}
	if body != "" {
		at += "  " + shown(body)
	}
	if s := w.Header().Get("Retry-After"); s != "" {
		after = ", again after " + s
	}
	c.note("%s %s%s\n    %d%s %s%s", method, call, at, w.Code, after, shown(w.Body.String()), took)
	time.Sleep(250 * time.Millisecond) // virtual: more than a tick, so that carriers have heard of it
}

// spent tells spans apart that mean something else: what is told at once, what waited for a disk that hangs, and what
// waited for as long as it may.
func spent(took time.Duration) string {
	switch {
	case took < 20*time.Millisecond:
		return ""
	case took < 500*time.Millisecond:
		return "  (within 0.5 s)"
	case took < 1200*time.Millisecond:
		return "  (after 0.9 s)"
	case took < 3300*time.Millisecond:
		return "  (after 3 s)"
	}
	return "  (later)"
}

func (c *council) calls(k *core, body string, calls ...string) {
	for _, call := range calls {
		c.ask(k, "POST", call, body)
	}
}

// listen is a carrier that writes down what it is told of backends and registers.
func (c *council) listen(k *core) {
	host := c.net.Host("10.0.0.200")
	conn, err := host.Dial(context.Background(), k.ip+":7540", 0)
	if err != nil {
		panic(err)
	}
	line := rpc.NewConn(conn)
	who := rpc.Node{Name: "edge-0", Zone: "north"}
	line.Send(&rpc.Message{Hello: &rpc.Hello{Node: who, Incarnation: 1, IsProxy: true}})
	go func() {
		defer line.Close()
		for {
			m, err := line.Receive(0)
			if err != nil {
				return
			}
			for _, b := range m.Endpoints {
				c.note("    carrier hears: %s %s, %s at %q, call %d, cold for %d ms", b.ID,
					[]string{"ready", "draining", "gone"}[b.State], b.Service, b.Address, b.Seq, b.WarmupRemaining)
			}
			for _, name := range []string{"charter", "zone/north", "zone/south"} {
				if s, ok := m.CommittedVersions[name]; ok && m.Hello == nil {
					c.note("    carrier hears: %s is in force%s", name, c.value(m, name, s))
				}
			}
			if m.LeaseRenewed == 0 {
				line.Send(&rpc.Message{Lease: rpc.Lease{RenewLease: 1}})
			}
		}
	}()
	time.Sleep(5 * time.Millisecond)
}

// value is that of an evacuation; stamps hold times and digests, and the version tells enough of a configuration.
func (c *council) value(m *rpc.Message, name string, s rpc.Version) string {
	if name == "charter" {
		return fmt.Sprintf(" in version %d", s.Number)
	}
	i := slices.IndexFunc(m.CommittedValues, func(r rpc.Register) bool { return r.Name == name })
	if i < 0 {
		return ""
	}
	return fmt.Sprintf(" as %q", m.CommittedValues[i].Value)
}

func conf(version, edits string) string {
	body := `{"generation":"` + version + `","sockets":[{"authority":"a.example","ruleset":[{"name":"r-1","targetS":1,` +
		`"predicate":{"pathPrefix":"/a/"},"effect":{"service":"alpha","timeoutS":5}}]}],"pools":[{"name":"alpha"}]}`
	if from, to, ok := strings.Cut(edits, " -> "); ok {
		body = strings.Replace(body, from, to, 1)
	}
	return body
}

func beat(service, address, state string, seq int, cold float64) string {
	return fmt.Sprintf(`{"address":%q,"descriptor":{"service":%q,"zone":"north","capacity":4},`+
		`"observed":{"state":%q,"callSeq":%d,"coldLeftS":%v}}`, address, service, state, seq, cold)
}

// Every call as operators and backends make it. Guards against what is wrong being acknowledged or in force, an older
// version taking the place of a newer, a late beat bringing back what leaves, and an answer that changes unseen.
func TestCalls(t *testing.T) {
	var out string
	synctest.Test(t, func(t *testing.T) {
		c := convene(1, 0)
		k := c.cores[0]
		part := func(name string) { c.note("\n%s", name) }
		c.note("Before there are founders")
		c.calls(k, "", "config.read", "evacuation.begin&of=north")
		c.calls(k, conf("0000000c", ""), "config.replace")
		time.Sleep(2 * time.Second)
		c.listen(k)

		part("The configuration")
		c.calls(k, "", "config.read")
		c.calls(k, conf("0000000c", ""), "config.replace", "config.replace")
		c.calls(k, "", "config.read")
		c.note("a lower version is acknowledged and alters nothing")
		c.calls(k, conf("0000000b", `"/a/" -> "/b/"`), "config.replace")
		c.calls(k, "", "config.read")
		c.note("what is invalid")
		for _, bad := range []string{
			"", "{", conf("0000000d", "")[:80], conf("0000000d", "") + "{}", conf("d", ""),
			conf("0000000d", `"service":"alpha" -> "service":"omega"`),
			conf("0000000d", `"timeoutS":5 -> "timeoutS":600.1`), conf("0000000d", `"targetS":1 -> "targetS":65`),
			conf("0000000d", `"/a/" -> "a/"`),
		} {
			c.calls(k, bad, "config.replace")
		}
		c.calls(k, strings.Repeat(" ", 8<<20+1), "config.replace")
		c.calls(k, "", "config.read")

		part("Backends")
		c.calls(k, beat("alpha", "10.0.1.1:8080", "ready", 4, 2.5), "instances.heartbeat&of=i-1")
		c.note("the same is no news, nor is a late one")
		c.calls(k, beat("alpha", "10.0.1.1:8080", "ready", 5, 2.5), "instances.heartbeat&of=i-1")
		c.calls(k, beat("alpha", "10.0.1.9:8080", "ready", 3, 0), "instances.heartbeat&of=i-1")
		c.calls(k, beat("alpha", "10.0.1.1:8080", "draining", 6, 0), "instances.heartbeat&of=i-1")
		c.note("nothing brings back what leaves")
		c.calls(k, beat("alpha", "10.0.1.1:8080", "ready", 5, 0), "instances.heartbeat&of=i-1")
		c.calls(k, beat("alpha", "10.0.1.1:8080", "ready", 7, 0), "instances.heartbeat&of=i-1")
		c.calls(k, "", "instances.deregister&of=i-1", "instances.deregister&of=i-1", "instances.deregister&of=i-9")
		c.calls(k, beat("alpha", "10.0.1.1:8080", "ready", 8, 0), "instances.heartbeat&of=i-1")
		c.note("a new life at the address of another ends it")
		c.calls(k, beat("alpha", "10.0.1.2:8080", "ready", 1, 0), "instances.heartbeat&of=i-2")
		c.calls(k, beat("beta", "10.0.1.2:8080", "ready", 1, 0), "instances.heartbeat&of=i-3")
		c.note("what is wrong")
		c.calls(k, beat("alpha", "10.0.1.1:8080", "ready", 1, 0), "instances.heartbeat")
		for _, bad := range []string{"", "{", "[]", "{}", beat("", "10.0.1.4:8080", "ready", 1, 0),
			beat("alpha", "", "ready", 1, 0),
			beat("alpha", "10.0.1.4:8080", "", 1, 0), beat("alpha", "10.0.1.4:8080", "tired", 1, 0),
			strings.Replace(beat("alpha", "10.0.1.4:8080", "ready", 1, 0), `"callSeq":1`, `"callSeq":-1`, 1),
			beat("alpha", "10.0.1.4:8080", "ready", 1, 0) + strings.Repeat(" ", 64<<10)} {
			c.calls(k, bad, "instances.heartbeat&of=i-4")
		}
		c.calls(k, "", "instances.deregister")

		part("Evacuations")
		c.calls(k, "", "evacuation.begin&of=south", "evacuation.begin&of=south", "evacuation.finish&of=south",
			"evacuation.finish&of=north", "evacuation.begin&of=east", "evacuation.finish&of=east", "evacuation.begin")

		part("What is no call")
		c.calls(k, "", "config.destroy", "")
		c.ask(k, "GET", "config.read", "")
		c.end()
		out = c.out.String()
	})
	autogold.Equal(t, out)
}

// Three controllers that bear one fault. Guards against a leaving that one alone knows being acknowledged (it may die
// with it), callers being held up by one that stands alone, and a write being lost with, or waiting for, the disk of
// the one that was asked.
func TestThree(t *testing.T) {
	var out string
	synctest.Test(t, func(t *testing.T) {
		c := convene(3, 1)
		one, two, three := c.cores[0], c.cores[1], c.cores[2]
		time.Sleep(5 * time.Second)
		orders := func(version string) {
			c.calls(one, conf(version, ""), "config.replace")
			c.calls(one, "", "config.read", "evacuation.begin&of=south", "evacuation.finish&of=west")
		}
		away := func(is bool, all ...*core) {
			for _, k := range all {
				c.net.Dark(k.ip, is)
			}
		}
		c.note("All are there")
		orders("00000001")
		c.calls(two, "", "config.read")
		c.calls(one, beat("alpha", "10.0.1.1:8080", "ready", 1, 0), "instances.heartbeat&of=i-1")
		c.note("a beat of the north at the controller of the south")
		c.calls(two, beat("alpha", "10.0.1.1:8080", "ready", 2, 0), "instances.heartbeat&of=i-1")
		c.calls(one, beat("alpha", "10.0.1.1:8080", "draining", 3, 0), "instances.heartbeat&of=i-1")
		c.calls(one, "", "instances.deregister&of=i-1")

		c.note("\nThe other two fell silent just now")
		away(true, two, three)
		c.calls(one, beat("alpha", "10.0.1.2:8080", "draining", 1, 0), "instances.heartbeat&of=i-2")
		time.Sleep(4 * time.Second)
		c.note("\nThey are known to be away")
		orders("00000002")
		c.calls(one, beat("alpha", "10.0.1.2:8080", "ready", 2, 0), "instances.heartbeat&of=i-3")
		c.calls(one, beat("alpha", "10.0.1.2:8080", "draining", 2, 0), "instances.heartbeat&of=i-3")
		c.calls(one, "", "instances.deregister&of=i-3")
		c.note("\nOne of them is back")
		away(false, two)
		time.Sleep(2 * time.Second)
		c.calls(one, beat("alpha", "10.0.1.2:8080", "draining", 3, 0), "instances.heartbeat&of=i-3")
		c.calls(one, "", "instances.deregister&of=i-3")
		orders("00000003")

		away(false, three)
		time.Sleep(5 * time.Second)
		c.note("\nThe disk of the one that is asked is full")
		one.disk.Full(true)
		orders("00000004")
		c.calls(three, "", "config.read")
		one.disk.Full(false)
		time.Sleep(5 * time.Second)
		c.note("\nIt hangs")
		one.disk.Hang(8 * time.Second)
		orders("00000005")
		c.calls(three, "", "config.read")
		time.Sleep(10 * time.Second)
		c.note("\nThe second does, and the third is away: one disk is not enough")
		two.disk.Hang(9 * time.Second)
		away(true, three)
		time.Sleep(4 * time.Second)
		c.calls(one, conf("00000006", ""), "config.replace")
		time.Sleep(5 * time.Second)
		c.note("The second's is well again, and what was not acknowledged is there all the same")
		c.calls(two, "", "config.read")
		c.end()
		out = c.out.String()
	})
	autogold.Equal(t, out)
}
