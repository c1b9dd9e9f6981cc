package problem

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestSpecsMatchDocs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, s := range Specs() {
		wait := ""
		if s.RetryAfter > 0 {
			wait = fmt.Sprint(s.RetryAfter.Milliseconds())
		}
		want = append(want, fmt.Sprintf("| %s | %d | %s | %s | %s |", s.Kind, s.Status, s.Ran, wait, s.Remedy))
	}
	if table := strings.Join(want, "\n"); !strings.Contains(string(doc), "\n|---|---|---|---|---|\n"+table+"\n\n") {
		t.Errorf("docs/API.md differs from the kinds; its rows should be\n%s", table)
	}
}
