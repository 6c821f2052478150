// Package coordinator decides, at an entry and for one service, what becomes of
// tickets and jobs.
//
// The owner of a ticket is the entry incarnation that issued it; it alone
// starts the ticket's job, on agents that the ticket's witness has
// acknowledged. The witness is another entry. When a job reaches the witness
// while its owner cannot be reached, the witness seals the owner's tickets at
// every agent it acknowledged, learns what was started, and finishes the job
// where that can be known.
//
// A job ends complete, with every task's result, or failed, with the state of
// each task: ran, not-run or unknown. "not-run" is said only once the witness
// has acknowledged that it will not start the task either.
//
// The package decides only: messages come in by method calls, messages go out
// by Drain. It does no I/O, starts no goroutine and has no clock. A Keeper is
// not safe for concurrent use; each service's Keeper is one shard, under a lock
// of its own.
package coordinator
