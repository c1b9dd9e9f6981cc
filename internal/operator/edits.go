package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablecsv"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
)

// editTimeout limits an edit, including the resolution of an unknown outcome.
const editTimeout = 8 * time.Second

func (h *Handler) postEdit(w http.ResponseWriter, r *http.Request) {
	var req EditRequest
	if !decode(w, r, &req) {
		return
	}
	if req.ID == "" || len(req.Changes) == 0 {
		writeProblem(w, problemMalformed("id and changes are needed"))
		return
	}
	h.edit(w, r, req)
}

// edit makes one edit and writes the response.
func (h *Handler) edit(w http.ResponseWriter, r *http.Request, req EditRequest) {
	res, err := h.apply(r.Context(), req)
	if err != nil {
		h.writeError(w, r, err, 0)
		return
	}
	reply(w, res)
}

func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error, appliedVersion uint64) {
	p := problemOf(err)
	if appliedVersion > 0 && p.Applied == AppliedNo {
		p.Applied = AppliedPartly
	}
	p.Version = appliedVersion
	h.auditRejection(operatorOf(r.Context()), r, p.Kind)
	writeProblem(w, p)
}

// auditRejection records a rejected request without its body.
func (h *Handler) auditRejection(op Operator, r *http.Request, reason string) {
	_ = h.opts.Trail.Publish(audit.Record{Action: audit.ActionRefused, Actor: op.Name, Row: r.URL.Path, Note: reason})
}

// apply makes an edit, or only checks it in a dry run.
func (h *Handler) apply(ctx context.Context, req EditRequest) (EditResult, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	storeReq := tablestore.Request{
		ID:           req.ID,
		Actor:        operatorOf(ctx).Name,
		AtUnixMs:     time.Now().UnixMilli(),
		Note:         req.Note,
		Changes:      req.Changes,
		KnownVersion: h.opts.Sync.Snapshot().Version(),
	}
	if req.DryRun {
		changes, err := h.opts.Store.Check(ctx, storeReq)
		return EditResult{DryRun: true, Changes: changes}, err
	}
	res, err := h.opts.Store.Edit(ctx, storeReq)
	if err != nil {
		return EditResult{}, err
	}
	h.opts.Sync.AddLocalEdit(res.Edit)
	if !res.Repeated {
		for _, rec := range audit.FromEdit(res.Edit) {
			_ = h.opts.Trail.Publish(rec)
		}
	}
	return EditResult{Version: res.Edit.Version, Repeated: res.Repeated, Changes: res.Edit.Changes}, nil
}

