package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// What callers do.
const (
	jobDeadline        = 3 * time.Second // of a job
	maxAttempts        = 3               // of a job whose answer was lost
	abandonShare       = 0.05            // of the jobs, whose callers leave early
	configPollInterval = 200 * time.Millisecond
)

// isRejection reports whether an answer says that a job has not run.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// generateLoad hands jobs in until ctx ends, perSecond on average.
func (s *deployment) generateLoad(ctx context.Context, o Options) {
	r := rand.New(rand.NewPCG(o.Seed, 2))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.ExpFloat64() / o.JobsPerSecond * float64(time.Second)))
		seed := r.Uint64()
		s.background.Go(func() { s.submit(rand.New(rand.NewPCG(seed, 3)), o.ResubmitDelay) })
	}
}

func jobID(r *rand.Rand) string { return fmt.Sprintf("%016x", r.Uint64()) }

// submit hands one job in, again after a lost answer.
func (s *deployment) submit(r *rand.Rand, resend time.Duration) *request {
	q := &request{id: jobID(r), tasks: 1 + r.IntN(6), need: model.Resources{CPUMilli: uint32(500 + 100*r.IntN(16)), MemoryMB: 64}}
	s.recorder.submitted(q)
	workMs := 10 + r.IntN(200)
	for range maxAttempts {
		ctx, cancel := context.WithTimeout(s.ctx, jobDeadline+s.maxLateness)
		if r.Float64() < abandonShare {
			cancel()
			ctx, cancel = context.WithTimeout(s.ctx, time.Duration(r.IntN(workMs))*time.Millisecond)
			s.recorder.abandoned(q)
		}
		a := s.submitOnce(ctx, s.anyProcess(r), q, workMs)
		cancel()
		s.recorder.answered(q, a)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return q
		}
		time.Sleep(resend)
	}
	return q
}

// submitOnce sends a job to an instance.
func (s *deployment) submitOnce(ctx context.Context, p *process, q *request, workMs int) answer {
	a := answer{instance: p.name}
	body := fmt.Sprintf(`{"spec":"%d","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":%d,"estMs":%d}]}`,
		workMs, q.tasks, q.need.CPUMilli, q.need.MemoryMB, workMs)
	life, _ := p.incarnation()
	sent := time.Now()
	status, text := s.call(ctx, p, http.MethodPost, pathPrefix+q.id, body)
	a.at, a.status = time.Now(), status
	a.completed = status == http.StatusOK && strings.Contains(text, "completed")
	sameLife, calm := p.incarnation()
	if over := a.at.Sub(sent) - jobDeadline; over >= s.maxLateness && q.abandonedAt.IsZero() && life == sameLife && !calm.IsZero() && calm.Before(sent) {
		a.lateBy = over
	}
	return a
}

// call makes a request to an instance; status is 0 without a whole answer.
func (s *deployment) call(ctx context.Context, p *process, method, path, body string) (status int, text string) {
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, callerPort, path), strings.NewReader(body))
	if err != nil {
		s.addViolation("%v", err)
		return 0, ""
	}
	r.Host = hostName
	r.Header.Set("Deadline-Ms", strconv.FormatInt(jobDeadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "" // the process may be gone
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// hasVersion reports whether an instance has a version of the configuration.
func (s *deployment) hasVersion(p *process, v int64) bool {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	status, _ := s.call(ctx, p, http.MethodGet, versionPath(v), "")
	return status == http.StatusOK
}

// watchConfig checks until ctx ends that no instance goes back to an earlier
// configuration.
func (s *deployment) watchConfig(ctx context.Context, p *process) {
	var seen int64
	life := 0
	for ctx.Err() == nil {
		time.Sleep(configPollInterval)
		v := s.version.Load()
		now, _ := p.incarnation()
		if now != life {
			seen, life = 0, now
		}
		if s.hasVersion(p, v) {
			seen = v
		}
		for old := max(v-2, 1); old < v; old++ {
			if after, _ := p.incarnation(); s.hasVersion(p, old) && old < seen && after == life {
				s.addViolation("%s went back from configuration %d to %d", p.name, seen, old)
			}
		}
	}
}
