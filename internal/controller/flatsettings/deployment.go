// Package flatsettings decodes a controller's settings from flat key=value pairs into a policy.Deployment.
package flatsettings

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"elmfold/internal/policy"
)

// decoder reads values by key and keeps the first error.
type decoder struct {
	text map[string]string
	err  error
}

func (d *decoder) fail(key string) {
	if d.err == nil {
		d.err = fmt.Errorf("launch settings: %s: cannot read %.40q", key, d.text[key])
	}
}

// number returns defaultValue for a key that is missing, empty, infinite or NaN.
func (d *decoder) number(key string, defaultValue float64) float64 {
	s, ok := d.text[key]
	if !ok || s == "" {
		return defaultValue
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && !math.IsInf(v, 0) {
		d.fail(key)
	}
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return defaultValue
	}
	return v
}

// count reads a number and bounds it to the range from 0 to limit.
func (d *decoder) count(key string, limit int) int {
	v := d.number(key, 0)
	return int(math.Min(math.Max(v, 0), float64(limit)))
}

// duration reads microseconds and rounds them up or down to policy.Time.
func (d *decoder) duration(key string, roundUp bool) policy.Time {
	const maxMicros = 1e15
	v := math.Min(math.Max(d.number(key, 0), 0), maxMicros) / microsPerUnit
	if roundUp {
		return policy.Time(math.Ceil(v))
	}
	return policy.Time(v)
}

func (d *decoder) flag(key string) bool {
	switch strings.ToLower(d.text[key]) {
	case "true", "1":
		return true
	case "", "false", "0":
		return false
	}
	d.fail(key)
	return false
}

func (d *decoder) list(key string) []string {
	if d.text[key] == "" {
		return nil
	}
	return strings.Split(d.text[key], ",")
}

// indices reads a list of names or indices into names; nil means that there is no restriction.
func (d *decoder) indices(key string, names []string) []int {
	var indices []int
	for _, s := range d.list(key) {
		index, err := strconv.Atoi(s)
		if err != nil {
			index = slices.Index(names, s)
		}
		if index < 0 {
			d.fail(key)
			return nil
		}
		indices = append(indices, index)
	}
	return indices
}

// Names maps the indices of products, zones and instance kinds to the names in messages.
type Names struct{ Products, Zones, Kinds []string }

// MaxProducts is the number of bits in a set of products.
const MaxProducts = 16

// microsPerUnit converts microseconds to policy.Time.
const microsPerUnit = 100

// ParseLines parses key=value lines and skips empty lines.
func ParseLines(text string) (map[string]string, error) {
	settings := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("launch settings: missing '=' in %.40q", line)
		}
		settings[key] = value
	}
	return settings, nil
}

// Decode decodes the settings and ignores unknown keys.
func Decode(settings map[string]string) (policy.Deployment, error) {
	d := &decoder{text: settings}
	zones, kinds := d.list("Zones"), d.list("Shapes")
	deployment := policy.Deployment{
		Zones:           max(len(zones), 1),
		Proxies:         d.count("Specifics.ProxyCount", 1<<16),
		ListOnRequest:   d.text["Discovery"] == "subscribe",
		Probes:          d.flag("Ceilings.Probes"),
		Shards:          d.count("Specifics.Shards", 1<<16),
		HonorRemovals:   !d.flag("Guarantees.DrainBindsAlone"),
		WarmupTime:      d.duration("Guarantees.Cold", true),
		WarmupCapacity:  d.number("Guarantees.StartCapacity", 0),
		WarmupOverload:  d.number("Guarantees.TipMultiple", 1),
		MinConns:        d.number("Specifics.SmallestConnTable", 0),
		LinesPerSecond:  d.number("Specifics.LinesPerS", 0),
		MaxQueuedLines:  d.number("Specifics.PendingMax", 0),
		MessageOverhead: d.number("Specifics.Overhead", 0),
		MaxMessages:     d.count("Specifics.PushesAllowed", 1<<20),
		MessageWindow:   d.duration("Specifics.MessagesOver", true),
	}
	switch d.text["Specifics.ThrottleBy"] {
	case "ratio":
		deployment.Limits = policy.LimitShare
	case "none":
		deployment.Limits = policy.LimitNone
	}
	for _, field := range d.list("Report.Fields") {
		gauge := policy.GaugeOther
		if field == "active" {
			gauge = policy.GaugeInFlight
		}
		deployment.Gauges = append(deployment.Gauges, gauge)
	}
	ownZone := d.list("Specifics.ClassOwnZone")
	for i := range d.count("Classes.count", MaxProducts) {
		prefix := fmt.Sprintf("Classes.%d.", i)
		deployment.Products = append(deployment.Products, policy.Product{
			Revenue:   d.number(prefix+"Credit", 0),
			SLA:       d.duration(prefix+"Promise", false),
			OnlyZones: d.indices(prefix+"OnlyZones", zones),
			OnlyKinds: d.indices(prefix+"OnlyKinds", kinds),
			OwnZone:   i < len(ownZone) && ownZone[i] == "true",
		})
	}
	return deployment, d.err
}
