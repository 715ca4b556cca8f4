package compat_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/proxy"
	"elmfold/internal/proxy/upstream"
	"elmfold/internal/simulation"
)

// Two voters of d330930 and one of the current version bootstrap the control plane, decide a configuration, an
// evacuation and a change of voters, and acknowledge a draining endpoint. Guards against messages that one of the
// versions does not understand.
func TestOlderVotersDecideWithANewOne(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		network := newNet()
		n := startNode(t, network, 0, dir)
		first, second := startOldNode(t, network, 1, 4), startOldNode(t, network, 2, 4)
		time.Sleep(4 * time.Second)
		if s := n.status(); s.Epoch != 1 || len(s.Voters) != 3 || !s.InTouch {
			t.Fatalf("the control plane was not bootstrapped: %+v", s)
		}
		seven, eight := configuration(t, 7), configuration(t, 8)
		n.wantOK("config.replace", "", seven)
		n.wantOK("evacuation.begin", "south", "")
		n.wantOK("instances.heartbeat", "b-1", beat("alpha", "10.0.1.1:8080", "draining", 1))
		time.Sleep(time.Second)
		n.wantConfiguration(seven)
		for _, o := range []*oldNode{first, second} {
			if got := string(o.value("charter").Value); got != seven {
				t.Errorf("%s has an unexpected configuration: %.40s", o.who.Name, got)
			}
			if got := o.value("zone/south").Value; !strings.HasPrefix(string(got), "1b:") {
				t.Errorf("%s has an unexpected evacuation %q", o.who.Name, got)
			}
			o.mu.Lock()
			if len(o.seen) == 0 || o.seen[len(o.seen)-1].ID != "b-1" || o.seen[len(o.seen)-1].State != 1 {
				t.Errorf("%s received the endpoints %+v", o.who.Name, o.seen)
			}
			o.mu.Unlock()
		}
		// One voter of d330930 is lost and replaced by another one.
		second.stop()
		third := startOldNode(t, network, 3, 4)
		time.Sleep(8 * time.Second)
		s := n.status()
		if s.Changing || s.Epoch != 3 || len(s.Voters) != 3 || s.Voters[1].Name != "core-1" || s.Voters[2].Name != "core-3" {
			t.Errorf("status after the loss: %+v", s)
		}
		n.wantOK("config.replace", "", eight)
		time.Sleep(time.Second)
		if epoch, _ := third.known(); epoch.Number != 3 || len(epoch.Voters) != 3 ||
			string(third.value("charter").Value) != eight {
			t.Errorf("the new voter has epoch %+v and configuration %.40s", epoch, third.value("charter").Value)
		}
		n.stop()
		first.stop()
		third.stop()
		time.Sleep(time.Minute)
	})
}

// A voter of the current version accepts and learns a value that a node of d330930 proposes.
func TestOlderProposerWithANewVoter(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		network := newNet()
		n := startNode(t, network, 0, dir)
		proposer, other := startOldNode(t, network, 1, 3), startOldNode(t, network, 2, 3)
		time.Sleep(4 * time.Second)
		n.wantOK("config.replace", "", configuration(t, 7))
		time.Sleep(time.Second)

		number := oldStamp{Hi: 1<<48 | 500, Lo: 4711}
		round := func(b oldBallot) oldBallot {
			proposer.mu.Lock()
			proposer.heard = nil
			proposer.say("core-0", oldMessage{Ballots: []oldBallot{b}})
			proposer.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			proposer.mu.Lock()
			defer proposer.mu.Unlock()
			if len(proposer.heard) != 1 || len(proposer.heard[0].Ballots) != 1 {
				t.Fatalf("responses to %+v: %+v, want one", b, proposer.heard)
			}
			return proposer.heard[0].Ballots[0]
		}
		promise := round(oldBallot{Kind: oldAsk, Name: "charter", Number: number})
		if promise.Kind != oldPromise || promise.Number != number || promise.Value == nil || promise.Value.Stamp.Hi != 7 ||
			promise.Age == 0 {
			t.Errorf("unexpected promise: %+v", promise)
		}
		eight := oldRegister{Name: "charter", Stamp: oldStamp{Hi: 8, Lo: 1}, Value: []byte(configuration(t, 8))}
		if agreed := round(
			oldBallot{Kind: oldOffer, Name: "charter", Number: number, Value: &eight},
		); agreed.Kind != oldAgreed ||
			agreed.Number != number {
			t.Errorf("unexpected vote: %+v", agreed)
		}
		proposer.mu.Lock()
		a := proposer.acceptor("charter")
		a.promised, a.accepted, a.value = number, number, eight
		proposer.say("core-0", oldMessage{Chosen: map[string]oldStamp{"charter": number}})
		proposer.mu.Unlock()
		time.Sleep(time.Second)
		n.wantConfiguration(configuration(t, 8))
		if got := string(other.value("charter").Value); got != configuration(t, 8) {
			t.Errorf("the other voter did not learn the value, it has %.40s", got)
		}
		n.stop()
		proposer.stop()
		other.stop()
		time.Sleep(time.Minute)
	})
}

