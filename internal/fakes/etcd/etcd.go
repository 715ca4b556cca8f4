// Package etcd is a stand-in for an etcd cluster's member, written from the published v3 API: KV ranges at a
// revision and by pages, watches with fragments, progress and cancellation with the compacted revision, leases
// and authentication. It listens on loopback only. Its faults are ordered by calls and by revision, never by
// time; time is the caller's (Expire).
package etcd

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"elmfold/internal/fakes/kv"
)

// Member is one server of a cluster.
type Member struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	pb.UnimplementedAuthServer
	store    *kv.Store
	server   *grpc.Server
	listener net.Listener

	mu           sync.Mutex
	users        map[string]string // by name; empty: everybody may
	tokens       map[string]bool
	issued       int
	fragment     int // events in a part of an answer; 0: all
	twice        bool
	unresponsive bool
	outside      bool // a change of another prefix comes along
	largest      int  // entries in a page; more is refused as too large
	pages        func(n int)
	ranges       int
	watches      int
	requests     int
	unsilence    chan struct{}
	leases       map[int64][]string
}

// Start serves a store; conf may be nil for plain TCP.
func Start(store *kv.Store, conf *tls.Config) (*Member, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	opts := []grpc.ServerOption{}
	if conf != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(conf)))
	}
	m := &Member{store: store, listener: ln, tokens: map[string]bool{}, unsilence: make(chan struct{}),
		leases: map[int64][]string{}}
	opts = append(opts, grpc.UnaryInterceptor(m.unary))
	m.server = grpc.NewServer(opts...)
	pb.RegisterKVServer(m.server, m)
	pb.RegisterWatchServer(m.server, m)
	pb.RegisterLeaseServer(m.server, m)
	pb.RegisterAuthServer(m.server, m)
	go func() { _ = m.server.Serve(ln) }()
	return m, nil
}

// Addr is where it listens.
func (m *Member) Addr() string { return m.listener.Addr().String() }

// Stop ends it and its connections.
func (m *Member) Stop() { m.server.Stop() }

// Users asks for passwords from now on.
func (m *Member) Users(users map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.users = users
}

// Expire makes every token invalid.
func (m *Member) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.tokens)
}

// Fragment splits answers of a watch into parts of so many events, within a revision too. Twice sends each
// event of a watch twice. Outside adds a change of a key that nobody asked for. Largest refuses pages of more
// entries as too large.
func (m *Member) Fragment(n int) { m.set(func() { m.fragment = n }) }

// Twice sends each event of a watch twice.
func (m *Member) Twice(on bool) { m.set(func() { m.twice = on }) }

// Outside adds a change of a key that nobody asked for to each answer of a watch.
func (m *Member) Outside(on bool) { m.set(func() { m.outside = on }) }

// Largest refuses answers of more entries as too large.
func (m *Member) Largest(n int) { m.set(func() { m.largest = n }) }

// Pages calls f after the nth range was answered, from 1.
func (m *Member) Pages(f func(n int)) { m.set(func() { m.pages = f }) }

// SetUnresponsive answers nothing more, with all connections open, until it is called again with false.
func (m *Member) SetUnresponsive(on bool) {
	m.set(func() {
		if m.unresponsive = on; !on {
			close(m.unsilence)
			m.unsilence = make(chan struct{})
		}
	})
}

func (m *Member) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// Asked is how many ranges and watches came, and how many calls in all.
func (m *Member) Asked() (ranges, watches, requests int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ranges, m.watches, m.requests
}

func (m *Member) unary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
	if err := m.wait(ctx); err != nil {
		return nil, err
	}
	m.set(func() { m.requests++ })
	return h(ctx, req)
}

