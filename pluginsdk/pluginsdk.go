//go:build wasip1

// Package pluginsdk implements the WebAssembly exports of a plug-in. The main package of a plug-in calls Propose in its
// init function and has an empty main function. Build it with GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared.
package pluginsdk

import (
	"unsafe"

	"github.com/fxamacker/cbor/v2"

	"elmfold/pluginsdk/moment"
)

var (
	propose func(moment.Moment) moment.Answer
	// The buffers that the host writes and reads. They are kept here so that the garbage collector does not free them.
	input, output []byte
)

// Propose sets the function that is called with each moment.
func Propose(f func(moment.Moment) moment.Answer) { propose = f }

// alloc allocates the input buffer and returns its address.
//
//go:wasmexport elmfold_alloc
func alloc(bytes int32) int32 {
	input = make([]byte, max(bytes, 1))
	return int32(uintptr(unsafe.Pointer(&input[0])))
}

// call passes the moment in the input buffer to the plug-in. It returns the address of the encoded answer in the
// upper 32 bits and its length in the lower 32 bits.
//
//go:wasmexport elmfold_propose
func call(_, bytes int32) int64 {
	var m moment.Moment
	if err := cbor.Unmarshal(input[:bytes], &m); err != nil {
		panic(err)
	}
	var err error
	if output, err = cbor.Marshal(propose(m)); err != nil {
		panic(err)
	}
	return int64(uintptr(unsafe.Pointer(&output[0])))<<32 | int64(len(output))
}
