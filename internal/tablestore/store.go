package tablestore

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Options are the settings of a store.
type Options struct {
	Platform     platform.Platform
	Prefix       string // of all keys, such as "nutmegweir/table/"
	Rules        table.Rules
	HistoryPages uint64 // pages of history kept, 0 means 1000
	LogBytes     int    // the log is compacted before it grows beyond, 0 means 8 KiB
}

// Store reads and edits the table on the platform. It is safe for concurrent
// use.
type Store struct {
	p     platform.Platform
	opts  Options
	mu    sync.Mutex
	cache *table.Snapshot // the newest seen
}

// New returns a store. It makes no call.
func New(o Options) *Store {
	if o.HistoryPages == 0 {
		o.HistoryPages = defaultPages
	}
	if o.LogBytes == 0 {
		o.LogBytes = maxLogBytes
	}
	return &Store{p: o.Platform, opts: o, cache: table.Empty()}
}

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
	if !e.Exists() {
		return l, nil
	}
	if err := decode(e.Value, &l.Log); err != nil {
		return storedLog{}, &DamagedError{Key: s.key(keyLog), Cause: err}
	}
	return l, nil
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
	return s.Advance(ctx, s.cached(), l.Log)
}

// Advance returns the table at the log's version or later, from an older one.
// It makes calls only when the log no longer reaches back to the older one.
func (s *Store) Advance(ctx context.Context, from *table.Snapshot, l Log) (*table.Snapshot, error) {
	if from.Version() >= l.Base {
		next, _ := from.Apply(l.Edits)
		s.keep(next)
		return next, nil
	}
	next, err := s.readParts(ctx, l)
	if err != nil {
		return nil, err
	}
	s.keep(next)
	return next, nil
}

// readParts reads the parts and then the log again, until no compaction came
// between: only then no edit is missing from both.
func (s *Store) readParts(ctx context.Context, l Log) (*table.Snapshot, error) {
	for {
		list, err := s.p.List(ctx, s.key(keyParts), 0, 0)
		if err != nil {
			return nil, err
		}
		after, err := s.readLog(ctx)
		if err != nil {
			return nil, err
		}
		if after.Base == l.Base {
			return s.assemble(list.Entries, after.Log)
		}
		l = after.Log
	}
}

// assemble applies the log to the parts. A part may already hold some of the
// log's edits, when a compaction is under way; applying them again, in order
// and up to the last, gives the same rows.
func (s *Store) assemble(entries []platform.Entry, l Log) (*table.Snapshot, error) {
	rows := make(map[table.Key]table.Row)
	for _, e := range entries {
		var p Part
		if err := decode(e.Value, &p); err != nil {
			return nil, &DamagedError{Key: e.Key, Cause: err}
		}
		for _, r := range p.Rows {
			rows[r.Key] = r
		}
	}
	for _, e := range l.Edits {
		for _, c := range e.Changes {
			applyChange(rows, e, c)
		}
	}
	list := make([]table.Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, r)
	}
	return table.NewSnapshot(l.Version, list), nil
}

func applyChange(rows map[table.Key]table.Row, e table.Edit, c table.Change) {
	if c.After == nil {
		delete(rows, c.Key)
		return
	}
	rows[c.Key] = table.Row{Key: c.Key, Values: *c.After, Version: e.Version, EditID: e.ID}
}

func (s *Store) cached() *table.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache
}

func (s *Store) keep(t *table.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = s.cache.Newer(t)
}
