// Package textproto implements the line-based text protocol between a controller and its proxies and report collectors.
// It parses their messages and writes CONFIG messages; it does no I/O.
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

// Ping is a keep-alive that is answered with Pong.
type Ping struct{}

// Pong is the answer to a Ping.
const Pong = "PONG\r\n"

// Source opens the connection of a collector that forwards the reports of a zone.
type Source struct{ Zone string }

// Subscribe opens the configuration stream of a proxy.
type Subscribe struct {
	Proxy int
	Zone  string
	Rate  float64 // transactions per second
	Fresh bool    // whether the proxy has no configuration yet
}

// Ack acknowledges the Marker of a Part.
type Ack struct{ Proxy, Marker int }

// UsageReport counts the transactions of a product at a proxy during a period.
type UsageReport struct {
	Proxy   int
	Product string
	Txns    float64
	Failed  float64 // may exceed Txns, as failed transactions may have started in an earlier period
	Period  policy.Time
}

// BackendReport counts the attempts of the proxies of a zone at a backend during a period.
type BackendReport struct {
	Zone, Backend    string
	Attempts, Failed float64
	Latency          policy.Time // mean of the attempts that did not fail
}

// Closed reports that a connection is closed. It is the last message of the connection.
type Closed struct{}

// Upper bounds of values in messages.
const (
	maxPerSecond  = 1e6 // transactions or attempts
	maxDuration   = 600 * policy.Second
	maxInteger    = math.MaxInt32
	maxKindLength = 16
)

// ErrNotMessage is returned for a line that does not have the form of a message.
var ErrNotMessage = errors.New("not a message")

var (
	errMissing     = errors.New("missing")
	errOutOfRange  = errors.New("out of range")
	errUnknownKind = errors.New("unknown kind")
)

// fields reads the name=value fields of a line and keeps the first error.
type fields struct {
	line []byte
	err  error
}

// value returns the value of a field; it is empty if the field is missing.
func (f *fields) value(name string) []byte {
	for rest := f.line; len(rest) > 0; {
		var field []byte
		field, rest, _ = bytes.Cut(rest, []byte(" "))
		if n := len(name); len(field) > n && field[n] == '=' && string(field[:n]) == name {
			return field[n+1:]
		}
	}
	return nil
}

func (f *fields) fail(name string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %w", name, err)
	}
}

func (f *fields) text(name string) string {
	value := f.value(name)
	if len(value) == 0 {
		f.fail(name, errMissing)
	}
	return string(value)
}

// number reads a number between 0 and limit.
func (f *fields) number(name string, limit float64) float64 {
	value := f.value(name)
	if len(value) == 0 {
		f.fail(name, errMissing)
		return 0
	}
	v, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > limit {
		f.fail(name, errOutOfRange)
		return 0
	}
	return v
}

// integer reads an integer between 0 and limit.
func (f *fields) integer(name string, limit float64) int {
	v := f.number(name, limit)
	if v != math.Trunc(v) {
		f.fail(name, errOutOfRange)
		return 0
	}
	return int(v)
}

// duration reads milliseconds.
func (f *fields) duration(name string) policy.Time {
	const millisPerUnit = 1000 / float64(policy.Second)
	return policy.Time(math.Round(f.number(name, float64(maxDuration)*millisPerUnit) / millisPerUnit))
}

// counts reads the fields of a report: the total, the failures and the period. The counts are bounded, so that one
// false report cannot outweigh all others.
func (f *fields) counts() (total, failed float64, period policy.Time) {
	if period = f.duration("interval"); period == 0 {
		f.fail("interval", errOutOfRange)
	}
	limit := maxCount(period)
	return f.number("total", limit), f.number("errors", limit), period
}

// maxCount returns the highest plausible count of a period.
func maxCount(period policy.Time) float64 {
	return maxPerSecond * float64(period) / float64(policy.Second)
}

// DurationFromMillis converts milliseconds; it returns -1 for a value that is out of range.
func DurationFromMillis(ms float64) policy.Time {
	t := math.Round(ms * float64(policy.Second) / 1000)
	if math.IsNaN(t) || t < 0 || t > float64(maxDuration) {
		return -1
	}
	return policy.Time(t)
}

func isPlausible(total, failed float64, period policy.Time) bool {
	limit := maxCount(period)
	return period > 0 && total >= 0 && total <= limit && failed >= 0 && failed <= limit
}

// Validate applies the bounds of Parse to a report that was not received as text.
func (u UsageReport) Validate() error {
	if u.Product == "" || !isPlausible(u.Txns, u.Failed, u.Period) {
		return fmt.Errorf("usage of product %.40q: %w", u.Product, errOutOfRange)
	}
	return nil
}

