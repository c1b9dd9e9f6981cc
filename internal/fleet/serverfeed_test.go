package fleet

import (
	"maps"
	"slices"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

func entryAt(id model.ServerID, state ServerState, revision uint64) EntryChange {
	return EntryChange{ID: id, Entry: &ServerEntry{ID: id, State: state}, Revision: revision}
}

func removedAt(id model.ServerID, revision uint64) EntryChange {
	return EntryChange{ID: id, Revision: revision}
}

// TestUpdateLacksChangesMadeDuringTheList checks that the changes after a list bring any
// list of a revision in between up to date, also if the pages of the list were newer.
func TestUpdateLacksChangesMadeDuringTheList(t *testing.T) {
	history := []EntryChange{
		entryAt("a", ServerReady, 1), entryAt("b", ServerReady, 2), entryAt("c", ServerReady, 3),
		entryAt("a", ServerDraining, 4), removedAt("b", 5), entryAt("d", ServerReady, 6), entryAt("c", ServerReady, 7), entryAt("a", ServerDraining, 8),
	}
	type states = map[model.ServerID]ServerState
	asOf := func(revision uint64) (states, []EntryChange) {
		last := map[model.ServerID]EntryChange{}
		for _, c := range history[:revision] {
			last[c.ID] = c
		}
		s, items := states{}, []EntryChange{}
		for _, id := range slices.Sorted(maps.Keys(last)) {
			if c := last[id]; c.Entry != nil {
				s[id] = c.Entry.State
				items = append(items, c)
			}
		}
		return s, items
	}
	newest := uint64(len(history))
	want, _ := asOf(newest)
	for first := uint64(1); first <= newest; first++ { // revision of the first page
		for last := first; last <= newest; last++ { // of the last page
			for held := first; held < newest; held++ { // of the list that is brought up to date
				var f ServerFeed
				_, page := asOf(last)
				f.List(page, first)
				got, _ := asOf(held)
				c := f.Update(first, newest, history[first:])
				for _, e := range c.Servers {
					got[e.ID] = e.State
				}
				for _, id := range c.Removed {
					delete(got, id)
				}
				if !maps.Equal(got, want) {
					t.Errorf("pages from %d to %d, list of %d: %v, want %v", first, last, held, got, want)
				}
			}
		}
	}
}

// TestHeartbeatsAreLeftOut checks that only changes of an entry are reported.
func TestHeartbeatsAreLeftOut(t *testing.T) {
	var f ServerFeed
	f.List([]EntryChange{entryAt("a", ServerReady, 1), entryAt("b", ServerReady, 2)}, 2)
	if c := f.Update(2, 4, []EntryChange{entryAt("a", ServerReady, 3), entryAt("b", ServerReady, 4)}); len(c.Servers)+len(c.Removed) > 0 {
		t.Errorf("heartbeats are reported: %+v", c)
	}
	c := f.Update(4, 6, []EntryChange{entryAt("a", ServerDraining, 5), removedAt("b", 6)})
	if len(c.Servers) != 1 || c.Servers[0].State != ServerDraining || !slices.Equal(c.Removed, []model.ServerID{"b"}) {
		t.Errorf("%+v", c)
	}
}
