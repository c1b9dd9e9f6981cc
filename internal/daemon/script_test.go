package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/ctl"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/standin/backend"
	"github.com/nutmegweir/nutmegweir/internal/standin/link"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"nutmegctl": func() {
			env := &ctl.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
			os.Exit(ctl.Main(context.Background(), os.Args[1:], env))
		},
		"nutmegweir": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts with each instance, the platform and each
// backend server as a separate process. Each script has its own loopback
// address, so that its ports are free.
func TestScripts(t *testing.T) {
	var scripts atomic.Int32
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			n := scripts.Add(1)
			e.Setenv("IP", fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()>>8%200, os.Getpid()%256, n))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"settings":   writeSettings,
			"ready":      waitReady,
			"members":    waitMembers,
			"links":      waitLinks,
			"pause":      pauseProcess,
			"advertise":  advertise,
			"seed":       seedPeer,
			"table":      waitTable,
			"cut":        silenceLinks,
			"refused":    checkRefused,
			"job":        submitJob,
			"starts":     checkStarts,
			"owns":       waitShardsOwned,
			"keyfor":     writeKeyOwnedBy,
			"begin":      submitJobAsync,
			"known":      waitJobFound,
			"started":    waitStarted,
			"idle":       waitIdle,
			"truth":      checkAnswerAgainstStarts,
			"forget":     stallConnections,
			"modes":      setModes,
			"quarantine": waitQuarantine,
		},
	})
}

// writeSettings writes NAME.hujson: settings NAME DOMAIN PORT DOMAIN...
func writeSettings(ts *testscript.TestScript, neg bool, args []string) {
	name, domain, port := args[0], args[1], args[2]
	ip := ts.Getenv("IP")
	domains, _ := json.Marshal(args[3:])
	text := fmt.Sprintf(`{
	// Settings of one instance in a test.
	"instance": %q, "domain": %q, "domains": %s,
	"listen": {"caller": "%[4]s:%[5]s1", "peer": "%[4]s:%[5]s2", "operator": "%[4]s:%[5]s3"},
	"platform": {"addr": "%[4]s:9000"},
	"tls": {"caller": {"plain": true}, "peer": {"plain": true}, "operator": {"plain": true}},
	"shards": {"per_domain": 8},
	"log_level": "error",
}`, name, domain, domains, ip, port)
	file := filepath.Join(ts.Getenv("WORK"), name+".hujson")
	ts.Check(os.WriteFile(file, []byte(text), 0o644))
}

// advertise sets the advertised peer address to a link stand-in's port:
// advertise NAME PORT. It edits the file that settings wrote.
func advertise(ts *testscript.TestScript, neg bool, args []string) {
	file := filepath.Join(ts.Getenv("WORK"), args[0]+".hujson")
	text, err := os.ReadFile(file)
	ts.Check(err)
	peers := fmt.Sprintf("\"peers\": {\"advertise\": \"%s:%s\"},\n\t\"shards\"", ts.Getenv("IP"), args[1])
	changed := strings.Replace(string(text), "\"shards\"", peers, 1)
	ts.Check(os.WriteFile(file, []byte(changed), 0o644))
}

// seedPeer sets another instance's peer port as a seed: seed NAME PORT. It
// edits the file that settings wrote.
func seedPeer(ts *testscript.TestScript, neg bool, args []string) {
	file := filepath.Join(ts.Getenv("WORK"), args[0]+".hujson")
	text, err := os.ReadFile(file)
	ts.Check(err)
	peers := fmt.Sprintf("\"peers\": {\"seeds\": [\"%s:%s2\"]},\n\t\"shards\"", ts.Getenv("IP"), args[1])
	changed := strings.Replace(string(text), "\"shards\"", peers, 1)
	ts.Check(os.WriteFile(file, []byte(changed), 0o644))
}