// Validate applies the bounds of Parse to a report that was not received as text.
func (h BackendReport) Validate(period policy.Time) error {
	if h.Backend == "" || !isPlausible(h.Attempts, h.Failed, period) || h.Failed > h.Attempts || h.Latency < 0 {
		return fmt.Errorf("report on backend %.40q: %w", h.Backend, errOutOfRange)
	}
	return nil
}

// knownKinds are the kinds of messages from proxies and collectors.
var knownKinds = [][]byte{
	[]byte("PING"),
	[]byte("SOURCE"),
	[]byte("SUBSCRIBE"),
	[]byte("ACK"),
	[]byte("RATE"),
	[]byte("LOAD"),
}

// MayBecomeMessage reports whether an incomplete line can be the start of a message: a kind in capital letters,
// followed by any text.
func MayBecomeMessage(line []byte) bool {
	kind, _, _ := bytes.Cut(line, []byte(" "))
	for i, b := range bytes.TrimSuffix(kind, []byte("\r")) {
		if i >= maxKindLength || b < 'A' || b > 'Z' {
			return false
		}
	}
	return true
}

// isMessage reports whether a line has the form of a message: a kind, then fields in printable ASCII. A line of a known
// kind is always a message, whose fields may be invalid.
func isMessage(line []byte) bool {
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	if slices.ContainsFunc(knownKinds, func(known []byte) bool { return bytes.Equal(known, kind) }) {
		return true
	}
	for _, field := range bytes.Fields(rest) {
		if !bytes.Contains(field, []byte("=")) {
			return false
		}
	}
	isNotPrintable := func(r rune) bool { return r < ' ' || r > '~' }
	return MayBecomeMessage(kind) && bytes.IndexFunc(rest, isNotPrintable) < 0
}

// Parse parses a line without its line ending into one of the message types of this package. It fails if any field of
// the message is missing or out of range.
func Parse(line []byte) (any, error) {
	if !isMessage(line) {
		return nil, fmt.Errorf("%w: %.40q", ErrNotMessage, line)
	}
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	f := &fields{line: rest}
	var message any
	switch string(kind) {
	case "PING":
		message = Ping{}
	case "SOURCE":
		message = Source{Zone: f.text("locality")}
	case "SUBSCRIBE":
		message = Subscribe{Proxy: f.integer("node", maxInteger), Zone: f.text("locality"),
			Rate: f.number("w", maxPerSecond), Fresh: f.integer("cold", 1) == 1}
	case "ACK":
		f.duration("latency") // validated only
		message = Ack{Proxy: f.integer("node", maxInteger), Marker: f.integer("nonce", maxInteger)}
	case "RATE":
		total, failed, period := f.counts()
		message = UsageReport{Proxy: f.integer("node", maxInteger), Product: f.text("route"), Txns: total,
			Failed: failed, Period: period}
	case "LOAD":
		message = f.backendReport()
	default:
		return nil, fmt.Errorf("%w: %.40q", errUnknownKind, line)
	}
	if f.err != nil {
		return nil, fmt.Errorf("%s %w", kind, f.err)
	}
	return message, nil
}

func (f *fields) backendReport() BackendReport {
	total, failed, _ := f.counts()
	report := BackendReport{Zone: f.text("locality"), Backend: f.text("endpoint"), Attempts: total, Failed: failed}
	switch {
	case failed > total:
		f.fail("errors", errOutOfRange)
	case failed < total:
		report.Latency = f.duration("rtt")
	}
	return report
}

// BackendWeight is a backend with its weight; a backend of weight 0 receives no traffic.
type BackendWeight struct {
	Backend string
	Weight  float64
}

// Admission is the rate limit and the retry mode of a product.
type Admission struct {
	RateLimit float64
	Retries   policy.RetryMode
}

// Part is one line of a CONFIG message to a proxy.
type Part struct {
	Products            []string // none: all
	Full                bool     // whether Weights replaces all weights of the products
	Weights             []BackendWeight
	Admission           *Admission
	Withdrawn, Restored []string // backends
	HasMarker           bool
	Marker              int // that the proxy acknowledges
}

// MaxParts is the maximum number of parts in one message.
const MaxParts = 64

// appendNumber writes a number without an exponent. The precision of float32 is sufficient and keeps messages short.
func appendNumber(b []byte, v float64) []byte {
	return strconv.AppendFloat(b, min(max(v, 0), math.MaxFloat32), 'f', -1, 32)
}

// appendList writes a field with a list of items, or nothing if the list is empty.
func appendList(b []byte, field string, items []string, separator byte) []byte {
	for i, item := range items {
		if i == 0 {
			b = append(append(b, ' '), field...)
		} else {
			b = append(b, separator)
		}
		b = append(b, item...)
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
		for j, w := range p.Weights {
			if j == 0 {
				b = append(b, " lines="...)
			} else {
				b = append(b, ',')
			}
			b = appendNumber(append(append(b, w.Backend...), ':'), w.Weight)
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
