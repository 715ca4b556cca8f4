package counsel

import (
	"net"
	"slices"
	"time"

	"elmfold/accord"
	"elmfold/parley"
)

// dial keeps a line to the controller at an address, from now on.
func (s *Server) dial(address string) {
	if address == "" || address == s.me.Address || s.dialing[address] {
		return
	}
	s.dialing[address] = true
	go s.keepLine(address)
}

// keepLine is a goroutine for each other controller: it dials, says hello, reads until the line breaks, and begins
// again.
func (s *Server) keepLine(address string) {
	for {
		if c, err := s.o.Dial(address); err == nil {
			line := parley.NewLine(c)
			hello := &parley.Message{Hello: &parley.Hello{Who: s.me, Life: s.life}}
			if s.o.Settings.Bootstrap {
				hello.Join = &s.me
			}
			line.Send(hello)
			var name string
			for {
				m, err := line.Receive(silentFor)
				if err != nil {
					break
				}
				if m.Hello != nil {
					name = m.Hello.Who.Name
				}
				s.do(func() { s.heardPeer(name, line, m) })
			}
			line.Close()
			s.do(func() { s.lost(name, line) })
		}
		select {
		case <-s.o.Clock.After(dialAgain):
		case <-s.stopped:
			return
		}
	}
}

func (s *Server) lost(name string, line *parley.Line) {
	if p := s.peers[name]; p != nil && p.out == line {
		p.out = nil
		s.log.Info("line lost", "to", name)
		s.step(accord.Down{Who: name})
	}
}

// heardPeer takes a message on a line that was dialled from here.
func (s *Server) heardPeer(name string, line *parley.Line, m *parley.Message) {
	if name == "" || name == s.me.Name {
		return
	}
	if m.Hello != nil {
		p := s.peers[name]
		if p == nil {
			p = &peer{}
			s.peers[name] = p
		}
		p.who, p.out, p.life, p.told = m.Hello.Who, line, m.Hello.Life, true
		s.log.Info("line up", "to", name)
		line.Send(&parley.Message{Know: s.known(), Founders: s.founders, Backends: s.table.All(s.now())})
		s.step(accord.Up{Who: name})
	}
	s.heard(name, line, m)
}

// accept serves the lines that others dial.
func (s *Server) accept() {
	for {
		c, err := s.o.Listen.Accept()
		if err != nil {
			select {
			case <-s.stopped:
				return
			case <-s.o.Clock.After(50 * time.Millisecond):
				continue
			}
		}
		go s.serveLine(c)
	}
}

func (s *Server) serveLine(c net.Conn) {
	line := parley.NewLine(c)
	var who *parley.Hello
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
		s.do(func() {
			if from.Carrier {
				s.heardCarrier(from, line, m)
				return
			}
			if m.Hello != nil {
				s.know(from.Who)
				line.Send(&parley.Message{Hello: &parley.Hello{Who: s.me, Life: s.life}, Know: s.known(),
					Founders: s.founders, Backends: s.table.All(s.now()), Settled: s.settled})
			}
			s.heard(from.Who.Name, line, m)
		})
	}
	line.Close()
	s.do(func() {
		if c := s.carriers[line]; c != nil {
			delete(s.carriers, line)
			s.steer.left(c.who.Name, line)
		}
	})
}

// heard takes what another controller says, on whichever line; answers go out on the one dialled from here, as those
// of the replica do, or on the line itself.
func (s *Server) heard(name string, line *parley.Line, m *parley.Message) {
	if m.Renew > 0 && m.Reply == 0 {
		line.Send(&parley.Message{Renewed: m.Renew}) // both directions of a line speak once a second
	}
	if m.Join != nil && s.founders == nil {
		if _, there := s.joined[m.Join.Name]; !there && m.Join.Name != s.me.Name {
			s.joined[m.Join.Name], s.joinedAt = *m.Join, s.now()
		}
	}
	s.know(m.Know...)
	if len(m.Founders) > 0 {
		s.know(m.Founders...)
		s.keepFounders(m.Founders)
	} else if m.Join != nil && s.founders != nil {
		line.Send(&parley.Message{Founders: s.founders})
	}
	if len(m.Backends) > 0 {
		s.toldBackends(m.Backends)
	}
	if m.Settled && !s.settled {
		s.settled = true
		s.toCarriers(&parley.Message{Settled: true})
	}
	if m.Seq > 0 {
		line.Send(&parley.Message{Reply: m.Seq})
	}
	if w := s.words[m.Reply]; m.Reply > 0 && w != nil && s.isFounder(name) {
		if w.need--; w.need <= 0 {
			delete(s.words, m.Reply)
			w.done <- nil
		}
	}
	if m.Offers != nil || m.Held != nil || m.Safe != nil || m.Want != nil || m.Ask {
		s.step(accord.Heard{Who: name, Message: m})
	}
}

func (s *Server) isFounder(name string) bool {
	return slices.ContainsFunc(s.founders, func(f parley.Controller) bool { return f.Name == name })
}

// toldBackends takes words of another controller; what is news here is passed on to the carriers at once, as the one
// that it came from may be gone before it told them all.
func (s *Server) toldBackends(words []parley.Backend) {
	if news := s.table.Told(s.now(), words); len(news) > 0 {
		s.later(news)
		s.steer.changed()
	}
}

// spread tells carriers and controllers of words that are news.
func (s *Server) spread(news []parley.Backend) {
	if len(news) == 0 {
		return
	}
	m := &parley.Message{Backends: news}
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
func (s *Server) spreadSure(news []parley.Backend, done chan<- error) {
	write, _ := s.replica.Quorums()
	s.seq++
	m, n := &parley.Message{Seq: s.seq, Backends: news}, 0
	s.flush() // in their order
	s.toCarriers(&parley.Message{Backends: news})
	for _, p := range s.peers {
		if p.out != nil {
			p.out.Send(m)
			n++
		}
	}
	s.steer.changed()
	if write > 0 && write-1 <= 0 {
		done <- nil
		return
	}
	s.words[s.seq] = &word{need: max(write-1, 1), until: s.now() + wordFor, done: done}
}

func (s *Server) heardCarrier(from parley.Hello, line *parley.Line, m *parley.Message) {
	now := s.now()
	c := s.carriers[line]
	if m.Hello != nil && c == nil {
		c = &carrier{who: from.Who, line: line}
		s.carriers[line] = c
		first := &parley.Message{Hello: &parley.Hello{Who: s.me, Life: s.life}, Know: s.known(), Founders: s.founders,
			Held: map[string]parley.Stamp{}, Safe: map[string]parley.Stamp{}, All: s.replica.Votes(),
			Backends: s.table.Own(now), Settled: s.settled, Members: s.table.Members()}
		for _, name := range s.replica.Names() {
			r, safe := s.replica.Newest(name)
			if first.Held[name] = r.Stamp; safe {
				first.Safe[name] = r.Stamp
				if name != charterName {
					first.Offers = append(first.Offers, r)
				}
			}
		}
		line.Send(first)
	}
	if c == nil {
		return
	}
	if m.Renew > 0 {
		line.Send(&parley.Message{Renewed: m.Renew})
		s.table.Renew(now, parley.Member{Name: c.who.Name, Zone: c.who.Zone})
		s.steer.report(c, m)
	}
	for _, name := range m.Want {
		if r, safe := s.replica.Newest(name); safe {
			line.Send(&parley.Message{Offers: []parley.Register{r}, Safe: map[string]parley.Stamp{name: r.Stamp}})
		}
	}
	if m.Leave {
		s.table.Release(c.who.Name)
	}
}
