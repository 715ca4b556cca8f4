//go:build wasip1

// Package pluginsdk implements the WebAssembly exports of a plug-in. The main package of a plug-in calls Propose in its
// init function and has an empty main function. Build it with GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared.
package pluginsdk

import (
	"unsafe"

	"github.com/fxamacker/cbor/v2"

	"elmfold/pluginsdk/pluginapi"
)

var (
	propose func(pluginapi.Snapshot) pluginapi.Response
	// The buffers that the host writes and reads. They are kept here so that the garbage collector does not free them.
	input, output []byte
)

// Propose sets the function that is called with each snapshot.
func Propose(f func(pluginapi.Snapshot) pluginapi.Response) { propose = f }

// alloc allocates the input buffer and returns its address.
//
//go:wasmexport elmfold_alloc
func alloc(bytes int32) int32 {
	input = make([]byte, max(bytes, 1))
	return int32(uintptr(unsafe.Pointer(&input[0])))
}

// call passes the snapshot in the input buffer to the plug-in. It returns the address of the encoded response in the
// upper 32 bits and its length in the lower 32 bits.
//
//go:wasmexport elmfold_propose
func call(_, bytes int32) int64 {
	var snapshot pluginapi.Snapshot
	if err := cbor.Unmarshal(input[:bytes], &snapshot); err != nil {
		panic(err)
	}
	var err error
	if output, err = cbor.Marshal(propose(snapshot)); err != nil {
		panic(err)
	}
	return int64(uintptr(unsafe.Pointer(&output[0])))<<32 | int64(len(output))
}
