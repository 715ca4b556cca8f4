package proxy_test

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/gateway/rpc"
)

// receivedRequest is a request as an endpoint received it.
type receivedRequest struct{ id, method string }

// respondFunc handles a request on an endpoint's connection. An error closes the connection.
type respondFunc func(c net.Conn, r receivedRequest) error

// respond responds with a status, header fields and a body. It adds the attempt id and the server seal.
func respond(status int, fields string, body string) respondFunc {
	if fields != "" {
		fields += "\r\n"
	}
	return func(c net.Conn, r receivedRequest) error {
		head := fmt.Sprintf("HTTP/1.1 %d Some Words\r\nX-Elmfold-Attempt-Id: %s\r\nX-Elmfold-Server-Seal: s.%s\r\n%s"+
			"Content-Length: %d\r\n\r\n", status, r.id, r.id, fields, len(body))
		if r.method != "HEAD" {
			head += body
		}
		_, err := io.WriteString(c, head)
		return err
	}
}

var respondOK = respond(200, "", "fine")

// respondRaw writes text, in which ID stands for the attempt id.
func respondRaw(text string) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.id))
		return err
	}
}

// respondAndClose writes text like respondRaw and closes the connection.
func respondAndClose(text string) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		_ = respondRaw(text)(c, r)
		return io.ErrClosedPipe
	}
}

func afterDelay(span time.Duration, then respondFunc) respondFunc {
	return func(c net.Conn, r receivedRequest) error {
		time.Sleep(span)
		return then(c, r)
	}
}

// refuseConnections stands for an endpoint at whose address nothing listens.
var refuseConnections respondFunc

// addEndpoint starts an endpoint that handles each request with do, and reports it from all nodes. The proxy prefers
// the endpoint of a service in the north; those in the south follow in turn.
func (s *scenario) addEndpoint(service, zone string, do respondFunc) rpc.Endpoint {
	s.endpointCount++
	endpoint := rpc.Endpoint{ID: service + "-" + zone, Service: service, Zone: strings.TrimRight(zone, "12"),
		Capacity: 4, Seq: 1, Address: fmt.Sprintf("10.0.1.%d:8080", s.endpointCount), DirectHeartbeats: true}
	if do != nil {
		l, err := s.host(fmt.Sprintf("10.0.1.%d", s.endpointCount)).Listen(endpoint.Address)
		if err != nil {
			panic(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c, endpoint.ID, do)
			}
		}()
	}
	for _, node := range s.nodes {
		node.mu.Lock()
		node.endpoints = append(node.endpoints, endpoint)
		node.mu.Unlock()
		node.sendEndpoints(endpoint)
	}
	return endpoint
}

// serve parses requests without net/http, so that the transcript shows them as they arrived. Only their header fields
// are sorted, because their order is arbitrary.
func (s *scenario) serve(c net.Conn, id string, do respondFunc) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return
		}
		var fields []string
		r := receivedRequest{method: strings.Fields(line)[0]}
		length, chunked := 0, false
		for {
			f, err := br.ReadString('\n')
			if err != nil {
				return
			}
			if f = strings.TrimSpace(f); f == "" {
				break
			}
			fields = append(fields, f)
			switch name, v, _ := strings.Cut(f, ": "); name {
			case "X-Elmfold-Attempt-Id":
				r.id = v
			case "Content-Length":
				length, _ = strconv.Atoi(v)
			case "Transfer-Encoding":
				chunked = true
			}
		}
		slices.Sort(fields)
		s.logf("    %s < %s | %s", id, strings.TrimSpace(line), strings.Join(fields, " | "))
		s.mu.Lock()
		beforeBody := s.beforeBody[id]
		s.mu.Unlock()
		if beforeBody != nil && beforeBody(c, r) != nil {
			return
		}
		body, end := make([]byte, length), ""
		if _, err = io.ReadFull(br, body); chunked {
			body, err = io.ReadAll(newChunkedReader(br))
		}
		if err != nil {
			end = ", then it ends"
		}
		if length > 0 || chunked {
			s.logf("        %s%s", summarizeBody(body), end)
		}
		if err != nil {
			return
		}
		s.mu.Lock()
		s.receivedBy[r.id] = append(s.receivedBy[r.id], id)
		s.mu.Unlock()
		if do(c, r) != nil {
			return
		}
	}
}

// newChunkedReader returns a reader of a chunked body, which also consumes the empty trailer.
func newChunkedReader(br *bufio.Reader) io.Reader {
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(
		strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), byteReader{br})), nil)
	if err != nil {
		panic(err)
	}
	return resp.Body
}

// byteReader returns one byte per read, so that a buffered reader on top of it takes no bytes of what follows.
type byteReader struct{ br *bufio.Reader }

func (o byteReader) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c, err := o.br.ReadByte()
	if err != nil {
		return 0, err
	}
	b[0] = c
	return 1, nil
}

// summarizeBody formats a body for the transcript.
func summarizeBody(b []byte) string {
	if len(b) <= 60 {
		return fmt.Sprintf("%q", b)
	}
	h := fnv.New32a()
	_, _ = h.Write(b)
	return fmt.Sprintf("%d bytes, sum %08x", len(b), h.Sum32())
}
