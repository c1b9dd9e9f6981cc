package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// MaxFileBytes is the largest settings file that is read.
const MaxFileBytes = 1 << 20

// Load reads and checks the settings file at path. Invalid content is reported as
// Errors.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings; name a readable file")
	}
	if info.Size() > MaxFileBytes {
		return nil, errors.Errorf("%s: larger than %d bytes; name a settings file", path, MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings; name a readable file")
	}
	return Parse(path, data)
}

// Parse parses and checks the content of a settings file. The name is used in
// error messages only. Invalid content is reported as Errors.
func Parse(name string, data []byte) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, Errors{syntaxError(name, err)}
	}
	s := Default()
	d := &decoder{file: name, data: data, lines: make(map[string]int)}
	d.decodeValue("", &root, reflect.ValueOf(&s).Elem())
	c := &checker{decoder: d, s: &s}
	c.check()
	if len(d.errs) > 0 {
		slices.SortStableFunc(d.errs, func(a, b *FieldError) int { return a.Line - b.Line })
		return nil, d.errs
	}
	return &s, nil
}

func syntaxError(name string, err error) *FieldError {
	msg := strings.TrimPrefix(err.Error(), "hujson: ")
	e := &FieldError{File: name, Message: msg, Remedy: "write JSON; comments and trailing commas are allowed"}
	var column int
	if n, _ := fmt.Sscanf(msg, "line %d, column %d", &e.Line, &column); n == 0 {
		e.Line = 0
	}
	return e
}

// decoder fills a struct from a syntax tree and records the line of each field.
type decoder struct {
	file  string
	data  []byte
	lines map[string]int // line of each field path, from 1
	errs  Errors
}

func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

func (d *decoder) addError(path, message, remedy string) {
	d.errs = append(d.errs, &FieldError{
		File: d.file, Line: d.line(path), Field: path, Message: message, Remedy: remedy,
	})
}

// line returns the line of a field, or of the nearest enclosing field.
func (d *decoder) line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (d *decoder) decodeValue(path string, v *hujson.Value, out reflect.Value) {
	switch out.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, out)
	case reflect.Slice:
		d.decodeArray(path, v, out)
	default:
		d.decodeScalar(path, v, out)
	}
}

func (d *decoder) decodeObject(path string, v *hujson.Value, out reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addError(path, "is not an object", "write {...}")
		return
	}
	fields := fieldsByName(out.Type())
	seen := make(map[string]bool)
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		sub := joinPath(path, name)
		repeated := seen[name]
		if !repeated {
			d.lines[sub] = d.lineAt(m.Name.StartOffset)
		}
		seen[name] = true
		index, known := fields[name]
		switch {
		case repeated:
			d.errs = append(d.errs, &FieldError{
				File: d.file, Line: d.lineAt(m.Name.StartOffset), Field: sub,
				Message: "is given twice", Remedy: "remove one of the two",
			})
		case !known:
			d.addError(sub, "unknown field", "use one of: "+strings.Join(fieldNames(out.Type()), ", "))
		default:
			d.decodeValue(sub, &m.Value, out.Field(index))
		}
	}
}

func (d *decoder) decodeArray(path string, v *hujson.Value, out reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addError(path, "is not an array", "write [...]")
		return
	}
	list := reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		sub := fmt.Sprintf("%s[%d]", path, i)
		d.lines[sub] = d.lineAt(arr.Elements[i].StartOffset)
		d.decodeValue(sub, &arr.Elements[i], list.Index(i))
	}
	out.Set(list)
}

func (d *decoder) decodeScalar(path string, v *hujson.Value, out reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		d.addError(path, "is not "+typeName(out.Kind()), "write "+typeName(out.Kind()))
		return
	}
	if err := json.Unmarshal(lit, out.Addr().Interface()); err != nil {
		d.addError(path, fmt.Sprintf("%s is not %s", lit, typeName(out.Kind())), "write "+typeName(out.Kind()))
	}
}

func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a whole number"
	}
}

func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = i
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("json")
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
