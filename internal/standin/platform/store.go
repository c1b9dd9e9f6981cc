// Package platform is an in-memory stand-in for the platform's key-value
// service, for tests and for the demo deployment. Store holds the state;
// Handler serves it over HTTP.
package platform

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	port "github.com/nutmegweir/nutmegweir/internal/platform"
	adapter "github.com/nutmegweir/nutmegweir/platform"
)

// defaultWait is the timeout of a blocking query that specifies none.
const defaultWait = 5 * time.Minute

// Store is the state of the service. It uses the time package's clock, so tests
// can run it in a synctest bubble.
type Store struct {
	mu             sync.Mutex
	index          uint64
	keys           map[string]port.Entry
	deleted        map[string]uint64 // index of the removal by key
	sessions       map[port.SessionID]*session
	services       map[string]*service
	changed        chan struct{} // closed and replaced at each change
	history        []Change      // latest changes, oldest first
	compactedIndex uint64        // changes up to this index are compacted
	lag            time.Duration
}

// maxHistoryChanges is the number of changes kept for watches.
const maxHistoryChanges = 4096

// Change is a write or a removal of a key.
type Change struct {
	port.Entry
	Removed bool
}

type session struct {
	ttl   time.Duration
	timer *time.Timer
}

type service struct {
	index     uint64
	instances map[string]port.ServiceInstance
	updates   map[string]uint64 // number of updates by instance ID
}

// NewStore returns an empty store. Changes of the service lists become visible
// after lag.
func NewStore(lag time.Duration) *Store {
	return &Store{
		index:    1,
		keys:     make(map[string]port.Entry),
		deleted:  make(map[string]uint64),
		sessions: make(map[port.SessionID]*session),
		services: make(map[string]*service),
		changed:  make(chan struct{}),
		lag:      lag,
	}
}

// nextIndex returns the index of a new change and wakes waiting reads. The caller
// holds mu.
func (s *Store) nextIndex() uint64 {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.index
}

// Get reads one key.
func (s *Store) Get(key string) port.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	if !ok {
		return port.Entry{Key: key}
	}
	e.Value = slices.Clone(e.Value)
	return e
}

// List reads all keys with a prefix, as a blocking query if index is not 0.
func (s *Store) List(ctx context.Context, prefix string, index uint64, wait time.Duration) port.Listing {
	var l port.Listing
	s.waitIndex(ctx, index, wait, func() uint64 {
		l = s.list(prefix)
		return l.Index
	})
	return l
}

func (s *Store) list(prefix string) port.Listing {
	l := port.Listing{Index: 1}
	for k, e := range s.keys {
		if strings.HasPrefix(k, prefix) {
			l.Index = max(l.Index, e.Index)
			e.Value = slices.Clone(e.Value)
			l.Entries = append(l.Entries, e)
		}
	}
	for k, at := range s.deleted {
		if strings.HasPrefix(k, prefix) {
			l.Index = max(l.Index, at)
		}
	}
	slices.SortFunc(l.Entries, func(x, y port.Entry) int { return strings.Compare(x.Key, y.Key) })
	return l
}

// waitIndex calls read, under the lock, until its index differs from index.
func (s *Store) waitIndex(ctx context.Context, index uint64, wait time.Duration, read func() uint64) {
	if wait <= 0 {
		wait = defaultWait
	}
	s.waitFor(ctx, wait, func() bool {
		at := read()
		return index == 0 || at != index
	})
}

// waitFor calls done, under the lock, at once and after each change, until it
// returns true or wait has elapsed.
func (s *Store) waitFor(ctx context.Context, wait time.Duration, done func() bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		ok := done()
		changed := s.changed
		s.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// CAS writes a key if its index equals index.
func (s *Store) CAS(key string, value []byte, index uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e.Index != index {
		return 0, false
	}
	return s.put(key, value, e.Session), true
}

func (s *Store) put(key string, value []byte, id port.SessionID) uint64 {
	at := s.nextIndex()
	return s.putAt(key, value, id, at)
}

func (s *Store) putAt(key string, value []byte, id port.SessionID, at uint64) uint64 {
	e := port.Entry{Key: key, Value: slices.Clone(value), Index: at, Session: id}
	s.keys[key] = e
	delete(s.deleted, key)
	s.recordChange(Change{Entry: e})
	return at
}

// recordChange stores a change for watches.
func (s *Store) recordChange(c Change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistoryChanges {
		s.compactOldest(1)
	}
}

// compactOldest drops the oldest n changes.
func (s *Store) compactOldest(n int) {
	if n > 0 {
		s.compactedIndex = s.history[n-1].Index
		s.history = slices.Clone(s.history[n:])
	}
}

// Compact drops the whole history, as a store does after a while.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactOldest(len(s.history))
}

// Revision returns the index of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// Changes returns the changes of keys with a prefix after an index, and the
// index to continue from. It waits for the first change. compacted means that
// some of them are no longer available.
func (s *Store) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (out []Change, at uint64, compacted bool) {
	s.waitFor(ctx, wait, func() bool {
		out, at, compacted = nil, s.index, after < s.compactedIndex
		for _, c := range s.history {
			if c.Index > after && strings.HasPrefix(c.Key, prefix) {
				out = append(out, c)
			}
		}
		return compacted || len(out) > 0
	})
	return out, at, compacted
}

