package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Report is the result of a run.
type Report struct {
	Workload    string         `json:"workload"`
	Seed        uint64         `json:"seed"`
	Entries     int            `json:"entries"`
	TookMs      int64          `json:"took_ms"`
	OfferedLoad float64        `json:"offered_load_peak"` // busy share of the slots at the highest rate
	NotSent     int            `json:"not_sent"`          // beyond the limit of calls in flight
	SendLag     Quantiles      `json:"send_lag_ms"`       // delay of calls after their planned times
	All         Measures       `json:"all"`
	Short       Measures       `json:"short"`
	Long        Measures       `json:"long"`
	Customers   []Measures     `json:"customers"`
	Kinds       []Measures     `json:"kinds"`
	Phases      []Measures     `json:"phases"`
	Problems    []ProblemCount `json:"problems"`
	Resubmits   Counts         `json:"resubmits"`
	Cancels     Counts         `json:"cancels"`
	Retries     Counts         `json:"retries"` // rejected jobs retried after Retry-After
	Findings    []Finding      `json:"findings"`
	StartsRead  bool           `json:"starts_read"` // the answers were compared with the backend servers' counts
	StartsError string         `json:"starts_error,omitempty"`
	Servers     []ServerStarts `json:"servers"`
	Unanswered  []Unanswered   `json:"unanswered,omitempty"` // some of the pending jobs
	Series      []Point        `json:"series"`

	responseCDF, ratioCDF, shortRatioCDF []hdrhistogram.Bracket
}

// Measures are the measurements of a group of jobs. Ratio is the response time
// divided by the ideal one; it and Response cover complete jobs only.
type Measures struct {
	Name        string    `json:"name"`
	Jobs        int       `json:"jobs"`
	Counts      Counts    `json:"counts"`
	OnTime      int       `json:"in_time"`
	WorkS       float64   `json:"work_s"`         // total run time of the tasks at speed 1
	WorkOnTimeS float64   `json:"work_in_time_s"` // of the jobs on time
	Response    Quantiles `json:"response_ms"`
	Ratio       Quantiles `json:"ratio"`
	RefusalTime Quantiles `json:"refused_in_ms"`
}

// Quantiles of a distribution, in the unit of the field's name.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// ProblemCount is the number of jobs that ended with a kind of problem, and the
// time until it was answered.
type ProblemCount struct {
	Kind  string    `json:"kind"`
	After Quantiles `json:"after_ms"`
}

// Unanswered is a job without a final answer at the end of the run.
type Unanswered struct {
	Key      string `json:"key"`
	Customer string `json:"customer"`
	Home     string `json:"home"`
	Kind     string `json:"kind"`
	Tasks    int    `json:"tasks"`
	Explain  string `json:"explain"` // explanation by an instance
}

// ServerStarts is the number of starts that a backend stand-in counted.
type ServerStarts struct {
	Server string `json:"server"`
	Starts int    `json:"starts"`
}

