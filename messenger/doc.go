// Package messenger transmits the messages of package protocol between
// processes: entries and agents.
//
// A session connects one incarnation of a process with one incarnation of
// another. Within a session every message is delivered once and in order, over
// any number of consecutive TCP connections: messages are numbered, acknowledged
// cumulatively, and retransmitted after a reconnection. When a peer is
// unreachable for Timing.SessionTimeout, the session is closed as lost: both
// sides discard undelivered messages, and the next connection starts a new
// session. No message of a closed session is ever delivered, so a delayed
// duplicate cannot arrive in a later session.
//
// A connection uses JSON-RPC 2.0. The call "hello" returns the peer's state of
// the session, the notification "begin" opens or resumes the session, the
// notification "batch" carries messages and acknowledgements, and the call
// "ping" checks that the peer responds.
package messenger
