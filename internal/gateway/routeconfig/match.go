package routeconfig

import (
	"cmp"
	"slices"
	"strings"
)

// hostRoutes has the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	lengths  []prefixLength // distinct lengths of the prefixes, longest first
}

// prefixLength describes all prefixes of one length.
type prefixLength struct {
	length      int
	allEndSlash bool // all of them end with a slash, so that a path without a slash there needs no lookup
}

// maxHostOnStack is the longest host name that is converted to lower case without an allocation.
const maxHostOnStack = 256

// Route returns the route of the host with the longest prefix that matches the path, or nil if there is none. The
// authority is a host name in upper or lower case, with or without a port. The path is the raw path without the query;
// it is neither cleaned nor unescaped.
func (c *Config) Route(authority, path string) *Route {
	host := c.lookupHost(stripPort(authority))
	if host == nil {
		return nil
	}
	for _, l := range host.lengths {
		if l.length > len(path) || l.allEndSlash && path[l.length-1] != '/' {
			continue
		}
		if r := host.byPrefix[path[:l.length]]; r != nil {
			return r
		}
	}
	return nil
}

// lookupHost returns the routes of a host name in upper or lower case. It does not allocate for names up to
// maxHostOnStack.
func (c *Config) lookupHost(name string) *hostRoutes {
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

// indexLengths sets lengths from byPrefix.
func (h *hostRoutes) indexLengths() {
	allEndSlash := map[int]bool{} // by length
	for prefix := range h.byPrefix {
		all, seen := allEndSlash[len(prefix)]
		allEndSlash[len(prefix)] = (all || !seen) && strings.HasSuffix(prefix, "/")
	}
	for length, all := range allEndSlash {
		h.lengths = append(h.lengths, prefixLength{length, all})
	}
	slices.SortFunc(h.lengths, func(a, b prefixLength) int { return cmp.Compare(b.length, a.length) })
}

// stripPort removes the port from an authority.
func stripPort(authority string) string {
	start := 0
	if strings.HasPrefix(authority, "[") { // skip the colons of an IPv6 address
		start = max(strings.IndexByte(authority, ']'), 0)
	}
	if i := strings.IndexByte(authority[start:], ':'); i >= 0 {
		return authority[:start+i]
	}
	return authority
}

// toLower converts ASCII letters to lower case, as lookupHost does.
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
