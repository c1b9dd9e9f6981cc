package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// room is the capacity of a minion of the site.
var room = resources{CPU: 16000, MemMB: 32768}

// finish is finish_s of the site.
const finish = 14 * time.Second

// stuck is how long a job may have nothing running.
const stuck = 3 * time.Second

func job(ms int, steps ...step) jobBody {
	return jobBody{Spec: fmt.Sprintf(`{"ms":%d}`, ms), Steps: steps}
}

// zoneOf adds the minions of a zone: first others of kind a, then some of kind b.
func (t *test) zoneOf(zone string, a, b int) (ofA, ofB []*minion) {
	for i := range a + b {
		kind := "a"
		if i >= a {
			kind = "b"
		}
		m := t.minion(fmt.Sprintf("i-%s%d", zone, i+1), zone, room, kind, "r-"+zone)
		if kind == "a" {
			ofA = append(ofA, m)
		} else {
			ofB = append(ofB, m)
		}
	}
	return ofA, ofB
}

// twoZones starts two instances, and minions of kinds a and b in their zones. It returns the
// instances and the minions of kind b in the first zone.
func (t *test) twoZones(a1, b1, a2, b2 int) (first, second *node, ofB []*minion) {
	first, second = t.instance("edge-muttrah-1", "muttrah"), t.instance("edge-seeb-1", "seeb")
	_, ofB = t.zoneOf(first.zone, a1, b1)
	t.zoneOf(second.zone, a2, b2)
	t.must(first.up())
	t.must(second.up())
	t.awaitReady(first, second)
	return first, second, ofB
}

// runningOn returns the minion that runs a task of a job, nil if there is none.
func (t *test) runningOn(id string) *minion {
	for _, m := range t.minions {
		if _, n := m.running(id); n > 0 {
			return m
		}
	}
	return nil
}

// awaitRun waits until a task of a job runs.
func (t *test) awaitRun(id string, limit time.Duration) *minion {
	var m *minion
	if !until(limit, func() bool { m = t.runningOn(id); return m != nil }) {
		t.broken("no task of job %s was started within %v", id, limit)
	}
	return m
}

// idleFor reports whether a job has nothing running for a time.
func (t *test) idleFor(id string, d time.Duration) bool {
	return !until(d, func() bool { return t.runningOn(id) != nil })
}

// usedShare returns the share of the CPU capacity in use, if each run takes so much.
func (t *test) usedShare(milli int) float64 {
	used, all := 0, 0
	for _, m := range t.minions {
		n, _ := m.running("")
		m.mu.Lock()
		if m.life != nil {
			used, all = used+n*milli, all+m.capacity.CPU
		}
		m.mu.Unlock()
	}
	return float64(used) / float64(all)
}

// judgeLost judges an accepted job that nobody has cancelled, finish_s after the end of the traffic.
func (t *test) judgeLost(asked []*node, id string) {
	t.log("the traffic has ended; jobs are asked for in %v", finish)
	time.Sleep(finish)
	var a answer
	for _, n := range asked {
		a = t.state(n, id)
	}
	if a.state == "completed" {
		t.verdict(false, "job %s is completed", id)
	}
	idle := t.idleFor(id, stuck)
	share := t.usedShare(1000)
	again := t.state(asked[0], id)
	t.log("share of the capacity in use: %.2f", share)
	if again.state == "completed" || !idle {
		t.verdict(false, "job %s goes on", id)
	}
	t.verdict(true, "LOST: %v after the end of the traffic, job %s is shown as %q and had nothing running for %v, with %.0f%% of the capacity in use",
		finish, id, again.state, stuck, 100*share)
}

// twoHolders: the store turns one of three instances away while an instance is added.
func twoHolders(t *test) {
	const id = "5c0e7a21d94b36f8"
	h := t.instance("edge-seeb-1", "seeb")
	m1 := t.instance("edge-muttrah-1", "muttrah")
	m2 := t.instance("edge-muttrah-2", "muttrah")
	added := t.instance("edge-ruwi-1", "ruwi")
	for _, z := range []string{"muttrah", "seeb", "ruwi"} {
		t.zoneOf(z, 4, 0)
	}
	for _, n := range []*node{h, m1, m2} {
		t.must(n.up())
	}
	t.awaitReady(h, m1, m2)
	t.submit(h, id, job(10000, step{Count: 1, CPU: 2000, MemMB: 64, EstMs: 10000}))
	t.awaitRun(id, 3*time.Second)
	if !bytes.Contains(t.store.value("nutmegweir-jobs/"+id), []byte(h.name)) {
		t.log("note: the job isn't held by %s", h.name)
	}
	time.Sleep(500 * time.Millisecond)
	if t.trouble {
		t.log("the store turns %s away (429)", h.name)
		h.gate.turnAway(http.StatusTooManyRequests)
	}
	time.AfterFunc(9*time.Second, func() { h.gate.turnAway(0) })
	time.Sleep(2500 * time.Millisecond)
	t.log("instance %s is added", added.name)
	t.must(added.up())
	var a, b runRecord
	found := until(14*time.Second, func() (ok bool) {
		a, b, ok = t.overlaps(id)
		return ok
	})
	if found {
		time.Sleep(time.Second)
		t.state(m1, id)
		t.verdict(true, "TWICE: %s attempt %d runs on %s since %.3f, and attempt %d on %s since %.3f, both minions up",
			a.task, a.attempt, a.minion, t.since(a.start), b.attempt, b.minion, t.since(b.start))
	}
	s := t.state(m1, id)
	t.verdict(false, "no two runs at the same time; the job is %q", s.state)
}

