package controlplane_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// node is a control-plane node on a simulated machine.
type node struct {
	name, ip, zone string
	host           *simulation.Host
	disk           *simulation.Disk
	server         *controlplane.Server
	suspension     atomic.Int64 // how long the next write to the disk suspends the process, a time.Duration
}

// suspendingDisk suspends the process of a node at a write, if the test asks for it.
type suspendingDisk struct {
	controlplane.Disk
	node *node
}

func (d suspendingDisk) PutAsync(name string, value []byte, done func(error)) {
	time.Sleep(time.Duration(d.node.suspension.Swap(0)))
	d.Disk.PutAsync(name, value, done)
}

// cluster is a set of control-plane nodes on one network, with the transcript of a test.
type cluster struct {
	net         *simulation.Net
	nodes       []*node
	faultBudget int // machines that may fail
	mu          sync.Mutex
	transcript  strings.Builder
	logs        logBuffer
}

// logBuffer collects the warnings and errors that all nodes log.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// count returns how often text was logged.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// startCluster starts nodes in alternating zones.
func startCluster(size, faultBudget int) *cluster {
	c := &cluster{
		net:         simulation.NewNet(func(string, string) time.Duration { return 200 * time.Microsecond }),
		faultBudget: faultBudget,
	}
	for i := range size {
		c.nodes = append(c.nodes, &node{
			name: fmt.Sprintf("core-%d", i),
			ip:   fmt.Sprintf("10.0.0.%d", 10+i),
			zone: []string{"north", "south", "west"}[i%3],
			disk: simulation.NewDisk(time.Millisecond),
		})
	}
	for _, n := range c.nodes {
		c.start(n, true)
	}
	return c
}

// start starts a process of a node on its disk.
func (c *cluster) start(n *node, bootstrap bool) {
	n.host = c.net.Host(n.ip)
	settings := bootconfig.Default()
	settings.Name, settings.IP, settings.Zone = n.name, n.ip, n.zone
	settings.Zones = map[string]string{"north": "land", "south": "land", "west": "land"}
	settings.PortRange, settings.Bootstrap, settings.FaultBudget.Machines = [2]int{7540, 7555}, bootstrap, c.faultBudget
	for _, seed := range c.nodes {
		settings.Seeds = append(settings.Seeds, seed.ip+":8544")
	}
	settings.Listen = map[string]string{"control": n.ip + ":8544"}
	listener, err := n.host.Listen(settings.OwnPeerAddress())
	if err != nil {
		panic(err)
	}
	host := n.host // a dial may outlast this process, when n.host has changed
	disk, complete, fresh := n.disk.Open(n.host)
	n.server = controlplane.New(controlplane.Options{
		Settings:     &settings,
		Disk:         suspendingDisk{disk, n},
		DiskComplete: complete,
		DiskFresh:    fresh,
		Log:          hclog.New(&hclog.LoggerOptions{Output: &c.logs, Level: hclog.Warn}),
		Clock:        clockwork.NewRealClock(),
		Listener:     listener,
		TimeOfDay:    time.Now,
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
			defer cancel()
			return host.Dial(ctx, address, 3*time.Second)
		},
	})
	go n.server.Run()
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.server.Stop()
		n.host.Kill()
	}
	time.Sleep(10 * time.Second) // virtual; lets pending dials and waits end
}

// record adds a line to the transcript.
func (c *cluster) record(format string, v ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(&c.transcript, format+"\n", v...)
}

// abbreviate shortens a long body for the transcript.
func abbreviate(body string) string {
	if len(body) > 120 {
		return fmt.Sprintf("%s... (%d bytes)", body[:60], len(body))
	}
	return body
}

