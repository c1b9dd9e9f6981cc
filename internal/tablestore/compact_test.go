package tablestore

import (
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// TestStaleCompactionTakesNothingBack repeats the steps of a compaction that
// saw a shorter log than a later one.
func TestStaleCompactionTakesNothingBack(t *testing.T) {
	backing := standin.NewStore(0)
	s := New(Options{Platform: platformtest.NewFake(backing)})
	key := table.Key{Customer: "a", Domain: table.Any, Kind: table.Any}
	weight := 2.0
	edits := []table.Edit{
		{Version: 1, ID: "e1", Changes: []table.Change{{Key: key, After: &table.Values{Weight: &weight}}}},
		{Version: 2, ID: "e2", Changes: []table.Change{{Key: key, Base: 1}}},
	}
	for _, moved := range [][]table.Edit{edits, edits[:1]} {
		if err := s.mergePart(t.Context(), partOf(key), moved); err != nil {
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
	if err != nil || !ok || page.last() != 2 {
		t.Fatalf("page %+v, error %v", page, err)
	}
}
