package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

const smallWorkload = `{
  "name": "small", "seed": 1, "wait_ms": 2000, "drain_ms": 5000, "short_ms": 100, "fleet": {"slots": 8},
  "homes": [{"domain": "a", "share": 1}, {"domain": "b", "share": 1}],
  "phases": [
    {"name": "ramp", "duration_ms": 200, "jobs_per_second": 100, "to_per_second": 500},
    {"name": "none", "duration_ms": 50, "jobs_per_second": 0},
    {"name": "flat", "duration_ms": 200, "jobs_per_second": 500},
  ],
  "kinds": [{
    "name": "k", "share": 1, "resubmit_share": 0.3, "resubmit_ms": 20, "cancel_share": 0.1, "cancel_ms": 20,
    "sizes": [{"tasks": 1, "share": 1}, {"tasks": 5, "share": 1}],
    "runs": [{"name": "s", "share": 9, "min_ms": 1, "max_ms": 50, "per_task": true}, {"name": "l", "share": 1, "min_ms": 200, "max_ms": 400}],
    "declared": [{"factor": 1, "share": 1}, {"factor": 0, "share": 1}],
  }],
  "customers": [{"name": "c1", "share": 3}, {"name": "c2", "share": 1}],
  "cancel_waves": [{"at_ms": 400, "window_ms": 100, "over_ms": 50, "share": 0.5}],
}`

func mustParse(t *testing.T, s string) *Workload {
	t.Helper()
	w, err := Parse([]byte(s))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func allEvents(w *Workload) []Event {
	g := NewGenerator(w)
	var list []Event
	for {
		ev, ok := g.Next()
		if !ok {
			return list
		}
		list = append(list, ev)
	}
}

func TestGeneratorIsOrderedAndRepeatable(t *testing.T) {
	w := mustParse(t, smallWorkload)
	first, second := allEvents(w), allEvents(w)
	if len(first) == 0 || len(first) != len(second) {
		t.Fatalf("%d and %d events", len(first), len(second))
	}
	ops := make(map[Op]int)
	for i, ev := range first {
		if i > 0 && ev.At < first[i-1].At {
			t.Fatalf("event %d at %s comes after one at %s", i, ev.At, first[i-1].At)
		}
		if ev.At != second[i].At || ev.Op != second[i].Op || ev.Job.Random != second[i].Job.Random {
			t.Fatalf("event %d differs between two runs of one seed", i)
		}
		ops[ev.Op]++
	}
	if ops[OpSubmit] == 0 || ops[OpResubmit] == 0 || ops[OpCancel] == 0 {
		t.Fatalf("operations %v lack a kind", ops)
	}
	w.Seed++
	if other := allEvents(w); other[0].At == first[0].At {
		t.Fatal("a different seed gave the same first arrival")
	}
}

func TestGeneratorFollowsRatesAndShares(t *testing.T) {
	w := mustParse(t, smallWorkload)
	w.Phases[0].DurationMs = 20_000
	w.Phases[2].DurationMs = 20_000
	var phase [3]int
	customers := make(map[string]int)
	for _, ev := range allEvents(w) {
		if ev.Op == OpSubmit {
			phase[ev.Job.Phase]++
			customers[ev.Job.Customer]++
		}
	}
	// Expected 6,000, 0 and 10,000; five standard deviations of a Poisson count.
	if phase[0] < 5600 || phase[0] > 6400 || phase[1] != 0 || phase[2] < 9500 || phase[2] > 10_500 {
		t.Fatalf("arrivals by phase: %v", phase)
	}
	if c := float64(customers["c1"]) / float64(phase[0]+phase[2]); c < 0.73 || c > 0.77 {
		t.Fatalf("share of c1 is %.3f, want 0.75", c)
	}
}

func TestExtraRateBelongsToItsCustomer(t *testing.T) {
	extra := `"jobs_per_second": 0, "extra_customer": "c2", "extra_per_second": 400`
	w := mustParse(t, strings.Replace(smallWorkload, `"jobs_per_second": 0`, extra, 1))
	w.Phases[1].DurationMs = 5_000
	n := 0
	for _, ev := range allEvents(w) {
		if ev.Op != OpSubmit || ev.Job.Phase != 1 {
			continue
		}
		n++
		if ev.Job.Customer != "c2" {
			t.Fatalf("job %d belongs to %s", ev.Job.Seq, ev.Job.Customer)
		}
	}
	// Expected 2,000; five standard deviations.
	if n < 1776 || n > 2224 {
		t.Fatalf("%d extra jobs", n)
	}
}

func TestGeneratorStopsAtMaxJobs(t *testing.T) {
	w := mustParse(t, smallWorkload)
	w.MaxJobs = 7
	n := 0
	for _, ev := range allEvents(w) {
		if ev.Op == OpSubmit {
			n++
		}
	}
	if n != 7 {
		t.Fatalf("%d jobs, want 7", n)
	}
}

func TestIdealAndKey(t *testing.T) {
	j := &Job{Tasks: []Task{{Run: 100 * time.Millisecond}, {Run: 300 * time.Millisecond}}}
	if got := j.IdealResponse(Fleet{Slots: 400, Speed: 2}); got != 150*time.Millisecond {
		t.Errorf("ideal of the longest task is %s", got)
	}
	if got := j.IdealResponse(Fleet{Slots: 1, Speed: 1}); got != 400*time.Millisecond {
		t.Errorf("ideal on one slot is %s", got)
	}
	at := time.UnixMilli(1_700_000_000_123)
	key := j.Key(at)
	sec, nsec := key.Time().UnixTime()
	if key.Version() != 7 || time.Unix(sec, nsec).UnixMilli() != at.UnixMilli() {
		t.Errorf("key %s has version %d and time %s", key, key.Version(), time.Unix(sec, nsec))
	}
}

func TestParseRejectsInvalidWorkloads(t *testing.T) {
	tests := []struct{ name, from, to, field string }{
		{"no slots", `"slots": 8`, `"slots": 0`, "fleet.slots"},
		{"negative rate", `"jobs_per_second": 0`, `"jobs_per_second": -1`, "phases[1]"},
		{"extra rate without customer", `"jobs_per_second": 0`, `"jobs_per_second": 0, "extra_per_second": 1`, "extra_customer"},
		{"too long", `"duration_ms": 50`, `"duration_ms": 600000`, "phases"},
		{"too many tasks", `"tasks": 5`, `"tasks": 5000`, "sizes"},
		{"run of zero", `"min_ms": 1,`, `"min_ms": 0,`, "runs"},
		{"share above one", `"cancel_share": 0.1`, `"cancel_share": 1.1`, "cancel_share"},
		{"no shares", `"share": 3}, {"name": "c2", "share": 1}`, `"share": 0}`, "customers"},
		{"unknown field", `"seed": 1`, `"sede": 1`, "docs/LOAD.md"},
		{"too many jobs", `"seed": 1`, `"max_jobs": 2000000`, "max_jobs"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(smallWorkload, tt.from, tt.to, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.field) {
				t.Fatalf("error %v does not name %s", err, tt.field)
			}
		})
	}
}

