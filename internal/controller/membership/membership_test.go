package membership

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"elmfold/internal/controller/aggregation"
)

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Twelve instances on connections in memory, in virtual time: what each met is heard by all others, once.
func TestSumsInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const many = 12
		net := memory{}
		var ports []*port
		for range many { // before anybody looks at them
			ports = append(ports, net.open())
		}
		var fleets []*Fleet
		var sums []*LoadAggregator
		var mu sync.Mutex
		heard := make([]float64, many)
		first := ""
		for i := range many {
			name := fmt.Sprint("n", i)
			f, err := Open(Config{Name: name, Join: []string{first}[:min(i, 1)]}, "", ports[i], quiet())
			if err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				first = f.Addr()
			}
			fleets = append(fleets, f)
			sums = append(sums, f.StartLoadAggregator(func(s aggregation.Summary) {
				mu.Lock()
				defer mu.Unlock()
				for _, w := range s.Reports {
					heard[i] += w.Attempts
				}
			}))
		}
		time.Sleep(5 * time.Second)
		for _, f := range fleets {
			if n := len(f.Peers()); n != many {
				t.Fatalf("%s counts %d", f.Self().Name, n)
			}
		}
		for i := range sums {
			sums[i].RecordAttempts("s", float64(i+1), 0, time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		mu.Lock()
		for i := range sums {
			if want := float64(many*(many+1)/2 - i - 1); heard[i] != want {
				t.Errorf("n%d heard of %v tries, the others met %v", i, heard[i], want)
			}
		}
		mu.Unlock()
		for i := range sums {
			sums[i].Close()
			fleets[i].Close()
		}
		time.Sleep(time.Minute) // until what was under way has ended
	})
}

// memory is a network in memory: what nobody takes is lost, as on a real one.
type memory map[string]*port

type port struct {
	all     memory
	addr    string
	packets chan *memberlist.Packet
	streams chan net.Conn
}

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }

func (m memory) open() *port {
	p := &port{
		all:     m,
		addr:    fmt.Sprintf("127.0.0.1:%d", len(m)+1),
		packets: make(chan *memberlist.Packet, 256),
		streams: make(chan net.Conn, 256),
	}
	m[p.addr] = p
	return p
}

func (p *port) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	var n int
	_, err := fmt.Sscanf(p.addr, "127.0.0.1:%d", &n)
	return net.IPv4(127, 0, 0, 1), n, err
}

func (p *port) WriteTo(b []byte, to string) (time.Time, error) {
	if o := p.all[to]; o != nil {
		select {
		case o.packets <- &memberlist.Packet{Buf: append([]byte(nil), b...), From: addr(p.addr), Timestamp: time.Now()}:
		default:
		}
	}
	return time.Now(), nil
}

func (p *port) DialTimeout(to string, _ time.Duration) (net.Conn, error) {
	o := p.all[to]
	if o == nil {
		return nil, errors.New("nobody there")
	}
	here, there := net.Pipe()
	o.streams <- there
	return here, nil
}

func (p *port) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *port) StreamCh() <-chan net.Conn           { return p.streams }
func (p *port) Shutdown() error                     { return nil }
