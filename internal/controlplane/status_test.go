package controlplane_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/cli"
)

var (
	storeIDPattern   = regexp.MustCompile(`[0-9a-f]{16}`)
	versionIDPattern = regexp.MustCompile(`"lo":"[0-9]+"`)
)

// status returns the status that a node reports, as JSON and as the table that the command prints. It replaces random
// values: store ids by numbers in the order of their first appearance, and version ids ("lo") by 0.
func (c *cluster) status(n *node, storeNames map[string]string) (raw, table string) {
	w := httptest.NewRecorder()
	n.server.Handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/rpc?call=core.status", nil))
	var status cli.Status
	if err := json.Unmarshal(w.Body.Bytes(), &status); err != nil || w.Code != 200 {
		return w.Body.String(), fmt.Sprintf("%d %s", w.Code, w.Body.String())
	}
	var printed strings.Builder
	_ = cli.PrintStatus(&printed, status)
	withStoreNames := func(format, text string) string {
		return storeIDPattern.ReplaceAllStringFunc(text, func(id string) string {
			if storeNames[id] == "" {
				storeNames[id] = fmt.Sprintf("disk-%d", len(storeNames))
			}
			return fmt.Sprintf(format, storeNames[id])
		})
	}
	raw = withStoreNames("%s", versionIDPattern.ReplaceAllString(w.Body.String(), `"lo":"0"`))
	return raw, withStoreNames("%-16s", printed.String())
}

// recordStatus records the status table of a node, and the delay of the call if it is long.
func (c *cluster) recordStatus(n *node, storeNames map[string]string) {
	start := time.Now()
	_, table := c.status(n, storeNames)
	c.record("%s%s", table, describeDelay(time.Since(start)))
}

// recordMembership records the voters and learners that a node reports, each time they change.
func (c *cluster) recordMembership(n *node, storeNames map[string]string, duration time.Duration) {
	previous := ""
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		raw, _ := c.status(n, storeNames)
		var status cli.Status
		if err := json.Unmarshal([]byte(raw), &status); err != nil {
			panic(raw)
		}
		current := fmt.Sprintf("epoch %d:", status.Epoch)
		for _, m := range status.Voters {
			current += fmt.Sprintf(
				" %s %s%s%s,",
				m.Name,
				m.StoreID,
				map[bool]string{true: " gone"}[m.Replaced],
				map[string]string{"in": " comes", "out": " goes"}[m.Change],
			)
		}
		current += " learn:"
		for _, m := range status.Learners {
			current += fmt.Sprintf(" %s %s", m.Name, m.StoreID)
		}
		if current != previous {
			c.record("%s", current)
			previous = current
		}
	}
}

// restart kills the process of a node and starts a new one on the same disk.
func (c *cluster) restart(n *node) {
	previous := n.server
	n.host.Kill()
	previous.Stop()
	c.start(n, false)
}

// Guards against a status that shows an unreachable node as healthy, an isolated one as having quorum contact, or a
// wiped disk as the former voter, and against a status call that waits for other nodes.
func TestStatus(t *testing.T) {
	var transcript string
	synctest.Test(t, func(t *testing.T) {
		c, storeNames := startCluster(3, 1), map[string]string{}
		one, two, three := c.nodes[0], c.nodes[1], c.nodes[2]
		c.record("Just begun")
		time.Sleep(50 * time.Millisecond)
		c.recordStatus(one, storeNames)

		time.Sleep(5 * time.Second)
		c.record("\nFounded, with a configuration and an evacuation")
		c.calls(one, configJSON("0000000c", ""), "config.replace")
		c.calls(one, "", "evacuation.begin&of=south")
		c.record("at once: the disks are compared later")
		c.recordStatus(one, storeNames)
		time.Sleep(5 * time.Second)
		c.record("\n5 s later")
		c.recordStatus(one, storeNames)
		raw, _ := c.status(one, storeNames)
		c.record("%s", raw)
		c.record("at another")
		c.recordStatus(two, storeNames)

		c.record("\nOne is dark for 7.5 s")
		c.net.Dark(three.ip, true)
		time.Sleep(7500 * time.Millisecond)
		c.recordStatus(one, storeNames)
		c.record("a configuration goes on")
		c.calls(one, configJSON("0000000d", ""), "config.replace")
		time.Sleep(4 * time.Second)
		c.recordStatus(one, storeNames)
		c.record("at the one that is cut off itself")
		c.recordStatus(three, storeNames)
		c.net.Dark(three.ip, false)
		time.Sleep(5 * time.Second)
		c.record("\nIt is back")
		c.recordStatus(one, storeNames)

		c.record("\nIts disk is lost, it starts anew")
		three.disk.Wipe()
		c.restart(three)
		c.recordMembership(one, storeNames, 4*time.Second)
		c.recordStatus(one, storeNames)
		c.record("at itself")
		c.recordStatus(three, storeNames)

		c.record("\nIt is lost again, and the new disk hangs for 2 s")
		three.disk.Wipe()
		three.disk.Hang(2 * time.Second)
		c.restart(three)
		time.Sleep(time.Second)
		c.recordStatus(one, storeNames)
		c.record("at itself")
		c.recordStatus(three, storeNames)
		time.Sleep(4 * time.Second)
		c.record("after that")
		c.recordStatus(one, storeNames)

		c.record("\nIt leaves while another is dark")
		c.net.Dark(two.ip, true)
		time.Sleep(500 * time.Millisecond)
		go three.server.Shutdown(5 * time.Second)
		time.Sleep(200 * time.Millisecond)
		c.recordStatus(three, storeNames)
		c.record("at another")
		c.recordStatus(one, storeNames)
		c.calls(three, configJSON("0000000e", ""), "config.replace")
		c.stop()
		transcript = c.transcript.String()
	})
	autogold.Equal(t, transcript)
}
