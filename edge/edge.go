// Package edge holds the text that proxies and collectors speak with a controller: it takes the fields that
// the decisions need out of a line, and writes the parts of an order. It knows no socket and decides nothing.
package edge

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"elmfold/choice"
)

// Ping asks for a Pong.
type Ping struct{}

// Pong is the answer to a Ping.
const Pong = "PONG\r\n"

// Source names the zone that a collector forwards reports of.
type Source struct{ Zone string }

// Joined opens a proxy's stream.
type Joined struct {
	Proxy int
	Zone  string
	Rate  float64
	Fresh bool
}

// Fenced answers a mark.
type Fenced struct{ Proxy, Number int }

// Used sums the txns of a product that came to a proxy.
type Used struct {
	Proxy        int
	Product      string
	Txns, Voided float64
	Counting     choice.Time
}

// Heard sums what the proxies of a zone met at a backend.
type Heard struct {
	Zone, Backend string
	Tries, Voided float64
	Took          choice.Time
}

// Ended says that a connection is over; nothing comes from it any more.
type Ended struct{}

// most bounds every figure; what lies beyond is no figure that a fleet could mean.
const most = 1e12

var (
	errMissing = errors.New("missing")
	errFigure  = errors.New("no figure of zero or more")
)

// fields takes the words of a line; the first that is missing or unreadable is kept in err.
type fields struct {
	line []byte
	err  error
}

func (f *fields) word(name string) []byte {
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
	w := f.word(name)
	if len(w) == 0 {
		f.fail(name, errMissing)
	}
	return string(w)
}

// figure guards the decisions against what is negative, not a number or endless.
func (f *fields) figure(name string, must bool) float64 {
	w := f.word(name)
	if len(w) == 0 {
		if must {
			f.fail(name, errMissing)
		}
		return 0
	}
	v, err := strconv.ParseFloat(string(w), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > most {
		f.fail(name, errFigure)
		return 0
	}
	return v
}

func (f *fields) number(name string) int {
	v := f.figure(name, true)
	if v != math.Trunc(v) || v > math.MaxInt32 {
		f.fail(name, errFigure)
		return 0
	}
	return int(v)
}

func (f *fields) span(name string, must bool) choice.Time {
	return choice.Time(math.Round(f.figure(name, must) * float64(choice.Second) / 1000))
}

// Parse reads a line without its end. A kind that is not known gives neither a message nor an error.
func Parse(line []byte) (any, error) {
	kind, rest, _ := bytes.Cut(line, []byte(" "))
	f := &fields{line: rest}
	var said any
	switch string(kind) {
	case "PING":
		said = Ping{}
	case "SOURCE":
		said = Source{Zone: f.name("locality")}
	case "SUBSCRIBE":
		said = Joined{Proxy: f.number("node"), Zone: f.name("locality"), Rate: f.figure("w", false),
			Fresh: f.figure("cold", false) > 0}
	case "ACK":
		said = Fenced{Proxy: f.number("node"), Number: f.number("nonce")}
	case "RATE":
		said = Used{Proxy: f.number("node"), Product: f.name("route"), Txns: f.figure("total", true),
			Voided: f.figure("errors", false), Counting: f.span("interval", true)}
	case "LOAD":
		said = Heard{Zone: f.name("locality"), Backend: f.name("endpoint"), Tries: f.figure("total", true),
			Voided: f.figure("errors", false), Took: f.span("rtt", false)}
	default:
		return nil, nil
	}
	if f.err != nil {
		return nil, fmt.Errorf("%s %w", kind, f.err)
	}
	return said, nil
}

// Line is a backend with its weight; weight 0 takes it out.
type Line struct {
	Backend string
	Weight  float64
}

// Gate is a level with the way of trying again.
type Gate struct {
	Level float64
	Tries choice.Tries
}

// Part is one line of a message to a proxy.
type Part struct {
	Products  []string // none: all
	Whole     bool
	Lines     []Line
	Gate      *Gate
	Out, Back []string
	Marked    bool
	Mark      int // that is to be answered
}

// Most parts of one message.
const Most = 64

// Cost is what the part counts for in the channel.
func (p Part) Cost() int {
	n := len(p.Lines) + len(p.Out) + len(p.Back)
	for _, has := range []bool{p.Whole, p.Gate != nil, p.Marked} {
		if has {
			n++
		}
	}
	return n
}

// figure writes without an exponent; float32 keeps the text short and is what the decisions are worth.
func figure(b []byte, v float64) []byte {
	return strconv.AppendFloat(b, min(max(v, 0), math.MaxFloat32), 'f', -1, 32)
}

func list(b []byte, field string, items []string, between byte) []byte {
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
		b = list(append(b, "CONFIG"...), "classes=", p.Products, '+')
		if p.Whole {
			b = append(b, " whole=1"...)
		}
		for j, l := range p.Lines {
			if j == 0 {
				b = append(b, " lines="...)
			} else {
				b = append(b, ',')
			}
			b = figure(append(append(b, l.Backend...), ':'), l.Weight)
		}
		if p.Gate != nil {
			b = figure(append(b, " level="...), p.Gate.Level)
			b = strconv.AppendInt(append(b, " retry="...), int64(p.Gate.Tries), 10)
		}
		b = list(list(b, "out=", p.Out, ','), "back=", p.Back, ',')
		if p.Marked {
			b = strconv.AppendInt(append(b, " ticket="...), int64(p.Mark), 10)
		}
		if i < len(parts)-1 {
			b = append(b, " more=1"...)
		}
		b = append(b, "\r\n"...)
	}
	return b
}
