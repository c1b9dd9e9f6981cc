package load

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

// Violation is a kind of false answer.
type Violation string

// Kinds of violations.
const (
	StartedTwice Violation = "task started twice"
	// RestartedRepeatable is a second start of a task of a repeatable job.
	RestartedRepeatable Violation = "task of a repeatable job started twice"
	RefusedButStarted   Violation = "refused as not run, but started"
	// RefusedButOtherRan is a call that was rejected as not run although another
	// call with the same key, sent before that answer, was run.
	RefusedButOtherRan Violation = "refused as not run, run by another call of the same key"
	NotRunButStarted   Violation = "task answered as not run, but started"
	RanButNotStarted   Violation = "task answered as run, but not started"
	IncompleteAnswer   Violation = "complete answer is not whole"
	ForeignResult      Violation = "result belongs to another request"
	ConflictingAnswers Violation = "two final answers of one key differ"
	Malformed          Violation = "answer does not fit the contract"
)

// maxExamples is how many examples of each violation are kept.
const maxExamples = 5

// Finding counts one kind of violation.
type Finding struct {
	Violation Violation `json:"violation"`
	Count     int       `json:"count"`
	Examples  []string  `json:"examples"`
}

// jobClaims is what the answers to one key have stated.
type jobClaims struct {
	job                 *Job
	key                 uuid.UUID
	calls               int    // submissions of this key
	refused             int    // calls rejected as not run
	rejectedBesideOther bool   // a rejection came after another call had been sent
	inFlight            int    // unanswered calls
	otherAnswers        int    // calls answered otherwise
	finalDigest         uint64 // digest of the first complete or failed answer
	hasFinal            bool
	ran                 []api.Ran // per task, from the final answer
}

// answerChecker checks answers and, at the end, compares them with the starts
// that the backend servers counted. It is safe for concurrent use.
type answerChecker struct {
	mu          sync.Mutex
	jobs        map[uuid.UUID]*jobClaims
	byViolation map[Violation]*Finding
}

func newAnswerChecker() *answerChecker {
	return &answerChecker{jobs: make(map[uuid.UUID]*jobClaims), byViolation: make(map[Violation]*Finding)}
}

// recordCall records that the key is about to be submitted. It reports whether
// the call is a first attempt: each earlier call of the key was rejected, and no
// other one will be sent before this one is answered.
func (t *answerChecker) recordCall(j *Job, key uuid.UUID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	jt := t.jobs[key]
	if jt == nil {
		jt = &jobClaims{job: j, key: key}
		t.jobs[key] = jt
	}
	first := jt.calls == jt.refused && !j.Resubmit
	jt.calls++
	jt.inFlight++
	return first
}

// checkReply checks an answer on its own and against earlier ones of its key.
func (t *answerChecker) checkReply(j *Job, key uuid.UUID, r Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Malformed != "" {
		t.add(Malformed, key, r.Malformed)
	}
	jt := t.jobs[key]
	jt.recordAnswer(r.Class)
	switch {
	case r.Class == Complete:
		t.checkComplete(jt, r.Results)
		t.checkFinal(jt, r)
	case r.Class == Failed || len(r.Results) > 0:
		t.checkFailed(jt, r.Results)
		t.checkFinal(jt, r)
	}
}

// recordAnswer updates the counts by which rejections are checked at the end.
func (jt *jobClaims) recordAnswer(class Class) {
	jt.inFlight--
	if class != Refused {
		jt.otherAnswers++
		return
	}
	jt.refused++
	if jt.inFlight > 0 || jt.otherAnswers > 0 {
		jt.rejectedBesideOther = true
	}
}

func (t *answerChecker) checkComplete(jt *jobClaims, results []api.TaskResult) {
	if len(results) != len(jt.job.Tasks) {
		t.add(IncompleteAnswer, jt.key, fmt.Sprintf("%d results of %d", len(results), len(jt.job.Tasks)))
		return
	}
	for i, r := range results {
		if r.Index != i || !r.OK || r.Ran != api.RanYes {
			t.add(IncompleteAnswer, jt.key, fmt.Sprintf("position %d has index %d, ok %t, ran %q", i, r.Index, r.OK, r.Ran))
			return
		}
		t.checkOutput(jt, r)
	}
}