// call makes a call on a new connection and records the response, and the delay if it is long.
func (c *cluster) call(n *node, method, call, body string) {
	start := time.Now()
	w := httptest.NewRecorder()
	url := "http://" + n.ip + ":8544/v1/rpc?call=" + call
	r := httptest.NewRequestWithContext(n.newConn(context.Background()), method, url, strings.NewReader(body))
	n.server.Handler().ServeHTTP(w, r)
	delay, request, retryAfter := describeDelay(time.Since(start)), "", ""
	if len(c.nodes) > 1 {
		request = " at " + n.name
	}
	if body != "" {
		request += "  " + abbreviate(body)
	}
	if seconds := w.Header().Get("Retry-After"); seconds != "" {
		retryAfter = ", again after " + seconds
	}
	c.record("%s %s%s\n    %d%s %s%s", method, call, request, w.Code, retryAfter, abbreviate(w.Body.String()), delay)
	time.Sleep(250 * time.Millisecond) // virtual; more than a tick, so that proxies receive the changes
}

// describeDelay distinguishes delays by their cause: an immediate response, a wait for a slow disk, and the timeouts.
func describeDelay(delay time.Duration) string {
	switch {
	case delay < 20*time.Millisecond:
		return ""
	case delay < 500*time.Millisecond:
		return "  (within 0.5 s)"
	case delay < 1200*time.Millisecond:
		return "  (after 0.9 s)"
	case delay < 3300*time.Millisecond:
		return "  (after 3 s)"
	}
	return "  (later)"
}

func (c *cluster) calls(n *node, body string, calls ...string) {
	for _, call := range calls {
		c.call(n, "POST", call, body)
	}
}

// recordProxyMessages connects to a node as a proxy, and records the endpoints and registers that it receives.
func (c *cluster) recordProxyMessages(n *node) {
	host := c.net.Host("10.0.0.200")
	netConn, err := host.Dial(context.Background(), n.ip+":7540", 0)
	if err != nil {
		panic(err)
	}
	conn := rpc.NewConn(netConn)
	self := rpc.Node{Name: "edge-0", Zone: "north"}
	conn.Send(&rpc.Message{Hello: &rpc.Hello{Node: self, Incarnation: 1, IsProxy: true}})
	go func() {
		defer conn.Close()
		for {
			m, err := conn.Receive(0)
			if err != nil {
				return
			}
			for _, e := range m.Endpoints {
				c.record("    carrier hears: %s %s, %s at %q, call %d, cold for %d ms", e.ID,
					[]string{"ready", "draining", "gone"}[e.State], e.Service, e.Address, e.Seq, e.WarmupRemaining)
			}
			for _, name := range []string{"charter", "zone/north", "zone/south"} {
				if version, ok := m.CommittedVersions[name]; ok && m.Hello == nil {
					c.record("    carrier hears: %s is in force%s", name, describeValue(m, name, version))
				}
			}
			if m.LeaseRenewed == 0 {
				conn.Send(&rpc.Message{Lease: rpc.Lease{RenewLease: 1}})
			}
		}
	}()
	time.Sleep(5 * time.Millisecond)
}

// describeValue describes a configuration by its version, and an evacuation by its value. It leaves out the rest of the
// version, which holds times and digests.
func describeValue(m *rpc.Message, name string, version rpc.Version) string {
	if name == "charter" {
		return fmt.Sprintf(" in version %d", version.Number)
	}
	i := slices.IndexFunc(m.CommittedValues, func(r rpc.Register) bool { return r.Name == name })
	if i < 0 {
		return ""
	}
	return fmt.Sprintf(" as %q", m.CommittedValues[i].Value)
}

// configJSON returns a configuration with one route. replacement, if not empty, is "OLD -> NEW" for one change to it.
func configJSON(version, replacement string) string {
	body := `{"generation":"` + version + `","sockets":[{"authority":"a.example","ruleset":[{"name":"r-1","targetS":1,` +
		`"predicate":{"pathPrefix":"/a/"},"effect":{"service":"alpha","timeoutS":5}}]}],"pools":[{"name":"alpha"}]}`
	if from, to, ok := strings.Cut(replacement, " -> "); ok {
		body = strings.Replace(body, from, to, 1)
	}
	return body
}

