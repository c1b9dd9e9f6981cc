// Package table implements the operators' table of weights and limits: rows,
// inheritance, validation and versions. It does no I/O.
package table

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Any is the wildcard for customers, failure domains and kinds.
const Any = "*"

// Key identifies a row. Policy rows have a customer, a failure domain and a
// kind, each a name or Any, and no server. Rows of backend servers have only
// the server.
type Key struct {
	Customer model.Customer `json:"customer,omitempty"`
	Domain   model.Domain   `json:"domain,omitempty"`
	Kind     model.Kind     `json:"kind,omitempty"`
	Server   model.ServerID `json:"server,omitempty"`
}

// String returns the key as customer/domain/kind or as server:ID.
func (k Key) String() string {
	if k.Server != "" {
		return "server:" + string(k.Server)
	}
	return string(k.Customer) + "/" + string(k.Domain) + "/" + string(k.Kind)
}

// Compare orders keys by customer, domain, kind and server.
func (k Key) Compare(o Key) int {
	return cmp.Or(
		cmp.Compare(k.Customer, o.Customer),
		cmp.Compare(k.Domain, o.Domain),
		cmp.Compare(k.Kind, o.Kind),
		cmp.Compare(k.Server, o.Server),
	)
}

// ServiceState says whether a backend server may get new work.
type ServiceState string

// Service states. The empty state keeps the state from the platform's service
// list.
const (
	StateActive  ServiceState = "active"
	StateDrained ServiceState = "drained"
)

// Values holds the columns of a row. An unset column inherits.
type Values struct {
	Weight      *float64     `json:"weight,omitempty"`      // relative share of the capacity
	Concurrency *int         `json:"concurrency,omitempty"` // concurrent tasks, 0 = unlimited
	Rate        *float64     `json:"rate,omitempty"`        // task starts per second, 0 = unlimited
	QueueBound  *int         `json:"queue_bound,omitempty"` // queued tasks per instance, 0 = unlimited
	DeadlineMs  *int64       `json:"deadline_ms,omitempty"` // default deadline, 0 = none
	State       ServiceState `json:"state,omitempty"`       // of a backend server
}

// Equal reports whether both set the same columns to the same values.
func (v Values) Equal(o Values) bool {
	return equal(v.Weight, o.Weight) &&
		equal(v.Concurrency, o.Concurrency) &&
		equal(v.Rate, o.Rate) &&
		equal(v.QueueBound, o.QueueBound) &&
		equal(v.DeadlineMs, o.DeadlineMs) &&
		v.State == o.State
}

func equal[T comparable](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Row is one row of the table.
type Row struct {
	Key
	Values
	Version uint64 `json:"version"` // table version of the last edit
	EditID  string `json:"edit_id"` // ID of the last edit
}

// Change is the effect of an edit on one row.
type Change struct {
	Key    Key     `json:"key"`
	Base   uint64  `json:"base"`             // row version that the edit is based on, 0 = no such row
	Before *Values `json:"before,omitempty"` // nil if the row was absent
	After  *Values `json:"after,omitempty"`  // nil removes the row
}

// Edit is a set of changes that took effect atomically. It is also their audit
// record.
type Edit struct {
	Version  uint64   `json:"version"` // table version that it created
	ID       string   `json:"id"`      // unique, chosen by the client
	Actor    string   `json:"actor"`
	AtUnixMs int64    `json:"at_unix_ms"`
	Note     string   `json:"note,omitempty"`
	Changes  []Change `json:"changes"`
}

// At returns the time of the edit.
func (e Edit) At() time.Time { return time.UnixMilli(e.AtUnixMs) }

// Snapshot is the whole table at one version. It is immutable.
type Snapshot struct {
	version uint64
	rows    map[Key]Row
}

// Empty returns the table of version 0, without rows.
func Empty() *Snapshot { return &Snapshot{rows: map[Key]Row{}} }

// NewSnapshot returns a table with the given rows.
func NewSnapshot(version uint64, rows []Row) *Snapshot {
	s := &Snapshot{version: version, rows: make(map[Key]Row, len(rows))}
	for _, r := range rows {
		s.rows[r.Key] = r
	}
	return s
}

// Version returns the table version.
func (s *Snapshot) Version() uint64 { return s.version }

// Len returns the number of rows.
func (s *Snapshot) Len() int { return len(s.rows) }

// Row returns the row of a key, without inheritance.
func (s *Snapshot) Row(k Key) (Row, bool) {
	r, ok := s.rows[k]
	return r, ok
}

// Rows returns all rows, sorted by key.
func (s *Snapshot) Rows() []Row {
	rows := slices.Collect(maps.Values(s.rows))
	slices.SortFunc(rows, func(a, b Row) int { return a.Key.Compare(b.Key) })
	return rows
}

// ServerState returns the state that operators set for a backend server, empty
// if it has no row.
func (s *Snapshot) ServerState(id model.ServerID) ServiceState {
	return s.rows[Key{Server: id}].State
}

// Apply returns the table with the newer ones of edits applied in order. They
// must follow its version without a gap; otherwise the second result is false.
func (s *Snapshot) Apply(edits []Edit) (*Snapshot, bool) {
	next := s
	for _, e := range edits {
		if e.Version <= next.version {
			continue
		}
		if e.Version != next.version+1 {
			return s, false
		}
		if next == s {
			next = &Snapshot{version: s.version, rows: maps.Clone(s.rows)}
		}
		next.apply(e)
	}
	return next, true
}

func (s *Snapshot) apply(e Edit) {
	s.version = e.Version
	for _, c := range e.Changes {
		if c.After == nil {
			delete(s.rows, c.Key)
			continue
		}
		s.rows[c.Key] = Row{Key: c.Key, Values: *c.After, Version: e.Version, EditID: e.ID}
	}
}

// Newer returns the snapshot with the higher version, s if they are equal.
func (s *Snapshot) Newer(o *Snapshot) *Snapshot {
	if o != nil && o.version > s.version {
		return o
	}
	return s
}
