package operator

import (
	_ "embed"
	"html/template"
	"net/http"

	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageData is the data of the page template.
type pageData struct {
	Version uint64
	Columns []table.Column
	Rows    []pageRow
	Domains []tablesync.DomainStatus
	Servers []Server
	Shards  []Shard
}

// pageRow is a row and the failure domains where its version is in force.
type pageRow struct {
	Key     string
	Values  []string
	Version uint64
	InForce []string
}

func (h *Handler) page(w http.ResponseWriter, _ *http.Request) {
	snap := h.opts.Sync.Snapshot()
	data := pageData{
		Version: snap.Version(),
		Columns: table.ValueColumns(),
		Domains: h.opts.Sync.Status(snap.Version()),
		Servers: h.servers(),
	}
	if h.opts.Shards != nil {
		data.Shards = h.opts.Shards()
	}
	for _, r := range snap.Rows() {
		data.Rows = append(data.Rows, newPageRow(r, data.Domains))
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	_ = pageTemplate.Execute(w, data)
}

func newPageRow(r table.Row, domains []tablesync.DomainStatus) pageRow {
	p := pageRow{Key: r.Key.String(), Version: r.Version}
	for _, c := range table.ValueColumns() {
		p.Values = append(p.Values, r.Text(c))
	}
	for _, d := range domains {
		if d.Reach != tablesync.ReachCutOff && d.Version >= r.Version {
			p.InForce = append(p.InForce, string(d.Domain))
		}
	}
	return p
}
