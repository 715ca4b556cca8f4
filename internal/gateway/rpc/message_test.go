package rpc

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// connPair returns two connected Conns.
func connPair() (local, remote *Conn) {
	a, b := net.Pipe()
	return NewConn(a), NewConn(b)
}

// fill sets v to a random value. Each field of a struct is set, to a value that is not empty, with a probability.
func fill(r *rand.Rand, v reflect.Value, probability float64) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name != "_" && r.Float64() < probability {
				fill(r, v.Field(i), probability)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(r, v.Elem(), probability)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1+r.IntN(3), 4))
		for i := range v.Len() {
			fill(r, v.Index(i), probability)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 1 + r.IntN(3) {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(r, key, 1)
			fill(r, value, probability)
			v.SetMapIndex(key, value)
		}
	case reflect.String:
		v.SetString(fmt.Sprintf("n-%x", r.Uint32()))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(0.5 + r.Float64())
	case reflect.Int, reflect.Int64:
		v.SetInt(-1 - r.Int64N(1<<40))
	case reflect.Uint64:
		v.SetUint(1 | r.Uint64())
	case reflect.Uint16:
		v.SetUint(1 + r.Uint64N(1<<16-1))
	case reflect.Uint32:
		v.SetUint(1 + r.Uint64N(1<<32-1))
	case reflect.Uint8:
		v.SetUint(1 + r.Uint64N(2))
	default:
		panic(v.Kind().String())
	}
}

// All fields of a message survive encoding, and messages arrive in order. Guards against two fields with the same key.
func TestMessageRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := connPair()
		defer local.Close()
		defer remote.Close()
		r := rand.New(rand.NewPCG(1, 2))
		for i := range 200 {
			m := &Message{}
			fill(r, reflect.ValueOf(m).Elem(), []float64{1, 0.3, 0.05, 0}[i%4])
			local.Send(m)
			got, err := remote.Receive(time.Second)
			if err != nil || !reflect.DeepEqual(got, m) {
				t.Fatalf("message %d: %v\nsent %+v\nreceived %+v", i, err, m, got)
			}
		}
	})
}

// Concurrent senders in both directions neither corrupt nor lose messages, and the messages of each sender stay in
// order.
func TestConcurrentSenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := connPair()
		defer local.Close()
		defer remote.Close()
		const senders, each = 4, 200
		var all sync.WaitGroup
		for _, ends := range [][2]*Conn{{local, remote}, {remote, local}} {
			for i := range senders {
				all.Go(func() {
					for n := range each {
						ends[0].Send(
							&Message{
								Acknowledgement: Acknowledgement{WantAck: uint64(i)},
								Lease:           Lease{RenewLease: uint64(n + 1)},
								RegisterUpdate:  RegisterUpdate{FetchRegisters: []string{"charter"}},
							},
						)
					}
				})
			}
			all.Go(func() {
				var last [senders]uint64
				for range senders * each {
					m, err := ends[1].Receive(time.Minute)
					if err != nil || m.RenewLease != last[m.WantAck]+1 {
						t.Errorf("error %v, message %+v after %v", err, m, last)
						return
					}
					last[m.WantAck] = m.RenewLease
				}
			})
		}
		all.Wait()
	})
}

// An invalid frame is an error. Guards against allocating memory for an invalid length.
func TestInvalidFrames(t *testing.T) {
	for name, text := range map[string][]byte{
		"too long":        binary.AppendUvarint(nil, MaxFrameBytes+1),
		"length overflow": bytes.Repeat([]byte{0xff}, 11),
		"empty":           {0},
		"not CBOR":        []byte("\x05hello"),
		"not a map":       {1, 0x01},
		"wrong field":     {3, 0xa1, 0x01, 0x60}, // a text instead of a number
		"truncated":       {9, 0xa1, 0x01},
		"HTTP":            []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
	} {
		synctest.Test(t, func(t *testing.T) {
			a, b := net.Pipe()
			conn := NewConn(a)
			defer conn.Close()
			go func() {
				_, _ = b.Write(text)
				_ = b.Close()
			}()
			if m, err := conn.Receive(time.Second); err == nil {
				t.Errorf("%s: accepted as %+v", name, m)
			}
		})
	}
}

// wantClosed checks that both ends of a connection are closed and that Send does not block.
func wantClosed(t *testing.T, conn *Conn, remote net.Conn) {
	t.Helper()
	if m, err := conn.Receive(0); err == nil {
		t.Errorf("the closed connection received %+v", m)
	}
	if _, err := io.Copy(io.Discard, remote); err != nil {
		t.Errorf("the remote end is not closed: %v", err)
	}
	conn.Send(&Message{Lease: Lease{RenewLease: 1}})
}

// A connection is closed if the peer does not read for writeTimeout, or if the queued frames exceed maxPendingBytes.
func TestPeerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		conn := NewConn(a)
		defer conn.Close()
		began := time.Now()
		conn.Send(&Message{Lease: Lease{RenewLease: 1}})
		if _, err := conn.Receive(0); err == nil || time.Since(began) != writeTimeout {
			t.Errorf("error %v after %v", err, time.Since(began))
		}
		wantClosed(t, conn, b)
	})
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		conn := NewConn(a)
		defer conn.Close()
		big := &Message{
			RegisterUpdate: RegisterUpdate{
				CommittedValues: []Register{{Name: "charter", Value: make([]byte, maxPendingBytes/2)}},
			},
		}
		began := time.Now()
		for range 3 {
			conn.Send(big)
			synctest.Wait() // the writer has taken the first
		}
		if time.Since(began) != 0 {
			t.Error("Send blocks")
		}
		wantClosed(t, conn, b)
	})
}

// Receive fails after its timeout if the peer sends nothing, and at once if the peer closes the connection.
func TestReceiveTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := connPair()
		defer local.Close()
		began := time.Now()
		if _, err := local.Receive(3 * time.Second); err == nil || time.Since(began) != 3*time.Second {
			t.Errorf("error %v after %v", err, time.Since(began))
		}
		remote.Send(&Message{Lease: Lease{RenewLease: 7}})
		if m, err := local.Receive(3 * time.Second); err != nil || m.RenewLease != 7 {
			t.Errorf("%+v, %v", m, err)
		}
		remote.Close()
		remote.Close()
		if _, err := local.Receive(3 * time.Second); err == nil || time.Since(began) != 3*time.Second {
			t.Errorf("error %v after %v", err, time.Since(began))
		}
	})
}
