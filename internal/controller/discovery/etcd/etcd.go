// Package etcd reads and watches the list of backends in an etcd v3 cluster over gRPC and reports the results as events
// to a reconcile.Reconciler. It calls the gRPC API directly: etcd's client library resumes watches on its own, which
// hides whether the same cluster responds after a lost connection. See docs/notes/registry.md.
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
	maxResponseBytes = 32 << 20
	dialTimeout      = 1500 * time.Millisecond
	ioBufferBytes    = 16 << 10
)

// Source reads and watches the backends in one etcd cluster. Use New.
type Source struct {
	endpoints          []string
	startKey, rangeEnd string // the keys from startKey up to, but not including, rangeEnd
	access             discovery.Access

	mu           sync.Mutex
	conn         *grpc.ClientConn
	connEndpoint int // index in endpoints
	token        string
	watch        grpc.BidiStreamingClient[pb.WatchRequest, pb.WatchResponse]
	watchAttempt int
	closed       bool
}

// New creates a Source for the keys under prefix. Each endpoint has the form HOST:PORT.
func New(endpoints []string, prefix string, access discovery.Access) *Source {
	// "0" is the character after "/".
	return &Source{endpoints: endpoints, startKey: prefix + "/", rangeEnd: prefix + "0", access: access}
}

// Disconnect closes the connection; the next order dials again.
func (s *Source) Disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnect()
}

func (s *Source) disconnect() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.conn, s.watch = nil, nil
}

// Close closes the connection and makes later orders fail.
func (s *Source) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.disconnect()
}

var errClosed = errors.New("the source is closed")

// connection returns the connection to an endpoint. gRPC dials with the first call. A failed connection is replaced, so
// that gRPC's own reconnect backoff never applies.
func (s *Source) connection(endpoint int) (*grpc.ClientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errClosed
	}
	if s.conn != nil && s.connEndpoint == endpoint && s.conn.GetState() != connectivity.TransientFailure {
		return s.conn, nil
	}
	s.disconnect()
	addr := s.endpoints[endpoint]
	creds := insecure.NewCredentials()
	if files := s.access.TLS; files != nil {
		host, _, _ := net.SplitHostPort(addr)
		tlsConfig, err := files.Load(host)
		if err != nil {
			return nil, &classifiedError{reconcile.CertificateRejected, err}
		}
		tlsConfig.NextProtos = []string{"h2"}
		creds = credentials.NewTLS(tlsConfig)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		}),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithReadBufferSize(ioBufferBytes), grpc.WithWriteBufferSize(ioBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)))
	if err != nil {
		return nil, err
	}
	s.conn, s.connEndpoint = conn, endpoint
	return conn, nil
}

// classifiedError is an error with a known reason.
type classifiedError struct {
	reason reconcile.FailureReason
	err    error
}

func (e *classifiedError) Error() string { return e.err.Error() }

