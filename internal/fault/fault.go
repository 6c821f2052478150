// Package fault holds the shape shared by the error types of all packages:
// an operation, a kind and an optional cause.
package fault

import (
	"strings"

	"github.com/pkg/errors"
)

// Error is an error of the operation Op, of the kind Kind. Detail is a short
// sentence for a person; Err is the cause, if there is one. Each package names
// its own instance, with its own Kind type.
type Error[K ~string] struct {
	Op     string
	Kind   K
	Detail string
	Err    error
}

// Error formats the operation, the kind, the detail and the cause.
func (e *Error[K]) Error() string {
	parts := []string{e.Op, string(e.Kind)}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	if e.Err != nil {
		parts = append(parts, e.Err.Error())
	}
	return strings.Join(parts, ": ")
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error[K] in the chain of err, and the
// empty kind when there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
