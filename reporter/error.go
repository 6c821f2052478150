package reporter

import "mustardlever.dev/mustardlever/internal/fault"

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	KindEmpty   Kind = "empty"   // there is nothing to report on
	KindMetrics Kind = "metrics" // a page of metrics cannot be read
	KindDraw    Kind = "draw"    // a plot cannot be drawn
	KindWrite   Kind = "write"   // the page cannot be written
)

// Error is an error of this package.
type Error = fault.Error[Kind]