func TestWorkloadFilesParse(t *testing.T) {
	files, err := filepath.Glob("../../workloads/*.hujson")
	if err != nil || len(files) == 0 {
		t.Fatalf("no workload files: %v", err)
	}
	for _, f := range files {
		w, err := ReadFile(f)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(f), ".hujson"); w.Name != want {
			t.Errorf("%s has the name %q", f, w.Name)
		}
		slots := 0
		for _, b := range w.Cluster.Backends {
			slots += b.Count * b.Slots
		}
		if slots != w.Fleet.Slots {
			t.Errorf("%s: %d slots in the cluster, %d in the fleet", f, slots, w.Fleet.Slots)
		}
	}
}

func TestOnlyLoopback(t *testing.T) {
	tests := []struct {
		address string
		ok      bool
	}{
		{"127.0.0.1:80", true},
		{"a=127.9.0.1:80", true},
		{"[::1]:80", true},
		{"192.0.2.1:80", false},
		{"a=0.0.0.0:80", false},
		{"localhost:80", false},
		{"127.0.0.1", false},
	}
	for _, tt := range tests {
		if _, err := ParseEntry(tt.address); (err == nil) != tt.ok {
			t.Errorf("%s: error %v", tt.address, err)
		}
	}
	remote := Target{Entries: []Entry{{Addr: netip.MustParseAddrPort("192.0.2.1:80")}}}
	if _, err := Run(context.Background(), mustParse(t, smallWorkload), remote); err == nil {
		t.Error("Run accepted an address that is not on loopback")
	}
}

