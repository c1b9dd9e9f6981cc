package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
)

func keptJob(spec string, count int) string {
	return strings.Replace(job(spec, count), `"bestEffort":true,`, "", 1)
}

// awaitState waits until a node tells a state of a job.
func (s *site) awaitState(node int, path, state string) {
	s.t.Helper()
	s.await(path+" is "+state, func() bool {
		status, body, _ := s.call(node, http.MethodGet, path, "")
		return status == http.StatusOK && strings.Contains(body, `"`+state+`"`)
	})
}

func TestKeptJobs(t *testing.T) {
	s := newSite(t, 3, 2)
	for i := range 6 {
		path := fmt.Sprintf("/q/%016x", i)
		for range 2 { // the same job may come again, at any node
			if status, body, _ := s.call(i%2, http.MethodPost, path, keptJob("x", 4)); status != http.StatusOK {
				t.Fatalf("job %d: %d %s", i, status, body)
			}
		}
		s.awaitState(i%2, path, "completed")
		s.awaitState(1-i%2, path, "completed")
		if status, body, _ := s.call(1-i%2, http.MethodPost, path, keptJob("x", 4)); status != http.StatusOK {
			t.Errorf("job %d again: %d %s", i, status, body)
		}
	}
	s.requireStarts(24)
}

func TestKeptJobThatFails(t *testing.T) {
	s := newSite(t, 2, 2)
	if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000e1", keptJob("fails", 1)); status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	s.awaitState(1, "/q/00000000000000e1", "failed")
}

func TestKeptJobIsCancelled(t *testing.T) {
	s := newSite(t, 1, 2)
	s.workers[0].Work = func(fleet.RunID, string) (time.Duration, fleet.EndKind) { return time.Hour, fleet.EndDone }
	const path = "/q/00000000000000e2"
	if status, body, _ := s.call(0, http.MethodPost, path, keptJob("x", 2)); status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	s.awaitState(0, path, "running")
	if status, body, _ := s.call(1, http.MethodDelete, path, ""); status != http.StatusOK || !strings.Contains(body, "cancelled") {
		t.Errorf("cancel: %d %s", status, body)
	}
	for node := range s.nodes {
		s.awaitState(node, path, "cancelled")
	}
	s.await("its runs are gone", func() bool { return s.workers[0].Running() == 0 })
	if status, _, _ := s.call(0, http.MethodGet, "/q/00000000000000e3", ""); status != http.StatusGone {
		t.Errorf("state of a job that nobody sent: %d", status)
	}
}

func TestPendingCountsKeptJobs(t *testing.T) {
	s := newSite(t, 1, 2)
	s.workers[0].Work = func(fleet.RunID, string) (time.Duration, fleet.EndKind) { return time.Hour, fleet.EndDone }
	long := strings.Replace(keptJob("x", 4), `"estMs":5`, `"estMs":3600000`, 1) // or it would seem to stand still
	for i := range 3 {                                                          // of 4 cores each, one fills the server
		if status, body, _ := s.call(0, http.MethodPost, fmt.Sprintf("/q/%016x", 0xb0+i), long); status != http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	for node := range s.nodes {
		s.await("two jobs are pending", func() bool {
			_, body, _ := s.call(node, http.MethodGet, "/q/", "")
			return strings.Contains(body, `"pending":2`)
		})
	}
}

// TestKeptJobsWithLostAnswers lets the store lose answers of writes that it has
// carried out, and refuse calls.
func TestKeptJobsWithLostAnswers(t *testing.T) {
	for name, f := range map[string]standin.Faults{"lost": {LoseAnswers: 6}, "slow to write": {WritesPerSecond: 20}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 2)
			s.store.Faults.Set(f)
			for i := range 8 {
				path := fmt.Sprintf("/q/%016x", 0xc0+i)
				s.await("the job is accepted", func() bool {
					status, _, _ := s.call(i%2, http.MethodPost, path, keptJob("x", 2))
					return status == http.StatusOK
				})
			}
			s.store.Faults.Set(standin.Faults{})
			for i := range 8 {
				s.awaitState(i%2, fmt.Sprintf("/q/%016x", 0xc0+i), "completed")
			}
			s.requireStarts(16)
		})
	}
}
