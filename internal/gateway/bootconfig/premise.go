// Package bootconfig reads and checks the settings that the platform gives a process: the JSON file whose path stands in
// ELMFOLD_CONFIG. All times are in seconds there, fractions included; fields that are not known are read past.
package bootconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"time"
)

// Variable names the file.
const Variable = "ELMFOLD_CONFIG"

// Seconds is a span in seconds.
type Seconds float64

// Span is it as a time.Duration.
func (s Seconds) Span() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Bounds are the figures of the rules in force.
type Bounds struct {
	SeedLag     Seconds `json:"seedLagS"`
	AddrReuse   Seconds `json:"addrReuseS"`
	Contact     Seconds `json:"contactS"`
	Ack         Seconds `json:"ackS"`
	CatchUp     Seconds `json:"catchUpS"`
	Drain       Seconds `json:"drainS"`
	Grace       Seconds `json:"graceS"`
	LossSlack   Seconds `json:"lossSlackS"`
	ConfigApply Seconds `json:"configApplyS"`
	RetryRatio  float64 `json:"retryRatio"`
	RetryWindow Seconds `json:"retryWindowS"`
	RetrySlack  float64 `json:"retrySlack"`
	ColdExcess  float64 `json:"coldExcess"`
	ColdSlack   float64 `json:"coldSlack"`
	Evacuate    Seconds `json:"evacuateS"`
	Recovery    Seconds `json:"recoveryS"`
}

// Settings are what a process is told.
type Settings struct {
	Name      string            `json:"nodeName"`
	Role      string            `json:"role"`
	IP        string            `json:"ip"`
	Zone      string            `json:"zone"`
	Region    string            `json:"region"`
	Zones     map[string]string `json:"zones"` // to their regions
	Listen    map[string]string `json:"listen"`
	Ports     [2]int            `json:"portRange"`
	Seeds     []string          `json:"seedNodes"` // control addresses
	Bootstrap bool              `json:"bootstrap"`
	Counted   bool              `json:"counted"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		CPUShare float64 `json:"cpuShare"`
		MemoryMB float64 `json:"memoryMb"`
		MaxFDs   int     `json:"maxFds"`
		DiskMB   float64 `json:"diskMb"`
	} `json:"limits"`
	DataDir     string  `json:"dataDir"`
	Beat        Seconds `json:"beatS"`
	FaultBudget struct {
		Machines int `json:"machineFaults"`
		Zones    int `json:"zones"`
	} `json:"faultBudget"`
	Bounds Bounds `json:"bounds"`
}

// Default are the bounds of a file that names none.
func Default() Settings {
	return Settings{Beat: 1.5, Bounds: Bounds{SeedLag: 3, AddrReuse: 2, Contact: 3, Ack: 5, CatchUp: 4, Drain: 2, Grace: 6,
		LossSlack: 0.2, ConfigApply: 2, RetryRatio: 0.2, RetryWindow: 10, RetrySlack: 60, ColdExcess: 1.5, ColdSlack: 5,
		Evacuate: 5, Recovery: 15}}
}

// FromEnvironment reads the file that the environment names.
func FromEnvironment() (*Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, fmt.Errorf("%s is not set: it names the settings file", Variable)
	}
	return Load(path)
}

// Load reads a file. The error names the file and the key.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Read checks the text of a file.
func Read(text []byte) (*Settings, error) {
	s := Default()
	if err := json.Unmarshal(text, &s); err != nil {
		var kind *json.UnmarshalTypeError
		var form *json.SyntaxError
		switch {
		case errors.As(err, &kind):
			return nil, fmt.Errorf("%s: a %s stands where %s is wanted", kind.Field, kind.Value, wanted(kind.Type))
		case errors.As(err, &form):
			return nil, fmt.Errorf("byte %d: %w", form.Offset, err)
		}
		return nil, err
	}
	var faults []error
	bad := func(key, format string, v ...any) { faults = append(faults, fmt.Errorf(key+": "+format, v...)) }
	if s.Name == "" {
		bad("nodeName", "is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		bad("ip", "%v", err)
	}
	if s.Zone == "" {
		bad("zone", "is missing")
	} else if _, known := s.Zones[s.Zone]; !known {
		bad("zone", "%q does not stand in zones", s.Zone)
	}
	if s.Ports[0] < 1 || s.Ports[1] < s.Ports[0] || s.Ports[1] > 65535 {
		bad("portRange", "%v is no range of ports", s.Ports)
	}
	for i, a := range s.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			bad(fmt.Sprintf("seedNodes[%d]", i), "%v", err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Listen)) {
		a := s.Listen[name]
		if _, err := netip.ParseAddrPort(a); err != nil {
			bad("listen."+name, "%v", err)
		}
	}
	if s.Beat <= 0 {
		bad("beatS", "%v is no span", s.Beat)
	}
	for _, b := range []struct {
		key  string
		span Seconds
	}{{"graceS", s.Bounds.Grace}, {"retryWindowS", s.Bounds.RetryWindow}} {
		if !(b.span > 0 && b.span < 1e6) { // what divides or waits by it must not meet 0
			bad("bounds."+b.key, "%v is no span", b.span)
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return &s, nil
}

// wanted names a type in the words of who writes the file.
func wanted(t reflect.Type) string {
	if t == reflect.TypeFor[Seconds]() {
		return "a number of seconds"
	}
	return t.String()
}

// Peer is the address where a controller speaks to controllers and carriers: the first free port of its machine.
// All machines of a deployment have the same ports.
func (s *Settings) Peer(control string) string {
	at, err := netip.ParseAddrPort(control)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(at.Addr(), uint16(s.Ports[0])).String()
}

// Own is the address of this machine's Peer.
func (s *Settings) Own() string {
	return netip.AddrPortFrom(netip.MustParseAddr(s.IP), uint16(s.Ports[0])).String()
}
