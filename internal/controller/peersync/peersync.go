// Package peersync transfers the facts that an instance knows to one that starts. A transfer consists of parts, each a
// CBOR frame over TCP, and can resume after a broken connection. A starting instance asks several sources in random
// order. Package warmstart decides which facts to use.
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

// ProtocolVersion is the version of the wire protocol. Servers refuse other versions.
const ProtocolVersion = 1

const (
	attemptsPerSource = 2
	factsPerPart      = 500
	maxFrameSize      = 1 << 20
	maxTransfers      = 2 // concurrent transfers per server
	snapshotTTL       = 30 * time.Second
	partPause         = 2 * time.Millisecond // leaves CPU time for decisions
	frameTimeout      = time.Second          // for reading or writing one frame
)

// request asks for the parts of a snapshot from an offset on, or for a new snapshot.
type request struct {
	Version  int    `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Snapshot uint64 `cbor:"3,keyasint"` // 0: a new one
	From     int    `cbor:"4,keyasint"` // offset in facts
}

// part is one frame of a response. AgeMS is the age of the snapshot, to be added to the age of each fact.
type part struct {
	Refused  string           `cbor:"1,keyasint,omitempty"` // reason; empty: not refused
	Snapshot uint64           `cbor:"2,keyasint"`
	Offset   int              `cbor:"3,keyasint"` // of the first fact
	AgeMS    int64            `cbor:"4,keyasint"`
	Facts    []warmstart.Fact `cbor:"5,keyasint"`
	Last     bool             `cbor:"6,keyasint"`
}

func writeFrame(c net.Conn, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(frameTimeout))
	_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	return err
}

var errMalformedFrame = errors.New("malformed frame")

// readFrame reads one frame of limited size.
func readFrame(in *bufio.Reader, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameSize {
		return errMalformedFrame
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return err
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return nil
}

// snapshot holds the facts of one moment.
type snapshot struct {
	number  uint64
	takenAt time.Time
	facts   []warmstart.Fact
}

// Server serves the facts of an instance.
type Server struct {
	listener net.Listener
	facts    func() []warmstart.Fact
	log      *logrus.Entry

	mu         sync.Mutex
	transfers  int // in progress
	last       snapshot
	lastNumber uint64
}

// Listen starts a server. The facts function must return quickly.
func Listen(addr string, facts func() []warmstart.Fact, log *logrus.Entry) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	// Starting from the current time, numbers differ from those of earlier processes.
	s := &Server{listener: ln, facts: facts, log: log, lastNumber: uint64(time.Now().UnixNano())}
	go s.acceptLoop()
	return s, nil
}

// Addr returns the listening address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the listener. Transfers in progress continue.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		isBusy := s.transfers >= maxTransfers
		if !isBusy {
			s.transfers++
		}
		s.mu.Unlock()
		if isBusy {
			_ = writeFrame(c, part{Refused: "busy"})
			_ = c.Close()
			continue
		}
		go func() {
			defer func() {
				_ = c.Close()
				s.mu.Lock()
				s.transfers--
				s.mu.Unlock()
			}()
			if err := s.serveTransfer(c); err != nil && s.log != nil {
				s.log.WithFields(logrus.Fields{"peer": c.RemoteAddr().String(), "reason": err}).Info("transfer failed")
			}
		}()
	}
}

// serveTransfer answers one request with all parts from the requested offset on.
func (s *Server) serveTransfer(c net.Conn) error {
	_ = c.SetReadDeadline(time.Now().Add(frameTimeout))
	var r request
	if err := readFrame(bufio.NewReader(c), &r); err != nil {
		return err
	}
	if r.Version != ProtocolVersion {
		return errors.Join(
			fmt.Errorf("unsupported version %d", r.Version),
			writeFrame(c, part{Refused: fmt.Sprintf("version %d; this instance uses %d", r.Version, ProtocolVersion)}),
		)
	}
	snap, offset := s.snapshotFor(r)
	for {
		end := min(offset+factsPerPart, len(snap.facts))
		p := part{
			Snapshot: snap.number,
			Offset:   offset,
			AgeMS:    time.Since(snap.takenAt).Milliseconds(),
			Facts:    snap.facts[offset:end],
			Last:     end == len(snap.facts),
		}
		if err := writeFrame(c, p); err != nil || p.Last {
			return err
		}
		offset = end
		time.Sleep(partPause)
	}
}

// snapshotFor returns the snapshot and offset to resume from, or a new snapshot if the requested one has expired.
func (s *Server) snapshotFor(r request) (snapshot, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isCurrent := r.Snapshot != 0 && r.Snapshot == s.last.number && time.Since(s.last.takenAt) < snapshotTTL
	if isCurrent && r.From >= 0 && r.From <= len(s.last.facts) {
		return s.last, r.From
	}
	s.lastNumber++
	s.last = snapshot{s.lastNumber, time.Now(), s.facts()}
	return s.last, 0
}

// Result is the outcome of asking one source.
type Result struct {
	Source string
	Facts  int
	Err    error // nil: the transfer is complete
}

// Fetch asks the sources one after the other, in an order derived from the seed, until one transfer is complete or the
// timeout expires. It passes each part to offer as it arrives, and resumes a broken transfer once.
func Fetch(
	sources []string,
	name, seed string,
	timeout time.Duration,
	offer func(warmstart.Received),
) (results []Result) {
	order := slices.Clone(sources)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(seed+a), xxh3.HashString(seed+b)), cmp.Compare(a, b))
	})
	deadline := time.Now().Add(timeout)
	for _, source := range order {
		if !time.Now().Before(deadline) {
			break
		}
		result := Result{Source: source}
		r := request{Version: ProtocolVersion, Name: name}
		offerFacts := func(facts []warmstart.Fact) {
			result.Facts += len(facts)
			offer(warmstart.Received{Source: source, Facts: facts})
		}
		for range attemptsPerSource {
			result.Err = fetchFrom(source, &r, deadline, offerFacts)
			isFinal := errors.Is(result.Err, errRefused) || errors.Is(result.Err, errMalformedFrame)
			if result.Err == nil || isFinal {
				break
			}
		}
		results = append(results, result)
		if result.Err == nil {
			break
		}
	}
	return results
}

var errRefused = errors.New("refused")

// fetchFrom runs one transfer. It advances r with each part, so that a later call resumes there.
func fetchFrom(source string, r *request, deadline time.Time, offer func([]warmstart.Fact)) error {
	dialer := net.Dialer{Deadline: deadline, Timeout: frameTimeout}
	c, err := dialer.Dial("tcp", source)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := writeFrame(c, r); err != nil {
		return err
	}
	in := bufio.NewReader(c)
	for {
		frameDeadline := time.Now().Add(frameTimeout)
		if deadline.Before(frameDeadline) {
			frameDeadline = deadline
		}
		_ = c.SetReadDeadline(frameDeadline)
		var p part
		if err := readFrame(in, &p); err != nil {
			return err
		}
		switch {
		case p.Refused != "":
			return fmt.Errorf("%w: %s", errRefused, p.Refused)
		case p.Snapshot != r.Snapshot && p.Offset != 0,
			p.Snapshot == r.Snapshot && p.Offset != r.From,
			len(p.Facts) == 0 && !p.Last,
			p.AgeMS < 0:
			return fmt.Errorf("%w: unexpected part at offset %d of snapshot %d", errMalformedFrame, p.Offset, p.Snapshot)
		}
		for i := range p.Facts {
			p.Facts[i].Age += time.Duration(p.AgeMS) * time.Millisecond
		}
		offer(p.Facts)
		r.Snapshot, r.From = p.Snapshot, p.Offset+len(p.Facts)
		if p.Last {
			return nil
		}
	}
}
