package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

var docRow = regexp.MustCompile("(?m)^\\| `([a-z0-9_.\\[\\]]+)` \\| ([^|]*) \\|")

// TestFieldsMatchDocs checks that docs/OPERATIONS.md lists every field with
// its default.
func TestFieldsMatchDocs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(doc), "\n## Settings\n")
	section, _, _ = strings.Cut(section, "\n## ")
	var got []string
	for _, m := range docRow.FindAllStringSubmatch(section, -1) {
		got = append(got, m[1]+" = "+m[2])
	}
	d := Default()
	want := fieldsOf("", reflect.ValueOf(d))
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("docs/OPERATIONS.md differs from the code; its fields should be\n%s", strings.Join(want, "\n"))
	}
}

func fieldsOf(path string, v reflect.Value) []string {
	if v.Kind() == reflect.Struct {
		var out []string
		for i := range v.NumField() {
			out = append(out, fieldsOf(joinPath(path, v.Type().Field(i).Tag.Get("json")), v.Field(i))...)
		}
		return out
	}
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
		return fieldsOf(path+"[]", reflect.Zero(v.Type().Elem()))
	}
	return []string{path + " = " + defaultText(v)}
}

func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.Slice || v.IsZero() {
		return ""
	}
	return fmt.Sprintf("`%v`", v.Interface())
}
