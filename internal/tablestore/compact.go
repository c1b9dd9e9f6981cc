package tablestore

import (
	"context"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// compactLog moves all but the newest edits of a log to a history page and
// returns the shortened log. Before every PagesPerPart-th page it rewrites one
// part. Each step may be repeated, also by concurrent editors: parts and pages
// only move forward, and the shortened log takes effect only with the editor's
// compare-and-swap. snap is the table at the log's version.
func (s *Store) compactLog(ctx context.Context, l Log, snap *table.Snapshot) (Log, error) {
	moved := l.Edits[:l.compactCount(s.opts.LogBytes/retainedLogDivisor)]
	if l.NextPage%s.opts.PagesPerPart == 0 {
		n := int(l.NextPage / s.opts.PagesPerPart % numParts)
		if err := s.updatePart(ctx, n, snap); err != nil {
			return Log{}, err
		}
	}
	if err := s.writePage(ctx, Page{Schema: schema, Number: l.NextPage, Edits: moved}); err != nil {
		return Log{}, err
	}
	if l.NextPage >= s.opts.HistoryPages {
		s.deletePage(ctx, l.NextPage-s.opts.HistoryPages)
	}
	return l.truncate(moved[len(moved)-1].Version), nil
}

// compactCount returns the number of edits that a compaction moves: all but the
// newest that fit into keepBytes, and at least one.
func (l Log) compactCount(keepBytes int) int {
	size := 0
	for i, e := range slices.Backward(l.Edits) {
		b, err := encode(e)
		size += len(b)
		if err != nil || size > keepBytes {
			return i + 1
		}
	}
	return 1
}

// updatePart writes part n from a table, unless the stored part is as new.
func (s *Store) updatePart(ctx context.Context, n int, snap *table.Snapshot) error {
	key := s.key(partKey(n))
	entry, err := s.p.Get(ctx, key)
	if err != nil {
		return err
	}
	if entry.Exists() {
		var old Part
		if err := decode(entry.Value, &old); err != nil {
			return &DamagedError{Key: key, Cause: err}
		}
		if old.Upto >= snap.Version() {
			return nil
		}
	}
	p := Part{Schema: schema, Upto: snap.Version(), Rows: []table.Row{}}
	for _, r := range snap.Rows() {
		if partOf(r.Key) == n {
			p.Rows = append(p.Rows, r)
		}
	}
	value, err := encode(p)
	if err != nil {
		return err
	}
	if len(value) > maxPartBytes {
		return &TooLargeError{What: "a part of the table", Bytes: len(value), Limit: maxPartBytes}
	}
	_, err = s.p.CAS(ctx, key, value, entry.Index)
	return asConflict(err)
}

// asConflict turns the unknown outcome of a compaction step into a conflict:
// the step is checked again when the edit is retried.
func asConflict(err error) error {
	if platform.KindOf(err) == platform.KindUnknown {
		return &platform.Error{Kind: platform.KindConflict, Op: platform.OpCAS, Key: "trim", Cause: err}
	}
	return err
}

// writePage writes a history page. A page left behind by an interrupted
// compaction is replaced only by one with newer edits.
func (s *Store) writePage(ctx context.Context, p Page) error {
	key := s.key(pageKey(p.Number))
	entry, err := s.p.Get(ctx, key)
	if err != nil {
		return err
	}
	if entry.Exists() {
		var old Page
		if err := decode(entry.Value, &old); err != nil {
			return &DamagedError{Key: key, Cause: err}
		}
		if old.lastVersion() >= p.lastVersion() {
			return nil
		}
	}
	value, err := encode(p)
	if err != nil {
		return err
	}
	_, err = s.p.CAS(ctx, key, value, entry.Index)
	return asConflict(err)
}

func (p Page) lastVersion() uint64 {
	if len(p.Edits) == 0 {
		return 0
	}
	return p.Edits[len(p.Edits)-1].Version
}

// deletePage removes a page beyond the history limit. A failure leaves one
// extra page, which is harmless.
func (s *Store) deletePage(ctx context.Context, number uint64) {
	entry, err := s.p.Get(ctx, s.key(pageKey(number)))
	if err == nil && entry.Exists() {
		_ = s.p.Delete(ctx, entry.Key, entry.Index)
	}
}
