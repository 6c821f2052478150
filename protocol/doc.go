// Package protocol defines the messages that entries and agents exchange, and
// the types in them. It does no I/O: packages such as coordinator and starter
// take and return these messages, and package messenger transmits them.
package protocol
