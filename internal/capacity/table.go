package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	adapter "github.com/nutmegweir/nutmegweir/platform"
)

// TableResult is the cost of the table of weights and limits at a number of rows.
type TableResult struct {
	Customers    int     `json:"customers"`
	Kinds        int     `json:"kinds"`
	Domains      int     `json:"domains"`
	Rows         int     `json:"rows"`
	RowBytes     float64 `json:"row_bytes"`      // memory per row
	RowJSONBytes float64 `json:"row_json_bytes"` // stored per row on the platform
	ApplyUs      float64 `json:"apply_us"`       // application of an edit of one row
	FirstNs      float64 `json:"first_ns"`       // first lookup of an effective row
	LookupNs     float64 `json:"lookup_ns"`      // later lookups
}

// TableSizes returns the numbers of customers to measure, each with tableKinds
// kinds and tableDomains domains.
func TableSizes() []int { return []int{10, 40, 120, 400} }

const (
	tableKinds   = 4
	tableDomains = 6
	tableLookups = 20_000
	tableEdits   = 200
)

// MeasureTable measures the table in memory.
func MeasureTable(customers int) TableResult {
	return medianRun(
		func() TableResult { return measureTable(customers) },
		func(f TableResult) float64 { return f.ApplyUs },
	)
}

func measureTable(customers int) TableResult {
	overhead := measureClockOverhead()
	rows := tableRows(customers)
	data, err := json.Marshal(rows)
	if err != nil {
		panic(err) // rows can always be encoded
	}
	before := heapBytes()
	snap := table.NewSnapshot(1, rows)
	bytes := heapBytes() - before
	f := TableResult{
		Customers:    customers,
		Kinds:        tableKinds,
		Domains:      tableDomains,
		Rows:         len(rows),
		RowBytes:     float64(bytes) / float64(len(rows)),
		RowJSONBytes: float64(len(data)) / float64(len(rows)),
	}
	var apply stopwatch
	for i := range tableEdits {
		edit := tableEdit(uint64(i)+2, rows[i%len(rows)].Key)
		apply.measure(func() { snap, _ = snap.Apply([]table.Edit{edit}) })
	}
	f.ApplyUs = float64(apply.netTime(overhead).Microseconds()) / tableEdits
	cache := table.NewCache(domainName(0))
	cache.Set(snap)
	f.FirstNs = measureLookups(cache, customers, overhead, 1)
	f.LookupNs = measureLookups(cache, customers, overhead, tableLookups/customers/tableKinds)
	return f
}

// measureLookups returns the time of one lookup over all customers and kinds.
func measureLookups(c *table.Cache, customers int, overhead time.Duration, rounds int) float64 {
	var w stopwatch
	for range max(1, rounds) {
		for i := range customers {
			for k := range tableKinds {
				name, kind := customerName(i), kindName(k)
				w.measure(func() { c.Row(name, kind) })
			}
		}
	}
	return float64(w.netTime(overhead).Nanoseconds()) / float64(w.calls)
}

func kindName(i int) model.Kind { return model.Kind(fmt.Sprintf("kind-%d", i)) }

// tableRows returns a row for every customer, kind and domain.
func tableRows(customers int) []table.Row {
	var rows []table.Row
	for c := range customers {
		for k := range tableKinds {
			for d := range tableDomains {
				key := table.Key{Customer: customerName(c), Domain: domainName(d), Kind: kindName(k)}
				rows = append(rows, table.Row{Key: key, Values: tableValues(c), Version: 1, EditID: "01890a5d-ac96-774b-bcce-b302099a8057"})
			}
		}
	}
	return rows
}

func tableValues(seed int) table.Values {
	weight, limit := 1+float64(seed), 100+seed
	return table.Values{Weight: &weight, Concurrency: &limit}
}

func tableEdit(version uint64, key table.Key) table.Edit {
	before, after := tableValues(1), tableValues(int(version))
	return table.Edit{
		Version: version,
		ID:      fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", version),
		Actor:   "operator",
		Changes: []table.Change{{Key: key, Base: version - 1, Before: &before, After: &after}},
	}
}

// StoreResult is the cost of edits in calls to the platform.
type StoreResult struct {
	Edits         int     `json:"edits"`
	Rows          int     `json:"rows"`
	ReadsPerEdit  float64 `json:"reads_per_edit"`
	WritesPerEdit float64 `json:"writes_per_edit"`
	SentPerEdit   float64 `json:"sent_bytes_per_edit"`
	ReadPerEdit   float64 `json:"received_bytes_per_edit"`
	WatchBytes    float64 `json:"watch_bytes"` // mean size of a watch's answer
}

// EditsPerDay is the planned number of configuration changes per day.
const EditsPerDay = 2800

// MeasureStore makes edits of one row each through the table store and a platform
// stand-in on loopback, and counts the calls.
func MeasureStore(customers, edits int) (StoreResult, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return StoreResult{}, errors.Wrap(err, "listen on a loopback port; free one")
	}
	server := &http.Server{Handler: standin.New(standin.Options{}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	counts := &platform.CallCounts{}
	p := adapter.NewStoreAdapter(adapter.StoreAdapterOptions{Addr: l.Addr().String(), Counter: counts})
	s := tablestore.New(tablestore.Options{Platform: p, Prefix: "table/"})
	return makeEdits(s, counts, customers, edits)
}

func makeEdits(s *tablestore.Store, counts *platform.CallCounts, customers, edits int) (StoreResult, error) {
	ctx := context.Background()
	rows := tableRows(customers)
	base := make(map[table.Key]uint64)
	var watched int
	for i := range edits {
		key := rows[i%len(rows)].Key
		after := tableValues(i)
		res, err := s.Edit(ctx, tablestore.Request{
			ID:      fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", i),
			Actor:   "operator",
			Changes: []table.Change{{Key: key, Base: base[key], After: &after}},
		})
		if err != nil {
			return StoreResult{}, err
		}
		base[key] = res.Edit.Version
		before := counts.Totals().Received
		if _, err := s.Watch(context.Background(), 0, 0); err != nil {
			return StoreResult{}, err
		}
		watched += counts.Totals().Received - before
	}
	return storeResult(counts.Totals(), min(edits, len(rows)), edits, watched), nil
}

func storeResult(t platform.Totals, rows, edits, watched int) StoreResult {
	var writes int
	for op := range t.Calls {
		if platform.Op(op).IsWrite() {
			writes += t.Calls[op]
		}
	}
	n := float64(edits)
	return StoreResult{
		Edits:         edits,
		Rows:          rows,
		ReadsPerEdit:  float64(t.All()-writes)/n - 1, // without the watch
		WritesPerEdit: float64(writes) / n,
		SentPerEdit:   float64(t.Sent) / n,
		ReadPerEdit:   float64(t.Received-watched) / n,
		WatchBytes:    float64(watched) / n,
	}
}
