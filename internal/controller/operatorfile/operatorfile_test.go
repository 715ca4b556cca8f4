package operatorfile

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"math/rand"

	"elmfold/internal/controller/discovery"
	"elmfold/internal/controller/reconcile"
	"elmfold/internal/controller/tenancy"
)

func TestParseValidFiles(t *testing.T) {
	f, err := Read("testdata/good.conf")
	if err != nil {
		t.Fatal(err)
	}
	want := reconcile.DefaultConfig()
	want.Endpoints, want.Prefix, want.WatchSendsChanges, want.SupportsCheck = 3, "/elmfold/back ends", true, true
	want.PageSize, want.MaxValueSize, want.RestoredListHold = 1000, 4<<10, 45*time.Second
	want.ShrinkWarnRatio, want.AuditInterval = 0.3, 0
	if g := f.Registry; g.Kind != Etcd || g.Config != want ||
		!reflect.DeepEqual(g.Endpoints, []string{"10.3.0.1:2379", "10.3.0.2:2379", "[fd00::3]:2379"}) ||
		!reflect.DeepEqual(
			g.Access,
			discovery.Access{
				User:         "elmfold",
				PasswordFile: "/etc/elmfold/password",
				TLS:          &discovery.Files{CA: "/etc/elmfold/ca.pem"},
			},
		) {
		t.Errorf("read %+v", g)
	}
	f, err = Read("testdata/good-consul.conf")
	if g := f.Registry; err != nil || g.Kind != Consul || g.Config.WatchSendsChanges ||
		g.Config.Prefix != "elmfold/backends" ||
		g.Access.TokenFile == "" ||
		g.Access.TLS != nil {
		t.Errorf("read %+v, %v", g, err)
	}
	f, err = Read("testdata/good-cells.conf")
	if c := f.Cells; err != nil || c.Plan.Shuffle || len(c.Plan.Cells) != 2 || c.Plan.Cells[1].Share != 2 ||
		c.Plan.SettleTime != 50000 ||
		!reflect.DeepEqual(c.Plan.Tenants[0], tenancy.Tenant{Name: "acme", Proxies: []int{0, 1, 2, 3, 9}, Cell: "red"}) ||
		c.Plan.Tenants[1].Name != "two words" ||
		f.Control.Path != "/run/elmfold.sock" ||
		!reflect.DeepEqual(c.TenantsWithUnknownProxies(9), []string{"acme"}) {
		t.Errorf("read %+v, %v", f, err)
	}
	f, err = Read("testdata/good-store.conf")
	if err != nil || *f.Store != (Store{Path: "/var/lib/elmfold/state", Limit: 8 << 20, Grace: 5 * time.Minute}) {
		t.Errorf("read %+v, %v", f.Store, err)
	}
	f, err = Read("testdata/good-channel.conf")
	if err != nil || *f.Channel != (Channel{Listen: "10.0.0.1:7950", Linger: 8 * time.Second, Onlookers: 3}) {
		t.Errorf("read %+v, %v", f.Channel, err)
	}
	f, err = Read("testdata/good-member.conf")
	if err != nil ||
		!reflect.DeepEqual(
			*f.Member,
			Member{
				Listen: "10.0.0.1:7946",
				Site:   "hall-a",
				Join:   []string{"10.0.0.2:7946", "10.0.0.3:7946"},
				AddressOverrides: map[string]string{
					"n2": "10.9.0.2:7946",
				},
				ShareTotals:            true,
				Streams:                "10.0.0.1:7951",
				StreamAddressOverrides: map[string]string{"n2": "10.9.0.2:7951"},
			},
		) ||
		!reflect.DeepEqual(*f.Jobs, Jobs{Path: "/var/lib/elmfold/jobs", Peers: []string{"n1", "n2"}}) {
		t.Errorf("read %+v, %v", f.Member, err)
	}
	if f, err = Read("testdata/empty.conf"); err != nil || f.Registry != nil {
		t.Errorf("read %+v, %v", f, err)
	}
}

