package table

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// defaultWeight applies where no row sets a weight.
const defaultWeight = 1

// Effective holds the settings for a customer's requests of one kind in one
// failure domain, after inheritance.
type Effective struct {
	Weight      float64
	Concurrency int           // concurrent tasks, 0 = unlimited
	Rate        float64       // task starts per second, 0 = unlimited
	QueueBound  int           // queued tasks per instance, 0 = unlimited
	Deadline    time.Duration // default deadline, 0 = none
	// LimitName identifies the group of requests that share Concurrency and Rate:
	// the customer and the rows that set them. It is empty without a limit.
	LimitName string
}

// Column names a column of the table.
type Column string

// Columns of the table.
const (
	ColCustomer    Column = "customer"
	ColDomain      Column = "domain"
	ColKind        Column = "kind"
	ColServer      Column = "server"
	ColWeight      Column = "weight"
	ColConcurrency Column = "concurrency"
	ColRate        Column = "rate"
	ColQueueBound  Column = "queue_bound"
	ColDeadlineMs  Column = "deadline_ms"
	ColState       Column = "state"
	ColVersion     Column = "version"
)

// numMatchingKeys is the number of keys that can match one request.
const numMatchingKeys = 8

// matchingKeys returns the keys that match a request, the most specific first.
// A named customer takes precedence over a named kind, and that over a named
// domain.
func matchingKeys(c model.Customer, d model.Domain, k model.Kind) [numMatchingKeys]Key {
	return [numMatchingKeys]Key{
		{Customer: c, Domain: d, Kind: k},
		{Customer: c, Domain: Any, Kind: k},
		{Customer: c, Domain: d, Kind: Any},
		{Customer: c, Domain: Any, Kind: Any},
		{Customer: Any, Domain: d, Kind: k},
		{Customer: Any, Domain: Any, Kind: k},
		{Customer: Any, Domain: d, Kind: Any},
		{Customer: Any, Domain: Any, Kind: Any},
	}
}

// Effective returns the settings for a request. Each column comes from the
// most specific matching row that sets it.
func (s *Snapshot) Effective(c model.Customer, d model.Domain, k model.Kind) Effective {
	var v Values
	var concurrencyRow, rateRow Key
	for _, key := range matchingKeys(c, d, k) {
		r, ok := s.rows[key]
		if !ok {
			continue
		}
		if v.Concurrency == nil && r.Concurrency != nil {
			concurrencyRow = key
		}
		if v.Rate == nil && r.Rate != nil {
			rateRow = key
		}
		v = inherit(v, r.Values)
	}
	e := Effective{
		Weight:      orDefault(v.Weight, defaultWeight),
		Concurrency: orDefault(v.Concurrency, 0),
		Rate:        orDefault(v.Rate, 0),
		QueueBound:  orDefault(v.QueueBound, 0),
		Deadline:    time.Duration(orDefault(v.DeadlineMs, 0)) * time.Millisecond,
	}
	if e.Concurrency > 0 || e.Rate > 0 {
		e.LimitName = limitName(c, concurrencyRow, rateRow)
	}
	return e
}

// limitName is the same for all requests of a customer whose limits come from
// the same rows. A wildcard row limits each customer separately.
func limitName(c model.Customer, concurrency, rate Key) string {
	return string(c) + " " + concurrency.String() + " " + rate.String()
}

// inherit fills the unset columns of v from a less specific row.
func inherit(v, from Values) Values {
	v.Weight = coalesce(v.Weight, from.Weight)
	v.Concurrency = coalesce(v.Concurrency, from.Concurrency)
	v.Rate = coalesce(v.Rate, from.Rate)
	v.QueueBound = coalesce(v.QueueBound, from.QueueBound)
	v.DeadlineMs = coalesce(v.DeadlineMs, from.DeadlineMs)
	return v
}

func coalesce[T any](a, b *T) *T {
	if a != nil {
		return a
	}
	return b
}

func orDefault[T any](p *T, def T) T {
	if p == nil {
		return def
	}
	return *p
}

// Source is the origin of a column's effective value.
type Source struct {
	Column  Column `json:"column"`
	Value   string `json:"value"`
	Row     *Key   `json:"row,omitempty"` // nil for the built-in default
	Version uint64 `json:"version"`
}

// Explain returns the source of each column for a request.
func (s *Snapshot) Explain(c model.Customer, d model.Domain, k model.Kind) []Source {
	var list []Source
	for _, f := range fields {
		if f.forServer {
			continue
		}
		src := Source{Column: f.column, Value: f.defaultText}
		for _, key := range matchingKeys(c, d, k) {
			r, ok := s.rows[key]
			if text := f.get(r.Values); ok && text != "" {
				src = Source{Column: f.column, Value: text, Row: &key, Version: r.Version}
				break
			}
		}
		list = append(list, src)
	}
	return list
}

// maxCachedRows limits the effective rows held by a Cache.
const maxCachedRows = 1 << 16

// Cache caches the effective rows of one failure domain for the hot path. It
// is not safe for concurrent use.
type Cache struct {
	domain model.Domain
	snap   *Snapshot
	rows   map[cacheKey]Effective
}

type cacheKey struct {
	customer model.Customer
	kind     model.Kind
}

// NewCache returns a cache of the empty table.
func NewCache(d model.Domain) *Cache {
	return &Cache{domain: d, snap: Empty(), rows: make(map[cacheKey]Effective)}
}

// Set puts a snapshot in force if it is newer than the current one, and
// reports whether it did.
func (c *Cache) Set(s *Snapshot) bool {
	if s.version <= c.snap.version {
		return false
	}
	c.snap = s
	clear(c.rows)
	return true
}

// Snapshot returns the table in force.
func (c *Cache) Snapshot() *Snapshot { return c.snap }

// Row returns the effective row of a customer and kind. It allocates only on
// the first lookup.
func (c *Cache) Row(customer model.Customer, kind model.Kind) Effective {
	key := cacheKey{customer, kind}
	if e, ok := c.rows[key]; ok {
		return e
	}
	if len(c.rows) >= maxCachedRows {
		clear(c.rows)
	}
	e := c.snap.Effective(customer, c.domain, kind)
	c.rows[key] = e
	return e
}
