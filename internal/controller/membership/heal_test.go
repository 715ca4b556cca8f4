package membership

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// partition cuts a network into two halves while isCut is set.
type partition struct {
	mu    sync.Mutex
	isCut bool
}

func (p *partition) setCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
}

func (p *partition) separates(from, to *port) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut && from.half() != to.half()
}

// half returns the half of the network that a port belongs to.
func (p *port) half() int {
	var n int
	_, _ = fmt.Sscanf(p.addr, "127.0.0.1:%d", &n)
	return n % 2
}

// partitionedPort is a port of a partitioned network. A dial during the partition hangs until its timeout, even if the
// partition heals meanwhile.
type partitionedPort struct {
	*port
	network *partition
}

func (c partitionedPort) WriteTo(b []byte, to string) (time.Time, error) {
	if o := c.all[to]; o != nil && c.network.separates(c.port, o) {
		return time.Now(), nil
	}
	return c.port.WriteTo(b, to)
}

func (c partitionedPort) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	if o := c.all[to]; o != nil && c.network.separates(c.port, o) {
		time.Sleep(timeout)
		return nil, errors.New("i/o timeout")
	}
	return c.port.DialTimeout(to, timeout)
}

// Guards against a slow merge of healed partitions: joins in sequence would each wait for unreachable addresses.
func TestHealedPartitionMergesQuickly(t *testing.T) {
	const instances, limit = 4, 1600 * time.Millisecond
	for phase := range 6 {
		synctest.Test(t, func(t *testing.T) {
			network, all := &partition{}, memory{}
			var ports []*port
			for range instances {
				ports = append(ports, all.open())
			}
			var fleets []*Fleet
			firstAddr := ""
			for i := range instances {
				config := Config{Name: fmt.Sprint("n", i), Join: []string{firstAddr}[:min(i, 1)]}
				f, err := Open(config, "", partitionedPort{ports[i], network}, discardLog())
				if err != nil {
					t.Fatal(err)
				}
				if i == 0 {
					firstAddr = f.Addr()
				}
				fleets = append(fleets, f)
			}
			allSee := func(count int) bool {
				for _, f := range fleets {
					if len(f.Peers()) != count {
						return false
					}
				}
				return true
			}
			time.Sleep(5 * time.Second)
			network.setCut(true)
			duration := 30*time.Second + time.Duration(phase)*370*time.Millisecond
			time.Sleep(duration)
			if !allSee(instances / 2) {
				t.Error("the halves do not detect the partition")
			}
			network.setCut(false)
			healed := time.Now()
			for !allSee(instances) && time.Since(healed) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(healed); took > limit {
				t.Errorf("partition of %v: the halves merge after %v; want at most %v", duration, took, limit)
			}
			for _, f := range fleets {
				f.Close()
			}
			time.Sleep(time.Minute) // lets pending timers expire
		})
	}
}