// failureReason classifies an error of a call.
func failureReason(err error) reconcile.FailureReason {
	var known *classifiedError
	if errors.As(err, &known) {
		return known.reason
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
		if discovery.IsCertificateError(err) {
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

// explainRefusal reports a connection that ends right after the TLS handshake as a rejected client certificate. The
// server's TLS alert is often lost because the connection reset arrives first.
func (s *Source) explainRefusal(err error) error {
	if s.access.TLS != nil && strings.Contains(err.Error(), "error reading server preface") {
		return &classifiedError{reconcile.CertificateRejected, withoutStatus(err)}
	}
	return err
}

// withoutStatus reduces a gRPC status error to its message.
func withoutStatus(err error) error {
	if st, ok := status.FromError(err); ok && st.Code() != codes.Unknown {
		return errors.New(st.Message())
	}
	return err
}

// authenticate adds the token to the context of a call. Without a cached token, it logs in or reads the token file.
func (s *Source) authenticate(ctx context.Context, conn *grpc.ClientConn) (context.Context, error) {
	s.mu.Lock()
	token := s.token
	s.mu.Unlock()
	var err error
	switch access := s.access; {
	case token != "":
	case access.User != "":
		var password string
		if password, err = discovery.ReadSecret(access.PasswordFile); err != nil {
			return nil, &classifiedError{reconcile.BadCredentials, err}
		}
		request := &pb.AuthenticateRequest{Name: access.User, Password: password}
		resp, err := pb.NewAuthClient(conn).Authenticate(ctx, request)
		if err != nil {
			return nil, err
		}
		token = resp.Token
	case access.TokenFile != "":
		if token, err = discovery.ReadSecret(access.TokenFile); err != nil {
			return nil, &classifiedError{reconcile.InvalidToken, err}
		}
	default:
		return ctx, nil
	}
	s.mu.Lock()
	s.token = token
	s.mu.Unlock()
	return metadata.AppendToOutgoingContext(ctx, rpctypes.TokenFieldNameGRPC, token), nil
}

func (s *Source) discardToken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = ""
}

// call runs f with a connection and a token. If etcd rejects the token, call renews it and retries once.
func (s *Source) call(ctx context.Context, endpoint int, f func(context.Context, *grpc.ClientConn) error) error {
	conn, err := s.connection(endpoint)
	if err != nil {
		return err
	}
	for retried := false; ; retried = true {
		callCtx, err := s.authenticate(ctx, conn)
		if err == nil {
			err = f(callCtx, conn)
		}
		if err == nil || failureReason(err) != reconcile.InvalidToken || retried {
			return err
		}
		s.discardToken()
	}
}

// Do carries out an order; see watch.Source.
func (s *Source) Do(ctx context.Context, o reconcile.Order, report func(reconcile.Event)) {
	var attempt int
	var err error
	switch o := o.(type) {
	case reconcile.ReadPage:
		attempt, err = o.Attempt, s.read(ctx, o, report)
	case reconcile.Check:
		attempt, err = o.Attempt, s.check(ctx, o, report)
	case reconcile.Watch:
		attempt, err = o.Attempt, s.follow(ctx, o, report)
	case reconcile.RequestProgress:
		s.requestProgress(o.Attempt)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	err = s.explainRefusal(err)
	reason := failureReason(err)
	if reason == reconcile.InvalidToken {
		s.discardToken()
	}
	report(reconcile.AttemptFailed{Attempt: attempt, Reason: reason, Err: withoutStatus(err)})
}

func toKeyValue(kv *mvccpb.KeyValue) reconcile.KeyValue {
	return reconcile.KeyValue{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision}
}

func isCompacted(err error) bool { return errors.Is(rpctypes.Error(err), rpctypes.ErrCompacted) }

// read reads one page of the list.
func (s *Source) read(ctx context.Context, o reconcile.ReadPage, report func(reconcile.Event)) error {
	startKey := s.startKey
	if o.AfterKey != "" {
		startKey = o.AfterKey + "\x00"
	}
	var resp *pb.RangeResponse
	err := s.call(ctx, o.Endpoint, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		resp, err = pb.NewKVClient(conn).Range(ctx, &pb.RangeRequest{Key: []byte(startKey), RangeEnd: []byte(s.rangeEnd),
			Limit: int64(o.Limit), Revision: o.Revision})
		return err
	})
	switch {
	case err != nil && isCompacted(err):
		report(reconcile.Compacted{Attempt: o.Attempt})
		return nil
	case status.Code(err) == codes.ResourceExhausted:
		report(reconcile.PageTooLarge{Attempt: o.Attempt})
		return nil
	case err != nil:
		return err
	case resp.Header == nil:
		return errNoHeader
	}
	p := reconcile.Page{Attempt: o.Attempt, ClusterID: resp.Header.ClusterId, Revision: resp.Header.Revision,
		More: resp.More}
	if o.Revision > 0 {
		p.Revision = o.Revision
	}
	for _, kv := range resp.Kvs {
		p.Entries = append(p.Entries, toKeyValue(kv))
	}
	report(p)
	return nil
}

var errNoHeader = errors.New("response has no header")

// check reads the number of keys and the most recently changed one at a known revision. The reconciler compares them
// with its list, to detect a cluster with another history.
func (s *Source) check(ctx context.Context, o reconcile.Check, report func(reconcile.Event)) error {
	var resp *pb.RangeResponse
	err := s.call(ctx, o.Endpoint, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		resp, err = pb.NewKVClient(conn).Range(ctx, &pb.RangeRequest{Key: []byte(s.startKey), RangeEnd: []byte(s.rangeEnd),
			Revision: o.Revision, Limit: 1, SortOrder: pb.RangeRequest_DESCEND, SortTarget: pb.RangeRequest_MOD})
		return err
	})
	switch {
	case err != nil && isCompacted(err):
		report(reconcile.Compacted{Attempt: o.Attempt, ForCheck: true})
		return nil
	case err != nil && errors.Is(rpctypes.Error(err), rpctypes.ErrFutureRev):
		// The cluster has not reached the known revision, so it has another history.
		report(reconcile.CheckResult{Attempt: o.Attempt})
		return nil
	case err != nil:
		return err
	case resp.Header == nil:
		return errNoHeader
	}
	c := reconcile.CheckResult{Attempt: o.Attempt, ClusterID: resp.Header.ClusterId, Revision: resp.Header.Revision,
		Count: int(resp.Count)}
	if len(resp.Kvs) > 0 {
		c.Last = toKeyValue(resp.Kvs[0])
	}
	report(c)
	return nil
}

// follow watches the keys until the stream ends.
func (s *Source) follow(ctx context.Context, o reconcile.Watch, report func(reconcile.Event)) error {
	return s.call(ctx, o.Endpoint, func(ctx context.Context, conn *grpc.ClientConn) error {
		stream, err := pb.NewWatchClient(conn).Watch(ctx)
		if err != nil {
			return err
		}
		err = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{
			CreateRequest: &pb.WatchCreateRequest{Key: []byte(s.startKey), RangeEnd: []byte(s.rangeEnd),
				StartRevision: o.AfterRevision + 1, Fragment: true}}})
		for err == nil {
			var resp *pb.WatchResponse
			if resp, err = stream.Recv(); err != nil {
				return err
			}
			if resp.Header != nil && resp.CompactRevision > 0 {
				report(reconcile.Compacted{Attempt: o.Attempt, OldestRevision: resp.CompactRevision})
				return nil
			}
			err = s.onWatchResponse(stream, resp, o.Attempt, report)
		}
		return err
	})
}

