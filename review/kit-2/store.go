package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The store of the platform, as PROTOCOL.md describes it.

type item struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

type storedChange struct {
	item
	at time.Time
}

// Store is the platform's metadata store.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	keys    map[string]item
	history []storedChange
	dropped uint64 // revision up to which the history is gone
	leases  map[uint64]*time.Timer
	ttl     map[uint64]time.Duration
	changed chan struct{}
	addr    string
	silent  atomic.Bool // no call is answered or has an effect
}

const (
	storeDelay   = 4 * time.Millisecond
	storeHistory = 20 * time.Second
	pageItems    = 500
	pageBytes    = 1 << 20
)

func startStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{rev: 100, keys: map[string]item{}, leases: map[uint64]*time.Timer{}, ttl: map[uint64]time.Duration{}, changed: make(chan struct{}), addr: l.Addr().String()}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv-key", s.get)
	m.HandleFunc("GET /v1/kv-range", s.list)
	m.HandleFunc("GET /v1/kv-watch", s.watch)
	m.HandleFunc("POST /v1/kv-txn", s.txn)
	m.HandleFunc("POST /v1/kv-lease", s.grant)
	m.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		if s.silent.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		m.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, slow) }()
	return s, nil
}

func sendJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has left
}

// put writes a key for the operator or a minion.
func (s *Store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, base64.StdEncoding.EncodeToString(value), 0)
	s.wake()
}

// drop removes a key for the operator or a minion.
func (s *Store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.keys[key]; !ok {
		return
	}
	s.rev++
	s.unset(key)
	s.wake()
}

// The following are called with mu held and rev raised.

func (s *Store) set(key, value string, lease uint64) {
	created := s.keys[key].Created
	if created == 0 {
		created = s.rev
	}
	it := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.keys[key] = it
	s.history = append(s.history, storedChange{it, time.Now()})
}

func (s *Store) unset(key string) {
	delete(s.keys, key)
	s.history = append(s.history, storedChange{item{Key: key, Rev: s.rev, Removed: true}, time.Now()})
}

func (s *Store) wake() {
	old := time.Now().Add(-storeHistory)
	n := 0
	for n < len(s.history) && s.history[n].at.Before(old) {
		s.dropped = s.history[n].Rev
		n++
	}
	s.history = s.history[n:]
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.keys[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		sendJSON(w, http.StatusNotFound, map[string]any{"storeRevision": rev})
		return
	}
	sendJSON(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{it, rev})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for k, it := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	n, size := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Value) < pageBytes) {
		size += len(items[n].Value) + len(items[n].Key)
		n++
	}
	sendJSON(w, http.StatusOK, map[string]any{"items": items[:n], "morePages": n < len(items), "storeRevision": rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, rev, changed := after < s.dropped, s.rev, s.changed
		events := []item{}
		for _, c := range s.history {
			if c.Rev > after && strings.HasPrefix(c.Key, q.Get("prefix")) {
				events = append(events, c.item)
			}
		}
		s.mu.Unlock()
		if gone {
			sendJSON(w, http.StatusGone, map[string]any{"storeRevision": rev})
			return
		}
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
			case <-end:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || over {
			sendJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, x := range t.Expected {
		it := s.keys[x.Key]
		if it.Rev != x.Rev {
			failed = true
		}
		it.Key = x.Key
		current = append(current, it)
	}
	if failed {
		sendJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current, "storeRevision": s.rev})
		return
	}
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			sendJSON(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, x := range t.Writes {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Remove {
		if _, ok := s.keys[k]; ok {
			s.unset(k)
		}
	}
	s.wake()
	sendJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	ttl := time.Duration(max(b.TTLMs, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	id := s.rev
	s.ttl[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() { s.endLease(id) })
	sendJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func leaseID(r *http.Request) uint64 {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return id
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := leaseID(r)
	t := s.leases[id]
	if t == nil || !t.Reset(s.ttl[id]) {
		sendJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	sendJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": s.ttl[id].Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	s.endLease(leaseID(r))
	sendJSON(w, http.StatusOK, map[string]any{})
}

func (s *Store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil {
		return
	}
	t.Stop()
	delete(s.leases, id)
	s.rev++
	for k, it := range s.keys {
		if it.Lease == id {
			s.unset(k)
		}
	}
	s.wake()
}
