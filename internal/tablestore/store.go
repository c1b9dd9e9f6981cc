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

// Options configures a Store.
type Options struct {
	Platform     platform.Platform
	Prefix       string // of all keys, such as "nutmegweir/table/"
	Rules        table.Rules
	LogBytes     int    // the log is compacted before it exceeds this, 0 means 1 KiB
	HistoryPages uint64 // history pages to retain, 0 means 16384; raised to what readers need
	PagesPerPart uint64 // pages between updates of parts, 0 means 16; must be the same at every instance
}

// Store reads and edits the table on the platform. It is safe for concurrent
// use.
type Store struct {
	p    platform.Platform
	opts Options
	mu   sync.Mutex
	snap *table.Snapshot // newest known table
	log  storedLog       // newest known log; index 0 if unknown
}

// New returns a store. It makes no platform calls.
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

// window is the number of newest pages that cover every edit since the oldest
// part.
func (s *Store) window() uint64 { return numParts * s.opts.PagesPerPart }

// storedLog is the log with the index of its key.
type storedLog struct {
	Log
	index uint64
}

func (s *Store) key(k string) string { return s.opts.Prefix + k }

// readLog reads the log; an absent log is empty.
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

// cacheLog caches a log so that the next edit need not read it.
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

// Change is the result of Watch.
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
	update, err := s.Advance(ctx, s.cachedTable(), l.Log)
	return update.Table, err
}

// TableUpdate is a newer table with the most recent of its edits, where known.
type TableUpdate struct {
	Table *table.Snapshot
	Edits []table.Edit
}

// Advance brings an older table to the log's version or later. It calls the
// platform only if the log does not reach back to that table: for the pages in
// between, or for the full table if they are many.
func (s *Store) Advance(ctx context.Context, from *table.Snapshot, l Log) (TableUpdate, error) {
	update, ok, err := s.catchUp(ctx, from, l)
	if err == nil && !ok {
		update.Table, err = s.readFull(ctx, l)
	}
	if err != nil {
		return TableUpdate{}, err
	}
	s.cacheTable(update.Table)
	return update, nil
}

// catchUp applies the log and, as far as needed, the newest pages to a table.
// ok is false if they do not reach back to it.
func (s *Store) catchUp(ctx context.Context, from *table.Snapshot, l Log) (update TableUpdate, ok bool, err error) {
	update.Edits = l.Edits
	for n := l.NextPage; ; n-- {
		if update.Table, ok = from.Apply(update.Edits); ok && update.Table.Version() >= l.Version {
			return update, true, nil
		}
		if n == 0 || l.NextPage-n >= maxCatchUpPages {
			return TableUpdate{}, false, nil
		}
		p, found, err := s.readPage(ctx, n-1)
		if err != nil || !found {
			return TableUpdate{}, false, err
		}
		update.Edits = joinEdits(p.Edits, update.Edits)
	}
}

// joinEdits concatenates older and newer edits without duplicates. An
// interrupted compaction may leave edits both in a page and in the log.
func joinEdits(older, newer []table.Edit) []table.Edit {
	if len(newer) == 0 {
		return older
	}
	list := slices.Clone(older)
	list = slices.DeleteFunc(list, func(e table.Edit) bool { return e.Version >= newer[0].Version })
	return append(list, newer...)
}

// readFull reads the parts, the window of pages and the log. If a compaction
// between the reads made edits go missing, it starts over.
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

// readPages returns the edits of the pages from first up to but excluding end.
func (s *Store) readPages(ctx context.Context, first, end uint64) ([]table.Edit, error) {
	var edits []table.Edit
	for g := first / groupPages; first < end && g <= (end-1)/groupPages; g++ {
		list, err := s.p.List(ctx, s.key(groupKey(g)), 0, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range list.Entries {
			var p Page
			if err := decode(e.Value, &p); err != nil {
				return nil, &DamagedError{Key: e.Key, Cause: err}
			}
			if p.Number >= first && p.Number < end {
				edits = joinEdits(edits, p.Edits)
			}
		}
	}
	return edits, nil
}

// assemble applies edits to the parts. Some may already be in the parts;
// reapplying all of them in order gives the same rows. It fails if an edit
// between the oldest part and the log is missing.
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
