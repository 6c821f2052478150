package limiter

import "mustardlever.dev/mustardlever/internal/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindLimit    Kind = "limit"       // the budget has no room, or the connection was evicted
	KindProgress Kind = "no-progress" // a body made no progress for progressTimeout
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
