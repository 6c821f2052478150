// Package fault provides the generic error type that all packages use: an
// operation, a kind and an optional cause.
package fault

import (
	"strings"

	"github.com/pkg/errors"
)

// Error is a failure of the operation Op, classified by Kind. Detail is an
// optional explanation for people; Err is the cause, or nil. Each package defines
// a Kind type of its own and an alias for its instantiation of Error.
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

// Unwrap returns the cause, or nil.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error[K] in the chain of err, or the empty
// kind if there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
