package fleet

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// queuedJob puts a job into the queue of an instance whose only server is full.
func queuedJob(p *pool, id string, priority int, estimate time.Duration, d model.Domain, now Time) *job {
	spec := shortJob(now)
	spec.ID, spec.Priority, spec.Steps[0].Estimate = id, priority, estimate
	j := newJob(spec, Member{Instance: model.Instance(d), Domain: d}, 1)
	p.noteOffered(j, now)
	p.queue = append(p.queue, j)
	return j
}

func queueIDs(p *pool) (ids []string) {
	for _, j := range p.queue {
		ids = append(ids, j.spec.ID)
	}
	return ids
}

// TestEqualPrioritiesKeepTheOrder fails if floors, sizes or bookings change anything for
// a service whose jobs have one priority.
func TestEqualPrioritiesKeepTheOrder(t *testing.T) {
	for _, priority := range []int{0, 3} {
		i, now := oneServer(t, 500)
		p := i.pool
		startOne(t, i, now)
		p.shortage = shortage{} // its priority is 0
		for k := range 20 {
			j := queuedJob(p, fmt.Sprint(k), priority, time.Duration(50+k*37%100)*time.Millisecond, model.Domain(fmt.Sprint("d", k%3)), now)
			if p.sizeFactor(j) != 1 || p.fitsBesideQueue(j, now) || p.retryAfter(j, 3*time.Millisecond, now) != 3*time.Millisecond {
				t.Fatal("a job is treated by its priority")
			}
		}
		for range 30 {
			p.chargeStart(p.queue[0].steps[0].queued[0])
		}
		want := slices.SortedStableFunc(slices.Values(p.queue), func(a, b *job) int { return int(p.latestStart(a) - p.latestStart(b)) })
		p.sortQueue(now)
		if !slices.Equal(p.queue, want) {
			t.Errorf("priority %d: order %v", priority, queueIDs(p))
		}
		ahead := 0.0
		for _, j := range want[:10] {
			ahead += j.queuedWork()
		}
		if wait := p.expectedWait(want[10], now); math.Abs(milliseconds(wait)-ahead/p.workRate(now)) > 0.001 {
			t.Errorf("priority %d: wait %v for %.0f of work", priority, wait, ahead)
		}
	}
}

// TestQueueOrderByPriority fails if a job precedes a more urgent one, except by a floor's
// claim, or for a job that has started; or if late jobs precede others.
func TestQueueOrderByPriority(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *pool, jobs map[string]*job)
		want   []string
	}{
		"by priority, then slack": {func(*pool, map[string]*job) {}, []string{"high long", "mid short", "mid long", "low"}},
		"started first":           {func(_ *pool, jobs map[string]*job) { jobs["low"].starts = 1 }, []string{"low", "high long", "mid short", "mid long"}},
		"late last":               {func(_ *pool, jobs map[string]*job) { jobs["high long"].due = 0 }, []string{"mid short", "mid long", "low", "high long"}},
		"floor of the lowest":     {func(p *pool, _ map[string]*job) { p.shortage["svc"].priorities[2].credit = 1 }, []string{"low", "high long", "mid short", "mid long"}},
		"floor of a domain":       {func(p *pool, _ map[string]*job) { p.shortage["svc"].domains["d2"].credit = 1 }, []string{"high long", "mid long", "mid short", "low"}},
	} {
		i, now := oneServer(t, 500)
		p, jobs := i.pool, map[string]*job{}
		startOne(t, i, now)
		for _, x := range []struct {
			id       string
			priority int
			estimate time.Duration
			domain   model.Domain
		}{{"low", 2, 20, "d1"}, {"mid long", 1, 60, "d2"}, {"mid short", 1, 40, "d1"}, {"high long", 0, 90, "d1"}} {
			jobs[x.id] = queuedJob(p, x.id, x.priority, x.estimate*time.Millisecond, x.domain, now)
		}
		c.change(p, jobs)
		p.sortQueue(now)
		if got := queueIDs(p); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestFloorsHold starts work in turn while all of it waits. Without the floors, only the
// highest priority and its first domain would start.
func TestFloorsHold(t *testing.T) {
	s, started := shortage{}, map[string]float64{}
	works := []float64{500, 1500, 9000} // by priority
	domains := []model.Domain{"a", "b", "c"}
	for k, w := range works {
		for _, d := range domains {
			s.offered("svc", k, d, w, 1)
		}
	}
	f := s.prioritized("svc")
	f.bound = 30000
	total := 0.0
	for range 5000 {
		best, priority, domain := turn{priority: math.MaxInt}, 0, domains[0]
		for k := range works {
			for _, d := range domains {
				f.waits(k, d)
				if x := f.turnOf(k, d); x.compare(best) < 0 {
					best, priority, domain = x, k, d
				}
			}
		}
		f.started(priority, domain, works[priority])
		started[fmt.Sprint(priority)] += works[priority]
		started[string(domain)] += works[priority]
		total += works[priority]
	}
	for k, least := range map[string]float64{"0": maxPriorityFloor, "1": maxPriorityFloor, "2": maxPriorityFloor, "a": domainFloor, "b": domainFloor, "c": domainFloor} {
		if share := started[k] / total; share < least-0.01 {
			t.Errorf("%s has %.3f of the started work, want %.3f", k, share, least)
		}
	}
}

// TestWaitCountsOnlyPrecedingWork fails if a job is rejected for work that starts after it.
func TestWaitCountsOnlyPrecedingWork(t *testing.T) {
	for name, c := range map[string]struct {
		before queuedBefore
		want   float64
	}{
		"nothing ahead":              {queuedBefore{floor: 0.25}, 0},
		"own priority":               {queuedBefore{equal: 100, floor: 0.25}, 10},
		"a lower one keeps its part": {queuedBefore{equal: 75, lower: 1, floor: 0.25}, 10},
		"higher ones":                {queuedBefore{higher: 100, equal: 100, floor: 0.25}, 20},
		"floor serves sooner":        {queuedBefore{higher: 1000, equal: 100, floor: 0.25}, 40},
		"debt of the floor":          {queuedBefore{higher: 1000, equal: 100, floor: 0.25, credit: -50}, 60},
	} {
		if got := c.before.wait(10); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestRejectedCallersReturnApart rejects jobs together. Their callers would return together
// and be rejected again if all had the same Retry-After.
func TestRejectedCallersReturnApart(t *testing.T) {
	i, now := oneServer(t, 500)
	p := i.pool
	startOne(t, i, now)
	queuedJob(p, "other", 0, 50*time.Millisecond, "d", now)
	seconds := map[time.Duration]int{}
	for k := range 200 {
		j := queuedJob(p, fmt.Sprint(k), 2, 50*time.Millisecond, "d", now)
		p.queue = p.queue[:1]
		after := p.retryAfter(j, 20*time.Millisecond, now)
		if after < minRetryAfter || after > 2*maxBookedWait {
			t.Fatalf("told to return after %v", after)
		}
		seconds[after.Truncate(time.Second)]++
	}
	for at, n := range seconds {
		if n > 100 {
			t.Errorf("%d of 200 return within the second after %v", n, at)
		}
	}
}
