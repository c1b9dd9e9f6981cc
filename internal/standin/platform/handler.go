package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	port "github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/lost"
)

// PathFaults reads (GET) and replaces (PUT) the Faults.
const PathFaults = "/standin/faults"

// PathCalls reads the Calls (GET).
const PathCalls = "/standin/calls"

const (
	minLeaseTTL   = 10 * time.Second
	maxTxnBytes   = 3 * port.MaxValueBytes // a base64 value and the enclosing JSON
	maxTxnEntries = 32
	maxKeyBytes   = 200
	maxPageItems  = 500
	maxWatchMs    = 30_000
)

// Options are the settings of the stand-in.
type Options struct {
	Lag           time.Duration // delay before changes of the service lists show
	Faults        Faults
	MinSessionTTL time.Duration // minimum TTL of a lease; 0 means 10 s
}

// Handler serves a store over HTTP.
type Handler struct {
	Store  *Store
	Faults *Injector
	opts   Options
	router chi.Router
}

// New returns a stand-in with an empty store.
func New(o Options) *Handler {
	if o.MinSessionTTL == 0 {
		o.MinSessionTTL = minLeaseTTL
	}
	h := &Handler{Store: NewStore(o.Lag), Faults: NewInjector(o.Faults), opts: o}
	h.router = h.routes()
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) routes() chi.Router {
	r := chi.NewRouter()
	r.Get(PathFaults, h.getFaults)
	r.Put(PathFaults, h.putFaults)
	r.Get(PathCalls, h.getCalls)
	r.Group(func(r chi.Router) {
		r.Use(h.inject)
		r.Get("/v1/kv-key", h.getKey)
		r.Get("/v1/kv-range", h.getRange)
		r.Get("/v1/kv-watch", h.watch)
		r.Post("/v1/kv-txn", h.commit)
		r.Post("/v1/kv-lease", h.grant)
		r.Post("/v1/kv-keep/{id}", h.renew)
		r.Delete("/v1/kv-lease-end/{id}", h.revokeLease)
	})
	return r
}

func (h *Handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.Faults.Faults())
}

func (h *Handler) getCalls(w http.ResponseWriter, _ *http.Request) {
	reply(w, h.Faults.Calls())
}

func (h *Handler) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.Faults.SetFaults(f)
	reply(w, f)
}

