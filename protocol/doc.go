// Package protocol holds the messages between entries and agents, and the types
// in them. It does no I/O: the decisions take and return these, and package
// messenger carries them.
package protocol
