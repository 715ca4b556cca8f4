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

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Each of twelve instances on an in-memory network receives the attempts of all others exactly once.
func TestLoadAggregation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 12
		network := memory{}
		var ports []*port
		for range instances { // all ports exist before the first instance starts
			ports = append(ports, network.open())
		}
		var fleets []*Fleet
		var aggregators []*LoadAggregator
		var mu sync.Mutex
		received := make([]float64, instances)
		firstAddr := ""
		for i := range instances {
			name := fmt.Sprint("n", i)
			f, err := Open(Config{Name: name, Join: []string{firstAddr}[:min(i, 1)]}, "", ports[i], discardLog())
			if err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				firstAddr = f.Addr()
			}
			fleets = append(fleets, f)
			aggregators = append(aggregators, f.StartLoadAggregator(func(s aggregation.Summary) {
				mu.Lock()
				defer mu.Unlock()
				for _, report := range s.Reports {
					received[i] += report.Attempts
				}
			}))
		}
		// Between two rounds: in one that has the attempts of some instances only, those far above the mean are scaled down.
		time.Sleep(5*time.Second + roundInterval/2)
		for _, f := range fleets {
			if n := len(f.Peers()); n != instances {
				t.Fatalf("%s sees %d instances", f.Self().Name, n)
			}
		}
		for i := range aggregators {
			aggregators[i].RecordAttempts("s", float64(i+1), 0, time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		mu.Lock()
		for i := range aggregators {
			if want := float64(instances*(instances+1)/2 - i - 1); received[i] != want {
				t.Errorf("n%d received %v attempts; want %v", i, received[i], want)
			}
		}
		mu.Unlock()
		for i := range aggregators {
			aggregators[i].Close()
			fleets[i].Close()
		}
		time.Sleep(time.Minute) // lets pending timers expire
	})
}

// memory is an in-memory network that drops packets when a queue is full.
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
		return nil, errors.New("connection refused")
	}
	local, remote := net.Pipe()
	o.streams <- remote
	return local, nil
}

func (p *port) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *port) StreamCh() <-chan net.Conn           { return p.streams }
func (p *port) Shutdown() error                     { return nil }
