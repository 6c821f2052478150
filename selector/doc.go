// Package selector decides which entries a process keeps connections to, without
// I/O.
//
// If every process connected to every entry, the number of sessions would grow with
// the product of both. Instead each process connects to a fixed number of entries,
// its preferred ones, chosen by rendezvous hashing: every process ranks all entries
// by a hash of both names. The processes spread evenly over the entries without any
// coordination, and an entry that joins or leaves changes the choice of only those
// processes that prefer it.
package selector
