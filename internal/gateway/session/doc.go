// Package session keeps a process connected to its peers. One goroutine, the owner, handles all messages from them.
//
//   - A CommandQueue passes functions to the owner, which runs them one at a time. State that only these functions
//     access needs no lock.
//   - Sessions selects the current connection of each peer by the incarnation in the peer's Hello and by the order of
//     the handshakes. Late messages from a replaced connection or an earlier incarnation are not handled.
//   - A Dialer keeps a connection to each of a set of addresses and passes the messages of current connections to the
//     owner.
package session
