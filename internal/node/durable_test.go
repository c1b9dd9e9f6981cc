package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/platform"
)

func durableJob(spec string, count int) string {
	return strings.Replace(job(spec, count), `"bestEffort":true,`, "", 1)
}

// awaitState waits until an instance reports a state of a job.
func (s *site) awaitState(instance int, path, state string) {
	s.t.Helper()
	s.await(path+" is "+state, func() bool {
		status, body, _ := s.call(instance, http.MethodGet, path, "")
		return status == http.StatusOK && strings.Contains(body, `"`+state+`"`)
	})
}

func TestDurableJobs(t *testing.T) {
	s := newSite(t, 3, 2)
	for i := range 6 {
		path := fmt.Sprintf("/q/%016x", i)
		for range 2 { // resubmission is allowed at any instance
			if status, body, _ := s.call(i%2, http.MethodPost, path, durableJob("x", 4)); status != http.StatusOK {
				t.Fatalf("job %d: %d %s", i, status, body)
			}
		}
		s.awaitState(i%2, path, "completed")
		s.awaitState(1-i%2, path, "completed")
		if status, body, _ := s.call(1-i%2, http.MethodPost, path, durableJob("x", 4)); status != http.StatusOK {
			t.Errorf("job %d again: %d %s", i, status, body)
		}
	}
	s.requireStarts(24)
}

func TestDurableJobFails(t *testing.T) {
	s := newSite(t, 2, 2)
	if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000e1", durableJob("fails", 1)); status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	s.awaitState(1, "/q/00000000000000e1", "failed")
}

func TestCancelDurableJob(t *testing.T) {
	s := newSite(t, 1, 2)
	s.servers[0].Behavior = func(fleet.RunID, string) (time.Duration, fleet.EndKind) { return time.Hour, fleet.EndDone }
	const path = "/q/00000000000000e2"
	if status, body, _ := s.call(0, http.MethodPost, path, durableJob("x", 2)); status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	s.awaitState(0, path, "running")
	if status, body, _ := s.call(1, http.MethodDelete, path, ""); status != http.StatusOK || !strings.Contains(body, "cancelled") {
		t.Errorf("cancel: %d %s", status, body)
	}
	for instance := range s.instances {
		s.awaitState(instance, path, "cancelled")
	}
	s.await("its runs have stopped", func() bool { return s.servers[0].Running() == 0 })
	if status, _, _ := s.call(0, http.MethodGet, "/q/00000000000000e3", ""); status != http.StatusGone {
		t.Errorf("state of a job that was never submitted: %d", status)
	}
}

func TestPendingCountsDurableJobs(t *testing.T) {
	s := newSite(t, 1, 2)
	s.servers[0].Behavior = func(fleet.RunID, string) (time.Duration, fleet.EndKind) { return time.Hour, fleet.EndDone }
	long := strings.Replace(durableJob("x", 4), `"estMs":5`, `"estMs":3600000`, 1) // otherwise it would appear stalled
	for i := range 3 {                                                             // each needs 4 cores, which fills the server
		if status, body, _ := s.call(0, http.MethodPost, fmt.Sprintf("/q/%016x", 0xb0+i), long); status != http.StatusOK {
			t.Fatalf("%d %s", status, body)
		}
	}
	for instance := range s.instances {
		s.await("two jobs are pending", func() bool {
			_, body, _ := s.call(instance, http.MethodGet, "/q/", "")
			return strings.Contains(body, `"pending":2`)
		})
	}
}

// TestDurableJobsWithLostStoreReplies makes the store lose replies to applied
// writes, or reject calls.
func TestDurableJobsWithLostStoreReplies(t *testing.T) {
	for name, f := range map[string]standin.Faults{"lost": {LoseAnswers: 6}, "slow to write": {WritesPerSecond: 20}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 2)
			s.store.Faults.SetFaults(f)
			for i := range 8 {
				path := fmt.Sprintf("/q/%016x", 0xc0+i)
				s.await("the job is accepted", func() bool {
					status, _, _ := s.call(i%2, http.MethodPost, path, durableJob("x", 2))
					return status == http.StatusOK
				})
			}
			s.store.Faults.SetFaults(standin.Faults{})
			for i := range 8 {
				s.awaitState(i%2, fmt.Sprintf("/q/%016x", 0xc0+i), "completed")
			}
			s.requireStarts(16)
		})
	}
}

// TestCountingScanRemovesNothing guards against finished jobs that every instance removes
// which was asked for a count, beyond the store's rate of writes.
func TestCountingScanRemovesNothing(t *testing.T) {
	s := newSite(t, 1, 1)
	w, err := platform.JobWrite(platform.JobEntry{
		Record: fleet.Record{ID: "00000000000000e5", State: fleet.StateCompleted, Holder: "gone", Incarnation: "01"}, WrittenAt: time.Now(),
	})
	if err != nil {
		t.Fatal(err)
	}
	jobs := newJobStore(s.instances[0]) // apart from that of the instance, which scans as well
	if _, err := jobs.node.store.store.Commit(t.Context(), platform.Txn{Writes: []platform.Write{w}}); err != nil {
		t.Fatal(err)
	}
	jobs.scan(t.Context(), fleet.ScanJobs{CountOnly: true})
	if n := len(jobs.removals); n != 0 {
		t.Errorf("%d removals after a scan that counts, want 0", n)
	}
	jobs.scan(t.Context(), fleet.ScanJobs{})
	if n := len(jobs.removals); n != 1 {
		t.Errorf("%d removals after a scan, want 1", n)
	}
}
