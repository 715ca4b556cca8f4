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

func pair() (here, there *Conn) {
	a, b := net.Pipe()
	return NewConn(a), NewConn(b)
}

// fill draws a value. Part is how likely each field is set; what is set is never empty.
func fill(r *rand.Rand, v reflect.Value, part float64) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name != "_" && r.Float64() < part {
				fill(r, v.Field(i), part)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(r, v.Elem(), part)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1+r.IntN(3), 4))
		for i := range v.Len() {
			fill(r, v.Index(i), part)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 1 + r.IntN(3) {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(r, key, 1)
			fill(r, value, part)
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
	case reflect.Uint8:
		v.SetUint(1 + r.Uint64N(2))
	default:
		panic(v.Kind().String())
	}
}

// Whatever a message says comes over as it was said, in order; every field has a number of its own.
func TestMessagesComeAsTheyWereSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := pair()
		defer here.Close()
		defer there.Close()
		r := rand.New(rand.NewPCG(1, 2))
		for i := range 200 {
			m := &Message{}
			fill(r, reflect.ValueOf(m).Elem(), []float64{1, 0.3, 0.05, 0}[i%4])
			here.Send(m)
			got, err := there.Receive(time.Second)
			if err != nil || !reflect.DeepEqual(got, m) {
				t.Fatalf("message %d: %v\n%+v came as\n%+v", i, err, m, got)
			}
		}
	})
}

// Many may send at once, in both directions; no message is torn, none lost, and those of each sender keep their order.
func TestManySenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := pair()
		defer here.Close()
		defer there.Close()
		const senders, each = 4, 200
		var all sync.WaitGroup
		for _, ends := range [][2]*Conn{{here, there}, {there, here}} {
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
						t.Errorf("%v: %+v after %v", err, m, last)
						return
					}
					last[m.WantAck] = m.RenewLease
				}
			})
		}
		all.Wait()
	})
}

// What is no frame is an error, at once and without room being made for what it promises.
func TestBadFrames(t *testing.T) {
	for name, text := range map[string][]byte{
		"too long":       binary.AppendUvarint(nil, MaxFrameBytes+1),
		"beyond numbers": bytes.Repeat([]byte{0xff}, 11),
		"empty":          {0},
		"no CBOR":        []byte("\x05hello"),
		"another type":   {1, 0x01},
		"wrong field":    {3, 0xa1, 0x01, 0x60}, // a text where a number is due
		"cut short":      {9, 0xa1, 0x01},
		"HTTP":           []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
	} {
		synctest.Test(t, func(t *testing.T) {
			a, b := net.Pipe()
			line := NewConn(a)
			defer line.Close()
			go func() {
				_, _ = b.Write(text)
				_ = b.Close()
			}()
			if m, err := line.Receive(time.Second); err == nil {
				t.Errorf("%s: taken for %+v", name, m)
			}
		})
	}
}

func ended(t *testing.T, line *Conn, other net.Conn) {
	t.Helper()
	if m, err := line.Receive(0); err == nil {
		t.Errorf("the line still gives %+v", m)
	}
	if _, err := io.Copy(io.Discard, other); err != nil {
		t.Errorf("the other side is not told of the end: %v", err)
	}
	line.Send(&Message{Lease: Lease{RenewLease: 1}}) // says nothing, and does not wait
}

// Who does not read loses the line: after a time, or when more waits for it than may.
func TestReaderThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		line := NewConn(a)
		defer line.Close()
		began := time.Now()
		line.Send(&Message{Lease: Lease{RenewLease: 1}})
		if _, err := line.Receive(0); err == nil || time.Since(began) != writeTimeout {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		ended(t, line, b)
	})
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		line := NewConn(a)
		defer line.Close()
		big := &Message{
			RegisterUpdate: RegisterUpdate{
				CommittedValues: []Register{{Name: "charter", Value: make([]byte, maxPendingBytes/2)}},
			},
		}
		began := time.Now()
		for range 3 {
			line.Send(big)
			synctest.Wait() // the writer has taken the first
		}
		if time.Since(began) != 0 {
			t.Error("a sender waits for the reader")
		}
		ended(t, line, b)
	})
}

// A side that says nothing for too long is given up; one that closes is noticed at once.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := pair()
		defer here.Close()
		began := time.Now()
		if _, err := here.Receive(3 * time.Second); err == nil || time.Since(began) != 3*time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		there.Send(&Message{Lease: Lease{RenewLease: 7}})
		if m, err := here.Receive(3 * time.Second); err != nil || m.RenewLease != 7 {
			t.Errorf("%+v, %v", m, err)
		}
		there.Close()
		there.Close()
		if _, err := here.Receive(3 * time.Second); err == nil || time.Since(began) != 3*time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}
