package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// clusterInstances is the number of instances that share the servers.
const clusterInstances = 8

// stepSize is the size of a fleet with its load.
type stepSize struct {
	servers, customers, backlog int
}

var stepSizes = []stepSize{
	{50, 12, 0},
	{50, 12, 2000},
	{50, 120, 2000},
	{1200, 120, 0},
	{1200, 120, 2000},
}

// stepLoad keeps all slots busy, with a backlog.
type stepLoad struct {
	s       *Scheduler
	now     model.Time
	handle  int
	size    stepSize
	names   []model.Customer
	running []Start
}

func newStepLoad(size stepSize) *stepLoad {
	l := &stepLoad{s: newTestScheduler(size.servers, 8), now: testStart, size: size}
	var peers []Peer
	for i := 2; i <= clusterInstances; i++ {
		peers = append(peers, Peer{ID: model.Instance(fmt.Sprintf("a%d", i)), Domain: "a"})
	}
	l.s.SetPeers(l.now, peers)
	slots := l.s.Stats().Slots
	for i := range size.customers {
		l.names = append(l.names, model.Customer(fmt.Sprintf("c%d", i)))
	}
	for range slots + size.backlog {
		l.submit()
	}
	return l
}

func (l *stepLoad) submit() {
	l.handle++
	j := Job{
		Handle: model.JobHandle(l.handle), Customer: l.names[l.handle%len(l.names)], Kind: "k",
		Tasks: 1, Repeatable: true, DeclaredRunTime: 300 * time.Millisecond,
	}
	l.s.Submit(l.now, j)
	l.collect()
}

func (l *stepLoad) collect() {
	l.running = append(l.running, l.s.Ready().Starts...)
}

// step ends the oldest run and submits a job: two inputs, and a tick when one
// is due.
func (l *stepLoad) step() {
	l.now = l.now.Add(time.Millisecond)
	if l.now.Sub(testStart)%TickInterval == 0 {
		l.s.Tick(l.now)
		l.collect()
	}
	st := l.running[0]
	l.running = l.running[1:]
	l.s.Done(l.now, st, OutcomeOK, 300*time.Millisecond)
	l.collect()
	l.submit()
}

func BenchmarkStep(b *testing.B) {
	for _, size := range stepSizes {
		name := fmt.Sprintf("servers=%d/customers=%d/backlog=%d", size.servers, size.customers, size.backlog)
		b.Run(name, func(b *testing.B) {
			l := newStepLoad(size)
			for range 20_000 {
				l.step()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += 2 {
				l.step()
			}
		})
	}
}

func TestStepAllocatesAtMostOnce(t *testing.T) {
	for _, size := range stepSizes {
		l := newStepLoad(size)
		for range 20_000 {
			l.step()
		}
		if n := testing.AllocsPerRun(2000, l.step); n > 2 {
			t.Errorf("%+v: %.1f allocations in two inputs, want at most 2", size, n)
		}
	}
}