// waitTable polls until the table at the port names a customer: table PORT
// CUSTOMER.
func waitTable(ts *testscript.TestScript, neg bool, args []string) {
	url := "http://" + ts.Getenv("IP") + ":" + args[0] + "3" + operator.PathTable
	deadline := time.Now().Add(scriptTimeout)
	for !strings.Contains(getText(url), args[1]) {
		if time.Now().After(deadline) {
			ts.Fatalf("the table at %s does not name %s", url, args[1])
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func getText(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// silenceLinks turns silence of links on or off: cut on|off CONTROLPORT...
func silenceLinks(ts *testscript.TestScript, neg bool, args []string) {
	body := fmt.Sprintf(`{"silent":%v}`, args[0] == "on")
	for _, port := range args[1:] {
		putWithRetry(ts, "http://"+ts.Getenv("IP")+":"+port+link.PathMode, body)
	}
}

// putWithRetry sends a PUT to a stand-in, which may still be starting.
func putWithRetry(ts *testscript.TestScript, url, body string) {
	deadline := time.Now().Add(scriptTimeout)
	for !put(url, body) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s does not accept %s", url, body)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func put(url, body string) bool {
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// setModes sets the faults of the backend server at a port: modes PORT JSON.
func setModes(ts *testscript.TestScript, neg bool, args []string) {
	putWithRetry(ts, "http://"+ts.Getenv("IP")+":"+args[0]+backend.PathModes, args[1])
}

// waitQuarantine submits jobs that are not repeatable until the instance at the
// port has the backend server in quarantine, or with ! no longer does:
// [!] quarantine PORT SERVER.
func waitQuarantine(ts *testscript.TestScript, neg bool, args []string) {
	deadline := time.Now().Add(scriptTimeout)
	for !hasQuarantine(ts, args[0], args[1], !neg) {
		if time.Now().After(deadline) {
			ts.Fatalf("the quarantine of server %s did not change", args[1])
		}
		post(ts, args[0], scriptJob("muttrah", 20, jobKey(ts, nil)))
	}
}

// hasQuarantine reports whether the instance lists the backend server with the
// wanted quarantine state. A new instance takes a moment to list it.
func hasQuarantine(ts *testscript.TestScript, port, id string, want bool) bool {
	var list []operator.Server
	text := getText("http://" + ts.Getenv("IP") + ":" + port + "3" + operator.PathServers)
	ts.Check(json.Unmarshal([]byte(text), &list))
	for _, s := range list {
		if string(s.ID) == id {
			return s.Quarantined == want
		}
	}
	return false
}

// checkRefused submits a job that must be rejected: refused PORT HOME KIND RAN
// KEYFILE.
func checkRefused(ts *testscript.TestScript, neg bool, args []string) {
	job := scriptJob(args[1], 1, jobKey(ts, args[4:]))
	job.FirstAttempt = true
	status, text := post(ts, args[0], job)
	var p api.Problem
	ts.Check(json.Unmarshal(text, &p))
	if p.Kind != args[2] || string(p.Ran) != args[3] {
		ts.Fatalf("answered %d: %s", status, text)
	}
}

const scriptTimeout = 30 * time.Second

// waitReady polls until an operator port reports readiness: ready PORT...
func waitReady(ts *testscript.TestScript, neg bool, args []string) {
	for _, port := range args {
		url := "http://" + ts.Getenv("IP") + ":" + port + "3/readyz"
		deadline := time.Now().Add(scriptTimeout)
		for !returnsOK(url) {
			if time.Now().After(deadline) {
				ts.Fatalf("instance at %s is not ready", url)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// waitMembers polls until the instance at the port reports N members for every
// shard of its domain: members PORT N.
func waitMembers(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	waitStatus(ts, args[0], func(s *api.InstanceStatus) bool {
		for _, sh := range s.Shards {
			if memberCount(sh) != want {
				return false
			}
		}
		return len(s.Shards) > 0
	})
}

func memberCount(sh api.ShardStatus) int {
	n := 0
	if sh.Owner != "" {
		n++
	}
	if sh.Replica != "" {
		n++
	}
	return n
}

// waitLinks polls until the instance at the port has links to N others:
// links PORT N.
func waitLinks(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	waitStatus(ts, args[0], func(s *api.InstanceStatus) bool {
		n := 0
		for _, p := range s.Peers {
			if p.State == "up" {
				n++
			}
		}
		return n == want
	})
}

// waitStatus polls the status of the instance at the port until it matches.
func waitStatus(ts *testscript.TestScript, port string, matches func(*api.InstanceStatus) bool) {
	url := "http://" + ts.Getenv("IP") + ":" + port + "3" + api.PathStatus
	deadline := time.Now().Add(scriptTimeout)
	for {
		if s := getStatus(url); s != nil && matches(s) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for the expected status at %s", url)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func getStatus(url string) *api.InstanceStatus {
	resp, err := http.Get(url)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	s := &api.InstanceStatus{}
	if json.NewDecoder(resp.Body).Decode(s) != nil {
		return nil
	}
	return s
}

// pauseProcess stops or continues a process: pause PIDFILE stop|cont.
func pauseProcess(ts *testscript.TestScript, neg bool, args []string) {
	text := ts.ReadFile(args[0])
	pid, err := strconv.Atoi(strings.TrimSpace(text))
	ts.Check(err)
	sig := syscall.SIGSTOP
	if args[1] == "cont" {
		sig = syscall.SIGCONT
	}
	ts.Check(syscall.Kill(pid, sig))
}

func returnsOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// submitJob submits a job and checks that the answer is complete and belongs to
// it: job PORT HOME TASKS [KEYFILE]. The key is read from the key file, or
// written to it if it does not exist.
func submitJob(ts *testscript.TestScript, neg bool, args []string) {
	tasks, err := strconv.Atoi(args[2])
	ts.Check(err)
	job := scriptJob(args[1], tasks, jobKey(ts, args[3:]))
	status, text := post(ts, args[0], job)
	if status != http.StatusOK {
		ts.Fatalf("answered %d: %s", status, text)
	}
	var a api.Answer
	ts.Check(json.Unmarshal(text, &a))
	checkAnswer(ts, job, &a)
}

func scriptJob(home string, tasks int, key string) *api.Job {
	return jobWithRunTime(home, tasks, 20, key)
}

// jobWithRunTime returns a job whose tasks run for runMs milliseconds.
func jobWithRunTime(home string, tasks, runMs int, key string) *api.Job {
	job := &api.Job{Customer: scriptCustomer, Home: home, Kind: "route-plan", Key: key}
	for i := range tasks {
		payload := fmt.Sprintf(`{"run_ms":%d,"echo":{"task":%d}}`, runMs, i)
		job.Tasks = append(job.Tasks, json.RawMessage(payload))
	}
	return job
}

// post submits a job and returns status and body of the answer.
func post(ts *testscript.TestScript, port string, job *api.Job) (int, []byte) {
	body, err := json.Marshal(job)
	ts.Check(err)
	url := "http://" + ts.Getenv("IP") + ":" + port + "1" + api.PathJobs
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	ts.Check(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	return resp.StatusCode, text
}

func jobKey(ts *testscript.TestScript, file []string) string {
	if len(file) == 0 {
		return uuid.Must(uuid.NewV7()).String()
	}
	path := ts.MkAbs(file[0])
	if stored, err := os.ReadFile(path); err == nil {
		return string(stored)
	}
	key := uuid.Must(uuid.NewV7()).String()
	ts.Check(os.WriteFile(path, []byte(key), 0o644))
	return key
}

func checkAnswer(ts *testscript.TestScript, job *api.Job, a *api.Answer) {
	if a.Status != api.StatusComplete || len(a.Results) != len(job.Tasks) {
		ts.Fatalf("answer has status %s and %d results, want complete and %d", a.Status, len(a.Results), len(job.Tasks))
	}
	for i, r := range a.Results {
		var out backend.Output
		ts.Check(json.Unmarshal(r.Output, &out))
		want := fmt.Sprintf(`{"task":%d}`, i)
		if r.Index != i || string(out.Echo) != want {
			ts.Fatalf("result %d is of task %d with echo %s, want %s", i, r.Index, out.Echo, want)
		}
	}
}

// checkStarts checks that the backend servers started TOTAL tasks, each of them
// once: starts TOTAL PORT...
func checkStarts(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	counts := make(map[string]int)
	for _, port := range args[1:] {
		resp, err := http.Get("http://" + ts.Getenv("IP") + ":" + port + backend.PathStarts)
		ts.Check(err)
		var starts []backend.Start
		ts.Check(json.NewDecoder(resp.Body).Decode(&starts))
		_ = resp.Body.Close()
		for _, s := range starts {
			counts[s.Task] += s.Count
		}
	}
	for task, n := range counts {
		if n != 1 {
			ts.Fatalf("task %s was started %d times", task, n)
		}
	}
	if len(counts) != want {
		ts.Fatalf("%d tasks were started, want %d", len(counts), want)
	}
}
