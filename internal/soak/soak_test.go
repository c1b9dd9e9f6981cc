package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are played by CI: one that never failed, and those that did.
var seeds = []struct {
	seed  uint64
	cause string // of its failure
}{
	{1, ""},
	{105, "calls hung beyond their deadlines while a link fell behind"},
	{110, "the same"},
}

// TestSoak plays short soaks of the real program. Lost jobs come again later than
// on the platform, and answers may be late, so that a busy machine fails nothing.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "nutmegweir")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/nutmegweir").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range seeds {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			r, err := Run(t.Context(), Options{
				Binary: binary, Dir: t.TempDir(), Seed: s.seed, Instances: 6, Servers: 12, JobsPerSecond: 30,
				FaultDuration: 12 * time.Second, ResubmitDelay: 5 * time.Second, MaxLateness: 20 * time.Second,
			})
			if err != nil {
				t.Fatal(err)
			}
			if r.Requests == 0 || r.Completed == 0 || len(r.Faults) == 0 {
				t.Errorf("nothing was played: %+v", r)
			}
			for _, b := range r.Violations {
				t.Error(b)
			}
		})
	}
}
