// Package dispatcher chooses which waiting task of a service an entry starts
// next, and on which backend server.
//
// An entry places tasks without asking the agents first: it knows the free
// capacity that each agent reported last and which of its own starts that
// report did not include. Other entries start tasks on the same agents, so an
// agent may have no free capacity left for a start. It then refuses the start
// and reports its current free capacity.
//
// Jobs with a due time come first, ordered by the latest time at which they can
// start and still meet it. A job that can no longer meet its due time comes
// after those that can. Jobs without a due time are ordered by least remaining
// work, with aging. A task of the chosen job goes to the agent on which it is
// expected to end soonest.
//
// The package does no I/O and reads no clock.
package dispatcher
