package main

import (
	"debug/elf"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestLinked checks the program built by the command in the deploy file. The platform intercepts sockets and clocks
// with a preloaded library, so a statically linked program would start but be unreachable.
func TestLinked(t *testing.T) {
	root := filepath.Join("..", "..")
	deployFile, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"CGO_ENABLED=1 go build -ldflags=-linkmode=external", `run = "exec bin/elmfold"`} {
		if !strings.Contains(string(deployFile), text) {
			t.Errorf("deploy/balancer.toml lacks %q", text)
		}
	}
	program, err := elf.Open(filepath.Join(root, "bin", "elmfold"))
	if err != nil {
		t.Fatalf("%v: build it first with the command in deploy/balancer.toml", err)
	}
	defer func() { _ = program.Close() }()
	if needed, err := program.ImportedLibraries(); err != nil || !slices.Contains(needed, "libc.so.6") {
		t.Errorf("bin/elmfold imports %v (%v), not the C library", needed, err)
	}
	if !slices.ContainsFunc(program.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("bin/elmfold is linked statically: it names no dynamic loader")
	}
	symbols, err := program.Symbols()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range symbols {
		if strings.HasPrefix(s.Name, "os/exec.") || s.Name == "syscall.forkExec" {
			t.Errorf("bin/elmfold contains %s, which can start other programs", s.Name)
		}
	}
}
