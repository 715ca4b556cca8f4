package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Client asks at a process's control socket, one request after the other on one connection.
type Client struct {
	path string

	mu   sync.Mutex
	conn net.Conn
	in   *bufio.Reader
}

// Client gives a client of the process; it connects when it is first used, and anew after an error.
func (p *Process) Client() *Client { return &Client{path: p.Control()} }

// ErrRefused is an answer that says no.
var ErrRefused = errors.New("refused")

// Ask puts a request and reads its answer into into, unless that is nil. An error that is not ErrRefused leaves open
// whether it was done.
func (c *Client) Ask(do string, body, into any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("unix", c.path, time.Second); err != nil {
			c.conn = nil
			return err
		}
		c.in = bufio.NewReaderSize(c.conn, 1<<20)
	}
	var reply struct {
		Error string
		Body  json.RawMessage
	}
	err = json.NewEncoder(c.conn).Encode(map[string]any{"Do": do, "Body": json.RawMessage(raw)})
	if err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		err = json.NewDecoder(c.in).Decode(&reply)
	}
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
		return err
	}
	if reply.Error != "" {
		return fmt.Errorf("%w: %s", ErrRefused, reply.Error)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(reply.Body, into)
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Until asks again and again until what is answered is as it must be. The pauses change nothing but how often it asks.
func Until(what string, is func() (bool, error)) error {
	var last error
	for over := time.Now().Add(Patience); time.Now().Before(over); time.Sleep(20 * time.Millisecond) {
		ok, err := is()
		if ok {
			return nil
		}
		last = err
	}
	return fmt.Errorf("%s: not in %v (%w)", what, Patience, last)
}
