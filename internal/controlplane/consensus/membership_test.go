package consensus

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hexops/autogold"
)

// The golden file shows the chosen voters for sets of voters and learners. A letter is a machine, and a digit after it
// another disk of that machine. "~" marks a voter without contact for 4 s, "." for 1.5 s, "!" one that shuts down, and
// "*" one whose machine is connected with another disk. A learner in brackets is not caught up. "'" marks a learner
// that connected after the voters' last responses.
func TestChooseVoters(t *testing.T) {
	var b strings.Builder
	const now = 100 * time.Second
	candidates := func(text string, areLearners bool) (all []candidate) {
		for _, word := range strings.Fields(text) {
			c := candidate{
				caughtUp:    areLearners && word[0] != '[',
				lastContact: now - 100*ms,
				connectedAt: now - 20*time.Second,
			}
			word = strings.Trim(word, "[]")
			id := strings.TrimRight(word, "~.!*'")
			c.Voter = Voter{Node: testNode(0), StoreID: id}
			c.Name = id[:1]
			for _, mark := range word[len(id):] {
				switch mark {
				case '~':
					c.inactivity, c.lastContact = 4*time.Second, now-4*time.Second
				case '.':
					c.inactivity, c.lastContact = 1500*ms, now-1500*ms
				case '!':
					c.shuttingDown = true
				case '*':
					c.replaced, c.inactivity, c.lastContact = true, 10*time.Second, now-10*time.Second
				case '\'':
					c.connectedAt = now
				}
			}
			all = append(all, c)
		}
		return all
	}
	addRow := func(maxFaults, targetSize int, voters, learners string) {
		var currentIDs, chosenIDs []string
		for _, c := range candidates(voters, false) {
			currentIDs = append(currentIDs, c.StoreID)
		}
		for _, v := range chooseVoters(candidates(voters, false), candidates(learners, true), maxFaults, targetSize) {
			chosenIDs = append(chosenIDs, v.StoreID)
		}
		chosen := strings.Join(chosenIDs, " ")
		if slices.Equal(chosenIDs, currentIDs) {
			chosen = "-"
		}
		fmt.Fprintf(&b, "f=%d  %-16s %-10s %s\n", maxFaults, voters, learners, chosen)
	}
	for _, c := range []struct {
		name       string
		maxFaults  int
		rows       [][2]string
		targetSize int // 0: 7
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
		fmt.Fprintf(&b, "%s\n", c.name)
		for _, r := range c.rows {
			addRow(c.maxFaults, cmp.Or(c.targetSize, 7), r[0], r[1])
		}
	}
	autogold.Equal(t, b.String(), autogold.Name("TestWish"))
}
