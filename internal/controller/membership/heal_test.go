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

// halves is a network whose two halves are cut from each other for a while.
type halves struct {
	mu    sync.Mutex
	isCut bool
}

func (h *halves) set(isCut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isCut = isCut
}

func (h *halves) isBetween(from, to *port) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isCut && from.half() != to.half()
}

// half is the half of the network that an instance is in.
func (p *port) half() int {
	var n int
	_, _ = fmt.Sscanf(p.addr, "127.0.0.1:%d", &n)
	return n % 2
}

// cutPort is a port of such a network. A dial that begins during the cut hangs until its time is over, also where the
// cut ends meanwhile.
type cutPort struct {
	*port
	network *halves
}

func (c cutPort) WriteTo(b []byte, to string) (time.Time, error) {
	if o := c.all[to]; o != nil && c.network.isBetween(c.port, o) {
		return time.Now(), nil
	}
	return c.port.WriteTo(b, to)
}

func (c cutPort) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	if o := c.all[to]; o != nil && c.network.isBetween(c.port, o) {
		time.Sleep(timeout)
		return nil, errors.New("i/o timeout")
	}
	return c.port.DialTimeout(to, timeout)
}

// Guards against halves that take seconds to find each other after a cut: an instance tried those it missed one
// after the other, and each that did not answer held it up for two seconds.
func TestHalvesFindEachOtherSoonAfterACut(t *testing.T) {
	const many, within = 4, 1600 * time.Millisecond
	for moment := range 6 {
		synctest.Test(t, func(t *testing.T) {
			network, all := &halves{}, memory{}
			var ports []*port
			for range many {
				ports = append(ports, all.open())
			}
			var fleets []*Fleet
			first := ""
			for i := range many {
				plan := Config{Name: fmt.Sprint("n", i), Join: []string{first}[:min(i, 1)]}
				f, err := Open(plan, "", cutPort{ports[i], network}, quiet())
				if err != nil {
					t.Fatal(err)
				}
				if i == 0 {
					first = f.Addr()
				}
				fleets = append(fleets, f)
			}
			areAll := func(count int) bool {
				for _, f := range fleets {
					if len(f.Peers()) != count {
						return false
					}
				}
				return true
			}
			time.Sleep(5 * time.Second)
			network.set(true)
			time.Sleep(30*time.Second + time.Duration(moment)*370*time.Millisecond)
			if !areAll(many / 2) {
				t.Error("the halves do not count each other as gone")
			}
			network.set(false)
			healed := time.Now()
			for !areAll(many) && time.Since(healed) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(healed); took > within {
				t.Errorf("healed %v after the cut: all find each other after %v", time.Duration(moment)*370*time.Millisecond, took)
			}
			for _, f := range fleets {
				f.Close()
			}
			time.Sleep(time.Minute) // until what was under way has ended
		})
	}
}
