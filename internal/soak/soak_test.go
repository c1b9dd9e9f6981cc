package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are run by CI: one that never failed, and those that once did.
var seeds = []struct {
	seed   uint64
	cause  string   // of the earlier failure
	faults []string // the usual ones if empty
}{
	{1, "", nil},
	{105, "calls hung beyond their deadlines while a link fell behind", nil},
	{110, "the same", nil},
	// Failed at 100 jobs a second, 32 servers and 5 instances; here it only plays the fault.
	{401, "", []string{"domain evacuated", "instance killed", "instance paused", "link to the store disturbed", "store history compacted"}},
	{304, "two owners had the job of one call", []string{"instances stalled behind held messages"}},
}

// TestSoak runs short soaks of the real program. Lost jobs are resubmitted later
// than on the platform, and answers may be late, so that a busy machine does not
// cause failures.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "nutmegweir")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/nutmegweir").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range seeds {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			r, err := Run(t.Context(), Options{
				Binary: binary, Dir: t.TempDir(), Seed: s.seed, Instances: 6, Servers: 12, JobsPerSecond: 30,
				FaultDuration: 12 * time.Second, ResubmitDelay: 5 * time.Second, MaxLateness: 20 * time.Second, Faults: s.faults,
			})
			if err != nil {
				t.Fatal(err)
			}
			if r.Requests == 0 || r.Completed == 0 || len(r.Faults) == 0 {
				t.Errorf("no requests, completed jobs or faults: %+v", r)
			}
			for _, v := range r.Violations {
				t.Error(v)
			}
		})
	}
}
