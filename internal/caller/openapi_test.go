package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

const openAPIFile = "../../docs/openapi.yaml"

// node is a YAML mapping, list or scalar.
type node struct {
	scalar string
	keys   []string
	fields map[string]*node
	items  []*node
}

// at returns the node at a path of keys, or an empty one.
func (n *node) at(path ...string) *node {
	for _, key := range path {
		next, ok := n.fields[key]
		if !ok {
			return &node{}
		}
		n = next
	}
	return n
}

func (n *node) list() []string {
	var out []string
	for _, i := range n.items {
		out = append(out, i.scalar)
	}
	return out
}

// yamlParser parses the subset of YAML described at the top of the file.
type yamlParser struct {
	t     *testing.T
	lines []string
	pos   int
}

func parseYAML(t *testing.T, text string) *node {
	p := &yamlParser{t: t}
	for _, line := range strings.Split(text, "\n") {
		if trimmed := strings.TrimSpace(line); trimmed != "" && !strings.HasPrefix(trimmed, "#") {
			p.lines = append(p.lines, line)
		}
	}
	root := p.block(0)
	if p.pos != len(p.lines) {
		t.Fatalf("%s: bad indentation at %q", openAPIFile, p.lines[p.pos])
	}
	return root
}

func indentOf(line string) int { return len(line) - len(strings.TrimLeft(line, " ")) }

func (p *yamlParser) block(indent int) *node {
	n := &node{fields: make(map[string]*node)}
	for p.pos < len(p.lines) && indentOf(p.lines[p.pos]) == indent {
		line := p.lines[p.pos][indent:]
		if item, ok := strings.CutPrefix(line, "- "); ok {
			n.items = append(n.items, p.item(item))
			continue
		}
		p.entry(n, line, indent)
	}
	return n
}

// item parses a list item: a scalar or a mapping with one entry.
func (p *yamlParser) item(text string) *node {
	p.pos++
	if key, value, ok := strings.Cut(text, ": "); ok && !strings.HasPrefix(text, `"`) {
		return &node{keys: []string{key}, fields: map[string]*node{key: {scalar: unquote(value)}}}
	}
	return &node{scalar: unquote(text)}
}

func (p *yamlParser) entry(n *node, line string, indent int) {
	key, value, ok := strings.Cut(line, ":")
	if !ok {
		p.t.Fatalf("%s: %q is not an entry", openAPIFile, line)
	}
	key = unquote(key)
	if n.fields[key] != nil {
		p.t.Fatalf("%s: duplicate key %q", openAPIFile, key)
	}
	n.keys = append(n.keys, key)
	p.pos++
	if value = strings.TrimSpace(value); value != "" {
		n.fields[key] = &node{scalar: unquote(value)}
		return
	}
	n.fields[key] = p.block(indent + 2)
}

func unquote(s string) string { return strings.Trim(s, `"`) }

func openAPI(t *testing.T) *node {
	t.Helper()
	text, err := os.ReadFile(openAPIFile)
	if err != nil {
		t.Fatal(err)
	}
	return parseYAML(t, string(text))
}

