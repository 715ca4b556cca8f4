package controlplane

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"elmfold/internal/gateway/rpc"
)

// The ledger finds each way in which answers can contradict one another, and nothing in those that don't.
func TestLedger(t *testing.T) {
	x, y, z := configuration(5, "x"), configuration(5, "y"), configuration(7, "z")
	for name, c := range map[string]struct {
		play func(l *ledger)
		want string // part of the only fault; "": none
	}{
		"confirmed and read": {
			func(l *ledger) { l.confirm(5, x); l.read(5, x); l.confirm(5, x) },
			"",
		},
		"read before it is confirmed": {
			func(l *ledger) { l.read(0, z); l.confirm(5, x); l.read(7, z); l.confirm(7, z) },
			"",
		},
		"a lower number, whatever its body, is confirmed as held": {
			func(l *ledger) { l.confirm(5, x); l.confirm(7, z); l.confirm(5, y) },
			"",
		},
		"a read that began before the confirmation": {
			func(l *ledger) { l.confirm(5, x); least := l.least(); l.confirm(7, z); l.read(least, x) },
			"",
		},
		"two bodies confirmed": {
			func(l *ledger) { l.confirm(5, x); l.confirm(5, y) },
			"two bodies were confirmed",
		},
		"another body read than was confirmed": {func(l *ledger) { l.confirm(5, x); l.read(5, y) }, "other bytes were read"},
		"another body confirmed than was read": {
			func(l *ledger) { l.read(0, x); l.confirm(5, y) },
			"of which another was read",
		},
		"two bodies read":                {func(l *ledger) { l.read(0, x); l.read(5, y) }, "two bodies were read"},
		"a read goes back":               {func(l *ledger) { l.confirm(7, z); l.read(l.least(), x) }, "a read went back"},
		"a read goes back behind a read": {func(l *ledger) { l.read(0, z); l.read(l.least(), x) }, "a read went back"},
		"a body that nobody sent":        {func(l *ledger) { l.read(0, configuration(6, "w")) }, "nobody sent"},
		"no configuration":               {func(l *ledger) { l.read(0, []byte("{")) }, "is no configuration"},
	} {
		l := newLedger()
		l.send(5, x)
		l.send(5, y)
		l.send(7, z)
		c.play(l)
		switch got := l.broken(); {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: %v", name, got)
		case c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)):
			t.Errorf("%s: %v, not %q", name, got, c.want)
		}
	}
}

func TestNewestIsWhatWasConfirmed(t *testing.T) {
	l := newLedger()
	l.send(5, configuration(5, "x"))
	l.send(7, configuration(7, "z"))
	l.confirm(5, configuration(5, "x"))
	l.read(5, configuration(7, "z"))
	if v, body := l.newest(); v != 5 || !reflect.DeepEqual(body, configuration(5, "x")) || l.least() != 7 {
		t.Errorf("confirmed %d, reads from %d", v, l.least())
	}
}

// Answers are taken as the pages say that callers take them.
func TestFate(t *testing.T) {
	for status, want := range map[int]orderOutcome{200: committed, 204: committed,
		400: refused, 409: refused, 412: refused, 413: refused,
		422: refused, 404: odd, 403: odd, 408: unknown, 429: unknown, 500: unknown, 503: unknown} {
		if got := orderOutcomeOf(status, nil); got != want {
			t.Errorf("%d: %d, not %d", status, got, want)
		}
	}
	if orderOutcomeOf(200, errors.New("cut off")) != unknown {
		t.Error("an answer that breaks off is clear")
	}
}

func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		beyond        bool
		causes, notes []string
		word, cause   string
	}{
		{false, nil, nil, ok, ""},
		{false, nil, []string{"a"}, ok, "a"},
		{false, []string{"b", "b", "c"}, []string{"a"}, short, "b; c; a"},
		{true, []string{"b"}, nil, seen, "b"},
		{true, nil, nil, ok, ""},
	} {
		if word, cause := summarize(c.beyond, c.causes, c.notes); word != c.word || cause != c.cause {
			t.Errorf("%+v: %s, %q", c, word, cause)
		}
	}
}

func TestChosen(t *testing.T) {
	all := stories()
	if len(chosen(all, "")) != len(all) || len(chosen(all, "no such")) != 0 || len(chosen(all, "no such,")) != 0 {
		t.Error("without a name all are played, with a wrong one none")
	}
	names := map[string]bool{}
	for _, p := range all {
		if names[p.name()] {
			t.Errorf("%s is there twice", p.name())
		}
		names[p.name()] = true
	}
	for _, p := range chosen(all, "woken,sizes/5") {
		if p.story != "woken" && !strings.HasPrefix(p.name(), "sizes/5") {
			t.Errorf("%s was not asked for", p.name())
		}
	}
}

// A carrier believes what is safe, and the newest of it.
func TestTold(t *testing.T) {
	word := func(hi uint64, value string, safe uint64) *rpc.Message {
		return &rpc.Message{
			RegisterUpdate: rpc.RegisterUpdate{
				CommittedValues:   []rpc.Register{{Name: "zone/a", Version: rpc.Version{Number: hi}, Value: []byte(value)}},
				CommittedVersions: map[string]rpc.Version{"zone/a": {Number: safe}},
			},
		}
	}
	all := notifiedZones{}
	for _, m := range []*rpc.Message{word(5, "1b", 5), word(4, "0f", 4), word(9, "0f", 5)} {
		all.take(m)
	}
	all.take(
		&rpc.Message{
			RegisterUpdate: rpc.RegisterUpdate{
				CommittedValues: []rpc.Register{{Name: "zone/a", Version: rpc.Version{Number: 8}, Value: []byte("0f")}},
			},
		},
	)
	if got := all["a"]; got.Version.Number != 5 || string(got.Value) != "1b" {
		t.Errorf("%+v", got)
	}
}

func TestConfigurationsDiffer(t *testing.T) {
	all := [][]byte{configuration(1, "x"), configuration(1, "y"), configuration(2, "x")}
	for i, body := range all {
		if v, err := versionOf(body); err != nil || v != []uint32{1, 1, 2}[i] {
			t.Errorf("%d: version %d, %v", i, v, err)
		}
		if slices.ContainsFunc(all[i+1:], func(b []byte) bool { return reflect.DeepEqual(b, body) }) {
			t.Errorf("%d is there twice", i)
		}
	}
}
