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
	KindSyntax  Kind = "syntax"  // the file is no JSON with comments
	KindInvalid Kind = "invalid" // a key or value is not as expected
	KindRead    Kind = "read"    // the file cannot be read
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Mistake is one thing wrong in a file, at a line and column counted from 1.
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

// mistakes makes one error of all mistakes, in the order of the file, nil if
// there are none.
func mistakes(list []Mistake) error {
	if len(list) == 0 {
		return nil
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b Mistake) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	lines := make([]string, len(list))
	for i, m := range list {
		lines[i] = m.String()
	}
	return &Error{Op: "check", Kind: KindInvalid, Detail: strings.Join(lines, "\n")}
}
