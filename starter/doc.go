// Package starter decides, at an agent, which starts are carried out.
//
// It keeps a mark for every task it was asked to start, by owner, witness,
// ticket and task, so that a task is started at most once and a refused start
// stays refused. A mark goes when its ticket is closed: from then on the
// ticket's number lies below a watermark that refuses every start.
//
// A witness that takes over seals the owner: the agent then refuses the owner's
// starts for that witness's tickets, and reports its marks.
//
// The package decides only: it does no I/O and has no clock.
package starter
