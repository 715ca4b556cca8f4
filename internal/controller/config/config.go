// Package config is the one place that reads what a controller is told, at its start and when the file has been
// replaced: the environment and the file of settings. It checks both, fills in defaults, and names the key that is
// at fault.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"reflect"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/controller/flatsettings"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/policy"
)

// Config is what a controller is told.
type Config struct {
	Name, Listen, Discovery string
	Cores                   float64
	MemoryMB, Sockets       int
	Tick                    time.Duration // within it, events are one moment
	Deployment              policy.Deployment
	Names                   flatsettings.Names
	CachedList              reconcile.List // the list as it was held last
}

// Where the file leaves a limit out.
const (
	usualCores    = 1.0
	usualMemoryMB = 192
	usualSockets  = 1024
	usualTick     = 4 * time.Millisecond
	longestTick   = 50 * time.Millisecond
)

var errMissing = errors.New("missing")

// tree is the file; the first key that is missing or unreadable is kept in err.
type tree struct {
	top any
	err error
}

func (t *tree) fail(key string, err error) {
	if t.err == nil {
		t.err = fmt.Errorf("%s: %w", key, err)
	}
}

func (t *tree) at(key string) any {
	v := t.top
	for _, name := range strings.Split(key, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		v = m[name]
	}
	return v
}

func (t *tree) text(key string) string {
	v := t.at(key)
	s, ok := v.(string)
	if v != nil && !ok {
		t.fail(key, errors.New("not a text"))
	}
	return s
}

// above reads a number that must be greater than zero where it stands at all.
func (t *tree) above(key string, otherwise float64) float64 {
	v := t.at(key)
	if v == nil {
		return otherwise
	}
	n, _ := v.(json.Number)
	f, err := n.Float64()
	if err != nil || f <= 0 || f > 1e9 {
		t.fail(key, fmt.Errorf("not a number above 0: %.40q", fmt.Sprint(v)))
		return otherwise
	}
	return f
}

// names reads a list of texts; where field is given, of objects that hold the text there.
func (t *tree) names(key, field string) []string {
	items, ok := t.at(key).([]any)
	if !ok || len(items) == 0 {
		t.fail(key, errMissing)
		return nil
	}
	var names []string
	for i, v := range items {
		if field != "" {
			m, _ := v.(map[string]any)
			v = m[field]
		}
		s, ok := v.(string)
		if !ok || s == "" {
			t.fail(strings.TrimSuffix(key+"."+strconv.Itoa(i)+"."+field, "."), errors.New("not a name"))
			return nil
		}
		names = append(names, s)
	}
	return names
}

// flatten writes nested settings as flat keys: lists of plain values joined, lists of objects numbered.
func flatten(flat map[string]string, at string, v any) {
	under := func(name string) string { return strings.TrimPrefix(at+"."+name, ".") }
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for name, w := range v {
			flatten(flat, under(name), w)
		}
	case []any:
		var plain []string
		for i, w := range v {
			if _, ok := w.(map[string]any); ok {
				flat[under("count")] = strconv.Itoa(len(v))
				flatten(flat, under(strconv.Itoa(i)), w)
			} else {
				plain = append(plain, fmt.Sprint(w))
			}
		}
		if len(plain) > 0 || len(v) == 0 {
			flat[at] = strings.Join(plain, ",")
		}
	default:
		flat[at] = fmt.Sprint(v)
	}
}

// Load reads the environment and the file that it names.
func Load(env func(string) string, file func(string) ([]byte, error)) (Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w", errMissing)
	}
	text, err := file(path)
	if err != nil {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	t := &tree{}
	in := json.NewDecoder(bytes.NewReader(text))
	in.UseNumber()
	if err := in.Decode(&t.top); err != nil {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	said := func(first, second, name string) string {
		v := cmp.Or(first, second)
		if v == "" {
			t.fail(name, errMissing)
		}
		return v
	}
	s := Config{
		Name:   said(env("EDGE_NAME"), t.text("name"), "EDGE_NAME"),
		Listen: said(env("EDGE_LISTEN"), t.text("listen"), "EDGE_LISTEN"),
		// The file goes first: it can be replaced while the program runs, its environment cannot.
		Discovery: said(t.text("discovery"), env("EDGE_DISCOVERY"), "EDGE_DISCOVERY"),
		Cores:     t.above("limits.cores", usualCores),
		MemoryMB:  int(t.above("limits.memory_mb", usualMemoryMB)),
		Sockets:   int(t.above("limits.sockets", usualSockets)),
		Names: flatsettings.Names{Products: t.names("settings.Classes", "Name"),
			Zones: t.names("settings.Zones", ""), Kinds: t.names("settings.Shapes", "")},
	}
	if _, _, err := net.SplitHostPort(s.Discovery); err != nil {
		t.fail("discovery", err)
	}
	if len(s.Names.Products) > flatsettings.MaxProducts {
		t.fail("settings.Classes", fmt.Errorf("more than %d", flatsettings.MaxProducts))
	}
	t.above("settings.Specifics.ProxyCount", 0)
	if t.at("settings.Specifics.ProxyCount") == nil {
		t.fail("settings.Specifics.ProxyCount", errMissing)
	}
	tick := t.above("settings.Granularity", float64(usualTick/time.Microsecond))
	s.Tick = min(time.Duration(tick)*time.Microsecond, longestTick)
	if known := t.at("known"); known != nil {
		text, _ := json.Marshal(known)
		if s.CachedList, err = reconcile.ParseList(text); err != nil {
			t.fail("known", err)
		}
		for i, m := range s.CachedList.Members {
			if m.Phase == reconcile.Unreadable {
				t.fail(fmt.Sprint("known.members.", i), errors.New("not a backend"))
			}
		}
	}
	if t.err != nil {
		return Config{}, t.err
	}
	flat := map[string]string{}
	flatten(flat, "", t.at("settings"))
	if s.Deployment, err = flatsettings.Decode(flat); err != nil {
		return Config{}, err
	}
	// By its name: controllers that start in one instant do not all act in the same instants for good.
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Name))
	s.Deployment.FirstTick = 1 + policy.Time(h.Sum64()%uint64(policy.Second))
	return s, nil
}

// KeysNeedingRestart returns the top-level keys that differ in next and that a running controller cannot apply.
// CachedList is not compared: a running controller already has a list.
func (s Config) KeysNeedingRestart(next Config) (keys []string) {
	for _, k := range []struct {
		key       string
		now, then any
	}{
		{"name", s.Name, next.Name}, {"listen", s.Listen, next.Listen},
		{"settings", []any{s.Deployment, s.Names, s.Tick}, []any{next.Deployment, next.Names, next.Tick}},
	} {
		if !reflect.DeepEqual(k.now, k.then) {
			keys = append(keys, k.key)
		}
	}
	return keys
}