func heartbeatJSON(service, address, state string, seq int, warmupSeconds float64) string {
	return fmt.Sprintf(`{"address":%q,"descriptor":{"service":%q,"zone":"north","capacity":4},`+
		`"observed":{"state":%q,"callSeq":%d,"coldLeftS":%v}}`, address, service, state, seq, warmupSeconds)
}

// Covers every call of operators and endpoints. Guards against invalid input that is acknowledged or takes effect, an
// older configuration that replaces a newer one, a late heartbeat that revives a draining endpoint, and unintended
// changes of responses.
func TestCalls(t *testing.T) {
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(1, 0)
		n := c.nodes[0]
		section := func(name string) { c.record("\n%s", name) }
		c.record("Before there are founders")
		c.calls(n, "", "config.read", "evacuation.begin&of=north")
		c.calls(n, configJSON("0000000c", ""), "config.replace")
		time.Sleep(2 * time.Second)
		c.recordProxyMessages(n)

		section("The configuration")
		c.calls(n, "", "config.read")
		c.calls(n, configJSON("0000000c", ""), "config.replace", "config.replace")
		c.calls(n, "", "config.read")
		c.record("a lower version is acknowledged and alters nothing")
		c.calls(n, configJSON("0000000b", `"/a/" -> "/b/"`), "config.replace")
		c.calls(n, "", "config.read")
		c.record("what is invalid")
		for _, invalid := range []string{
			"", "{", configJSON("0000000d", "")[:80], configJSON("0000000d", "") + "{}", configJSON("d", ""),
			configJSON("0000000d", `"service":"alpha" -> "service":"omega"`),
			configJSON("0000000d", `"timeoutS":5 -> "timeoutS":600.1`), configJSON("0000000d", `"targetS":1 -> "targetS":65`),
			configJSON("0000000d", `"/a/" -> "a/"`),
		} {
			c.calls(n, invalid, "config.replace")
		}
		c.calls(n, strings.Repeat(" ", 8<<20+1), "config.replace")
		c.calls(n, "", "config.read")

		section("Backends")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", 4, 2.5), "instances.heartbeat&of=i-1")
		c.record("the same is no news, nor is a late one")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", 5, 2.5), "instances.heartbeat&of=i-1")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.9:8080", "ready", 3, 0), "instances.heartbeat&of=i-1")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.1:8080", "draining", 6, 0), "instances.heartbeat&of=i-1")
		c.record("nothing brings back what leaves")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", 5, 0), "instances.heartbeat&of=i-1")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", 7, 0), "instances.heartbeat&of=i-1")
		c.calls(n, "", "instances.deregister&of=i-1", "instances.deregister&of=i-1", "instances.deregister&of=i-9")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", 8, 0), "instances.heartbeat&of=i-1")
		c.record("a new life at the address of another ends it")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.2:8080", "ready", 1, 0), "instances.heartbeat&of=i-2")
		c.calls(n, heartbeatJSON("beta", "10.0.1.2:8080", "ready", 1, 0), "instances.heartbeat&of=i-3")
		c.record("what is wrong")
		c.calls(n, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", 1, 0), "instances.heartbeat")
		for _, invalid := range []string{"", "{", "[]", "{}", heartbeatJSON("", "10.0.1.4:8080", "ready", 1, 0),
			heartbeatJSON("alpha", "", "ready", 1, 0),
			heartbeatJSON("alpha", "10.0.1.4:8080", "", 1, 0), heartbeatJSON("alpha", "10.0.1.4:8080", "tired", 1, 0),
			strings.Replace(heartbeatJSON("alpha", "10.0.1.4:8080", "ready", 1, 0), `"callSeq":1`, `"callSeq":-1`, 1),
			heartbeatJSON("alpha", "10.0.1.4:8080", "ready", 1, 0) + strings.Repeat(" ", 64<<10)} {
			c.calls(n, invalid, "instances.heartbeat&of=i-4")
		}
		c.calls(n, "", "instances.deregister")

		section("Evacuations")
		c.calls(n, "", "evacuation.begin&of=south", "evacuation.begin&of=south", "evacuation.finish&of=south",
			"evacuation.finish&of=north", "evacuation.begin&of=east", "evacuation.finish&of=east", "evacuation.begin")

		section("What is no call")
		c.calls(n, "", "config.destroy", "")
		c.call(n, "GET", "config.read", "")
		c.stop()
		transcript = c.transcript.String()
	})
	autogold.Equal(t, transcript)
}

