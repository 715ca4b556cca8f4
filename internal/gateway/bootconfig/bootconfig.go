// Package bootconfig reads and checks the settings that the platform gives a process at its start: the JSON file whose
// path stands in ELMFOLD_CONFIG. Keys that are not known are ignored. The keys are the platform's; the names of the
// fields here are not.
package bootconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// EnvVar is the environment variable that names the file.
const EnvVar = "ELMFOLD_CONFIG"

// Names in Settings.Listen.
const (
	ListenClients   = "front"     // clients' requests, of a proxy
	ListenReadiness = "readiness" // the platform's readiness probe, of a proxy
	ListenControl   = "control"   // calls of operators and endpoints, of a control-plane node
)

// Seconds is a duration in seconds, fractions included.
type Seconds float64

// Duration converts to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings are what the platform tells a process.
type Settings struct {
	Name   string            `json:"nodeName"`
	Role   string            `json:"role"`
	IP     string            `json:"ip"`
	Zone   string            `json:"zone"`
	Region string            `json:"region"`
	Zones  map[string]string `json:"zones"`  // the region of each zone
	Listen map[string]string `json:"listen"` // "ip:port" by purpose, see ListenClients
	// first and last port that is free for the system; the same on all machines
	PortRange     [2]int   `json:"portRange"`
	Seeds         []string `json:"seedNodes"` // control addresses of the nodes that found the control plane
	Bootstrap     bool     `json:"bootstrap"` // this is the first start of the whole system
	InFaultBudget bool     `json:"counted"`   // the machine counts towards FaultBudget.Machines

	Limits            Limits      `json:"limits"`
	DataDir           string      `json:"dataDir"` // the folder on this machine's disk
	HeartbeatInterval Seconds     `json:"beatS"`   // between two heartbeats of an endpoint; default 1.5
	FaultBudget       FaultBudget `json:"faultBudget"`
	Bounds            Bounds      `json:"bounds"`
}

// Limits are the resources that the process may use. 0: no limit was given.
type Limits struct {
	Cores    float64 `json:"cores"`
	CPUShare float64 `json:"cpuShare"` // part of the machine's processors
	MemoryMB float64 `json:"memoryMb"`
	MaxFDs   int     `json:"maxFds"` // open file descriptors
	DiskMB   float64 `json:"diskMb"`
}

// FaultBudget is what may be lost at once while the system keeps all its promises.
type FaultBudget struct {
	Machines int `json:"machineFaults"`
	Zones    int `json:"zones"`
}

// Bounds are the figures of the platform's rules. Default has their defaults.
type Bounds struct {
	SeedLag   Seconds `json:"seedLagS"`   // by which callers' lists of control-plane nodes lag; default 3
	AddrReuse Seconds `json:"addrReuseS"` // until the address of an ended endpoint may serve another; default 2
	// of undisturbed contact before a machine is held to the rules; default 3
	Contact         Seconds `json:"contactS"`
	Ack             Seconds `json:"ackS"`         // within which callers may repeat a control call; default 5
	CatchUp         Seconds `json:"catchUpS"`     // after its return for which a machine counts as lost; default 4
	Drain           Seconds `json:"drainS"`       // for which a draining endpoint still serves; default 2
	Grace           Seconds `json:"graceS"`       // from SIGTERM to SIGKILL; default 6
	LossSlack       Seconds `json:"lossSlackS"`   // after its last byte in which a request may still be lost; default 0.2
	ConfigApply     Seconds `json:"configApplyS"` // until an acknowledged configuration holds everywhere; default 2
	RetryRatio      float64 `json:"retryRatio"`   // retries allowed for each request; default 0.2
	RetryWindow     Seconds `json:"retryWindowS"` // over which retries are counted; default 10
	RetrySlack      float64 `json:"retrySlack"`   // retries allowed in a window beside RetryRatio; default 60
	SlowStartExcess float64 `json:"coldExcess"`   // times the slow-start rate that an endpoint may get; default 1.5
	SlowStartSlack  float64 `json:"coldSlack"`    // requests allowed in a second beside SlowStartExcess; default 5
	Evacuate        Seconds `json:"evacuateS"`    // until an evacuated zone receives nothing; default 5
	Recovery        Seconds `json:"recoveryS"`    // after the last fault until the system serves again; default 15
}

// Default returns the settings of a file that names none.
func Default() Settings {
	return Settings{
		HeartbeatInterval: 1.5,
		Bounds: Bounds{
			SeedLag:         3,
			AddrReuse:       2,
			Contact:         3,
			Ack:             5,
			CatchUp:         4,
			Drain:           2,
			Grace:           6,
			LossSlack:       0.2,
			ConfigApply:     2,
			RetryRatio:      0.2,
			RetryWindow:     10,
			RetrySlack:      60,
			SlowStartExcess: 1.5,
			SlowStartSlack:  5,
			Evacuate:        5,
			Recovery:        15,
		},
	}
}

// FromEnvironment loads the file that the environment names.
func FromEnvironment() (*Settings, error) {
	path := os.Getenv(EnvVar)
	if path == "" {
		return nil, fmt.Errorf("%s is not set: it names the settings file", EnvVar)
	}
	return Load(path)
}

// Load reads a file. The error names the file and each faulty key.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// PeerAddress is where the machine of a control address listens for connections between nodes: on the first port of the
// range. It is empty for what is no address.
func (s *Settings) PeerAddress(control string) string {
	at, err := netip.ParseAddrPort(control)
	if err != nil {
		return ""
	}
	return s.onPeerPort(at.Addr())
}

// OwnPeerAddress is PeerAddress of this machine.
func (s *Settings) OwnPeerAddress() string { return s.onPeerPort(netip.MustParseAddr(s.IP)) }

// SeedPeerAddresses are the PeerAddresses of all seeds.
func (s *Settings) SeedPeerAddresses() []string {
	all := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		all = append(all, s.PeerAddress(seed))
	}
	return all
}

func (s *Settings) onPeerPort(ip netip.Addr) string {
	return netip.AddrPortFrom(ip, uint16(s.PortRange[0])).String()
}

// RequireListeners returns an error that names the purposes for which no address was given.
func (s *Settings) RequireListeners(purposes ...string) error {
	var missing []error
	for _, purpose := range purposes {
		if s.Listen[purpose] == "" {
			missing = append(missing, fmt.Errorf("listen.%s: is missing", purpose))
		}
	}
	return errors.Join(missing...)
}