func TestClassify(t *testing.T) {
	const problem = api.ContentTypeProblem
	tests := []struct {
		name, media, body string
		status            int
		class             Class
		malformed         bool
	}{
		{"complete", "application/json", `{"status":"complete","results":[]}`, 200, Complete, false},
		{"pending", "application/json", `{"status":"pending"}`, 202, Pending, false},
		{"failed as answer", "application/json", `{"status":"failed"}`, 200, Unknown, true},
		{"refused", problem, `{"kind":"k","remedy":"r","ran":"no","status":429,"retry_after_ms":5}`, 429, Refused, false},
		{"not run, contradicted by a result", problem, `{"kind":"k","remedy":"r","ran":"no","status":409,"results":[{"index":0,"ran":"yes"}]}`, 409, Refused, true},
		{"failed", problem, `{"kind":"k","remedy":"r","ran":"yes","status":500,"results":[{"index":0,"ran":"yes"}]}`, 500, Failed, false},
		{"may have run", problem, `{"kind":"k","remedy":"r","ran":"unknown","status":409}`, 409, Unknown, false},
		{"different status inside", problem, `{"kind":"k","remedy":"r","ran":"no","status":429}`, 503, Refused, true},
		{"no remedy", problem, `{"kind":"k","ran":"no","status":429}`, 429, Refused, true},
		{"error without problem", "text/plain", `oops`, 502, Unknown, true},
		{"truncated", problem, `{"kind":`, 500, Unknown, true},
	}
	for _, tt := range tests {
		r := classify(tt.status, tt.media, []byte(tt.body))
		if r.Class != tt.class || (r.Malformed != "") != tt.malformed {
			t.Errorf("%s: class %s, malformed %q", tt.name, r.Class, r.Malformed)
		}
	}
}

func withoutOutputs(r Reply) Reply {
	for i := range r.Results {
		r.Results[i].Output = nil
	}
	return r
}

func TestAnswerCheckerFindsEveryViolation(t *testing.T) {
	j := &Job{Home: "h", Customer: "c", Kind: &Kind{}, Tasks: make([]Task, 2)}
	key := j.Key(time.UnixMilli(1))
	good := func(i int) api.TaskResult {
		out, _ := json.Marshal(output{Task: taskIdentity(j, key, i), Echo: taskID(key, i)})
		return api.TaskResult{Index: i, Ran: api.RanYes, OK: true, Output: out}
	}
	whole := Reply{Class: Complete, Results: []api.TaskResult{good(0), good(1)}}
	crossed := Reply{Class: Complete, Results: []api.TaskResult{good(0), {Index: 1, Ran: api.RanYes, OK: true, Output: good(0).Output}}}
	failed := func(ran api.Ran) Reply {
		return Reply{Class: Failed, Results: []api.TaskResult{good(0), {Index: 1, Ran: ran}}}
	}
	refused := Reply{Class: Refused, Ran: api.RanNo}
	id := func(i int) string { return taskIdentity(j, key, i) }
	both := map[string]int{id(0): 1, id(1): 1}
	one := map[string]int{id(0): 1}
	tests := []struct {
		name    string
		replies []Reply
		starts  map[string]int
		want    []Violation
	}{
		{"true and complete, twice", []Reply{whole, whole}, both, nil},
		{"true failure", []Reply{failed(api.RanNo)}, one, nil},
		{"failure without outputs", []Reply{withoutOutputs(failed(api.RanNo))}, one, nil},
		{"failure with the output of another", []Reply{{Class: Failed, Results: crossed.Results}}, both, []Violation{ForeignResult}},
		{"may have run", []Reply{failed(api.RanUnknown)}, both, nil},
		{"true rejection", []Reply{refused}, nil, nil},
		{"second start", []Reply{whole}, map[string]int{id(0): 1, id(1): 2}, []Violation{StartedTwice}},
		{"rejected, but started", []Reply{refused}, one, []Violation{RefusedButStarted}},
		{"rejected after another call ran", []Reply{whole, refused}, both, []Violation{RefusedButOtherRan}},
		{"rejected, then run by a later call", []Reply{refused, whole}, both, nil},
		{"not run, started", []Reply{failed(api.RanNo)}, both, []Violation{NotRunButStarted}},
		{"run, not started", []Reply{whole}, one, []Violation{RanButNotStarted}},
		{"one result missing", []Reply{{Class: Complete, Results: whole.Results[:1]}}, both, []Violation{IncompleteAnswer}},
		{"result of another", []Reply{crossed}, both, []Violation{ForeignResult}},
		{"answers differ", []Reply{whole, failed(api.RanYes)}, both, []Violation{ConflictingAnswers}},
		{"contract violated", []Reply{{Class: Unknown, Malformed: "x"}}, both, []Violation{Malformed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			checker := newAnswerChecker()
			for _, r := range tt.replies {
				checker.recordCall(j, key)
				checker.checkReply(j, key, r)
			}
			checker.compareStarts(tt.starts)
			var got []Violation
			for _, f := range checker.findings() {
				if f.Count > 0 {
					got = append(got, f.Violation)
				}
			}
			if len(got) != len(tt.want) || (len(got) == 1 && got[0] != tt.want[0]) {
				t.Fatalf("found %v, want %v", got, tt.want)
			}
		})
	}
}

