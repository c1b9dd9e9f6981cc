package audit

import (
	"fmt"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

func newTrail(t *testing.T, capacity int) *Trail {
	t.Helper()
	trail, err := NewTrail("i1", capacity)
	if err != nil {
		t.Fatal(err)
	}
	return trail
}

func publish(t *testing.T, trail *Trail, list ...Record) {
	t.Helper()
	for _, r := range list {
		if err := trail.Publish(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := trail.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestTrailKeepsNewestInOrder(t *testing.T) {
	trail := newTrail(t, 3)
	var list []Record
	for i := range 8 {
		list = append(list, Record{AtUnixMs: int64(i + 1), Action: ActionView, Row: fmt.Sprint(i)})
	}
	publish(t, trail, list...)
	got := trail.Records(Filter{}, 10)
	if len(got) != 3 || got[0].Row != "7" || got[2].Row != "5" || got[0].Instance != "i1" || trail.Dropped() != 5 {
		t.Fatalf("records %+v, dropped %d", got, trail.Dropped())
	}
}

func TestFilter(t *testing.T) {
	weight := 2.0
	e := table.Edit{Version: 3, ID: "e", Actor: "ann", AtUnixMs: 100, Changes: []table.Change{
		{Key: table.Key{Customer: "a", Domain: "seeb", Kind: "*"}, After: &table.Values{Weight: &weight}},
		{Key: table.Key{Server: "b1"}, After: &table.Values{State: table.StateDrained}},
	}}
	trail := newTrail(t, 10)
	publish(t, trail, append(FromEdit(e), Record{AtUnixMs: 200, Action: ActionQuarantine, Row: "server:b1"})...)
	cases := []struct {
		name   string
		filter Filter
		limit  int
		want   int
	}{
		{"all", Filter{}, 10, 3},
		{"limit", Filter{}, 2, 2},
		{"since", Filter{SinceUnixMs: 200}, 10, 1},
		{"until", Filter{UntilUnixMs: 200}, 10, 2},
		{"row", Filter{Row: "server:b1"}, 10, 2},
		{"customer", Filter{Customer: "a"}, 10, 1},
		{"action", Filter{Action: ActionEdit}, 10, 2},
		{"actor", Filter{Actor: "bob"}, 10, 0},
	}
	for _, c := range cases {
		if got := trail.Records(c.filter, c.limit); len(got) != c.want {
			t.Errorf("%s: %d records, want %d", c.name, len(got), c.want)
		}
	}
}

func TestRefusalCounter(t *testing.T) {
	var s RefusalCounter
	for _, c := range []model.Customer{"b", "a", "b"} {
		s.Add(c, "rate")
	}
	got := s.Flush()
	if len(got) != 2 || got[0].Customer != "a" || got[1].Count != 2 || len(s.Flush()) != 0 {
		t.Fatalf("records %+v", got)
	}
}
