package pluginhost

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// uleb and sleb are the two ways in which a module writes numbers.
func uleb(n uint64) (b []byte) {
	for ; n >= 0x80; n >>= 7 {
		b = append(b, byte(n)|0x80)
	}
	return append(b, byte(n))
}

func sleb(n int64) (b []byte) {
	for {
		c := byte(n & 0x7f)
		if n >>= 7; n == 0 && c&0x40 == 0 || n == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

func section(id byte, items ...[]byte) []byte {
	body := uleb(uint64(len(items)))
	for _, x := range items {
		body = append(body, x...)
	}
	return append(append([]byte{id}, uleb(uint64(len(body)))...), body...)
}

func text(s string) []byte { return append(uleb(uint64(len(s))), s...) }

func body(code ...byte) []byte {
	all := append([]byte{0}, code...) // no locals
	return append(uleb(uint64(len(all))), all...)
}

// wasm assembles a module with a memory of one page, whose first bytes are data.
func wasm(alloc, propose []byte, data []byte, imported string) []byte {
	m := []byte("\x00asm\x01\x00\x00\x00")
	m = append(m, section(1, []byte{0x60, 1, 0x7f, 1, 0x7f}, []byte{0x60, 2, 0x7f, 0x7f, 1, 0x7e})...)
	first := byte(0)
	if imported != "" {
		first = 1
		m = append(m, section(2, append(append(text("env"), text(imported)...), 0, 0))...)
	}
	m = append(m, section(3, []byte{0}, []byte{1})...)
	m = append(m, section(5, []byte{0, 1})...)
	m = append(
		m,
		section(7, append(text("memory"), 2, 0), append(text(allocName), 0, first), append(text(proposeName), 0, first+1))...)
	m = append(m, section(10, body(alloc...), body(propose...))...)
	if len(data) > 0 {
		m = append(m, section(11, append(append([]byte{0, 0x41, 0, 0x0b}, uleb(uint64(len(data)))...), data...))...)
	}
	return m
}

var place = append([]byte{0x41}, append(sleb(2048), 0x0b)...) // i32.const 2048

// says returns an address and a length.
func says(at, bytes int64) []byte { return append(append([]byte{0x42}, sleb(at<<32|bytes)...), 0x0b) }

// patient are limits that a machine at work, under the race detector, does not reach.
func patient() Limits {
	l := DefaultLimits()
	l.StartTimeout, l.CallTimeout = time.Minute, time.Minute
	return l
}

func good() ([]byte, Answer) {
	a := Answer{Proposals: []Proposal{{Kind: "cap", Tenant: "acme", Figure: 30}}}
	data, _ := cbor.Marshal(a)
	return wasm(place, says(0, int64(len(data))), data, ""), a
}

// Case 1: whatever a module does wrong, the call ends within its limits with a name for it, the next call begins
// anew, and a good one beside it goes on.
func TestCase1Sandbox(t *testing.T) {
	code, want := good()
	beside, err := Load("good", code, patient())
	if err != nil {
		t.Fatal(err)
	}
	defer beside.Close()
	for name, c := range map[string]struct {
		code []byte
		load error // at its load
		call error
	}{
		"an endless loop": {wasm(place, []byte{0x03, 0x40, 0x0c, 0, 0x0b, 0x42, 0, 0x0b}, nil, ""), nil, ErrTimeout},
		// its stack or its time ends it
		"an endless recursion": {wasm(place, []byte{0x20, 0, 0x20, 1, 0x10, 1, 0x0b}, nil, ""), nil, nil},
		"memory without end": {
			wasm(place, []byte{0x41, 0x90, 0xce, 0, 0x40, 0, 0x41, 0x7f, 0x46, 0x04, 0x40, 0, 0x0b, 0x42, 0, 0x0b}, nil, ""),
			nil,
			ErrTrap,
		},
		"a trap":                 {wasm(place, []byte{0, 0x0b}, nil, ""), nil, ErrTrap},
		"an answer of 100 MB":    {wasm(place, says(0, 100<<20), nil, ""), nil, ErrInvalidAnswer},
		"an answer beyond":       {wasm(place, says(0x7fffff00, 64), nil, ""), nil, ErrInvalidAnswer},
		"an answer at the end":   {wasm(place, says(65530, 64), nil, ""), nil, ErrInvalidAnswer},
		"an invalid answer":      {wasm(place, says(0, 5), []byte("\xff\xfe\x00\x01\x02"), ""), nil, ErrInvalidAnswer},
		"an answer of no struct": {wasm(place, says(0, 1), []byte{7}, ""), nil, ErrInvalidAnswer},
		"a place beyond": {
			wasm(append([]byte{0x41}, append(sleb(0x7fffff00), 0x0b)...), says(0, 1), []byte{0xa0}, ""),
			nil,
			ErrInvalidAnswer,
		},
		"no module":          {[]byte("#!/bin/sh"), ErrInvalidModule, nil},
		"half a module":      {code[:len(code)/2], ErrInvalidModule, nil},
		"imports it may not": {wasm(place, says(0, 1), nil, "open"), ErrForbiddenImport, nil},
		"no exports":         {[]byte("\x00asm\x01\x00\x00\x00"), ErrMissingExport, nil},
	} {
		limits := patient()
		if limits.MaxMemory = 1 << 20; c.call == nil || errors.Is(c.call, ErrTimeout) { // these end by their time
			limits.CallTimeout = DefaultLimits().CallTimeout
		}
		p, err := Load(name, c.code, limits)
		if c.load != nil {
			if !errors.Is(err, c.load) {
				t.Errorf("%s: loading gives %v, want %v", name, err, c.load)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: loading gives %v", name, err)
			continue
		}
		for range 2 { // stopped, it begins anew and does the same again
			if _, err := p.Propose(Moment{Revision: 3}); err == nil || c.call != nil && !errors.Is(err, c.call) {
				t.Errorf("%s: a call gives %v, want %v", name, err, c.call)
			}
		}
		p.Close()
		if a, err := beside.Propose(Moment{}); err != nil || !reflect.DeepEqual(a, want) {
			t.Errorf("beside %s the good one says %v, %v", name, a, err)
		}
	}
}

// What faults again and again leaves nothing behind.
func TestGivenBack(t *testing.T) {
	p, err := Load("trap", wasm(place, []byte{0, 0x0b}, nil, ""), patient())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	live := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	early := uint64(0)
	for i := range 60 {
		if _, err := p.Propose(Moment{}); !errors.Is(err, ErrTrap) {
			t.Fatal(err)
		}
		if i == 19 {
			early = live()
		}
	}
	if late := live(); late > early+1<<20 {
		t.Errorf("%d bytes live after 20 faults, %d after 60", early, late)
	}
}

// Of moments that come while a call is in hand the last is told; whoever tells never waits.
func TestRunner(t *testing.T) {
	code, want := good()
	p, err := Load("good", code, patient())
	if err != nil {
		t.Fatal(err)
	}
	type answer struct {
		revision int64
		a        Answer
		err      error
	}
	first, goOn, answers := make(chan bool), make(chan bool), make(chan answer, 10)
	r := StartRunner(p, func(revision int64, a Answer, err error) {
		if revision == 1 {
			first <- true
			<-goOn
		}
		answers <- answer{revision, a, err}
	})
	r.Submit(Moment{Revision: 1})
	<-first
	for i := range 100 {
		r.Submit(Moment{Revision: int64(i + 2)})
	}
	goOn <- true
	for _, revision := range []int64{1, 101} {
		if got := <-answers; got.revision != revision || got.err != nil || !reflect.DeepEqual(got.a, want) {
			t.Errorf("answered %+v, want one to %d", got, revision)
		}
	}
	r.Stop()
	r.Stop()
}

// The worked examples, built with the Go tool chain as writers do.
func TestExamples(t *testing.T) {
	dir := t.TempDir()
	for name, c := range map[string]struct {
		moment Moment
		want   Answer
	}{
		"quirk": {Moment{
			Revision: 4,
			Backends: []Backend{{ID: "s-1", Kind: "old"}, {ID: "s-2", Kind: "m"}, {ID: "s-3", Kind: "m", Drains: true}},
		},
			Answer{Proposals: []Proposal{{Kind: "allow", Tenant: "acme", Backends: []string{"s-2"}}}}},
		"monthend": {Moment{
			Backends: []Backend{{ID: "s-1", Weight: 2, Relief: 1}},
			Tenants: []Tenant{
				{Name: "a", Rates: []float64{1, 2}},
				{Name: "b", Rates: []float64{40}},
				{Name: "c", Rates: []float64{2}},
			},
		},
			Answer{Proposals: []Proposal{{Kind: "shed", Tenant: "b", Figure: 0.9}}}},
	} {
		path := filepath.Join(dir, name+".wasm")
		build := exec.Command("go", "build", "-buildmode=c-shared", "-o", path, "elmfold/pluginsdk/examples/"+name)
		build.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm", "CGO_ENABLED=0")
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v: %s", name, err, out)
		}
		code, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		p, err := Load(name, code, patient())
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			a, err := p.Propose(c.moment)
			if err != nil || !reflect.DeepEqual(a, c.want) {
				t.Errorf("%s, call %d: %v, %v", name, i, a, err)
			}
		}
		p.Close()
	}
}
