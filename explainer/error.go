package explainer

import "mustardlever.dev/mustardlever/internal/fault"

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	KindRead     Kind = "read"      // a log cannot be read
	KindNotFound Kind = "not-found" // no line has the id
)

// Error is an error of this package.
type Error = fault.Error[Kind]
