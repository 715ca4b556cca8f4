// Package textproto holds the text that proxies and collectors speak with a controller: it takes the fields that
// the decisions need out of a line, and writes the parts of an order. It knows no socket and decides nothing.
package textproto

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"

	"elmfold/internal/policy"
)

// Ping asks for a Pong.
type Ping struct{}

// Pong is the answer to a Ping.
const Pong = "PONG\r\n"

// Source names the zone that a collector forwards reports of.
type Source struct{ Zone string }

// Subscribe opens a proxy's stream.
type Subscribe struct {
	Proxy int
	Zone  string
	Rate  float64
	Fresh bool
}

// Ack answers a mark.
type Ack struct{ Proxy, Marker int }

// UsageReport sums the txns of a product that came to a proxy.
type UsageReport struct {
	Proxy        int
	Product      string
	Txns, Failed float64
	Period       policy.Time
}

// BackendReport sums what the proxies of a zone met at a backend.
type BackendReport struct {
	Zone, Backend    string
	Attempts, Failed float64
	Latency          policy.Time
}

// Closed says that a connection is over; nothing comes from it any more.
type Closed struct{}

// What lies beyond these is no figure that a fleet could mean.
const (
	maxPerSecond  = 1e6 // txns of a second
	maxSpan       = 600 * policy.Second
	maxIndex      = math.MaxInt32
	maxKindLength = 16
)

// ErrNotMessage says that a line is no message; its sender is of no further use.
var ErrNotMessage = errors.New("no message")

var (
	errMissing = errors.New("missing")
	errFigure  = errors.New("out of range")
	errKind    = errors.New("an unknown kind")
)

// fields takes the words of a line; the first that is missing or unreadable is kept in err.
type fields struct {
	line []byte
	err  error
}

func (f *fields) value(name string) []byte {
	for rest := f.line; len(rest) > 0; {
		var word []byte
		word, rest, _ = bytes.Cut(rest, []byte(" "))
		if at := len(name); len(word) > at && word[at] == '=' && string(word[:at]) == name {
			return word[at+1:]
		}
	}
	return nil
}

func (f *fields) fail(name string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %w", name, err)
	}
}

func (f *fields) name(name string) string {
	w := f.value(name)
	if len(w) == 0 {
		f.fail(name, errMissing)
	}
	return string(w)
}

