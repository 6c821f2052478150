// Package server runs the two roles of the daemon: Entry, which owns tickets
// and jobs, and Agent, which starts tasks at a backend server.
//
// It puts the decision packages (coordinator, starter) to work: each service is a
// shard with a lock of its own; under it a decision is taken and its messages
// are queued, in the order decided. Peers are spoken to through messenger,
// backend servers through executor.
package server