// Guards against a deregistration that is acknowledged while only one node knows it, calls that an isolated node keeps
// waiting, and writes that depend on the disk of the node that received the call.
func TestThreeNodesWithFaults(t *testing.T) {
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		one, two, three := c.nodes[0], c.nodes[1], c.nodes[2]
		time.Sleep(5 * time.Second)
		callAll := func(version string) {
			c.calls(one, configJSON(version, ""), "config.replace")
			c.calls(one, "", "config.read", "evacuation.begin&of=south", "evacuation.finish&of=west")
		}
		setIsolated := func(isolated bool, nodes ...*node) {
			for _, n := range nodes {
				c.net.Dark(n.ip, isolated)
			}
		}
		c.record("All are there")
		callAll("00000001")
		c.calls(two, "", "config.read")
		c.calls(one, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", 1, 0), "instances.heartbeat&of=i-1")
		c.record("a beat of the north at the controller of the south")
		c.calls(two, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", 2, 0), "instances.heartbeat&of=i-1")
		c.calls(one, heartbeatJSON("alpha", "10.0.1.1:8080", "draining", 3, 0), "instances.heartbeat&of=i-1")
		c.calls(one, "", "instances.deregister&of=i-1")

		c.record("\nThe other two fell silent just now")
		setIsolated(true, two, three)
		c.calls(one, heartbeatJSON("alpha", "10.0.1.2:8080", "draining", 1, 0), "instances.heartbeat&of=i-2")
		time.Sleep(4 * time.Second)
		c.record("\nThey are known to be away")
		callAll("00000002")
		c.calls(one, heartbeatJSON("alpha", "10.0.1.2:8080", "ready", 2, 0), "instances.heartbeat&of=i-3")
		c.calls(one, heartbeatJSON("alpha", "10.0.1.2:8080", "draining", 2, 0), "instances.heartbeat&of=i-3")
		c.calls(one, "", "instances.deregister&of=i-3")
		c.record("\nOne of them is back")
		setIsolated(false, two)
		time.Sleep(2 * time.Second)
		c.calls(one, heartbeatJSON("alpha", "10.0.1.2:8080", "draining", 3, 0), "instances.heartbeat&of=i-3")
		c.calls(one, "", "instances.deregister&of=i-3")
		callAll("00000003")

		setIsolated(false, three)
		time.Sleep(5 * time.Second)
		c.record("\nThe disk of the one that is asked is full")
		one.disk.Full(true)
		callAll("00000004")
		c.calls(three, "", "config.read")
		one.disk.Full(false)
		time.Sleep(5 * time.Second)
		c.record("\nIt hangs")
		one.disk.Hang(8 * time.Second)
		callAll("00000005")
		c.calls(three, "", "config.read")
		time.Sleep(10 * time.Second)
		c.record("\nThe second does, and the third is away: one disk is not enough")
		two.disk.Hang(9 * time.Second)
		setIsolated(true, three)
		time.Sleep(4 * time.Second)
		c.calls(one, configJSON("00000006", ""), "config.replace")
		time.Sleep(5 * time.Second)
		c.record("The second's is well again, and what was not acknowledged is there all the same")
		c.calls(two, "", "config.read")
		c.stop()
		transcript = c.transcript.String()
	})
	autogold.Equal(t, transcript, autogold.Name("TestThree"))
}
