package controlplane

import (
	"net"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/rpc"
)

func (s *Server) lost(name string, _ *rpc.Conn) {
	s.peers[name].out = nil
	s.log.Info("line lost", "to", name)
	s.step(consensus.PeerDisconnected{Name: name})
}

// heardPeer takes a message on a line that was dialled from here.
func (s *Server) heardPeer(name string, line *rpc.Conn, m *rpc.Message) {
	if m.Hello != nil {
		p := s.peers[name]
		if p == nil {
			p = &peer{}
			s.peers[name] = p
		}
		p.who, p.out, p.told = m.Hello.Node, line, true
		s.log.Info("line up", "to", name)
		line.Send(&rpc.Message{KnownPeers: s.known(), EndpointUpdate: rpc.EndpointUpdate{Endpoints: s.table.All(s.now())}})
		s.step(consensus.PeerConnected{Node: m.Hello.Node, StoreID: m.Hello.StoreID, MayHaveLostState: m.Hello.MayHaveLostState})
	}
	s.heard(name, line, m)
}

// accept serves the lines that others dial.
func (s *Server) accept() {
	for {
		c, err := s.o.Listen.Accept()
		if err != nil {
			select {
			case <-s.queue.Stopped():
				return
			case <-s.o.Clock.After(50 * time.Millisecond):
				continue
			}
		}
		go s.serveLine(c)
	}
}

func (s *Server) serveLine(c net.Conn) {
	line := rpc.NewConn(c)
	var who *rpc.Hello
	for {
		m, err := line.Receive(silentFor)
		if err != nil {
			break
		}
		if m.Hello != nil {
			who = m.Hello
		}
		if who == nil {
			break // no line begins otherwise
		}
		from := *who
		s.queue.Do(func() {
			if from.IsProxy {
				// Guards against a word on an old line, read late after a freeze, renewing a lease.
				if m.Hello != nil {
					s.carrierLines.Register(m.Hello, line)
				}
				if s.carrierLines.IsCurrent(from.Node.Name, line) {
					s.heardCarrier(from, line, m)
				}
				return
			}
			if m.Hello != nil {
				if _, ok := s.callers.Register(m.Hello, line); !ok {
					return
				}
				s.know(from.Node)
				if p := s.peers[from.Node.Name]; p == nil || p.out == nil {
					s.keep.RetryNow(from.Node.Address) // it is there: after a loss of all each moment counts
				}
				line.Send(&rpc.Message{Hello: s.hello(), KnownPeers: s.known(), EndpointUpdate: rpc.EndpointUpdate{Endpoints: s.table.All(s.now()), EndpointsSynced: s.settled}})
				s.step(consensus.PeerIdentified{Node: from.Node, StoreID: from.StoreID, MayHaveLostState: from.MayHaveLostState})
			}
			if s.callers.IsCurrent(from.Node.Name, line) {
				s.heard(from.Node.Name, line, m)
			}
		})
	}
	line.Close()
	s.queue.Do(func() {
		switch {
		case who == nil:
		case who.IsProxy:
			s.carrierLines.Unregister(who.Node.Name, line)
		default:
			s.callers.Unregister(who.Node.Name, line)
		}
		if c := s.carriers[line]; c != nil {
			delete(s.carriers, line)
			s.steer.left(c.who.Name, line)
		}
	})
}

// heard takes what another controller says, on whichever line; answers go out on the one dialled from here, as those
// of the replica do, or on the line itself.
func (s *Server) heard(name string, line *rpc.Conn, m *rpc.Message) {
	if m.RenewLease > 0 && m.Ack == 0 {
		line.Send(&rpc.Message{Lease: rpc.Lease{LeaseRenewed: m.RenewLease}}) // both directions of a line speak once a second
	}
	s.know(m.KnownPeers...)
	if len(m.Endpoints) > 0 {
		s.toldBackends(m.Endpoints)
	}
	if m.EndpointsSynced && !s.settled {
		s.settled = true
		s.toCarriers(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{EndpointsSynced: true}})
	}
	if m.WantAck > 0 {
		line.Send(&rpc.Message{Acknowledgement: rpc.Acknowledgement{Ack: m.WantAck}})
	}
	if w := s.words[m.Ack]; m.Ack > 0 && w != nil {
		if w.has[name] = true; s.enough(w) {
			delete(s.words, m.Ack)
			w.done <- nil
		}
	}
	if m.StoreID != "" {
		s.step(consensus.MessageReceived{From: name, Message: m})
	}
}

