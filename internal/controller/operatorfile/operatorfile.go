package operatorfile

import (
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"elmfold/internal/controller/discovery"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/tenancy"
)

// File is what an operator file says. What it has no section for is off.
type File struct {
	Registry *Registry
	Cells    *Cells
	Control  *Control
	Store    *Store
	Peers    *Peers
	Channel  *Channel
	Member   *Member
	Jobs     *Jobs
}

// Jobs is where jobs and their edits are kept.
type Jobs struct {
	Path  string
	Peers []string // for whom edits are kept; none: for whoever was ever there
}

// Member is this instance's part in a fleet of many.
type Member struct {
	Listen           string
	Site             string
	Join             []string
	AddressOverrides map[string]string // by name: where one is reached in place of where it listens
	ShareTotals      bool              // sums are told on
	// Where connections of other instances are taken, and where some are reached in place of where they say.
	Streams                string
	StreamAddressOverrides map[string]string
}

// Channel is where the pub-sub channel is served.
type Channel struct {
	Listen    string
	Linger    time.Duration // that a subscriber may be away before it has left
	Onlookers int           // of a topic, at most
}

// Peers are instances that tell each other what they know.
type Peers struct {
	Listen       string   // where we tell; empty: we do not
	Addresses    []string // whom we ask at a start
	QueryTimeout time.Duration
}

// Store is where what is known is kept over crashes.
type Store struct {
	Path  string
	Limit int // bytes
	Grace time.Duration
}

// Registry is a key-value registry that holds the list of backends.
type Registry struct {
	Kind      string // Etcd or Consul
	Endpoints []string
	Access    discovery.Access
	Config    reconcile.Config // without a seed
}

// Kinds of registry.
const (
	Etcd   = "etcd"
	Consul = "consul"
)

// Read takes a file from disk. The error is Faults.
func Read(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, FileErrors{{File: path, Problem: err.Error(), Fix: "name a file that can be read"}}
	}
	return Parse(path, string(text))
}

// Parse takes a file's text; name stands in the errors, which are Faults.
func Parse(name, text string) (File, error) {
	r := &reader{file: name}
	var f File
	seen := map[string]int{}
	var tenants []tenancy.Tenant
	var lines []int
	for _, s := range r.sections(text) {
		name := s.name
		if s.name == "tenant" && len(s.arguments) == 1 {
			name += " " + s.arguments[0]
		}
		if first := seen[name]; first > 0 {
			r.fault(s.line, "put both into one", "a second section %s; the first is in line %d", name, first)
			continue
		}
		seen[name] = s.line
		switch s.name {
		case "registry":
			f.Registry = r.registry(s)
		case "cells":
			f.Cells = r.cells(s)
		case "tenant":
			tenants, lines = append(tenants, r.tenant(s)), append(lines, s.line)
		case "control":
			f.Control = r.control(s)
		case "store":
			f.Store = r.store(s)
		case "peers":
			f.Peers = r.peers(s)
		case "channel":
			f.Channel = r.channel(s)
		case "member":
			f.Member = r.member(s)
		case "jobs":
			f.Jobs = r.jobs(s)
		default:
			r.fault(
				s.line,
				nearest(s.name, []string{"cells", "channel", "control", "jobs", "member", "peers", "registry", "store", "tenant"}),
				"no section is named %q",
				s.name,
			)
		}
	}
	if f.Jobs != nil && (f.Member == nil || f.Member.Streams == "") {
		r.fault(
			seen["jobs"],
			"add a section member with a line such as: streams 10.0.0.1:7951",
			"jobs has no member with streams",
		)
	}
	if len(r.faults) == 0 {
		r.fit(&f, tenants, lines)
	}
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b FileError) int { return a.Line - b.Line })
		return File{}, r.faults
	}
	return f, nil
}

// rule reads one directive's words into where it belongs. least and most bound how many there are.
type rule struct {
	least, most int
	example     string
	read        func(d directive, words []string)
}

