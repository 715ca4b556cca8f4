package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
)

// ledger is what operators may hold the core to: which bodies were sent under which version, what was confirmed, what
// was read. Each answer is checked against it, so that no story passes in which two callers were told different things.
type ledger struct {
	mu        sync.Mutex
	sent      map[uint32][][]byte
	confirmed map[uint32][]byte // the body that was confirmed while nothing higher was known to hold
	seen      map[uint32][]byte // the body that was read
	floor     uint32            // the highest version that was confirmed or read
	acked     uint32            // ... that was confirmed
	faults    []string
}

func newLedger() *ledger {
	return &ledger{sent: map[uint32][][]byte{}, confirmed: map[uint32][]byte{}, seen: map[uint32][]byte{}}
}

func (l *ledger) fault(format string, v ...any) {
	if text := fmt.Sprintf(format, v...); !slices.Contains(l.faults, text) && len(l.faults) < 8 {
		l.faults = append(l.faults, text)
	}
}

func (l *ledger) send(version uint32, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.ContainsFunc(l.sent[version], func(b []byte) bool { return bytes.Equal(b, body) }) {
		l.sent[version] = append(l.sent[version], body)
	}
}

// least is what a read that begins now must give at least.
func (l *ledger) least() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.floor
}

// newest is the highest version that was confirmed, and its body.
func (l *ledger) newest() (uint32, []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked, l.confirmed[l.acked]
}

// confirm takes a 200 for a version. Below the floor it only says that something higher is held.
func (l *ledger) confirm(version uint32, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < l.floor {
		return
	}
	if was, there := l.confirmed[version]; there && !bytes.Equal(was, body) {
		l.fault("two bodies were confirmed under version %d", version)
		return
	}
	if was, there := l.seen[version]; there && !bytes.Equal(was, body) {
		l.fault("a body was confirmed under version %d of which another was read", version)
	}
	l.confirmed[version] = body
	l.floor, l.acked = version, max(l.acked, version)
}

// read takes what a read gave that began when least was due.
func (l *ledger) read(least uint32, body []byte) {
	version, err := versionOf(body)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.fault("what was read is no configuration: %v", err)
		return
	case version < least:
		l.fault("a read went back: version %d after %d was confirmed or read", version, least)
		return
	case !slices.ContainsFunc(l.sent[version], func(b []byte) bool { return bytes.Equal(b, body) }):
		l.fault("a body was read under version %d that nobody sent", version)
		return
	}
	if was, there := l.confirmed[version]; there && !bytes.Equal(was, body) {
		l.fault("under version %d other bytes were read than were confirmed", version)
	}
	if was, there := l.seen[version]; there && !bytes.Equal(was, body) {
		l.fault("under version %d two bodies were read", version)
	}
	l.seen[version], l.floor = body, max(l.floor, version)
}

func (l *ledger) broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.faults)
}

func versionOf(body []byte) (uint32, error) {
	var c struct {
		Generation string `json:"generation"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return 0, err
	}
	v, err := strconv.ParseUint(c.Generation, 16, 32)
	return uint32(v), err
}

// configuration is a body of some 20 routes; the tag makes it another one under the same version.
func configuration(version uint32, tag string) []byte { return configurationOf(version, tag, 20) }

func configurationOf(version uint32, tag string, routes int) []byte {
	const each = 4
	type object = map[string]any
	var sockets []any
	for first := 0; first < routes; first += each {
		var rules []any
		for i := first; i < first+each; i++ {
			rules = append(
				rules,
				object{"name": fmt.Sprintf("r-%02d-%s", i, tag), "routeKind": "safe", "targetS": 1, "priority": 1,
					"predicate": object{"pathPrefix": fmt.Sprintf("/part%02d/", i)},
					"effect":    object{"service": "service", "timeoutS": 5, "maxTries": 2}},
			)
		}
		sockets = append(sockets, object{"authority": fmt.Sprintf("host%d.example", first/each), "ruleset": rules})
	}
	text, err := json.Marshal(object{"generation": fmt.Sprintf("%08x", version),
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"sockets": sockets, "pools": []any{object{"name": "service", "healthPath": "/health", "maxConns": 100,
			"protocol": "h1", "tlsMode": false, "coldS": 3.0, "coldRateS": 4.1}}})
	if err != nil {
		panic(err) // all of it is plain
	}
	return text
}
