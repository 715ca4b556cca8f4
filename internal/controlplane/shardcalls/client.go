// Package shardcalls sends the assigner's calls to endpoints: grants and releases of key ranges, over HTTP/1.1.
//
// Calls are written by hand because of when they may be written: right before each write the client checks that
// neither the assigner's lease nor the time of the call has ended, also if the process was suspended in between. A call
// that is not answered in time has its connection reset, which discards what the network has not delivered.
//
// Each call has a connection of its own. Nothing in an answer says which call it answers, and an endpoint may answer
// twice or late. On a connection that had carried an earlier call, such an answer could be taken for that of a release,
// and free a range that its holder still has. To check for unread data before the write is not enough, because the
// answer may arrive after the write.
package shardcalls

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"elmfold/internal/controlplane/sharding"
)

const (
	headerHandoff        = "X-Elmfold-Handoff"
	headerInstanceID     = "X-Elmfold-Instance-Id"
	headerTargetInstance = "X-Elmfold-Target-Instance"
	maxResponseBody      = 64 << 10
	maxInterimResponses  = 4
)

// Paths of the calls.
const (
	grantPath   = "/v1/grant"
	releasePath = "/v1/release"
)

// callBody is the body of a grant or a release.
type callBody struct {
	First   uint16  `json:"source"`
	Last    uint16  `json:"targetVersion"`
	Fence   uint64  `json:"fence"`
	HoldS   float64 `json:"holdS,omitempty"`   // only in a grant: seconds from its arrival
	Handoff string  `json:"handoff,omitempty"` // only in a grant: of the former holder
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	Clock clockwork.Clock
	Dial  func(address string) (net.Conn, error)
	// MayWrite reports whether the assigner's lease allows a write now.
	MayWrite func() bool
	// HealthPath returns the path of a service's health check.
	HealthPath func(service string) string
}

// Do sends a call that was requested at a time and returns its result, and the handoff in the response to a release.
func (c *Client) Do(call sharding.Call, requestedAt time.Time) (result sharding.CallResult, handoff string) {
	deadline := requestedAt.Add(call.Timeout)
	conn, err := c.Dial(call.Address)
	if err != nil {
		return sharding.NotSent, ""
	}
	resetOnClose(conn)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline) // fails only on a closed connection
	request := c.encode(call)
	if !c.MayWrite() || !c.Clock.Now().Before(deadline) {
		return sharding.NotSent, ""
	}
	if n, err := conn.Write(request); err != nil {
		if n == 0 {
			return sharding.NotSent, ""
		}
		return sharding.Unanswered, ""
	}
	return receive(call, conn)
}

// resetOnClose makes Close discard data that was not delivered yet.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, TCP_USER_TIMEOUT bounds the delivery
	}
}

// encode returns the request of a call.
func (c *Client) encode(call sharding.Call) []byte {
	path := grantPath
	switch call.Kind {
	case sharding.Grant:
	case sharding.Release:
		path = releasePath
	case sharding.Probe:
		return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.HealthPath(call.Service), call.Address)
	}
	body, err := json.Marshal(callBody{call.First, call.Last, call.Fence, call.Hold.Seconds(), call.Handoff})
	if err != nil {
		panic(fmt.Sprintf("shardcalls: %v", err)) // impossible: the type is plain data
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s: %s\r\n"+
		"Content-Length: %d\r\n\r\n", path, call.Address, headerTargetInstance, call.EndpointID, len(body))
	return append([]byte(head), body...)
}

// receive reads the response.
func receive(call sharding.Call, conn net.Conn) (result sharding.CallResult, handoff string) {
	response, err := readResponse(conn)
	if err != nil {
		return sharding.Unanswered, ""
	}
	instance := response.Header.Get(headerInstanceID)
	switch {
	case instance != "" && instance != call.EndpointID:
		return sharding.OtherInstance, ""
	case response.StatusCode == http.StatusOK:
		return sharding.Accepted, response.Header.Get(headerHandoff)
	case response.StatusCode == http.StatusConflict:
		return sharding.Outdated, ""
	case response.StatusCode >= http.StatusInternalServerError: // the range may be granted all the same
		return sharding.Unanswered, ""
	}
	return sharding.Refused, ""
}

// readResponse reads the final response with its whole body. Interim responses (1xx) are skipped.
func readResponse(conn net.Conn) (*http.Response, error) {
	reader := bufio.NewReader(conn)
	for range maxInterimResponses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBody))
			return response, err
		}
	}
	return nil, errors.New("too many interim responses")
}