// obey reads the directives of a section; each may stand once, unless its rule takes any number of words.
func (r *reader) obey(s section, rules map[string]rule) (at map[string]int) {
	at = map[string]int{}
	for _, d := range s.inner {
		rule, ok := rules[d.name]
		switch first := at[d.name]; {
		case !ok:
			r.fault(d.line, nearest(d.name, slices.Sorted(maps.Keys(rules))), "%s has no directive %q", s.name, d.name)
			continue
		case first > 0 && rule.most < many:
			r.fault(d.line, "take one of them out", "%s stands in line %d already", d.name, first)
			continue
		case len(d.arguments) < rule.least:
			r.fault(d.line, "write "+d.name+" "+rule.example, "%s says too little", d.name)
		case len(d.arguments) > rule.most:
			r.fault(d.line, "write "+d.name+" "+rule.example, "%s says too much: %q", d.name, d.arguments[rule.most])
		default:
			rule.read(d, d.arguments)
		}
		if at[d.name] == 0 {
			at[d.name] = d.line
		}
	}
	return at
}

const many = 64

// span reads a time of at least one and at most another.
func (r *reader) span(into *time.Duration, least, most time.Duration) rule {
	return rule{1, 1, least.String(), func(d directive, w []string) {
		v, err := time.ParseDuration(w[0])
		if _, plain := strconv.ParseFloat(w[0], 64); plain == nil && w[0] != "0" {
			r.fault(
				d.line,
				fmt.Sprintf("write %s %ss or %sms, as is meant", d.name, w[0], w[0]),
				"%s %q has no unit",
				d.name,
				w[0],
			)
		} else if err != nil {
			r.fault(d.line, "write a span such as "+d.name+" 1.5s", "%s %q is no span of time", d.name, w[0])
		} else if v < least || v > most {
			r.fault(d.line, fmt.Sprintf("write a span from %v to %v", least, most), "%s %v is out of range", d.name, v)
		} else {
			*into = v
		}
	}}
}

func (r *reader) count(into *int, least, most int) rule {
	return rule{1, 1, strconv.Itoa(least), func(d directive, w []string) {
		v, err := strconv.Atoi(w[0])
		if err != nil || v < least || v > most {
			r.fault(d.line, fmt.Sprintf("write a whole number from %d to %d", least, most), "%s %q is none", d.name, w[0])
			return
		}
		*into = v
	}}
}

var sizes = []struct {
	unit  string
	bytes int
}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"B", 1}}

func (r *reader) size(into *int, least, most int) rule {
	return rule{1, 1, "64KB", func(d directive, w []string) {
		for _, s := range sizes {
			text, ok := strings.CutSuffix(w[0], s.unit)
			if v, err := strconv.Atoi(text); ok && err == nil && v >= 0 && v <= most/s.bytes && v*s.bytes >= least {
				*into = v * s.bytes
				return
			}
		}
		r.fault(d.line, fmt.Sprintf("write a size from %dB to %dKB", least, most>>10), "%s %q is none", d.name, w[0])
	}}
}

// part reads a percentage; 0% is never.
func (r *reader) part(into *float64) rule {
	return rule{1, 1, "50%", func(d directive, w []string) {
		text, ok := strings.CutSuffix(w[0], "%")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || !(v >= 0 && v <= 100) {
			r.fault(d.line, "write a part from 0% to 100%", "%s %q is none", d.name, w[0])
			return
		}
		*into = v / 100
	}}
}

// parseWord reads a name or a path, which need not be there yet.
func (r *reader) parseWord(into *string, example string) rule {
	return rule{1, 1, example, func(_ directive, w []string) { *into = w[0] }}
}

// addresses reads any number of HOST:PORT.
func (r *reader) addresses(into *[]string) rule {
	return rule{1, many, "10.0.0.1:2379", func(d directive, w []string) {
		for _, a := range w {
			host, port, err := net.SplitHostPort(a)
			n, bad := strconv.ParseUint(port, 10, 16)
			switch {
			case err != nil || host == "" || bad != nil || n == 0:
				r.fault(d.line, "write HOST:PORT, and [HOST]:PORT for IPv6", "%s %q is no address", d.name, a)
			case slices.Contains(*into, a):
				r.fault(d.line, "take one of them out", "%s %s stands there twice", d.name, a)
			default:
				*into = append(*into, a)
			}
		}
	}}
}