// figure guards the decisions against what is negative, not a number or endless.
func (f *fields) figure(name string, most float64) float64 {
	w := f.value(name)
	if len(w) == 0 {
		f.fail(name, errMissing)
		return 0
	}
	v, err := strconv.ParseFloat(string(w), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > most {
		f.fail(name, errFigure)
		return 0
	}
	return v
}

func (f *fields) number(name string, most float64) int {
	v := f.figure(name, most)
	if v != math.Trunc(v) {
		f.fail(name, errFigure)
		return 0
	}
	return int(v)
}

func (f *fields) duration(name string) policy.Time {
	const unit = 1000 / float64(policy.Second)
	return policy.Time(math.Round(f.figure(name, float64(maxSpan)*unit) / unit))
}

// sums takes how many there were and how many of them failed in the time that they were counted. A report
// that stood for more than a fleet can do would drown all that others say for many ticks.
func (f *fields) sums() (all, failed float64, counting policy.Time) {
	if counting = f.duration("interval"); counting == 0 {
		f.fail("interval", errFigure)
	}
	most := maxPerSecond * float64(counting) / float64(policy.Second)
	return f.figure("total", most), f.figure("errors", most), counting
}

// DurationFromMillis is a span that is given in ms; one that cannot be is below 0.
func DurationFromMillis(ms float64) policy.Time {
	t := math.Round(ms * float64(policy.Second) / 1000)
	if math.IsNaN(t) || t < 0 || t > float64(maxSpan) {
		return -1
	}
	return policy.Time(t)
}

// isPlausible says whether sums of a span are figures that a fleet could mean.
func isPlausible(all, voided float64, counting policy.Time) bool {
	most := maxPerSecond * float64(counting) / float64(policy.Second)
	return counting > 0 && all >= 0 && all <= most && voided >= 0 && voided <= most
}

// Validate holds sums that did not come as text to the same bounds.
func (u UsageReport) Validate() error {
	if u.Product == "" || !isPlausible(u.Txns, u.Failed, u.Period) {
		return fmt.Errorf("use of %.40q %w", u.Product, errFigure)
	}
	return nil
}

// Validate holds sums that did not come as text to the same bounds.
func (h BackendReport) Validate(counting policy.Time) error {
	if h.Backend == "" || !isPlausible(h.Attempts, h.Failed, counting) || h.Failed > h.Attempts || h.Latency < 0 {
		return fmt.Errorf("tries at %.40q %w", h.Backend, errFigure)
	}
	return nil
}

// knownKinds are the kinds that proxies and collectors speak.
var knownKinds = [][]byte{
	[]byte("PING"),
	[]byte("SOURCE"),
	[]byte("SUBSCRIBE"),
	[]byte("ACK"),
	[]byte("RATE"),
	[]byte("LOAD"),
}

// MayBecomeMessage says whether a line that has not ended may become a message: a kind in capitals, then text.
func MayBecomeMessage(line []byte) bool {
	kind, _, _ := bytes.Cut(line, []byte(" "))
	for i, b := range bytes.TrimSuffix(kind, []byte("\r")) {
		if i >= maxKindLength || b < 'A' || b > 'Z' {
			return false
		}
	}
	return true
}

// isMessage says whether a line has the form of a message: a kind, then words with names. Of a kind that is
// known it may hold anything: then only its fields are at fault.
func isMessage(line []byte) bool {
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	if slices.ContainsFunc(knownKinds, func(k []byte) bool { return bytes.Equal(k, kind) }) {
		return true
	}
	for _, word := range bytes.Fields(rest) {
		if !bytes.Contains(word, []byte("=")) {
			return false
		}
	}
	other := func(r rune) bool { return r < ' ' || r > '~' }
	return MayBecomeMessage(kind) && bytes.IndexFunc(rest, other) < 0
}

// Parse reads a line without its end. Each field of a kind that is known must be there and be one that it can
// be: of a message with one at fault nothing counts.
func Parse(line []byte) (any, error) {
	if !isMessage(line) {
		return nil, fmt.Errorf("%w: %.40q", ErrNotMessage, line)
	}
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	f := &fields{line: rest}
	var said any
	switch string(kind) {
	case "PING":
		said = Ping{}
	case "SOURCE":
		said = Source{Zone: f.name("locality")}
	case "SUBSCRIBE":
		said = Subscribe{Proxy: f.number("node", maxIndex), Zone: f.name("locality"), Rate: f.figure("w", maxPerSecond),
			Fresh: f.number("cold", 1) == 1}
	case "ACK":
		f.duration("latency")
		said = Ack{Proxy: f.number("node", maxIndex), Marker: f.number("nonce", maxIndex)}
	case "RATE":
		// What fails may have come in an earlier span: there can be more of it.
		all, failed, counting := f.sums()
		said = UsageReport{Proxy: f.number("node", maxIndex), Product: f.name("route"), Txns: all, Failed: failed,
			Period: counting}
	case "LOAD":
		all, failed, _ := f.sums()
		heard := BackendReport{Zone: f.name("locality"), Backend: f.name("endpoint"), Attempts: all, Failed: failed}
		if failed > all {
			f.fail("errors", errFigure)
		} else if failed < all {
			heard.Latency = f.duration("rtt")
		}
		said = heard
	default:
		return nil, fmt.Errorf("%w: %.40q", errKind, line)
	}
	if f.err != nil {
		return nil, fmt.Errorf("%s %w", kind, f.err)
	}
	return said, nil
}

// BackendWeight is a backend with its weight; weight 0 takes it out.
type BackendWeight struct {
	Backend string
	Weight  float64
}

// Admission is a level with the way of trying again.
type Admission struct {
	RateLimit float64
	Retries   policy.RetryMode
}

// Part is one line of a message to a proxy.
type Part struct {
	Products            []string // none: all
	Full                bool
	Weights             []BackendWeight
	Admission           *Admission
	Withdrawn, Restored []string
	HasMarker           bool
	Marker              int // that is to be answered
}

// MaxParts parts of one message.
const MaxParts = 64

// Cost is what the part counts for in the channel.
func (p Part) Cost() int {
	n := len(p.Weights) + len(p.Withdrawn) + len(p.Restored)
	for _, has := range []bool{p.Full, p.Admission != nil, p.HasMarker} {
		if has {
			n++
		}
	}
	return n
}

// appendNumber writes without an exponent; float32 keeps the text short and is what the decisions are worth.
func appendNumber(b []byte, v float64) []byte {
	return strconv.AppendFloat(b, min(max(v, 0), math.MaxFloat32), 'f', -1, 32)
}

func appendList(b []byte, field string, items []string, between byte) []byte {
	for i, s := range items {
		if i == 0 {
			b = append(append(b, ' '), field...)
		} else {
			b = append(b, between)
		}
		b = append(b, s...)
	}
	return b
}

// Append writes the parts as one message.
func Append(b []byte, parts []Part) []byte {
	for i, p := range parts {
		b = appendList(append(b, "CONFIG"...), "classes=", p.Products, '+')
		if p.Full {
			b = append(b, " whole=1"...)
		}
		for j, l := range p.Weights {
			if j == 0 {
				b = append(b, " lines="...)
			} else {
				b = append(b, ',')
			}
			b = appendNumber(append(append(b, l.Backend...), ':'), l.Weight)
		}
		if p.Admission != nil {
			b = appendNumber(append(b, " level="...), p.Admission.RateLimit)
			b = strconv.AppendInt(append(b, " retry="...), int64(p.Admission.Retries), 10)
		}
		b = appendList(appendList(b, "out=", p.Withdrawn, ','), "back=", p.Restored, ',')
		if p.HasMarker {
			b = strconv.AppendInt(append(b, " ticket="...), int64(p.Marker), 10)
		}
		if i < len(parts)-1 {
			b = append(b, " more=1"...)
		}
		b = append(b, "\r\n"...)
	}
	return b
}
