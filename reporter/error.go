package reporter

import "mustardlever.dev/mustardlever/internal/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindEmpty   Kind = "empty"   // the log has no lines
	KindMetrics Kind = "metrics" // a metrics page cannot be parsed
	KindDraw    Kind = "draw"    // a plot cannot be drawn
	KindWrite   Kind = "write"   // the report cannot be written
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
