//go:build ignore

package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]*storeItem
	leases  map[uint64]*storeLease
	history []storeEvent
	changed chan struct{}
	nextID  uint64
}

type storeItem struct {
	value        []byte
	rev, created uint64
	lease        uint64
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

type storeEvent struct {
	key     string
	item    storeItem
	removed bool
	rev     uint64
}

func newStore() *store {
	s := &store{rev: 100, items: map[string]*storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), nextID: 7000}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends leases that have run out. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, k := range keys {
		s.removeKey(k)
	}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) removeKey(k string) {
	delete(s.items, k)
	s.history = append(s.history, storeEvent{key: k, removed: true, rev: s.rev})
}

func (s *store) putKey(k string, v []byte, lease uint64) {
	it := s.items[k]
	created := s.rev
	if it != nil {
		created = it.created
	}
	n := &storeItem{value: v, rev: s.rev, created: created, lease: lease}
	s.items[k] = n
	s.history = append(s.history, storeEvent{key: k, item: *n, rev: s.rev})
}

// put and remove are writes of the operator and of the minions.
func (s *store) put(k string, v any) {
	data, err := json.Marshal(v)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.putKey(k, data, 0)
	s.wake()
}

func (s *store) remove(k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[k] == nil {
		return
	}
	s.rev++
	s.removeKey(k)
	s.wake()
}

// keys returns the keys with a prefix, in order.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	all := slices.Sorted(maps.Keys(s.items))
	s.mu.Unlock()
	return slices.DeleteFunc(all, func(k string) bool { return !strings.HasPrefix(k, prefix) })
}

// gate is the path of one machine to the store.
type gate struct {
	mode  atomic.Int32
	addr  string
	conns sync.Map
}

// Modes of a gate.
const (
	pass   = iota
	silent // nothing is done and nothing answered
	busy   // 503, nothing is done
)

// open serves the store at an address for one machine.
func (s *store) open(ip string) *gate {
	g := &gate{}
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	g.addr = l.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch g.mode.Load() {
		case silent:
			<-r.Context().Done()
			return
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(4 * time.Millisecond)
		s.serve(g, w, r)
	})}
	go srv.Serve(l)
	return g
}

func itemMap(k string, it *storeItem) map[string]any {
	return map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(it.value), "rev": it.rev, "created": it.created, "lease": it.lease}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) serve(g *gate, w http.ResponseWriter, r *http.Request) {
	p := r.URL.Path
	switch {
	case p == "/v1/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it := s.items[r.URL.Query().Get("key")]
		if it == nil {
			answer(w, 404, map[string]any{"storeRevision": s.rev})
			return
		}
		m := itemMap(r.URL.Query().Get("key"), it)
		m["storeRevision"] = s.rev
		answer(w, 200, m)
	case p == "/v1/kv-range":
		s.serveRange(w, r)
	case p == "/v1/kv-watch":
		s.serveWatch(g, w, r)
	case p == "/v1/kv-txn":
		s.serveTxn(w, r)
	case p == "/v1/kv-lease":
		var b struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTLMs < 1000 {
			answer(w, 400, map[string]any{})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		ttl := time.Duration(b.TTLMs) * time.Millisecond
		s.leases[s.nextID] = &storeLease{ttl, time.Now().Add(ttl)}
		answer(w, 200, map[string]any{"lease": s.nextID, "ttlMs": b.TTLMs})
	case strings.HasPrefix(p, "/v1/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(p, "/v1/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l := s.leases[id]
		if l == nil {
			answer(w, 404, map[string]any{})
			return
		}
		l.ends = time.Now().Add(l.ttl)
		answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(p, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(p, "/v1/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			answer(w, 404, map[string]any{})
			return
		}
		s.endLease(id)
		answer(w, 200, map[string]any{})
	default:
		answer(w, 404, map[string]any{})
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	keys := s.keys(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	out, more := []any{}, false
	for _, k := range keys {
		if it := s.items[k]; it != nil && k > after {
			if len(out) == 500 {
				more = true
				break
			}
			out = append(out, itemMap(k, it))
		}
	}
	answer(w, 200, map[string]any{"items": out, "morePages": more, "storeRevision": s.rev})
}

func (s *store) serveWatch(g *gate, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		events, at, changed := []any{}, s.rev, s.changed
		for _, e := range s.history {
			if e.rev <= after || !strings.HasPrefix(e.key, q.Get("prefix")) {
				continue
			}
			if e.removed {
				events = append(events, map[string]any{"key": e.key, "rev": e.rev, "removed": true})
			} else {
				events = append(events, itemMap(e.key, &e.item))
			}
		}
		s.mu.Unlock()
		if g.mode.Load() != pass {
			<-r.Context().Done() // the path was cut while the watch waited
			return
		}
		if len(events) > 0 || last {
			answer(w, 200, map[string]any{"events": events, "storeRevision": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// txnKey is a row of a txnCall: of expected with rev, of writes with value and lease.
type txnKey struct {
	Key   string `json:"key"`
	Rev   uint64 `json:"rev"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

type txnCall struct {
	Expected, Writes []txnKey
	Remove           []string
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var b txnCall
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Expected)+len(b.Writes)+len(b.Remove) > 32 {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	failed, current := false, []any{}
	for _, e := range b.Expected {
		rev := uint64(0)
		if it := s.items[e.Key]; it != nil {
			rev = it.rev
			current = append(current, itemMap(e.Key, it))
		}
		failed = failed || rev != e.Rev
	}
	if failed {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, x := range b.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			answer(w, 404, map[string]any{})
			return
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			answer(w, 403, map[string]any{})
			return
		}
	}
	s.rev++
	for _, x := range b.Writes {
		s.putKey(x.Key, x.Value, x.Lease)
	}
	for _, k := range b.Remove {
		if s.items[k] != nil {
			s.removeKey(k)
		}
	}
	s.wake()
	answer(w, 200, map[string]any{"rev": s.rev})
}
