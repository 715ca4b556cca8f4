package routeconfig

import (
	"fmt"
	"strconv"
)

const versionDigits = 8

// FormatVersion formats a version as in the document: eight hexadecimal digits.
func FormatVersion(v uint32) string { return fmt.Sprintf("%0*x", versionDigits, v) }

// ParseVersion parses exactly eight hexadecimal digits, in upper or lower case.
func ParseVersion(s string) (uint32, error) {
	v, err := strconv.ParseUint(s, 16, 32)
	if err != nil || len(s) != versionDigits {
		return 0, fmt.Errorf("%q is not eight hexadecimal digits", s)
	}
	return uint32(v), nil
}
