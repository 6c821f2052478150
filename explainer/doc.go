// Package explainer tells from the logs of all processes why a request ended as
// it did, without asking any process.
//
// Each line of a log carries a hybrid logical clock reading, which messages
// between processes carry too: lines in the order of that clock have each effect
// after its cause, also while wall clocks jump.
package explainer
