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

// File is the content of an operator file. A feature without a section is nil and turned off.
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

// Jobs configures the storage of jobs and their edits.
type Jobs struct {
	Path  string
	Peers []string // members that must see an edit before it is compacted; empty: all members ever seen
}

// Member configures the membership of this instance in a fleet.
type Member struct {
	Listen                 string
	Site                   string
	Join                   []string
	AddressOverrides       map[string]string // by member name; in place of the listen address
	ShareTotals            bool              // with the other members
	Streams                string            // listen address for streams of other members
	StreamAddressOverrides map[string]string // by member name; in place of the address that the member announces
}

// Channel configures the pub-sub channel.
type Channel struct {
	Listen    string
	Linger    time.Duration // how long a disconnected subscriber is kept
	Onlookers int           // limit per topic
}

// Peers configures the instances that exchange their warm state.
type Peers struct {
	Listen       string   // empty: serve no peers
	Addresses    []string // queried at the start
	QueryTimeout time.Duration
}

// Store configures the file that keeps the warm state across restarts.
type Store struct {
	Path  string
	Limit int           // bytes
	Grace time.Duration // maximum age of state to restore
}

// Registry configures the key-value registry that holds the list of backends.
type Registry struct {
	Kind      string // Etcd or Consul
	Endpoints []string
	Access    discovery.Access
	Config    reconcile.Config // without its seed
}

// Kinds of registry.
const (
	Etcd   = "etcd"
	Consul = "consul"
)

// Read parses the file at path. A non-nil error is of type FileErrors.
func Read(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, FileErrors{{File: path, Problem: err.Error(), Fix: "name a readable file"}}
	}
	return Parse(path, string(text))
}

// Parse parses the text of a file. name is the file name in errors. A non-nil error is of type FileErrors.
func Parse(name, text string) (File, error) {
	p := &parser{file: name}
	var f File
	seen := map[string]int{}
	var tenants []tenancy.Tenant
	var lines []int
	for _, s := range p.parseSections(text) {
		name := s.name
		if s.name == "tenant" && len(s.arguments) == 1 {
			name += " " + s.arguments[0]
		}
		if first := seen[name]; first > 0 {
			p.addError(s.line, "merge the sections", "duplicate section %s, first in line %d", name, first)
			continue
		}
		seen[name] = s.line
		switch s.name {
		case "registry":
			f.Registry = p.parseRegistry(s)
		case "cells":
			f.Cells = p.parseCells(s)
		case "tenant":
			tenants, lines = append(tenants, p.parseTenant(s)), append(lines, s.line)
		case "control":
			f.Control = p.parseControl(s)
		case "store":
			f.Store = p.parseStore(s)
		case "peers":
			f.Peers = p.parsePeers(s)
		case "channel":
			f.Channel = p.parseChannel(s)
		case "member":
			f.Member = p.parseMember(s)
		case "jobs":
			f.Jobs = p.parseJobs(s)
		default:
			p.addError(
				s.line,
				suggest(s.name, []string{"cells", "channel", "control", "jobs", "member", "peers", "registry", "store", "tenant"}),
				"unknown section %q",
				s.name,
			)
		}
	}
	if f.Jobs != nil && (f.Member == nil || f.Member.Streams == "") {
		p.addError(
			seen["jobs"],
			"add a member section with a line such as: streams 10.0.0.1:7951",
			"jobs requires a member section with streams",
		)
	}
	if len(p.errors) == 0 {
		p.checkTenants(&f, tenants, lines)
	}
	if len(p.errors) > 0 {
		slices.SortStableFunc(p.errors, func(a, b FileError) int { return a.Line - b.Line })
		return File{}, p.errors
	}
	return f, nil
}

// rule checks and stores the arguments of a directive. apply is called only with minArgs to maxArgs of them.
type rule struct {
	minArgs, maxArgs int
	example          string
	apply            func(d directive, words []string)
}

