//go:build wasip1

// Package pluginsdk turns a function into a plug-in: GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared. A main
// package calls Propose from its init, and has an empty main.
package pluginsdk

import (
	"unsafe"

	"github.com/fxamacker/cbor/v2"

	"elmfold/pluginsdk/pluginapi"
)

var (
	propose func(pluginapi.Snapshot) pluginapi.Response
	in, out []byte // held until the next call, so that the host can read them
)

// Propose says what is called with each moment.
func Propose(f func(pluginapi.Snapshot) pluginapi.Response) { propose = f }

//go:wasmexport elmfold_alloc
func alloc(bytes int32) int32 {
	in = make([]byte, max(bytes, 1))
	return int32(uintptr(unsafe.Pointer(&in[0])))
}

//go:wasmexport elmfold_propose
func call(at, bytes int32) int64 {
	var m pluginapi.Snapshot
	if err := cbor.Unmarshal(in[:bytes], &m); err != nil {
		panic(err)
	}
	var err error
	if out, err = cbor.Marshal(propose(m)); err != nil {
		panic(err)
	}
	return int64(uintptr(unsafe.Pointer(&out[0])))<<32 | int64(len(out))
}
