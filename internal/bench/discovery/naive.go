package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"elmfold/internal/controller/operatorfile"
	"elmfold/internal/controller/reconcile"
)

// reader gives a function that reads the whole list in one call.
func reader(kind, addr string) func() ([]reconcile.KeyValue, error) {
	if kind == operatorfile.Consul {
		return func() (all []reconcile.KeyValue, err error) {
			code, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/v1/kv/"+prefix+"/?recurse", 2*time.Second)
			if err != nil || code != fasthttp.StatusOK {
				return nil, fmt.Errorf("status %d, %w", code, err)
			}
			var pairs []struct {
				Key   string
				Value []byte
			}
			if err := json.Unmarshal(body, &pairs); err != nil {
				return nil, err
			}
			for _, p := range pairs {
				all = append(all, reconcile.KeyValue{Key: p.Key, Value: p.Value})
			}
			return all, nil
		}
	}
	return func() (all []reconcile.KeyValue, err error) {
		conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))
		if err != nil {
			return nil, err
		}
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		resp, err := pb.NewKVClient(
			conn,
		).Range(
			ctx,
			&pb.RangeRequest{Key: []byte(prefix + "/"), RangeEnd: []byte(prefix + "0")},
		)
		if err != nil {
			return nil, err
		}
		for _, kv := range resp.Kvs {
			all = append(all, reconcile.KeyValue{Key: string(kv.Key), Value: kv.Value})
		}
		return all, nil
	}
}
