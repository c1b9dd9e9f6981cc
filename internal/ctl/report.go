package ctl

import (
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/client"
	"github.com/nutmegweir/nutmegweir/internal/api"
)

// report prints an answer or a problem. A problem's exit code says whether the
// work was run.
func report(env *Env, answer *client.Answer, err error) error {
	var problemErr *client.Error
	if errors.As(err, &problemErr) {
		if err := printProblem(env, &problemErr.Problem); err != nil {
			return err
		}
		return &ExitError{Code: problemExit(&problemErr.Problem), Err: problemErr}
	}
	if err != nil {
		return err
	}
	if env.JSON {
		return env.writeJSON(answer)
	}
	env.print("status: %s", answer.Status)
	printResults(env, answer.Results)
	return nil
}

func problemExit(p *client.Problem) int {
	switch p.Ran {
	case api.RanNo:
		return ExitRefused
	case api.RanYes:
		return ExitFailed
	default:
		return ExitUnknown
	}
}

func printProblem(env *Env, p *client.Problem) error {
	if env.JSON {
		return env.writeJSON(p)
	}
	env.print("problem: %s", p.Kind)
	env.print("title: %s", p.Title)
	if p.Detail != "" {
		env.print("detail: %s", p.Detail)
	}
	env.print("ran: %s", p.Ran)
	env.print("remedy: %s", p.Remedy)
	printResults(env, p.Results)
	return nil
}

func printResults(env *Env, results []client.TaskResult) {
	for _, r := range results {
		switch {
		case r.OK:
			env.print("task %d: ok %s", r.Index, r.Output)
		case r.Error != "":
			env.print("task %d: failed, ran: %s, %s", r.Index, r.Ran, r.Error)
		default:
			env.print("task %d: failed, ran: %s", r.Index, r.Ran)
		}
	}
}
