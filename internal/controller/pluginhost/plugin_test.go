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

// uleb and sleb encode numbers as unsigned and signed LEB128.
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

// encodeSection encodes a section with a vector of items.
func encodeSection(id byte, items ...[]byte) []byte {
	content := uleb(uint64(len(items)))
	for _, item := range items {
		content = append(content, item...)
	}
	return append(append([]byte{id}, uleb(uint64(len(content)))...), content...)
}

// encodeName encodes a string with its length.
func encodeName(s string) []byte { return append(uleb(uint64(len(s))), s...) }

// encodeFunction encodes a function without local variables.
func encodeFunction(code ...byte) []byte {
	body := append([]byte{0}, code...)
	return append(uleb(uint64(len(body))), body...)
}

// module assembles a module with one page of memory, which starts with data. imported is the name of a function that
// it imports from the module env, or "".
func module(alloc, propose []byte, data []byte, imported string) []byte {
	m := []byte("\x00asm\x01\x00\x00\x00")
	m = append(m, encodeSection(1, []byte{0x60, 1, 0x7f, 1, 0x7f}, []byte{0x60, 2, 0x7f, 0x7f, 1, 0x7e})...)
	firstFunction := byte(0)
	if imported != "" {
		firstFunction = 1
		m = append(m, encodeSection(2, append(append(encodeName("env"), encodeName(imported)...), 0, 0))...)
	}
	m = append(m, encodeSection(3, []byte{0}, []byte{1})...)
	m = append(m, encodeSection(5, []byte{0, 1})...)
	m = append(m, encodeSection(
		7,
		append(encodeName("memory"), 2, 0),
		append(encodeName(allocName), 0, firstFunction),
		append(encodeName(proposeName), 0, firstFunction+1),
	)...)
	m = append(m, encodeSection(10, encodeFunction(alloc...), encodeFunction(propose...))...)
	if len(data) > 0 {
		m = append(m, encodeSection(11, append(append([]byte{0, 0x41, 0, 0x0b}, uleb(uint64(len(data)))...), data...))...)
	}
	return m
}

// returnAddress is the code of a function that returns a fixed address.
func returnAddress(address int64) []byte { return append(append([]byte{0x41}, sleb(address)...), 0x0b) }

// returnAnswer is the code of a function that returns an address and a length.
func returnAnswer(address, length int64) []byte {
	return append(append([]byte{0x42}, sleb(address<<32|length)...), 0x0b)
}

var validAlloc = returnAddress(2048)

// generousLimits have timeouts that are not reached on a busy machine under the race detector.
func generousLimits() Limits {
	l := DefaultLimits()
	l.StartTimeout, l.CallTimeout = time.Minute, time.Minute
	return l
}

// validModule returns a module and its answer.
func validModule() ([]byte, Answer) {
	a := Answer{Proposals: []Proposal{{Kind: "cap", Tenant: "acme", Figure: 30}}}
	data, _ := cbor.Marshal(a)
	return module(validAlloc, returnAnswer(0, int64(len(data))), data, ""), a
}