// A proxy of d330930 receives the voters, the committed registers, the endpoints, its lease and its routing tables from
// a control-plane node of the current version.
func TestOlderProxyWithANewNode(t *testing.T) {
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	synctest.Test(t, func(t *testing.T) {
		network := newNet()
		var nodes []*node
		for i, dir := range dirs {
			nodes = append(nodes, startNode(t, network, i, dir))
		}
		time.Sleep(3 * time.Second)
		nodes[0].wantOK("config.replace", "", configuration(t, 7))
		nodes[0].wantOK("evacuation.begin", "west", "")
		nodes[0].wantOK("instances.heartbeat", "b-1", beat("alpha", "10.0.1.1:8080", "ready", 1))
		time.Sleep(time.Second)

		host := network.Host("10.0.0.100")
		conn, err := host.Dial(context.Background(), nodeAddress(0, 7540), 3*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		line := newOldLine(conn)
		line.send(
			oldMessage{
				Hello: &oldHello{
					Who:     oldController{Name: "edge-0", Zone: "north", Address: "10.0.0.100:7540"},
					Life:    5,
					Carrier: true,
				},
			},
		)
		first, err := line.receive()
		if err != nil || first.Hello == nil || first.Hello.Who.Name != "core-0" || !first.All || first.Apart ||
			!first.Settled ||
			first.Epoch == nil || first.Epoch.Number != 1 || len(first.Epoch.Voters) != 3 || len(first.Know) != 3 ||
			first.Held["charter"].Hi != 7 || first.Safe["charter"].Hi != 7 || first.Safe["zone/west"] == (oldStamp{}) ||
			len(first.Offers) != 1 || first.Offers[0].Name != "zone/west" || !strings.HasPrefix(
			string(first.Offers[0].Value),
			"1b:",
		) ||
			len(first.Backends) != 1 ||
			first.Backends[0].ID != "b-1" ||
			!first.Backends[0].Vouched ||
			first.Backends[0].Capacity != 16 {
			t.Errorf("first message: %+v, error %v", first, err)
		}
		var all oldMessage
		var seen []string
		heard := make(chan struct{})
		go func() {
			defer close(heard)
			for {
				m, err := line.receive()
				if err != nil {
					return
				}
				all.Renewed = max(all.Renewed, m.Renewed)
				all.Offers, all.Tables = append(all.Offers, m.Offers...), append(all.Tables, m.Tables...)
				all.Backends, all.Came = append(all.Backends, m.Backends...), append(all.Came, m.Came...)
				for name := range m.Safe {
					seen = append(seen, name)
				}
			}
		}()
		line.send(oldMessage{Want: []string{"charter"}})
		for i := range uint64(6) {
			line.send(oldMessage{Renew: i + 1, Steer: true, Uses: []oldUse{{Service: "alpha", Came: 10}}, Spent: 1,
				Met: []oldMet{{ID: "b-1", Tries: 10, Took: 100}}})
			nodes[0].wantOK("instances.heartbeat", "b-1", beat("alpha", "10.0.1.1:8080", "ready", int(i)+2))
			time.Sleep(time.Second)
		}
		nodes[0].wantOK("instances.deregister", "b-1", "")
		time.Sleep(time.Second)
		_ = conn.Close()
		<-heard
		if all.Renewed != 6 || len(all.Offers) != 1 || string(all.Offers[0].Value) != configuration(t, 7) || len(seen) == 0 ||
			seen[0] != "charter" {
			t.Errorf("renewed lease %d, received %d values, committed registers %q", all.Renewed, len(all.Offers), seen)
		}
		if len(all.Came) != 1 || all.Came[0].Name != "edge-0" {
			t.Errorf("added proxies: %+v", all.Came)
		}
		if len(all.Tables) == 0 || all.Tables[0].Service != "alpha" || !all.Tables[0].Whole ||
			all.Tables[0].Weights["b-1"] <= 0 {
			t.Errorf("routing tables: %+v", all.Tables)
		}
		if len(all.Backends) == 0 || all.Backends[len(all.Backends)-1].State != 2 {
			t.Errorf("endpoints: %+v", all.Backends)
		}
		for _, n := range nodes {
			n.stop()
		}
		host.Kill()
		time.Sleep(time.Minute)
	})
}

// A proxy of the current version serves requests with a control-plane node of d330930, and reports to it.
func TestNewProxyWithAnOlderNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNet()
		core := network.Host("127.77.0.10")
		listener, err := core.Listen(nodeAddress(0, 7540))
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var told oldMessage
		var hello *oldHello
		var line *oldLine
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line = newOldLine(conn)
			who := oldController{Name: "core-0", Zone: "north", Address: nodeAddress(0, 7540)}
			for {
				m, err := line.receive()
				if err != nil {
					return
				}
				mu.Lock()
				if m.Hello != nil {
					hello = m.Hello
					line.send(oldMessage{
						Hello:   &oldHello{Who: who, Life: 3, Disk: "d"},
						All:     true,
						Settled: true,
						Epoch:   &oldEpoch{Number: 1, Voters: []oldVoter{{Controller: who, ID: "d"}}, Founded: 1},
						Held:    map[string]oldStamp{"charter": {Hi: 7, Lo: 1}},
						Safe:    map[string]oldStamp{"charter": {Hi: 7, Lo: 1}},
						Know:    []oldController{who},
						Members: []oldMember{{Name: "edge-0", Zone: "north"}},
						Backends: []oldBackend{
							{ID: "b-1", Service: "alpha", Address: "10.0.1.1:8080", Zone: "north", Capacity: 4, Seq: 1, Vouched: true},
						},
					})
				}
				if m.Renew > 0 {
					line.send(oldMessage{Renewed: m.Renew})
					told.Renew, told.Steer, told.Spent = m.Renew, told.Steer || m.Steer, max(told.Spent, m.Spent)
					told.Uses, told.Met = append(told.Uses, m.Uses...), append(told.Met, m.Met...)
				}
				for _, name := range m.Want {
					told.Want = append(told.Want, name)
					line.send(
						oldMessage{Offers: []oldRegister{{Name: name, Stamp: oldStamp{Hi: 7, Lo: 1}, Value: []byte(configuration(t, 7))}},
							Safe: map[string]oldStamp{name: {Hi: 7, Lo: 1}}},
					)
				}
				told.Leave = told.Leave || m.Leave
				mu.Unlock()
			}
		}()
		backend := network.Host("10.0.1.1")
		served, err := backend.Listen("10.0.1.1:8080")
		if err != nil {
			t.Fatal(err)
		}
		origin := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Elmfold-Attempt-Id", r.Header.Get("X-Elmfold-Attempt-Id"))
			w.Header().Set("X-Elmfold-Server-Seal", "s")
			if r.Header.Get("X-Elmfold-Time-Budget-Ms") == "" {
				t.Error("a request lacks its time budget")
			}
			_, _ = io.WriteString(w, "served "+r.URL.Path)
		})}
		go func() { _ = origin.Serve(served) }()

		host := network.Host("10.0.0.100")
		settings := bootconfig.Default()
		settings.Name, settings.IP, settings.Zone = "edge-0", "10.0.0.100", "north"
		settings.Zones = map[string]string{"north": "land"}
		settings.PortRange, settings.Seeds = [2]int{7540, 7555}, []string{nodeAddress(0, 8544)}
		dial := func(ctx context.Context, address string) (net.Conn, error) { return host.Dial(ctx, address, 0) }
		proxy := proxy.New(proxy.Options{Settings: &settings, Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock(),
			Dial: func(address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
				defer cancel()
				return dial(ctx, address)
			},
			Upstream: upstream.Options{Dial: dial}})
		front, err := host.Listen("10.0.0.100:8548")
		if err != nil {
			t.Fatal(err)
		}
		go proxy.Run()
		go func() { _ = proxy.Serve(front) }()
		time.Sleep(2 * time.Second)

		w := httptest.NewRecorder()
		proxy.Readiness().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/readiness", nil))
		if w.Code != http.StatusOK {
			t.Errorf("readiness: %d", w.Code)
		}
		client := network.Host("10.0.9.9")
		answers := map[string]int{}
		for i := range 5 {
			conn, err := client.Dial(context.Background(), "10.0.0.100:8548", 0)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "GET /a/%d HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n", i)
			text, _ := io.ReadAll(conn)
			status, _, _ := strings.Cut(string(text), "\r\n")
			answers[status]++
			_ = conn.Close()
		}
		time.Sleep(3 * time.Second)
		proxy.Shutdown(0)
		time.Sleep(time.Second)
		mu.Lock()
		if answers["HTTP/1.1 200 OK"] != 5 {
			t.Errorf("responses by status: %v", answers)
		}
		if hello == nil || hello.Who.Name != "edge-0" || hello.Who.Zone != "north" || !hello.Carrier || hello.Life == 0 {
			t.Errorf("hello: %+v", hello)
		}
		if len(told.Want) == 0 || told.Want[0] != "charter" || told.Renew == 0 || !told.Steer || told.Spent != 1 ||
			!told.Leave {
			t.Errorf("received from the proxy: %+v", told)
		}
		came, tries := 0.0, 0.0
		for _, u := range told.Uses {
			came += u.Came
		}
		for _, m := range told.Met {
			tries += m.Tries
		}
		if came != 5 || tries < 5 {
			t.Errorf("reported: %v requests, %v attempts", came, tries)
		}
		mu.Unlock()
		_ = origin.Close()
		for _, h := range []*simulation.Host{core, backend, host, client} {
			h.Kill()
		}
		time.Sleep(time.Minute)
	})
}
