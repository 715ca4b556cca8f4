package watch_test

import (
	"context"
	"testing"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"elmfold/internal/controller/reconcile"
	fakeetcd "elmfold/internal/fakes/etcd"
)

// putWithLease writes keys under a new lease, as a backend that registers itself does.
func putWithLease(t *testing.T, m *fakeetcd.Member, id int64, keys ...string) {
	t.Helper()
	if _, err := m.LeaseGrant(context.Background(), &pb.LeaseGrantRequest{ID: id, TTL: 10}); err != nil {
		t.Fatal(err)
	}
	for _, key := range keys {
		if _, err := m.Put(
			context.Background(),
			&pb.PutRequest{Key: []byte(key), Value: []byte(value(reconcile.Serving)), Lease: id},
		); err != nil {
			t.Fatal(err)
		}
	}
}
