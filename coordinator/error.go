package coordinator

import "mustardlever.dev/mustardlever/internal/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindOverload Kind = "overload"       // the queue or the job table is full
	KindNoAgents Kind = "no-agents"      // no backend server of the service is connected
	KindExpired  Kind = "ticket-expired" // the ticket has expired
	KindMismatch Kind = "ticket-in-use"  // the ticket was used for another job
	KindNotOwner Kind = "not-owner"      // another entry owns the ticket
	KindSealed   Kind = "sealed"         // the ticket's backup has taken over
	KindNotFound Kind = "no-job"         // no job was submitted with the ticket
	KindDraining Kind = "draining"       // the entry issues no tickets and accepts no synchronous jobs
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
