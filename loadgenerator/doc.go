// Package loadgenerator submits jobs to a running system according to a plan and
// measures their outcomes. It is an open-loop generator: like many independent
// callers, it does not wait for answers before it submits further jobs, so that a
// slow system gets no fewer of them.
package loadgenerator
