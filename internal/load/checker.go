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
	rejectedBesideOther bool   // at a rejection, another call was in flight or answered otherwise
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
func (c *answerChecker) recordCall(j *Job, key uuid.UUID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	claims := c.jobs[key]
	if claims == nil {
		claims = &jobClaims{job: j, key: key}
		c.jobs[key] = claims
	}
	first := claims.calls == claims.refused && !j.Resubmit
	claims.calls++
	claims.inFlight++
	return first
}

// checkReply checks an answer on its own and against earlier ones of its key.
func (c *answerChecker) checkReply(j *Job, key uuid.UUID, r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Malformed != "" {
		c.add(Malformed, key, r.Malformed)
	}
	claims := c.jobs[key]
	claims.recordAnswer(r.Class)
	switch {
	case r.Class == Complete:
		c.checkComplete(claims, r.Results)
		c.checkFinal(claims, r)
	case r.Class == Failed || len(r.Results) > 0:
		c.checkFailed(claims, r.Results)
		c.checkFinal(claims, r)
	}
}

// recordAnswer updates the counts by which rejections are checked at the end.
func (claims *jobClaims) recordAnswer(class Class) {
	claims.inFlight--
	if class != Refused {
		claims.otherAnswers++
		return
	}
	claims.refused++
	if claims.inFlight > 0 || claims.otherAnswers > 0 {
		claims.rejectedBesideOther = true
	}
}

func (c *answerChecker) checkComplete(claims *jobClaims, results []api.TaskResult) {
	if len(results) != len(claims.job.Tasks) {
		c.add(IncompleteAnswer, claims.key, fmt.Sprintf("%d results of %d", len(results), len(claims.job.Tasks)))
		return
	}
	for i, r := range results {
		if r.Index != i || !r.OK || r.Ran != api.RanYes {
			c.add(IncompleteAnswer, claims.key, fmt.Sprintf("position %d has index %d, ok %t, ran %q", i, r.Index, r.OK, r.Ran))
			return
		}
		c.checkOutput(claims, r)
	}
}

func (c *answerChecker) checkFailed(claims *jobClaims, results []api.TaskResult) {
	if len(results) != len(claims.job.Tasks) {
		c.add(Malformed, claims.key, fmt.Sprintf("failed with the outcome of %d tasks of %d", len(results), len(claims.job.Tasks)))
		return
	}
	for i, r := range results {
		if r.Index != i {
			c.add(Malformed, claims.key, fmt.Sprintf("position %d has index %d", i, r.Index))
			return
		}
		// A failed answer has outcomes; outputs are optional.
		if r.OK && len(r.Output) > 0 {
			c.checkOutput(claims, r)
		}
	}
}

// checkOutput checks that an output belongs to the task and its payload.
func (c *answerChecker) checkOutput(claims *jobClaims, r api.TaskResult) {
	var out output
	err := json.Unmarshal(r.Output, &out)
	if err != nil || out.Echo != taskID(claims.key, r.Index) || out.Task != taskIdentity(claims.job, claims.key, r.Index) {
		c.add(ForeignResult, claims.key, fmt.Sprintf("task %d returned the output of task %q, echo %q", r.Index, out.Task, out.Echo))
	}
}

func (c *answerChecker) checkFinal(claims *jobClaims, r Reply) {
	d := answerDigest(r)
	if claims.hasFinal {
		if claims.finalDigest != d {
			c.add(ConflictingAnswers, claims.key, fmt.Sprintf("the later one is %s", r.Class))
		}
		return
	}
	claims.hasFinal = true
	claims.finalDigest = d
	if len(r.Results) != len(claims.job.Tasks) {
		return
	}
	claims.ran = make([]api.Ran, len(r.Results))
	for i, res := range r.Results {
		claims.ran[i] = res.Ran
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
func (c *answerChecker) compareStarts(starts map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, claims := range c.jobs {
		c.compareJobStarts(claims, starts)
	}
}

func (c *answerChecker) compareJobStarts(claims *jobClaims, starts map[string]int) {
	total := 0
	for i := range claims.job.Tasks {
		n := starts[taskIdentity(claims.job, claims.key, i)]
		total += n
		if n > 1 {
			c.add(startedTwiceViolation(claims.job), claims.key, fmt.Sprintf("task %d: %d starts", i, n))
		}
		if claims.ran == nil {
			continue
		}
		if claims.ran[i] == api.RanNo && n > 0 {
			c.add(NotRunButStarted, claims.key, fmt.Sprintf("task %d", i))
		}
		if claims.ran[i] == api.RanYes && n == 0 {
			c.add(RanButNotStarted, claims.key, fmt.Sprintf("task %d", i))
		}
	}
	switch {
	case claims.refused == 0 || total == 0:
	case claims.refused == claims.calls:
		c.add(RefusedButStarted, claims.key, fmt.Sprintf("%d starts", total))
	case claims.rejectedBesideOther:
		c.add(RefusedButOtherRan, claims.key, fmt.Sprintf("%d starts, %d of %d calls refused", total, claims.refused, claims.calls))
	}
}

func startedTwiceViolation(j *Job) Violation {
	if j.Kind.Repeatable {
		return RestartedRepeatable
	}
	return StartedTwice
}

func (c *answerChecker) add(v Violation, key uuid.UUID, detail string) {
	f := c.byViolation[v]
	if f == nil {
		f = &Finding{Violation: v}
		c.byViolation[v] = f
	}
	f.Count++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, key.String()+": "+detail)
	}
}

// findings returns every kind of violation, also those with count 0.
func (c *answerChecker) findings() []Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds := []Violation{
		StartedTwice, RestartedRepeatable, RefusedButStarted, RefusedButOtherRan, NotRunButStarted,
		RanButNotStarted, IncompleteAnswer, ForeignResult, ConflictingAnswers, Malformed,
	}
	var list []Finding
	for _, v := range kinds {
		f := Finding{Violation: v}
		if got := c.byViolation[v]; got != nil {
			f = *got
		}
		list = append(list, f)
	}
	return list
}
