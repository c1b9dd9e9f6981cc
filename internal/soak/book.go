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

// span is a run as its backend server saw it.
type span struct {
	server model.ServerID
	run    fleet.RunID
	need   model.Resources
	from   fleet.Time
	to     fleet.Time // 0 while it goes on
	how    fleet.EndKind
}

func (s *span) overlaps(o *span) bool {
	return (o.to == 0 || s.from < o.to) && (s.to == 0 || o.from < s.to)
}

// request is a job as its caller saw it.
type request struct {
	id       string
	tasks    int
	need     model.Resources // of each task
	answers  []answer
	gaveUpAt time.Time // the caller left without an answer
}

// answer is what one try of a request led to.
type answer struct {
	at       time.Time
	instance model.Instance
	status   int  // 0: the connection broke
	done     bool // the job is said to be completed
	late     time.Duration
}

// book records what callers and backend servers see. It is judged when all is
// over, so that neither side waits for a check.
type book struct {
	mu       sync.Mutex
	spans    []*span
	running  map[model.ServerID]map[fleet.RunID]*span
	requests map[string]*request
	broken   []string
}

func newBook() *book {
	return &book{running: map[model.ServerID]map[fleet.RunID]*span{}, requests: map[string]*request{}}
}

func (b *book) submitted(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[r.id] = r
}

func (b *book) answered(r *request, a answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (b *book) left(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.gaveUpAt = time.Now()
}

func (b *book) started(server model.ServerID, run fleet.RunID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &span{server: server, run: run, from: fleet.Time(time.Now().UnixNano())}
	if r := b.requests[run.Task.Job]; r != nil {
		s.need = r.need
	} else {
		b.broke("run %v of a job that nobody handed in, at %s", run, server)
	}
	if b.running[server] == nil {
		b.running[server] = map[fleet.RunID]*span{}
	}
	b.running[server][run] = s
	b.spans = append(b.spans, s)
}

func (b *book) ended(server model.ServerID, run fleet.RunID, how fleet.EndKind, at fleet.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.running[server][run]; s != nil {
		s.to, s.how = at, how
		delete(b.running[server], run)
	}
}

// crashed ends all runs of a server.
func (b *book) crashed(server model.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running[server] {
		s.to, s.how = fleet.Time(time.Now().UnixNano()), fleet.EndExpired
	}
	delete(b.running, server)
}

// broke notes a broken promise. The caller holds mu.
func (b *book) broke(format string, args ...any) {
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// judge returns the promises that were broken. capacity is that of each server.
func (b *book) judge(capacity map[model.ServerID]model.Resources) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	byTask := map[fleet.TaskID][]*span{}
	byServer := map[model.ServerID][]*span{}
	starts := map[string]int{}
	for _, s := range b.spans {
		byTask[s.run.Task] = append(byTask[s.run.Task], s)
		byServer[s.server] = append(byServer[s.server], s)
		starts[s.run.Task.Job]++
	}
	for task, runs := range byTask {
		b.judgeTask(task, runs)
	}
	for server, runs := range byServer {
		b.judgeServer(server, capacity[server], runs)
	}
	for _, r := range b.requests {
		b.judgeRequest(r, starts[r.id], byTask)
	}
	slices.Sort(b.broken)
	return b.broken
}

// judgeTask checks that no two runs of a task overlap.
func (b *book) judgeTask(task fleet.TaskID, runs []*span) {
	for i, x := range runs {
		for _, y := range runs[i+1:] {
			if x.overlaps(y) {
				b.broke("task %v ran at %s and %s at the same time, from %v and %v",
					task, x.server, y.server, clock(x.from), clock(y.from))
			}
		}
	}
}

func clock(t fleet.Time) string { return time.Unix(0, int64(t)).Format("15:04:05.000") }

// judgeServer checks that what ran together fitted.
func (b *book) judgeServer(server model.ServerID, capacity model.Resources, runs []*span) {
	slices.SortFunc(runs, func(x, y *span) int { return cmp.Compare(x.from, y.from) })
	for i, x := range runs {
		var used model.Resources
		for _, y := range runs[:i+1] {
			if y.overlaps(x) {
				used = used.Plus(y.need)
			}
		}
		if !used.Fits(capacity) {
			b.broke("server %s was filled beyond its capacity at %v: %+v", server, clock(x.from), used)
		}
	}
}

// judgeRequest checks what the caller was told.
func (b *book) judgeRequest(r *request, starts int, byTask map[fleet.TaskID][]*span) {
	refused := len(r.answers) > 0 && r.gaveUpAt.IsZero()
	for _, a := range r.answers {
		refused = refused && refusal(a.status)
		if a.late > 0 {
			b.broke("job %s was held %v past its deadline by %s", r.id, a.late, a.instance)
		}
		if a.done {
			b.judgeDone(r, a, byTask)
		}
	}
	if refused && starts > 0 {
		b.broke("job %s was always refused as not run, but %d runs began", r.id, starts)
	}
}

// judgeDone checks that each task of a job had ended well when it was said to be
// completed.
func (b *book) judgeDone(r *request, a answer, byTask map[fleet.TaskID][]*span) {
	for i := range r.tasks {
		done := slices.ContainsFunc(byTask[fleet.TaskID{Job: r.id, Index: i}], func(s *span) bool {
			return s.how == fleet.EndDone && s.to <= fleet.Time(a.at.UnixNano())
		})
		if !done {
			b.broke("job %s was said to be completed at %v by %s, task %d was not", r.id, a.at.Format("15:04:05.000"), a.instance, i)
		}
	}
}
