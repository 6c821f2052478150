package configurer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"mustardlever.dev/mustardlever/internal/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindSyntax  Kind = "syntax"  // the file is not JSON with comments
	KindInvalid Kind = "invalid" // a key or value is invalid or missing
	KindRead    Kind = "read"    // the file cannot be read
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Mistake is one invalid key or value in a file. Line and Column count from 1;
// Column counts bytes.
type Mistake struct {
	File   string
	Line   int
	Column int
	Text   string
}

// String formats the mistake as file:line:column: text.
func (m Mistake) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", m.File, m.Line, m.Column, m.Text)
}

// mistakesError returns one error that lists all mistakes by position, or nil
// when there are none.
func mistakesError(mistakes []Mistake) error {
	if len(mistakes) == 0 {
		return nil
	}
	mistakes = slices.Clone(mistakes)
	slices.SortStableFunc(mistakes, func(a, b Mistake) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	lines := make([]string, len(mistakes))
	for i, m := range mistakes {
		lines[i] = m.String()
	}
	return &Error{Op: "check", Kind: KindInvalid, Detail: strings.Join(lines, "\n")}
}
