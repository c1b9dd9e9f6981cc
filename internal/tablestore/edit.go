package tablestore

import (
	"context"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// Backoff between attempts to write an edit.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// Request is a request for an edit.
type Request struct {
	ID           string // unique; reuse it to resolve an unknown outcome
	Actor        string
	AtUnixMs     int64
	Note         string
	Changes      []table.Change // Before is filled in by the store
	KnownVersion uint64         // table version in force at the requesting instance
}

// Result is an edit that took effect.
type Result struct {
	Edit     table.Edit
	Repeated bool // an earlier request with the same ID already applied it
}

// Edit validates a request and applies all of its changes or none. Its errors
// are *table.InvalidError, *table.ConflictError, *RolledBackError,
// *TooLargeError, *DamagedError and *platform.Error; only
// platform.KindUnknown means that the edit may have taken effect.
func (s *Store) Edit(ctx context.Context, r Request) (Result, error) {
	if faults := s.opts.Rules.Check(r.Changes); len(faults) > 0 {
		return Result{}, &table.InvalidError{Faults: faults}
	}
	w := &writer{store: s, req: r, backoff: wait.Backoff{Min: minRetryDelay, Max: maxRetryDelay}}
	for {
		res, done, err := w.attempt(ctx)
		if done {
			return res, w.finalError(err)
		}
		if !w.backoff.Sleep(ctx) {
			return Result{}, w.finalError(err)
		}
	}
}

// Check returns the changes of a request with the values they would replace, or
// the error that Edit would return now. It changes nothing.
func (s *Store) Check(ctx context.Context, r Request) ([]table.Change, error) {
	if faults := s.opts.Rules.Check(r.Changes); len(faults) > 0 {
		return nil, &table.InvalidError{Faults: faults}
	}
	snap, err := s.Load(ctx)
	if err != nil {
		return nil, err
	}
	if c := snap.Conflicts(r.ID, r.Changes); len(c) > 0 {
		return nil, &table.ConflictError{Rows: c}
	}
	return withBefore(snap, r.Changes), nil
}

// writer is the state of one edit in progress.
type writer struct {
	store        *Store
	req          Request
	backoff      wait.Backoff
	unknownErr   error  // set while an attempt may have taken effect
	triedVersion uint64 // table version of that attempt
	readFresh    bool   // the log was read for this edit, not taken from the cache

	attempts int
}

// nextLog returns the cached log for the first attempt and reads it for later
// ones. A stale cached log makes the compare-and-swap fail.
func (w *writer) nextLog(ctx context.Context) (storedLog, error) {
	w.attempts++
	if l := w.store.cachedLog(); l.index > 0 && w.attempts == 1 {
		return l, nil
	}
	w.readFresh = true
	return w.store.readLog(ctx)
}

// attempt reads the log and writes it with the edit. done is false if the
// attempt lost a race or its outcome is unresolved.
func (w *writer) attempt(ctx context.Context) (res Result, done bool, err error) {
	l, err := w.nextLog(ctx)
	if err != nil {
		return Result{}, w.unknownErr == nil, err
	}
	if l.Version < w.req.KnownVersion {
		return Result{}, w.readFresh, &RolledBackError{Known: w.req.KnownVersion, Stored: l.Version}
	}
	search, err := w.findExisting(ctx, l)
	if err != nil {
		return Result{}, w.unknownErr == nil, err
	}
	if search.found {
		w.unknownErr = nil
		return Result{Edit: search.edit, Repeated: true}, true, nil
	}
	if !search.complete && w.unknownErr != nil {
		return Result{}, true, w.unknownErr // the history no longer reaches back to the edit
	}
	if l.Version >= w.triedVersion {
		w.unknownErr = nil // another edit created the version that was tried
	}
	update, err := w.store.Advance(ctx, w.store.cachedTable(), l.Log)
	if err != nil {
		return Result{}, w.unknownErr == nil, err
	}
	snap := update.Table
	if snap.Version() != l.Version {
		return Result{}, false, errLogConflict // the cached table is newer than the log
	}
	if c := snap.Conflicts(w.req.ID, w.req.Changes); len(c) > 0 {
		return w.resolveConflict(ctx, l, c)
	}
	return w.write(ctx, l, snap)
}

// resolveConflict rejects the edit, unless the history shows that an earlier
// request with its ID took effect and was overwritten since.
func (w *writer) resolveConflict(ctx context.Context, l storedLog, rows []table.RowConflict) (Result, bool, error) {
	conflictErr := &table.ConflictError{Rows: withActors(rows, l.Edits)}
	if !w.readFresh || w.unknownErr != nil {
		return Result{}, false, conflictErr
	}
	var base uint64
	for _, c := range w.req.Changes {
		base = max(base, c.Base)
	}
	search, err := w.store.findInHistory(ctx, l.Log, w.req.ID, base+1, maxRepeatSearchPages)
	if err != nil {
		return Result{}, true, err
	}
	if search.found {
		return Result{Edit: search.edit, Repeated: true}, true, nil
	}
	return Result{}, true, conflictErr
}

// findExisting searches the log for the edit, and after an unknown outcome also
// the history, where a compaction may have moved it.
func (w *writer) findExisting(ctx context.Context, l storedLog) (searchResult, error) {
	if e, ok := findEdit(l.Edits, w.req.ID); ok {
		return searchResult{edit: e, found: true}, nil
	}
	downTo := w.triedVersion
	if w.unknownErr == nil {
		downTo = w.lastWrittenVersion(w.store.cachedTable())
	}
	if downTo == 0 {
		return searchResult{complete: true}, nil
	}
	return w.store.findInHistory(ctx, l.Log, w.req.ID, downTo, w.store.opts.HistoryPages)
}

// lastWrittenVersion returns the version of a row that was last written by this
// edit, 0 if there is none.
func (w *writer) lastWrittenVersion(snap *table.Snapshot) uint64 {
	for _, c := range w.req.Changes {
		if r, ok := snap.Row(c.Key); ok && r.EditID == w.req.ID {
			return r.Version
		}
	}
	return 0
}

func (w *writer) write(ctx context.Context, l storedLog, snap *table.Snapshot) (Result, bool, error) {
	e := table.Edit{
		Version:  l.Version + 1,
		ID:       w.req.ID,
		Actor:    w.req.Actor,
		AtUnixMs: w.req.AtUnixMs,
		Note:     w.req.Note,
		Changes:  withBefore(snap, w.req.Changes),
	}
	encoded, err := encode(e)
	if err != nil || len(encoded) > MaxEditBytes {
		return Result{}, true, &TooLargeError{What: "the edit", Bytes: len(encoded), Limit: MaxEditBytes}
	}
	next := l.Log.append(e)
	value, err := encode(next)
	if err != nil {
		return Result{}, true, err
	}
	if len(value) > w.store.opts.LogBytes && len(l.Edits) > 0 {
		compacted, err := w.store.compactLog(ctx, l.Log, snap)
		if err != nil {
			return Result{}, w.unknownErr == nil && platform.KindOf(err) != platform.KindConflict, err
		}
		next = compacted.append(e)
		if value, err = encode(next); err != nil {
			return Result{}, true, err
		}
	}
	at, err := w.store.p.CAS(ctx, w.store.key(keyLog), value, l.index)
	w.store.cacheLog(storedLog{Log: next, index: at}) // index 0 after a failure
	return w.handleResult(e, snap, err)
}

// handleResult classifies the result of the compare-and-swap.
func (w *writer) handleResult(e table.Edit, snap *table.Snapshot, err error) (Result, bool, error) {
	switch platform.KindOf(err) {
	case platform.KindNone:
		w.unknownErr = nil
		next, _ := snap.Apply([]table.Edit{e})
		w.store.cacheTable(next)
		return Result{Edit: e}, true, nil
	case platform.KindUnknown:
		w.unknownErr = err
		w.triedVersion = e.Version
		return Result{}, false, err
	case platform.KindConflict:
		return Result{}, false, err
	}
	return Result{}, w.unknownErr == nil, err
}

// errLogConflict means that an attempt lost the race for the log.
var errLogConflict = &platform.Error{Kind: platform.KindConflict, Op: platform.OpCAS, Key: keyLog}

// finalError returns the unknown outcome, if there is one, instead of an error
// that would imply that nothing was written.
func (w *writer) finalError(err error) error {
	if w.unknownErr != nil {
		return w.unknownErr
	}
	return err
}

func withBefore(snap *table.Snapshot, changes []table.Change) []table.Change {
	list := slices.Clone(changes)
	for i := range list {
		list[i].Before = nil
		if r, ok := snap.Row(list[i].Key); ok {
			list[i].Before = &r.Values
		}
	}
	return list
}

// withActors adds the author of each row's current version if the log has it.
func withActors(conflicts []table.RowConflict, edits []table.Edit) []table.RowConflict {
	for i, c := range conflicts {
		if c.Current == nil {
			continue
		}
		if e, ok := findEdit(edits, c.Current.EditID); ok {
			conflicts[i].Actor = e.Actor
		}
	}
	return conflicts
}
