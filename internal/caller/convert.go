package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/problem"
	"github.com/nutmegweir/nutmegweir/internal/settings"
)

// Limits of the fields of a submission.
const (
	maxDeadline     = 24 * time.Hour
	maxDeclaredRun  = 24 * time.Hour
	keyChars        = 36 // of a UUID in the text format of RFC 9562
	keyVersion      = 7
	maxCPUMilli     = 1_000_000
	maxMemoryMB     = 64 << 20
	maxAccelerators = 1000
)

// requestSpec validates a request and converts it to a job of one task.
func (h *Handler) requestSpec(r *api.Request) (*peerpb.JobSpec, error) {
	if len(r.Payload) == 0 {
		return nil, problem.New(problem.InvalidRequest, "payload is missing")
	}
	spec, err := h.jobSpec(&api.Job{
		Customer:      r.Customer,
		Home:          r.Home,
		Key:           r.Key,
		Kind:          r.Kind,
		Tasks:         []json.RawMessage{r.Payload},
		DeadlineMs:    r.DeadlineMs,
		Repeatable:    r.Repeatable,
		DeclaredRunMs: r.DeclaredRunMs,
		Needs:         r.Needs,
		FirstAttempt:  r.FirstAttempt,
	})
	if err != nil {
		return nil, err
	}
	spec.Request = true
	return spec, nil
}

// jobSpec validates and converts a job.
func (h *Handler) jobSpec(j *api.Job) (*peerpb.JobSpec, error) {
	id, err := h.makeIdentity(j.Customer, j.Home, j.Key)
	if err != nil {
		return nil, err
	}
	if err := checkName("kind", j.Kind); err != nil {
		return nil, err
	}
	if err := checkNumbers(j); err != nil {
		return nil, err
	}
	payloads, err := h.payloads(j)
	if err != nil {
		return nil, err
	}
	return &peerpb.JobSpec{
		Identity:       id,
		Kind:           j.Kind,
		Payloads:       payloads,
		DeadlineUnixMs: deadline(id, j.DeadlineMs),
		Repeatable:     j.Repeatable,
		DeclaredRunMs:  j.DeclaredRunMs,
		FirstAttempt:   j.FirstAttempt,
		Resources: &peerpb.Resources{
			CpuMilli:     j.Needs.CPUMilli,
			MemoryMb:     j.Needs.MemoryMB,
			Accelerators: j.Needs.Accelerators,
		},
	}, nil
}

func (h *Handler) payloads(j *api.Job) ([][]byte, error) {
	limits := &h.opts.Limits
	if len(j.Tasks) == 0 {
		return nil, problem.New(problem.InvalidRequest, "tasks is missing or empty")
	}
	if len(j.Tasks) > limits.Tasks {
		return nil, problem.Newf(problem.TooLarge, "%d tasks; the limit is %d", len(j.Tasks), limits.Tasks)
	}
	payloads := make([][]byte, len(j.Tasks))
	for i, t := range j.Tasks {
		if len(t) > limits.PayloadBytes {
			return nil, problem.Newf(problem.TooLarge, "the payload of task %d has %d bytes; the limit is %d", i, len(t), limits.PayloadBytes)
		}
		payloads[i] = t
	}
	return payloads, nil
}

// makeIdentity checks and converts the parts of an identity.
func (h *Handler) makeIdentity(customer, home, key string) (*peerpb.Identity, error) {
	if err := checkName("customer", customer); err != nil {
		return nil, err
	}
	if err := h.checkHome(home); err != nil {
		return nil, err
	}
	k, err := parseKey(key)
	if err != nil {
		return nil, err
	}
	return &peerpb.Identity{Customer: customer, Home: home, Key: k[:]}, nil
}

func (h *Handler) checkHome(home string) error {
	if home == "" {
		return problem.New(problem.InvalidRequest, "home is missing")
	}
	names := make([]string, len(h.opts.Domains))
	for i, d := range h.opts.Domains {
		if string(d) == home {
			return nil
		}
		names[i] = string(d)
	}
	return problem.Newf(problem.WrongHome, "home is %q; the failure domains are %s", home, strings.Join(names, ", "))
}

func checkName(field, value string) error {
	if value == "" {
		return problem.Newf(problem.InvalidRequest, "%s is missing", field)
	}
	if !settings.IsName(value) {
		return problem.Newf(problem.InvalidRequest, "%s is %q; %s", field, value, settings.NameRemedy)
	}
	return nil
}

func parseKey(s string) (model.Key, error) {
	if s == "" {
		return model.Key{}, problem.New(problem.InvalidRequest, "key is missing; make a UUIDv7 for each job")
	}
	k, err := uuid.Parse(s)
	if err != nil || len(s) != keyChars || k.Version() != keyVersion || k.Variant() != uuid.RFC4122 {
		return model.Key{}, problem.Newf(problem.InvalidRequest, "key is %q; make a UUIDv7 for each job, and repeat it only with the same job", s)
	}
	return model.Key(k), nil
}

func checkNumbers(j *api.Job) error {
	checks := []struct {
		field string
		value int64
		limit int64
	}{
		{"deadline_ms", j.DeadlineMs, maxDeadline.Milliseconds()},
		{"declared_run_ms", j.DeclaredRunMs, maxDeclaredRun.Milliseconds()},
		{"needs.cpu_milli", int64(j.Needs.CPUMilli), maxCPUMilli},
		{"needs.memory_mb", int64(j.Needs.MemoryMB), maxMemoryMB},
		{"needs.accelerators", int64(j.Needs.Accelerators), maxAccelerators},
	}
	for _, c := range checks {
		if c.value < 0 || c.value > c.limit {
			return problem.Newf(problem.InvalidRequest, "%s is %d; write a number from 0 to %d", c.field, c.value, c.limit)
		}
	}
	return nil
}

// deadline returns the deadline in Unix milliseconds. It counts from the key's
// timestamp, so that a resubmission has the same deadline.
func deadline(id *peerpb.Identity, ms int64) int64 {
	if ms == 0 {
		return 0
	}
	return model.Key(id.Key).Submitted().UnixMilli() + ms
}

// jobPath returns the URL path of a job.
func jobPath(id *peerpb.Identity) string {
	return fmt.Sprintf("%s/%s/%s/%s", api.PathJobs, id.Home, id.Customer, model.Key(id.Key))
}
