package tablestore_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
)

func newStore(backing *standin.Store) (*tablestore.Store, *platformtest.Fake) {
	f := platformtest.NewFake(backing)
	return tablestore.New(tablestore.Options{Platform: f, Prefix: "t/", HistoryPages: 20, LogBytes: 512, PagesPerPart: 1}), f
}

func change(customer string, base uint64, concurrency int) table.Change {
	key := table.Key{Customer: model.Customer(customer), Domain: table.Any, Kind: table.Any}
	return table.Change{Key: key, Base: base, After: &table.Values{Concurrency: &concurrency}}
}

func request(id string, changes ...table.Change) tablestore.Request {
	return tablestore.Request{ID: id, Actor: "ann", Changes: changes}
}

func mustEdit(t *testing.T, s *tablestore.Store, r tablestore.Request) tablestore.Result {
	t.Helper()
	res, err := s.Edit(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// fill adds the rows from up to but excluding to, one edit each.
func fill(t *testing.T, s *tablestore.Store, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		mustEdit(t, s, request(fmt.Sprintf("fill-%d", i), change(fmt.Sprintf("c%d", i), 0, i)))
	}
}

// editAgain edits the row of customer a, which has version 1, n times.
func editAgain(t *testing.T, s *tablestore.Store, n int) {
	t.Helper()
	for i := range n {
		mustEdit(t, s, request(fmt.Sprintf("o-%d", i), change("a", uint64(i+1), i)))
	}
}

func TestEditRejectsStaleBase(t *testing.T) {
	s, _ := newStore(standin.NewStore(0))
	mustEdit(t, s, request("e1", change("a", 0, 1)))
	mustEdit(t, s, request("e2", change("a", 1, 2)))
	_, err := s.Edit(t.Context(), request("e3", change("b", 0, 1), change("a", 1, 3)))
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Rows) != 1 || *conflict.Rows[0].Current.Concurrency != 2 || conflict.Rows[0].Actor != "ann" {
		t.Fatalf("error %v", err)
	}
	snap, err := s.Load(t.Context())
	if err != nil || snap.Version() != 2 || snap.Len() != 1 {
		t.Fatalf("version %d, %d rows, error %v", snap.Version(), snap.Len(), err)
	}
	var invalid *table.InvalidError
	if _, err := s.Edit(t.Context(), request("e4", change("a", 2, -1))); !errors.As(err, &invalid) {
		t.Fatalf("error %v", err)
	}
	rolled := request("e5", change("a", 2, 5))
	rolled.KnownVersion = 9
	var back *tablestore.RolledBackError
	if _, err := s.Edit(t.Context(), rolled); !errors.As(err, &back) {
		t.Fatalf("error %v", err)
	}
}

// TestUnknownOutcomes drops the responses to the writes of an edit, including
// those of a compaction. The edit must be applied exactly once.
func TestUnknownOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		before int // edits that fill the log
		lose   int // writes whose responses are lost
		repeat bool
	}{
		{"first write", 0, 1, false},
		{"three times", 0, 3, false},
		{"repeated request", 0, 1, true},
		{"with compaction", 60, 1, false},
		{"with compaction, many", 60, 9, false},
		{"with compaction, repeated", 60, 4, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backing := standin.NewStore(0)
				s, f := newStore(backing)
				fill(t, s, 0, c.before)
				for i := range 40 {
					f.Faults.SetFaults(standin.Faults{LoseAnswers: c.lose})
					r := request(fmt.Sprintf("e-%d", i), change("a", lastVersion(t, backing, "a"), i))
					first := mustEdit(t, s, r)
					if c.repeat {
						again := mustEdit(t, s, r)
						if !again.Repeated || again.Edit.Version != first.Edit.Version {
							t.Fatalf("repeated as version %d, first %d", again.Edit.Version, first.Edit.Version)
						}
					}
				}
				f.Faults.SetFaults(standin.Faults{})
				snap, err := s.Load(t.Context())
				if err != nil || snap.Version() != uint64(c.before+40) {
					t.Fatalf("version %d, error %v", snap.Version(), err)
				}
			})
		})
	}
}

// lastVersion reads a row's version through a store without a cache.
func lastVersion(t *testing.T, backing *standin.Store, customer string) uint64 {
	t.Helper()
	fresh, _ := newStore(backing)
	snap, err := fresh.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r, _ := snap.Row(change(customer, 0, 0).Key)
	return r.Version
}

func TestOutageIsNotUnknownOutcome(t *testing.T) {
	s, f := newStore(standin.NewStore(0))
	f.Faults.SetFaults(standin.Faults{Refuse: true})
	_, err := s.Edit(t.Context(), request("e", change("a", 0, 1)))
	if platform.KindOf(err) != platform.KindUnavailable {
		t.Fatalf("error %v", err)
	}
}

