// Package limiter keeps a process within its memory and its descriptors while callers
// outside its control open connections whose requests are large, odd or never end.
//
// A Budget divides the memory and the descriptors of the process among its listeners.
// Each listener has a Pool, and each Pool a Ledger with accounts: connections, headers
// being read, bodies being read, jobs held, and a reserve for small requests. Every
// reservation belongs to a Holder, which stands for one connection, and ends with it at
// the latest. Terms:
//
//   - cost: bytes of memory that something occupies once it is read and parsed. A header
//     line of four bytes costs about fifty times as much.
//   - source: who opened a connection, by its IP address. Its share of an account is the
//     limit divided by the number of sources that have connections.
//   - small request: one whose headers and body so far cost no more than smallRequest.
//   - eviction: the connection is closed, and its reservations end once its goroutine has.
//
// Ledger decides without I/O, goroutines and clocks. Pool, Listener and Conn apply its
// decisions to connections.
package limiter
