package node

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/platform"
)

// startedJobs records which jobs have started tasks at the servers of a site.
func startedJobs(s *site, runs time.Duration) (started func(id string) int) {
	var mu sync.Mutex
	starts := map[string]int{}
	for _, w := range s.servers {
		w.Behavior = func(r fleet.RunID, _ string) (time.Duration, fleet.EndKind) {
			mu.Lock()
			defer mu.Unlock()
			starts[r.Task.Job]++
			return runs, fleet.EndDone
		}
	}
	return func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return starts[id]
	}
}

// awaitCancelled cancels a job until that is acknowledged, and reports whether it was
// unknown.
func (s *site) awaitCancelled(instance int, path string) (unknown bool) {
	s.t.Helper()
	s.await(path+" is cancelled", func() bool {
		status, _, _ := s.call(instance, http.MethodDelete, path, "")
		unknown = status == http.StatusGone
		return unknown || status == http.StatusOK
	})
	return unknown
}

// TestJobStoredAfterItsCancel guards against jobs that are stored and run although a cancel
// was answered 410, when the store was silent as they were submitted.
func TestJobStoredAfterItsCancel(t *testing.T) {
	const jobs = 12
	s := newSite(t, 1, 2)
	started := startedJobs(s, 5*time.Millisecond)
	s.store.Faults.SetFaults(standin.Faults{Hang: true})
	unknown := make([]bool, jobs)
	var callers sync.WaitGroup
	for n := range jobs {
		callers.Go(func() {
			path := fmt.Sprintf("/q/%016x", 0xd0+n)
			if status, body, _ := s.callWithin(n%2, http.MethodPost, path, durableJob("x", 1), 300*time.Millisecond); status == http.StatusOK {
				t.Errorf("%s: %d %s from a silent store", path, status, body)
			}
			if n == jobs-1 {
				s.store.Faults.SetFaults(standin.Faults{})
			}
			unknown[n] = s.awaitCancelled((n+n/2)%2, path) // half of them at the other instance
		})
	}
	callers.Wait()
	for i := range s.instances { // its write follows those of the cancelled jobs
		path := fmt.Sprintf("/q/%016x", 0xf0+i)
		s.await("a job is accepted", func() bool {
			status, _, _ := s.call(i, http.MethodPost, path, durableJob("x", 1))
			return status == http.StatusOK
		})
		s.awaitState(i, path, "completed")
	}
	for n := range jobs {
		id := fmt.Sprintf("%016x", 0xd0+n)
		if !unknown[n] {
			continue
		}
		if k := started(id); k > 0 {
			t.Errorf("%d tasks of job %s started, whose cancel was answered 410", k, id)
		}
		if status, body, _ := s.call(n%2, http.MethodGet, "/q/"+id, ""); status != http.StatusGone {
			t.Errorf("job %s is shown after its cancel was answered 410: %d %s", id, status, body)
		}
		status, body, header := s.call(n%2, http.MethodPost, "/q/"+id, durableJob("x", 1))
		if status != http.StatusServiceUnavailable || !strings.Contains(body, "cancelled") || header.Get("Retry-After") != "" {
			t.Errorf("job %s submitted again: %d %s, Retry-After %q", id, status, body, header.Get("Retry-After"))
		}
	}
}