// scaleIn: the only minion of a kind in a zone leaves, as planned, while others of its kind are idle elsewhere.
func scaleIn(t *test) {
	const id = "5c0e7a21d94b36f8"
	a, b, ofB := t.twoZones(5, 1, 0, 6)
	t.submit(a, id, job(4000,
		step{Count: 1, CPU: 1000, MemMB: 64, EstMs: 4000, Requires: "a"},
		step{Count: 1, CPU: 1000, MemMB: 64, EstMs: 4000, Requires: "b", After: []int{0}}))
	t.awaitRun(id, 3*time.Second)
	if t.trouble {
		ofB[0].drain(3 * time.Second)
	}
	t.judgeLost([]*node{a, b}, id)
}

// trial: a minion fails what it starts for some seconds; the first job that it gets after that is cancelled.
func trial(t *test) {
	const first, cancelled, last = "00000000000000a%d", "5c0e7a21d94b36f7", "5c0e7a21d94b36f8"
	a, b, ofB := t.twoZones(5, 1, 6, 0)
	one := step{Count: 1, CPU: 1000, MemMB: 64, EstMs: 100, Requires: "b"}
	if t.trouble {
		ofB[0].setFailing(true)
	}
	began := time.Now()
	for i := range 4 {
		id := fmt.Sprintf(first, i)
		t.submit(a, id, job(100, one))
		until(5*time.Second, func() bool {
			time.Sleep(50 * time.Millisecond)
			s := t.state(a, id).state
			return s == "completed" || s == "failed"
		})
	}
	time.Sleep(time.Until(began.Add(6500 * time.Millisecond))) // for_s of the site
	ofB[0].setFailing(false)
	time.Sleep(3 * time.Second)
	one.EstMs = 3000
	t.submit(a, cancelled, job(3000, one))
	t.awaitRun(cancelled, 10*time.Second)
	time.Sleep(time.Second)
	t.call(a, http.MethodDelete, cancelled, nil, 3*time.Second)
	time.Sleep(time.Second)
	one.EstMs = 200
	t.submit(a, last, job(200, one))
	t.judgeLost([]*node{a, b}, last)
}

// suspect: a minion crashes under ten short jobs, and starts again 3 s later.
func suspect(t *test) {
	const jobs, ms = 60, 4000
	a, b, _ := t.twoZones(6, 0, 6, 0)
	var ids []string
	for i := range jobs {
		ids = append(ids, fmt.Sprintf("5c0e7a21d94b3%03x", i))
		t.submit(a, ids[i], job(ms, step{Count: 1, CPU: 1500, MemMB: 64, EstMs: ms}))
	}
	time.Sleep(500 * time.Millisecond)
	if t.trouble {
		m := t.busiest()
		m.crash()
		time.AfterFunc(3*time.Second, func() { t.must(m.up()) })
	}
	t.judgeAll(b, ids, 1500)
}

// judgeAll judges accepted jobs of one task that nobody has cancelled, finish_s after the end of the traffic.
func (t *test) judgeAll(asked *node, ids []string, milli int) {
	t.log("the traffic has ended; jobs are asked for in %v", finish)
	time.Sleep(finish)
	open := t.openJobs(asked, ids)
	share := 0.0 // the largest share of the capacity in use meanwhile
	for end := time.Now().Add(stuck); time.Now().Before(end) && len(open) > 0; time.Sleep(10 * time.Millisecond) {
		share = max(share, t.usedShare(milli))
		for id := range open {
			if t.runningOn(id) != nil {
				delete(open, id) // it goes on
			}
		}
	}
	lost := len(t.openJobs(asked, slices.Collect(maps.Keys(open))))
	t.verdict(lost > 0 && share < 0.5, "(LOST) %v after the end of the traffic, %d of %d jobs aren't completed and had nothing running for %v, with %.0f%% of the capacity in use",
		finish, lost, len(ids), stuck, 100*share)
}

