// Package coordinator makes the decisions of one entry about the tickets and
// jobs of one service.
//
// The owner of a ticket is the entry incarnation that issued it. Only the owner
// starts the tasks of the ticket's job, and only on agents that the ticket's
// backup has acknowledged. The backup is another entry. When a job is submitted
// to the backup because its owner is unreachable, the backup seals the owner's
// tickets at every agent that it acknowledged, reads the agents' start records,
// and finishes the job as far as the records allow.
//
// A job ends as complete, with the result of every task, or as failed, with the
// state of every task: ran, not-run or unknown. A task is reported as not-run
// only after the backup has confirmed that it will not start the task either.
//
// The package only makes decisions: it receives messages through method calls
// and returns outgoing messages from TakeDecisions. It performs no I/O, starts no
// goroutines and has no clock. A Coordinator is not safe for concurrent use;
// an entry has one per service, each under its own lock.
package coordinator
