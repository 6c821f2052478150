// Package soaker runs the real programs as separate processes against stand-ins
// of the users' platform, has faults happen to them from outside, and checks
// meanwhile what callers, executors and operators were promised. A seed fixes the
// faults and their times, but not how the processes are scheduled, so that a
// failure may need several runs of its seed to come again.
//
// Faults come in storms, overlapping, each followed by a while in which the
// system has to recover, and by planned stops and a changed configuration, which
// must cost no caller anything.
package soaker