// wait holds a call while the member is silent.
func (m *Member) wait(ctx context.Context) error {
	for {
		m.mu.Lock()
		silent, on := m.unresponsive, m.unsilence
		m.mu.Unlock()
		if !silent {
			return nil
		}
		select {
		case <-on:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Member) allowed(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.users) == 0 {
		return nil
	}
	md, _ := metadata.FromIncomingContext(ctx)
	token := md.Get(rpctypes.TokenFieldNameGRPC)
	switch {
	case len(token) == 0:
		return rpctypes.ErrGRPCUserEmpty
	case !m.tokens[token[0]]:
		return rpctypes.ErrGRPCInvalidAuthToken
	}
	return nil
}

func (m *Member) header() *pb.ResponseHeader {
	id, revision, _, _, _ := m.store.State()
	return &pb.ResponseHeader{ClusterId: id, MemberId: 1, Revision: revision, RaftTerm: 2}
}

// Authenticate gives a token for a password.
func (m *Member) Authenticate(_ context.Context, r *pb.AuthenticateRequest) (*pb.AuthenticateResponse, error) {
	header := m.header()
	m.mu.Lock()
	defer m.mu.Unlock()
	if want, ok := m.users[r.Name]; !ok || want != r.Password {
		return nil, rpctypes.ErrGRPCAuthFailed
	}
	m.issued++
	token := fmt.Sprintf("token.%d", m.issued)
	m.tokens[token] = true
	return &pb.AuthenticateResponse{Header: header, Token: token}, nil
}

func pair(e kv.Entry) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{Key: []byte(e.Key), Value: e.Value, ModRevision: e.Mod, CreateRevision: e.Create,
		Version: e.Version, Lease: e.Lease}
}

// Range reads keys at a revision.
func (m *Member) Range(ctx context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	if err := m.allowed(ctx); err != nil {
		return nil, err
	}
	id, revision, compacted, _, _ := m.store.State()
	at := r.Revision
	switch {
	case at == 0:
		at = revision
	case at < compacted:
		return nil, rpctypes.ErrGRPCCompacted
	case at > revision:
		return nil, rpctypes.ErrGRPCFutureRev
	}
	to := string(r.RangeEnd)
	if to == "" {
		to = string(r.Key) + "\x00"
	}
	limit := int(r.Limit)
	if r.SortOrder == pb.RangeRequest_DESCEND && r.SortTarget == pb.RangeRequest_MOD {
		limit = 0
	}
	entries, count := m.store.Range(string(r.Key), to, at, limit)
	if limit == 0 && r.Limit > 0 {
		slices.SortStableFunc(entries, func(a, b kv.Entry) int { return int(b.Mod - a.Mod) })
		entries = entries[:min(len(entries), int(r.Limit))]
	}
	m.mu.Lock()
	m.ranges++
	n, f, largest := m.ranges, m.pages, m.largest
	m.mu.Unlock()
	if largest > 0 && len(entries) > largest {
		return nil, status.Error(codes.ResourceExhausted, "grpc: received message larger than max")
	}
	resp := &pb.RangeResponse{Header: &pb.ResponseHeader{ClusterId: id, MemberId: 1, Revision: revision},
		Count: int64(count), More: count > len(entries)}
	for _, e := range entries {
		resp.Kvs = append(resp.Kvs, pair(e))
	}
	if f != nil {
		f(n)
	}
	return resp, nil
}

// Put sets a key, as an operator would with any client.
func (m *Member) Put(ctx context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	if err := m.allowed(ctx); err != nil {
		return nil, err
	}
	m.store.Txn(kv.Change{Key: string(r.Key), Value: r.Value, Lease: r.Lease})
	m.set(func() {
		if r.Lease != 0 {
			m.leases[r.Lease] = append(m.leases[r.Lease], string(r.Key))
		}
	})
	return &pb.PutResponse{Header: m.header()}, nil
}

// DeleteRange deletes keys at one revision.
func (m *Member) DeleteRange(ctx context.Context, r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	if err := m.allowed(ctx); err != nil {
		return nil, err
	}
	to := string(r.RangeEnd)
	if to == "" {
		to = string(r.Key) + "\x00"
	}
	entries, _ := m.store.Range(string(r.Key), to, 1<<62, 0)
	var changes []kv.Change
	for _, e := range entries {
		changes = append(changes, kv.Change{Key: e.Key, Gone: true})
	}
	m.store.Txn(changes...)
	return &pb.DeleteRangeResponse{Header: m.header(), Deleted: int64(len(entries))}, nil
}

// Compact forgets old revisions.
func (m *Member) Compact(_ context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	m.store.Compact(r.Revision)
	return &pb.CompactionResponse{Header: m.header()}, nil
}