// parseDirectives applies rules to the directives of a section. A directive may be repeated only if its rule accepts
// a list. The result maps directives to the lines of their first use.
func (p *parser) parseDirectives(s section, rules map[string]rule) (lines map[string]int) {
	lines = map[string]int{}
	for _, d := range s.directives {
		rule, ok := rules[d.name]
		switch first := lines[d.name]; {
		case !ok:
			known := slices.Sorted(maps.Keys(rules))
			p.addError(d.line, suggest(d.name, known), "unknown directive %q in section %s", d.name, s.name)
			continue
		case first > 0 && rule.maxArgs < maxListArgs:
			p.addError(d.line, "remove one of them", "duplicate directive %s, first in line %d", d.name, first)
			continue
		case len(d.arguments) < rule.minArgs:
			p.addError(d.line, "write "+d.name+" "+rule.example, "%s has too few arguments", d.name)
		case len(d.arguments) > rule.maxArgs:
			extra := d.arguments[rule.maxArgs]
			p.addError(d.line, "write "+d.name+" "+rule.example, "%s has too many arguments: %q", d.name, extra)
		default:
			rule.apply(d, d.arguments)
		}
		if lines[d.name] == 0 {
			lines[d.name] = d.line
		}
	}
	return lines
}

// maxListArgs is the limit of arguments for a directive that accepts a list.
const maxListArgs = 64

// durationRule accepts a duration from least to most.
func (p *parser) durationRule(into *time.Duration, least, most time.Duration) rule {
	return rule{1, 1, least.String(), func(d directive, w []string) {
		v, err := time.ParseDuration(w[0])
		if _, plain := strconv.ParseFloat(w[0], 64); plain == nil && w[0] != "0" {
			p.addError(
				d.line,
				fmt.Sprintf("write %s %ss or %sms", d.name, w[0], w[0]),
				"%s %q has no unit",
				d.name,
				w[0],
			)
		} else if err != nil {
			p.addError(d.line, "write a duration such as "+d.name+" 1.5s", "%s %q is not a duration", d.name, w[0])
		} else if v < least || v > most {
			p.addError(d.line, fmt.Sprintf("write a duration from %v to %v", least, most), "%s %v is out of range", d.name, v)
		} else {
			*into = v
		}
	}}
}

// countRule accepts a whole number from least to most.
func (p *parser) countRule(into *int, least, most int) rule {
	return rule{1, 1, strconv.Itoa(least), func(d directive, w []string) {
		v, err := strconv.Atoi(w[0])
		if err != nil || v < least || v > most {
			fix := fmt.Sprintf("write a whole number from %d to %d", least, most)
			p.addError(d.line, fix, "%s %q is not valid", d.name, w[0])
			return
		}
		*into = v
	}}
}

var sizeUnits = []struct {
	unit  string
	bytes int
}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"B", 1}}

// sizeRule accepts a size from least to most bytes.
func (p *parser) sizeRule(into *int, least, most int) rule {
	return rule{1, 1, "64KB", func(d directive, w []string) {
		for _, s := range sizeUnits {
			text, ok := strings.CutSuffix(w[0], s.unit)
			if v, err := strconv.Atoi(text); ok && err == nil && v >= 0 && v <= most/s.bytes && v*s.bytes >= least {
				*into = v * s.bytes
				return
			}
		}
		p.addError(d.line, fmt.Sprintf("write a size from %dB to %dKB", least, most>>10), "%s %q is not valid", d.name, w[0])
	}}
}

// percentRule accepts a percentage and stores it as a fraction.
func (p *parser) percentRule(into *float64) rule {
	return rule{1, 1, "50%", func(d directive, w []string) {
		text, ok := strings.CutSuffix(w[0], "%")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || !(v >= 0 && v <= 100) {
			p.addError(d.line, "write a percentage from 0% to 100%", "%s %q is not valid", d.name, w[0])
			return
		}
		*into = v / 100
	}}
}

// wordRule accepts any word. A path need not exist.
func (p *parser) wordRule(into *string, example string) rule {
	return rule{1, 1, example, func(_ directive, w []string) { *into = w[0] }}
}

// addressesRule accepts a list of HOST:PORT without duplicates.
func (p *parser) addressesRule(into *[]string) rule {
	return rule{1, maxListArgs, "10.0.0.1:2379", func(d directive, w []string) {
		for _, a := range w {
			host, port, err := net.SplitHostPort(a)
			n, portErr := strconv.ParseUint(port, 10, 16)
			switch {
			case err != nil || host == "" || portErr != nil || n == 0:
				p.addError(d.line, "write HOST:PORT, and [HOST]:PORT for IPv6", "%s %q is not a valid address", d.name, a)
			case slices.Contains(*into, a):
				p.addError(d.line, "remove one of them", "%s %s is listed twice", d.name, a)
			default:
				*into = append(*into, a)
			}
		}
	}}
}

