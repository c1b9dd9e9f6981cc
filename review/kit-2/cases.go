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
	"stranded": stranded,
	"crashed":  crashed,
	"pending":  pending,
	"spread":   spread,
	"cancel":   cancelled,
	"idle":     idle,
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

// stranded: a job's first step runs in one zone; the only minion of that zone that can
// run the second step is lost for good. Another zone has six such minions, all idle.
func stranded(rec *Record, trouble bool) (string, error) {
	d, err := prepare(rec, layout{{"north", "a", 5, small}, {"north", "b", 1, large}, {"south", "b", 6, large}}, "north", "south")
	if err != nil {
		return "", err
	}
	id := jobID(1)
	job := Job{Spec: "2000,500", Steps: []Step{
		{Count: 2, CPU: 14000, MemMB: 64, EstMs: 2000, Requires: "a"},
		{Count: 2, CPU: 14000, MemMB: 64, EstMs: 500, After: []int{0}, Requires: "b"},
	}}
	if a := d.ask(d.instances[0], http.MethodPost, id, job, 1500*time.Millisecond); a.status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %v", a)
	}
	time.Sleep(time.Second)
	if trouble {
		lost := d.minions[5]
		rec.say("minion %s is lost for good", lost.id)
		lost.crash()
	}
	rec.say("the traffic ends")
	time.Sleep(finish)
	// LOST: for 3 s the job has nothing running while a task's turn has come, and there is
	// capacity for it.
	idleSince := time.Now()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		a := d.ask(d.instances[1], http.MethodGet, id, nil, 1500*time.Millisecond)
		if a.state == "completed" {
			return "", nil
		}
		for _, m := range d.minions {
			if len(m.runsNow()) > 0 {
				idleSince = time.Now()
			}
		}
	}
	if idle := time.Since(idleSince); idle > 3*time.Second {
		return fmt.Sprintf("LOST: %v after the end of the traffic, no task of job %s has run for %v, though 6 idle minions can run the second step",
			(finish + 20*time.Second).Round(time.Second), id, idle.Round(time.Second)), nil
	}
	return "", nil
}

// crashed: three minions crash one after the other while the only task of a job runs
// there, and come back. No run of the task has ended as failed.
func crashed(rec *Record, trouble bool) (string, error) {
	d, err := prepare(rec, layout{{"north", "a", 8, small}}, "north", "north")
	if err != nil {
		return "", err
	}
	id := jobID(2)
	job := Job{Spec: "4000", Steps: []Step{{Count: 1, CPU: 14000, MemMB: 64, EstMs: 4000}}}
	if a := d.ask(d.instances[0], http.MethodPost, id, job, 1500*time.Millisecond); a.status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %v", a)
	}
	const crashes = 3
	seen := 0
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if a := d.ask(d.instances[1], http.MethodGet, id, nil, 1500*time.Millisecond); a.state == "completed" {
			return "", nil
		} else if a.state == "failed" || a.state == "cancelled" {
			return fmt.Sprintf("LOST: job %s is shown as %s; %d minions crashed under it, no run ended as failed, and nobody cancelled it", id, a.state, seen), nil
		}
		if starts := len(rec.all("start")); trouble && seen < crashes && starts > seen {
			time.Sleep(1500 * time.Millisecond)
			for _, m := range d.minions {
				if len(m.runsNow()) > 0 {
					seen++
					m.crash()
					time.AfterFunc(2500*time.Millisecond, func() { _ = m.restart() })
				}
			}
		}
	}
	return "", fmt.Errorf("the job has not ended")
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
	for n := range 24 {
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

// idle: an instance is killed and comes back. Another one takes its jobs over, and
// keeps them when the minions go back.
func idle(rec *Record, trouble bool) (string, error) {
	d, err := prepare(rec, layout{{"north", "a", 5, small}, {"south", "a", 7, small}}, "north", "south")
	if err != nil {
		return "", err
	}
	job := Job{Spec: "8000", Steps: []Step{{Count: 1, CPU: 16000, MemMB: 64, EstMs: 8000}}}
	waiting := map[string]bool{}
	for n := range 96 {
		id := jobID(400 + n)
		if a := d.ask(d.instances[n%2], http.MethodPost, id, job, 1500*time.Millisecond); a.status == http.StatusOK {
			waiting[id] = true
		}
	}
	if trouble {
		d.kill(d.instances[1])
		time.Sleep(3500 * time.Millisecond)
		if err := d.launch(d.instances[1]); err != nil {
			return "", err
		}
	}
	rec.say("the traffic ends")
	time.Sleep(finish)
	// LOST: for 3 s, a job has nothing running while a task's turn has come, there is
	// capacity for it twice over, and under half of the service's capacity is in use.
	since := time.Now()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, e := range rec.all("start") {
			id, _, _ := strings.Cut(e.Task, ".")
			delete(waiting, id)
		}
		runs := 0
		for _, m := range d.minions {
			runs += len(m.runsNow())
		}
		if len(waiting) == 0 {
			return "", nil
		}
		if runs >= len(d.minions) { // each minion has room for two
			since = time.Now()
		}
		if span := time.Since(since); span > 3*time.Second {
			return fmt.Sprintf("LOST: for %v, %d jobs wait for their only task to start while %d runs use %d of %d minions",
				span.Round(100*time.Millisecond), len(waiting), runs, (runs+1)/2, len(d.minions)), nil
		}
	}
	return "", nil
}
