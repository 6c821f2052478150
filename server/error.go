package server

import (
	"github.com/pkg/errors"

	"mustardlever.dev/mustardlever/coordinator"
	"mustardlever.dev/mustardlever/internal/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindUnknownService Kind = "unknown-service"
	KindBadRequest     Kind = "bad-request"
	KindTooLarge       Kind = "too-large"
	KindOwnerLost      Kind = "owner-lost"
	KindNoRoute        Kind = "no-route"
	KindUnsupported    Kind = "unsupported" // the job needs a feature that is not supported
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// errorDetail returns the human-readable detail of a coordinator error, and the
// whole text of any other error.
func errorDetail(err error) string {
	var coordinatorErr *coordinator.Error
	if errors.As(err, &coordinatorErr) && coordinatorErr.Detail != "" {
		return coordinatorErr.Detail
	}
	return err.Error()
}
