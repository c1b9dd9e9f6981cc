package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]*storeItem
	events   []storeEvent
	changed  chan struct{} // closed and replaced at each change
	leases   map[uint64]*storeLease
	lastID   uint64
}

type storeItem struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
}

type storeEvent struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{revision: 1, items: map[string]*storeItem{}, changed: make(chan struct{}), leases: map[uint64]*storeLease{}}
}

// storeLatency is the time of an answer.
const storeLatency = 4 * time.Millisecond

// gate is an address of the store that one machine uses.
type gate struct {
	store *store
	addr  string

	mu    sync.Mutex
	turns int // HTTP status for all calls, 0 while it serves
}

// gate opens an address of the store.
func (s *store) gate(addr string) (*gate, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := &gate{store: s, addr: l.Addr().String()}
	go func() { _ = http.Serve(l, g) }()
	return g, nil
}

// turnAway answers all calls of the machine with a status; 0 serves it again.
func (g *gate) turnAway(status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turns = status
}

func (g *gate) status() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.turns
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	if n := g.status(); n != 0 {
		w.WriteHeader(n)
		return
	}
	g.store.serve(w, r, body, g.status)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte, turned func() int) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/v1/kv-key":
		s.mu.Lock()
		it := s.items[q.Get("key")]
		var out any
		if it != nil {
			out = struct {
				storeItem
				StoreRevision uint64 `json:"storeRevision"`
			}{*it, s.revision}
		}
		s.mu.Unlock()
		if out == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, out)
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond, turned)
	case r.URL.Path == "/v1/kv-txn":
		s.serveTxn(w, body)
	case r.URL.Path == "/v1/kv-lease":
		var b struct{ TTLMs int64 }
		if json.Unmarshal(body, &b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		id := s.grant(time.Duration(max(b.TTLMs, 1000)) * time.Millisecond)
		writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": max(b.TTLMs, 1000)})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/v1/kv-keep/"), 10, 64)
		if !s.keep(id) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"ttlMs": 1500})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/v1/kv-lease-end/"), 10, 64)
		s.endLease(id)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageItems is the most items of one page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	out := []storeItem{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		out = append(out, *s.items[k])
	}
	rev := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": out, "morePages": more, "storeRevision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration, turned func() int) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := []storeEvent{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		changed, rev := s.changed, s.revision
		s.mu.Unlock()
		if n := turned(); n != 0 {
			w.WriteHeader(n)
			return
		}
		if len(out) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": out, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": out, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type storeTxn struct {
	Expected []struct {
		Key string
		Rev uint64
	}
	Writes []struct {
		Key   string
		Value string
		Lease uint64
	}
	Remove []string
}

func (s *store) serveTxn(w http.ResponseWriter, body []byte) {
	var t storeTxn
	if json.Unmarshal(body, &t) != nil || len(t.Expected)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []storeItem{}
	for _, e := range t.Expected {
		it := storeItem{Key: e.Key}
		if x := s.items[e.Key]; x != nil {
			it = *x
		}
		current = append(current, it)
		holds = holds && it.Rev == e.Rev
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, x := range t.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.announce()
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.revision})
}

// write sets a key at the current revision. The caller holds mu.
func (s *store) write(key, value string, lease uint64) {
	created := s.revision
	if it := s.items[key]; it != nil {
		created = it.Created
	}
	s.items[key] = &storeItem{key, value, s.revision, created, lease}
	s.events = append(s.events, storeEvent{Key: key, Value: value, Rev: s.revision, Created: created, Lease: lease})
}

// remove removes a key at the current revision. The caller holds mu.
func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, storeEvent{Key: key, Rev: s.revision, Removed: true})
}

// announce wakes the watches. The caller holds mu.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a minion.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(data), 0)
	s.announce()
}

// drop removes a key.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.announce()
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// value returns the value of a key, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[key]
	if it == nil {
		return nil
	}
	data, _ := base64.StdEncoding.DecodeString(it.Value)
	return data
}

func (s *store) grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id := s.lastID
	s.leases[id] = &storeLease{ttl, time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id
}

func (s *store) keep(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Reset(l.ttl)
	return true
}

func (s *store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
		delete(s.leases, id)
	}
	s.revision++
	n := len(s.events)
	for k, it := range s.items {
		if it.Lease == id {
			s.remove(k)
		}
	}
	if len(s.events) > n {
		s.announce()
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have left
}
