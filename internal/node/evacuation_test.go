package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/platform"
)

// TestEvacuationReachesEveryInstance evacuates the only domain by its key, beside one that
// names no domain, in a fleet where two instances watch the store for all. Every instance,
// also one that starts later, rejects jobs with Retry-After, and nothing starts. The removal
// falls into a gap of the watches, after which the list is read again.
func TestEvacuationReachesEveryInstance(t *testing.T) {
	s := newSharedWatchSite(t, 3, 3, 1)
	s.awaitOwned("w0", "w1", "w2")
	stopped := func() int { return s.logs.count(`"name":"store-followed"`, `"on":false`) }
	s.await("an instance has stopped watching", func() bool { return stopped() > 0 })

	s.writeRaw(platform.EvacuationPrefix, "x")
	s.writeRaw(platform.EvacuationPrefix+"d1", "not JSON")
	evacuated := func() int { return s.logs.count(`"name":"domain-evacuated"`, `"domain":"d1"`) }
	s.await("every instance knows", func() bool { return evacuated() == len(s.instances) })
	s.await("the key without a domain is logged", func() bool { return s.logs.count(`"name":"record-unreadable"`, platform.EvacuationPrefix) > 0 })
	fromPeer := func() int { return s.logs.count(`"name":"domain-evacuated"`, `"reason":"peer"`) }
	// On a busy machine all three instances watch the store at times, as a silent watcher is
	// replaced. Further domains, without servers, are evacuated until one doesn't watch.
	for round := 0; fromPeer() == 0 && round < 10; round++ {
		domain := fmt.Sprintf("e%d", round)
		s.writeRaw(platform.EvacuationPrefix+domain, "{}")
		s.await("every instance knows of "+domain, func() bool {
			return s.logs.count(`"name":"domain-evacuated"`, fmt.Sprintf(`"domain":%q`, domain)) == len(s.instances)
		})
	}
	if fromPeer() == 0 {
		t.Error("no instance has learned of an evacuation from a peer")
	}
	s.addInstance("late")
	s.await("the late instance knows", func() bool { return evacuated() == len(s.instances) })
	for i := range s.instances {
		id := fmt.Sprintf("%016x", i)
		status, body, header := s.call(i, http.MethodPost, "/q/"+id, job("x", 2))
		if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
			t.Errorf("instance %d answers %d %s with Retry-After %q", i, status, body, header.Get("Retry-After"))
		}
		s.await("the answer is logged", func() bool { return strings.Contains(fmt.Sprint(s.logs.forJob(id)), "not-runevacuated") })
	}
	s.requireStarts(0)

	s.store.Faults.SetFaults(standin.Faults{Refuse: true})
	s.store.Store.Commit(standin.Txn{Remove: []string{platform.EvacuationPrefix + "d1"}})
	s.store.Store.Compact()
	s.store.Faults.SetFaults(standin.Faults{})
	s.await("every instance knows of the end", func() bool { return s.logs.count(`"name":"domain-restored"`, `"domain":"d1"`) == len(s.instances) })
	if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000aa", job("x", 2)); status != http.StatusOK {
		t.Errorf("a job is answered %d %s", status, body)
	}
}

// TestStartWhileStoreIsAway starts an instance while the store refuses calls and the domain
// is evacuated. It answers callers meanwhile, owns the server once the store is back and
// starts nothing before the evacuation ends.
func TestStartWhileStoreIsAway(t *testing.T) {
	s := newSite(t, 1, 0)
	s.store.Faults.SetFaults(standin.Faults{Refuse: true})
	s.writeRaw(platform.EvacuationPrefix+"d1", "{}")
	s.addInstance("n0")
	if status, body, header := s.call(0, http.MethodPost, "/q/00000000000000aa", job("x", 1)); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: %d %s with Retry-After %q", status, body, header.Get("Retry-After"))
	}
	s.store.Faults.SetFaults(standin.Faults{})
	s.awaitOwned("w0")
	if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000ab", job("x", 1)); status != http.StatusServiceUnavailable {
		t.Errorf("in an evacuated domain: %d %s", status, body)
	}
	s.requireStarts(0)
	s.store.Store.Commit(standin.Txn{Remove: []string{platform.EvacuationPrefix + "d1"}})
	s.await("the end is known", func() bool { return s.logs.count(`"name":"domain-restored"`) > 0 })
	if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000ac", job("x", 1)); status != http.StatusOK {
		t.Errorf("after the end: %d %s", status, body)
	}
}
