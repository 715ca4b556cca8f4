// Package config loads the configuration of a controller from environment variables and a JSON file. It validates both
// and fills in defaults. Errors name the key that is invalid.
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

// Config is the configuration of a controller.
type Config struct {
	Name, Listen, Discovery string
	Cores                   float64
	MemoryMB, Sockets       int
	Tick                    time.Duration // commands that arrive within it share one policy step
	Deployment              policy.Deployment
	Names                   flatsettings.Names
	CachedList              reconcile.List // the last known list of backends
}

// Defaults of keys that the file leaves out, and a limit.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultTick     = 4 * time.Millisecond
	maxTick         = 50 * time.Millisecond
)

var errMissing = errors.New("missing")

// document is the decoded file. Its methods read values by dotted keys and record the first error.
type document struct {
	root any
	err  error
}

// recordError keeps the error of a key, unless there is one already.
func (doc *document) recordError(key string, err error) {
	if doc.err == nil {
		doc.err = fmt.Errorf("%s: %w", key, err)
	}
}

// value returns the value of a dotted key, or nil if it is missing.
func (doc *document) value(key string) any {
	v := doc.root
	for _, name := range strings.Split(key, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		v = m[name]
	}
	return v
}

// stringAt returns the string of a key, or "" if the key is missing.
func (doc *document) stringAt(key string) string {
	v := doc.value(key)
	s, ok := v.(string)
	if v != nil && !ok {
		doc.recordError(key, errors.New("not a string"))
	}
	return s
}

// positiveAt returns the positive number of a key, or fallback if the key is missing.
func (doc *document) positiveAt(key string, fallback float64) float64 {
	v := doc.value(key)
	if v == nil {
		return fallback
	}
	n, _ := v.(json.Number)
	f, err := n.Float64()
	if err != nil || f <= 0 || f > 1e9 {
		doc.recordError(key, fmt.Errorf("not a positive number: %.40q", fmt.Sprint(v)))
		return fallback
	}
	return f
}

// namesAt returns a list of non-empty strings. If field is given, the list holds objects and the strings are in that
// field of theirs.
func (doc *document) namesAt(key, field string) []string {
	items, ok := doc.value(key).([]any)
	if !ok || len(items) == 0 {
		doc.recordError(key, errMissing)
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
			item := strings.TrimSuffix(key+"."+strconv.Itoa(i)+"."+field, ".")
			doc.recordError(item, errors.New("not a non-empty string"))
			return nil
		}
		names = append(names, s)
	}
	return names
}

// flatten adds nested settings to flat under dotted keys. A list of scalars becomes one comma-separated value. A list
// of objects becomes numbered keys and a count.
func flatten(flat map[string]string, prefix string, v any) {
	child := func(name string) string { return strings.TrimPrefix(prefix+"."+name, ".") }
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for name, w := range v {
			flatten(flat, child(name), w)
		}
	case []any:
		var scalars []string
		for i, w := range v {
			if _, ok := w.(map[string]any); ok {
				flat[child("count")] = strconv.Itoa(len(v))
				flatten(flat, child(strconv.Itoa(i)), w)
			} else {
				scalars = append(scalars, fmt.Sprint(w))
			}
		}
		if len(scalars) > 0 || len(v) == 0 {
			flat[prefix] = strings.Join(scalars, ",")
		}
	default:
		flat[prefix] = fmt.Sprint(v)
	}
}

// Load reads the environment variables and the file that EDGE_CONFIG names, with the given functions.
func Load(getenv func(string) string, readFile func(string) ([]byte, error)) (Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w", errMissing)
	}
	text, err := readFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	doc := &document{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&doc.root); err != nil {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	required := func(first, second, name string) string {
		v := cmp.Or(first, second)
		if v == "" {
			doc.recordError(name, errMissing)
		}
		return v
	}
	cfg := Config{
		Name:   required(getenv("EDGE_NAME"), doc.stringAt("name"), "EDGE_NAME"),
		Listen: required(getenv("EDGE_LISTEN"), doc.stringAt("listen"), "EDGE_LISTEN"),
		// The file takes precedence, as a reload can change it but not the environment.
		Discovery: required(doc.stringAt("discovery"), getenv("EDGE_DISCOVERY"), "EDGE_DISCOVERY"),
		Cores:     doc.positiveAt("limits.cores", defaultCores),
		MemoryMB:  int(doc.positiveAt("limits.memory_mb", defaultMemoryMB)),
		Sockets:   int(doc.positiveAt("limits.sockets", defaultSockets)),
		Names: flatsettings.Names{Products: doc.namesAt("settings.Classes", "Name"),
			Zones: doc.namesAt("settings.Zones", ""), Kinds: doc.namesAt("settings.Shapes", "")},
	}
	if _, _, err := net.SplitHostPort(cfg.Discovery); err != nil {
		doc.recordError("discovery", err)
	}
	if len(cfg.Names.Products) > flatsettings.MaxProducts {
		doc.recordError("settings.Classes", fmt.Errorf("more than %d", flatsettings.MaxProducts))
	}
	doc.positiveAt("settings.Specifics.ProxyCount", 0)
	if doc.value("settings.Specifics.ProxyCount") == nil {
		doc.recordError("settings.Specifics.ProxyCount", errMissing)
	}
	tick := doc.positiveAt("settings.Granularity", float64(defaultTick/time.Microsecond))
	cfg.Tick = min(time.Duration(tick)*time.Microsecond, maxTick)
	if known := doc.value("known"); known != nil {
		text, _ := json.Marshal(known)
		if cfg.CachedList, err = reconcile.ParseList(text); err != nil {
			doc.recordError("known", err)
		}
		for i, m := range cfg.CachedList.Members {
			if m.Phase == reconcile.Unreadable {
				doc.recordError(fmt.Sprint("known.members.", i), errors.New("not a valid backend"))
			}
		}
	}
	if doc.err != nil {
		return Config{}, doc.err
	}
	flat := map[string]string{}
	flatten(flat, "", doc.value("settings"))
	if cfg.Deployment, err = flatsettings.Decode(flat); err != nil {
		return Config{}, err
	}
	// The offset depends on the name, so that controllers which start together do not tick together.
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.Name))
	cfg.Deployment.FirstTick = 1 + policy.Time(h.Sum64()%uint64(policy.Second))
	return cfg, nil
}

// KeysNeedingRestart returns the top-level keys that differ in next and that a running controller cannot apply.
// CachedList is not compared: a running controller already has a list.
func (s Config) KeysNeedingRestart(next Config) (keys []string) {
	for _, k := range []struct {
		key           string
		current, next any
	}{
		{"name", s.Name, next.Name}, {"listen", s.Listen, next.Listen},
		{"settings", []any{s.Deployment, s.Names, s.Tick}, []any{next.Deployment, next.Names, next.Tick}},
	} {
		if !reflect.DeepEqual(k.current, k.next) {
			keys = append(keys, k.key)
		}
	}
	return keys
}
