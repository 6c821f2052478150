// Package profiler keeps what an agent has learned of its backend server from the runs
// that it executed for all entries: how fast the server is compared with the tasks'
// estimates, and which fraction of its recent runs failed. An entry that has few samples
// of its own, since it is new or the server rarely got its tasks, uses the profile.
//
// A profile belongs to one incarnation of the backend server. A new incarnation starts
// with an empty one.
//
// The package does no I/O and reads no clock.
package profiler
