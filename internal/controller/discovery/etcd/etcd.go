// Package etcd asks an etcd v3 cluster by its published API over gRPC. It uses the API's messages and not the
// client library, which resumes watches by itself and so hides which registry answers after a break; see
// docs/notes/registry.md. What it hears it hands to a reconcile.Reconciler, which decides.
package etcd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"elmfold/internal/controller/discovery"
	"elmfold/internal/controller/reconcile"
)

const (
	mostAnswer  = 32 << 20 // bytes
	dialTimeout = 1500 * time.Millisecond
	readBuffer  = 16 << 10
)

// Source asks a cluster. Use New.
type Source struct {
	endpoints []string
	from, to  string // of the keys
	access    discovery.Access

	mu     sync.Mutex
	conn   *grpc.ClientConn
	at     int // endpoint of conn
	token  string
	watch  grpc.BidiStreamingClient[pb.WatchRequest, pb.WatchResponse]
	ofTry  int
	closed bool
}

// New makes a Source of the keys under a prefix; endpoints are HOST:PORT.
func New(endpoints []string, prefix string, access discovery.Access) *Source {
	return &Source{endpoints: endpoints, from: prefix + "/", to: prefix + "0", access: access}
}

// Leave drops the connection.
func (s *Source) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave()
}

func (s *Source) leave() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.conn, s.watch = nil, nil
}

// Close drops it for good.
func (s *Source) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.leave()
}

var errClosed = errors.New("closed")

// dial gives the connection to an endpoint. gRPC connects by itself with the first call; its own pauses never
// come to bear, as a failed connection is left.
func (s *Source) dial(endpoint int) (*grpc.ClientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errClosed
	}
	if s.conn != nil && s.at == endpoint && s.conn.GetState() != connectivity.TransientFailure {
		return s.conn, nil
	}
	s.leave()
	addr := s.endpoints[endpoint]
	creds := insecure.NewCredentials()
	if f := s.access.TLS; f != nil {
		host, _, _ := net.SplitHostPort(addr)
		conf, err := f.Load(host)
		if err != nil {
			return nil, &refusal{reconcile.CertificateRejected, err}
		}
		conf.NextProtos = []string{"h2"}
		creds = credentials.NewTLS(conf)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		}),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithReadBufferSize(readBuffer), grpc.WithWriteBufferSize(readBuffer),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostAnswer)))
	if err != nil {
		return nil, err
	}
	s.conn, s.at = conn, endpoint
	return conn, nil
}

// refusal is an error whose kind is known already.
type refusal struct {
	why reconcile.FailureReason
	err error
}

func (r *refusal) Error() string { return r.err.Error() }

// why tells what kind of failure an error is.
func why(err error) reconcile.FailureReason {
	var known *refusal
	if errors.As(err, &known) {
		return known.why
	}
	if errors.Is(err, io.EOF) {
		return reconcile.ConnectionLost
	}
	switch cause := rpctypes.Error(err); {
	case isAny(cause, rpctypes.ErrAuthFailed, rpctypes.ErrUserEmpty, rpctypes.ErrAuthNotEnabled):
		return reconcile.BadCredentials
	case isAny(cause, rpctypes.ErrInvalidAuthToken, rpctypes.ErrAuthOldRevision):
		return reconcile.InvalidToken
	case isAny(cause, rpctypes.ErrPermissionDenied, rpctypes.ErrPermissionNotGranted):
		return reconcile.Forbidden
	}
	switch status.Code(err) {
	case codes.Unavailable, codes.Canceled, codes.Aborted:
		if discovery.Refuses(err) {
			return reconcile.CertificateRejected
		}
		return reconcile.ConnectionLost
	case codes.DeadlineExceeded:
		return reconcile.TimedOut
	case codes.Unauthenticated:
		return reconcile.InvalidToken
	case codes.PermissionDenied:
		return reconcile.Forbidden
	default:
		return reconcile.InvalidResponse
	}
}

// explainRefusal tells a connection that ends right after the TLS handshake from one that broke: a server that refuses
// our certificate says so then, in a message that the reset often overtakes.
func (s *Source) explainRefusal(err error) error {
	if s.access.TLS != nil && strings.Contains(err.Error(), "error reading server preface") {
		return &refusal{reconcile.CertificateRejected, plain(err)}
	}
	return err
}

