package main

import (
	"bytes"
	"strings"
	"testing"

	"elmfold/internal/policy"
	"elmfold/internal/simwire"
)

func TestServe(t *testing.T) {
	empty := make([]byte, 16)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(empty), &out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, 8)) {
		t.Errorf("an empty batch: error %v, reply %x", err, out.Bytes())
	}
	if err := serve(strings.NewReader("short"), &out); err == nil {
		t.Error("a truncated header was accepted as the end of input")
	}
}

// If an instance panics, the reply has the panic and none of the instance's decisions.
func TestPanic(t *testing.T) {
	reply := simwire.NewReply(simwire.NewDecoder(strings.NewReader("")))
	step(reply, 3, policy.New(policy.Deployment{}), 1, []policy.Event{policy.MarkerAcked{Proxy: -1}})
	var out bytes.Buffer
	_, _ = reply.WriteTo(&out)
	if got := out.Bytes(); got[7] != 1 || got[8] != 100 || !strings.Contains(string(got), "panic: ") {
		t.Errorf("reply %q", got)
	}
}
