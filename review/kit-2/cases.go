package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

var cases = map[string]Case{
	"reborn":  reborn,
	"cancel":  cancelled,
	"pending": pending,
	"spread":  spread,
}

// Bounds of the deployment, see fleet.go.
const (
	visible = 3 * time.Second
	finish  = 14 * time.Second
	contact = 3 * time.Second
	// cancelTime is cancel_ms.
	cancelTime = 3 * time.Second
)

var (
	small = Room{CPU: 32000, MemMB: 65536}
	large = Room{CPU: 48000, MemMB: 98304}
)

// fixed returns the work of tasks whose spec lists the milliseconds of each step.
func fixed(task, spec string, _ int) (time.Duration, string) {
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	ms, _ := strconv.Atoi(strings.Split(spec, ",")[step])
	return time.Duration(ms) * time.Millisecond, "done"
}

// layout lists the minions of a deployment.
type layout []struct {
	zone, kind string
	n          int
	room       Room
}

// prepare starts a deployment with an instance in each of the zones, which may repeat,
// and waits until it serves.
func prepare(rec *Record, minions layout, zones ...string) (*Deployment, error) {
	d, err := newDeployment(rec, zones...)
	if err != nil {
		return nil, err
	}
	d.work = fixed
	d.configure(7, 4)
	for _, m := range minions {
		if err := d.addMinions(m.zone, m.kind, m.n, m.room); err != nil {
			return nil, err
		}
	}
	for n, zone := range zones {
		if _, err := d.addInstance(fmt.Sprintf("edge-%s-%d", zone, n+1), zone); err != nil {
			return nil, err
		}
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	if err := d.awaitOwners(len(d.minions), 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	return d, nil
}

// pending: the instance that holds all jobs is killed and comes back. Meanwhile another
// instance is asked how many jobs have not begun.
func pending(rec *Record, trouble bool) (string, error) {
	d, err := prepare(rec, layout{{"north", "a", 6, small}}, "north", "south")
	if err != nil {
		return "", err
	}
	holder, asked := d.instances[0], d.instances[1]
	job := Job{Spec: "25000", Steps: []Step{{Count: 1, CPU: 16000, MemMB: 64, EstMs: 25000}}}
	accepted := map[string]time.Duration{}
	for n := range 32 {
		id := jobID(100 + n)
		if a := d.ask(holder, http.MethodPost, id, job, 1500*time.Millisecond); a.status == http.StatusOK {
			accepted[id] = rec.now()
		}
	}
	time.Sleep(visible + 3*time.Second)
	broken := ""
	check := func() {
		sent := rec.now()
		a := d.ask(asked, http.MethodGet, "", nil, 1500*time.Millisecond)
		begun := map[string]bool{}
		for _, e := range rec.all("start") {
			begun[strings.Split(e.Task, ".")[0]] = true
		}
		waiting := 0
		for id, at := range accepted {
			if !begun[id] && at < sent-visible-2*time.Second {
				waiting++
			}
		}
		if a.status == http.StatusOK && a.pending*2 < waiting && broken == "" {
			broken = fmt.Sprintf("MIXED: %s gives %d jobs as pending; %d were accepted over 5 s before and have not begun", asked.name, a.pending, waiting)
		}
		rec.add("waiting", "-", "-", 0, strconv.Itoa(waiting))
	}
	ask := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			check()
		}
	}
	ask(2 * time.Second)
	if trouble {
		d.kill(holder)
	}
	ask(3500 * time.Millisecond)
	if trouble {
		if err := d.launch(holder); err != nil {
			return "", err
		}
	}
	ask(6 * time.Second)
	return broken, nil
}

// spread: jobs allow one task for each minion. Three of 24 minions are lost for good.
func spread(rec *Record, trouble bool) (string, error) {
	d, err := prepare(rec, layout{{"north", "a", 12, small}, {"south", "a", 12, small}}, "north", "south")
	if err != nil {
		return "", err
	}
	if trouble {
		for _, n := range []int{3, 7, 17} {
			d.minions[n].crash()
		}
	}
	time.Sleep(8 * time.Second)
	job := Job{Spec: "600", BestEffort: true, Steps: []Step{{Count: 12, CPU: 8000, MemMB: 64, EstMs: 600, MaxPerServer: 1}}}
	for n := range 20 {
		d.ask(d.instances[n%2], http.MethodPost, jobID(200+n), job, 3*time.Second)
		time.Sleep(300 * time.Millisecond)
	}
	// ROUTE: a start beyond maxPerServer. A run counts from its start until it has ended.
	at := map[string]map[string]bool{}
	for _, e := range rec.all("") {
		if e.Run == 0 {
			continue
		}
		job := e.Who + "/" + strings.Split(e.Task, ".")[0]
		if at[job] == nil {
			at[job] = map[string]bool{}
		}
		switch e.Kind {
		case "start":
			at[job][e.Task] = true
			if len(at[job]) > 1 {
				return fmt.Sprintf("ROUTE: at %.3f s minion %s starts %s while another task of the step, which allows one for each minion, runs there", e.At.Seconds(), e.Who, e.Task), nil
			}
		case "noted":
		default:
			delete(at[job], e.Task)
		}
	}
	return "", nil
}

