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

// file is a file under check. It remembers where each value stands, by its
// path of keys joined by slashes.
type file struct {
	name     string
	text     []byte
	offsets  map[string]int
	lenient  bool // keys that are not known are passed over
	mistakes []Mistake
}

// decode parses text into v, a pointer to a struct. All mistakes of names and
// types are returned together.
func decode(name string, text []byte, v any) (*file, error) {
	f := &file{name: name, text: text, offsets: make(map[string]int)}
	return f, f.decode(v)
}

func (f *file) decode(v any) error {
	tree, err := hujson.Parse(terminated(f.text))
	if err != nil {
		return &Error{Op: "parse " + f.name, Kind: KindSyntax, Detail: "expected JSON with comments", Err: err}
	}
	f.check(tree, reflect.TypeOf(v).Elem(), "")
	if err := mistakes(f.mistakes); err != nil {
		return err
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), v); err != nil {
		return &Error{Op: "parse " + f.name, Kind: KindSyntax, Err: err}
	}
	return nil
}

// Decode decodes a file of our own, JSON with comments, into v, a pointer to a
// struct: keys that v does not have are mistakes. Examine is as for Check.
func Decode(name string, text []byte, v any, examine func(reject func(path, format string, args ...any))) error {
	f, err := decode(name, text, v)
	if err != nil {
		return err
	}
	examine(f.reject)
	return mistakes(f.mistakes)
}

// Check decodes a JSON document that others own into v, a pointer to a struct: keys
// that v does not have are passed over. Examine looks at what was decoded; it
// calls reject with the path of each value that is wrong, such as "routes/0/name".
// All mistakes are returned together, by line and column.
func Check(name string, text []byte, v any, examine func(reject func(path, format string, args ...any))) error {
	f := &file{name: name, text: text, offsets: make(map[string]int), lenient: true}
	var syntax *json.SyntaxError
	if err := json.Unmarshal(text, new(any)); errors.As(err, &syntax) {
		f.complain(max(int(syntax.Offset)-1, 0), "%s", syntax.Error())
		return &Error{Op: "parse", Kind: KindSyntax, Detail: f.mistakes[0].String()}
	}
	if err := f.decode(v); err != nil {
		return err
	}
	examine(f.reject)
	return mistakes(f.mistakes)
}

// terminated ends the text's last line, which may be a comment.
func terminated(text []byte) []byte { return append(slices.Clone(text), '\n') }

// complain adds a mistake at an offset.
func (f *file) complain(offset int, format string, args ...any) {
	before := string(f.text[:offset])
	line := strings.Count(before, "\n") + 1
	column := offset - strings.LastIndex(before, "\n")
	f.mistakes = append(f.mistakes, Mistake{f.name, line, column, fmt.Sprintf(format, args...)})
}

// reject adds a mistake at the value with the path, or at the nearest value
// around it when the file does not state it.
func (f *file) reject(path, format string, args ...any) {
	name := path
	for {
		if offset, ok := f.offsets[path]; ok {
			f.complain(offset, name+": "+format, args...)
			return
		}
		cut := strings.LastIndex(path, "/")
		if cut < 0 {
			f.complain(0, name+": "+format, args...)
			return
		}
		path = path[:cut]
	}
}

// check compares a value with the type it is decoded into.
func (f *file) check(v hujson.Value, t reflect.Type, path string) {
	f.offsets[path] = v.StartOffset
	if t.Kind() == reflect.Pointer && v.Value.Kind() != 'n' {
		t = t.Elem()
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		f.checkObject(v, x, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			f.complain(v.StartOffset, "found a list, expected %s", describe(t))
			return
		}
		for i := range x.Elements {
			f.check(x.Elements[i], t.Elem(), fmt.Sprintf("%s/%d", path, i))
		}
	case hujson.Literal:
		f.checkLiteral(v.StartOffset, x, t)
	}
}

func (f *file) checkObject(v hujson.Value, x *hujson.Object, t reflect.Type, path string) {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		f.complain(v.StartOffset, "found an object, expected %s", describe(t))
		return
	}
	names := fields(t)
	seen := make(map[string]bool)
	for _, m := range x.Members {
		key := m.Name.Value.(hujson.Literal).String()
		if seen[key] {
			f.complain(m.Name.StartOffset, "the key %q stands twice", key)
		}
		seen[key] = true
		element, ok := names[key]
		if t.Kind() == reflect.Map {
			element, ok = t.Elem(), true
		}
		if !ok && f.lenient {
			continue
		}
		if !ok {
			f.complain(m.Name.StartOffset, "unknown key %q; %s", key, hint(key, names))
			continue
		}
		f.check(m.Value, element, strings.TrimPrefix(path+"/"+key, "/"))
	}
}

func (f *file) checkLiteral(offset int, x hujson.Literal, t reflect.Type) {
	ok := false
	switch x.Kind() {
	case 'n':
		ok = t.Kind() == reflect.Pointer || t.Kind() == reflect.Map
	case '"':
		ok = t.Kind() == reflect.String
	case 't', 'f':
		ok = t.Kind() == reflect.Bool
	case '0':
		ok = t.Kind() == reflect.Float64 || isInt(t) && !strings.ContainsAny(string(x), ".eE")
	}
	if !ok {
		f.complain(offset, "found %s, expected %s", string(x), describe(t))
	}
}

func isInt(t reflect.Type) bool { return t.Kind() == reflect.Int || t.Kind() == reflect.Int64 }

// fields returns the JSON names of a struct's fields with their types.
func fields(t reflect.Type) map[string]reflect.Type {
	names := make(map[string]reflect.Type)
	if t.Kind() != reflect.Struct {
		return names
	}
	for i := range t.NumField() {
		x := t.Field(i)
		name, _, _ := strings.Cut(x.Tag.Get("json"), ",")
		names[name] = x.Type
	}
	return names
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

// hint names the known key nearest to an unknown one, or all of them.
func hint(key string, names map[string]reflect.Type) string {
	known := make([]string, 0, len(names))
	for n := range names {
		known = append(known, n)
	}
	slices.Sort(known)
	best, bestDistance := "", 4
	for _, n := range known {
		if d := distance(key, n); d < bestDistance {
			best, bestDistance = n, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "expected one of " + strings.Join(known, ", ")
}

// distance is the Levenshtein distance of two keys.
func distance(a, b string) int {
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
