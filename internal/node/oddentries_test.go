package node

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/fleetpb"
	port "github.com/nutmegweir/nutmegweir/internal/platform"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/platform"
)

// oddEntry is a usable entry of a server, but for the parts that a test replaces.
const oddEntry = `{"service":"svc","address":"127.0.0.1:9","zone":"d1","state":"ready","slots":8,"capacity":{"cpu":4000,"memMb":4096,"gpu":0},"labels":["a"],"born":1700000000000,"clockMs":500}`

// withOdd returns oddEntry with a part replaced.
func withOdd(old, odd string) string { return strings.Replace(oddEntry, old, odd, 1) }

// oddEntries are entries of another writer that name no server to use.
var oddEntries = []struct{ name, id, value string }{
	{"ID too long for a key of its owner", strings.Repeat("x", 190), oddEntry},
	{"no ID", "", oddEntry},
	{"port out of range", "odd", withOdd("127.0.0.1:9", "127.0.0.1:70000")},
}

// TestOddEntryDisturbsNothing starts instances while the list of servers holds an odd
// entry, and writes it again later. All servers are owned, also one that comes after it,
// and nobody claims or calls what the odd entry names.
func TestOddEntryDisturbsNothing(t *testing.T) {
	for _, c := range oddEntries {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, 3, 0)
			s.writeRaw(platform.ServerPrefix+c.id, c.value)
			s.addInstance("n0")
			s.awaitOwned("w0", "w1", "w2")
			s.writeRaw(platform.ServerPrefix+c.id, c.value)
			s.addServer("late")
			s.awaitOwned("late")
			if owner := s.store.Store.Get(platform.OwnerPrefix + c.id); owner.Exists() {
				t.Errorf("the odd entry has an owner: %s", owner.Value)
			}
			if n := s.logs.count(`"name":"call-failed"`, fmt.Sprintf(`"server":%q`, c.id)); n > 0 {
				t.Errorf("%d calls to what the odd entry names", n)
			}
			if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000aa", job("x", 12)); status != http.StatusOK {
				t.Errorf("a job is answered %d %s", status, body)
			}
		})
	}
}

// writeRaw writes a key of the store.
func (s *site) writeRaw(key, value string) {
	s.store.Store.Commit(standin.Txn{Writes: []port.Entry{{Key: key, Value: []byte(value)}}})
}

// awaitOwned waits until the store names an owner of each server.
func (s *site) awaitOwned(ids ...string) {
	s.t.Helper()
	s.await(fmt.Sprintf("%v are owned", ids), func() bool {
		for _, id := range ids {
			if !strings.Contains(string(s.store.Store.Get(platform.OwnerPrefix+id).Value), `"owner":"n`) {
				return false
			}
		}
		return true
	})
}

// TestUnreadableRecordIsLoggedOnce reads an odd entry of the list again and again, in
// whole lists and after changes of others, and then changes it.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) {
	s := newSite(t, 1, 0)
	odd := withOdd("4000", strings.Repeat("9", 10_000))
	s.writeRaw(platform.ServerPrefix+"odd", odd)
	s.addInstance("n0")
	s.awaitOwned("w0")
	reads := func() int { return s.logs.count(`"name":"server-list-read"`) }
	for range 3 {
		before := reads()
		s.instances[0].store.serverLister.request(t.Context())
		s.await("the list is read", func() bool { return reads() > before })
	}
	lines := func() int { return s.logs.count(`"name":"record-unreadable"`, `"key":"servers/odd"`) }
	if n := lines(); n != 1 {
		t.Errorf("%d lines on one odd entry", n)
	}
	s.writeRaw(platform.ServerPrefix+"odd", odd)
	s.await("the changed entry is logged", func() bool { return lines() == 2 })
	s.logs.mu.Lock()
	defer s.logs.mu.Unlock()
	for line := range strings.Lines(s.logs.buf.String()) {
		if len(line) > 2000 {
			t.Errorf("a line of %d bytes", len(line))
		}
	}
}

// TestOddRecordsOfOthersEndNothing writes records of other writers, or of a later version,
// among those of instances, owners and jobs. The instances stay up, serve jobs and
// leave unreadable jobs as they are.
func TestOddRecordsOfOthersEndNothing(t *testing.T) {
	step := func(s *fleetpb.Step) *fleetpb.JobRecord {
		return &fleetpb.JobRecord{State: int32(fleet.StateOpen), Job: &fleetpb.Job{Id: "a", Service: "svc", Steps: []*fleetpb.Step{s}}}
	}
	jobs := map[string]*fleetpb.JobRecord{
		"after a later step":   step(&fleetpb.Step{Count: 1, After: []int32{7}}),
		"after a negative one": step(&fleetpb.Step{Count: 1, After: []int32{-1}}),
		"too many tasks":       step(&fleetpb.Step{Count: math.MaxInt32}),
		"negative count":       step(&fleetpb.Step{Count: -5}),
		"no steps":             {State: int32(fleet.StateOpen), Job: &fleetpb.Job{Id: "a", Service: "svc"}},
		"no job":               {State: int32(fleet.StateOpen)},
	}
	s := newSite(t, 2, 0)
	names := []string{"member/", "member/null", "member/wrong", "member/far", "owner/", "owner/w1"}
	for i, value := range []string{oddEntry, "null", `{"incarnation":7}`, `{"incarnation":"1","addr":"127.0.0.1:70000","weight":1e308}`, "null", `{"owner":[]}`} {
		s.writeRaw(platform.FleetPrefix+names[i], value)
	}
	for name, r := range jobs {
		data, err := proto.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		s.writeRaw(platform.JobKey(name), string(data))
	}
	s.addInstance("n0")
	s.awaitOwned("w0", "w1")
	unreadable := func() int { return s.logs.count(`"name":"record-unreadable"`, `"key":"`+platform.JobPrefix) }
	s.await("the jobs are logged as unreadable", func() bool { return unreadable() == len(jobs) })
	for name, r := range jobs {
		data, err := proto.Marshal(r)
		if now := s.store.Store.Get(platform.JobKey(name)); err != nil || string(now.Value) != string(data) {
			t.Errorf("the record of job %q has changed (%v)", name, err)
		}
	}
	if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000aa", job("x", 12)); status != http.StatusOK {
		t.Errorf("a job is answered %d %s", status, body)
	}
}

// TestOwnerKeysRemovedByOthers removes and overwrites the keys of owners while the
// instances run. The servers are owned and serve again.
func TestOwnerKeysRemovedByOthers(t *testing.T) {
	s := newSite(t, 3, 2)
	s.awaitOwned("w0", "w1", "w2")
	s.store.Store.Commit(standin.Txn{Remove: []string{platform.OwnerPrefix + "w0", platform.OwnerPrefix + "w1"}})
	s.writeRaw(platform.OwnerPrefix+"w2", "null")
	s.awaitOwned("w0", "w1", "w2")
	s.addServer("late")
	s.awaitOwned("late")
	if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000aa", job("x", 12)); status != http.StatusOK {
		t.Errorf("a job is answered %d %s", status, body)
	}
}
