// Package rpc is the protocol between the gateway's processes: its messages, their encoding, and a connection that
// carries them.
//
// A frame is the length of its body (uvarint, at most MaxFrameBytes) and one Message in CBOR. Frames go over TCP,
// on the first port of the machines' range. A proxy keeps a connection to every control-plane node that it hears
// of; a control-plane node keeps one to every other. The first message of a connection has Hello, in both
// directions, and no other message has it. It brings the whole state that the other side needs; later messages
// bring changes to it.
//
// Messages of one connection arrive in the order in which they were sent. Between two connections there is no
// order: what must not be confused over a reconnect carries an incarnation (Hello), an epoch (Consensus), a ballot
// or a version.
//
// The CBOR keys, and the order of the fields in which they are written, are those of version d330930, which nodes of
// this version work beside during a rolling restart. internal/compat holds the bytes of each field. A new field takes
// a key that was never used; a key is never given to another field.
package rpc
