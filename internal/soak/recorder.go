package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// runRecord is a run as seen by its backend server.
type runRecord struct {
	server  model.ServerID
	run     fleet.RunID
	need    model.Resources
	from    fleet.Time
	to      fleet.Time // 0 while the run is in progress
	endKind fleet.EndKind
}

func (s *runRecord) overlaps(o *runRecord) bool {
	return (o.to == 0 || s.from < o.to) && (s.to == 0 || o.from < s.to)
}

// request is a job as seen by its caller.
type request struct {
	id          string
	tasks       int
	need        model.Resources // of each task
	answers     []answer
	abandonedAt time.Time // the caller disconnected without an answer
}

// answer is the result of one attempt of a request.
type answer struct {
	at        time.Time
	instance  model.Instance
	status    int  // 0: the connection failed
	completed bool // the job was answered as completed
	lateBy    time.Duration
}

// recorder records what callers and backend servers see. The checks run at the
// end, so that neither side waits for one.
type recorder struct {
	mu         sync.Mutex
	runs       []*runRecord
	running    map[model.ServerID]map[fleet.RunID]*runRecord
	requests   map[string]*request
	violations []string

	evacuations []*evacuation
}

func newRecorder() *recorder {
	return &recorder{running: map[model.ServerID]map[fleet.RunID]*runRecord{}, requests: map[string]*request{}}
}

func (rec *recorder) submitted(r *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[r.id] = r
}

func (rec *recorder) answered(r *request, a answer) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (rec *recorder) abandoned(r *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.abandonedAt = time.Now()
}

func (rec *recorder) isAbandoned(r *request) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return !r.abandonedAt.IsZero()
}

func (rec *recorder) started(server model.ServerID, run fleet.RunID) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s := &runRecord{server: server, run: run, from: fleet.Time(time.Now().UnixNano())}
	if r := rec.requests[run.Task.Job]; r != nil {
		s.need = r.need
	} else {
		rec.addViolation("run %v of a job that nobody submitted, at %s", run, server)
	}
	if rec.running[server] == nil {
		rec.running[server] = map[fleet.RunID]*runRecord{}
	}
	rec.running[server][run] = s
	rec.runs = append(rec.runs, s)
}

func (rec *recorder) ended(server model.ServerID, run fleet.RunID, kind fleet.EndKind, at fleet.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if s := rec.running[server][run]; s != nil {
		s.to, s.endKind = at, kind
		delete(rec.running[server], run)
	}
}

// crashed ends all runs of a server.
func (rec *recorder) crashed(server model.ServerID) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, s := range rec.running[server] {
		s.to, s.endKind = fleet.Time(time.Now().UnixNano()), fleet.EndExpired
	}
	delete(rec.running, server)
}

// addViolation records a violation. The caller holds mu.
func (rec *recorder) addViolation(format string, args ...any) {
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

// check returns all violations. capacity and domains are those of each server.
func (rec *recorder) check(capacity map[model.ServerID]model.Resources, domains map[model.ServerID]model.Domain) []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.checkEvacuations(domains)
	byTask := map[fleet.TaskID][]*runRecord{}
	byServer := map[model.ServerID][]*runRecord{}
	starts := map[string]int{}
	for _, s := range rec.runs {
		byTask[s.run.Task] = append(byTask[s.run.Task], s)
		byServer[s.server] = append(byServer[s.server], s)
		starts[s.run.Task.Job]++
	}
	for task, runs := range byTask {
		rec.checkTask(task, runs)
	}
	for server, runs := range byServer {
		rec.checkServer(server, capacity[server], runs)
	}
	for _, r := range rec.requests {
		rec.checkRequest(r, starts[r.id], byTask)
	}
	slices.Sort(rec.violations)
	return rec.violations
}

// checkTask checks that no two runs of a task overlap.
func (rec *recorder) checkTask(task fleet.TaskID, runs []*runRecord) {
	for i, x := range runs {
		for _, y := range runs[i+1:] {
			if x.overlaps(y) {
				rec.addViolation("task %v ran at %s and %s at the same time, started at %v and %v",
					task, x.server, y.server, formatTime(x.from), formatTime(y.from))
			}
		}
	}
}

func formatTime(t fleet.Time) string { return time.Unix(0, int64(t)).Format("15:04:05.000") }

// checkServer checks that concurrent runs fit the server's capacity.
func (rec *recorder) checkServer(server model.ServerID, capacity model.Resources, runs []*runRecord) {
	slices.SortFunc(runs, func(x, y *runRecord) int { return cmp.Compare(x.from, y.from) })
	for i, x := range runs {
		var used model.Resources
		for _, y := range runs[:i+1] {
			if y.overlaps(x) {
				used = used.Plus(y.need)
			}
		}
		if !used.Fits(capacity) {
			rec.addViolation("server %s exceeded its capacity at %v: %+v", server, formatTime(x.from), used)
		}
	}
}

// checkRequest checks the answers to a caller.
func (rec *recorder) checkRequest(r *request, starts int, byTask map[fleet.TaskID][]*runRecord) {
	rejected := len(r.answers) > 0 && r.abandonedAt.IsZero()
	for _, a := range r.answers {
		rejected = rejected && isRejection(a.status)
		if a.lateBy > 0 {
			rec.addViolation("job %s was answered %v past its deadline by %s", r.id, a.lateBy, a.instance)
		}
		if a.completed {
			rec.checkCompleted(r, a, byTask)
		}
	}
	if rejected && starts > 0 {
		rec.addViolation("job %s was always rejected as not run, but %d runs started", r.id, starts)
	}
}

// checkCompleted checks that each task of a job had succeeded before the job was
// answered as completed.
func (rec *recorder) checkCompleted(r *request, a answer, byTask map[fleet.TaskID][]*runRecord) {
	for i := range r.tasks {
		done := slices.ContainsFunc(byTask[fleet.TaskID{Job: r.id, Index: i}], func(s *runRecord) bool {
			return s.endKind == fleet.EndDone && s.to <= fleet.Time(a.at.UnixNano())
		})
		if !done {
			rec.addViolation("job %s was answered as completed at %v by %s, but task %d was not", r.id, a.at.Format("15:04:05.000"), a.instance, i)
		}
	}
}