// store reads the section store.
func (r *reader) store(s section) *Store {
	f := &Store{Limit: 64 << 20, Grace: 10 * time.Minute}
	at := r.obey(s, map[string]rule{
		"file":  r.parseWord(&f.Path, "/var/lib/elmfold/state"),
		"limit": r.size(&f.Limit, 1<<20, 1<<30),
		"grace": r.span(&f.Grace, time.Second, 24*time.Hour),
	})
	if at["file"] == 0 {
		r.fault(s.line, "add a line such as: file /var/lib/elmfold/state", "store has no file")
	}
	return f
}

// channel reads the section channel.
func (r *reader) channel(s section) *Channel {
	c := &Channel{Linger: 5 * time.Second, Onlookers: 64}
	var listen []string
	at := r.obey(s, map[string]rule{
		"listen":    r.addresses(&listen),
		"linger":    r.span(&c.Linger, 100*time.Millisecond, time.Minute),
		"onlookers": r.count(&c.Onlookers, 0, 10000),
	})
	if c.Listen = strings.Join(listen, " "); len(listen) > 1 {
		r.fault(at["listen"], "write one address", "listen says too much: %q", listen[1])
	} else if len(listen) == 0 {
		r.fault(s.line, "add a line such as: listen 10.0.0.1:7950", "channel has no listen")
	}
	return c
}

// jobs reads the section jobs.
func (r *reader) jobs(s section) *Jobs {
	j := &Jobs{}
	at := r.obey(s, map[string]rule{
		"file":  r.parseWord(&j.Path, "/var/lib/elmfold/jobs"),
		"count": {1, many, "n1 n2", func(_ directive, w []string) { j.Peers = append(j.Peers, w...) }},
	})
	if at["file"] == 0 {
		r.fault(s.line, "add a line such as: file /var/lib/elmfold/jobs", "jobs has no file")
	}
	return j
}

// member reads the section member.
func (r *reader) member(s section) *Member {
	m := &Member{AddressOverrides: map[string]string{}, StreamAddressOverrides: map[string]string{}}
	var listen, streams []string
	at := r.obey(s, map[string]rule{
		"listen":  r.addresses(&listen),
		"site":    r.parseWord(&m.Site, "hall-a"),
		"join":    r.addresses(&m.Join),
		"streams": r.addresses(&streams),
		"sums":    {0, 0, "", func(directive, []string) { m.ShareTotals = true }},
		"via": {2, many, "NAME 10.0.0.9:7946", func(d directive, w []string) {
			var addr []string
			if _, twice := m.AddressOverrides[w[0]]; twice || len(w) > 3 {
				r.fault(
					d.line,
					"write one line for each: via NAME HOST:PORT, and HOST:PORT of its streams",
					"via says too much of %q",
					w[0],
				)
				return
			}
			if r.addresses(&addr).read(d, w[1:]); len(addr) > 0 {
				m.AddressOverrides[w[0]] = addr[0]
			}
			if len(addr) > 1 {
				m.StreamAddressOverrides[w[0]] = addr[1]
			}
		}},
	})
	if m.Streams = strings.Join(streams, " "); len(streams) > 1 {
		r.fault(at["streams"], "write one address", "streams says too much: %q", streams[1])
	}
	if m.Listen = strings.Join(listen, " "); len(listen) > 1 {
		r.fault(at["listen"], "write one address", "listen says too much: %q", listen[1])
	} else if len(listen) == 0 {
		r.fault(s.line, "add a line such as: listen 10.0.0.1:7946", "member has no listen")
	} else if host, _, _ := net.SplitHostPort(listen[0]); net.ParseIP(host).To4() == nil {
		r.fault(
			at["listen"],
			"write the IPv4 address at which the others reach this one",
			"listen %q is no IPv4 address",
			listen[0],
		)
	}
	if at["site"] == 0 {
		r.fault(s.line, "add a line such as: site hall-a", "member has no site")
	}
	return m
}

