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

// Request is an operator's request to a running controller: a line of JSON, answered with a Reply on a line.
type Request struct {
	Action string          `json:"Do"` // ActionShowCells, ActionMoveCell or ActionUndoMove
	Tenant string          `json:",omitempty"`
	Cell   string          `json:",omitempty"`
	Body   json.RawMessage `json:",omitempty"` // for a RequestHandler
}

// Reply answers a Request. Error is empty on success.
type Reply struct {
	Error string `json:",omitempty"`
	Cells tenancy.View
	Body  json.RawMessage `json:",omitempty"`
}

// RequestHandler handles requests of an extension. ok is false for a request that is not one of them.
type RequestHandler func(r Request) (body json.RawMessage, ok bool, err error)

// Actions of a Request.
const (
	ActionShowCells = "cells show"
	ActionMoveCell  = "cells move"
	ActionUndoMove  = "cells undo"
)

const (
	controlTimeout    = 5 * time.Second
	maxRequestBytes   = 64 << 10
	stepDelay         = 200 * time.Millisecond // until the event loop has applied a move, so that the reply shows it
	controlSocketMode = 0o600
)

// controlSocket answers operator requests on a Unix socket. Commands for the event loop go through queue.
type controlSocket struct {
	listener  net.Listener
	queue     chan<- eventloop.Command
	extension RequestHandler // is tried first; nil: none
	log       *logrus.Entry
}

// openControlSocket listens at path. It removes the socket that a killed process left there, but fails if another
// process still answers.
func openControlSocket(
	path string,
	queue chan<- eventloop.Command,
	extension RequestHandler,
	log *logrus.Entry,
) (*controlSocket, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = c.Close()
		return nil, errors.New(path + ": another controller listens there")
	} else if errors.Is(err, os.ErrNotExist) {
	} else if info, e := os.Lstat(path); e == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, controlSocketMode); err != nil {
		_ = ln.Close()
		return nil, err
	}
	c := &controlSocket{ln, queue, extension, log}
	go c.serve()
	return c, nil
}

func (c *controlSocket) close() { _ = c.listener.Close() }

func (c *controlSocket) serve() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serveConn(conn)
	}
}

// serveConn answers requests, one per line, until the connection ends or no request arrives within controlTimeout.
func (c *controlSocket) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for in := bufio.NewReaderSize(conn, maxRequestBytes); ; {
		_ = conn.SetDeadline(time.Now().Add(controlTimeout))
		line, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			_ = json.NewEncoder(conn).Encode(Reply{Error: fmt.Sprintf("request exceeds %d bytes", maxRequestBytes)})
		}
		if err != nil {
			return
		}
		var r Request
		reply := Reply{}
		handled := false
		if err := json.Unmarshal(line, &r); err != nil {
			reply.Error = "invalid request: " + err.Error()
		} else if c.extension != nil {
			if reply.Body, handled, err = c.extension(r); err != nil {
				reply.Error = err.Error()
			}
		}
		if !handled && reply.Error == "" {
			if reply, err = c.handle(r); err != nil {
				reply.Error = err.Error()
			}
			c.log.WithFields(
				logrus.Fields{"do": r.Action, "tenant": r.Tenant, "cell": r.Cell, "error": reply.Error},
			).Info(
				"operator request",
			)
		}
		if json.NewEncoder(conn).Encode(reply) != nil {
			return
		}
	}
}

var errUnknownAction = errors.New("unknown request")

// handle carries out a request about cells.
func (c *controlSocket) handle(r Request) (reply Reply, err error) {
	view, err := query(c.queue, func(reply chan tenancy.View) any { return eventloop.CellsQuery{Reply: reply} })
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
		message := any(tenancy.Move{Tenant: r.Tenant, Cell: r.Cell})
		if r.Action == ActionUndoMove {
			message = tenancy.CancelMove{Tenant: r.Tenant}
		}
		c.queue <- eventloop.Command{Message: message}
		time.Sleep(stepDelay)
		reply.Cells, err = query(c.queue, func(reply chan tenancy.View) any { return eventloop.CellsQuery{Reply: reply} })
	default:
		return reply, errUnknownAction
	}
	return reply, err
}

// query sends a query to the event loop and waits for its answer. The reply channel is buffered, so that the event
// loop never blocks on it.
func query[T any](queue chan<- eventloop.Command, newQuery func(reply chan T) any) (answer T, err error) {
	reply := make(chan T, 1)
	queue <- eventloop.Command{Message: newQuery(reply)}
	select {
	case answer = <-reply:
		return answer, nil
	case <-time.After(controlTimeout):
		return answer, errors.New("the controller did not answer in time")
	}
}