func TestOpenAPIPaths(t *testing.T) {
	var want, got []string
	err := chi.Walk(newTestHandler(nil).router, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		want = append(want, method+" "+route)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	paths := openAPI(t).at("paths")
	for _, path := range paths.keys {
		for _, method := range paths.at(path).keys {
			if method != "parameters" {
				got = append(got, strings.ToUpper(method)+" "+path)
			}
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(want, got) {
		t.Errorf("the file has %q\nthe code has %q", got, want)
	}
}

func TestOpenAPIProblemKinds(t *testing.T) {
	var want []string
	for _, s := range problem.Specs() {
		want = append(want, string(s.Kind))
	}
	if got := openAPI(t).at("components", "schemas", "Kind", "enum").list(); !slices.Equal(want, got) {
		t.Errorf("the file has %q\nthe code has %q", got, want)
	}
	ran := []string{string(api.RanNo), string(api.RanYes), string(api.RanUnknown)}
	if got := openAPI(t).at("components", "schemas", "Ran", "enum").list(); !slices.Equal(ran, got) {
		t.Errorf("the file has %q for Ran", got)
	}
}

func TestOpenAPISchemas(t *testing.T) {
	schemas := openAPI(t).at("components", "schemas")
	types := map[string]reflect.Type{
		"Job":        reflect.TypeFor[api.Job](),
		"Request":    reflect.TypeFor[api.Request](),
		"Resources":  reflect.TypeFor[api.Resources](),
		"TaskResult": reflect.TypeFor[api.TaskResult](),
		"Answer":     reflect.TypeFor[api.Answer](),
		"Problem":    reflect.TypeFor[api.Problem](),
	}
	for name, typ := range types {
		t.Run(name, func(t *testing.T) { compareSchema(t, schemas.at(name), typ) })
	}
	for _, name := range schemas.keys {
		if types[name] == nil && name != "Kind" && name != "Ran" {
			t.Errorf("schema %s has no type in the code", name)
		}
	}
}

func compareSchema(t *testing.T, schema *node, typ reflect.Type) {
	var names []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(names, name)
		want := schemaOf(field.Type)
		if typ == reflect.TypeFor[api.Problem]() && name == "kind" {
			want = schemaPrefix + "Kind"
		}
		if got := textOf(schema.at("properties", name)); want != got {
			t.Errorf("%s is %q, in the code %q", name, got, want)
		}
	}
	if got := schema.at("properties").keys; !slices.Equal(names, got) {
		t.Errorf("the file has %q\nthe code has %q", got, names)
	}
}

// textOf returns the type of a property: its reference, or its type.
func textOf(property *node) string {
	if ref := property.at("$ref").scalar; ref != "" {
		return ref
	}
	return property.at("type").scalar + property.at("items", "$ref").scalar
}

// schemaPrefix is the prefix of references to schemas.
const schemaPrefix = "#/components/schemas/"

func schemaOf(typ reflect.Type) string {
	switch {
	case typ == reflect.TypeFor[json.RawMessage]():
		return ""
	case typ == reflect.TypeFor[api.Ran]():
		return schemaPrefix + "Ran"
	case typ.Kind() == reflect.Struct:
		return schemaPrefix + typ.Name()
	case typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
		return "array" + schemaPrefix + typ.Elem().Name()
	}
	switch typ.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Slice:
		return "array"
	default:
		return "integer"
	}
}

func TestOpenAPILimits(t *testing.T) {
	tasks := openAPI(t).at("components", "schemas", "Job", "properties", "tasks")
	if got := tasks.at("maxItems").scalar; got != fmt.Sprint(api.MaxTasks) {
		t.Errorf("maxItems is %s", got)
	}
	if got := tasks.at("description").scalar; !strings.Contains(got, fmt.Sprint(api.MaxPayloadBytes)) {
		t.Errorf("the description states another limit: %s", got)
	}
	wait := openAPI(t).at("components", "parameters", "Wait", "description").scalar
	for _, d := range []time.Duration{api.MaxWait, DefaultWait} {
		if text := fmt.Sprintf("%ds", d/time.Second); !strings.Contains(wait, text) {
			t.Errorf("the description of wait does not mention %s: %s", text, wait)
		}
	}
}

// TestOpenAPIRequired checks that a submission without a required field is
// rejected, and one with only those is accepted.
func TestOpenAPIRequired(t *testing.T) {
	values := map[string]string{
		"customer": `"acme"`, "home": `"tayside"`, "key": `"` + testKey + `"`, "kind": `"route"`, "tasks": `[1]`, "payload": `1`,
	}
	for schema, path := range map[string]string{"Job": api.PathJobs, "Request": api.PathRequests} {
		required := openAPI(t).at("components", "schemas", schema, "required").list()
		for _, left := range append([]string{""}, required...) {
			var fields []string
			for _, name := range required {
				if name != left {
					fields = append(fields, fmt.Sprintf("%q:%s", name, values[name]))
				}
			}
			w := send(newTestHandler(&fakeDispatcher{answer: complete("1")}), "POST", path, "{"+strings.Join(fields, ",")+"}")
			if (w.Code == http.StatusOK) != (left == "") {
				t.Errorf("%s without %q: got %d %s", schema, left, w.Code, w.Body)
			}
		}
	}
}