// TestUnresolvedOutcomeIsReported makes the platform unavailable after the
// write took effect and before its lost response is resolved.
func TestUnresolvedOutcomeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f := newStore(standin.NewStore(0))
		f.Faults.SetFaults(standin.Faults{LoseAnswers: 1, LatencyMs: 10})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go func() { time.Sleep(25 * time.Millisecond); f.Faults.SetFaults(standin.Faults{Refuse: true}) }()
		_, err := s.Edit(ctx, request("e", change("a", 0, 1)))
		if platform.KindOf(err) != platform.KindUnknown {
			t.Fatalf("error %v", err)
		}
		f.Faults.SetFaults(standin.Faults{})
		if res := mustEdit(t, s, request("e", change("a", 0, 1))); !res.Repeated {
			t.Fatal("the edit was applied twice")
		}
	})
}

func TestHistoryIsPagedAndBounded(t *testing.T) {
	backing := standin.NewStore(0)
	s, _ := newStore(backing)
	const edits = 200
	for i := range edits {
		mustEdit(t, s, request(fmt.Sprintf("e-%d", i), change(fmt.Sprintf("c%d", i%50), lastVersion(t, backing, fmt.Sprintf("c%d", i%50)), i)))
	}
	kept := readHistory(t, s)
	for i, e := range kept {
		if e.Version != uint64(edits-i) {
			t.Fatalf("version %d at index %d", e.Version, i)
		}
	}
	list := backing.List(t.Context(), "t/", 0, 0)
	pages := 0
	for _, e := range list.Entries {
		if len(e.Value) > 4<<10 {
			t.Errorf("%s takes %d bytes", e.Key, len(e.Value))
		}
		if len(e.Key) > len("t/history/") && e.Key[:len("t/history/")] == "t/history/" {
			pages++
		}
	}
	if pages > 21 || len(kept) < 20 || len(kept) == edits {
		t.Fatalf("%d pages, %d edits retained", pages, len(kept))
	}
}

// TestWatchersSurviveCompactions edits with frequent compactions. Watchers that
// advance after every edit, or less often, must have the same table as a fresh
// reader.
func TestWatchersSurviveCompactions(t *testing.T) {
	backing := standin.NewStore(0)
	s, _ := newStore(backing)
	watchers := []*watcher{{every: 1}, {every: 7}, {every: 140}}
	for _, w := range watchers {
		w.store, _ = newStore(backing)
		w.snap = table.Empty()
	}
	for i := range 150 {
		c := change(fmt.Sprintf("c%d", i%7), lastVersion(t, backing, fmt.Sprintf("c%d", i%7)), i)
		if i%5 == 4 {
			c.After = nil
		}
		mustEdit(t, s, request(fmt.Sprintf("e-%d", i), c))
		fresh, _ := newStore(backing)
		full, err := fresh.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range watchers {
			if i%w.every != 0 {
				continue
			}
			w.advance(t)
			if !sameRows(w.snap, full) {
				t.Fatalf("edit %d: watcher %+v, fresh reader %+v", i, w.snap.Rows(), full.Rows())
			}
		}
	}
}

type watcher struct {
	store *tablestore.Store
	snap  *table.Snapshot
	every int // edits between two calls of advance
}

func (w *watcher) advance(t *testing.T) {
	t.Helper()
	ch, err := w.store.Watch(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	update, err := w.store.Advance(t.Context(), w.snap, ch.Log)
	if err != nil {
		t.Fatal(err)
	}
	if again, ok := w.snap.Apply(update.Edits); update.Edits != nil && (!ok || !sameRows(again, update.Table)) {
		t.Fatal("the edits of the update do not produce its table")
	}
	if w.every < 20 && update.Edits == nil {
		t.Fatal("the update has no edits")
	}
	w.snap = update.Table
}

// readHistory reads all edits in the history, newest first.
func readHistory(t *testing.T, s *tablestore.Store) []table.Edit {
	t.Helper()
	var edits []table.Edit
	var cursor tablestore.Cursor
	for more := true; more; {
		h, err := s.History(t.Context(), cursor)
		if err != nil {
			t.Fatal(err)
		}
		edits = append(edits, h.Edits...)
		cursor, more = h.Next, h.More
	}
	return edits
}

// requireWholeHistory reads all edits and fails on a gap.
func requireWholeHistory(t *testing.T, s *tablestore.Store) []table.Edit {
	t.Helper()
	edits := readHistory(t, s)
	for i, e := range edits {
		if e.Version != uint64(len(edits)-i) {
			t.Fatalf("version %d at index %d of %d", e.Version, i, len(edits))
		}
	}
	return edits
}

// TestLoadDuringCompaction runs compactions between the reads of a slow reader.
func TestLoadDuringCompaction(t *testing.T) {
	for delay := 5; delay < 60; delay += 10 {
		t.Run(fmt.Sprintf("after %d ms", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backing := standin.NewStore(0)
				s, _ := newStore(backing)
				fill(t, s, 0, 60)
				slow, f := newStore(backing)
				f.Faults.SetFaults(standin.Faults{LatencyMs: 10})
				var wg sync.WaitGroup
				wg.Go(func() { time.Sleep(time.Duration(delay) * time.Millisecond); fill(t, s, 60, 120) })
				snap, err := slow.Load(t.Context())
				wg.Wait()
				if err != nil || snap.Len() != int(snap.Version()) {
					t.Fatalf("%d rows at version %d, error %v", snap.Len(), snap.Version(), err)
				}
			})
		})
	}
}

