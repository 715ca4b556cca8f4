package reconcile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Member is a backend as a list shows it. UpSince is in milliseconds of Unix time, 0 for long ago; Size is its
// strength beside the others.
type Member struct {
	ID      string  `json:"id"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Phase   string  `json:"phase"`
	Weight  float64 `json:"size"`
	UpSince float64 `json:"up_since_ms"`
}

// Phases of a backend.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"

	Unreadable = "unreadable" // the entry, so nothing is known of it
)

// List is the whole list, or the entries that changed, in the order in which they did.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// SourceFailed says that a source failed; the list held stays as it is.
type SourceFailed struct{}

var errNoRevision = errors.New("no revision")

// ParseList reads a list as the platform's discovery writes it. An entry that cannot be read costs that entry:
// the drains of others still count.
func ParseList(text []byte) (List, error) {
	var seen struct {
		Revision *int64            `json:"revision"`
		Members  []json.RawMessage `json:"members"`
		List
	}
	if err := json.Unmarshal(text, &seen); err != nil {
		return List{}, err
	}
	if seen.Revision == nil {
		return List{}, errNoRevision
	}
	l := List{Revision: *seen.Revision, Complete: seen.Complete, Members: make([]Member, len(seen.Members))}
	for i, entry := range seen.Members {
		if json.Unmarshal(entry, &l.Members[i]) != nil {
			l.Members[i] = Member{Phase: Unreadable}
		}
	}
	return l, nil
}

const longestID = 256

// ParseValue reads the value of the key PREFIX/ID. The key names the backend; an id in the value may be left
// out, but not differ, so no two keys can mean one backend. The error says what is wrong in a few words.
func ParseValue(prefix, key string, value []byte, most int) (Member, error) {
	id, ok := strings.CutPrefix(key, prefix+"/")
	switch {
	case !ok:
		return Member{}, errors.New("the key is outside the prefix")
	case id == "" || len(id) > longestID || strings.Contains(id, "/"):
		return Member{}, fmt.Errorf("the key is not %s/ID", prefix)
	case strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || strings.ContainsRune(",:=+\u007f\ufffd", c) }) >= 0:
		return Member{}, errors.New("the id holds what a table line cannot: blanks or one of , : = +")
	case len(value) > most:
		return Member{}, fmt.Errorf("%d bytes, over the limit of %d", len(value), most)
	}
	m := Member{Weight: 1}
	if value = bytes.TrimSpace(value); len(value) == 0 || value[0] != '{' {
		return Member{}, errors.New("not a JSON object")
	}
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, fmt.Errorf("not readable: %w", err)
	}
	switch {
	case m.ID != "" && m.ID != id:
		return Member{}, fmt.Errorf("its id is %.40q, the key's %.40q", m.ID, id)
	case m.Phase != Serving && m.Phase != Draining && m.Phase != Deleted:
		return Member{}, fmt.Errorf("phase %.40q is none of %s, %s, %s", m.Phase, Serving, Draining, Deleted)
	case m.Zone == "" && m.Phase != Deleted:
		return Member{}, errors.New("no locality")
	case m.Weight < 0 || m.UpSince < 0 || math.IsInf(m.Weight, 0):
		return Member{}, errors.New("size or up_since_ms is below 0")
	}
	m.ID = id
	return m, nil
}