// parseStore parses a store section.
func (p *parser) parseStore(s section) *Store {
	f := &Store{Limit: 64 << 20, Grace: 10 * time.Minute}
	lines := p.parseDirectives(s, map[string]rule{
		"file":  p.wordRule(&f.Path, "/var/lib/elmfold/state"),
		"limit": p.sizeRule(&f.Limit, 1<<20, 1<<30),
		"grace": p.durationRule(&f.Grace, time.Second, 24*time.Hour),
	})
	if lines["file"] == 0 {
		p.addError(s.line, "add a line such as: file /var/lib/elmfold/state", "store has no file")
	}
	return f
}

// parseChannel parses a channel section.
func (p *parser) parseChannel(s section) *Channel {
	c := &Channel{Linger: 5 * time.Second, Onlookers: 64}
	var listen []string
	lines := p.parseDirectives(s, map[string]rule{
		"listen":    p.addressesRule(&listen),
		"linger":    p.durationRule(&c.Linger, 100*time.Millisecond, time.Minute),
		"onlookers": p.countRule(&c.Onlookers, 0, 10000),
	})
	if c.Listen = strings.Join(listen, " "); len(listen) > 1 {
		p.addError(lines["listen"], "write one address", "listen has too many arguments: %q", listen[1])
	} else if len(listen) == 0 {
		p.addError(s.line, "add a line such as: listen 10.0.0.1:7950", "channel has no listen")
	}
	return c
}

// parseJobs parses a jobs section.
func (p *parser) parseJobs(s section) *Jobs {
	j := &Jobs{}
	lines := p.parseDirectives(s, map[string]rule{
		"file":  p.wordRule(&j.Path, "/var/lib/elmfold/jobs"),
		"count": {1, maxListArgs, "n1 n2", func(_ directive, w []string) { j.Peers = append(j.Peers, w...) }},
	})
	if lines["file"] == 0 {
		p.addError(s.line, "add a line such as: file /var/lib/elmfold/jobs", "jobs has no file")
	}
	return j
}

// parseMember parses a member section.
func (p *parser) parseMember(s section) *Member {
	m := &Member{AddressOverrides: map[string]string{}, StreamAddressOverrides: map[string]string{}}
	var listen, streams []string
	lines := p.parseDirectives(s, map[string]rule{
		"listen":  p.addressesRule(&listen),
		"site":    p.wordRule(&m.Site, "hall-a"),
		"join":    p.addressesRule(&m.Join),
		"streams": p.addressesRule(&streams),
		"sums":    {0, 0, "", func(directive, []string) { m.ShareTotals = true }},
		"via": {2, maxListArgs, "NAME 10.0.0.9:7946", func(d directive, w []string) {
			var addr []string
			if _, twice := m.AddressOverrides[w[0]]; twice || len(w) > 3 {
				p.addError(
					d.line,
					"write one line for each member: via NAME HOST:PORT, optionally followed by HOST:PORT for its streams",
					"via %q is a duplicate or has too many arguments",
					w[0],
				)
				return
			}
			if p.addressesRule(&addr).apply(d, w[1:]); len(addr) > 0 {
				m.AddressOverrides[w[0]] = addr[0]
			}
			if len(addr) > 1 {
				m.StreamAddressOverrides[w[0]] = addr[1]
			}
		}},
	})
	if m.Streams = strings.Join(streams, " "); len(streams) > 1 {
		p.addError(lines["streams"], "write one address", "streams has too many arguments: %q", streams[1])
	}
	if m.Listen = strings.Join(listen, " "); len(listen) > 1 {
		p.addError(lines["listen"], "write one address", "listen has too many arguments: %q", listen[1])
	} else if len(listen) == 0 {
		p.addError(s.line, "add a line such as: listen 10.0.0.1:7946", "member has no listen")
	} else if host, _, _ := net.SplitHostPort(listen[0]); net.ParseIP(host).To4() == nil {
		p.addError(
			lines["listen"],
			"write the IPv4 address at which the other members reach this one",
			"listen %q is not an IPv4 address",
			listen[0],
		)
	}
	if lines["site"] == 0 {
		p.addError(s.line, "add a line such as: site hall-a", "member has no site")
	}
	return m
}

