package messenger

import "mustardlever.dev/mustardlever/internal/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "unreachable" // no connection to the peer
	KindFrame       Kind = "frame"       // a frame that is too large or malformed
	KindHello       Kind = "hello"       // the peer refused the session
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