// inject applies the faults to a call.
func (h *Handler) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outcome, latency := h.Faults.NextOutcome(r.Method != http.MethodGet)
		if latency > 0 {
			time.Sleep(latency)
		}
		switch outcome {
		case OutcomeHung:
			lost.Hang(r)
		case OutcomeRejected:
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
		case OutcomeRateLimited:
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		case OutcomeAnswerLost:
			lost.DropAnswer(next, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// itemBody is the JSON form of an item or its removal.
type itemBody struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"` // base64
	Rev     uint64 `json:"rev"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func toItemBody(e port.Entry) itemBody {
	// A key without a session has lease 0.
	lease, _ := strconv.ParseUint(string(e.Session), 10, 64)
	return itemBody{Key: e.Key, Value: e.Value, Rev: e.Index, Lease: lease}
}

func (h *Handler) getKey(w http.ResponseWriter, r *http.Request) {
	e := h.Store.Get(r.URL.Query().Get("key"))
	if !e.Exists() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		itemBody
		StoreRevision uint64 `json:"storeRevision"`
	}{toItemBody(e), h.Store.Revision()})
}

func (h *Handler) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	at := h.Store.Revision()
	list := h.Store.List(r.Context(), q.Get("prefix"), 0, 0)
	out := struct {
		Items         []itemBody `json:"items"`
		MorePages     bool       `json:"morePages"`
		StoreRevision uint64     `json:"storeRevision"`
	}{Items: []itemBody{}, StoreRevision: at}
	for _, e := range list.Entries {
		if e.Key <= q.Get("after") {
			continue
		}
		if len(out.Items) == maxPageItems {
			out.MorePages = true
			break
		}
		out.Items = append(out.Items, toItemBody(e))
	}
	reply(w, out)
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || ms < 0 || ms > maxWatchMs {
		http.Error(w, "waitMs must be 0 to 30000", http.StatusBadRequest)
		return
	}
	changes, at, compacted := h.Store.Changes(r.Context(), q.Get("prefix"), after, time.Duration(ms)*time.Millisecond)
	if compacted {
		w.WriteHeader(http.StatusGone)
		return
	}
	if limit := h.Faults.Faults().WatchChanges; limit > 0 && len(changes) > limit {
		changes = changes[:limit]
		at = changes[limit-1].Index
	}
	events := make([]itemBody, 0, len(changes))
	for _, c := range changes {
		b := toItemBody(c.Entry)
		b.Removed = c.Removed
		events = append(events, b)
	}
	reply(w, struct {
		Events        []itemBody `json:"events"`
		StoreRevision uint64     `json:"storeRevision"`
	}{events, at})
}

// txnBody is the JSON form of a transaction.
type txnBody struct {
	Expected []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"expected"`
	Writes []itemBody `json:"writes"`
	Remove []string   `json:"remove"`
}

func (h *Handler) commit(w http.ResponseWriter, r *http.Request) {
	var b txnBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxnBytes)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if n := len(b.Expected) + len(b.Writes) + len(b.Remove); n == 0 || n > maxTxnEntries {
		http.Error(w, "a change has 1 to 32 entries", http.StatusBadRequest)
		return
	}
	t := Txn{Preconditions: map[string]uint64{}, Remove: b.Remove}
	for _, e := range b.Expected {
		t.Preconditions[e.Key] = e.Rev
	}
	for _, x := range b.Writes {
		if len(x.Key) > maxKeyBytes {
			http.Error(w, "key exceeds the limit", http.StatusBadRequest)
			return
		}
		if len(x.Value) > port.MaxValueBytes {
			http.Error(w, "value exceeds the limit", http.StatusBadRequest)
			return
		}
		e := port.Entry{Key: x.Key, Value: x.Value}
		if x.Lease != 0 {
			e.Session = port.SessionID(strconv.FormatUint(x.Lease, 10))
		}
		t.Writes = append(t.Writes, e)
	}
	replyTxn(w, h.Store.Commit(t))
}

func replyTxn(w http.ResponseWriter, r TxnResult) {
	switch {
	case r.LeaseNotFound:
		w.WriteHeader(http.StatusNotFound)
	case r.Index == 0:
		items := []itemBody{}
		for _, e := range r.Current {
			items = append(items, toItemBody(e))
		}
		replyStatus(w, http.StatusPreconditionFailed, struct {
			Items []itemBody `json:"items"`
		}{items})
	default:
		reply(w, struct {
			Rev uint64 `json:"rev"`
		}{r.Index})
	}
}

func (h *Handler) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl := time.Duration(b.TTLMs) * time.Millisecond
	if ttl < h.opts.MinSessionTTL {
		http.Error(w, "ttlMs must be at least "+h.opts.MinSessionTTL.String(), http.StatusBadRequest)
		return
	}
	id, err := strconv.ParseUint(string(h.Store.CreateSession(ttl)), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	reply(w, struct {
		Lease uint64 `json:"lease"`
		TTLMs int64  `json:"ttlMs"`
	}{id, b.TTLMs})
}

func (h *Handler) renew(w http.ResponseWriter, r *http.Request) {
	if !h.Store.RenewSession(port.SessionID(chi.URLParam(r, "id"))) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct{}{})
}

func (h *Handler) revokeLease(w http.ResponseWriter, r *http.Request) {
	h.Store.DestroySession(port.SessionID(chi.URLParam(r, "id")))
	reply(w, struct{}{})
}

func reply(w http.ResponseWriter, body any) { replyStatus(w, http.StatusOK, body) }

func replyStatus(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has disconnected
}
