// Package messenger carries the messages of package protocol between the
// system's own processes, entries and agents.
//
// A session joins one incarnation of a process with one incarnation of
// another. Within a session every message is delivered once and in order, over
// any number of TCP connections: messages are numbered, acknowledged
// cumulatively, and sent again after a reconnection. When a peer cannot be
// reached for Timing.SessionTimeout the session is given up: both sides discard
// what was not delivered, and a later connection starts a new session. No
// message of a session that was given up is ever delivered, so a late copy
// cannot arrive.
//
// On the wire a connection speaks JSON-RPC 2.0: the call "hello" opens or
// resumes a session, the notification "batch" carries messages and
// acknowledgements, and the call "ping" asks for a sign of life.
package messenger
