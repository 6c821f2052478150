// Package dispatcher chooses which waiting task of a service an entry starts
// next, and on which granted slot.
//
// Jobs are taken by the least remaining work first. Waiting makes a job more
// urgent, so that none starves. Within the choice of a job the fastest agent
// with a granted slot comes first, by a moving estimate of its task times.
//
// The package decides only: it does no I/O and has no clock.
package dispatcher
