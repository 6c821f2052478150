package coordinator

import "mustardlever.dev/mustardlever/internal/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindOverload Kind = "overload"       // too much waits already
	KindNoAgents Kind = "no-agents"      // no backend server serves the service
	KindExpired  Kind = "ticket-expired" // the ticket's time is over
	KindMismatch Kind = "ticket-in-use"  // the ticket holds another job
	KindNotOwner Kind = "not-owner"      // the ticket belongs to another entry
	KindSealed   Kind = "sealed"         // the ticket's witness has taken over
	KindNotFound Kind = "no-job"         // no job was submitted with the ticket
	KindDraining Kind = "draining"       // the entry issues no more tickets
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
