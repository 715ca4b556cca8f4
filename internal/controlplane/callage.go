package controlplane

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"
)

// acceptSlack is how long a connection may have existed before it is accepted, while no suspension is detected.
const acceptSlack = 500 * time.Millisecond

// acceptedAtKey is the context key for the time at which the connection of a call was accepted.
type acceptedAtKey struct{}

// ConnContext adds the time at which a connection is accepted to the context of its calls. It is for the http.Server
// of Handler.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, acceptedAtKey{}, s.options.Clock.Now())
}

// sentWithin returns an upper bound of the time since a call was sent: its connection already existed then. A call that
// the network has held up is as old as its connection.
func (s *Server) sentWithin(r *http.Request) time.Duration {
	acceptedAt, known := r.Context().Value(acceptedAtKey{}).(time.Time)
	if !known {
		return math.MaxInt64
	}
	return s.options.Clock.Now().Sub(acceptedAt) + acceptSlack
}
