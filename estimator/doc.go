// Package estimator estimates, from the demand that all entries report, when waiting
// work would start. It does no I/O and has no clock.
//
// An entry sees its own queue and the agents that it is connected to, which are not all.
// Entries therefore exchange their demand (Demand): every Interval each sends its own and
// some that it has learned of to two of the entries with a session, in turn. The cost
// for a process does not depend on the number of entries.
//
// A demand ages from the moment at which its entry measured it, and expires after
// MaxAge, whoever passes it on. An entry that is silent, frozen or cut off is therefore
// soon unknown to the others, and an entry that hears of none decides by its own queue.
// A demand outside of plausible bounds is ignored.
package estimator
