package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Broken is one breach of a rule.
type Broken struct {
	Rule string
	At   time.Duration
	Why  string
}

func (b Broken) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Rule, b.At.Seconds(), b.Why)
}

type breaches []Broken

func (b *breaches) add(rule string, at time.Duration, format string, args ...any) {
	*b = append(*b, Broken{rule, at, fmt.Sprintf(format, args...)})
}

// Check holds the ledger against every rule. It reads nothing else, so that planted ledgers check the checkers.
func Check(l *Ledger) []Broken {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out breaches
	l.requests(&out)
	l.answers(&out)
	l.leaving(&out)
	l.evacuations(&out)
	l.budget(&out)
	l.handedOn(&out)
	l.tries(&out)
	l.timeouts(&out)
	l.colds(&out)
	l.readBack(&out, l.configs(&out))
	l.cutOff(&out)
	l.acks(&out)
	l.dark(&out)
	l.back(&out)
	l.departures(&out)
	l.owners(&out)
	out = l.excuse(out)
	slices.SortStableFunc(out, func(a, b Broken) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.At, b.At))
	})
	return out
}

// excuse leaves out what may be after more disks were lost than are to be borne.
func (l *Ledger) excuse(all breaches) breaches {
	_, disks := l.beyond()
	return slices.DeleteFunc(all, func(b Broken) bool {
		return b.At >= disks && slices.Contains([]string{"CONFIG", "LOST", "EVAC", "LINEAR", "BACK", "DARK"}, b.Rule)
	})
}

// maxStretch is by how much an unsettled core stretches the bounds of configurations and evacuations, as long as
// most of it runs and is connected.
const maxStretch = 8 * time.Second

// outer says that a machine owes such a bound all the same: nothing befell it itself, and most of the core went on.
func (l *Ledger) outer(machine string, from, to time.Duration) bool {
	return l.untroubled(machine, from-l.Bounds.Contact.Duration(), to) && l.most(from, to)
}

// untroubled says that nothing at all befell a machine itself in a span.
func (l *Ledger) untroubled(machine string, from, to time.Duration) bool {
	return !slices.ContainsFunc(l.FaultSpans, func(t FaultSpan) bool { return t.Machine == machine && t.meets(from, to) })
}

func sortedKeys[V any](m map[string]V) []string {
	var all []string
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