// plain is an error's text without gRPC's frame.
func plain(err error) error {
	if st, ok := status.FromError(err); ok && st.Code() != codes.Unknown {
		return errors.New(st.Message())
	}
	return err
}

// with puts the token into a call's context, one that it asks for first where there is none.
func (s *Source) with(ctx context.Context, conn *grpc.ClientConn) (context.Context, error) {
	s.mu.Lock()
	token := s.token
	s.mu.Unlock()
	var err error
	switch a := s.access; {
	case token != "":
	case a.User != "":
		var password string
		if password, err = discovery.Secret(a.PasswordFile); err != nil {
			return nil, &refusal{reconcile.BadCredentials, err}
		}
		resp, err := pb.NewAuthClient(conn).Authenticate(ctx, &pb.AuthenticateRequest{Name: a.User, Password: password})
		if err != nil {
			return nil, err
		}
		token = resp.Token
	case a.TokenFile != "":
		if token, err = discovery.Secret(a.TokenFile); err != nil {
			return nil, &refusal{reconcile.InvalidToken, err}
		}
	default:
		return ctx, nil
	}
	s.mu.Lock()
	s.token = token
	s.mu.Unlock()
	return metadata.AppendToOutgoingContext(ctx, rpctypes.TokenFieldNameGRPC, token), nil
}

func (s *Source) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = ""
}

// call makes a call with a token; one that has expired is renewed, once.
func (s *Source) call(ctx context.Context, endpoint int, f func(context.Context, *grpc.ClientConn) error) error {
	conn, err := s.dial(endpoint)
	if err != nil {
		return err
	}
	for again := false; ; again = true {
		with, err := s.with(ctx, conn)
		if err == nil {
			err = f(with, conn)
		}
		if err == nil || why(err) != reconcile.InvalidToken || again {
			return err
		}
		s.forget()
	}
}

// Do carries out an order; see follow.Source.
func (s *Source) Do(ctx context.Context, o reconcile.Order, say func(reconcile.Event)) {
	var try int
	var err error
	switch o := o.(type) {
	case reconcile.ReadPage:
		try, err = o.Attempt, s.read(ctx, o, say)
	case reconcile.Check:
		try, err = o.Attempt, s.check(ctx, o, say)
	case reconcile.Watch:
		try, err = o.Attempt, s.follow(ctx, o, say)
	case reconcile.RequestProgress:
		s.ask(o.Attempt)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	err = s.explainRefusal(err)
	reason := why(err)
	if reason == reconcile.InvalidToken {
		s.forget()
	}
	say(reconcile.AttemptFailed{Attempt: try, Reason: reason, Err: plain(err)})
}

func raw(kv *mvccpb.KeyValue) reconcile.KeyValue {
	return reconcile.KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision}
}

func compacted(err error) bool { return errors.Is(rpctypes.Error(err), rpctypes.ErrCompacted) }

func (s *Source) read(ctx context.Context, o reconcile.ReadPage, say func(reconcile.Event)) error {
	from := s.from
	if o.AfterKey != "" {
		from = o.AfterKey + "\x00"
	}
	var resp *pb.RangeResponse
	err := s.call(ctx, o.Endpoint, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		resp, err = pb.NewKVClient(conn).Range(ctx, &pb.RangeRequest{Key: []byte(from), RangeEnd: []byte(s.to),
			Limit: int64(o.Limit), Revision: o.Revision})
		return err
	})
	switch {
	case err != nil && compacted(err):
		say(reconcile.Compacted{Attempt: o.Attempt})
		return nil
	case status.Code(err) == codes.ResourceExhausted:
		say(reconcile.PageTooLarge{Attempt: o.Attempt})
		return nil
	case err != nil:
		return err
	case resp.Header == nil:
		return errHeader
	}
	p := reconcile.Page{Attempt: o.Attempt, ClusterID: resp.Header.ClusterId, Revision: resp.Header.Revision,
		More: resp.More}
	if o.Revision > 0 {
		p.Revision = o.Revision
	}
	for _, kv := range resp.Kvs {
		p.Entries = append(p.Entries, raw(kv))
	}
	say(p)
	return nil
}

var errHeader = errors.New("an answer without a header")

