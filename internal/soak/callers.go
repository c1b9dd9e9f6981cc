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

// Behavior of the callers.
const (
	maxAttempts        = 3    // attempts of a job whose answer was lost
	abandonShare       = 0.05 // share of the jobs whose callers disconnect early
	shortestTaskMs     = 10
	minVanish          = 150 * time.Millisecond // before the path of a caller breaks
	maxVanish          = 300 * time.Millisecond
	configPollInterval = 200 * time.Millisecond
)

// isRejection reports whether an answer means that a job has not run.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// generateLoad submits jobs at random times, JobsPerSecond on average, until ctx
// ends.
func (dep *deployment) generateLoad(ctx context.Context, o Options) {
	r := rand.New(rand.NewPCG(o.Seed, 2))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.ExpFloat64() / o.JobsPerSecond * float64(time.Second)))
		seed := r.Uint64()
		dep.background.Go(func() { dep.submit(rand.New(rand.NewPCG(seed, 3)), o) })
	}
}

func jobID(r *rand.Rand) string { return fmt.Sprintf("%016x", r.Uint64()) }

// submit submits one job, and again after a lost answer.
func (dep *deployment) submit(r *rand.Rand, o Options) *request {
	q := &request{id: jobID(r), tasks: 1 + r.IntN(6), need: model.Resources{CPUMilli: uint32(500 + 100*r.IntN(16)), MemoryMB: 64}}
	dep.recorder.submitted(q)
	runMs := shortestTaskMs + r.IntN(int(o.LongestTask.Milliseconds())-shortestTaskMs)
	for range maxAttempts {
		ctx, cancel := context.WithTimeout(dep.ctx, dep.jobDeadline+dep.maxLateness)
		if r.Float64() < abandonShare {
			cancel()
			ctx, cancel = context.WithTimeout(dep.ctx, time.Duration(r.IntN(runMs))*time.Millisecond)
			dep.recorder.abandoned(q)
		}
		p := dep.anyProcess(r)
		var a answer
		if o.VanishShare > 0 && r.Float64() < o.VanishShare {
			a = dep.submitVanishing(ctx, cancel, p, q, runMs, between(r, minVanish, maxVanish))
		} else {
			a = dep.submitOnce(ctx, p, q, runMs)
			cancel()
		}
		dep.recorder.answered(q, a)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return q
		}
		time.Sleep(o.ResubmitDelay)
	}
	return q
}

// submitVanishing is submitOnce by a caller whose path breaks after a time without the instance
// being told: its connection stays open and nobody waits for the answer.
func (dep *deployment) submitVanishing(ctx context.Context, cancel context.CancelFunc, p *process, q *request, runMs int, after time.Duration) answer {
	answers := make(chan answer, 1)
	dep.background.Go(func() {
		defer cancel()
		answers <- dep.submitOnce(ctx, p, q, runMs)
	})
	select {
	case a := <-answers:
		return a
	case <-time.After(after):
		return answer{at: time.Now(), instance: p.name}
	}
}

// submitOnce sends a job to an instance once.
func (dep *deployment) submitOnce(ctx context.Context, p *process, q *request, runMs int) answer {
	a := answer{instance: p.name}
	body := fmt.Sprintf(`{"spec":"%d","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":%d,"estMs":%d}]}`,
		runMs, q.tasks, q.need.CPUMilli, q.need.MemoryMB, runMs)
	before, _ := p.incarnation()
	sent := time.Now()
	status, text := dep.call(ctx, p, http.MethodPost, pathPrefix+q.id, body)
	a.at, a.status = time.Now(), status
	a.completed = status == http.StatusOK && strings.Contains(text, "completed")
	after, undisturbedSince := p.incarnation()
	if late := a.at.Sub(sent) - dep.jobDeadline; late >= dep.maxLateness && !dep.recorder.isAbandoned(q) && before == after && !undisturbedSince.IsZero() && undisturbedSince.Before(sent) {
		a.lateBy = late
	}
	return a
}

// call sends a request to an instance; status is 0 without a complete answer.
func (dep *deployment) call(ctx context.Context, p *process, method, path, body string) (status int, text string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.callersAddr+path, strings.NewReader(body))
	if err != nil {
		dep.addViolation("%v", err)
		return 0, ""
	}
	r.Host = hostName
	r.Header.Set("Deadline-Ms", strconv.FormatInt(dep.jobDeadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "" // the process may be down
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// hasVersion reports whether an instance has a version of the configuration.
func (dep *deployment) hasVersion(p *process, v int64) bool {
	ctx, cancel := context.WithTimeout(dep.ctx, time.Second)
	defer cancel()
	status, _ := dep.call(ctx, p, http.MethodGet, versionPath(v), "")
	return status == http.StatusOK
}

// watchConfig checks until ctx ends that no instance reverts to an earlier
// configuration.
func (dep *deployment) watchConfig(ctx context.Context, p *process) {
	var seen int64
	incarnation := 0
	for ctx.Err() == nil {
		time.Sleep(configPollInterval)
		v := dep.version.Load()
		current, _ := p.incarnation()
		if current != incarnation {
			seen, incarnation = 0, current
		}
		if dep.hasVersion(p, v) {
			seen = v
		}
		for old := max(v-2, 1); old < v; old++ {
			if after, _ := p.incarnation(); dep.hasVersion(p, old) && old < seen && after == incarnation {
				dep.addViolation("%s reverted from configuration %d to %d", p.name, seen, old)
			}
		}
	}
}