// cancelled: the store is silent for some seconds. Clients that got no answer to their
// submissions cancel them, until that is acknowledged.
func cancelled(rec *Record, trouble bool) (string, error) {
	d, err := prepare(rec, layout{{"north", "a", 12, large}}, "north", "north")
	if err != nil {
		return "", err
	}
	const outage = 4500 * time.Millisecond
	back := time.Now()
	if trouble {
		rec.say("the store falls silent")
		d.store.silent.Store(true)
		back = back.Add(outage)
		time.AfterFunc(outage, func() {
			d.store.silent.Store(false)
			rec.say("the store is back")
		})
	}
	job := Job{Spec: "5000,1000", Steps: []Step{
		{Count: 1, CPU: 4000, MemMB: 64, EstMs: 5000},
		{Count: 1, CPU: 4000, MemMB: 64, EstMs: 1000, After: []int{0}},
	}}
	var clients sync.WaitGroup
	var mu sync.Mutex
	acknowledged := map[string]time.Duration{}
	for n := range 36 {
		id := jobID(300 + n)
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 30 * time.Millisecond)
			i := d.instances[n%2]
			d.ask(i, http.MethodPost, id, job, 1500*time.Millisecond)
			for a := (answer{}); a.status != http.StatusOK && a.status != http.StatusGone; {
				time.Sleep(300 * time.Millisecond)
				a = d.ask(i, http.MethodDelete, id, nil, 1500*time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			acknowledged[id] = rec.now()
		})
	}
	clients.Wait()
	time.Sleep(time.Until(back) + 12*time.Second)
	// UNASKED: a machine in touch starts a task later than cancel_ms after the job's
	// cancelling was acknowledged.
	inTouch := back.Sub(rec.start) + contact
	late, first := 0, ""
	for _, e := range rec.all("start") {
		id, _, _ := strings.Cut(e.Task, ".")
		if at, ok := acknowledged[id]; ok && e.At > at+cancelTime && e.At > inTouch {
			late++
			if first == "" {
				first = fmt.Sprintf("%s starts at %.3f s, and its job's cancelling was acknowledged at %.3f s", e.Task, e.At.Seconds(), at.Seconds())
			}
		}
	}
	if late > 0 {
		return fmt.Sprintf("UNASKED: %d tasks of cancelled jobs: %s", late, first), nil
	}
	return "", nil
}

// reborn: a minion is cut off, crashes behind the cut and starts again. The cut doesn't
// end before the minion is lost for good.
func reborn(rec *Record, trouble bool) (string, error) {
	d, err := prepare(rec, layout{{"north", "a", 12, small}}, "north", "north")
	if err != nil {
		return "", err
	}
	job := Job{Spec: "4000", Steps: []Step{{Count: 1, CPU: 20000, MemMB: 64, EstMs: 4000}}}
	var ids []string
	for n := range 12 {
		id := jobID(500 + n)
		if a := d.ask(d.instances[n%2], http.MethodPost, id, job, 1500*time.Millisecond); a.status == http.StatusOK {
			ids = append(ids, id)
		}
	}
	time.Sleep(time.Second)
	if trouble {
		m := d.minions[6]
		rec.say("minion %s is cut off while it runs %v", m.id, m.runsNow())
		m.cutOff()
		time.Sleep(100 * time.Millisecond)
		m.crash()
		if err := m.restart(); err != nil {
			return "", err
		}
		time.Sleep(2 * time.Second)
		rec.say("minion %s is lost for good", m.id)
		m.crash()
	}
	rec.say("the traffic ends")
	time.Sleep(finish)
	open, since := "", time.Now()
	for time.Since(since) < 20*time.Second {
		open = ""
		for _, id := range ids {
			if a := d.ask(d.instances[0], http.MethodGet, id, nil, 1500*time.Millisecond); a.state != "completed" {
				open += " " + id
			}
		}
		if open == "" {
			return "", nil
		}
		for _, m := range d.minions {
			if len(m.runsNow()) > 0 {
				since = time.Now()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Sprintf("LOST: %v after the end of the traffic, no task of%s has run for 20 s, though 11 minions are idle", finish+20*time.Second, open), nil
}