// TestUnknownOutcomeAfterCompaction has other editors change the same row and
// compact the log before a lost response is resolved.
func TestUnknownOutcomeAfterCompaction(t *testing.T) {
	cases := []struct {
		name   string
		others int
		want   platform.Kind
	}{
		{"found in the history", 30, platform.KindNone},
		{"the history no longer reaches back", 150, platform.KindUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backing := standin.NewStore(0)
				s, f := newStore(backing)
				f.Faults.SetFaults(standin.Faults{LoseAnswers: 1, LatencyMs: 10})
				go func() {
					time.Sleep(25 * time.Millisecond)
					f.Faults.SetFaults(standin.Faults{Refuse: true})
					other, _ := newStore(backing)
					editAgain(t, other, c.others)
					f.Faults.SetFaults(standin.Faults{})
				}()
				res, err := s.Edit(t.Context(), request("e", change("a", 0, 1)))
				if platform.KindOf(err) != c.want {
					t.Fatalf("result %+v, error %v", res, err)
				}
				if err == nil && (!res.Repeated || res.Edit.Version != 1) {
					t.Fatalf("result %+v", res)
				}
			})
		})
	}
}

func sameRows(a, b *table.Snapshot) bool {
	return a.Version() == b.Version() && slices.EqualFunc(a.Rows(), b.Rows(), func(x, y table.Row) bool {
		return x.Key == y.Key && x.Version == y.Version && x.Values.Equal(y.Values)
	})
}

// TestStaleCachedLogDoesNotRejectEdit makes the cached log stale by edits
// through another store: neither its old row version nor its old table version
// may reject a valid edit.
func TestStaleCachedLogDoesNotRejectEdit(t *testing.T) {
	backing := standin.NewStore(0)
	s, _ := newStore(backing)
	other, _ := newStore(backing)
	mustEdit(t, s, request("e1", change("a", 0, 1)))
	mustEdit(t, other, request("e2", change("a", 1, 2)))
	mustEdit(t, s, request("e3", change("a", 2, 3)))
	late := request("e4", change("a", 3, 4))
	late.KnownVersion = 4
	mustEdit(t, other, request("e5", change("b", 0, 1)))
	mustEdit(t, s, late)
}

// TestRepeatedEditIsRecognizedAfterOtherEdits reuses an edit's ID after its row
// was changed again and the log was compacted.
func TestRepeatedEditIsRecognizedAfterOtherEdits(t *testing.T) {
	s, _ := newStore(standin.NewStore(0))
	r := request("e", change("a", 0, 1))
	mustEdit(t, s, r)
	editAgain(t, s, 30)
	if res := mustEdit(t, s, r); !res.Repeated || res.Edit.Version != 1 {
		t.Fatalf("result %+v", res)
	}
}

func TestCheckChangesNothing(t *testing.T) {
	s, _ := newStore(standin.NewStore(0))
	mustEdit(t, s, request("e1", change("a", 0, 1)))
	changes, err := s.Check(t.Context(), request("e2", change("a", 1, 2)))
	if err != nil || *changes[0].Before.Concurrency != 1 {
		t.Fatalf("changes %+v, error %v", changes, err)
	}
	var conflict *table.ConflictError
	if _, err := s.Check(t.Context(), request("e2", change("a", 0, 2))); !errors.As(err, &conflict) {
		t.Fatalf("error %v", err)
	}
	if snap, err := s.Load(t.Context()); err != nil || snap.Version() != 1 {
		t.Fatalf("version %d, error %v", snap.Version(), err)
	}
}
