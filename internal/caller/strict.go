package caller

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// decodeStrict decodes a JSON document into out, a pointer to a struct.
// It rejects what encoding/json accepts: field names that are unknown or
// differ in case, duplicate names in one object, deep nesting, and more tasks than the
// API allows: decoding them takes some 20 times the memory of the body.
func decodeStrict(body []byte, maxDepth int, out any) error {
	if !json.Valid(body) {
		return syntaxProblem(body, out)
	}
	s := scanner{data: body, maxDepth: maxDepth}
	if err := s.value("", reflect.TypeOf(out).Elem(), 0); err != nil {
		return err
	}
	err := json.Unmarshal(body, out)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return problem.Newf(problem.InvalidRequest, "%s is a %s; write a value of type %s", fieldOrBody(mismatch.Field), mismatch.Value, typeName(mismatch.Type))
	}
	if err != nil {
		return problem.Newf(problem.InvalidRequest, "the body can't be decoded: %v", err)
	}
	return nil
}

func syntaxProblem(body []byte, out any) error {
	err := json.Unmarshal(body, out)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return problem.Newf(problem.InvalidRequest, "the body is not JSON: %v at byte %d", syntax, syntax.Offset)
	}
	return problem.New(problem.InvalidRequest, "the body is not JSON")
}

func fieldOrBody(field string) string {
	if field == "" {
		return "the body"
	}
	return field
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Slice:
		return "array"
	case reflect.Struct:
		return "object"
	default:
		return "whole number (" + t.Kind().String() + ")"
	}
}

// scanner traverses valid JSON.
type scanner struct {
	data     []byte
	pos      int
	maxDepth int
}

// value scans one value. Types other than structs mark opaque content, whose
// field names are not checked.
func (s *scanner) value(path string, t reflect.Type, depth int) error {
	s.skipSpace()
	switch s.data[s.pos] {
	case '{':
		return s.object(path, t, depth+1)
	case '[':
		n, err := s.array(path, depth+1)
		if err == nil && t == reflect.TypeFor[[]json.RawMessage]() && n > api.MaxTasks {
			err = problem.Newf(problem.TooLarge, "%d %s; the limit of the API is %d", n, path, api.MaxTasks)
		}
		return err
	case '"':
		s.stringLiteral()
	default:
		s.literal()
	}
	return nil
}

func (s *scanner) object(path string, t reflect.Type, depth int) error {
	if depth > s.maxDepth {
		return s.tooDeep(path)
	}
	s.pos++
	var names nameSet
	for {
		s.skipSpace()
		if s.data[s.pos] == '}' {
			s.pos++
			return nil
		}
		if s.data[s.pos] == ',' {
			s.pos++
			continue
		}
		if err := s.member(path, t, &names, depth); err != nil {
			return err
		}
	}
}

// member scans a name and its value.
func (s *scanner) member(path string, t reflect.Type, names *nameSet, depth int) error {
	name := s.fieldName()
	if !names.add(name) {
		return problem.Newf(problem.InvalidRequest, "%s is given twice", join(path, string(name)))
	}
	var field reflect.Type
	if t != nil && t.Kind() == reflect.Struct {
		path = join(path, string(name))
		var err error
		if field, err = fieldType(t, string(name), path); err != nil {
			return err
		}
	}
	s.skipSpace()
	s.pos++ // the colon
	return s.value(path, field, depth)
}

// array returns the number of elements.
func (s *scanner) array(path string, depth int) (n int, err error) {
	if depth > s.maxDepth {
		return 0, s.tooDeep(path)
	}
	s.pos++
	for {
		s.skipSpace()
		switch s.data[s.pos] {
		case ']':
			s.pos++
			return n, nil
		case ',':
			s.pos++
		default:
			n++
			if err := s.value(path, nil, depth); err != nil {
				return n, err
			}
		}
	}
}

func (s *scanner) tooDeep(path string) error {
	return problem.Newf(problem.TooLarge, "%s is nested more than %d levels deep", fieldOrBody(path), s.maxDepth)
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

// stringLiteral scans a string and returns it with its quotes.
func (s *scanner) stringLiteral() []byte {
	start := s.pos
	for s.pos++; s.data[s.pos] != '"'; s.pos++ {
		if s.data[s.pos] == '\\' {
			s.pos++
		}
	}
	s.pos++
	return s.data[start:s.pos]
}

// fieldName scans a field name and returns it unescaped.
func (s *scanner) fieldName() []byte {
	raw := s.stringLiteral()
	if bytes.IndexByte(raw, '\\') < 0 {
		return raw[1 : len(raw)-1]
	}
	var name string
	// The document is valid JSON, so decoding can't fail.
	_ = json.Unmarshal(raw, &name)
	return []byte(name)
}

func (s *scanner) literal() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ',', '}', ']', ' ', '\t', '\r', '\n':
			return
		}
		s.pos++
	}
}

// fieldType returns the type of a field by its JSON name.
func fieldType(t reflect.Type, name, path string) (reflect.Type, error) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type, nil
		}
	}
	return nil, problem.Newf(problem.UnknownField, "%s is not a field of this API", strconv.Quote(path))
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxLinearNames is the number of names that are searched linearly.
const maxLinearNames = 16

// nameSet is the set of field names of one object.
type nameSet struct {
	linear [maxLinearNames][]byte
	n      int                 // names in linear
	rest   map[string]struct{} // further names
}

// add reports whether the name was new.
func (s *nameSet) add(name []byte) bool {
	for _, f := range s.linear[:s.n] {
		if bytes.Equal(f, name) {
			return false
		}
	}
	if s.n < maxLinearNames {
		s.linear[s.n] = name
		s.n++
		return true
	}
	if _, known := s.rest[string(name)]; known {
		return false
	}
	if s.rest == nil {
		s.rest = make(map[string]struct{})
	}
	s.rest[string(name)] = struct{}{}
	return true
}
