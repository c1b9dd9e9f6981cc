//go:build ignore

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: the store, minions and instances of nutmegweir fleet.
type world struct {
	store    *store
	minions  []*minion
	nodes    []*node
	dir      string
	begun    time.Time
	trouble  bool
	verbose  bool
	behavior func(task string, attempt int, spec string) (time.Duration, string)
	settings func(map[string]any)

	mu      sync.Mutex
	out     *os.File
	runs    []*taskRun
	net     int
	onStart func(*taskRun)
}

// node is one machine with an instance.
type node struct {
	w              *world
	name, zone, ip string
	front, ready   string
	portRange      int
	gate           *gate
	cmd            *exec.Cmd
	exited         chan struct{}
	life           int
	client         *http.Client
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		cleanUp()
		os.Exit(2)
	}
}

var theWorld *world

func cleanUp() {
	if theWorld == nil {
		return
	}
	for _, n := range theWorld.nodes {
		n.kill()
	}
	os.RemoveAll(theWorld.dir)
}

const (
	host   = "nony24.example"
	prefix = "/lohu930/"

	firstService = "huvo11a"
)

// newWorld starts the store and minions in each zone, and prepares a machine in each entry
// of nodes, which is its zone.
func newWorld(record string, nodes []string, minionsPerZone, cpu int) *world {
	dir, err := os.MkdirTemp("", "review-3-")
	check(err)
	out, err := os.Create(record)
	check(err)
	w := &world{store: newStore(), dir: dir, out: out, begun: time.Now(), trouble: os.Getenv("TROUBLE") != "0", net: os.Getpid()%200 + 20}
	theWorld = w
	w.behavior = func(string, int, string) (time.Duration, string) { return 100 * time.Millisecond, "done" }
	w.store.put("op/config", config(1, 4))
	zones := map[string]bool{}
	for i, z := range nodes {
		zones[z] = true
		n := &node{w: w, name: fmt.Sprintf("edge-%s-%d", z, i+1), zone: z, ip: fmt.Sprintf("127.71.%d.%d", w.net, i+1)}
		n.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: true}}
		n.front, n.ready = n.free(), n.free()
		n.portRange = n.freeRange()
		n.gate = w.store.open(n.ip)
		w.nodes = append(w.nodes, n)
	}
	k := 0
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		for i := range minionsPerZone {
			k++
			m := &minion{w: w, id: fmt.Sprintf("i-%s%02d", z, i), addr: fmt.Sprintf("127.72.%d.%d:0", w.net, k), zone: z, rack: fmt.Sprintf("r-%s-%d", z, i/6), kind: "a", service: firstService, cpu: cpu}
			w.minions = append(w.minions, m)
		}
	}
	for _, m := range w.minions {
		m.start()
	}
	return w
}

