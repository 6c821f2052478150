package configurer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// file is a file being checked. offsets holds the byte offset in text of each value,
// by the value's path: its keys joined by slashes.
type file struct {
	name             string
	text             []byte
	offsets          map[string]int
	allowUnknownKeys bool // unknown keys are ignored instead of rejected
	mistakes         []Mistake
}

// decode parses text into v, a pointer to a struct. Its error lists all unknown
// or duplicate keys and all values of the wrong type.
func decode(name string, text []byte, v any) (*file, error) {
	f := &file{name: name, text: text, offsets: make(map[string]int)}
	return f, f.decode(v)
}

func (f *file) decode(v any) error {
	tree, err := hujson.Parse(withNewline(f.text))
	if err != nil {
		return &Error{Op: "parse " + f.name, Kind: KindSyntax, Detail: "expected JSON with comments", Err: err}
	}
	f.check(tree, reflect.TypeOf(v).Elem(), "")
	if err := mistakesError(f.mistakes); err != nil {
		return err
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), v); err != nil {
		return &Error{Op: "parse " + f.name, Kind: KindSyntax, Err: err}
	}
	return nil
}

// Decode decodes a file of this project, JSON with comments, into v, a pointer to
// a struct. Keys without a field in v are mistakes. The function validate is the
// same as for Check.
func Decode(name string, text []byte, v any, validate func(reject func(path, format string, args ...any))) error {
	f, err := decode(name, text, v)
	if err != nil {
		return err
	}
	validate(f.reject)
	return mistakesError(f.mistakes)
}

// Check decodes a JSON document whose format others define into v, a pointer to a
// struct. Keys without a field in v are ignored. The function validate checks the
// decoded values; it calls reject with the path of each invalid value, such as
// "routes/0/name". The error lists all mistakes by line and column.
func Check(name string, text []byte, v any, validate func(reject func(path, format string, args ...any))) error {
	f := &file{name: name, text: text, offsets: make(map[string]int), allowUnknownKeys: true}
	var syntax *json.SyntaxError
	if err := json.Unmarshal(text, new(any)); errors.As(err, &syntax) {
		f.addMistake(max(int(syntax.Offset)-1, 0), "%s", syntax.Error())
		return &Error{Op: "parse", Kind: KindSyntax, Detail: f.mistakes[0].String()}
	}
	if err := f.decode(v); err != nil {
		return err
	}
	validate(f.reject)
	return mistakesError(f.mistakes)
}

// withNewline returns text with a final newline. Without it, a comment in the last
// line would be unterminated.
func withNewline(text []byte) []byte { return append(slices.Clone(text), '\n') }

// addMistake adds a mistake at a byte offset.
func (f *file) addMistake(offset int, format string, args ...any) {
	before := string(f.text[:offset])
	line := strings.Count(before, "\n") + 1
	column := offset - strings.LastIndex(before, "\n")
	f.mistakes = append(f.mistakes, Mistake{f.name, line, column, fmt.Sprintf(format, args...)})
}

// reject adds a mistake at the value with the given path. When the file does not
// have that value, the mistake is placed at the innermost enclosing value that it
// has.
func (f *file) reject(path, format string, args ...any) {
	fullPath := path
	for {
		if offset, ok := f.offsets[path]; ok {
			f.addMistake(offset, fullPath+": "+format, args...)
			return
		}
		slash := strings.LastIndex(path, "/")
		if slash < 0 {
			f.addMistake(0, fullPath+": "+format, args...)
			return
		}
		path = path[:slash]
	}
}

// check records the positions of a value and of all values within it, and adds a
// mistake for each that cannot be decoded into its type.
func (f *file) check(v hujson.Value, t reflect.Type, path string) {
	f.offsets[path] = v.StartOffset
	if t.Kind() == reflect.Pointer && v.Value.Kind() != 'n' {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		f.checkObject(v, value, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			f.addMistake(v.StartOffset, "found an array, expected %s", describeType(t))
			return
		}
		for i := range value.Elements {
			f.check(value.Elements[i], t.Elem(), fmt.Sprintf("%s/%d", path, i))
		}
	case hujson.Literal:
		f.checkLiteral(v.StartOffset, value, t)
	}
}

func (f *file) checkObject(v hujson.Value, object *hujson.Object, t reflect.Type, path string) {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		f.addMistake(v.StartOffset, "found an object, expected %s", describeType(t))
		return
	}
	types := fieldTypes(t)
	seen := make(map[string]bool)
	for _, m := range object.Members {
		key := m.Name.Value.(hujson.Literal).String()
		if seen[key] {
			f.addMistake(m.Name.StartOffset, "duplicate key %q", key)
		}
		seen[key] = true
		elementType, ok := types[key]
		if t.Kind() == reflect.Map {
			elementType, ok = t.Elem(), true
		}
		if !ok && f.allowUnknownKeys {
			continue
		}
		if !ok {
			f.addMistake(m.Name.StartOffset, "unknown key %q; %s", key, suggestKeys(key, types))
			continue
		}
		f.check(m.Value, elementType, strings.TrimPrefix(path+"/"+key, "/"))
	}
}

func (f *file) checkLiteral(offset int, literal hujson.Literal, t reflect.Type) {
	ok := false
	switch literal.Kind() {
	case 'n':
		ok = t.Kind() == reflect.Pointer || t.Kind() == reflect.Map
	case '"':
		ok = t.Kind() == reflect.String
	case 't', 'f':
		ok = t.Kind() == reflect.Bool
	case '0':
		ok = t.Kind() == reflect.Float64 || isInt(t) && !strings.ContainsAny(string(literal), ".eE")
	}
	if !ok {
		f.addMistake(offset, "found %s, expected %s", string(literal), describeType(t))
	}
}

func isInt(t reflect.Type) bool { return t.Kind() == reflect.Int || t.Kind() == reflect.Int64 }

// fieldTypes returns the types of a struct's fields by their JSON names. It is
// empty for any other type.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type)
	if t.Kind() != reflect.Struct {
		return types
	}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		types[name] = field.Type
	}
	return types
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	}
	return "an object"
}

// suggestKeys suggests the known key most similar to an unknown one, or lists all
// known keys when none is similar.
func suggestKeys(key string, types map[string]reflect.Type) string {
	known := make([]string, 0, len(types))
	for name := range types {
		known = append(known, name)
	}
	slices.Sort(known)
	best, bestDistance := "", 4
	for _, name := range known {
		if d := editDistance(key, name); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "expected one of " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance of two keys.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
