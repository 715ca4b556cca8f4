// Package flatsettings decodes the settings that a controller starts with, from flat keys, into the few that
// the decisions read.
package flatsettings

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"elmfold/internal/policy"
)

// pairs reads values by key; the first that does not parse is kept in err.
type pairs struct {
	text map[string]string
	err  error
}

func (p *pairs) bad(key string) {
	if p.err == nil {
		p.err = fmt.Errorf("launch settings: %s: cannot read %.40q", key, p.text[key])
	}
}

func (p *pairs) number(key string, otherwise float64) float64 {
	s, ok := p.text[key]
	if !ok || s == "" {
		return otherwise
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && !math.IsInf(v, 0) {
		p.bad(key)
	}
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return otherwise
	}
	return v
}

func (p *pairs) count(key string, most int) int {
	v := p.number(key, 0)
	return int(math.Min(math.Max(v, 0), float64(most)))
}

// span reads microseconds; up says to which side a rest is rounded.
func (p *pairs) span(key string, up bool) policy.Time {
	v := math.Min(math.Max(p.number(key, 0), 0), 1e15) / 100
	if up {
		return policy.Time(math.Ceil(v))
	}
	return policy.Time(v)
}

func (p *pairs) flag(key string) bool {
	switch strings.ToLower(p.text[key]) {
	case "true", "1":
		return true
	case "", "false", "0":
		return false
	}
	p.bad(key)
	return false
}

func (p *pairs) list(key string) []string {
	if p.text[key] == "" {
		return nil
	}
	return strings.Split(p.text[key], ",")
}

// places reads a list of places, by number or by name; nil means that any place will do.
func (p *pairs) places(key string, names []string) []int {
	var at []int
	for _, s := range p.list(key) {
		v, err := strconv.Atoi(s)
		if err != nil {
			v = slices.Index(names, s)
		}
		if v < 0 {
			p.bad(key)
			return nil
		}
		at = append(at, v)
	}
	return at
}

// Names are the words for places on sockets, in the order in which the settings list them.
type Names struct{ Products, Zones, Kinds []string }

// MaxProducts is the width of a mask of products.
const MaxProducts = 16

// ParseLines takes a text of key=value lines apart.
func ParseLines(text string) (map[string]string, error) {
	flat := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("launch settings: no '=' in %.40q", line)
		}
		flat[key] = value
	}
	return flat, nil
}

// Decode decodes the flat keys; unknown ones are read past.
func Decode(flat map[string]string) (policy.Deployment, error) {
	p := &pairs{text: flat}
	zones, kinds := p.list("Zones"), p.list("Shapes")
	d := policy.Deployment{
		Zones:           max(len(zones), 1),
		Proxies:         p.count("Specifics.ProxyCount", 1<<16),
		ListOnRequest:   p.text["Discovery"] == "subscribe",
		Probes:          p.flag("Ceilings.Probes"),
		Shards:          p.count("Specifics.Shards", 1<<16),
		HonorRemovals:   !p.flag("Guarantees.DrainBindsAlone"),
		WarmupTime:      p.span("Guarantees.Cold", true),
		WarmupCapacity:  p.number("Guarantees.StartCapacity", 0),
		WarmupOverload:  p.number("Guarantees.TipMultiple", 1),
		MinConns:        p.number("Specifics.SmallestConnTable", 0),
		LinesPerSecond:  p.number("Specifics.LinesPerS", 0),
		MaxQueuedLines:  p.number("Specifics.PendingMax", 0),
		MessageOverhead: p.number("Specifics.Overhead", 0),
		MaxMessages:     p.count("Specifics.PushesAllowed", 1<<20),
		MessageWindow:   p.span("Specifics.MessagesOver", true),
	}
	switch p.text["Specifics.ThrottleBy"] {
	case "ratio":
		d.Limits = policy.LimitShare
	case "none":
		d.Limits = policy.LimitNone
	}
	for _, f := range p.list("Report.Fields") {
		gauge := policy.GaugeOther
		if f == "active" {
			gauge = policy.GaugeInFlight
		}
		d.Gauges = append(d.Gauges, gauge)
	}
	own := p.list("Specifics.ClassOwnZone")
	for i := range p.count("Classes.count", MaxProducts) {
		at := fmt.Sprintf("Classes.%d.", i)
		pr := policy.Product{
			Revenue:   p.number(at+"Credit", 0),
			SLA:       p.span(at+"Promise", false),
			OnlyZones: p.places(at+"OnlyZones", zones),
			OnlyKinds: p.places(at+"OnlyKinds", kinds),
			OwnZone:   i < len(own) && own[i] == "true",
		}
		d.Products = append(d.Products, pr)
	}
	return d, p.err
}
