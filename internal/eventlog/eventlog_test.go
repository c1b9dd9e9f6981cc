package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

var rowPattern = regexp.MustCompile(`(?m)^\| \d+ \|.*$`)

func TestCatalogueMatchesDocs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, e := range Catalogue() {
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Level, e.Name, e.Text))
	}
	got := rowPattern.FindAllString(string(doc), -1)
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("docs/EVENTS.md differs from the catalogue; its rows should be\n%s", strings.Join(want, "\n"))
	}
}

func TestCatalogueIsOrderedAndUnique(t *testing.T) {
	names := make(map[string]bool)
	last := 0
	for _, e := range Catalogue() {
		if e.Number <= last || names[e.Name] {
			t.Errorf("event %d %s is out of order or given twice", e.Number, e.Name)
		}
		last = e.Number
		names[e.Name] = true
	}
}

func TestEventFields(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log = log.ForInstance("tayside-1", "tayside", "i1")
	log.Event(SubmissionRefused).Send() // below the level
	log.Event(PeerLost).Str("peer", "tayside-2").Send()
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	delete(line, "time")
	want := "map[domain:tayside event:3002 incarnation:i1 instance:tayside-1 level:warn" +
		" message:" + PeerLost.Text + " name:peer-lost peer:tayside-2]"
	if got := fmt.Sprint(line); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

func TestNewRejectsUnknownLevel(t *testing.T) {
	if _, err := New(nil, "loud"); err == nil {
		t.Error("no error")
	}
}
