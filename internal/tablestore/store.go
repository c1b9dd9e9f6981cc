package tablestore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Options are the settings of a store.
type Options struct {
	Platform     platform.Platform
	Prefix       string // of all keys, such as "nutmegweir/table/"
	Rules        table.Rules
	LogBytes     int    // the log is trimmed before it grows beyond, 0 means 1 KiB
	HistoryPages uint64 // pages of history kept, 0 means 16384; at least what readers need
	PagesPerPart uint64 // pages from one part's update to the next, 0 means 16; the same at every instance
}

// Store reads and edits the table on the platform. It is safe for concurrent
// use.
type Store struct {
	p    platform.Platform
	opts Options
	mu   sync.Mutex
	snap *table.Snapshot // the newest seen
	log  storedLog       // the newest seen with its index; index 0 if unknown
}

// New returns a store. It makes no call.
func New(o Options) *Store {
	if o.LogBytes == 0 {
		o.LogBytes = maxLogBytes
	}
	if o.PagesPerPart == 0 {
		o.PagesPerPart = defaultPagesPerPart
	}
	if o.HistoryPages == 0 {
		o.HistoryPages = defaultHistoryPages
	}
	s := &Store{p: o.Platform, opts: o, snap: table.Empty()}
	s.opts.HistoryPages = max(o.HistoryPages, s.window()+1)
	return s
}

// window is the number of newest pages that reach back to every part.
func (s *Store) window() uint64 { return numParts * s.opts.PagesPerPart }

// storedLog is the log with the index of its key.
type storedLog struct {
	Log
	index uint64
}

func (s *Store) key(k string) string { return s.opts.Prefix + k }

// readLog reads the log; an absent one is empty.
func (s *Store) readLog(ctx context.Context) (storedLog, error) {
	e, err := s.p.Get(ctx, s.key(keyLog))
	if err != nil {
		return storedLog{}, err
	}
	return s.parseLog(e)
}

func (s *Store) parseLog(e platform.Entry) (storedLog, error) {
	l := storedLog{Log: emptyLog(), index: e.Index}
	if e.Exists() {
		if err := decode(e.Value, &l.Log); err != nil {
			return storedLog{}, &DamagedError{Key: s.key(keyLog), Cause: err}
		}
	}
	s.cacheLog(l)
	return l, nil
}

// cacheLog remembers a log for the next edit, which so need not read it.
func (s *Store) cacheLog(l storedLog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = l
}

func (s *Store) cachedLog() storedLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log
}

// Change is the answer to Watch.
type Change struct {
	Log   Log
	Index uint64 // pass it to the next Watch
}

// Watch reads the log. With an index above 0 it waits until the log has
// changed past that index or wait has passed.
func (s *Store) Watch(ctx context.Context, index uint64, wait time.Duration) (Change, error) {
	l, err := s.p.List(ctx, s.key(keyLog), index, wait)
	if err != nil {
		return Change{}, err
	}
	for _, e := range l.Entries {
		if e.Key == s.key(keyLog) {
			log, err := s.parseLog(e)
			return Change{Log: log.Log, Index: l.Index}, err
		}
	}
	return Change{Log: emptyLog(), Index: l.Index}, nil
}

// Load returns the newest table.
func (s *Store) Load(ctx context.Context) (*table.Snapshot, error) {
	l, err := s.readLog(ctx)
	if err != nil {
		return nil, err
	}
	news, err := s.Advance(ctx, s.cachedTable(), l.Log)
	return news.Table, err
}

// TableUpdate is a newer table with the newest of its edits, as far as they are
// known.
type TableUpdate struct {
	Table *table.Snapshot
	Edits []table.Edit
}

// Advance returns the table at the log's version or later, from an older one.
// It makes calls only when the log does not reach back to the older one: for
// the pages between, or for the whole table when they are many.
func (s *Store) Advance(ctx context.Context, from *table.Snapshot, l Log) (TableUpdate, error) {
	news, ok, err := s.catchUp(ctx, from, l)
	if err == nil && !ok {
		news.Table, err = s.readFull(ctx, l)
	}
	if err != nil {
		return TableUpdate{}, err
	}
	s.cacheTable(news.Table)
	return news, nil
}

