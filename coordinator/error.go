package coordinator

import "mustardlever.dev/mustardlever/internal/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindOverload Kind = "overload"       // the queue, the job table or the memory for jobs is full
	KindNoAgents Kind = "no-agents"      // no backend server of the service is connected
	KindExpired  Kind = "ticket-expired" // the ticket has expired
	KindMismatch Kind = "ticket-in-use"  // the ticket was used for another job
	KindNotOwner Kind = "not-owner"      // another entry owns the ticket
	KindSealed   Kind = "sealed"         // the ticket's backup has taken over
	KindNotFound Kind = "no-job"         // no job was submitted with the ticket
	KindNoMemory Kind = "no-memory"      // there is no memory for a job that another entry may have run
	KindDraining Kind = "draining"       // the entry issues no tickets and accepts no synchronous jobs
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
