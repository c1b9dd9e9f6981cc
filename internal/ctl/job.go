package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/client"
	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/problem"
)

// JobCmd groups the commands for callers.
type JobCmd struct {
	Submit  *JobSubmitCmd  `arg:"subcommand:submit" help:"submit a job and print its answer"`
	Get     *JobGetCmd     `arg:"subcommand:get" help:"print the answer of a job"`
	Cancel  *JobCancelCmd  `arg:"subcommand:cancel" help:"give up the tasks of a job that have not started"`
	Explain *JobExplainCmd `arg:"subcommand:explain" help:"say where a job stands and why"`
}

// JobSubmitCmd submits a job.
type JobSubmitCmd struct {
	CallerPort
	File       string        `arg:"positional" placeholder:"FILE" help:"job as JSON as in docs/API.md, - for standard input; options take the place of its fields, --task adds to them"`
	Customer   string        `arg:"--customer" help:"name of the customer"`
	Home       string        `arg:"--home" placeholder:"DOMAIN" help:"home failure domain"`
	Kind       string        `arg:"--kind" help:"kind of the request"`
	Key        string        `arg:"--key" help:"UUIDv7 of the first submission [default: a new one, printed to standard error]"`
	Task       []string      `arg:"--task,separate" placeholder:"JSON" help:"payload of one task; repeat for more"`
	Deadline   time.Duration `arg:"--deadline" help:"deadline, counted from the key's time"`
	Repeatable bool          `arg:"--repeatable" help:"a task may be started again after a known failure"`
	Timeout    time.Duration `arg:"--timeout" default:"60s" help:"longest wait for the answer; 0 returns after the admission"`
}

// JobRef identifies a job.
type JobRef struct {
	Home     string `arg:"positional,required" placeholder:"DOMAIN" help:"home failure domain"`
	Customer string `arg:"positional,required" placeholder:"CUSTOMER"`
	Key      string `arg:"positional,required" placeholder:"KEY" help:"UUIDv7 of the job"`
}

// JobGetCmd prints the answer of a job.
type JobGetCmd struct {
	CallerPort
	JobRef
	Wait time.Duration `arg:"--wait" default:"0s" help:"longest wait for a pending job, at most 60s"`
}

// JobCancelCmd cancels a job.
type JobCancelCmd struct {
	CallerPort
	JobRef
}

// JobExplainCmd explains a job.
type JobExplainCmd struct {
	CallerPort
	JobRef
}

func (r *JobRef) identity() client.Identity {
	return client.Identity{Home: r.Home, Customer: r.Customer, Key: r.Key}
}

// Run submits the job. It first prints a generated key to standard error, so
// that the job can be resubmitted after an interruption.
func (c *JobSubmitCmd) Run(ctx context.Context, env *Env) error {
	service, err := c.client()
	if err != nil {
		return err
	}
	job, err := c.job(env)
	if err != nil {
		return err
	}
	if job.Key == "" {
		if job.Key, err = client.NewKey(); err != nil {
			return err
		}
		job.FirstAttempt = true
		fmt.Fprintf(env.Stderr, "key: %s\n", job.Key)
	}
	answer, err := c.submit(ctx, service, job)
	return report(env, answer, err)
}

func (c *JobSubmitCmd) submit(ctx context.Context, service *client.Client, job *client.Job) (*client.Answer, error) {
	if c.Timeout == 0 {
		return service.Start(ctx, job, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return service.Submit(ctx, job)
}

// job reads the job from the file and applies the options.
func (c *JobSubmitCmd) job(env *Env) (*client.Job, error) {
	job := &client.Job{}
	if c.File != "" {
		if err := readJob(c.File, env.Stdin, job); err != nil {
			return nil, err
		}
	}
	override(&job.Customer, c.Customer)
	override(&job.Home, c.Home)
	override(&job.Kind, c.Kind)
	override(&job.Key, c.Key)
	if c.Deadline > 0 {
		job.DeadlineMs = c.Deadline.Milliseconds()
	}
	job.Repeatable = job.Repeatable || c.Repeatable
	for i, t := range c.Task {
		if !json.Valid([]byte(t)) {
			return nil, usageError("--task number %d is not JSON: %s", i+1, t)
		}
		job.Tasks = append(job.Tasks, json.RawMessage(t))
	}
	return job, nil
}

func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}

func readJob(file string, stdin io.Reader, job *client.Job) error {
	data, err := readFile(file, stdin)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(job); err != nil {
		return usageError("%s: %v; write a job as in docs/API.md", file, err)
	}
	return nil
}

func readFile(file string, stdin io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}

// Run prints the answer of the job.
func (c *JobGetCmd) Run(ctx context.Context, env *Env) error {
	if c.Wait < 0 || c.Wait > api.MaxWait {
		return usageError("--wait is %s; write a duration from 0s to %s", c.Wait, api.MaxWait)
	}
	service, err := c.client()
	if err != nil {
		return err
	}
	answer, err := service.Get(ctx, c.identity(), c.Wait)
	return report(env, answer, err)
}

// Run cancels the job.
func (c *JobCancelCmd) Run(ctx context.Context, env *Env) error {
	service, err := c.client()
	if err != nil {
		return err
	}
	answer, err := service.Cancel(ctx, c.identity())
	var problemErr *client.Error
	if errors.As(err, &problemErr) && problemErr.Problem.Kind == string(problem.Cancelled) {
		return printProblem(env, &problemErr.Problem)
	}
	return report(env, answer, err)
}

// Run prints the explanation of the job.
func (c *JobExplainCmd) Run(ctx context.Context, env *Env) error {
	service, err := c.client()
	if err != nil {
		return err
	}
	text, err := service.Explain(ctx, c.identity())
	if err != nil {
		return report(env, nil, err)
	}
	if env.JSON {
		return env.writeJSON(explanation{Text: text})
	}
	env.print("%s", strings.TrimSuffix(text, "\n"))
	return nil
}

// explanation is the JSON result of JobExplainCmd.
type explanation struct {
	Text string `json:"text"`
}
