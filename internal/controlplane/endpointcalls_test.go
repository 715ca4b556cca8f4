package controlplane_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"elmfold/internal/gateway/rpc"
)

// endpointStates are the newest states that a node has reported to a proxy, by the id of the endpoint.
type endpointStates struct {
	mu   sync.Mutex
	byID map[string]rpc.EndpointState
}

func (s *endpointStates) get(id string) (state rpc.EndpointState, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, known = s.byID[id]
	return state, known
}

// watchEndpoints connects to a node as a proxy that renews its lease, and collects the reported states.
func watchEndpoints(t *testing.T, c *cluster, n *node) *endpointStates {
	t.Helper()
	states := &endpointStates{byID: map[string]rpc.EndpointState{}}
	conn := dialNode(t, c.net.Host("10.0.0.200"), n)
	conn.Send(&rpc.Message{Hello: &rpc.Hello{Node: rpc.Node{Name: "edge-0"}, Incarnation: 1, IsProxy: true}})
	ctx, stopRenewals := context.WithCancel(t.Context())
	go func() {
		defer conn.Close()
		defer stopRenewals()
		for {
			m, err := conn.Receive(0)
			if err != nil {
				return
			}
			if m.Hello != nil {
				go renewEachSecond(ctx, conn)
			}
			states.mu.Lock()
			for _, e := range m.Endpoints {
				states.byID[e.ID] = e.State
			}
			states.mu.Unlock()
		}
	}()
	time.Sleep(5 * time.Millisecond) // until the node has answered; it reports later changes
	return states
}

// renewEachSecond renews the lease of a proxy, at once and then each second.
func renewEachSecond(ctx context.Context, conn *rpc.Conn) {
	for number := uint64(1); ctx.Err() == nil; number++ {
		conn.Send(&rpc.Message{Lease: rpc.Lease{RenewLease: number}})
		time.Sleep(time.Second)
	}
}

// A process that was suspended reads what waited meanwhile in any order. Guards against the late heartbeat of an
// endpoint that has ended, which marks the running endpoint at its address as gone, on all nodes and for good.
func TestLateHeartbeatAfterSuspension(t *testing.T) {
	for _, heartbeatsGoTo := range []string{"the suspended node", "another node"} {
		t.Run(heartbeatsGoTo, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(3, 1)
				defer c.stop()
				suspended, other := c.nodes[0], c.nodes[1]
				target := suspended
				if heartbeatsGoTo == "another node" {
					target = other
				}
				time.Sleep(5 * time.Second)
				states := watchEndpoints(t, c, suspended)
				heartbeat := func(n *node, id string, seq int) {
					postCall(n, "instances.heartbeat&of="+id, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", seq, 0))
				}
				heartbeat(target, "i-running", 1)
				time.Sleep(100 * time.Millisecond)
				suspended.suspension.Store(int64(2 * time.Second))
				go postCall(other, "config.replace", configJSON("00000001", ""))
				time.Sleep(100 * time.Millisecond) // the suspension has begun
				heartbeat(suspended, "i-ended", 1)
				for seq := range 4 {
					time.Sleep(time.Second)
					heartbeat(target, "i-running", 2+seq)
				}
				if state, known := states.get("i-running"); !known || state != rpc.Ready {
					t.Errorf("proxies are told state %d of the running endpoint, known: %v", state, known)
				}
			})
		})
	}
}

// Guards against a new endpoint that stays unknown because its first heartbeat arrived during a suspension.
func TestNewEndpointAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		suspended, other := c.nodes[0], c.nodes[1]
		time.Sleep(5 * time.Second)
		states := watchEndpoints(t, c, suspended)
		heartbeat := func(id string, seq int) {
			postCall(suspended, "instances.heartbeat&of="+id, heartbeatJSON("alpha", "10.0.1.1:8080", "ready", seq, 0))
		}
		heartbeat("i-previous", 1)
		suspended.suspension.Store(int64(2 * time.Second))
		go postCall(other, "config.replace", configJSON("00000001", ""))
		time.Sleep(100 * time.Millisecond) // the suspension has begun
		heartbeat("i-new", 1)
		time.Sleep(1500 * time.Millisecond)
		heartbeat("i-new", 2)
		time.Sleep(time.Second)
		newState, known := states.get("i-new")
		if previous, _ := states.get("i-previous"); !known || newState != rpc.Ready || previous != rpc.Gone {
			t.Errorf("proxies are told state %d of the new endpoint (known: %v), %d of the previous one", newState, known,
				previous)
		}
	})
}
