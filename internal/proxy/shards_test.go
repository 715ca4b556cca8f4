package proxy_test

import (
	"net"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hexops/autogold"

	"elmfold/internal/gateway/rpc"
)

// shardTable is a message with ranges of the keys of service alpha.
func shardTable(term uint64, full bool, ranges ...rpc.ShardRange) *rpc.Message {
	return &rpc.Message{ShardUpdate: rpc.ShardUpdate{
		ShardTerm:   term,
		ShardTables: []rpc.ShardTable{{Service: "alpha", Full: full, Ranges: ranges}},
	}}
}

// respondNotHeld rejects a request because the endpoint does not hold its key.
func respondNotHeld(c net.Conn, r receivedRequest) error {
	return respond(421, "X-Elmfold-Not-Executed: 1", "")(c, r)
}

var retryAfterField = regexp.MustCompile(`Retry-After: ([0-9.]+)`)

const shardKeyField = " HTTP/1.1 | X-Elmfold-Shard-Key: "

// Requests on keys go to the holder of their key, and only there. One whose key is being moved waits for a bounded
// time; one whose key was rejected is sent once more after a newer table. Guards against a retry storm on 421, and
// against endpoints that are ejected because they do not hold a key.
func TestKeyNotHeld(t *testing.T) {
	var out string
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(1)
		node := s.nodes[0]
		time.Sleep(5*time.Second + 100*time.Millisecond)
		node.commitConfig(testConfig{version: 1, routes: bothRoutes("alpha"), sharded: "alpha"})
		var rejects atomic.Bool
		north := s.addEndpoint("alpha", "north", func(c net.Conn, r receivedRequest) error {
			if rejects.Load() {
				return respondNotHeld(c, r)
			}
			return respondOK(c, r)
		})
		south := s.addEndpoint("alpha", "south", respondOK)
		get := func(path, key string) { s.request("GET " + path + shardKeyField + key) }

		s.section("no table has come: 503 at once")
		get("/alpha/", "7")
		s.section("no key, and no number")
		s.request("GET /alpha/ HTTP/1.1")
		get("/alpha/", "65536")
		s.section("each key has its holder")
		node.send(shardTable(1, true, rpc.ShardRange{Last: 99, Holder: north.ID},
			rpc.ShardRange{First: 100, Last: 65535, Holder: south.ID}))
		get("/alpha/", "99")
		get("/alpha/", "100")
		s.request("POST /alpha!/" + shardKeyField + "65535 | Content-Length: 0")
		s.section("a holder rejects the key, no newer table comes: one attempt")
		rejects.Store(true)
		get("/alpha/", "5")
		s.section("... a newer table comes: one more attempt, at the new holder, also where it may run once only")
		time.AfterFunc(50*time.Millisecond, func() {
			node.send(shardTable(1, false, rpc.ShardRange{First: 0, Last: 9, Holder: south.ID}))
		})
		s.request("POST /alpha!/" + shardKeyField + "5 | Content-Length: 0")
		s.section("the endpoint that rejected it is not ejected")
		rejects.Store(false)
		get("/alpha/", "10")
		s.section("a range is being moved: the request waits")
		node.send(shardTable(1, false, rpc.ShardRange{First: 10, Last: 20}))
		time.AfterFunc(250*time.Millisecond, func() {
			node.send(shardTable(1, false, rpc.ShardRange{First: 10, Last: 20, Holder: south.ID}))
		})
		get("/alpha/", "20")
		s.section("its former holder does not answer: 503 at once, with the time until its hold has expired")
		node.send(shardTable(1, false, rpc.ShardRange{First: 30, Last: 30, AvailableIn: 2500}))
		began := time.Now()
		get("/alpha/", "30")
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		s.section("a former assigner is not believed, a new one is")
		node.send(shardTable(3, true, rpc.ShardRange{Last: 65535, Holder: south.ID}))
		node.send(shardTable(2, true, rpc.ShardRange{Last: 65535, Holder: north.ID}))
		get("/alpha/", "0")
		out = s.stop()
		s.checkInvariants(t)
	})
	waits := retryAfterField.FindAllStringSubmatch(out, -1)
	for i, bounds := range [][2]float64{{1, 1.2}, {0.1, 0.1}, {2.2, 2.6}} {
		if i >= len(waits) {
			t.Fatalf("%d answers say when to come back", len(waits))
		}
		if s, _ := strconv.ParseFloat(waits[i][1], 64); s < bounds[0] || s > bounds[1] {
			t.Errorf("Retry-After %d is %v s", i, s)
		}
	}
	autogold.Equal(t, retryAfterField.ReplaceAllString(out, "Retry-After: TIME"))
}