// onWatchResponse reports one response of a watch. An error ends the watch.
func (s *Source) onWatchResponse(stream pb.Watch_WatchClient, resp *pb.WatchResponse, attempt int,
	report func(reconcile.Event)) error {
	header := resp.Header
	switch {
	case header == nil:
		return errNoHeader
	case resp.Canceled:
		return cancellationError(resp.CancelReason)
	case resp.Created:
		s.mu.Lock()
		s.watch, s.watchAttempt = stream, attempt
		s.mu.Unlock()
		report(reconcile.WatchOpened{Attempt: attempt, ClusterID: header.ClusterId, Revision: header.Revision})
	case len(resp.Events) == 0 && !resp.Fragment:
		report(reconcile.Progress{Attempt: attempt, ClusterID: header.ClusterId, Revision: header.Revision})
	default:
		c := reconcile.Changes{Attempt: attempt, ClusterID: header.ClusterId, Partial: resp.Fragment}
		for _, event := range resp.Events {
			if event.Kv == nil {
				return errors.New("watch event has no key")
			}
			change := toKeyValue(event.Kv)
			change.Deleted = event.Type == mvccpb.DELETE
			c.Entries = append(c.Entries, change)
		}
		report(c)
	}
	return nil
}

// cancellationError classifies the cancellation of a watch. etcd gives its reason only as text.
func cancellationError(cancelReason string) error {
	err := fmt.Errorf("the server cancelled the watch: %s", cancelReason)
	for text, reason := range map[string]reconcile.FailureReason{
		"invalid auth token":            reconcile.InvalidToken,
		"revision of auth store is old": reconcile.InvalidToken,
		"permission denied":             reconcile.Forbidden,
	} {
		if strings.Contains(cancelReason, text) {
			return &classifiedError{reason, err}
		}
	}
	return err
}

// requestProgress requests a progress notification from the watch of an attempt. Without an open watch it does nothing:
// the reconciler's timeout then ends the attempt.
func (s *Source) requestProgress(attempt int) {
	s.mu.Lock()
	stream := s.watch
	if s.watchAttempt != attempt {
		stream = nil
	}
	s.mu.Unlock()
	if stream != nil {
		_ = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_ProgressRequest{
			ProgressRequest: &pb.WatchProgressRequest{}}})
	}
}

// isAny reports whether err matches one of the targets.
func isAny(err error, targets ...error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}