// Point is a time interval of the run, by planned arrival.
type Point struct {
	AtMs     int64   `json:"at_ms"`
	Counts   Counts  `json:"counts"`
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`
	ShortP99 float64 `json:"short_p99_ms"`
}

// ViolationCount is the total of all findings.
func (r *Report) ViolationCount() int {
	n := 0
	for _, f := range r.Findings {
		n += f.Count
	}
	return n
}

func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / unit }
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() / unit,
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / unit,
	}
}

const microsPerMilli = 1000

func (g *group) measures(name string) Measures {
	m := Measures{
		Name:        name,
		Jobs:        g.counts.total(),
		Counts:      g.counts,
		OnTime:      g.onTime,
		WorkS:       g.totalRun.Seconds(),
		WorkOnTimeS: g.totalRunOnTime.Seconds(),
		Response:    quantiles(g.response, microsPerMilli),
		Ratio:       quantiles(g.ratio, ratioUnit),
		RefusalTime: quantiles(g.refusalTime, microsPerMilli),
	}
	if g.counts.Complete > 0 {
		m.Ratio.Mean = g.ratioSum / float64(g.counts.Complete)
	}
	return m
}

func sortedMeasures(groups map[string]*group) []Measures {
	var list []Measures
	for name, g := range groups {
		list = append(list, g.measures(name))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (r *runner) report(startsErr error, unanswered []Unanswered) *Report {
	rec := r.recorder
	rep := &Report{
		Workload:    r.w.Name,
		Seed:        r.w.Seed,
		Entries:     len(r.target.Entries),
		TookMs:      r.took.Milliseconds(),
		OfferedLoad: r.w.peakLoad(),
		NotSent:     rec.notSent,
		SendLag:     quantiles(rec.sendLag, microsPerMilli),
		All:         rec.all.measures("all"),
		Short:       rec.short.measures("short"),
		Long:        rec.long.measures("long"),
		Customers:   sortedMeasures(rec.byCustomer),
		Kinds:       sortedMeasures(rec.byKind),
		Phases:      r.phaseMeasures(),
		Problems:    problemCounts(rec.problems),
		Resubmits:   rec.resubmits,
		Cancels:     rec.cancels,
		Retries:     rec.retries,
		Findings:    r.checker.findings(),
		StartsRead:  len(r.target.Starts) > 0 && startsErr == nil,
		Servers:     r.servers,
		Unanswered:  unanswered,
		Series:      rec.series(),

		responseCDF:   rec.all.response.CumulativeDistribution(),
		ratioCDF:      rec.all.ratio.CumulativeDistribution(),
		shortRatioCDF: rec.short.ratio.CumulativeDistribution(),
	}
	if startsErr != nil {
		rep.StartsError = startsErr.Error()
	}
	return rep
}

func (w *Workload) peakLoad() float64 {
	var peak float64
	for _, p := range w.Phases {
		peak = max(peak, p.peak())
	}
	return w.OfferedLoad(peak)
}

func (r *runner) phaseMeasures() []Measures {
	var list []Measures
	seen := make(map[string]bool)
	for _, p := range r.w.Phases {
		g := r.recorder.byPhase[p.Name]
		if g != nil && !seen[p.Name] {
			list = append(list, g.measures(p.Name))
		}
		seen[p.Name] = true
	}
	return list
}

func problemCounts(problems map[string]*hdrhistogram.Histogram) []ProblemCount {
	var list []ProblemCount
	for kind, h := range problems {
		list = append(list, ProblemCount{kind, quantiles(h, microsPerMilli)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Kind < list[j].Kind })
	return list
}

func (r *recorder) series() []Point {
	var list []Point
	for i, b := range r.buckets {
		list = append(list, Point{
			AtMs:     (time.Duration(i) * bucketWidth).Milliseconds(),
			Counts:   b.counts,
			P50Ms:    float64(b.response.ValueAtQuantile(50)) / microsPerMilli,
			P99Ms:    float64(b.response.ValueAtQuantile(99)) / microsPerMilli,
			ShortP99: float64(b.short.ValueAtQuantile(99)) / microsPerMilli,
		})
	}
	return list
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "workload %s, seed %d, %d entry instances, %.1f s, offered load at the highest rate %.2f\n",
		r.Workload, r.Seed, r.Entries, float64(r.TookMs)/1000, r.OfferedLoad)
	fmt.Fprintf(out, "sent late by p99 %.1f ms, max %.1f ms; not sent %d\n\n", r.SendLag.P99, r.SendLag.Max, r.NotSent)
	fmt.Fprintln(tw, "group\tjobs\tcomplete\tin time\tfailed\trefused\tunknown\tpending\tmean ms\tp50\tp99\tratio mean\tp50\tp99\trefused in p99 ms\twork s\tin time s\t")
	r.All.writeRow(tw, "")
	r.Short.writeRow(tw, "")
	r.Long.writeRow(tw, "")
	writeRows(tw, "phase ", r.Phases)
	writeRows(tw, "kind ", r.Kinds)
	writeRows(tw, "customer ", r.Customers)
	if err := tw.Flush(); err != nil {
		return err
	}
	r.writeCounts(out)
	r.writeServers(out)
	r.writeUnanswered(out)
	return r.writeFindings(out)
}

func writeRows(w io.Writer, prefix string, list []Measures) {
	for _, m := range list {
		m.writeRow(w, prefix)
	}
}

func (m Measures) writeRow(w io.Writer, prefix string) {
	c := m.Counts
	fmt.Fprintf(w, "%s%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%.1f\t%.0f\t%.0f\t\n",
		prefix, m.Name, m.Jobs, c.Complete, m.OnTime, c.Failed, c.Refused, c.Unknown, c.Pending,
		m.Response.Mean, m.Response.P50, m.Response.P99, m.Ratio.Mean, m.Ratio.P50, m.Ratio.P99, m.RefusalTime.P99,
		m.WorkS, m.WorkOnTimeS)
}

func (r *Report) writeCounts(out io.Writer) {
	fmt.Fprintln(out)
	for _, p := range r.Problems {
		fmt.Fprintf(out, "problem %s: %d, answered after p50 %.1f ms, p99 %.1f ms\n", p.Kind, p.After.Count, p.After.P50, p.After.P99)
	}
	fmt.Fprintf(out, "resubmitted: %s\n", r.Resubmits)
	fmt.Fprintf(out, "cancels: %s\n", r.Cancels)
	fmt.Fprintf(out, "offered again after Retry-After: %s\n", r.Retries)
}

// String lists the count of each class.
func (c Counts) String() string {
	return fmt.Sprintf("%d complete, %d failed, %d refused, %d unknown, %d pending",
		c.Complete, c.Failed, c.Refused, c.Unknown, c.Pending)
}

func (r *Report) writeUnanswered(out io.Writer) {
	for _, u := range r.Unanswered {
		fmt.Fprintf(out, "unanswered: %s/%s/%s, %s, %d tasks\n%s\n", u.Home, u.Customer, u.Key, u.Kind, u.Tasks, u.Explain)
	}
}

// writeServers prints the distribution of starts over the servers.
func (r *Report) writeServers(out io.Writer) {
	if len(r.Servers) == 0 {
		return
	}
	list := slices.Clone(r.Servers)
	slices.SortFunc(list, func(a, b ServerStarts) int { return cmp.Compare(a.Starts, b.Starts) })
	low, mid, high := list[0], list[len(list)/2], list[len(list)-1]
	fmt.Fprintf(out, "starts a server: fewest %d (%s), median %d, most %d (%s)\n",
		low.Starts, low.Server, mid.Starts, high.Starts, high.Server)
}

func (r *Report) writeFindings(out io.Writer) error {
	if !r.StartsRead {
		fmt.Fprintln(out, "starts were not read: claims of run and not run are unchecked", r.StartsError)
	}
	fmt.Fprintf(out, "untrue answers: %d\n", r.ViolationCount())
	for _, f := range r.Findings {
		if f.Count == 0 {
			continue
		}
		fmt.Fprintf(out, "  %s: %d\n", f.Violation, f.Count)
		for _, e := range f.Examples {
			fmt.Fprintf(out, "    %s\n", e)
		}
	}
	return nil
}

// WriteFiles writes report.json and the plots into a directory.
func (r *Report) WriteFiles(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make the output directory; give a writable one")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write the report; give a writable output directory")
	}
	return r.writePlots(dir)
}
