// Package dispatcher chooses which waiting task of a service an entry starts
// next, and on which backend server.
//
// An entry knows how much room each agent reported and which of its own starts
// that report did not count yet, so that it places tasks without asking. Other
// entries place tasks too; an agent answers a start that found no room with a
// refusal and its new room.
//
// Jobs with a time to be done by come first in the order in which they have to
// start to make it; a job that can no longer make it comes after those that
// can. Jobs without such a time follow the least remaining work first, with
// waiting making them urgent. Within a job's choice, the agent on which the
// task is expected to end soonest comes first.
//
// The package decides only: it does no I/O and has no clock.
package dispatcher