// fakeEntry answers jobs at once and counts the starts of each task.
type fakeEntry struct {
	mu     sync.Mutex
	starts map[string]int
	seen   map[string]bool
	calls  int
	repeat bool // starts tasks again on a resubmission: the fault to detect
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == PathStarts {
		list := []startCount{}
		for task, n := range f.starts {
			list = append(list, startCount{task, n})
		}
		writeJSON(w, http.StatusOK, "application/json", list)
		return
	}
	if r.Method == http.MethodDelete {
		writeJSON(w, http.StatusAccepted, "application/json", api.Answer{Status: api.StatusPending})
		return
	}
	var j api.Job
	if err := json.NewDecoder(r.Body).Decode(&j); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.calls++
	if f.calls%10 == 0 && !f.seen[j.Key] {
		p := api.Problem{Status: 429, Kind: "queue-full", Ran: api.RanNo, Remedy: "wait", RetryAfterMs: 1}
		writeJSON(w, p.Status, api.ContentTypeProblem, p)
		return
	}
	a := api.Answer{Status: api.StatusComplete}
	for i, raw := range j.Tasks {
		task := strings.Join([]string{j.Home, j.Customer, j.Key, strconv.Itoa(i)}, "/")
		if !f.seen[j.Key] || f.repeat {
			f.starts[task]++
		}
		var p payload
		_ = json.Unmarshal(raw, &p)
		out, _ := json.Marshal(output{Task: task, Echo: p.Echo})
		a.Results = append(a.Results, api.TaskResult{Index: i, Ran: api.RanYes, OK: true, Output: out})
	}
	f.seen[j.Key] = true
	writeJSON(w, http.StatusOK, "application/json", a)
}

func writeJSON(w http.ResponseWriter, status int, media string, v any) {
	w.Header().Set("Content-Type", media)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func runAgainst(t *testing.T, f *fakeEntry) *Report {
	t.Helper()
	srv := httptest.NewServer(f)
	defer srv.Close()
	addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
	w := mustParse(t, strings.Replace(smallWorkload, `"seed": 1,`, `"seed": 1, "refused_retries": 1,`, 1))
	target := Target{Entries: []Entry{{Domain: "a", Addr: addr}, {Domain: "b", Addr: addr}}, Starts: []netip.AddrPort{addr}}
	rep, err := Run(context.Background(), w, target)
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

func TestRunCountsEveryJobAndReports(t *testing.T) {
	rep := runAgainst(t, &fakeEntry{starts: map[string]int{}, seen: map[string]bool{}})
	want := 0
	for _, ev := range allEvents(mustParse(t, smallWorkload)) {
		if ev.Op == OpSubmit {
			want++
		}
	}
	if rep.All.Jobs != want || rep.NotSent != 0 || !rep.StartsRead {
		t.Fatalf("%d jobs of %d, %d not sent, starts read %t", rep.All.Jobs, want, rep.NotSent, rep.StartsRead)
	}
	if rep.All.Counts.Refused == 0 || rep.Retries.total() != rep.All.Counts.Refused || rep.Resubmits.total() == 0 || rep.Cancels.total() == 0 {
		t.Fatalf("refused %d, retries %v, resubmits %v, cancels %v", rep.All.Counts.Refused, rep.Retries, rep.Resubmits, rep.Cancels)
	}
	// The fake may reject a call while a resubmission of its key is in flight.
	for _, f := range rep.Findings {
		if f.Count > 0 && f.Violation != RefusedButOtherRan {
			t.Errorf("found %v", f)
		}
	}
	var table bytes.Buffer
	if err := rep.WriteTable(&table); err != nil || !strings.Contains(table.String(), "phase ramp") {
		t.Errorf("table: %v\n%s", err, table.String())
	}
	if len(rep.Servers) != 1 || rep.Servers[0].Starts == 0 {
		t.Errorf("starts by server: %v", rep.Servers)
	}
	dir := t.TempDir()
	if err := rep.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"report.json", "response.png", "answers.png", "response-cdf.png", "ratio-cdf.png"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSecondStartOfRepeatableJobIsDistinguished(t *testing.T) {
	j := &Job{Kind: &Kind{Repeatable: true}}
	if got := startedTwiceViolation(j); got != RestartedRepeatable {
		t.Errorf("got %q", got)
	}
}

func TestRunFindsSecondStarts(t *testing.T) {
	rep := runAgainst(t, &fakeEntry{starts: map[string]int{}, seen: map[string]bool{}, repeat: true})
	for _, f := range rep.Findings {
		if f.Violation == StartedTwice && f.Count > 0 {
			return
		}
	}
	t.Fatalf("second starts not found: %v", rep.Findings)
}

func TestRunExplainsUnansweredJobs(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/explain") {
			_, _ = w.Write([]byte("it waits for a slot"))
			return
		}
		writeJSON(w, http.StatusAccepted, "application/json", api.Answer{Status: api.StatusPending})
	}))
	defer srv.Close()
	w := mustParse(t, smallWorkload)
	w.MaxJobs = 3
	addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
	rep, err := Run(context.Background(), w, Target{Entries: []Entry{{Addr: addr}}})
	if err != nil {
		t.Fatal(err)
	}
	if rep.All.Counts.Pending != 3 || len(rep.Unanswered) != 3 || rep.Unanswered[0].Explain != "it waits for a slot" {
		t.Fatalf("%d pending, unanswered %v", rep.All.Counts.Pending, rep.Unanswered)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	target := Target{Entries: []Entry{{Addr: netip.MustParseAddrPort("127.0.0.1:1")}}}
	rep, err := Run(ctx, mustParse(t, smallWorkload), target)
	if err != nil || rep.All.Jobs != 0 {
		t.Fatalf("%v, %v", rep, err)
	}
}

