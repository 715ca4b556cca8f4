package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"elmfold/internal/gateway/bootconfig"
)

// The sequential meaning of the configuration's register, against which histories of operators' calls are checked:
// a higher version sets; the same one with the same bytes is confirmed; the same one with other bytes never is, and
// changes nothing; a lower one is confirmed and changes nothing; a read gives what is held. A call without a clear
// answer may take effect at any later time, or never.
type (
	held struct {
		version uint32
		sum     uint64
	}
	asked struct {
		read bool
		held // that is sent
	}
	fate  uint8
	heard struct {
		fate
		sum uint64 // of what was read
	}
)

const (
	unknown fate = iota
	taken
	refused
)

// typed is a value that porcupine passes on as any.
func typed[T any](v any) T {
	t, _ := v.(T)
	return t
}

var register = porcupine.Model{
	Init: func() any { return held{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := typed[held](state), typed[asked](input), typed[heard](output)
		switch {
		case in.read:
			return out.sum == s.sum, s
		case in.version == s.version && in.sum != s.sum:
			return out.fate != taken, s
		case out.fate == refused:
			return false, s
		case in.version > s.version:
			return true, in.held
		}
		return true, s
	},
}

const neverEnds = int64(forever)

// history is what of the calls says something on the register. Calls of one body without an answer are one: what the
// first has not done the next may, and what nobody heard of need not have been.
func (l *Ledger) history() (all []porcupine.Operation) {
	invalid := map[uint64]bool{}
	for _, o := range l.Orders {
		if o.Config != nil && !o.Valid {
			invalid[sum(o.Config.JSON())] = true
		}
	}
	open, shown, fought := map[held]time.Duration{}, map[uint64]bool{}, map[uint32]bool{}
	for _, c := range l.Calls {
		in := asked{held: held{c.Version, c.Sum}}
		out := heard{fate: unknown}
		switch {
		case c.Kind == "config.read" && c.Status == 200:
			in, out = asked{read: true}, heard{taken, c.Got}
			shown[c.Got] = true
		case c.Kind != "config.replace" || invalid[c.Sum]:
			continue
		case c.Status/100 == 2:
			out.fate = taken
		case c.Status/100 == 4 && c.Status != 408 && c.Status != 429:
			out.fate = refused
			fought[c.Version] = true
		default:
			if at, there := open[in.held]; !there || c.At < at {
				open[in.held] = c.At
			}
			continue
		}
		all = append(all, porcupine.Operation{Input: in, Output: out, Call: int64(c.At), Return: int64(c.End)})
	}
	for h, at := range open {
		if shown[h.sum] || fought[h.version] {
			all = append(all, porcupine.Operation{Input: asked{held: h}, Output: heard{}, Call: int64(at), Return: neverEnds})
		}
	}
	slices.SortFunc(all, func(a, b porcupine.Operation) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Return, b.Return))
	})
	return all
}

// linear: LINEAR. It says by name what is wrong with a history that is none of the register's. It must be called
// outside of a bubble, as the search is given some real seconds; undecided says that they did not suffice.
func (l *Ledger) linear() (out []Broken, undecided bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, disks := l.beyond()
	all := slices.DeleteFunc(l.history(), func(o porcupine.Operation) bool { return o.Call >= int64(disks) })
	switch porcupine.CheckOperationsTimeout(register, all, 10*time.Second) {
	case porcupine.Ok:
		return nil, false
	case porcupine.Unknown:
		return nil, true
	case porcupine.Illegal:
	}
	at, why := cause(all)
	return []Broken{{"LINEAR", time.Duration(at), why}}, false
}

// cause names the plainest thing that makes a history none of the register's.
func cause(all []porcupine.Operation) (at int64, why string) {
	type one struct {
		asked
		heard
		call, end int64
	}
	var ops []one
	version := map[uint64]uint32{}
	for _, o := range all {
		x := one{typed[asked](o.Input), typed[heard](o.Output), o.Call, o.Return}
		if ops = append(ops, x); !x.read {
			version[x.asked.sum] = x.version
		}
	}
	for i, a := range ops {
		switch {
		case a.read && !slices.ContainsFunc(ops, func(b one) bool {
			return !b.read && b.fate != refused && b.asked.sum == a.sum && b.call < a.end
		}):
			return a.end, "a value that nobody sent, or that was refused, was read"
		case !a.read && a.fate == refused && !slices.ContainsFunc(ops, func(b one) bool {
			return !b.read && b.fate != refused && b.version == a.version && b.asked.sum != a.asked.sum && b.call < a.end
		}):
			return a.end, fmt.Sprintf("version %08x was refused, and nobody sent another body under its number", a.version)
		}
		for _, b := range ops[:i] {
			higher := func(till int64) bool {
				return slices.ContainsFunc(ops, func(c one) bool { return !c.read && c.version > a.version && c.call < till })
			}
			if !a.read && !b.read && a.fate == taken && b.fate == taken && a.version == b.version &&
				a.asked.sum != b.asked.sum && !higher(max(a.end, b.end)) {
				return max(a.end, b.end), fmt.Sprintf("the same number was confirmed twice: two bodies under %08x", a.version)
			}
		}
	}
	for _, a := range ops { // b ended with a higher version before a read began
		if !a.read {
			continue
		}
		for _, b := range ops {
			v := version[b.sum]
			if !b.read {
				v = b.version
			}
			if b.end >= a.call || b.fate != taken || v <= version[a.sum] {
				continue
			}
			for _, c := range ops {
				if c.read && c.call > b.end && version[c.sum] >= v {
					return a.end, fmt.Sprintf("a stale read: %08x, after %08x was confirmed or read", version[a.sum], v)
				}
			}
			return a.end, fmt.Sprintf("a lost word: %08x is read, and never again %08x, which was confirmed or read",
				version[a.sum], v)
		}
	}
	return 0, "the history of the operators' calls is not linearizable"
}

