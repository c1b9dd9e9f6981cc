package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestMeasureSchedIsDeterministic(t *testing.T) {
	f := Fleet{Workers: 4, Customers: 3, Instances: 2, Domains: 2, JobTasks: 2}
	a, b := MeasureSched("test", f), MeasureSched("test", f)
	if a.Starts == 0 || a.Steps == 0 {
		t.Fatalf("no task was started: %+v", a)
	}
	if a.Starts != b.Starts || a.Steps != b.Steps || a.Refusals != b.Refusals || a.MessagesPerStart != b.MessagesPerStart {
		t.Fatalf("two runs of one seed differ:\n%+v\n%+v", a, b)
	}
}

func TestMeasureShardCompletesEveryJob(t *testing.T) {
	l := ShardLoad{JobTasks: 3, JobsPerRound: 2, PayloadBytes: 10, OutputBytes: 10}
	b := newShardBench(l)
	for b.jobs < 20 {
		b.round(l.JobsPerRound)
	}
	for range roundsPerTask + 50 {
		b.round(0)
	}
	if b.owner.JobCount() != 20 || b.replica.JobCount() != 20 {
		t.Fatalf("%d and %d jobs remembered, want 20", b.owner.JobCount(), b.replica.JobCount())
	}
	// At least the claim, intent and result of every task reach the replica.
	if payloads := int64(20 * 3 * 2 * 10); b.bytes <= payloads {
		t.Fatalf("%d bytes to the replica, %d of payload and output", b.bytes, payloads)
	}
	if n := b.answerBytes(); n < float64(3*l.OutputBytes) {
		t.Fatalf("%v bytes per answer, less than its outputs", n)
	}
	if sum, sent := b.snapshotBytes(); sum == 0 || sent != 20 {
		t.Fatalf("the snapshot has %d bytes and %d jobs, want 20 jobs", sum, sent)
	}
}

func TestSnapshotOfSeveralChunksIsComplete(t *testing.T) {
	b := newShardBench(ShardLoad{JobTasks: 1, JobsPerRound: 4, PayloadBytes: 10_000, OutputBytes: 10_000})
	for b.jobs < 80 {
		b.round(4)
	}
	for range roundsPerTask + 50 {
		b.round(0)
	}
	chunk := int64(b.ownerEnv.Opts.ChunkBytes)
	if sum, sent := b.snapshotBytes(); sum <= 2*chunk || sent != 80 {
		t.Fatalf("%d bytes and %d jobs, want more than %d bytes and 80 jobs", sum, sent, 2*chunk)
	}
}

func TestMeasureViewsSettlesAfterEachChange(t *testing.T) {
	results, err := MeasureViews(ViewLoad{Instances: 4, Shards: 8})
	if err != nil {
		t.Fatal(err)
	}
	if len(results) != 4 {
		t.Fatalf("%d changes, want 4", len(results))
	}
	for _, f := range results {
		if f.Writes == 0 || f.Wakes == 0 {
			t.Errorf("%s: no view was written: %+v", f.Change, f)
		}
	}
}

func TestMeasureStoreCountsCalls(t *testing.T) {
	f, err := MeasureStore(2, 50)
	if err != nil {
		t.Fatal(err)
	}
	if f.WritesPerEdit < 1 || f.ReadsPerEdit <= 0 || f.WatchBytes == 0 {
		t.Fatalf("calls were not counted: %+v", f)
	}
}

func TestMeasureTableHasEveryRow(t *testing.T) {
	if f := MeasureTable(2); f.Rows != 2*tableKinds*tableDomains || f.ApplyUs < 0 {
		t.Fatalf("%+v", f)
	}
}

func TestSweepsCoverAllDimensions(t *testing.T) {
	seen := map[string]int{}
	for _, s := range Sweeps() {
		for _, f := range s.Fleets {
			if f.Instances < f.Domains {
				t.Errorf("%s: %+v has a domain without an instance", s.Name, f)
			}
			seen[s.Name]++
		}
	}
	for _, name := range []string{"workers", "customers", "instances", "domains", "job-tasks", "target"} {
		if seen[name] == 0 {
			t.Errorf("sweep %s is missing", name)
		}
	}
}

func TestWrite(t *testing.T) {
	dir := t.TempDir()
	if err := Write(dir, "sched", []SchedResult{{Sweep: "x", Fleet: BaseFleet, StepNs: 1.5}}); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, "sched.csv"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	if len(lines) != 2 || !strings.HasPrefix(lines[0], "sweep,workers,customers,") || !strings.HasPrefix(lines[1], "x,50,10,8,4,1,0,1.5,") {
		t.Fatalf("csv is %q", lines)
	}
}