// Each broken file gives one error line with the file, the line, the problem and a fix.
func TestParseErrors(t *testing.T) {
	want := map[string]string{
		"channel":       ":1: channel has no listen; add a line",
		"section":       `:1: unknown section "registri"; write registry`,
		"kind":          ":1: .*zookeeper.*; write registry etcd",
		"directive":     `:3: unknown directive "hodl" in section registry; write hold`,
		"unit":          ":3: .*no unit; write hold 2.5s or 2.5ms",
		"range":         ":3: .*out of range; .* to 10s",
		"address":       ":2: .*not a valid address; write HOST:PORT",
		"missing":       ":1: .*no endpoint; add a line",
		"twice":         ":4: duplicate directive hold, first in line 3; remove",
		"quote":         ":3: a quoted word is not closed; ",
		"nosection":     ":1: .*outside any section; start",
		"half":          ":3: .*; write both user and password-file",
		"words":         `:3: hold has too many arguments: "2s"; write hold`,
		"little":        ":3: hold has too few arguments; write hold",
		"part":          ":3: shrink .*; write a percentage",
		"size":          ":3: value-limit .*; write a size",
		"ask":           ":3: ask 2s is not under silence; write ask under silence",
		"foreign":       `:3: unknown directive "user" in section registry; `,
		"secondsection": ":3: duplicate section registry, first in line 1; merge",
		"prefix":        ":3: prefix .*; write a non-empty prefix",
		"cells-way":     ":1: .*random.*; write cells fixed or",
		"cells-one":     ":1: 1 cells are too few, at least 2 are required; add",
		"cells-none":    ":1: tenant requires a cells section; add",
		"cells-cell":    `:4: .*"bleu"; write blue`,
		"cells-proxy":   ":4: proxy 3 is in tenant a and in tenant b; assign",
		"cells-span":    `:3: proxies "4-1" .*; write numbers`,
		"cells-rate":    ":2: trickle .*; write a rate",
		"cells-size":    ":4: tenant a has a size, .*; remove",
		"cells-noproxy": ":2: .*no proxies; add",
		"control":       ":1: .*no socket; add",
		"store":         ":1: .*no file; add",
		"peers":         ":1: peers has neither listen nor ask; add",
		"member-site":   ":1: member has no site; add",
		"member-via":    ":4: via .* too many arguments; write one line",
		"member-listen": ":3: .*not an IPv4 address; write the IPv4",
		"jobs-streams":  ":1: jobs requires a member section with streams; add a member section",
		"binary":        ":3: byte 13 is not valid text; write",
	}
	files, _ := filepath.Glob("testdata/broken/*.conf")
	if len(files) != len(want) {
		t.Errorf("%d files, %d wanted", len(files), len(want))
	}
	for _, path := range files {
		_, err := Read(path)
		var fileErrors FileErrors
		if !errors.As(err, &fileErrors) || len(fileErrors) != 1 || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", path, err)
			continue
		}
		name := strings.TrimSuffix(filepath.Base(path), ".conf")
		if !regexp.MustCompile("^" + path + want[name] + ".*$").MatchString(err.Error()) {
			t.Errorf("%s: %v, want %s", path, err, want[name])
		}
	}
	if _, err := Read("testdata/none.conf"); err == nil || !strings.Contains(err.Error(), "testdata/none.conf: ") {
		t.Errorf("no file: %v", err)
	}
}

// Any text gives a File or errors that each have a line of the file, a problem and a fix.
func TestAnyText(t *testing.T) {
	good, err := os.ReadFile("testdata/good.conf")
	if err != nil {
		t.Fatal(err)
	}
	parsesCorrupted := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		text := []byte(string(good))
		for range 1 + random.Intn(6) {
			switch at := random.Intn(len(text)); random.Intn(3) {
			case 0:
				text[at] = byte(random.Intn(256))
			case 1:
				text = append(text[:at], text[min(len(text), at+1+random.Intn(20)):]...)
			case 2:
				text = append(text[:at:at], append([]byte("\n\""), text[at:]...)...)
			}
		}
		f, err := Parse("f", string(text))
		var fileErrors FileErrors
		if err == nil {
			return f.Registry == nil || f.Registry.Config.Endpoints > 0
		}
		if !errors.As(err, &fileErrors) || len(fileErrors) == 0 {
			return false
		}
		for _, fileError := range fileErrors {
			if fileError.Line < 1 || fileError.Line > strings.Count(string(text), "\n")+1 ||
				fileError.Fix == "" || fileError.Problem == "" {
				return false
			}
		}
		return true
	}
	if err := quick.Check(parsesCorrupted, &quick.Config{MaxCount: 5000, Rand: rand.New(rand.NewSource(16))}); err != nil {
		t.Error(err)
	}
}