// parsePeers parses a peers section.
func (p *parser) parsePeers(s section) *Peers {
	peers := &Peers{QueryTimeout: 3 * time.Second}
	var listen []string
	lines := p.parseDirectives(s, map[string]rule{
		"listen": p.addressesRule(&listen),
		"ask":    p.addressesRule(&peers.Addresses),
		"within": p.durationRule(&peers.QueryTimeout, 100*time.Millisecond, time.Minute),
	})
	if peers.Listen = strings.Join(listen, " "); len(listen) > 1 {
		p.addError(lines["listen"], "write one address", "listen has too many arguments: %q", listen[1])
	}
	if len(listen) == 0 && len(peers.Addresses) == 0 {
		p.addError(s.line, "add a line such as: ask 10.0.0.2:7947", "peers has neither listen nor ask")
	}
	return peers
}

// parseRegistry parses a registry section. Its defaults depend on the kind of registry.
func (p *parser) parseRegistry(s section) *Registry {
	g := &Registry{Config: reconcile.DefaultConfig()}
	if len(s.arguments) == 1 {
		g.Kind = s.arguments[0]
	}
	config, access := &g.Config, &g.Access
	config.Prefix = "elmfold/backends"
	switch g.Kind {
	case Etcd:
		config.WatchSendsChanges, config.SupportsCheck, config.Prefix = true, true, "/elmfold/backends"
	case Consul:
		config.ResponseTimeout, config.AuditInterval = 4*time.Second, 0 // each answer holds the complete list
	default:
		p.addError(
			s.line,
			"write registry etcd or registry consul",
			"unknown kind of registry %q",
			strings.Join(s.arguments, " "),
		)
		return nil
	}
	var files discovery.Files
	tls, minSilence := false, 200*time.Millisecond
	if g.Kind == Consul {
		minSilence = 1500 * time.Millisecond // a blocking query takes up to one second
	}
	rules := map[string]rule{
		"endpoint":      p.addressesRule(&g.Endpoints),
		"prefix":        p.wordRule(&config.Prefix, "/elmfold/backends"),
		"token-file":    p.wordRule(&access.TokenFile, "/etc/elmfold/token"),
		"tls":           {0, 0, "", func(directive, []string) { tls = true }},
		"tls-ca":        p.wordRule(&files.CA, "/etc/elmfold/ca.pem"),
		"tls-cert":      p.wordRule(&files.Cert, "/etc/elmfold/cert.pem"),
		"tls-key":       p.wordRule(&files.Key, "/etc/elmfold/key.pem"),
		"tls-name":      p.wordRule(&files.Name, "registry.example"),
		"value-limit":   p.sizeRule(&config.MaxValueSize, 64, 1<<20),
		"keys-limit":    p.countRule(&config.MaxKeys, 1, 1_000_000),
		"answer":        p.durationRule(&config.ResponseTimeout, 100*time.Millisecond, time.Minute),
		"silence":       p.durationRule(&config.WatchTimeout, minSilence, 10*time.Second),
		"pause":         p.durationRule(&config.MinBackoff, time.Millisecond, 10*time.Second),
		"pause-limit":   p.durationRule(&config.MaxBackoff, time.Millisecond, time.Minute),
		"refusal-limit": p.durationRule(&config.MaxRejectedBackoff, time.Millisecond, time.Hour),
		"spread":        p.durationRule(&config.ReloadJitter, 0, time.Minute),
		"read-gap":      p.durationRule(&config.MinReloadInterval, 0, time.Minute),
		"hold":          p.durationRule(&config.RestoredListHold, 0, time.Hour),
		"keep-ends":     p.durationRule(&config.TombstoneRetention, time.Second, 240*time.Hour),
		"ends-limit":    p.countRule(&config.MaxTombstones, 0, 1_000_000),
		"shrink":        p.percentRule(&config.ShrinkWarnRatio),
	}
	if g.Kind == Etcd {
		rules["user"] = p.wordRule(&access.User, "elmfold")
		rules["password-file"] = p.wordRule(&access.PasswordFile, "/etc/elmfold/password")
		rules["page"] = p.countRule(&config.PageSize, 1, 10000)
		rules["ask"] = p.durationRule(&config.ProgressInterval, 50*time.Millisecond, 10*time.Second)
		rules["audit"] = p.durationRule(&config.AuditInterval, 0, 24*time.Hour)
	} else {
		rules["login"] = rule{
			2,
			2,
			"METHOD /etc/elmfold/bearer",
			func(_ directive, w []string) { access.Method, access.BearerFile = w[0], w[1] },
		}
	}
	errorsBefore := len(p.errors)
	lines := p.parseDirectives(s, rules)
	config.Prefix = strings.TrimSuffix(config.Prefix, "/")
	config.Endpoints = len(g.Endpoints)
	config.MaxPageSize = max(config.MaxPageSize, config.PageSize)
	lastLine := func(names ...string) (line int) {
		for _, n := range names {
			line = max(line, lines[n])
		}
		return line
	}
	switch {
	case len(p.errors) > errorsBefore: // further errors would only follow from these
	case lines["endpoint"] == 0:
		p.addError(s.line, "add a line such as: endpoint 10.0.0.1:2379", "registry %s has no endpoint", g.Kind)
	case config.Prefix == "" || g.Kind == Consul && strings.HasPrefix(config.Prefix, "/"):
		p.addError(
			lastLine("prefix"),
			"write a non-empty prefix, for Consul without a leading /",
			"prefix %q is not valid",
			config.Prefix,
		)
	case (access.User == "") != (access.PasswordFile == ""):
		p.addError(
			lastLine("user", "password-file"),
			"write both user and password-file",
			"user and password-file require each other",
		)
	case access.TokenFile != "" && (access.User != "" || access.Method != ""):
		p.addError(lastLine("token-file", "user", "login"), "keep one of them", "token-file excludes user and login")
	case (files.Cert == "") != (files.Key == ""):
		p.addError(
			lastLine("tls-cert", "tls-key"),
			"write both tls-cert and tls-key",
			"tls-cert and tls-key require each other",
		)
	case g.Kind == Etcd && config.ProgressInterval >= config.WatchTimeout:
		p.addError(
			lastLine("ask", "silence"),
			fmt.Sprintf("write ask under silence, which is %v", config.WatchTimeout),
			"ask %v is not under silence",
			config.ProgressInterval,
		)
	case config.MinBackoff > config.MaxBackoff:
		p.addError(
			lastLine("pause", "pause-limit"),
			fmt.Sprintf("write pause up to pause-limit, which is %v", config.MaxBackoff),
			"pause %v exceeds pause-limit",
			config.MinBackoff,
		)
	}
	if tls || files != (discovery.Files{}) {
		access.TLS = &files
	}
	return g
}