func TestRetryKeepsOrRenewsKey(t *testing.T) {
	w := mustParse(t, smallWorkload)
	r := newRunner(w, Target{})
	r.startedAt = time.UnixMilli(1_000_000)
	j := &Job{At: time.Second, Kind: &Kind{DeadlineMs: 500}}
	key := j.Key(r.startedAt.Add(j.At))
	at := r.startedAt.Add(3 * time.Second)
	if next, k := r.nextAttempt(j, key, at); k == key || next.Kind.DeadlineMs != 500 {
		t.Errorf("a new job has key %s and deadline %d", k, next.Kind.DeadlineMs)
	}
	w.RetrySameKey = true
	if next, k := r.nextAttempt(j, key, at); k != key || next.Kind.DeadlineMs != 2500 {
		t.Errorf("the same job has key %s and deadline %d, want %s and 2500", k, next.Kind.DeadlineMs, key)
	}
}

func TestFirstAttemptOnlyWithoutEarlierOpenCalls(t *testing.T) {
	job := &Job{Kind: &Kind{Name: "k"}, Tasks: []Task{{}}}
	for _, c := range []struct {
		name    string
		replies []Reply // to the earlier calls
		open    bool    // another call is in flight
		want    bool
	}{
		{"first call", nil, false, true},
		{"after a rejection", []Reply{{Class: Refused}}, false, true},
		{"another call in flight", nil, true, false},
		{"after a rejection, another call in flight", []Reply{{Class: Refused}}, true, false},
		{"after a failed call", []Reply{{Class: Unknown, Broken: true}}, false, false},
		{"after a call that may have run", []Reply{{Class: Refused}, {Class: Unknown}}, false, false},
	} {
		checker := newAnswerChecker()
		key := job.Key(time.UnixMilli(1))
		for _, r := range c.replies {
			checker.recordCall(job, key)
			checker.checkReply(job, key, r)
		}
		if c.open {
			checker.recordCall(job, key)
		}
		if got := checker.recordCall(job, key); got != c.want {
			t.Errorf("%s: first attempt %t, want %t", c.name, got, c.want)
		}
		copied := *job
		copied.Resubmit = true
		if newAnswerChecker().recordCall(&copied, key) {
			t.Errorf("%s: first attempt although a copy is sent in parallel", c.name)
		}
		body, err := jobBody(job, key, c.want)
		if err != nil {
			t.Fatal(err)
		}
		if got := bytes.Contains(body, []byte(`"first_attempt":true`)); got != c.want {
			t.Errorf("%s: body is %s", c.name, body)
		}
	}
}
