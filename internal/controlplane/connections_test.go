package controlplane_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"elmfold/internal/gateway/rpc"
	"elmfold/internal/simulation"
)

// deadIncarnation is the incarnation of a process that has ended. Those of servers are odd.
const deadIncarnation = 2

// deliverLateHello delivers to a node the Hello of a process that has ended: the process was started and killed while
// the node was suspended, and the node reads its connection after that of a later process with the same name.
func deliverLateHello(t *testing.T, c *cluster, to *node, sender rpc.Hello, senderIP string) {
	t.Helper()
	host := c.net.Host(senderIP)
	conn := dialNode(t, host, to)
	defer conn.Close()
	conn.Send(&rpc.Message{Hello: &sender})
	synctest.Wait() // until the Hello is sent
	host.Kill()
	time.Sleep(100 * time.Millisecond) // until the node has read it
}

func dialNode(t *testing.T, host *simulation.Host, to *node) *rpc.Conn {
	t.Helper()
	netConn, err := host.Dial(context.Background(), to.ip+":7540", 0)
	if err != nil {
		t.Fatal(err)
	}
	return rpc.NewConn(netConn)
}

// postCall makes a call on a connection of unknown age.
func postCall(n *node, call, body string) *httptest.ResponseRecorder {
	return postCallOn(context.Background(), n, call, body)
}

// postCallOn makes a call on a connection with a context of ConnContext.
func postCallOn(conn context.Context, n *node, call, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	url := "http://" + n.ip + ":8544/v1/rpc?call=" + call
	n.server.Handler().ServeHTTP(w, httptest.NewRequestWithContext(conn, "POST", url, strings.NewReader(body)))
	return w
}

// Guards against a node that refuses a running peer for good, because it has read the Hello of an earlier, dead process
// of that peer after the Hello of the running one: the two could not form a quorum any more.
func TestLateHelloOfDeadPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		one, two, three := c.nodes[0], c.nodes[1], c.nodes[2]
		time.Sleep(5 * time.Second)
		deliverLateHello(t, c, one, rpc.Hello{
			Node:        rpc.Node{Name: two.name, Zone: two.zone, Address: two.ip + ":7540"},
			Incarnation: deadIncarnation,
			StoreID:     "0123456789abcdef",
		}, two.ip)
		time.Sleep(5 * time.Second)
		c.net.Dark(three.ip, true)
		time.Sleep(5 * time.Second)
		if w := postCall(one, "config.replace", configJSON("00000001", "")); w.Code != 200 {
			t.Errorf("two of three nodes run, and an order is answered %d %s", w.Code, w.Body)
		}
	})
}

// Guards against a node that refuses a running proxy for good, or interrupts its connection, because it has read the
// Hello of an earlier, dead process of that proxy after the Hello of the running one.
func TestLateHelloOfDeadProxy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, 1)
		defer c.stop()
		one := c.nodes[0]
		time.Sleep(5 * time.Second)
		running := rpc.Hello{Node: rpc.Node{Name: "edge-0", Zone: "north"}, Incarnation: 1, IsProxy: true}
		dead := running
		dead.Incarnation = deadIncarnation
		host := c.net.Host("10.0.0.200")
		defer host.Kill()
		for _, connection := range []string{"first connection", "connection after the late Hello"} {
			conn := dialNode(t, host, one)
			conn.Send(&rpc.Message{Hello: &running})
			expectRenewal(t, conn, 1, connection)
			deliverLateHello(t, c, one, dead, "10.0.0.200")
			expectRenewal(t, conn, 2, connection)
			conn.Close()
			time.Sleep(time.Second)
		}
	})
}

// expectRenewal renews the lease of a proxy and waits for the answer.
func expectRenewal(t *testing.T, conn *rpc.Conn, number uint64, connection string) {
	t.Helper()
	conn.Send(&rpc.Message{Lease: rpc.Lease{RenewLease: number}})
	for {
		m, err := conn.Receive(2 * time.Second)
		if err != nil {
			t.Errorf("%s: renewal %d of the lease is not answered: %v", connection, number, err)
			return
		}
		if m.LeaseRenewed == number {
			return
		}
	}
}
