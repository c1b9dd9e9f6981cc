package core

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/policy"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

const (
	benchTasks = 100 // per job
	benchRun   = 100 * time.Millisecond
)

// benchCore is an instance without a replica whose effects are completed at
// once.
type benchCore struct {
	*Reducer
	now   model.Time
	steps int
	keys  uint64
	ran   []shard.StartTask
}

func newBenchCore(servers int) *benchCore {
	self := shard.Member{Instance: "a", Incarnation: "a1"}
	c := &benchCore{now: model.Time(time.Now().UnixNano())}
	c.Reducer = New(Options{
		Self:            self,
		Domain:          "d",
		Addr:            "10.0.0.1:7000",
		ShardsPerDomain: 32,
		SilenceBound:    time.Hour,
		Shard:           shard.DefaultOptions(),
		Policy:          policy.New("d"),
	})
	list := make([]sched.Server, servers)
	for i := range list {
		id := model.ServerID(rune('a'+i%26)) + model.ServerID(rune('0'+i/26))
		list[i] = sched.Server{ID: id, Domain: "d", Slots: 8}
	}
	c.step(Servers{List: list})
	c.step(Views{Domain: "d", ReadAt: c.now})
	if w := c.Ready().WriteViews; w != nil {
		c.step(ViewsWritten{Outcome: WriteApplied, Index: 1, Doc: w.Doc})
	}
	return c
}

func (c *benchCore) step(e Event) {
	c.steps++
	c.Step(c.now, e)
}

// job submits a job and completes its starts until it is answered.
func (c *benchCore) job() bool {
	c.keys++
	c.now = c.now.Add(time.Millisecond)
	c.step(CallerRequest{ID: c.keys, Spec: c.spec()})
	for {
		e := c.Ready()
		if len(e.Replies) > 0 {
			return e.Replies[0].Answer.Status == peerpb.Status_STATUS_COMPLETE
		}
		if len(e.Starts) == 0 {
			return false
		}
		c.ran = append(c.ran[:0], e.Starts...)
		for _, st := range c.ran {
			c.step(TaskDone{shard.TaskDone{Start: st.Start, Ran: benchRun}})
		}
	}
}

func (c *benchCore) spec() *peerpb.JobSpec {
	return &peerpb.JobSpec{
		Identity: &peerpb.Identity{Customer: "c", Home: "d", Key: testKey(c.now, c.keys)},
		Kind:     "k",
		Payloads: make([][]byte, benchTasks),
	}
}

// testKey returns the nth key with the given timestamp.
func testKey(at model.Time, n uint64) []byte {
	key := make([]byte, 16)
	binary.BigEndian.PutUint64(key, uint64(at.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(key[8:], n)
	return key
}

// BenchmarkStep measures one step of the reducer over jobs of 100 tasks
// (submission, binding, starts and results) without a replica.
func BenchmarkStep(b *testing.B) {
	for _, servers := range []int{50, 1200} {
		b.Run(sizeName(servers), func(b *testing.B) {
			c := newBenchCore(servers)
			b.ReportAllocs()
			b.ResetTimer()
			c.steps = 0
			for c.steps < b.N {
				if !c.job() {
					b.Fatal("a job was not completed")
				}
			}
		})
	}
}

func sizeName(servers int) string {
	if servers > 1000 {
		return "servers=1200"
	}
	return "servers=50"
}