// openJobs asks for the states of jobs, all at once, and returns those that aren't completed.
func (t *test) openJobs(asked *node, ids []string) map[string]bool {
	open := map[string]bool{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, id := range ids {
		all.Go(func() {
			if t.state(asked, id).state != "completed" {
				mu.Lock()
				defer mu.Unlock()
				open[id] = true
			}
		})
	}
	all.Wait()
	return open
}

// busiest returns the minion with the most runs.
func (t *test) busiest() *minion {
	best, most := t.minions[0], 0
	for _, m := range t.minions {
		if n, _ := m.running(""); n > most {
			best, most = m, n
		}
	}
	return best
}

// restart: one of three instances is restarted as planned while jobs wait at each.
func restart(t *test) {
	const jobs, ms = 240, 4000
	nodes := []*node{t.instance("edge-muttrah-1", "muttrah"), t.instance("edge-seeb-1", "seeb"), t.instance("edge-ruwi-1", "ruwi")}
	for _, n := range nodes {
		t.zoneOf(n.zone, 4, 0)
		t.must(n.up())
	}
	t.awaitReady(nodes...)
	var ids []string
	for i := range jobs {
		ids = append(ids, fmt.Sprintf("5c0e7a21d94b3%03x", i))
		t.submit(nodes[i%len(nodes)], ids[i], job(ms, step{Count: 1, CPU: 4000, MemMB: 64, EstMs: ms}))
	}
	a := nodes[0]
	if t.trouble {
		a.signal(syscall.SIGTERM)
		select {
		case <-a.done:
		case <-time.After(6 * time.Second):
			a.kill()
		}
		time.Sleep(300 * time.Millisecond)
		t.must(a.up())
	}
	t.judgeAll(nodes[1], ids, 4000)
}

// kind: a minion crashes and starts again at once, under its id but as a minion of another kind.
func kind(t *test) {
	const jobs, ms = 12, 1000
	a, _, ofB := t.twoZones(4, 2, 6, 0)
	for i := range jobs {
		t.submit(a, fmt.Sprintf("5c0e7a21d94b3%03x", i), job(ms, step{Count: 1, CPU: 16000, MemMB: 64, EstMs: ms, Requires: "b"}))
	}
	time.Sleep(500 * time.Millisecond)
	m := ofB[0]
	born := time.Now()
	if t.trouble {
		m.crash()
		time.Sleep(100 * time.Millisecond)
		m.mu.Lock()
		m.labels = []string{"a", "r-muttrah"}
		m.mu.Unlock()
		born = time.Now()
		t.must(m.up())
	}
	time.Sleep(14 * time.Second)
	wrong := 0
	for i := range jobs {
		for _, r := range t.runsOf(fmt.Sprintf("5c0e7a21d94b3%03x", i)) {
			if t.trouble && r.minion == m.id && r.start.After(born) {
				wrong++
			}
		}
	}
	t.verdict(wrong > 0, "(ROUTE) %d starts of tasks that require b on %s in its life as a minion of kind a", wrong, m.id)
}

// pending: the instance that holds queued jobs is killed.
func pending(t *test) {
	const full, waiting, jobs = "5c0e7a21d94b36f7", "00000000000000b%d", 8
	a, b, _ := t.twoZones(5, 1, 6, 0)
	all := step{Count: 1, CPU: 16000, MemMB: 64, EstMs: 20000, Requires: "b"}
	t.submit(a, full, job(20000, all))
	t.awaitRun(full, 3*time.Second)
	for i := range jobs {
		t.submit(a, fmt.Sprintf(waiting, i), job(20000, all))
	}
	time.Sleep(6 * time.Second) // visible_ms + 2 s, and a little
	t.call(a, http.MethodGet, "", nil, 3*time.Second)
	t.call(b, http.MethodGet, "", nil, 3*time.Second)
	if t.trouble {
		a.signal(syscall.SIGKILL)
		<-a.done
		time.AfterFunc(3500*time.Millisecond, func() { t.must(a.up()) })
	}
	least := jobs
	for range 25 {
		got := t.call(b, http.MethodGet, "", nil, 3*time.Second)
		begun := 0
		for i := range jobs {
			if len(t.runsOf(fmt.Sprintf(waiting, i))) > 0 {
				begun++
			}
		}
		if begun == 0 && got.status == http.StatusOK {
			var v struct{ Pending int }
			if err := json.NewDecoder(strings.NewReader(got.body)).Decode(&v); err == nil {
				least = min(least, v.Pending)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.verdict(2*least < jobs, "MIXED: %s gives %d as pending, of %d jobs accepted over 5 s before that haven't begun", b.name, least, jobs)
}
