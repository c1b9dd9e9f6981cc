// Package operator serves the operators' HTTP API for the table, backend servers
// and the audit trail, and an HTML page that shows them.
package operator

import (
	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
)

// Paths of the operator port that this package serves.
const (
	PathPage    = "/"
	PathTable   = "/v1/table"
	PathCSV     = "/v1/table.csv"
	PathEdits   = "/v1/table/edits"
	PathImport  = "/v1/table/import"
	PathRevert  = "/v1/table/revert"
	PathExplain = "/v1/table/explain"
	PathHistory = "/v1/table/history"
	PathInForce = "/v1/table/in-force"
	PathServers = "/v1/backends"
	PathAudit   = "/v1/audit"
)

// Limits of requests and responses.
const (
	maxBodyBytes      = 1 << 20
	maxAuditLimit     = 10_000
	defaultAuditLimit = 100 // if the request sets none
	maxImportEditRows = 100 // rows per edit of an import
)

// Table is the response to PathTable.
type Table struct {
	Version uint64      `json:"version"` // in force at the responding instance
	Rows    []table.Row `json:"rows"`
}

// EditRequest is the body of a POST to PathEdits.
type EditRequest struct {
	ID      string         `json:"id"` // unique; reuse it if the outcome is unknown
	Note    string         `json:"note,omitempty"`
	DryRun  bool           `json:"dry_run,omitempty"`
	Changes []table.Change `json:"changes"`
}

// EditResult is the response to an edit, an import or a revert.
type EditResult struct {
	Version  uint64         `json:"version"` // version with the changes; 0 for a dry run or no change
	Repeated bool           `json:"repeated,omitempty"`
	DryRun   bool           `json:"dry_run,omitempty"`
	Changes  []table.Change `json:"changes"`
}

// RevertRequest is the body of a POST to PathRevert.
type RevertRequest struct {
	ID      string `json:"id"`
	Note    string `json:"note,omitempty"`
	DryRun  bool   `json:"dry_run,omitempty"`
	Version uint64 `json:"version"` // version to revert
}

// ServiceRequest is the body of a POST that drains a backend server or returns
// it to service.
type ServiceRequest struct {
	ID   string `json:"id"`
	Note string `json:"note,omitempty"`
}

// Explanation is the response to PathExplain.
type Explanation struct {
	Version uint64         `json:"version"`
	Sources []table.Source `json:"sources"`
}

// History is the response to PathHistory, newest edit first.
type History struct {
	Edits []table.Edit      `json:"edits"`
	Next  tablestore.Cursor `json:"next"`
	More  bool              `json:"more"`
}

// InForce is the response to PathInForce.
type InForce struct {
	Version uint64                   `json:"version"` // requested version
	Domains []tablesync.DomainStatus `json:"domains"`
}

// Server is a backend server as known to the instance.
type Server struct {
	ID          model.ServerID     `json:"id"`
	Domain      model.Domain       `json:"domain,omitempty"`
	Addr        string             `json:"addr,omitempty"`
	Slots       int                `json:"slots"`
	Listed      string             `json:"listed"`             // state in the platform's list: active, leaving or absent
	Operator    table.ServiceState `json:"operator,omitempty"` // state in the table, if any
	Quarantined bool               `json:"quarantined"`
}

// Shard is a shard of the instance's failure domain.
type Shard struct {
	Number int            `json:"number"`
	Epoch  uint64         `json:"epoch"`
	Owner  model.Instance `json:"owner"`
	Role   string         `json:"role"` // of this instance
}

// Audit is the response to PathAudit, newest record first.
type Audit struct {
	Records []audit.Record `json:"records"`
	Dropped int            `json:"dropped"` // records that this instance's trail has discarded
	More    bool           `json:"more"`    // the limit was reached
}

// Problem is the RFC 9457 problem document of a rejected request.
type Problem struct {
	Type      string              `json:"type"`
	Title     string              `json:"title"`
	Status    int                 `json:"status"`
	Detail    string              `json:"detail,omitempty"`
	Kind      string              `json:"kind"`
	Applied   Applied             `json:"applied"`
	Remedy    string              `json:"remedy"`
	Faults    []table.Fault       `json:"faults,omitempty"`
	Conflicts []table.RowConflict `json:"conflicts,omitempty"`
	Version   uint64              `json:"version,omitempty"` // version of the part of an import that took effect
}

// Applied is whether a change took effect.
type Applied string

// Values of Applied.
const (
	AppliedNo      Applied = "no"
	AppliedPartly  Applied = "partly"
	AppliedUnknown Applied = "unknown"
)
