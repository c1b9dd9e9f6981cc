package tablestore

import (
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// TestStaleCompactionDoesNotRegress repeats the steps of a compaction that is
// based on an older, shorter log than one that already ran.
func TestStaleCompactionDoesNotRegress(t *testing.T) {
	backing := standin.NewStore(0)
	s := New(Options{Platform: platformtest.NewFake(backing)})
	key := table.Key{Customer: "a", Domain: table.Any, Kind: table.Any}
	weight := 2.0
	edits := []table.Edit{
		{Version: 1, ID: "e1", Changes: []table.Change{{Key: key, After: &table.Values{Weight: &weight}}}},
		{Version: 2, ID: "e2", Changes: []table.Change{{Key: key, Base: 1}}},
	}
	for _, moved := range [][]table.Edit{edits, edits[:1]} {
		snap, _ := table.Empty().Apply(moved)
		if err := s.updatePart(t.Context(), partOf(key), snap); err != nil {
			t.Fatal(err)
		}
		if err := s.writePage(t.Context(), Page{Schema: schema, Edits: moved}); err != nil {
			t.Fatal(err)
		}
	}
	var part Part
	if err := decode(backing.Get(partKey(partOf(key))).Value, &part); err != nil || part.Upto != 2 || len(part.Rows) != 0 {
		t.Fatalf("part %+v, error %v", part, err)
	}
	page, ok, err := s.readPage(t.Context(), 0)
	if err != nil || !ok || page.lastVersion() != 2 {
		t.Fatalf("page %+v, error %v", page, err)
	}
}

// TestInterruptedCompactionDoesNotDuplicateEdits leaves a page with newer edits
// than the compaction that took effect, so that an edit is both in the page and
// in the log.
func TestInterruptedCompactionDoesNotDuplicateEdits(t *testing.T) {
	backing := standin.NewStore(0)
	s := New(Options{Platform: platformtest.NewFake(backing)})
	var edits []table.Edit
	for v := range uint64(3) {
		key := table.Key{Server: "b1"}
		edits = append(edits, table.Edit{Version: v + 1, ID: "e", Changes: []table.Change{{Key: key, After: &table.Values{State: table.StateActive}}}})
	}
	if err := s.writePage(t.Context(), Page{Schema: schema, Edits: edits[:2]}); err != nil {
		t.Fatal(err)
	}
	value, err := encode(Log{Schema: schema, Version: 3, Base: 1, NextPage: 1, Edits: edits[1:]})
	if err != nil {
		t.Fatal(err)
	}
	backing.CAS(keyLog, value, 0)
	l, err := s.readLog(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	full, err := s.readFull(t.Context(), l.Log)
	if err != nil || full.Version() != 3 || full.Len() != 1 {
		t.Fatalf("table %+v, error %v", full, err)
	}
	first, err := s.History(t.Context(), Cursor{})
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.History(t.Context(), first.Next)
	if err != nil || len(first.Edits) != 2 || len(second.Edits) != 1 || second.Edits[0].Version != 1 {
		t.Fatalf("history %+v and %+v, error %v", first, second, err)
	}
}
