// Package rpc implements the protocol between the gateway's processes: its messages, their encoding, and connections.
//
// A frame consists of the length of its body as a uvarint, at most MaxFrameBytes, and one Message in CBOR. Frames are
// sent over TCP to the first port of the port range of the peer's machine. A proxy keeps a connection to each
// control-plane node that it knows, and a control-plane node keeps one to each other control-plane node. The first
// message in each direction, and only the first, has Hello. That of the side that dialled has nothing else. The other
// side answers with a Hello and the whole state that its peer needs; later messages carry changes. The side that
// dialled sends its second message only after this answer, which shows that its process runs: the Hello alone may be
// read long after the process has ended.
//
// Messages of one connection arrive in the order in which they were sent. There is no order between messages of two
// connections. Data that could be outdated after a reconnect therefore carries an incarnation (Hello), an epoch
// (Consensus), a ballot number or a version.
//
// The CBOR keys and the order of the encoded fields must stay compatible with version d330930, because nodes of both
// versions run together during a rolling upgrade. Package internal/compat tests the encoding of each field. A new field
// needs a key that was never used before.
package rpc
