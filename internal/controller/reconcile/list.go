package reconcile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Member is a backend of a list.
type Member struct {
	ID      string  `json:"id"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Phase   string  `json:"phase"`
	Weight  float64 `json:"size"`        // capacity relative to other backends
	UpSince float64 `json:"up_since_ms"` // Unix time in milliseconds; 0 if unknown or long ago
}

// Phases of a backend.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"

	Unreadable = "unreadable" // the entry could not be parsed
)

// List is a list of backends or, unless it is complete, the changes of one in order.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// SourceFailed reports that a source failed. The last known list stays valid.
type SourceFailed struct{}

var errNoRevision = errors.New("revision is missing")

// ParseList parses the JSON list of a discovery service. An invalid entry is replaced by an Unreadable one and does not
// affect the others.
func ParseList(text []byte) (List, error) {
	var parsed struct {
		Revision *int64            `json:"revision"`
		Members  []json.RawMessage `json:"members"`
		List
	}
	if err := json.Unmarshal(text, &parsed); err != nil {
		return List{}, err
	}
	if parsed.Revision == nil {
		return List{}, errNoRevision
	}
	l := List{Revision: *parsed.Revision, Complete: parsed.Complete, Members: make([]Member, len(parsed.Members))}
	for i, entry := range parsed.Members {
		if json.Unmarshal(entry, &l.Members[i]) != nil {
			l.Members[i] = Member{Phase: Unreadable}
		}
	}
	return l, nil
}

const maxIDLength = 256

// ParseValue parses the value of the key PREFIX/ID. The backend's ID is that of the key. An ID in the value is optional
// but must be equal, so that no two keys stand for one backend.
func ParseValue(prefix, key string, value []byte, maxSize int) (Member, error) {
	id, ok := strings.CutPrefix(key, prefix+"/")
	switch {
	case !ok:
		return Member{}, errors.New("the key is outside the prefix")
	case id == "" || len(id) > maxIDLength || strings.Contains(id, "/"):
		return Member{}, fmt.Errorf("the key does not have the form %s/ID", prefix)
	case strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || strings.ContainsRune(",:=+\u007f\ufffd", c) }) >= 0:
		return Member{}, errors.New("the id contains a blank, a control character or one of , : = +")
	case len(value) > maxSize:
		return Member{}, fmt.Errorf("%d bytes exceed the limit of %d", len(value), maxSize)
	}
	m := Member{Weight: 1}
	if value = bytes.TrimSpace(value); len(value) == 0 || value[0] != '{' {
		return Member{}, errors.New("not a JSON object")
	}
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, fmt.Errorf("invalid JSON: %w", err)
	}
	switch {
	case m.ID != "" && m.ID != id:
		return Member{}, fmt.Errorf("id %.40q differs from that of the key, %.40q", m.ID, id)
	case m.Phase != Serving && m.Phase != Draining && m.Phase != Deleted:
		return Member{}, fmt.Errorf("phase %.40q is not one of %s, %s, %s", m.Phase, Serving, Draining, Deleted)
	case m.Zone == "" && m.Phase != Deleted:
		return Member{}, errors.New("locality is missing")
	case m.Weight < 0 || m.UpSince < 0 || math.IsInf(m.Weight, 0):
		return Member{}, errors.New("size or up_since_ms is negative or infinite")
	}
	m.ID = id
	return m, nil
}