// Guards the guard: each fault of a register is planted once in a history and called out by its name, and the nearest
// history that is none is not.
func TestHistories(t *testing.T) {
	call := func(at, end float64, status int, c *Config) *Call {
		x := &Call{Kind: "config.replace", At: sec(at), End: sec(end), Status: status, Version: c.Version, Sum: sum(c.JSON())}
		if end == 0 {
			x.End = -1
		}
		return x
	}
	read := func(at, end float64, c *Config) *Call {
		return &Call{Kind: "config.read", At: sec(at), End: sec(end), Status: 200, Got: sum(c.JSON())}
	}
	x, y := NewConfig, moved
	for _, c := range []struct {
		name string
		fate string // "": none
		all  []*Call
	}{
		{"in turn", "", []*Call{call(1, 2, 200, x(1)), call(3, 4, 200, x(2)), read(5, 6, x(2))}},
		{
			"at once, either first",
			"",
			[]*Call{call(1, 5, 200, x(1)), call(1, 5, 200, x(2)), read(2, 3, x(1)), read(4, 6, x(2))},
		},
		{"read before it is confirmed", "", []*Call{call(1, 9, 200, x(1)), read(2, 3, x(1))}},
		{
			"no answer, takes effect late",
			"",
			[]*Call{call(1, 2, 200, x(1)), call(2.5, 0, 0, x(2)), read(3, 4, x(1)), read(8, 9, x(2))},
		},
		{"no answer, never", "", []*Call{call(1, 2, 200, x(1)), call(2.5, 0, 503, x(2)), read(8, 9, x(1))}},
		{"sent again, after a higher one too", "", []*Call{call(1, 0, 0, x(1)), call(2, 3, 200, x(1)), call(4, 5, 200, x(2)),
			call(6, 7, 200, x(1)), read(8, 9, x(2))}},
		{
			"the same number, one refused",
			"",
			[]*Call{call(1, 3, 200, x(2)), call(1, 3, 409, y(2)), call(4, 5, 0, y(2)), read(6, 7, x(2))},
		},
		{
			"the same number, after a higher one",
			"",
			[]*Call{call(1, 2, 200, x(2)), call(3, 4, 200, x(3)), call(5, 6, 200, y(2))},
		},
		{"the number of one without an answer", "", []*Call{call(1, 0, 0, x(2)), call(3, 4, 409, y(2)), read(6, 7, x(2))}},

		{
			"a stale read",
			"a stale read",
			[]*Call{call(1, 2, 200, x(1)), call(3, 4, 200, x(2)), read(5, 6, x(1)), read(7, 8, x(2))},
		},
		{"stale after a read", "a stale read", []*Call{call(
			1,
			2,
			200,
			x(1),
		), call(3, 0, 0, x(2)), read(4, 5, x(2)), read(6, 7, x(1)),
			read(8, 9, x(2))}},
		{"confirmed twice", "the same number was confirmed twice", []*Call{call(1, 2, 200, x(2)), call(3, 4, 200, y(2))}},
		{"confirmed twice at once", "the same number was confirmed twice", []*Call{call(
			1,
			4,
			200,
			x(2),
		), call(1, 4, 200, y(2)),
			read(5, 6, x(2))}},
		{
			"a lost word",
			"a lost word",
			[]*Call{call(1, 2, 200, x(1)), call(3, 4, 200, x(2)), read(5, 6, x(1)), read(7, 8, x(1))},
		},
		{"nobody sent it", "a value that nobody sent", []*Call{call(1, 2, 200, x(1)), read(3, 4, y(7))}},
		{"refused, yet read", "a value that nobody sent, or that was refused", []*Call{call(
			1,
			2,
			200,
			x(1),
		), call(3, 4, 409, y(1)),
			read(5, 6, y(1))}},
		{
			"refused without a reason",
			"was refused, and nobody sent another body",
			[]*Call{call(1, 2, 200, x(1)), call(3, 4, 409, x(2))},
		},
		{
			"sent again and refused",
			"was refused, and nobody sent another body",
			[]*Call{call(1, 2, 200, x(1)), call(3, 4, 409, x(1))},
		},
		{"it turns round", "the same number was confirmed twice", []*Call{call(1, 2, 200, x(2)), read(2.5, 2.6, x(2)),
			call(3, 4, 200, y(2)), read(5, 6, y(2))}},
		{"refused, and it had won", "not linearizable", []*Call{call(
			1,
			2,
			200,
			x(1),
		), call(3, 0, 0, x(2)), call(4, 5, 409, y(2)),
			read(6, 7, x(1)), call(8, 9, 200, x(1)), read(8, 9, x(1))}},
	} {
		l := NewLedger(bootconfig.Default().Bounds)
		l.Calls = c.all
		got, undecided := l.linear()
		if undecided || (c.fate == "") != (len(got) == 0) || c.fate != "" && !strings.Contains(got[0].Why, c.fate) {
			t.Errorf("%s: %v, want %q", c.name, got, c.fate)
		}
	}
}