// LeaseGrant makes a lease. Its time is counted by the caller: see EndLease.
func (m *Member) LeaseGrant(_ context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	m.mu.Lock()
	id := cmp.Or(r.ID, int64(len(m.leases)+1))
	m.leases[id] = nil
	m.mu.Unlock()
	return &pb.LeaseGrantResponse{Header: m.header(), ID: id, TTL: r.TTL}, nil
}

// LeaseRevoke ends a lease, and with it its keys, at one revision.
func (m *Member) LeaseRevoke(_ context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	m.EndLease(r.ID)
	return &pb.LeaseRevokeResponse{Header: m.header()}, nil
}

// EndLease lets a lease expire.
func (m *Member) EndLease(id int64) {
	m.mu.Lock()
	keys := m.leases[id]
	delete(m.leases, id)
	m.mu.Unlock()
	var changes []kv.Change
	for _, key := range keys {
		changes = append(changes, kv.Change{Key: key, Gone: true})
	}
	m.store.Txn(changes...)
}

// Watch serves one watcher a stream, which is all that the project asks of it.
func (m *Member) Watch(stream pb.Watch_WatchServer) error {
	ctx := stream.Context()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	create := first.GetCreateRequest()
	if create == nil {
		return rpctypes.ErrGRPCEmptyKey
	}
	m.set(func() { m.watches++; m.requests++ })
	if err := m.wait(ctx); err != nil {
		return err
	}
	if err := m.allowed(ctx); err != nil {
		return stream.Send(&pb.WatchResponse{Header: m.header(), Created: true, Canceled: true, WatchId: -1,
			CancelReason: err.Error()})
	}
	if err := stream.Send(&pb.WatchResponse{Header: m.header(), Created: true}); err != nil {
		return err
	}
	asked := make(chan struct{}, 16)
	go func() {
		for {
			r, err := stream.Recv()
			if err != nil {
				return
			}
			if r.GetProgressRequest() != nil {
				select {
				case asked <- struct{}{}:
				default:
				}
			}
		}
	}()
	from, to := string(create.Key), string(create.RangeEnd)
	_, revision, _, epoch, _ := m.store.State()
	sent := create.StartRevision - 1
	if create.StartRevision == 0 {
		sent = revision
	}
	for {
		if err := m.wait(ctx); err != nil {
			return err
		}
		id, revision, compacted, now, changed := m.store.State()
		switch {
		case now != epoch:
			return rpctypes.ErrGRPCStopped // a member that is restored was stopped before
		case sent+1 < compacted:
			return stream.Send(&pb.WatchResponse{Header: m.header(), Canceled: true, CompactRevision: compacted,
				CancelReason: "mvcc: required revision has been compacted"})
		}
		header := &pb.ResponseHeader{ClusterId: id, MemberId: 1, Revision: revision}
		entries := m.store.Since(from, to, sent)
		if n := len(entries); n > 0 {
			sent = entries[n-1].Mod
			if err := m.send(stream, header, entries, create.Fragment); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-asked:
			if err := m.wait(ctx); err != nil {
				return err
			}
			// All up to this revision was sent.
			if err := stream.Send(&pb.WatchResponse{Header: header, WatchId: -1}); err != nil {
				return err
			}
		case <-changed:
		}
	}
}

func (m *Member) send(stream pb.Watch_WatchServer, header *pb.ResponseHeader, entries []kv.Entry, parts bool) error {
	m.mu.Lock()
	size, twice, outside := m.fragment, m.twice, m.outside
	m.mu.Unlock()
	var events []*mvccpb.Event
	for _, e := range entries {
		event := &mvccpb.Event{Kv: pair(e)}
		if e.Gone {
			event = &mvccpb.Event{Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(e.Key), ModRevision: e.Mod}}
		}
		if events = append(events, event); twice {
			events = append(events, event)
		}
	}
	if outside {
		events = append(events, &mvccpb.Event{Kv: &mvccpb.KeyValue{Key: []byte("elsewhere"), Value: []byte("x"),
			ModRevision: entries[len(entries)-1].Mod}})
	}
	if !parts || size == 0 {
		return stream.Send(&pb.WatchResponse{Header: header, Events: events})
	}
	for len(events) > 0 {
		n := min(size, len(events))
		if err := stream.Send(&pb.WatchResponse{Header: header, Events: events[:n], Fragment: n < len(events)}); err != nil {
			return err
		}
		events = events[n:]
	}
	return nil
}
