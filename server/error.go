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
	KindUnsupported    Kind = "unsupported" // a job needs what is not served
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// detail returns the sentence for a person in an error of any package.
func detail(err error) string {
	var x *coordinator.Error
	if errors.As(err, &x) && x.Detail != "" {
		return x.Detail
	}
	return err.Error()
}