// peers reads the section peers.
func (r *reader) peers(s section) *Peers {
	p := &Peers{QueryTimeout: 3 * time.Second}
	var listen []string
	at := r.obey(s, map[string]rule{
		"listen": r.addresses(&listen),
		"ask":    r.addresses(&p.Addresses),
		"within": r.span(&p.QueryTimeout, 100*time.Millisecond, time.Minute),
	})
	if p.Listen = strings.Join(listen, " "); len(listen) > 1 {
		r.fault(at["listen"], "write one address", "listen says too much: %q", listen[1])
	}
	if len(listen) == 0 && len(p.Addresses) == 0 {
		r.fault(s.line, "add a line such as: ask 10.0.0.2:7947", "peers neither listen nor ask")
	}
	return p
}

func (r *reader) registry(s section) *Registry {
	g := &Registry{Config: reconcile.DefaultConfig()}
	if len(s.arguments) == 1 {
		g.Kind = s.arguments[0]
	}
	p, a := &g.Config, &g.Access
	p.Prefix = "elmfold/backends"
	switch g.Kind {
	case Etcd:
		p.WatchSendsChanges, p.SupportsCheck, p.Prefix = true, true, "/elmfold/backends"
	case Consul:
		p.ResponseTimeout, p.AuditInterval = 4*time.Second, 0 // the whole list comes in one answer
	default:
		r.fault(
			s.line,
			"write registry etcd or registry consul",
			"registry %q is of no known kind",
			strings.Join(s.arguments, " "),
		)
		return nil
	}
	var files discovery.Files
	tls, quietest := false, 200*time.Millisecond
	if g.Kind == Consul {
		quietest = 1500 * time.Millisecond // a read there blocks for a second
	}
	rules := map[string]rule{
		"endpoint":      r.addresses(&g.Endpoints),
		"prefix":        r.parseWord(&p.Prefix, "/elmfold/backends"),
		"token-file":    r.parseWord(&a.TokenFile, "/etc/elmfold/token"),
		"tls":           {0, 0, "", func(directive, []string) { tls = true }},
		"tls-ca":        r.parseWord(&files.CA, "/etc/elmfold/ca.pem"),
		"tls-cert":      r.parseWord(&files.Cert, "/etc/elmfold/cert.pem"),
		"tls-key":       r.parseWord(&files.Key, "/etc/elmfold/key.pem"),
		"tls-name":      r.parseWord(&files.Name, "registry.example"),
		"value-limit":   r.size(&p.MaxValueSize, 64, 1<<20),
		"keys-limit":    r.count(&p.MaxKeys, 1, 1_000_000),
		"answer":        r.span(&p.ResponseTimeout, 100*time.Millisecond, time.Minute),
		"silence":       r.span(&p.WatchTimeout, quietest, 10*time.Second),
		"pause":         r.span(&p.MinBackoff, time.Millisecond, 10*time.Second),
		"pause-limit":   r.span(&p.MaxBackoff, time.Millisecond, time.Minute),
		"refusal-limit": r.span(&p.MaxRejectedBackoff, time.Millisecond, time.Hour),
		"spread":        r.span(&p.ReloadJitter, 0, time.Minute),
		"read-gap":      r.span(&p.MinReloadInterval, 0, time.Minute),
		"hold":          r.span(&p.HistoryHold, 0, time.Hour),
		"keep-ends":     r.span(&p.TombstoneRetention, time.Second, 240*time.Hour),
		"ends-limit":    r.count(&p.MaxTombstones, 0, 1_000_000),
		"shrink":        r.part(&p.ShrinkWarnRatio),
	}
	if g.Kind == Etcd {
		rules["user"] = r.parseWord(&a.User, "elmfold")
		rules["password-file"] = r.parseWord(&a.PasswordFile, "/etc/elmfold/password")
		rules["page"] = r.count(&p.PageSize, 1, 10000)
		rules["ask"] = r.span(&p.ProgressInterval, 50*time.Millisecond, 10*time.Second)
		rules["audit"] = r.span(&p.AuditInterval, 0, 24*time.Hour)
	} else {
		rules["login"] = rule{
			2,
			2,
			"METHOD /etc/elmfold/bearer",
			func(_ directive, w []string) { a.Method, a.BearerFile = w[0], w[1] },
		}
	}
	faults := len(r.faults)
	at := r.obey(s, rules)
	p.Prefix = strings.TrimSuffix(p.Prefix, "/")
	p.Endpoints = len(g.Endpoints)
	p.MaxPageSize = max(p.MaxPageSize, p.PageSize)
	last := func(names ...string) (line int) {
		for _, n := range names {
			line = max(line, at[n])
		}
		return line
	}
	switch {
	case len(r.faults) > faults: // what follows from them is no news
	case at["endpoint"] == 0:
		r.fault(s.line, "add a line such as: endpoint 10.0.0.1:2379", "registry %s has no endpoint", g.Kind)
	case p.Prefix == "" || g.Kind == Consul && strings.HasPrefix(p.Prefix, "/"):
		r.fault(
			last("prefix"),
			"write a prefix that is not empty, for Consul without the first /",
			"prefix %q is none",
			p.Prefix,
		)
	case (a.User == "") != (a.PasswordFile == ""):
		r.fault(last("user", "password-file"), "write user and password-file, both", "half of a user and a password")
	case a.TokenFile != "" && (a.User != "" || a.Method != ""):
		r.fault(last("token-file", "user", "login"), "keep one of them", "a token and another way to be let in")
	case (files.Cert == "") != (files.Key == ""):
		r.fault(last("tls-cert", "tls-key"), "write tls-cert and tls-key, both", "half of a certificate and its key")
	case g.Kind == Etcd && p.ProgressInterval >= p.WatchTimeout:
		r.fault(
			last("ask", "silence"),
			fmt.Sprintf("write ask under silence, which is %v", p.WatchTimeout),
			"ask %v leaves no time to answer",
			p.ProgressInterval,
		)
	case p.MinBackoff > p.MaxBackoff:
		r.fault(
			last("pause", "pause-limit"),
			fmt.Sprintf("write pause up to pause-limit, which is %v", p.MaxBackoff),
			"pause %v is over its limit",
			p.MinBackoff,
		)
	}
	if tls || files != (discovery.Files{}) {
		a.TLS = &files
	}
	return g
}

