package messenger

import "mustardlever.dev/mustardlever/internal/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "unreachable" // no connection to the peer
	KindFrame       Kind = "frame"       // a frame or batch is malformed, or a frame is too large
	KindPanic       Kind = "panic"       // handling a request panicked
	KindHandshake   Kind = "hello"       // a session was refused, or a batch arrived without one
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
