// Package session keeps a process connected to its peers and lets one goroutine, the owner, handle all that they say.
//
//   - A CommandQueue carries functions to the owner, which runs them one by one. State that only those functions touch
//     needs no lock.
//   - Sessions decides which connection is current for a peer, by the incarnations that peers give in their Hello. A
//     message that arrives late, on a connection that was replaced or from an earlier incarnation, is never handled.
//   - A Dialer keeps one connection to each address that it is given, and hands the messages of the current connections
//     to the owner.
package session
