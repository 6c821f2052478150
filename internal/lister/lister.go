// Package lister decodes JSON arrays element by element. An array of permitted size may have
// so many small elements that decoding it into a slice takes a hundred times its size.
package lister

import (
	"bytes"
	"encoding/json"
)

// Each decodes an array, or null as an empty one, and calls visit with each element. Strict
// makes unknown fields of elements errors. The error is that of encoding/json for text that is
// no array or has an element that T does not admit.
func Each[T any](text []byte, strict bool, visit func(element T)) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if strict {
		decoder.DisallowUnknownFields()
	}
	if text = bytes.TrimSpace(text); len(text) == 0 || text[0] != '[' {
		var all []T
		return decoder.Decode(&all) // null, or no array
	}
	if _, err := decoder.Token(); err != nil {
		return err
	}
	var element, zero T // allocated once, since its address is taken
	for decoder.More() {
		element = zero
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		visit(element)
	}
	_, err := decoder.Token()
	return err
}
