// Package bootconfig reads and validates the settings that the platform gives a process at its start: the JSON file
// that the environment variable ELMFOLD_CONFIG names. Unknown keys are ignored.
package bootconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// EnvVar is the environment variable with the path of the settings file.
const EnvVar = "ELMFOLD_CONFIG"

// Keys of Settings.Listen.
const (
	ListenClients   = "front"     // proxy: requests of clients
	ListenReadiness = "readiness" // proxy: readiness probes of the platform
	ListenControl   = "control"   // control-plane node: calls of operators and endpoints
)

// Seconds is a duration in seconds.
type Seconds float64

// Duration converts to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Settings is the content of the settings file.
type Settings struct {
	Name   string            `json:"nodeName"`
	Role   string            `json:"role"`
	IP     string            `json:"ip"`
	Zone   string            `json:"zone"`
	Region string            `json:"region"`
	Zones  map[string]string `json:"zones"`  // region by zone
	Listen map[string]string `json:"listen"` // "ip:port" by purpose: ListenClients, ListenReadiness or ListenControl
	// PortRange holds the first and the last port that the gateway may use. It is the same on all machines.
	PortRange     [2]int   `json:"portRange"`
	Seeds         []string `json:"seedNodes"` // control addresses of the nodes that bootstrap the control plane
	Bootstrap     bool     `json:"bootstrap"` // this is the first start of the cluster
	InFaultBudget bool     `json:"counted"`   // the machine counts towards FaultBudget.Machines

	Limits            Limits      `json:"limits"`
	DataDir           string      `json:"dataDir"` // directory on this machine's disk
	HeartbeatInterval Seconds     `json:"beatS"`   // of endpoints; default 1.5
	FaultBudget       FaultBudget `json:"faultBudget"`
	Bounds            Bounds      `json:"bounds"`
}

// Limits are the resources that the process may use. 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	CPUShare float64 `json:"cpuShare"` // share of the machine's processors
	MemoryMB float64 `json:"memoryMb"`
	MaxFDs   int     `json:"maxFds"` // open file descriptors
	DiskMB   float64 `json:"diskMb"`
}

// FaultBudget is the number of simultaneous faults that the gateway must tolerate.
type FaultBudget struct {
	Machines int `json:"machineFaults"`
	Zones    int `json:"zones"`
}

// Bounds are the limits that the platform sets for the behaviour of the gateway.
type Bounds struct {
	SeedLag   Seconds `json:"seedLagS"`   // maximum age of the callers' lists of control-plane nodes; default 3
	AddrReuse Seconds `json:"addrReuseS"` // minimum time before the address of an ended endpoint is reused; default 2
	Contact   Seconds `json:"contactS"`   // uninterrupted contact after which a machine must meet the bounds; default 3
	Ack       Seconds `json:"ackS"`       // time within which callers may retry a control call; default 5
	CatchUp   Seconds `json:"catchUpS"`   // time for which a machine counts as lost after it returns; default 4
	Drain     Seconds `json:"drainS"`     // time for which a draining endpoint still serves; default 2
	Grace     Seconds `json:"graceS"`     // from SIGTERM to SIGKILL; default 6
	LossSlack Seconds `json:"lossSlackS"` // a request may be lost up to this time after its last byte; default 0.2
	// ConfigApply is the maximum time until all proxies apply an acknowledged configuration; default 2.
	ConfigApply     Seconds `json:"configApplyS"`
	RetryRatio      float64 `json:"retryRatio"`   // allowed retries per request; default 0.2
	RetryWindow     Seconds `json:"retryWindowS"` // window in which retries are counted; default 10
	RetrySlack      float64 `json:"retrySlack"`   // retries allowed per window in addition to RetryRatio; default 60
	SlowStartExcess float64 `json:"coldExcess"`   // allowed multiple of the slow-start rate of an endpoint; default 1.5
	SlowStartSlack  float64 `json:"coldSlack"`    // requests/s allowed in addition to SlowStartExcess; default 5
	Evacuate        Seconds `json:"evacuateS"`    // maximum time until an evacuated zone receives no requests; default 5
	Recovery        Seconds `json:"recoveryS"`    // maximum time from the last fault to full service; default 15
	// MaxHold is the longest time for which an endpoint of a sharded service accepts a grant of keys; 0: unlimited.
	MaxHold Seconds `json:"holdMaxS,omitempty"`
}

// Default returns the default settings.
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

// FromEnvironment loads the file that EnvVar names.
func FromEnvironment() (*Settings, error) {
	path := os.Getenv(EnvVar)
	if path == "" {
		return nil, fmt.Errorf("%s is not set: it names the settings file", EnvVar)
	}
	return Load(path)
}

// Load reads a settings file. The error names the file and each invalid key.
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

// PeerAddress returns the address for connections between nodes on the machine with the given control address: the same
// IP with the first port of PortRange. It returns an empty string if control is not a valid address.
func (s *Settings) PeerAddress(control string) string {
	addrPort, err := netip.ParseAddrPort(control)
	if err != nil {
		return ""
	}
	return s.peerAddressOf(addrPort.Addr())
}

// OwnPeerAddress returns the address for connections between nodes on this machine.
func (s *Settings) OwnPeerAddress() string { return s.peerAddressOf(netip.MustParseAddr(s.IP)) }

// SeedPeerAddresses returns the PeerAddress of each seed.
func (s *Settings) SeedPeerAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, s.PeerAddress(seed))
	}
	return addresses
}

func (s *Settings) peerAddressOf(ip netip.Addr) string {
	return netip.AddrPortFrom(ip, uint16(s.PortRange[0])).String()
}

// RequireListeners returns an error that names each of the purposes for which Listen has no address.
func (s *Settings) RequireListeners(purposes ...string) error {
	var missing []error
	for _, purpose := range purposes {
		if s.Listen[purpose] == "" {
			missing = append(missing, fmt.Errorf("listen.%s: is missing", purpose))
		}
	}
	return errors.Join(missing...)
}
