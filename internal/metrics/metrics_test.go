package metrics

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

var rowPattern = regexp.MustCompile("(?m)^\\| `" + Namespace + `_.*$`)

func TestSpecsMatchDocs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, s := range Specs() {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", s.Name, s.Type, strings.Join(s.Labels, ", "), s.Help))
	}
	got := rowPattern.FindAllString(string(doc), -1)
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("docs/METRICS.md differs from the code; its rows should be\n%s", strings.Join(want, "\n"))
	}
}

func TestNewSetsEveryCollector(t *testing.T) {
	v := reflect.ValueOf(New()).Elem()
	for i := range v.NumField() {
		if v.Field(i).IsNil() {
			t.Errorf("%s is nil", v.Type().Field(i).Name)
		}
	}
}

func TestGather(t *testing.T) {
	m := New()
	m.Starts.WithLabelValues("tayside", "ok").Inc()
	families, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == Namespace+"_starts_total" && f.Metric[0].GetCounter().GetValue() == 1 {
			return
		}
	}
	t.Error("the counter of starts is not gathered")
}

func TestLabelLimit(t *testing.T) {
	var l LabelLimit
	for i := range MaxLabelValues {
		if s := fmt.Sprint(i); l.Value(s) != s {
			t.Fatalf("value %s is not kept", s)
		}
	}
	if got := l.Value("one more"); got != OtherLabel {
		t.Errorf("got %q", got)
	}
	if got := l.Value("0"); got != "0" {
		t.Errorf("a known value became %q", got)
	}
}