// catchUp applies the log and, as far as needed, the newest pages to a table.
// ok is false when they do not reach back to it.
func (s *Store) catchUp(ctx context.Context, from *table.Snapshot, l Log) (news TableUpdate, ok bool, err error) {
	news.Edits = l.Edits
	for n := l.NextPage; ; n-- {
		if news.Table, ok = from.Apply(news.Edits); ok && news.Table.Version() >= l.Version {
			return news, true, nil
		}
		if n == 0 || l.NextPage-n >= maxCatchUpPages {
			return TableUpdate{}, false, nil
		}
		p, found, err := s.readPage(ctx, n-1)
		if err != nil || !found {
			return TableUpdate{}, false, err
		}
		news.Edits = joinEdits(p.Edits, news.Edits)
	}
}

// joinEdits returns older and newer edits, each once. A page may hold edits
// that are also in the log, when a trim was not finished.
func joinEdits(older, newer []table.Edit) []table.Edit {
	if len(newer) == 0 {
		return older
	}
	list := slices.Clone(older)
	list = slices.DeleteFunc(list, func(e table.Edit) bool { return e.Version >= newer[0].Version })
	return append(list, newer...)
}

// readFull reads the parts, the window of pages and the log. When a trim
// came between the reads, edits may be missing, and all is read again.
func (s *Store) readFull(ctx context.Context, l Log) (*table.Snapshot, error) {
	for {
		parts, err := s.p.List(ctx, s.key(keyParts), 0, 0)
		if err != nil {
			return nil, err
		}
		first := l.NextPage - min(l.NextPage, s.window())
		edits, err := s.readPages(ctx, first, l.NextPage)
		if err != nil {
			return nil, err
		}
		after, err := s.readLog(ctx)
		if err != nil {
			return nil, err
		}
		snap, err := s.assemble(parts.Entries, joinEdits(edits, after.Edits), after.Log)
		if err == nil || after.NextPage == l.NextPage {
			return snap, err
		}
		l = after.Log
	}
}

// readPages returns the edits of the pages from first up to, without, last.
func (s *Store) readPages(ctx context.Context, first, last uint64) ([]table.Edit, error) {
	var edits []table.Edit
	for g := first / groupPages; first < last && g <= (last-1)/groupPages; g++ {
		list, err := s.p.List(ctx, s.key(groupKey(g)), 0, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range list.Entries {
			var p Page
			if err := decode(e.Value, &p); err != nil {
				return nil, &DamagedError{Key: e.Key, Cause: err}
			}
			if p.Number >= first && p.Number < last {
				edits = joinEdits(edits, p.Edits)
			}
		}
	}
	return edits, nil
}

// assemble applies edits to the parts. The parts may already hold some of
// them; applying them again, in order and up to the last, gives the same rows.
// It fails when an edit is missing between the oldest part and the log.
func (s *Store) assemble(entries []platform.Entry, edits []table.Edit, l Log) (*table.Snapshot, error) {
	rows := make(map[table.Key]table.Row)
	upto := make(map[string]uint64)
	for _, e := range entries {
		var p Part
		if err := decode(e.Value, &p); err != nil {
			return nil, &DamagedError{Key: e.Key, Cause: err}
		}
		upto[e.Key] = p.Upto
		for _, r := range p.Rows {
			rows[r.Key] = r
		}
	}
	version := l.Version - uint64(len(edits))
	for n := range numParts {
		if have := upto[s.key(partKey(n))]; have < version {
			return nil, &DamagedError{Key: s.key(partKey(n)), Cause: errors.Errorf("edits %d to %d are missing", have+1, version)}
		}
	}
	for _, e := range edits {
		version++
		if e.Version != version {
			return nil, &DamagedError{Key: s.key(keyHistory), Cause: errors.Errorf("version %d stands in place of %d", e.Version, version)}
		}
		for _, c := range e.Changes {
			applyChange(rows, e, c)
		}
	}
	return table.NewSnapshot(l.Version, slices.Collect(maps.Values(rows))), nil
}

func applyChange(rows map[table.Key]table.Row, e table.Edit, c table.Change) {
	if c.After == nil {
		delete(rows, c.Key)
		return
	}
	rows[c.Key] = table.Row{Key: c.Key, Values: *c.After, Version: e.Version, EditID: e.ID}
}

func (s *Store) cachedTable() *table.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snap
}

func (s *Store) cacheTable(t *table.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snap = s.snap.Newer(t)
}
