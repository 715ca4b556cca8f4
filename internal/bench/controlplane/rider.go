package controlplane

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/rpc"
)

// What is evacuated can't be asked for; a carrier is told. This file is all that knows what is said on its lines.

const zoneRegister = "zone/"

type notifiedZones map[string]rpc.Register // by zone, the newest that is safe

func (t notifiedZones) take(m *rpc.Message) {
	for _, r := range m.CommittedValues {
		zone, is := strings.CutPrefix(r.Name, zoneRegister)
		if safe, there := m.CommittedVersions[r.Name]; is && there && !safe.Less(r.Version) {
			if was, known := t[zone]; !known || was.Version.Less(r.Version) {
				t[zone] = r
			}
		}
	}
}

// say opens a line as a carrier of that name.
func say(m *machine, name string) (*rpc.Conn, error) {
	conn, err := net.DialTimeout("tcp4", m.peer(), 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	line := rpc.NewConn(conn)
	line.Send(&rpc.Message{Hello: &rpc.Hello{Node: rpc.Node{Name: name, Zone: m.zone, Address: "127.0.0.1:9"},
		Incarnation: 1, IsProxy: true}})
	return line, nil
}

// look is a new carrier that asks all that serve; it gives what the newest word on a zone is, and whether any of them
// claims to know all.
func (s *system) look(zone string) (evacuated, heard bool) {
	var mu sync.Mutex
	all := notifiedZones{}
	each(s.serving(), func(_ int, m *machine) {
		line, err := say(m, "looks")
		if err != nil {
			return
		}
		defer line.Close()
		for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); {
			w, err := line.Receive(time.Until(end))
			if err != nil {
				return
			}
			mu.Lock()
			all.take(w)
			heard = heard || w.Hello != nil && w.Complete
			mu.Unlock()
			if w.Hello != nil { // its first word holds what it knows of zones
				line.Send(&rpc.Message{Lease: rpc.Lease{RenewLease: 1}})
			}
		}
	})
	r, known := all[zone]
	return known && consensus.IsEvacuated(r.Value), heard
}

// isCaughtUp says whether a controller's first word to a new carrier claims to be all that there is.
func isCaughtUp(m *machine) bool {
	line, err := say(m, "looks")
	if err != nil {
		return false
	}
	defer line.Close()
	for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); {
		w, err := line.Receive(time.Until(end))
		if err != nil {
			return false
		}
		if w.Hello != nil {
			return w.Complete
		}
	}
	return false
}

// rider is a carrier that keeps a line to each machine for as long as the story lasts.
type rider struct {
	s        *system
	mu       sync.Mutex
	notified notifiedZones
}

func (s *system) ride() *rider {
	c := &rider{s: s, notified: notifiedZones{}}
	s.done.Go(func() {
		on := map[*machine]bool{}
		for {
			for _, m := range s.machines() {
				if !on[m] {
					on[m] = true
					s.done.Go(func() { c.keep(m) })
				}
			}
			if s.pause(200 * time.Millisecond) {
				return
			}
		}
	})
	return c
}

// pause says whether the story has ended.
func (s *system) pause(span time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return true
	case <-time.After(span):
		return false
	}
}

func (c *rider) keep(m *machine) {
	for !c.s.pause(200 * time.Millisecond) {
		line, err := say(m, "rider")
		if err != nil {
			continue
		}
		c.s.done.Go(func() { // leases are renewed; the end of the story ends the line
			for n := uint64(1); !c.s.pause(time.Second); n++ {
				line.Send(&rpc.Message{Lease: rpc.Lease{RenewLease: n}})
			}
			line.Close()
		})
		for {
			w, err := line.Receive(3 * time.Second)
			if err != nil {
				break
			}
			c.mu.Lock()
			c.notified.take(w)
			c.mu.Unlock()
		}
		line.Close()
	}
}

func (c *rider) evacuated(zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.notified[zone]
	return known && consensus.IsEvacuated(r.Value)
}

// evacuatedIs waits until both a proxy that was there and a new one hold a zone to be evacuated, or not to be, and
// looks again after a while: an order that takes effect late must not pass.
func (s *system) evacuatedIs(c *rider, zone string, want bool, when string) error {
	word := map[bool]string{true: "is evacuated", false: "is not evacuated"}
	for end := time.Now().Add(2 * time.Second); ; {
		right, err := s.bothHold(c, zone, want)
		if err != nil {
			return err
		}
		if right {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s zone %s %s", when, zone, word[!want])
		}
		if err := s.r.wait(100 * time.Millisecond); err != nil {
			return err
		}
	}
	if err := s.r.wait(700 * time.Millisecond); err != nil {
		return err
	}
	right, err := s.bothHold(c, zone, want)
	if err == nil && !right {
		err = fmt.Errorf("%s zone %s, once settled, turns: it %s", when, zone, word[!want])
	}
	return err
}

// bothHold reports whether both proxies hold a zone to be as wanted, once a node tells the new one all that there is.
func (s *system) bothHold(c *rider, zone string, want bool) (bool, error) {
	for end := time.Now().Add(commitTimeout); ; {
		looked, heard := s.look(zone)
		if heard {
			return looked == want && c.evacuated(zone) == want, nil
		}
		if time.Now().After(end) {
			return false, fmt.Errorf("for %v no control-plane node tells a new proxy all that there is", commitTimeout)
		}
		if err := s.r.wait(100 * time.Millisecond); err != nil {
			return false, err
		}
	}
}
