package consensus

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hexops/autogold"
)

// Who votes next, for what is known of the voters and of those that wait. A voter's letter is the machine, a digit
// after it a later disk of that machine; "~" silent for 4 s, "." for 1.5 s, "!" it leaves, "*" its machine is back
// with another disk. One that waits is in brackets unless it has all that is chosen, and marked "'" if it came
// after the voters' last answers.
func TestWish(t *testing.T) {
	var b strings.Builder
	const now = 100 * time.Second
	seats := func(text string, waits bool) (all []candidate) {
		for _, w := range strings.Fields(text) {
			s := candidate{caughtUp: waits && w[0] != '[', lastContact: now - 100*ms, connectedAt: now - 20*time.Second}
			w = strings.Trim(w, "[]")
			id := strings.TrimRight(w, "~.!*'")
			s.Voter = Voter{Node: controllerOf(0), StoreID: id}
			s.Name = id[:1]
			for _, mark := range w[len(id):] {
				switch mark {
				case '~':
					s.inactivity, s.lastContact = 4*time.Second, now-4*time.Second
				case '.':
					s.inactivity, s.lastContact = 1500*ms, now-1500*ms
				case '!':
					s.shuttingDown = true
				case '*':
					s.replaced, s.inactivity, s.lastContact = true, 10*time.Second, now-10*time.Second
				case '\'':
					s.connectedAt = now
				}
			}
			all = append(all, s)
		}
		return all
	}
	say := func(faults, most int, voters, others string) {
		var next []string
		for _, v := range chooseVoters(seats(voters, false), seats(others, true), faults, most) {
			next = append(next, v.StoreID)
		}
		was := strings.Join(next, " ")
		plain := strings.Join(func() (ids []string) {
			for _, s := range seats(voters, false) {
				ids = append(ids, s.StoreID)
			}
			return ids
		}(), " ")
		if was == plain {
			was = "-"
		}
		fmt.Fprintf(&b, "f=%d  %-16s %-10s %s\n", faults, voters, others, was)
	}
	for _, c := range []struct {
		what   string
		faults int
		rows   [][2]string
		most   int // 0: 7
	}{
		{"nothing happens", 1, [][2]string{{"a b c", ""}, {"a", ""}, {"a b c d e f g", ""}}, 0},
		{
			"three founded, and others come or wake",
			1,
			[][2]string{{"a b c", "d"}, {"a b c", "d e f g"}, {"a b c~", "d e"}, {"a b", "c d"}},
			3,
		},
		{
			"a new one",
			1,
			[][2]string{
				{"a b c", "d"},
				{"a b c", "[d]"},
				{"a b c.", "d"},
				{"a b c", "d'"},
				{"a b", "c"},
				{"a", "b"},
				{"a b c d", "e f"},
				{"a b c d e f g", "h"},
			},
			0,
		},
		{
			"a disk that was wiped",
			1,
			[][2]string{{"a* b c", "a1"}, {"a* b c", "[a1]"}, {"a* b c", "d"}, {"a* b c", "a1 d"}, {"a* b~ c", "a1 d"}},
			0,
		},
		{
			"silence",
			1,
			[][2]string{
				{"a b c~", ""},
				{"a b c~", "d"},
				{"a b c~", "[d]"},
				{"a b c d~", ""},
				{"a b c d e~", ""},
				{"a b c d~ e~", "f"},
				{"a b c d~ e~", "f g"},
				{"a b~", ""},
				{"a b~", "c"},
				{"a b c d e f~", ""},
			},
			0,
		},
		{"silence, two to be borne", 2, [][2]string{{"a b c d~", ""}, {"a b c d e f~", ""}, {"a b c d e~", "f"}}, 0},
		{
			"one that leaves",
			1,
			[][2]string{{"a! b c", ""}, {"a! b c", "d"}, {"a! b c d", ""}, {"a! b! c d", ""}, {"a! b", ""}, {"a! b c~", "d"}},
			0,
		},
		{"one that leaves, none to be borne", 0, [][2]string{{"a! b", ""}, {"a!", ""}, {"a! b c", ""}, {"a b~", ""}}, 0},
	} {
		fmt.Fprintf(&b, "%s\n", c.what)
		for _, r := range c.rows {
			say(c.faults, cmp.Or(c.most, 7), r[0], r[1])
		}
	}
	autogold.Equal(t, b.String())
}
