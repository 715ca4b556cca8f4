package main

import (
	"debug/elf"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestLinked reads the program that the deploy file's build line left. The operators lead its sockets and clocks
// through the C library's loader: a program linked without it starts and is then reached by nobody.
func TestLinked(t *testing.T) {
	root := filepath.Join("..", "..")
	line, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, word := range []string{"CGO_ENABLED=1 go build -ldflags=-linkmode=external", `run = "exec bin/elmfold"`} {
		if !strings.Contains(string(line), word) {
			t.Errorf("deploy/balancer.toml lacks %q", word)
		}
	}
	built, err := elf.Open(filepath.Join(root, "bin", "elmfold"))
	if err != nil {
		t.Fatalf("%v: build it first, by the line of deploy/balancer.toml", err)
	}
	defer func() { _ = built.Close() }()
	if needed, err := built.ImportedLibraries(); err != nil || !slices.Contains(needed, "libc.so.6") {
		t.Errorf("bin/elmfold wants %v (%v): not linked with the C library", needed, err)
	}
	if !slices.ContainsFunc(built.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("bin/elmfold names no loader: linked statically")
	}
	symbols, err := built.Symbols()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range symbols {
		if strings.HasPrefix(s.Name, "os/exec.") || s.Name == "syscall.forkExec" {
			t.Errorf("bin/elmfold holds %s: it could start a program", s.Name)
		}
	}
}
