package controlplane

import (
	"net"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/rpc"
)

func (s *Server) lost(name string, _ *rpc.Line) {
	s.peers[name].out = nil
	s.log.Info("line lost", "to", name)
	s.step(consensus.Down{Who: name})
}

// heardPeer takes a message on a line that was dialled from here.
func (s *Server) heardPeer(name string, line *rpc.Line, m *rpc.Message) {
	if m.Hello != nil {
		p := s.peers[name]
		if p == nil {
			p = &peer{}
			s.peers[name] = p
		}
		p.who, p.out, p.told = m.Hello.Who, line, true
		s.log.Info("line up", "to", name)
		line.Send(&rpc.Message{Know: s.known(), Backends: s.table.All(s.now())})
		s.step(consensus.Up{Who: m.Hello.Who, Disk: m.Hello.Disk, Blank: m.Hello.Blank})
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
	line := rpc.NewLine(c)
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
			if from.Carrier {
				// Guards against a word on an old line, read late after a freeze, renewing a lease.
				if m.Hello != nil {
					s.carrierLines.Take(m.Hello, line)
				}
				if s.carrierLines.Speaks(from.Who.Name, line) {
					s.heardCarrier(from, line, m)
				}
				return
			}
			if m.Hello != nil {
				if _, ok := s.callers.Take(m.Hello, line); !ok {
					return
				}
				s.know(from.Who)
				if p := s.peers[from.Who.Name]; p == nil || p.out == nil {
					s.keep.Now(from.Who.Address) // it is there: after a loss of all each moment counts
				}
				line.Send(&rpc.Message{Hello: s.hello(), Know: s.known(), Backends: s.table.All(s.now()), Settled: s.settled})
				s.step(consensus.Met{Who: from.Who, Disk: from.Disk, Blank: from.Blank})
			}
			if s.callers.Speaks(from.Who.Name, line) {
				s.heard(from.Who.Name, line, m)
			}
		})
	}
	line.Close()
	s.queue.Do(func() {
		switch {
		case who == nil:
		case who.Carrier:
			s.carrierLines.Lost(who.Who.Name, line)
		default:
			s.callers.Lost(who.Who.Name, line)
		}
		if c := s.carriers[line]; c != nil {
			delete(s.carriers, line)
			s.steer.left(c.who.Name, line)
		}
	})
}

// heard takes what another controller says, on whichever line; answers go out on the one dialled from here, as those
// of the replica do, or on the line itself.
func (s *Server) heard(name string, line *rpc.Line, m *rpc.Message) {
	if m.Renew > 0 && m.Reply == 0 {
		line.Send(&rpc.Message{Renewed: m.Renew}) // both directions of a line speak once a second
	}
	s.know(m.Know...)
	if len(m.Backends) > 0 {
		s.toldBackends(m.Backends)
	}
	if m.Settled && !s.settled {
		s.settled = true
		s.toCarriers(&rpc.Message{Settled: true})
	}
	if m.Seq > 0 {
		line.Send(&rpc.Message{Reply: m.Seq})
	}
	if w := s.words[m.Reply]; m.Reply > 0 && w != nil {
		if w.has[name] = true; s.enough(w) {
			delete(s.words, m.Reply)
			w.done <- nil
		}
	}
	if m.Disk != "" {
		s.step(consensus.Heard{Who: name, Message: m})
	}
}

// enough says whether so many voters have a word that a new life of a carrier, which asks a majority, meets one of them
// though as many as may be lost at once are gone.
func (s *Server) enough(w *word) bool {
	e := s.replica.Epoch()
	return e.Safe(s.o.Settings.FaultBudget.Machines, func(v rpc.Voter) bool { return w.has[v.Name] })
}

// toldBackends takes words of another controller; what is news here is passed on to the carriers at once, as the one
// that it came from may be gone before it told them all.
func (s *Server) toldBackends(words []rpc.Backend) {
	if news := s.table.Told(s.now(), words); len(news) > 0 {
		s.later(news)
		s.steer.changed()
	}
}

// spread tells carriers and controllers of words that are news.
func (s *Server) spread(news []rpc.Backend) {
	if len(news) == 0 {
		return
	}
	m := &rpc.Message{Backends: news}
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
func (s *Server) spreadSure(news []rpc.Backend, done chan<- error) {
	s.seq++
	m := &rpc.Message{Seq: s.seq, Backends: news}
	s.flush() // in their order
	s.toCarriers(&rpc.Message{Backends: news})
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

func (s *Server) heardCarrier(from rpc.Hello, line *rpc.Line, m *rpc.Message) {
	now := s.now()
	c := s.carriers[line]
	if m.Hello != nil && c == nil {
		c = &carrier{who: from.Who, line: line}
		s.carriers[line] = c
		first := s.standing()
		first.Hello, first.Know, first.Backends, first.Settled, first.Members = s.hello(), s.known(), s.table.Own(now),
			s.settled, s.table.Members()
		line.Send(first)
	}
	if c == nil {
		return
	}
	if m.Renew > 0 {
		line.Send(&rpc.Message{Renewed: m.Renew, Apart: !s.inTouch()})
		c.renewed = m.Renew
		s.table.Renew(now, rpc.Member{Name: c.who.Name, Zone: c.who.Zone})
		s.steer.report(c, m)
	}
	for _, name := range m.Want {
		if r, is := s.replica.InForce(name); is {
			line.Send(&rpc.Message{Offers: []rpc.Register{r}, Safe: map[string]rpc.Stamp{name: r.Stamp}})
		}
	}
	if m.Leave {
		s.table.Release(c.who.Name)
	}
}
