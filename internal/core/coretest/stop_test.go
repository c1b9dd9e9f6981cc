package coretest

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// TestGracefulStopCompletesAllJobs stops the owner of a shard while tasks of
// its jobs are in flight and queued. As there is no other fault, every job must
// complete and the process must exit.
func TestGracefulStopCompletesAllJobs(t *testing.T) {
	for seed := range uint64(8) {
		w := newWorld(t, seed+1)
		w.run(3 * time.Second)
		w.maxRunMs = 2000
		owner := ownerOf(w, 0)
		jobs := submitToShard0(w, owner, 6)
		w.run(100 * time.Millisecond)
		owner.stop()
		// The process is killed after 10 s.
		w.runUntil("exit of the stopped process", 8*time.Second, func() bool { return owner.dead })
		w.run(10 * time.Second)
		for _, j := range jobs {
			if j.final.GetStatus() != peerpb.Status_STATUS_COMPLETE {
				w.fail("%s: answered %v, want complete", j.name, j.final)
			}
		}
	}
}