// String summarizes the enabled features.
func (f File) String() string {
	var features []string
	if g := f.Registry; g != nil {
		features = append(
			features,
			fmt.Sprintf(
				"backends from %s, %d endpoints, prefix %s",
				g.Kind,
				len(g.Endpoints),
				g.Config.Prefix,
			),
		)
	}
	if c := f.Cells; c != nil {
		features = append(features, fmt.Sprintf("%d tenants confined to cells", len(c.Plan.Tenants)))
	}
	if f.Control != nil {
		features = append(features, "control socket at "+f.Control.Path)
	}
	if f.Store != nil {
		features = append(features, "warm state in "+f.Store.Path)
	}
	if f.Channel != nil {
		features = append(features, "pub-sub channel at "+f.Channel.Listen)
	}
	if m := f.Member; m != nil {
		features = append(
			features,
			fmt.Sprintf(
				"member of site %s at %s, totals %sshared",
				m.Site,
				m.Listen,
				map[bool]string{false: "not "}[m.ShareTotals],
			),
		)
	}
	if f.Jobs != nil {
		features = append(features, "jobs in "+f.Jobs.Path)
	}
	if f.Peers != nil {
		features = append(features, fmt.Sprintf("%d peers queried at the start", len(f.Peers.Addresses)))
	}
	if len(features) == 0 {
		return "no feature enabled"
	}
	return strings.Join(features, "; ")
}
