// Package explainer determines from the logs of all processes why a request ended
// as it did. It queries no running process.
//
// Each log line carries a hybrid logical clock reading, as do the messages between
// processes. Sorted by that clock, every effect comes after its cause, even if a
// wall clock is stepped.
package explainer
