package bootconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
)

const (
	maxPort = 65535
	// maxSeconds prevents an overflow of time.Duration.
	maxSeconds = 1e6
)

// Parse reads and validates the text of a settings file. The error has a line for each invalid key.
func Parse(text []byte) (*Settings, error) {
	s := Default()
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, describeJSONError(err)
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// describeJSONError adds the key or the offset in the file to an error of the JSON decoder.
func describeJSONError(err error) error {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		return fmt.Errorf("%s: a %s stands where %s is wanted", wrongType.Field, wrongType.Value,
			describeType(wrongType.Type))
	case errors.As(err, &syntax):
		return fmt.Errorf("byte %d: %w", syntax.Offset, err)
	}
	return err
}

// describeType names the type of a field in an error message.
func describeType(t reflect.Type) string {
	if t == reflect.TypeFor[Seconds]() {
		return "a number of seconds"
	}
	return t.String()
}

// problems collects the errors of a settings file.
type problems []error

func (p *problems) add(key, format string, args ...any) {
	*p = append(*p, fmt.Errorf(key+": "+format, args...))
}

func (s *Settings) validate() error {
	var p problems
	s.validateIdentity(&p)
	s.validateAddresses(&p)
	s.validateDurations(&p)
	return errors.Join(p...)
}

func (s *Settings) validateIdentity(p *problems) {
	if s.Name == "" {
		p.add("nodeName", "is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		p.add("ip", "%v", err)
	}
	_, known := s.Zones[s.Zone]
	switch {
	case s.Zone == "":
		p.add("zone", "is missing")
	case !known:
		p.add("zone", "%q does not stand in zones", s.Zone)
	}
}

func (s *Settings) validateAddresses(p *problems) {
	first, last := s.PortRange[0], s.PortRange[1]
	if first < 1 || last < first || last > maxPort {
		p.add("portRange", "%v is no range of ports", s.PortRange)
	}
	for i, address := range s.Seeds {
		if _, err := netip.ParseAddrPort(address); err != nil {
			p.add(fmt.Sprintf("seedNodes[%d]", i), "%v", err)
		}
	}
	for _, purpose := range slices.Sorted(maps.Keys(s.Listen)) {
		if _, err := netip.ParseAddrPort(s.Listen[purpose]); err != nil {
			p.add("listen."+purpose, "%v", err)
		}
	}
}

// validateDurations checks the durations that the gateway waits for or divides by.
func (s *Settings) validateDurations(p *problems) {
	if s.HeartbeatInterval <= 0 {
		p.add("beatS", "%v is no span", s.HeartbeatInterval)
	}
	for _, bound := range []struct {
		key   string
		value Seconds
	}{
		{"graceS", s.Bounds.Grace},
		{"retryWindowS", s.Bounds.RetryWindow},
	} {
		if inRange := bound.value > 0 && bound.value < maxSeconds; !inRange { // also true for NaN
			p.add("bounds."+bound.key, "%v is no span", bound.value)
		}
	}
}