// A module that misbehaves gets an error within its limits, again after its restart, and does not affect another
// plug-in.
func TestMisbehavingModules(t *testing.T) {
	code, want := validModule()
	other, err := Load("other", code, generousLimits())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	endlessLoop := []byte{0x03, 0x40, 0x0c, 0, 0x0b, 0x42, 0, 0x0b}
	endlessRecursion := []byte{0x20, 0, 0x20, 1, 0x10, 1, 0x0b}
	growMemoryAndTrap := []byte{0x41, 0x90, 0xce, 0, 0x40, 0, 0x41, 0x7f, 0x46, 0x04, 0x40, 0, 0x0b, 0x42, 0, 0x0b}
	trap := []byte{0, 0x0b}
	for name, c := range map[string]struct {
		code []byte
		load error // expected from Load
		call error // expected from Propose; nil: any
	}{
		"endless loop": {module(validAlloc, endlessLoop, nil, ""), nil, ErrTimeout},
		// ends by a stack overflow or the timeout
		"endless recursion":         {module(validAlloc, endlessRecursion, nil, ""), nil, nil},
		"too much memory":           {module(validAlloc, growMemoryAndTrap, nil, ""), nil, ErrTrap},
		"trap":                      {module(validAlloc, trap, nil, ""), nil, ErrTrap},
		"100 MB answer":             {module(validAlloc, returnAnswer(0, 100<<20), nil, ""), nil, ErrInvalidAnswer},
		"answer outside the memory": {module(validAlloc, returnAnswer(0x7fffff00, 64), nil, ""), nil, ErrInvalidAnswer},
		"answer across the end":     {module(validAlloc, returnAnswer(65530, 64), nil, ""), nil, ErrInvalidAnswer},
		"malformed answer": {
			module(validAlloc, returnAnswer(0, 5), []byte("\xff\xfe\x00\x01\x02"), ""),
			nil,
			ErrInvalidAnswer,
		},
		"answer of a wrong type": {module(validAlloc, returnAnswer(0, 1), []byte{7}, ""), nil, ErrInvalidAnswer},
		"input outside the memory": {
			module(returnAddress(0x7fffff00), returnAnswer(0, 1), []byte{0xa0}, ""),
			nil,
			ErrInvalidAnswer,
		},
		"not a module":     {[]byte("#!/bin/sh"), ErrInvalidModule, nil},
		"truncated module": {code[:len(code)/2], ErrInvalidModule, nil},
		"forbidden import": {module(validAlloc, returnAnswer(0, 1), nil, "open"), ErrForbiddenImport, nil},
		"no exports":       {[]byte("\x00asm\x01\x00\x00\x00"), ErrMissingExport, nil},
	} {
		limits := generousLimits()
		limits.MaxMemory = 1 << 20
		if c.call == nil || errors.Is(c.call, ErrTimeout) {
			limits.CallTimeout = DefaultLimits().CallTimeout
		}
		p, err := Load(name, c.code, limits)
		if c.load != nil {
			if !errors.Is(err, c.load) {
				t.Errorf("%s: Load returned %v, want %v", name, err, c.load)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: Load returned %v", name, err)
			continue
		}
		for range 2 { // the second call restarts the module
			if _, err := p.Propose(Moment{Revision: 3}); err == nil || c.call != nil && !errors.Is(err, c.call) {
				t.Errorf("%s: Propose returned %v, want %v", name, err, c.call)
			}
		}
		p.Close()
		if a, err := other.Propose(Moment{}); err != nil || !reflect.DeepEqual(a, want) {
			t.Errorf("%s: another plug-in returned %v, %v", name, a, err)
		}
	}
}

// Repeated failures do not leak memory.
func TestFailuresDoNotLeak(t *testing.T) {
	p, err := Load("trap", module(validAlloc, []byte{0, 0x0b}, nil, ""), generousLimits())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	liveBytes := func() uint64 {
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
			early = liveBytes()
		}
	}
	if late := liveBytes(); late > early+1<<20 {
		t.Errorf("%d bytes live after 20 faults, %d after 60", early, late)
	}
}

// Moments that are submitted during a call do not block; the last of them is used for the next call.
func TestRunner(t *testing.T) {
	code, want := validModule()
	p, err := Load("valid", code, generousLimits())
	if err != nil {
		t.Fatal(err)
	}
	type answer struct {
		revision int64
		a        Answer
		err      error
	}
	started, proceed, answers := make(chan bool), make(chan bool), make(chan answer, 10)
	r := StartRunner(p, func(revision int64, a Answer, err error) {
		if revision == 1 {
			started <- true
			<-proceed
		}
		answers <- answer{revision, a, err}
	})
	r.Submit(Moment{Revision: 1})
	<-started
	for i := range 100 {
		r.Submit(Moment{Revision: int64(i + 2)})
	}
	proceed <- true
	for _, revision := range []int64{1, 101} {
		if got := <-answers; got.revision != revision || got.err != nil || !reflect.DeepEqual(got.a, want) {
			t.Errorf("answer %+v, want revision %d", got, revision)
		}
	}
	r.Stop()
	r.Stop()
}

// The examples of the SDK build with the Go toolchain and return the expected proposals.
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
		p, err := Load(name, code, generousLimits())
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