func (s *Source) check(ctx context.Context, o reconcile.Check, say func(reconcile.Event)) error {
	var resp *pb.RangeResponse
	err := s.call(ctx, o.Endpoint, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		resp, err = pb.NewKVClient(conn).Range(ctx, &pb.RangeRequest{Key: []byte(s.from), RangeEnd: []byte(s.to),
			Revision: o.Revision, Limit: 1, SortOrder: pb.RangeRequest_DESCEND, SortTarget: pb.RangeRequest_MOD})
		return err
	})
	switch {
	case err != nil && compacted(err):
		say(reconcile.Compacted{Attempt: o.Attempt, ForCheck: true})
		return nil
	case err != nil && errors.Is(rpctypes.Error(err), rpctypes.ErrFutureRev):
		// The registry has not come as far as we have been told: it is an older one.
		say(reconcile.CheckResult{Attempt: o.Attempt})
		return nil
	case err != nil:
		return err
	case resp.Header == nil:
		return errHeader
	}
	c := reconcile.CheckResult{Attempt: o.Attempt, ClusterID: resp.Header.ClusterId, Revision: resp.Header.Revision,
		Count: int(resp.Count)}
	if len(resp.Kvs) > 0 {
		c.Last = raw(resp.Kvs[0])
	}
	say(c)
	return nil
}

// follow watches until the stream ends.
func (s *Source) follow(ctx context.Context, o reconcile.Watch, say func(reconcile.Event)) error {
	return s.call(ctx, o.Endpoint, func(ctx context.Context, conn *grpc.ClientConn) error {
		stream, err := pb.NewWatchClient(conn).Watch(ctx)
		if err != nil {
			return err
		}
		err = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{
			CreateRequest: &pb.WatchCreateRequest{Key: []byte(s.from), RangeEnd: []byte(s.to),
				StartRevision: o.AfterRevision + 1, Fragment: true}}})
		for err == nil {
			var resp *pb.WatchResponse
			if resp, err = stream.Recv(); err != nil {
				return err
			}
			if resp.Header != nil && resp.CompactRevision > 0 {
				say(reconcile.Compacted{Attempt: o.Attempt, OldestRevision: resp.CompactRevision})
				return nil
			}
			err = s.onWatchResponse(stream, resp, o.Attempt, say)
		}
		return err
	})
}

// onWatchResponse hands on one response of a watch. Its error ends the watch.
func (s *Source) onWatchResponse(stream pb.Watch_WatchClient, resp *pb.WatchResponse, try int,
	say func(reconcile.Event)) error {
	header := resp.Header
	switch {
	case header == nil:
		return errHeader
	case resp.Canceled:
		return cancelled(resp.CancelReason)
	case resp.Created:
		s.mu.Lock()
		s.watch, s.ofTry = stream, try
		s.mu.Unlock()
		say(reconcile.WatchOpened{Attempt: try, ClusterID: header.ClusterId, Revision: header.Revision})
	case len(resp.Events) == 0 && !resp.Fragment:
		say(reconcile.Progress{Attempt: try, ClusterID: header.ClusterId, Revision: header.Revision})
	default:
		c := reconcile.Changes{Attempt: try, ClusterID: header.ClusterId, Partial: resp.Fragment}
		for _, e := range resp.Events {
			if e.Kv == nil {
				return errors.New("a change without a key")
			}
			change := raw(e.Kv)
			change.Deleted = e.Type == mvccpb.DELETE
			c.Entries = append(c.Entries, change)
		}
		say(c)
	}
	return nil
}

// cancelled names the refusals that a watch is told in words only.
func cancelled(reason string) error {
	err := fmt.Errorf("the watch was cancelled: %s", reason)
	for words, why := range map[string]reconcile.FailureReason{"invalid auth token": reconcile.InvalidToken,
		"revision of auth store is old": reconcile.InvalidToken, "permission denied": reconcile.Forbidden} {
		if strings.Contains(reason, words) {
			return &refusal{why, err}
		}
	}
	return err
}

// ask asks the watch of a try for progress.
func (s *Source) ask(try int) {
	s.mu.Lock()
	stream := s.watch
	if s.ofTry != try {
		stream = nil
	}
	s.mu.Unlock()
	if stream != nil { // else it is not open: silence ends it
		_ = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_ProgressRequest{
			ProgressRequest: &pb.WatchProgressRequest{}}})
	}
}

// isAny reports whether an error is one of the targets.
func isAny(err error, targets ...error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}
