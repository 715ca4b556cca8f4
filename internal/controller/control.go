package controller

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/eventloop"
	"elmfold/internal/controller/tenancy"
)

// Request is what an operator asks of a running controller, a line of JSON; the answer is a Reply, one too.
type Request struct {
	Action string          `json:"Do"` // ActionShowCells, ActionMoveCell or ActionUndoMove
	Tenant string          `json:",omitempty"`
	Cell   string          `json:",omitempty"`
	Body   json.RawMessage `json:",omitempty"` // of what the full program adds
}

// Reply answers a Request; Error is empty where it was done.
type Reply struct {
	Error string `json:",omitempty"`
	Cells tenancy.View
	Body  json.RawMessage `json:",omitempty"`
}

// RequestHandler answers requests of the full program's parts; ok is whether it is one of them.
type RequestHandler func(r Request) (body json.RawMessage, ok bool, err error)

// What a Request can ask for.
const (
	ActionShowCells = "cells show"
	ActionMoveCell  = "cells move"
	ActionUndoMove  = "cells undo"
)

const (
	askTimeout      = 5 * time.Second
	maxRequestBytes = 64 << 10
	controlMode     = 0o600
)

// control answers operators at a socket of this machine until it is closed. It reaches the desk by the queue.
type control struct {
	listener net.Listener
	queue    chan<- eventloop.Command
	more     RequestHandler // nil: none
	log      *logrus.Entry
}

func openControl(
	path string,
	queue chan<- eventloop.Command,
	more RequestHandler,
	log *logrus.Entry,
) (*control, error) {
	// A socket that nobody answers at was left by one that was killed.
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = c.Close()
		return nil, errors.New(path + ": another controller answers there")
	} else if errors.Is(err, os.ErrNotExist) {
	} else if info, e := os.Lstat(path); e == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, controlMode); err != nil {
		_ = ln.Close()
		return nil, err
	}
	c := &control{ln, queue, more, log}
	go c.serve()
	return c, nil
}

func (c *control) close() { _ = c.listener.Close() }

func (c *control) serve() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.answer(conn)
	}
}

// answer takes requests, a line each, until the connection ends or is silent.
func (c *control) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for in := bufio.NewReaderSize(conn, maxRequestBytes); ; {
		_ = conn.SetDeadline(time.Now().Add(askTimeout))
		line, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			_ = json.NewEncoder(conn).Encode(Reply{Error: fmt.Sprintf("a request has %d bytes at most", maxRequestBytes)})
		}
		if err != nil {
			return
		}
		var r Request
		reply := Reply{}
		more := false
		if err := json.Unmarshal(line, &r); err != nil {
			reply.Error = "not a request: " + err.Error()
		} else if c.more != nil {
			if reply.Body, more, err = c.more(r); err != nil {
				reply.Error = err.Error()
			}
		}
		if !more && reply.Error == "" {
			if reply, err = c.do(r); err != nil {
				reply.Error = err.Error()
			}
			c.log.WithFields(
				logrus.Fields{"do": r.Action, "tenant": r.Tenant, "cell": r.Cell, "error": reply.Error},
			).Info(
				"an operator asked",
			)
		}
		if json.NewEncoder(conn).Encode(reply) != nil {
			return
		}
	}
}

var errUnknown = errors.New("no such request")

func (c *control) do(r Request) (reply Reply, err error) {
	view, err := ask(c.queue, func(to chan tenancy.View) any { return eventloop.CellsQuery{Reply: to} })
	if err != nil {
		return reply, err
	}
	known := false
	for _, s := range view.Tenants {
		known = known || s.Tenant == r.Tenant
	}
	switch r.Action {
	case ActionShowCells:
		reply.Cells = view
	case ActionMoveCell, ActionUndoMove:
		if !known {
			return reply, errors.New("no tenant " + r.Tenant)
		}
		said := any(tenancy.Move{Tenant: r.Tenant, Cell: r.Cell})
		if r.Action == ActionUndoMove {
			said = tenancy.Undo{Tenant: r.Tenant}
		}
		c.queue <- eventloop.Command{Message: said}
		// It counts from the next step on; what became of it is shown then.
		time.Sleep(200 * time.Millisecond)
		reply.Cells, err = ask(c.queue, func(to chan tenancy.View) any { return eventloop.CellsQuery{Reply: to} })
	default:
		return reply, errUnknown
	}
	return reply, err
}

// ask puts a question to the desk, which has room to answer and so does not wait.
func ask[T any](queue chan<- eventloop.Command, question func(to chan T) any) (answer T, err error) {
	to := make(chan T, 1)
	queue <- eventloop.Command{Message: question(to)}
	select {
	case answer = <-to:
		return answer, nil
	case <-time.After(askTimeout):
		return answer, errors.New("the controller is busy")
	}
}
