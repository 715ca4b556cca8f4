// Package peersync hands what an instance knows to one that starts: a transfer in parts over TCP, each a frame of cbor,
// which goes on where it broke off. The one that serves spends little on it; the one that asks goes to several, in
// an order by chance, and takes from each what comes in time. What of it counts is settled in recall/.
package peersync

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"elmfold/internal/controller/warmstart"
)

// ProtocolVersion of the wire. Another one is refused.
const ProtocolVersion = 1

const (
	perPart   = 500 // facts
	mostFrame = 1 << 20
	mostAtAll = 2 // transfers at once
	partTTL   = 30 * time.Second
	partPause = 2 * time.Millisecond // so that serving takes no turn from deciding
	patience  = time.Second          // for one frame, either way
)

// hello asks for the parts from one on, of a snapshot that is known already or of a new one.
type hello struct {
	Version  int    `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Snapshot uint64 `cbor:"3,keyasint"`
	From     int    `cbor:"4,keyasint"`
}

// part answers it. Held is how old the snapshot is, in ms: its facts are older by that.
type part struct {
	Refused  string           `cbor:"1,keyasint,omitempty"`
	Snapshot uint64           `cbor:"2,keyasint"`
	At       int              `cbor:"3,keyasint"`
	Held     int64            `cbor:"4,keyasint"`
	Facts    []warmstart.Fact `cbor:"5,keyasint"`
	Last     bool             `cbor:"6,keyasint"`
}

func write(c net.Conn, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(patience))
	_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

var errFrame = errors.New("not a frame of ours")

// read takes one frame. Whatever comes, it is bounded.
func read(in *bufio.Reader, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > mostFrame {
		return errFrame
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return err
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}

// snapshot is what is being told, all of one moment.
type snapshot struct {
	number uint64
	at     time.Time
	facts  []warmstart.Fact
}

// Server tells what an instance knows.
type Server struct {
	listener net.Listener
	facts    func() []warmstart.Fact
	log      *logrus.Entry

	mu    sync.Mutex
	busy  int
	last  snapshot
	count uint64
}

// Listen serves what facts gives, which must not wait long.
func Listen(addr string, facts func() []warmstart.Fact, log *logrus.Entry) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	// Numbers of an earlier start must not be taken for ours.
	s := &Server{listener: ln, facts: facts, log: log, count: uint64(time.Now().UnixNano())}
	go s.serve()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends it; transfers under way end by themselves.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := s.busy >= mostAtAll
		if !full {
			s.busy++
		}
		s.mu.Unlock()
		if full {
			_ = write(c, part{Refused: "busy"})
			_ = c.Close()
			continue
		}
		go func() {
			defer func() {
				_ = c.Close()
				s.mu.Lock()
				s.busy--
				s.mu.Unlock()
			}()
			if err := s.answer(c); err != nil && s.log != nil {
				s.log.WithFields(logrus.Fields{"peer": c.RemoteAddr().String(), "reason": err}).Info("a transfer ended early")
			}
		}()
	}
}

func (s *Server) answer(c net.Conn) error {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	var h hello
	if err := read(bufio.NewReader(c), &h); err != nil {
		return err
	}
	if h.Version != ProtocolVersion {
		return errors.Join(
			fmt.Errorf("version %d", h.Version),
			write(c, part{Refused: fmt.Sprintf("version %d, we speak %d", h.Version, ProtocolVersion)}),
		)
	}
	snap, from := s.take(h)
	for {
		end := min(from+perPart, len(snap.facts))
		p := part{
			Snapshot: snap.number,
			At:       from,
			Held:     time.Since(snap.at).Milliseconds(),
			Facts:    snap.facts[from:end],
			Last:     end == len(snap.facts),
		}
		if err := write(c, p); err != nil || p.Last {
			return err
		}
		from = end
		time.Sleep(partPause)
	}
}

// take gives the snapshot to go on with, a new one where that is gone.
func (s *Server) take(h hello) (snapshot, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Snapshot == s.last.number && h.Snapshot != 0 && time.Since(s.last.at) < partTTL && h.From >= 0 &&
		h.From <= len(s.last.facts) {
		return s.last, h.From
	}
	s.count++
	s.last = snapshot{s.count, time.Now(), s.facts()}
	return s.last, 0
}

// Result is how one source answered.
type Result struct {
	Source string
	Facts  int
	Err    error // nil: all came
}

// Fetch asks sources one after the other, in an order by chance, until one has told all or the time is over. Each
// part is handed on as it comes; of a transfer that broke off twice what came counts.
func Fetch(sources []string, name, seed string, within time.Duration, offered func(warmstart.Offered)) (all []Result) {
	order := slices.Clone(sources)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(seed+a), xxh3.HashString(seed+b)), cmp.Compare(a, b))
	})
	over := time.Now().Add(within)
	for _, source := range order {
		if !time.Now().Before(over) {
			break
		}
		a := Result{Source: source}
		h := hello{Version: ProtocolVersion, Name: name}
		for range 2 { // once more, from where it broke off
			if a.Err = fetchFrom(source, &h, over, func(facts []warmstart.Fact) {
				a.Facts += len(facts)
				offered(warmstart.Offered{Source: source, Facts: facts})
			}); a.Err == nil || errors.Is(a.Err, errRefused) || errors.Is(a.Err, errFrame) {
				break
			}
		}
		if all = append(all, a); a.Err == nil {
			break
		}
	}
	return all
}

var errRefused = errors.New("refused")

func fetchFrom(source string, h *hello, over time.Time, offered func([]warmstart.Fact)) error {
	dialer := net.Dialer{Deadline: over, Timeout: patience}
	c, err := dialer.Dial("tcp", source)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := write(c, h); err != nil {
		return err
	}
	in := bufio.NewReader(c)
	for {
		deadline := time.Now().Add(patience)
		if over.Before(deadline) {
			deadline = over
		}
		_ = c.SetReadDeadline(deadline)
		var p part
		if err := read(in, &p); err != nil {
			return err
		}
		switch {
		case p.Refused != "":
			return fmt.Errorf("%w: %s", errRefused, p.Refused)
		case p.Snapshot != h.Snapshot && p.At != 0,
			p.Snapshot == h.Snapshot && p.At != h.From,
			len(p.Facts) == 0 && !p.Last,
			p.Held < 0:
			return fmt.Errorf("%w: part %d of %d", errFrame, p.At, p.Snapshot)
		}
		for i := range p.Facts {
			p.Facts[i].Age += time.Duration(p.Held) * time.Millisecond
		}
		offered(p.Facts)
		if h.Snapshot, h.From = p.Snapshot, p.At+len(p.Facts); p.Last {
			return nil
		}
	}
}
