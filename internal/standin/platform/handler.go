package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	port "github.com/nutmegweir/nutmegweir/internal/platform"
)

// PathFaults reads (GET) and replaces (PUT) the Faults.
const PathFaults = "/standin/faults"

// PathCalls answers GET with the Calls.
const PathCalls = "/standin/calls"

const (
	headerIndex       = "X-Consul-Index"
	minSessionTTL     = 10 * time.Second
	maxSessionBody    = 4 << 10
	defaultSessionTTL = 15 * time.Second
)

// Options are the settings of the stand-in.
type Options struct {
	Lag           time.Duration // of the service lists
	Faults        Faults
	MinSessionTTL time.Duration // shortest TTL accepted, 0 means 10 s
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
		o.MinSessionTTL = minSessionTTL
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
		r.Get("/v1/kv/*", h.read)
		r.Put("/v1/kv/*", h.write)
		r.Delete("/v1/kv/*", h.remove)
		r.Put("/v1/session/create", h.createSession)
		r.Put("/v1/session/renew/{id}", h.renewSession)
		r.Put("/v1/session/destroy/{id}", h.destroySession)
		r.Get("/v1/health/service/{name}", h.services)
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
	h.Faults.Set(f)
	reply(w, f)
}

// inject applies the faults to a call.
func (h *Handler) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fate, latency := h.Faults.Next(r.Method != http.MethodGet)
		if latency > 0 {
			time.Sleep(latency)
		}
		switch fate {
		case FateHung:
			// The body is read so that the server sees the caller hang up.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case FateRefused:
			http.Error(w, "No cluster leader", http.StatusInternalServerError)
		case FateRateLimited:
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		case FateLost:
			next.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discard is a response that nobody receives.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	var list port.Listing
	if r.URL.Query().Has("recurse") {
		index, wait, err := blocking(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		list = h.Store.List(r.Context(), key, index, wait)
	} else if e := h.Store.Get(key); e.Exists() {
		list = port.Listing{Entries: []port.Entry{e}, Index: e.Index}
	}
	setIndex(w, max(list.Index, 1))
	if len(list.Entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	pairs := make([]port.KVPair, 0, len(list.Entries))
	for _, e := range list.Entries {
		pairs = append(pairs, port.KVPair{Key: e.Key, Value: e.Value, ModifyIndex: e.Index, Session: string(e.Session)})
	}
	reply(w, pairs)
}

// blocking reads the parameters of a blocking query.
func blocking(r *http.Request) (uint64, time.Duration, error) {
	q := r.URL.Query()
	if !q.Has("index") {
		return 0, 0, nil
	}
	index, err := strconv.ParseUint(q.Get("index"), 10, 64)
	if err != nil || !q.Has("wait") {
		return index, 0, err
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	return index, wait, err
}

func (h *Handler) write(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, port.MaxValueBytes))
	if err != nil {
		http.Error(w, "value exceeds the limit", http.StatusRequestEntityTooLarge)
		return
	}
	q := r.URL.Query()
	if q.Has("acquire") {
		at, exists, ok := h.Store.Acquire(key, value, port.SessionID(q.Get("acquire")))
		if !exists {
			http.Error(w, "invalid session", http.StatusInternalServerError)
			return
		}
		replyWrite(w, at, ok)
		return
	}
	index, err := strconv.ParseUint(q.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "only writes with cas or acquire are served", http.StatusBadRequest)
		return
	}
	at, ok := h.Store.CAS(key, value, index)
	replyWrite(w, at, ok)
}

func (h *Handler) remove(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "only deletes with cas are served", http.StatusBadRequest)
		return
	}
	replyWrite(w, 0, h.Store.Delete(chi.URLParam(r, "*"), index))
}

func (h *Handler) createSession(w http.ResponseWriter, r *http.Request) {
	var req port.SessionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSessionBody)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl := defaultSessionTTL
	if req.TTL != "" {
		var err error
		if ttl, err = time.ParseDuration(req.TTL); err != nil || ttl < h.opts.MinSessionTTL {
			http.Error(w, "TTL must be at least "+h.opts.MinSessionTTL.String(), http.StatusBadRequest)
			return
		}
	}
	reply(w, port.SessionReply{ID: string(h.Store.CreateSession(ttl))})
}

func (h *Handler) renewSession(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !h.Store.RenewSession(port.SessionID(id)) {
		http.Error(w, "session "+strconv.Quote(id)+" not found", http.StatusNotFound)
		return
	}
	reply(w, []port.SessionReply{{ID: id}})
}

func (h *Handler) destroySession(w http.ResponseWriter, r *http.Request) {
	h.Store.DestroySession(port.SessionID(chi.URLParam(r, "id")))
	replyWrite(w, 0, true)
}

func (h *Handler) services(w http.ResponseWriter, r *http.Request) {
	index, wait, err := blocking(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := chi.URLParam(r, "name")
	list := h.Store.Services(r.Context(), name, index, wait)
	entries := make([]port.ServiceEntry, 0, len(list.Instances))
	for _, inst := range list.Instances {
		entries = append(entries, inst.Entry(name))
	}
	setIndex(w, list.Index)
	reply(w, entries)
}

func replyWrite(w http.ResponseWriter, at uint64, ok bool) {
	if at > 0 {
		setIndex(w, at)
	}
	_, _ = io.WriteString(w, strconv.FormatBool(ok))
}

func setIndex(w http.ResponseWriter, index uint64) {
	w.Header().Set(headerIndex, strconv.FormatUint(index, 10))
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
