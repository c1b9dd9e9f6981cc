package node

import (
	"testing"

	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
)

// TestFailedListReadIsNotRepeated makes the store reject reads while an instance reads the
// list of servers, which it has requested once.
func TestFailedListReadIsNotRepeated(t *testing.T) {
	s := newSite(t, 1, 1)
	n := s.instances[0]
	reads := func() int { return s.logs.count(`"name":"server-list-read"`) }
	s.await("the watch has read the list", func() bool { return reads() == 1 })
	s.store.Faults.SetFaults(standin.Faults{Refuse: true})
	n.store.serverLister.request(t.Context())
	s.await("a read has failed", func() bool { return s.logs.count(`"call":"list-servers"`) > 0 })
	s.store.Faults.SetFaults(standin.Faults{})
	s.await("the list is read", func() bool { return reads() > 1 })
}