func config(version, attempts int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-wrr6x73", "host": host, "prefix": prefix, "type": "non_idempotent", "timeoutMs": 1500,
			"sloMs": 60, "priority": 0, "service": firstService, "attempts": attempts, "stretch": 1.6}},
		"services": []any{map[string]any{"name": firstService, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func (n *node) free() string {
	l, err := net.Listen("tcp", n.ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

func (n *node) freeRange() int {
	for {
		_, port, _ := net.SplitHostPort(n.free())
		p, _ := strconv.Atoi(port)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, p+1))
		if err == nil {
			l.Close()
			return p
		}
	}
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) started(r *taskRun) {
	w.mu.Lock()
	w.runs = append(w.runs, r)
	f := w.onStart
	w.mu.Unlock()
	if w.verbose || r.attempt > 1 {
		w.record("minion %s starts %s attempt %d", r.minion.id, r.task, r.attempt)
	}
	if f != nil {
		f(r)
	}
}

// start starts the instance on a machine, with the command of the deploy file.
func (n *node) start() {
	w := n.w
	n.life++
	zones := map[string]string{}
	for _, x := range w.nodes {
		zones[x.zone] = "scot-east"
	}
	s := map[string]any{
		"node": n.name, "role": "nutmegweir", "machineClass": "edge", "serves": []string{"edge"}, "ip": n.ip, "zone": n.zone, "region": "scot-east", "zones": zones,
		"listen":    map[string]any{"front": n.front, "ready": n.ready},
		"portRange": []int{n.portRange, n.portRange + 1}, "seeds": []string{}, "bootstrap": n.life == 1, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"tolerate":  map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
			"configMs": 2000, "downgradeMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "maxHoldMs": maxHoldMs, "stopTimeoutMs": 50, "gangTimeoutMs": 3000, "cancel_ms": 3000,
			"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 1.5, "checkpointIntervalS": 2, "restoreMs": 250, "noticeMs": 4500, "moveS": 1.5,
			"maintenanceS": 2, "requireFence": true, "leaseTtlMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000, "resendMs": 1300},
		"commands": "rpc", "advice": nil,
		"platform": map[string]any{"address": n.gate.addr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
		"cloud":    nil,
	}
	if w.settings != nil {
		w.settings(s)
	}
	path := filepath.Join(w.dir, n.name+".json")
	data, err := json.Marshal(s)
	check(err)
	check(os.WriteFile(path, data, 0o600))
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/nutmegweir", "fleet")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "NUTMEGWEIR_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	log.Close()
	n.cmd, n.exited = cmd, make(chan struct{})
	exited := n.exited
	go func() {
		cmd.Wait()
		close(exited)
		w.record("instance %s has ended", n.name)
	}()
	w.record("instance %s started", n.name)
}

func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil && n.running() {
		n.w.record("signal %v to %s", s, n.name)
		n.cmd.Process.Signal(s)
	}
}

func (n *node) running() bool {
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	if n.cmd != nil && n.running() {
		n.cmd.Process.Signal(syscall.SIGCONT)
		n.cmd.Process.Kill()
		<-n.exited
	}
}

// startAll starts all instances and waits until they are ready.
func (w *world) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
	w.awaitReady(w.nodes...)
	time.Sleep(2 * time.Second)
}

func (w *world) awaitReady(nodes ...*node) {
	end := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				check(fmt.Errorf("%s is not ready", n.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

// reply is what a client got; status 0 means no answer.
type reply struct {
	status int
	state  string
	body   string
}

func (n *node) call(method, path string, body any, wait time.Duration) reply {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		check(err)
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+n.front+path, in)
	check(err)
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	c := *n.client
	c.Timeout = wait
	resp, err := c.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	var b struct {
		State string `json:"state"`
	}
	json.Unmarshal(data, &b)
	return reply{resp.StatusCode, b.State, strings.TrimSpace(string(data))}
}

// step is a step of a job in a submission.
type step map[string]any

// submit hands a kept job in until it is accepted, at one machine after the other.
func (w *world) submit(id, spec string, steps []step, nodes ...*node) bool {
	for try := range 8 {
		n := nodes[try%len(nodes)]
		r := n.call("POST", prefix+id, map[string]any{"spec": spec, "steps": steps}, 4*time.Second)
		w.record("client: POST job %s to %s -> %d %s", id, n.name, r.status, r.body)
		if r.status >= 200 && r.status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// get asks for the state of a job.
func (w *world) get(id string, n *node) reply {
	r := n.call("GET", prefix+id, nil, 3*time.Second)
	w.record("client: GET job %s at %s -> %d %s", id, n.name, r.status, r.body)
	return r
}

// finish ends all and exits with the result of the case.
func (w *world) finish(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record("result: broken=%v: %s", broken, text)
	fmt.Printf("broken=%v: %s\n", broken, text)
	if d := os.Getenv("REVIEW_KEEP_LOGS"); d != "" {
		for _, n := range w.nodes {
			data, _ := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
			os.WriteFile(filepath.Join(d, n.name+".log"), data, 0o600)
		}
	}
	cleanUp()
	w.out.Close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// runsSince counts the runs that went on at some time since t, of all jobs or of one.
func (w *world) runsSince(t time.Time, job string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, job) && (r.how == "" || r.endedAt.After(t)) {
			n++
		}
	}
	return n
}

// running returns the jobs of which a task has run for d now, in runs begun after t.
func (w *world) running(t time.Time, d time.Duration) (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if job := r.task[:16]; r.how == "" && r.startedAt.After(t) && time.Since(r.startedAt) > d && !slices.Contains(out, job) {
			out = append(out, job)
		}
	}
	return out
}

// starved applies the last part of LOST to accepted jobs whose client asks for them at the end:
// jobs that are neither completed, failed nor cancelled, and of which nothing has run for 3 s while
// no other task ran either, so that all of the capacity was free.
func (w *world) starved(jobs []string) (out []string) {
	const stall = 3 * time.Second
	time.Sleep(stall)
	begun := time.Now().Add(-stall)
	others := w.runsSince(begun, "")
	for i, id := range jobs {
		r := w.get(id, w.nodes[i%len(w.nodes)])
		if r.state == "completed" || r.state == "failed" || r.state == "cancelled" {
			continue
		}
		n := w.runsSince(begun, id)
		w.record("job %s is %q; in the last 3 s, %d runs of it went on and %d in all", id, r.state, n, others)
		if n == 0 && others == 0 {
			out = append(out, id)
		}
	}
	return out
}
