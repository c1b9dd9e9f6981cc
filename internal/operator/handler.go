package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablecsv"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
)

// Sync is this instance's view of the table's propagation, implemented by
// *tablesync.Runner.
type Sync interface {
	Snapshot() *table.Snapshot
	Status(version uint64) []tablesync.DomainStatus
	AddLocalEdit(e table.Edit)
}

// Options configures a Handler.
type Options struct {
	Store   *tablestore.Store
	Sync    Sync
	Trail   *audit.Trail
	Auth    Authenticator
	Servers func() []Server // from the platform's list, without the table's state; may be nil
	Shards  func() []Shard  // may be nil
}

// Handler serves the operator port. It is an http.Handler.
type Handler struct {
	opts   Options
	router chi.Router
}

// New returns a handler.
func New(o Options) *Handler {
	h := &Handler{opts: o}
	h.router = h.routes()
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) routes() chi.Router {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(h.require(RoleRead))
		r.Get(PathPage, h.page)
		r.Get(PathTable, h.getTable)
		r.Get(PathCSV, h.getCSV)
		r.Get(PathExplain, h.explain)
		r.Get(PathHistory, h.history)
		r.Get(PathInForce, h.inForce)
		r.Get(PathServers, h.getServers)
		r.Get(PathAudit, h.audit)
	})
	r.Group(func(r chi.Router) {
		r.Use(h.require(RoleWrite))
		r.With(requireMediaType("text/csv")).Post(PathImport, h.importCSV)
		r.Group(func(r chi.Router) {
			r.Use(requireMediaType("application/json"))
			r.Post(PathEdits, h.postEdit)
			r.Post(PathRevert, h.revert)
			r.Post(PathServers+"/{id}/drain", h.serviceHandler(table.StateDrained))
			r.Post(PathServers+"/{id}/return", h.serviceHandler(table.StateActive))
		})
	})
	return r
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(body)
}

// decode reads a JSON body and rejects unknown fields.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, err = d.Token(); err == io.EOF {
			return true
		}
		err = fmt.Errorf("the body goes on after its JSON value")
	}
	writeProblem(w, problemMalformed(err.Error()))
	return false
}

// uintParam parses a query parameter; an absent one is 0.
func uintParam(q url.Values, name string) (uint64, error) {
	if !q.Has(name) {
		return 0, nil
	}
	n, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s is %q; write a whole number", name, q.Get(name))
	}
	return n, nil
}

func (h *Handler) getTable(w http.ResponseWriter, _ *http.Request) {
	s := h.opts.Sync.Snapshot()
	reply(w, Table{Version: s.Version(), Rows: s.Rows()})
}

func (h *Handler) getCSV(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/csv; charset=utf-8")
	w.Header().Set("Content-Disposition", `attachment; filename="table.csv"`)
	_ = tablecsv.Write(w, h.opts.Sync.Snapshot().Rows())
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s := h.opts.Sync.Snapshot()
	sources := s.Explain(model.Customer(q.Get("customer")), model.Domain(q.Get("domain")), model.Kind(q.Get("kind")))
	reply(w, Explanation{Version: s.Version(), Sources: sources})
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	page, err := uintParam(r.URL.Query(), "page")
	below, err2 := uintParam(r.URL.Query(), "below")
	if err != nil || err2 != nil {
		writeProblem(w, problemMalformed("page and below are whole numbers"))
		return
	}
	list, err := h.opts.Store.History(r.Context(), tablestore.Cursor{Page: page, Below: below})
	if err != nil {
		writeProblem(w, problemOf(err))
		return
	}
	reply(w, History{Edits: list.Edits, Next: list.Next, More: list.More})
}

func (h *Handler) inForce(w http.ResponseWriter, r *http.Request) {
	version, err := uintParam(r.URL.Query(), "version")
	if err != nil {
		writeProblem(w, problemMalformed(err.Error()))
		return
	}
	reply(w, InForce{Version: version, Domains: h.opts.Sync.Status(version)})
}

// servers merges the platform's list with the table's rows.
func (h *Handler) servers() []Server {
	var list []Server
	if h.opts.Servers != nil {
		list = h.opts.Servers()
	}
	snap := h.opts.Sync.Snapshot()
	listed := make(map[model.ServerID]bool)
	for i := range list {
		listed[list[i].ID] = true
		list[i].Operator = snap.ServerState(list[i].ID)
	}
	for _, row := range snap.Rows() {
		if row.Server != "" && !listed[row.Server] {
			list = append(list, Server{ID: row.Server, Listed: "absent", Operator: row.State})
		}
	}
	return list
}

func (h *Handler) getServers(w http.ResponseWriter, _ *http.Request) { reply(w, h.servers()) }

func (h *Handler) audit(w http.ResponseWriter, r *http.Request) {
	f, limit, err := auditQuery(r.URL.Query())
	if err != nil {
		writeProblem(w, problemMalformed(err.Error()))
		return
	}
	records, err := h.auditRecords(r.Context(), f, limit+1)
	if err != nil {
		writeProblem(w, problemOf(err))
		return
	}
	more := len(records) > limit
	reply(w, Audit{Records: records[:min(limit, len(records))], Dropped: h.opts.Trail.Dropped(), More: more})
}

func auditQuery(q url.Values) (audit.Filter, int, error) {
	f := audit.Filter{
		Row:      q.Get("row"),
		Customer: model.Customer(q.Get("customer")),
		Action:   audit.Action(q.Get("action")),
		Actor:    q.Get("actor"),
	}
	var err error
	if f.SinceUnixMs, err = timeParam(q, "since"); err != nil {
		return f, 0, err
	}
	if f.UntilUnixMs, err = timeParam(q, "until"); err != nil {
		return f, 0, err
	}
	limit, err := uintParam(q, "limit")
	if limit == 0 {
		limit = defaultAuditLimit
	}
	return f, int(min(limit, maxAuditLimit)), err
}

// timeParam parses an RFC 3339 time into milliseconds since the Unix epoch.
func timeParam(q url.Values, name string) (int64, error) {
	if !q.Has(name) {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339, q.Get(name))
	if err != nil {
		return 0, fmt.Errorf("%s is %q; write it like 2026-01-31T08:00:00Z", name, q.Get(name))
	}
	return t.UnixMilli(), nil
}