func (h *Handler) importCSV(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	req := EditRequest{ID: q.Get("id"), Note: q.Get("note"), DryRun: q.Get("dry_run") == "true"}
	if req.ID == "" {
		writeProblem(w, problemMalformed("the query parameter id is needed"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tablecsv.MaxFileBytes))
	if err != nil {
		writeProblem(w, problemMalformed(err.Error()))
		return
	}
	rows, err := tablecsv.Read(body)
	if err != nil {
		h.writeError(w, r, err, 0)
		return
	}
	missing := tablecsv.KeepMissing
	if q.Get("remove_missing") == "true" {
		missing = tablecsv.RemoveMissing
	}
	current, err := h.opts.Store.Load(r.Context())
	if err != nil {
		h.writeError(w, r, err, 0)
		return
	}
	req.Changes = tablecsv.Changes(current, rows, missing)
	if len(req.Changes) == 0 {
		reply(w, EditResult{DryRun: req.DryRun, Changes: []table.Change{}})
		return
	}
	h.importChanges(w, r, req)
}

// importChanges checks all changes and applies them, in several edits if there
// are many. Only a concurrent edit or a failure can leave the import partial.
func (h *Handler) importChanges(w http.ResponseWriter, r *http.Request, req EditRequest) {
	all := req
	all.DryRun = true
	checked, err := h.apply(r.Context(), all)
	if err != nil || req.DryRun {
		h.writeResult(w, r, checked, err, 0)
		return
	}
	result := EditResult{Repeated: true}
	part := 0
	for changes := range slices.Chunk(req.Changes, maxImportEditRows) {
		part++
		edit := EditRequest{ID: fmt.Sprintf("%s/%d", req.ID, part), Note: req.Note, Changes: changes}
		res, err := h.apply(r.Context(), edit)
		if err != nil {
			h.writeResult(w, r, result, err, result.Version)
			return
		}
		result.Version = res.Version
		result.Repeated = result.Repeated && res.Repeated
		result.Changes = append(result.Changes, res.Changes...)
	}
	reply(w, result)
}

func (h *Handler) writeResult(w http.ResponseWriter, r *http.Request, res EditResult, err error, appliedVersion uint64) {
	if err != nil {
		h.writeError(w, r, err, appliedVersion)
		return
	}
	reply(w, res)
}

func (h *Handler) revert(w http.ResponseWriter, r *http.Request) {
	var req RevertRequest
	if !decode(w, r, &req) {
		return
	}
	if req.ID == "" || req.Version == 0 {
		writeProblem(w, problemMalformed("id and version are needed"))
		return
	}
	e, ok, err := h.opts.Store.FindVersion(r.Context(), req.Version)
	if err != nil {
		h.writeError(w, r, err, 0)
		return
	}
	if !ok {
		writeProblem(w, problemNotFound(fmt.Sprintf("the history has no version %d", req.Version)))
		return
	}
	note := cmp.Or(req.Note, fmt.Sprintf("revert of version %d", req.Version))
	h.edit(w, r, EditRequest{ID: req.ID, Note: note, DryRun: req.DryRun, Changes: inverse(e)})
}

// inverse returns the changes that revert an edit. They conflict if a row was
// changed since.
func inverse(e table.Edit) []table.Change {
	list := make([]table.Change, 0, len(e.Changes))
	for _, c := range e.Changes {
		back := table.Change{Key: c.Key, Base: e.Version, After: c.Before}
		if c.After == nil {
			back.Base = 0 // the edit removed the row
		}
		list = append(list, back)
	}
	return list
}

// serviceHandler drains a backend server or returns it to service. Unlike row
// edits these requests have no base version: the last one wins.
func (h *Handler) serviceHandler(state table.ServiceState) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req ServiceRequest
		if !decode(w, r, &req) {
			return
		}
		if req.ID == "" {
			writeProblem(w, problemMalformed("id is needed"))
			return
		}
		key := table.Key{Server: model.ServerID(chi.URLParam(r, "id"))}
		res, err := h.setServerState(r.Context(), key, state, req)
		h.writeResult(w, r, res, err, 0)
	}
}

func (h *Handler) setServerState(ctx context.Context, key table.Key, state table.ServiceState, req ServiceRequest) (EditResult, error) {
	for {
		current, err := h.opts.Store.Load(ctx)
		if err != nil {
			return EditResult{}, err
		}
		row, _ := current.Row(key)
		if row.State == state {
			return EditResult{Version: row.Version, Repeated: true, Changes: []table.Change{}}, nil
		}
		change := table.Change{Key: key, Base: row.Version, After: &table.Values{State: state}}
		res, err := h.apply(ctx, EditRequest{ID: req.ID, Note: req.Note, Changes: []table.Change{change}})
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) || ctx.Err() != nil {
			return res, err
		}
	}
}

// auditRecords merges this instance's audit trail with the table's history.
// While the platform is down it returns only the trail.
func (h *Handler) auditRecords(ctx context.Context, f audit.Filter, limit int) ([]audit.Record, error) {
	records := h.opts.Trail.Records(f, limit)
	if f.Action != "" && f.Action != audit.ActionEdit {
		return records, nil
	}
	edits, err := h.editRecords(ctx, f, limit)
	if platform.KindOf(err) == platform.KindUnavailable {
		return records, nil
	}
	if err != nil {
		return nil, err
	}
	records = slices.DeleteFunc(records, func(r audit.Record) bool { return r.Action == audit.ActionEdit })
	records = append(records, edits...)
	slices.SortStableFunc(records, func(a, b audit.Record) int { return cmp.Compare(b.AtUnixMs, a.AtUnixMs) })
	return records[:min(limit, len(records))], nil
}

// maxAuditPages limits the history pages read per request.
const maxAuditPages = 50

func (h *Handler) editRecords(ctx context.Context, f audit.Filter, limit int) ([]audit.Record, error) {
	var list []audit.Record
	var cursor tablestore.Cursor
	for range maxAuditPages {
		page, err := h.opts.Store.History(ctx, cursor)
		if err != nil {
			return nil, err
		}
		for _, e := range page.Edits {
			for _, rec := range audit.FromEdit(e) {
				if f.Match(rec) {
					list = append(list, rec)
				}
			}
		}
		if !page.More || len(list) >= limit || allBefore(page.Edits, f.SinceUnixMs) {
			break
		}
		cursor = page.Next
	}
	return list, nil
}

// allBefore reports whether all older edits are before a time.
func allBefore(edits []table.Edit, since int64) bool {
	return len(edits) > 0 && edits[len(edits)-1].AtUnixMs < since
}
