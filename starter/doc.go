// Package starter decides, at an agent, which requested tasks are started.
//
// It keeps a start record for every task that it was asked to start, by owner,
// backup, ticket and task, so that a task is started at most once and a refused
// start stays refused. A start record is removed when its ticket is closed: the
// ticket's number is then below a watermark, and every start below the
// watermark is refused.
//
// A backup that takes over seals the owner: the agent then refuses the owner's
// starts of tasks on tickets with this backup, and reports its start records to
// the backup. Comments cite rules by their numbers in spec/README.md.
//
// The package only makes decisions: it does no I/O and reads no clock.
package starter
