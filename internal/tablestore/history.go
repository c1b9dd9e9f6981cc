package tablestore

import (
	"context"
	"slices"

	"github.com/nutmegweir/nutmegweir/internal/table"
)

// HistoryPage is a range of the history, newest edit first.
type HistoryPage struct {
	Edits []table.Edit
	Next  Cursor // cursor of the next older edits
	More  bool   // there may be older edits
}

// Cursor is a position in the history. The zero value is the newest end.
type Cursor struct {
	Page  uint64 `json:"page"`  // history page to read if Below is not 0
	Below uint64 `json:"below"` // only edits below this table version
}

// History reads the newest edits, or the older ones at a cursor. One call reads
// at most one value.
func (s *Store) History(ctx context.Context, c Cursor) (HistoryPage, error) {
	if c.Below == 0 {
		l, err := s.readLog(ctx)
		if err != nil {
			return HistoryPage{}, err
		}
		return newestFirst(l.Edits, l.Version+1, l.NextPage), nil
	}
	p, ok, err := s.readPage(ctx, c.Page)
	if err != nil || !ok {
		return HistoryPage{}, err
	}
	return newestFirst(p.Edits, c.Below, c.Page), nil
}

// newestFirst returns the edits below a version in reverse order. pageEnd is
// one above the number of the next older page.
func newestFirst(edits []table.Edit, below, pageEnd uint64) HistoryPage {
	h := HistoryPage{More: pageEnd > 0}
	h.Next.Below = below
	for _, e := range slices.Backward(edits) {
		if e.Version < below {
			h.Edits = append(h.Edits, e)
			h.Next.Below = e.Version
		}
	}
	if h.More {
		h.Next.Page = pageEnd - 1
	}
	return h
}

func (s *Store) readPage(ctx context.Context, number uint64) (Page, bool, error) {
	entry, err := s.p.Get(ctx, s.key(pageKey(number)))
	if err != nil || !entry.Exists() {
		return Page{}, false, err
	}
	var p Page
	if err := decode(entry.Value, &p); err != nil {
		return Page{}, false, &DamagedError{Key: entry.Key, Cause: err}
	}
	return p, true, nil
}

// FindVersion returns the edit that created a table version; the second result
// is false if the history no longer has it.
func (s *Store) FindVersion(ctx context.Context, version uint64) (table.Edit, bool, error) {
	var c Cursor
	for {
		h, err := s.History(ctx, c)
		if err != nil {
			return table.Edit{}, false, err
		}
		for _, e := range h.Edits {
			if e.Version == version {
				return e, true, nil
			}
		}
		if !h.More || h.Next.Below <= version {
			return table.Edit{}, false, nil
		}
		c = h.Next
	}
}

// searchResult is the result of a search for an edit.
type searchResult struct {
	edit     table.Edit
	found    bool
	complete bool // the search covered every edit from the wanted version on
}

// findInHistory searches the newest pages for an edit by ID, down to version
// downTo and at most the given number of pages.
func (s *Store) findInHistory(ctx context.Context, l Log, id string, downTo, pages uint64) (searchResult, error) {
	if l.Base < downTo {
		return searchResult{complete: true}, nil
	}
	for n := l.NextPage; n > 0; n-- {
		if l.NextPage-n >= pages {
			return searchResult{}, nil
		}
		p, ok, err := s.readPage(ctx, n-1)
		if err != nil || !ok {
			return searchResult{}, err
		}
		if e, ok := findEdit(p.Edits, id); ok {
			return searchResult{edit: e, found: true}, nil
		}
		if len(p.Edits) > 0 && p.Edits[0].Version <= downTo {
			break
		}
	}
	return searchResult{complete: true}, nil
}