func (t *answerChecker) checkFailed(jt *jobClaims, results []api.TaskResult) {
	if len(results) != len(jt.job.Tasks) {
		t.add(Malformed, jt.key, fmt.Sprintf("failed with the outcome of %d tasks of %d", len(results), len(jt.job.Tasks)))
		return
	}
	for i, r := range results {
		if r.Index != i {
			t.add(Malformed, jt.key, fmt.Sprintf("position %d has index %d", i, r.Index))
			return
		}
		// A failed answer has outcomes; outputs are optional.
		if r.OK && len(r.Output) > 0 {
			t.checkOutput(jt, r)
		}
	}
}

// checkOutput compares the echoed identity with the task's own.
func (t *answerChecker) checkOutput(jt *jobClaims, r api.TaskResult) {
	var out output
	err := json.Unmarshal(r.Output, &out)
	if err != nil || out.Echo != taskID(jt.key, r.Index) || out.Task != taskIdentity(jt.job, jt.key, r.Index) {
		t.add(ForeignResult, jt.key, fmt.Sprintf("task %d returned the output of task %q, echo %q", r.Index, out.Task, out.Echo))
	}
}

func (t *answerChecker) checkFinal(jt *jobClaims, r Reply) {
	d := answerDigest(r)
	if jt.hasFinal {
		if jt.finalDigest != d {
			t.add(ConflictingAnswers, jt.key, fmt.Sprintf("the later one is %s", r.Class))
		}
		return
	}
	jt.hasFinal = true
	jt.finalDigest = d
	if len(r.Results) != len(jt.job.Tasks) {
		return
	}
	jt.ran = make([]api.Ran, len(r.Results))
	for i, res := range r.Results {
		jt.ran[i] = res.Ran
	}
}

// answerDigest covers the parts that must be equal in two answers to one key.
func answerDigest(r Reply) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d;", r.Class)
	for _, res := range r.Results {
		fmt.Fprintf(h, "%d,%s,%t,%s;", res.Index, res.Ran, res.OK, res.Output)
	}
	return h.Sum64()
}

// compareStarts checks every job against the counted starts.
func (t *answerChecker) compareStarts(starts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, jt := range t.jobs {
		t.compareJobStarts(jt, starts)
	}
}

func (t *answerChecker) compareJobStarts(jt *jobClaims, starts map[string]int) {
	total := 0
	for i := range jt.job.Tasks {
		n := starts[taskIdentity(jt.job, jt.key, i)]
		total += n
		if n > 1 {
			t.add(startedTwiceViolation(jt.job), jt.key, fmt.Sprintf("task %d: %d starts", i, n))
		}
		if jt.ran == nil {
			continue
		}
		if jt.ran[i] == api.RanNo && n > 0 {
			t.add(NotRunButStarted, jt.key, fmt.Sprintf("task %d", i))
		}
		if jt.ran[i] == api.RanYes && n == 0 {
			t.add(RanButNotStarted, jt.key, fmt.Sprintf("task %d", i))
		}
	}
	switch {
	case jt.refused == 0 || total == 0:
	case jt.refused == jt.calls:
		t.add(RefusedButStarted, jt.key, fmt.Sprintf("%d starts", total))
	case jt.rejectedBesideOther:
		t.add(RefusedButOtherRan, jt.key, fmt.Sprintf("%d starts, %d of %d calls refused", total, jt.refused, jt.calls))
	}
}

func startedTwiceViolation(j *Job) Violation {
	if j.Kind.Repeatable {
		return RestartedRepeatable
	}
	return StartedTwice
}

func (t *answerChecker) add(v Violation, key uuid.UUID, detail string) {
	f := t.byViolation[v]
	if f == nil {
		f = &Finding{Violation: v}
		t.byViolation[v] = f
	}
	f.Count++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, key.String()+": "+detail)
	}
}

// findings returns every kind of violation, also those with count 0.
func (t *answerChecker) findings() []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := []Violation{
		StartedTwice, RestartedRepeatable, RefusedButStarted, RefusedButOtherRan, NotRunButStarted,
		RanButNotStarted, IncompleteAnswer, ForeignResult, ConflictingAnswers, Malformed,
	}
	var list []Finding
	for _, v := range kinds {
		f := Finding{Violation: v}
		if got := t.byViolation[v]; got != nil {
			f = *got
		}
		list = append(list, f)
	}
	return list
}
