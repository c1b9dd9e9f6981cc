package caller

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// unknownTaskCount disables the check of the number of results.
const unknownTaskCount = -1

// convertAnswer returns a pending or complete answer, or a *problem.Error for
// a failed or rejected one. A complete answer that lacks a result becomes a
// problem of kind internal.
func convertAnswer(a *peerpb.Answer, tasks int) (*api.Answer, error) {
	results, err := convertResults(a.GetResults())
	if err != nil {
		return nil, err
	}
	switch a.GetStatus() {
	case peerpb.Status_STATUS_PENDING:
		return &api.Answer{Status: api.StatusPending}, nil
	case peerpb.Status_STATUS_COMPLETE:
		if err := checkComplete(results, tasks); err != nil {
			return nil, err
		}
		return &api.Answer{Status: api.StatusComplete, Results: results}, nil
	case peerpb.Status_STATUS_FAILED:
		return nil, convertProblem(a, problem.JobFailed, results)
	case peerpb.Status_STATUS_REFUSED:
		return nil, convertProblem(a, problem.Internal, results)
	default:
		return nil, problem.Newf(problem.Internal, "answer with status %v", a.GetStatus())
	}
}

func convertProblem(a *peerpb.Answer, fallback problem.Kind, results []api.TaskResult) *problem.Error {
	kind := problem.Kind(a.Problem)
	if kind == "" {
		kind = fallback
	}
	ran := convertRan(a.Ran)
	if ran == "" && len(results) > 0 {
		ran = ranOfResults(results)
	}
	return &problem.Error{
		Kind:       kind,
		Detail:     a.Detail,
		Ran:        ran,
		RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond,
		Results:    results,
		Final:      a.Recorded,
	}
}

// ranOfResults returns unknown if any task may have run, else yes if any ran,
// else no.
func ranOfResults(results []api.TaskResult) api.Ran {
	ran := api.RanNo
	for _, r := range results {
		if r.Ran == api.RanUnknown {
			return api.RanUnknown
		}
		if r.Ran == api.RanYes {
			ran = api.RanYes
		}
	}
	return ran
}

func convertResults(in []*peerpb.TaskResult) ([]api.TaskResult, error) {
	if len(in) == 0 {
		return nil, nil
	}
	out := make([]api.TaskResult, len(in))
	for i, r := range in {
		output, err := convertOutput(r)
		if err != nil {
			return nil, err
		}
		out[i] = api.TaskResult{Index: int(r.Index), Ran: resultRan(r), OK: r.Ok, Output: output, Error: r.Error}
	}
	return out, nil
}

// convertOutput returns JSON unchanged and other text as a JSON string.
func convertOutput(r *peerpb.TaskResult) (json.RawMessage, error) {
	if len(r.Output) == 0 || json.Valid(r.Output) {
		return r.Output, nil
	}
	if !utf8.Valid(r.Output) {
		return nil, problem.Newf(problem.Internal, "the output of task %d is neither JSON nor UTF-8 text", r.Index).WithRan(api.RanYes)
	}
	return json.Marshal(string(r.Output))
}

func resultRan(r *peerpb.TaskResult) api.Ran {
	if ran := convertRan(r.Ran); ran != "" {
		return ran
	}
	return api.RanUnknown
}

// convertRan returns "" for RAN_UNSPECIFIED.
func convertRan(r peerpb.Ran) api.Ran {
	switch r {
	case peerpb.Ran_RAN_NO:
		return api.RanNo
	case peerpb.Ran_RAN_YES:
		return api.RanYes
	case peerpb.Ran_RAN_UNKNOWN:
		return api.RanUnknown
	default:
		return ""
	}
}

// checkComplete checks that there is one result per task, in order.
func checkComplete(results []api.TaskResult, tasks int) error {
	if len(results) == 0 || (tasks != unknownTaskCount && len(results) != tasks) {
		return problem.Newf(problem.Internal, "a complete answer holds %d results of %d tasks", len(results), tasks)
	}
	for i, r := range results {
		if r.Index != i {
			return problem.Newf(problem.Internal, "a complete answer lacks the result of task %d", i)
		}
	}
	return nil
}

// writeAnswer writes the answer of a job.
func writeAnswer(w http.ResponseWriter, id *peerpb.Identity, a *api.Answer) {
	writeJSON(w, id, a.Status, a)
}

// writeRequestAnswer writes the answer of a request: its one result once complete.
func writeRequestAnswer(w http.ResponseWriter, id *peerpb.Identity, a *api.Answer) {
	if a.Status == api.StatusComplete {
		writeJSON(w, id, a.Status, &a.Results[0])
		return
	}
	writeJSON(w, id, a.Status, a)
}

func writeJSON(w http.ResponseWriter, id *peerpb.Identity, status api.Status, body any) {
	code := http.StatusOK
	if status == api.StatusPending {
		code = http.StatusAccepted
		w.Header().Set("Location", jobPath(id))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	// The client may be gone; nobody else needs the error.
	_ = json.NewEncoder(w).Encode(body)
}
