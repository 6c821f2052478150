package explainer

import "mustardlever.dev/mustardlever/internal/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindRead     Kind = "read"      // reading a log failed
	KindNotFound Kind = "not-found" // no line has the requested id
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