// enough says whether so many voters have a word that a new life of a carrier, which asks a majority, meets one of them
// though as many as may be lost at once are gone.
func (s *Server) enough(w *word) bool {
	e := s.replica.Epoch()
	return e.IsDurable(s.o.Settings.FaultBudget.Machines, func(v rpc.Voter) bool { return w.has[v.Name] })
}

// toldBackends takes words of another controller; what is news here is passed on to the carriers at once, as the one
// that it came from may be gone before it told them all.
func (s *Server) toldBackends(words []rpc.Endpoint) {
	if news := s.table.ApplyRemote(s.now(), words); len(news) > 0 {
		s.later(news)
		s.steer.changed()
	}
}

// spread tells carriers and controllers of words that are news.
func (s *Server) spread(news []rpc.Endpoint) {
	if len(news) == 0 {
		return
	}
	m := &rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: news}}
	s.later(news)
	for _, p := range s.peers {
		if p.out != nil {
			p.out.Send(m)
		}
	}
	s.steer.changed()
}

// spreadSure does so for words of leaving, and says when enough controllers have them: the one that acknowledges may
// be gone the next moment, and a new life of a carrier asks as many as make it meet one that knows.
func (s *Server) spreadSure(news []rpc.Endpoint, done chan<- error) {
	s.seq++
	m := &rpc.Message{Acknowledgement: rpc.Acknowledgement{WantAck: s.seq}, EndpointUpdate: rpc.EndpointUpdate{Endpoints: news}}
	s.flush() // in their order
	s.toCarriers(&rpc.Message{EndpointUpdate: rpc.EndpointUpdate{Endpoints: news}})
	for _, p := range s.peers {
		if p.out != nil {
			p.out.Send(m)
		}
	}
	s.steer.changed()
	switch w := (&word{has: map[string]bool{s.me.Name: true}, until: s.now() + wordFor, done: done}); {
	case !s.inTouch():
		done <- s.apart()
	case s.enough(w):
		done <- nil
	default:
		s.words[s.seq] = w
	}
}

func (s *Server) heardCarrier(from rpc.Hello, line *rpc.Conn, m *rpc.Message) {
	now := s.now()
	c := s.carriers[line]
	if m.Hello != nil && c == nil {
		c = &carrier{who: from.Node, line: line}
		s.carriers[line] = c
		first := s.standing()
		first.Hello, first.KnownPeers, first.Endpoints, first.EndpointsSynced, first.Proxies = s.hello(), s.known(), s.table.Local(now),
			s.settled, s.table.Proxies()
		line.Send(first)
	}
	if c == nil {
		return
	}
	if m.RenewLease > 0 {
		line.Send(&rpc.Message{Lease: rpc.Lease{LeaseRenewed: m.RenewLease}, NoQuorum: !s.inTouch()})
		c.renewed = m.RenewLease
		s.table.RenewLease(now, rpc.ProxyInfo{Name: c.who.Name, Zone: c.who.Zone})
		s.steer.report(c, m)
	}
	for _, name := range m.FetchRegisters {
		if r, is := s.replica.CommittedValue(name); is {
			line.Send(&rpc.Message{RegisterUpdate: rpc.RegisterUpdate{CommittedValues: []rpc.Register{r}, CommittedVersions: map[string]rpc.Version{name: r.Version}}})
		}
	}
	if m.ReleaseLease {
		s.table.ReleaseLease(c.who.Name)
	}
}