// Txn changes keys if all preconditions hold.
type Txn struct {
	Preconditions map[string]uint64 // expected index by key, 0 for an absent key
	Writes        []port.Entry
	Remove        []string
}

// TxnResult is the outcome of a Txn.
type TxnResult struct {
	Index         uint64 // index of the change, 0 if nothing was changed
	LeaseNotFound bool
	Current       []port.Entry // current state of the expected keys, if a precondition failed
}

// Commit executes a transaction.
func (s *Store) Commit(t Txn) TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r TxnResult
	failed := false
	for key, at := range t.Preconditions {
		if e := s.keys[key]; e.Exists() {
			r.Current = append(r.Current, e)
		}
		failed = failed || s.keys[key].Index != at
	}
	if failed {
		return r
	}
	for _, w := range t.Writes {
		if w.Session != "" && s.sessions[w.Session] == nil {
			return TxnResult{LeaseNotFound: true}
		}
	}
	at := s.nextIndex()
	for _, w := range t.Writes {
		s.putAt(w.Key, w.Value, w.Session, at)
	}
	for _, key := range t.Remove {
		s.removeAt(key, at)
	}
	return TxnResult{Index: at}
}

// Delete removes a key if its index equals index.
func (s *Store) Delete(key string, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.keys[key]; !ok || e.Index != index {
		return false
	}
	s.remove(key)
	return true
}

func (s *Store) remove(key string) { s.removeAt(key, s.nextIndex()) }

func (s *Store) removeAt(key string, at uint64) {
	delete(s.keys, key)
	s.deleted[key] = at
	s.recordChange(Change{Entry: port.Entry{Key: key, Index: at}, Removed: true})
}

// CreateSession opens a session.
func (s *Store) CreateSession(ttl time.Duration) port.SessionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := port.SessionID(strconv.FormatUint(s.nextIndex(), 10))
	s.sessions[id] = &session{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.DestroySession(id) })}
	return id
}

// RenewSession restarts a session's TTL and reports whether it still exists.
func (s *Store) RenewSession(id port.SessionID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ses, ok := s.sessions[id]
	if !ok {
		return false
	}
	return ses.timer.Reset(ses.ttl)
}

// DestroySession ends a session and removes its keys.
func (s *Store) DestroySession(id port.SessionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ses, ok := s.sessions[id]
	if !ok {
		return
	}
	ses.timer.Stop()
	delete(s.sessions, id)
	for k, e := range s.keys {
		if e.Session == id {
			s.remove(k)
		}
	}
}

// Acquire writes a key for a session. exists is false if the session has
// expired, ok is false if another session holds the key.
func (s *Store) Acquire(key string, value []byte, id port.SessionID) (at uint64, exists, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists = s.sessions[id]; !exists {
		return 0, false, false
	}
	if holder := s.keys[key].Session; holder != "" && holder != id {
		return 0, true, false
	}
	return s.put(key, value, id), true, true
}

// Services reads the list of a service's instances, as a blocking query if index
// is not 0.
func (s *Store) Services(ctx context.Context, name string, index uint64, wait time.Duration) port.ServiceList {
	var l port.ServiceList
	s.waitIndex(ctx, index, wait, func() uint64 {
		l = s.serviceList(name)
		return l.Index
	})
	return l
}

func (s *Store) serviceList(name string) port.ServiceList {
	l := port.ServiceList{Index: 1}
	svc, ok := s.services[name]
	if !ok {
		return l
	}
	l.Index = max(l.Index, svc.index)
	for _, inst := range svc.instances {
		l.Instances = append(l.Instances, inst)
	}
	slices.SortFunc(l.Instances, func(x, y port.ServiceInstance) int { return strings.Compare(x.ID, y.ID) })
	return l
}

// Register adds or replaces an instance of a service, visible after the lag.
func (s *Store) Register(name string, inst port.ServiceInstance) {
	s.updateAfterLag(name, inst.ID, func(svc *service) {
		it, err := adapter.EncodeServer(name, inst)
		if err != nil {
			panic(err) // instances of a stand-in can always be encoded
		}
		svc.instances[inst.ID] = inst
		svc.index = s.put(it.Key, it.Value, "")
	})
}

// Deregister removes an instance of a service, visible after the lag.
func (s *Store) Deregister(name, id string) {
	s.updateAfterLag(name, id, func(svc *service) {
		delete(svc.instances, id)
		s.remove(adapter.ServerPrefix + id)
		svc.index = s.index
	})
}

// updateAfterLag calls change, under the lock, after the lag.
func (s *Store) updateAfterLag(name, id string, change func(*service)) {
	s.mu.Lock()
	svc, ok := s.services[name]
	if !ok {
		svc = &service{instances: make(map[string]port.ServiceInstance), updates: make(map[string]uint64)}
		s.services[name] = svc
	}
	svc.updates[id]++
	number := svc.updates[id]
	s.mu.Unlock()
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if svc.updates[id] == number { // otherwise a later update of the instance supersedes it
			change(svc)
		}
	}
	if s.lag <= 0 {
		apply()
		return
	}
	time.AfterFunc(s.lag, apply)
}
