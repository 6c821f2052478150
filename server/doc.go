// Package server implements the two roles of the daemon: Entry, which owns tickets
// and jobs, and Agent, which starts tasks at its backend servers.
//
// The decisions are made by packages coordinator (entry) and starter (agent),
// which do no I/O. This package keeps one Coordinator or Starter per service, in a
// shard with its own lock. It calls them and queues the resulting messages under
// this lock, so that the messages are sent in the order of the decisions. It
// communicates with peers through messenger and with backend servers through
// executor.
package server
