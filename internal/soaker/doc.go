// Package soaker is a soak test with fault injection. It runs the real programs
// as separate processes against stand-ins of the platform's store, backend
// servers and callers, injects faults from outside the processes, and checks
// meanwhile that the guarantees to callers, backend servers and operators hold.
//
// A seed determines the faults and their times, but not how the operating system
// schedules the processes, so reproducing a failure may take several runs with
// its seed.
//
// A run consists of rounds. In the fault phase of a round, overlapping faults are
// injected. The recovery phase gives the system time to recover. In the steady
// phase that follows, jobs must be served normally again. The maintenance phase
// shuts processes down gracefully, changes the configuration and has an entry
// reload its settings; none of this may interrupt a request.
package soaker
