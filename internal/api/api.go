// Package api holds the JSON types of the caller API, used by the server and
// by clients.
package api

import (
	"encoding/json"
	"time"
)

// Paths of the caller API. Job and request paths take a customer, a home
// failure domain and a key.
const (
	PathJobs     = "/v1/jobs"
	PathRequests = "/v1/requests"
	PathJob      = "/v1/jobs/{home}/{customer}/{key}"
	PathExplain  = "/v1/jobs/{home}/{customer}/{key}/explain"
)

// Limits of a submission.
const (
	MaxTasks        = 1000
	MaxBodyBytes    = 4 << 20
	MaxPayloadBytes = 64 << 10
	MaxHeaderBytes  = 16 << 10
	MaxWait         = 60 * time.Second
)

// Ran says whether work ran.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Status is the state of a job.
type Status string

// Values of Status.
const (
	StatusPending  Status = "pending"
	StatusComplete Status = "complete"
	StatusFailed   Status = "failed"
)

// Resources are what each task needs.
type Resources struct {
	CPUMilli     uint32 `json:"cpu_milli,omitempty"`
	MemoryMB     uint32 `json:"memory_mb,omitempty"`
	Accelerators uint32 `json:"accelerators,omitempty"`
}

// Job is the body of a POST to PathJobs.
type Job struct {
	Customer      string            `json:"customer"`
	Home          string            `json:"home"` // home failure domain
	Key           string            `json:"key"`  // UUIDv7 of the first submission
	Kind          string            `json:"kind"`
	Tasks         []json.RawMessage `json:"tasks"`                 // one payload per task
	DeadlineMs    int64             `json:"deadline_ms,omitempty"` // from the key's time, 0 means the table's default
	Repeatable    bool              `json:"repeatable,omitempty"`
	DeclaredRunMs int64             `json:"declared_run_ms,omitempty"`
	Needs         Resources         `json:"needs,omitzero"`
	// FirstAttempt says that the caller has no other unanswered copy of this
	// submission and sends none before this one is answered, so that a
	// rejection that can't be recorded may say "not run".
	FirstAttempt bool `json:"first_attempt,omitempty"`
}

// Request is the body of a POST to PathRequests: a job of one task.
type Request struct {
	Customer      string          `json:"customer"`
	Home          string          `json:"home"`
	Key           string          `json:"key"`
	Kind          string          `json:"kind"`
	Payload       json.RawMessage `json:"payload"`
	DeadlineMs    int64           `json:"deadline_ms,omitempty"`
	Repeatable    bool            `json:"repeatable,omitempty"`
	DeclaredRunMs int64           `json:"declared_run_ms,omitempty"`
	Needs         Resources       `json:"needs,omitzero"`
	FirstAttempt  bool            `json:"first_attempt,omitempty"`
}

// TaskResult is the outcome of one task.
type TaskResult struct {
	Index  int             `json:"index"`
	Ran    Ran             `json:"ran"`
	OK     bool            `json:"ok"`
	Output json.RawMessage `json:"output,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Answer is the body of a pending or complete answer.
type Answer struct {
	Status  Status       `json:"status"`
	Results []TaskResult `json:"results,omitempty"` // all of them, when complete
}

// Problem is an RFC 9457 problem document. Rejected and failed answers are
// problems.
type Problem struct {
	Type         string       `json:"type"` // URI reference that ends in the kind
	Title        string       `json:"title"`
	Status       int          `json:"status"` // HTTP status code
	Detail       string       `json:"detail,omitempty"`
	Kind         string       `json:"kind"`
	Ran          Ran          `json:"ran"`
	Remedy       string       `json:"remedy"`
	Closed       bool         `json:"closed,omitempty"`         // the key will never be admitted again; retry with a new one
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"` // also sent as Retry-After, rounded up to seconds
	Results      []TaskResult `json:"results,omitempty"`
}

// ContentTypeProblem is the media type of a Problem.
const ContentTypeProblem = "application/problem+json"
