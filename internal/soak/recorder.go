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

// runRecord is a run as its backend server saw it.
type runRecord struct {
	server  model.ServerID
	run     fleet.RunID
	need    model.Resources
	from    fleet.Time
	to      fleet.Time // 0 while it goes on
	endKind fleet.EndKind
}

func (s *runRecord) overlaps(o *runRecord) bool {
	return (o.to == 0 || s.from < o.to) && (s.to == 0 || o.from < s.to)
}

// request is a job as its caller saw it.
type request struct {
	id          string
	tasks       int
	need        model.Resources // of each task
	answers     []answer
	abandonedAt time.Time // the caller left without an answer
}

// answer is what one try of a request led to.
type answer struct {
	at        time.Time
	instance  model.Instance
	status    int  // 0: the connection broke
	completed bool // the job is said to be completed
	lateBy    time.Duration
}

// recorder records what callers and backend servers see. It is judged when all is
// over, so that neither side waits for a check.
type recorder struct {
	mu         sync.Mutex
	runs       []*runRecord
	running    map[model.ServerID]map[fleet.RunID]*runRecord
	requests   map[string]*request
	violations []string
}

func newRecorder() *recorder {
	return &recorder{running: map[model.ServerID]map[fleet.RunID]*runRecord{}, requests: map[string]*request{}}
}

func (b *recorder) submitted(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[r.id] = r
}

func (b *recorder) answered(r *request, a answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (b *recorder) abandoned(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.abandonedAt = time.Now()
}

func (b *recorder) started(server model.ServerID, run fleet.RunID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &runRecord{server: server, run: run, from: fleet.Time(time.Now().UnixNano())}
	if r := b.requests[run.Task.Job]; r != nil {
		s.need = r.need
	} else {
		b.addViolation("run %v of a job that nobody handed in, at %s", run, server)
	}
	if b.running[server] == nil {
		b.running[server] = map[fleet.RunID]*runRecord{}
	}
	b.running[server][run] = s
	b.runs = append(b.runs, s)
}

func (b *recorder) ended(server model.ServerID, run fleet.RunID, how fleet.EndKind, at fleet.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.running[server][run]; s != nil {
		s.to, s.endKind = at, how
		delete(b.running[server], run)
	}
}

// crashed ends all runs of a server.
func (b *recorder) crashed(server model.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running[server] {
		s.to, s.endKind = fleet.Time(time.Now().UnixNano()), fleet.EndExpired
	}
	delete(b.running, server)
}

// addViolation notes a broken promise. The caller holds mu.
func (b *recorder) addViolation(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
}

// check returns the promises that were broken. capacity is that of each server.
func (b *recorder) check(capacity map[model.ServerID]model.Resources) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	byTask := map[fleet.TaskID][]*runRecord{}
	byServer := map[model.ServerID][]*runRecord{}
	starts := map[string]int{}
	for _, s := range b.runs {
		byTask[s.run.Task] = append(byTask[s.run.Task], s)
		byServer[s.server] = append(byServer[s.server], s)
		starts[s.run.Task.Job]++
	}
	for task, runs := range byTask {
		b.checkTask(task, runs)
	}
	for server, runs := range byServer {
		b.checkServer(server, capacity[server], runs)
	}
	for _, r := range b.requests {
		b.checkRequest(r, starts[r.id], byTask)
	}
	slices.Sort(b.violations)
	return b.violations
}

// checkTask checks that no two runs of a task overlap.
func (b *recorder) checkTask(task fleet.TaskID, runs []*runRecord) {
	for i, x := range runs {
		for _, y := range runs[i+1:] {
			if x.overlaps(y) {
				b.addViolation("task %v ran at %s and %s at the same time, from %v and %v",
					task, x.server, y.server, formatTime(x.from), formatTime(y.from))
			}
		}
	}
}

func formatTime(t fleet.Time) string { return time.Unix(0, int64(t)).Format("15:04:05.000") }

// checkServer checks that what ran together fitted.
func (b *recorder) checkServer(server model.ServerID, capacity model.Resources, runs []*runRecord) {
	slices.SortFunc(runs, func(x, y *runRecord) int { return cmp.Compare(x.from, y.from) })
	for i, x := range runs {
		var used model.Resources
		for _, y := range runs[:i+1] {
			if y.overlaps(x) {
				used = used.Plus(y.need)
			}
		}
		if !used.Fits(capacity) {
			b.addViolation("server %s was filled beyond its capacity at %v: %+v", server, formatTime(x.from), used)
		}
	}
}

// checkRequest checks what the caller was told.
func (b *recorder) checkRequest(r *request, starts int, byTask map[fleet.TaskID][]*runRecord) {
	refused := len(r.answers) > 0 && r.abandonedAt.IsZero()
	for _, a := range r.answers {
		refused = refused && isRejection(a.status)
		if a.lateBy > 0 {
			b.addViolation("job %s was held %v past its deadline by %s", r.id, a.lateBy, a.instance)
		}
		if a.completed {
			b.checkCompleted(r, a, byTask)
		}
	}
	if refused && starts > 0 {
		b.addViolation("job %s was always refused as not run, but %d runs began", r.id, starts)
	}
}

// checkCompleted checks that each task of a job had ended well when it was said to be
// completed.
func (b *recorder) checkCompleted(r *request, a answer, byTask map[fleet.TaskID][]*runRecord) {
	for i := range r.tasks {
		done := slices.ContainsFunc(byTask[fleet.TaskID{Job: r.id, Index: i}], func(s *runRecord) bool {
			return s.endKind == fleet.EndDone && s.to <= fleet.Time(a.at.UnixNano())
		})
		if !done {
			b.addViolation("job %s was said to be completed at %v by %s, task %d was not", r.id, a.at.Format("15:04:05.000"), a.instance, i)
		}
	}
}
