package caller

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// decodeStrict decodes a JSON document into out, a pointer to a struct.
// It refuses what encoding/json lets pass: field names that are unknown or
// differ in case, names given twice in one object, and deep nesting.
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
		return problem.Newf(problem.InvalidRequest, "%s is a %s; write a value of type %s", fieldOrBody(mismatch.Field), mismatch.Value, typeText(mismatch.Type))
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

func typeText(t reflect.Type) string {
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

// scanner walks over valid JSON.
type scanner struct {
	data     []byte
	pos      int
	maxDepth int
}

// value walks over one value. A type of a kind other than struct holds for
// opaque content, whose field names are free.
func (s *scanner) value(path string, t reflect.Type, depth int) error {
	s.space()
	switch s.data[s.pos] {
	case '{':
		return s.object(path, t, depth+1)
	case '[':
		return s.array(path, depth+1)
	case '"':
		s.str()
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
		s.space()
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

// member walks over a name and its value.
func (s *scanner) member(path string, t reflect.Type, names *nameSet, depth int) error {
	name := s.name()
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
	s.space()
	s.pos++ // the colon
	return s.value(path, field, depth)
}

func (s *scanner) array(path string, depth int) error {
	if depth > s.maxDepth {
		return s.tooDeep(path)
	}
	s.pos++
	for {
		s.space()
		switch s.data[s.pos] {
		case ']':
			s.pos++
			return nil
		case ',':
			s.pos++
		default:
			if err := s.value(path, nil, depth); err != nil {
				return err
			}
		}
	}
}

func (s *scanner) tooDeep(path string) error {
	return problem.Newf(problem.TooLarge, "%s is nested more than %d levels deep", fieldOrBody(path), s.maxDepth)
}

func (s *scanner) space() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

// str walks over a string and returns it with its quotes.
func (s *scanner) str() []byte {
	start := s.pos
	for s.pos++; s.data[s.pos] != '"'; s.pos++ {
		if s.data[s.pos] == '\\' {
			s.pos++
		}
	}
	s.pos++
	return s.data[start:s.pos]
}

// name walks over a field name and returns it unescaped.
func (s *scanner) name() []byte {
	raw := s.str()
	if bytes.IndexByte(raw, '\\') < 0 {
		return raw[1 : len(raw)-1]
	}
	var name string
	// The document is valid, so the string can be decoded.
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

// fieldType returns the type of a struct's field.
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

// smallObject is the number of names that are searched one by one.
const smallObject = 16

// nameSet holds the field names of one object.
type nameSet struct {
	few  [smallObject][]byte
	n    int                 // names in few
	many map[string]struct{} // the others
}

// add reports whether the name is new.
func (s *nameSet) add(name []byte) bool {
	for _, f := range s.few[:s.n] {
		if bytes.Equal(f, name) {
			return false
		}
	}
	if s.n < smallObject {
		s.few[s.n] = name
		s.n++
		return true
	}
	if _, known := s.many[string(name)]; known {
		return false
	}
	if s.many == nil {
		s.many = make(map[string]struct{})
	}
	s.many[string(name)] = struct{}{}
	return true
}
