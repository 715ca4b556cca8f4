package controlplane_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hexops/autogold"
	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane"
	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/cli"
)

var (
	drawnID = regexp.MustCompile(`[0-9a-f]{16}`)
	drawnLo = regexp.MustCompile(`"lo":"[0-9]+"`)
)

// look asks a controller for its status: the JSON, and the table that the command prints. Disks, whose ids are drawn,
// get numbers in the order in which they are seen.
func (c *council) look(k *core, ids map[string]string) (raw, table string) {
	w := httptest.NewRecorder()
	k.server.Handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/rpc?call=core.status", nil))
	var s cli.Status
	if err := json.Unmarshal(w.Body.Bytes(), &s); err != nil || w.Code != 200 {
		return w.Body.String(), fmt.Sprintf("%d %s", w.Code, w.Body.String())
	}
	var b strings.Builder
	_ = cli.PrintStatus(&b, s)
	named := func(format, text string) string {
		return drawnID.ReplaceAllStringFunc(text, func(id string) string {
			if ids[id] == "" {
				ids[id] = fmt.Sprintf("disk-%d", len(ids))
			}
			return fmt.Sprintf(format, ids[id])
		})
	}
	return named("%s", drawnLo.ReplaceAllString(w.Body.String(), `"lo":"0"`)), named("%-16s", b.String())
}

// view writes the table down, and how long it took where that was long.
func (c *council) view(k *core, ids map[string]string) {
	began := time.Now()
	_, table := c.look(k, ids)
	c.note("%s%s", table, spent(time.Since(began)))
}

// watch writes down who votes and who learns, each time that changes.
func (c *council) watch(k *core, ids map[string]string, span time.Duration) {
	was := ""
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		raw, _ := c.look(k, ids)
		var s cli.Status
		if err := json.Unmarshal([]byte(raw), &s); err != nil {
			panic(raw)
		}
		now := fmt.Sprintf("epoch %d:", s.Epoch)
		for _, m := range s.Voters {
			now += fmt.Sprintf(
				" %s %s%s%s,",
				m.Name,
				m.StoreID,
				map[bool]string{true: " gone"}[m.Replaced],
				map[string]string{"in": " comes", "out": " goes"}[m.Change],
			)
		}
		now += " learn:"
		for _, m := range s.Learners {
			now += fmt.Sprintf(" %s %s", m.Name, m.StoreID)
		}
		if now != was {
			c.note("%s", now)
			was = now
		}
	}
}

// again starts a controller's next process, on its disk as that is.
func (c *council) again(k *core) {
	old := k.server
	k.host.Kill()
	old.Stop()
	k.host = c.net.Host(k.ip)
	set := bootconfig.Default()
	set.Name, set.IP, set.Zone = k.name, k.ip, map[string]string{
		"core-0": "north",
		"core-1": "south",
		"core-2": "west",
	}[k.name]
	set.Zones = map[string]string{"north": "land", "south": "land", "west": "land"}
	set.PortRange, set.FaultBudget.Machines = [2]int{7540, 7555}, 1
	set.Seeds = []string{"10.0.0.10:8544", "10.0.0.11:8544", "10.0.0.12:8544"}
	set.Listen = map[string]string{"control": k.ip + ":8544"}
	lines, err := k.host.Listen(set.OwnPeerAddress())
	if err != nil {
		panic(err)
	}
	disk, known, fresh := k.disk.Open(k.host)
	host := k.host
	k.server = controlplane.New(controlplane.Options{Settings: &set, Disk: disk, DiskComplete: known, DiskFresh: fresh,
		Log: hclog.NewNullLogger(), Clock: clockwork.NewRealClock(), Listener: lines, TimeOfDay: time.Now,
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
			defer cancel()
			return host.Dial(ctx, address, 3*time.Second)
		}})
	go k.server.Run()
}

// What the operator is shown of three controllers. Guards against a view that shows a silent machine as well, one that
// is out of touch as in touch, a wiped disk as the voter that it was, or that waits for the others.
func TestStatus(t *testing.T) {
	var out string
	synctest.Test(t, func(t *testing.T) {
		c, ids := convene(3, 1), map[string]string{}
		one, two, three := c.cores[0], c.cores[1], c.cores[2]
		c.note("Just begun")
		time.Sleep(50 * time.Millisecond)
		c.view(one, ids)

		time.Sleep(5 * time.Second)
		c.note("\nFounded, with a configuration and an evacuation")
		c.calls(one, conf("0000000c", ""), "config.replace")
		c.calls(one, "", "evacuation.begin&of=south")
		c.note("at once: the disks are compared later")
		c.view(one, ids)
		time.Sleep(5 * time.Second)
		c.note("\n5 s later")
		c.view(one, ids)
		raw, _ := c.look(one, ids)
		c.note("%s", raw)
		c.note("at another")
		c.view(two, ids)

		c.note("\nOne is dark for 7.5 s")
		c.net.Dark(three.ip, true)
		time.Sleep(7500 * time.Millisecond)
		c.view(one, ids)
		c.note("a configuration goes on")
		c.calls(one, conf("0000000d", ""), "config.replace")
		time.Sleep(4 * time.Second)
		c.view(one, ids)
		c.note("at the one that is cut off itself")
		c.view(three, ids)
		c.net.Dark(three.ip, false)
		time.Sleep(5 * time.Second)
		c.note("\nIt is back")
		c.view(one, ids)

		c.note("\nIts disk is lost, it starts anew")
		three.disk.Wipe()
		c.again(three)
		c.watch(one, ids, 4*time.Second)
		c.view(one, ids)
		c.note("at itself")
		c.view(three, ids)

		c.note("\nIt is lost again, and the new disk hangs for 2 s")
		three.disk.Wipe()
		three.disk.Hang(2 * time.Second)
		c.again(three)
		time.Sleep(time.Second)
		c.view(one, ids)
		c.note("at itself")
		c.view(three, ids)
		time.Sleep(4 * time.Second)
		c.note("after that")
		c.view(one, ids)

		c.note("\nIt leaves while another is dark")
		c.net.Dark(two.ip, true)
		time.Sleep(500 * time.Millisecond)
		go three.server.Shutdown(5 * time.Second)
		time.Sleep(200 * time.Millisecond)
		c.view(three, ids)
		c.note("at another")
		c.view(one, ids)
		c.calls(three, conf("0000000e", ""), "config.replace")
		c.end()
		out = c.out.String()
	})
	autogold.Equal(t, out)
}
