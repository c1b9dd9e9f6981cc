package tablestore

import (
	"context"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// compact writes all but the newest edits of a log to the parts and to a
// history page, and returns the log without them. Each step may be repeated,
// also by several editors at once: parts and pages only move forward, and
// the shorter log takes effect only by the editor's compare-and-swap.
func (s *Store) compact(ctx context.Context, l Log) (Log, error) {
	moved := l.Edits[:l.cut(s.opts.LogBytes/keepLogShare)]
	base := moved[len(moved)-1].Version
	var byPart [numParts]bool
	for _, e := range moved {
		for _, c := range e.Changes {
			byPart[partOf(c.Key)] = true
		}
	}
	for n, touched := range byPart {
		if !touched {
			continue
		}
		if err := s.mergePart(ctx, n, moved); err != nil {
			return Log{}, err
		}
	}
	if err := s.writePage(ctx, Page{Schema: schema, Number: l.NextPage, Edits: moved}); err != nil {
		return Log{}, err
	}
	if l.NextPage >= s.opts.HistoryPages {
		s.dropPage(ctx, l.NextPage-s.opts.HistoryPages)
	}
	return l.trim(base), nil
}

// cut returns the number of edits that a compaction moves: all but the newest
// that fit into the bound, and at least one.
func (l Log) cut(keep int) int {
	size := 0
	for i, e := range slices.Backward(l.Edits) {
		b, err := encode(e)
		size += len(b)
		if err != nil || size > keep {
			return i + 1
		}
	}
	return 1
}

// mergePart adds the edits to a part, unless it already has them.
func (s *Store) mergePart(ctx context.Context, n int, edits []table.Edit) error {
	key := s.key(partKey(n))
	entry, err := s.p.Get(ctx, key)
	if err != nil {
		return err
	}
	p := Part{Schema: schema}
	if entry.Exists() {
		if err := decode(entry.Value, &p); err != nil {
			return &DamagedError{Key: key, Cause: err}
		}
	}
	last := edits[len(edits)-1].Version
	if p.Upto >= last {
		return nil
	}
	p.merge(n, edits)
	value, err := encode(p)
	if err != nil {
		return err
	}
	if len(value) > maxPartBytes {
		return &TooLargeError{What: "a part of the table", Bytes: len(value), Limit: maxPartBytes}
	}
	_, err = s.p.CAS(ctx, key, value, entry.Index)
	return lostRace(err)
}

// lostRace turns an unknown outcome of a step into a lost race: the step is
// judged again when the edit is tried again.
func lostRace(err error) error {
	if platform.KindOf(err) == platform.KindUnknown {
		return &platform.Error{Kind: platform.KindConflict, Op: platform.OpCAS, Key: "compaction", Cause: err}
	}
	return err
}

func (p *Part) merge(n int, edits []table.Edit) {
	rows := make(map[table.Key]table.Row, len(p.Rows))
	for _, r := range p.Rows {
		rows[r.Key] = r
	}
	for _, e := range edits {
		for _, c := range e.Changes {
			if partOf(c.Key) == n {
				applyChange(rows, e, c)
			}
		}
	}
	p.Upto = edits[len(edits)-1].Version
	p.Rows = p.Rows[:0]
	for _, r := range rows {
		p.Rows = append(p.Rows, r)
	}
	slices.SortFunc(p.Rows, func(a, b table.Row) int { return a.Key.Compare(b.Key) })
}

// writePage writes a history page. A page of the same number that an
// unfinished compaction left is replaced only by one that reaches further.
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
		if old.last() >= p.last() {
			return nil
		}
	}
	value, err := encode(p)
	if err != nil {
		return err
	}
	_, err = s.p.CAS(ctx, key, value, entry.Index)
	return lostRace(err)
}

func (p Page) last() uint64 {
	if len(p.Edits) == 0 {
		return 0
	}
	return p.Edits[len(p.Edits)-1].Version
}

// dropPage removes a page beyond the bound of the history. A failure leaves
// a page too many, which does no harm.
func (s *Store) dropPage(ctx context.Context, number uint64) {
	entry, err := s.p.Get(ctx, s.key(pageKey(number)))
	if err == nil && entry.Exists() {
		_ = s.p.Delete(ctx, entry.Key, entry.Index)
	}
}