// TestLostSubmissionOfCancelledJob carries out a write of a job after its cancel, as a store
// may that answers late.
func TestLostSubmissionOfCancelledJob(t *testing.T) {
	s := newSite(t, 1, 1)
	r := fleet.Record{ID: "00000000000000d1", State: fleet.StateOpen, Holder: "gone", Incarnation: "01", Term: 1, Version: 1}
	w, err := platform.JobWrite(platform.JobEntry{Record: r, WrittenAt: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	if !s.awaitCancelled(0, "/q/"+r.ID) {
		t.Error("a job that isn't stored is known")
	}
	late, err := s.instances[0].store.store.Commit(t.Context(), platform.Txn{Preconditions: platform.JobPreconditions(&r), Writes: []platform.Write{w}})
	if err != nil || late.Committed {
		t.Errorf("the late write is committed: %v, %v", late.Committed, err)
	}
}

// TestOutdatedSubmissionIsNotStored guards against jobs that are stored once a cancel that
// forbade it has lapsed: their holder couldn't reach the store all the while.
func TestOutdatedSubmissionIsNotStored(t *testing.T) {
	s := newSite(t, 1, 1)
	jobs := s.instances[0].jobs
	now := bootTime()
	records := map[string]bool{}
	var batch []fleet.Record
	for n, age := range []time.Duration{jobs.storableTime() + time.Second, 0} {
		id := fmt.Sprintf("%016x", 0xd4+n)
		records[id] = age == 0
		batch = append(batch, fleet.Record{
			ID: id, State: fleet.StateOpen, Holder: "n9", Incarnation: "01", Term: 1, Version: 1,
			Job: fleet.JobSpec{ID: id, Service: "svc", ReceivedAt: now.Add(-age), Steps: []fleet.StepSpec{{Count: 1}}},
		})
	}
	jobs.commit(t.Context(), batch)
	for id, want := range records {
		if _, stored, err := s.instances[0].store.store.Get(t.Context(), platform.JobKey(id)); err != nil || stored != want {
			t.Errorf("job %s is stored: %v, want %v (%v)", id, stored, want, err)
		}
	}
}

// TestCancelOfRunningBestEffortJob guards against jobs that need not be stored and run on
// after a cancel at another instance was acknowledged.
func TestCancelOfRunningBestEffortJob(t *testing.T) {
	s := newSite(t, 1, 2)
	started := startedJobs(s, time.Hour)
	const id = "00000000000000d2"
	long := strings.Replace(job("x", 2), `"estMs":5`, `"estMs":3600000`, 1)
	var caller sync.WaitGroup
	caller.Go(func() {
		if status, body, _ := s.call(0, http.MethodPost, "/q/"+id, long); status != http.StatusOK || !strings.Contains(body, `"cancelled"`) {
			t.Errorf("the caller of a cancelled job got %d %s", status, body)
		}
	})
	s.await("the job runs", func() bool { return started(id) == 2 })
	s.awaitCancelled(1, "/q/"+id)
	caller.Wait()
	s.await("its runs have stopped", func() bool { return s.servers[0].Running() == 0 })
	for i := range s.instances {
		s.await("a submission of the same ID is refused", func() bool {
			status, body, _ := s.call(i, http.MethodPost, "/q/"+id, job("x", 2))
			return status == http.StatusServiceUnavailable && strings.Contains(body, "cancelled")
		})
	}
	if k := started(id); k != 2 {
		t.Errorf("%d tasks started, want 2", k)
	}
}

// TestManyCancelsOfUnknownJobs cancels jobs that never existed, which must not use up the
// store's calls.
func TestManyCancelsOfUnknownJobs(t *testing.T) {
	const jobs = 400
	s := newSite(t, 1, 1)
	before := s.store.Faults.Calls()
	var callers sync.WaitGroup
	for n := range jobs {
		callers.Go(func() {
			if !s.awaitCancelled(0, fmt.Sprintf("/q/%016x", 0x1000+n)) {
				t.Error("a job that never existed is known")
			}
		})
	}
	callers.Wait()
	// Each batch of 16 costs a write; the first ones are smaller, as they don't wait.
	calls := s.store.Faults.Calls()
	if writes, reads := calls.Writes-before.Writes, calls.Reads-before.Reads; writes > jobs/4 || reads > jobs/4 {
		t.Errorf("%d writes and %d reads for %d cancels", writes, reads, jobs)
	}
	if status, _, _ := s.call(0, http.MethodDelete, "/q/"+strings.Repeat("z", 300), ""); status != http.StatusGone {
		t.Errorf("cancel of an impossible ID: %d", status)
	}
}

// TestCancelsAreRemoved guards against cancels that stay in the store for good, also once
// their writer is gone, and against the removal of one that was written again.
func TestCancelsAreRemoved(t *testing.T) {
	const id, again = "00000000000000d6", "00000000000000d7"
	s := newSite(t, 1, 2)
	exists := func(id string) bool {
		_, ok, err := s.instances[0].store.store.Get(t.Context(), platform.CancelKey(id))
		if err != nil {
			t.Fatal(err)
		}
		return ok
	}
	for _, job := range []string{id, again} {
		s.awaitCancelled(0, "/q/"+job)
		for _, n := range s.instances {
			s.await("the cancel is known", func() bool { return n.jobs.cancels.has(job) })
		}
	}
	writer, other := s.instances[0].jobs.cancels, s.instances[1].jobs.cancels
	due := time.Now().Add(writer.ttl())
	writer.removeDue(t.Context(), due.Add(-time.Minute))
	other.removeDue(t.Context(), due) // the writer comes first
	if !exists(id) || !exists(again) {
		t.Error("a cancel is removed too early")
	}
	s.awaitCancelled(0, "/q/"+again)
	writer.mu.Lock()
	renewed := writer.kept[again]
	writer.mu.Unlock()
	s.await("the other instance knows of it", func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return other.kept[again].revision == renewed.revision
	})
	other.mu.Lock()
	other.kept[again] = keptCancel{renewed.revision - 1, time.Now()} // as if it had not heard of it
	other.kept[id] = keptCancel{other.kept[id].revision, due.Add(time.Hour)}
	other.mu.Unlock()
	other.removeDue(t.Context(), due)
	if !exists(again) {
		t.Error("a cancel is removed that was written again")
	}
	other.mu.Lock()
	other.kept[id] = keptCancel{other.kept[id].revision, due}
	other.mu.Unlock()
	other.removeDue(t.Context(), due) // the writer hasn't removed it
	if exists(id) {
		t.Error("a cancel is kept although it is due")
	}
	for _, n := range s.instances {
		s.await("the cancel is forgotten", func() bool { return !n.jobs.cancels.has(id) })
	}
}

// TestCancelOfStoredJobBesideMany guards against cancels of stored jobs that are refused
// because no further cancels of others can be kept.
func TestCancelOfStoredJobBesideMany(t *testing.T) {
	const path = "/q/00000000000000d8"
	s := newSite(t, 1, 1)
	startedJobs(s, time.Hour)
	long := strings.Replace(durableJob("x", 1), `"estMs":5`, `"estMs":3600000`, 1)
	if status, body, _ := s.call(0, http.MethodPost, path, long); status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	c := s.instances[0].jobs.cancels
	s.awaitCancelled(0, "/q/00000000000000d9")
	c.rate.SetLimit(0)
	c.rate.AllowN(time.Now(), int(c.rate.Tokens()))
	if status, body, header := s.call(0, http.MethodDelete, "/q/00000000000000da", ""); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("cancel of an unknown job beside too many others: %d %s", status, body)
	}
	if status, body, _ := s.call(0, http.MethodDelete, path, ""); status != http.StatusOK || !strings.Contains(body, "cancelled") {
		t.Errorf("cancel of a stored job: %d %s", status, body)
	}
}

// TestManyCancelsInStore guards against an instance that hangs as it lists more cancels than
// the reducer has taken in, while the reducer waits for the lock of the list.
func TestManyCancelsInStore(t *testing.T) {
	n := &Node{events: make(chan fleet.Event, eventQueueLength), done: make(chan struct{})}
	n.store = newStoreSync(n)
	n.jobs = newJobStore(n)
	var items []platform.Item
	for k := range 3 * eventQueueLength {
		items = append(items, platform.Item{Key: platform.CancelKey(fmt.Sprintf("%016x", k)), ModRevision: 9})
	}
	listed := make(chan struct{})
	go func() {
		n.store.apply(items, false)
		close(listed)
	}()
	locked := make(chan struct{})
	go func() {
		for len(n.events) < eventQueueLength { // until apply waits for the reducer
			runtime.Gosched()
		}
		n.store.watchShared(t.Context(), false) // an effect of the reducer
		close(locked)
	}()
	select {
	case <-locked:
	case <-time.After(waitTimeout):
		t.Error("the reducer waits for the lock of the list")
	}
	close(n.done)
	<-listed
}
