package routeconfig

import (
	"cmp"
	"slices"
	"strings"
)

// hostRoutes is the table of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	lengths  []prefixLength // of its prefixes, the longest first
}

// prefixLength is a length that some prefix of a host has.
type prefixLength struct {
	length    int
	endsSlash bool // each prefix of this length ends with a slash: a path without one there needs no look-up
}

// maxHostOnStack is the longest host name that is put into lower case without an allocation.
const maxHostOnStack = 256

// Route is the route of the host (with or without a port, in any case) whose prefix is the longest that begins the
// path; nil if there is none. The path is compared as it came, without the query: nothing in it is cleaned or
// unescaped.
func (c *Config) Route(authority, path string) *Route {
	host := c.host(hostOf(authority))
	if host == nil {
		return nil
	}
	for _, l := range host.lengths {
		if l.length > len(path) || l.endsSlash && path[l.length-1] != '/' {
			continue
		}
		if r := host.byPrefix[path[:l.length]]; r != nil {
			return r
		}
	}
	return nil
}

// host finds the table of a name in any case. It allocates nothing for names of usual length: clients choose the case.
func (c *Config) host(name string) *hostRoutes {
	if h := c.hosts[name]; h != nil {
		return h
	}
	if len(name) > maxHostOnStack {
		return c.hosts[toLower(name)]
	}
	var lowered [maxHostOnStack]byte
	for i := range len(name) {
		lowered[i] = lowerByte(name[i])
	}
	return c.hosts[string(lowered[:len(name)])]
}

// indexLengths fills in the lengths of the prefixes.
func (h *hostRoutes) indexLengths() {
	endsSlash := map[int]bool{}
	for prefix := range h.byPrefix {
		all, seen := endsSlash[len(prefix)]
		endsSlash[len(prefix)] = (all || !seen) && strings.HasSuffix(prefix, "/")
	}
	for length, all := range endsSlash {
		h.lengths = append(h.lengths, prefixLength{length, all})
	}
	slices.SortFunc(h.lengths, func(a, b prefixLength) int { return cmp.Compare(b.length, a.length) })
}

// hostOf is an authority without its port.
func hostOf(authority string) string {
	from := 0
	if strings.HasPrefix(authority, "[") { // an IPv6 address has colons of its own
		from = max(strings.IndexByte(authority, ']'), 0)
	}
	if i := strings.IndexByte(authority[from:], ':'); i >= 0 {
		return authority[:from+i]
	}
	return authority
}

// toLower is for ASCII alone, as host names are, and does the same as host.
func toLower(name string) string {
	lowered := []byte(name)
	for i, b := range lowered {
		lowered[i] = lowerByte(b)
	}
	return string(lowered)
}

func lowerByte(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