// String says in a few words what a file turns on.
func (f File) String() string {
	var on []string
	if g := f.Registry; g != nil {
		on = append(
			on,
			fmt.Sprintf(
				"the list of backends comes from %s, %d endpoints, prefix %s",
				g.Kind,
				len(g.Endpoints),
				g.Config.Prefix,
			),
		)
	}
	if c := f.Cells; c != nil {
		on = append(on, fmt.Sprintf("%d tenants are confined", len(c.Plan.Tenants)))
	}
	if f.Control != nil {
		on = append(on, "operators are answered at "+f.Control.Path)
	}
	if f.Store != nil {
		on = append(on, "what is known is kept in "+f.Store.Path)
	}
	if f.Channel != nil {
		on = append(on, "the channel is served at "+f.Channel.Listen)
	}
	if m := f.Member; m != nil {
		on = append(
			on,
			fmt.Sprintf(
				"it is a member of site %s at %s, sums are %stold on",
				m.Site,
				m.Listen,
				map[bool]string{false: "not "}[m.ShareTotals],
			),
		)
	}
	if f.Jobs != nil {
		on = append(on, "jobs are kept in "+f.Jobs.Path)
	}
	if f.Peers != nil {
		on = append(on, fmt.Sprintf("%d instances are asked at a start", len(f.Peers.Addresses)))
	}
	if len(on) == 0 {
		return "it turns on nothing"
	}
	return strings.Join(on, "; ")
}
