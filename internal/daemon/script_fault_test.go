package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/backendapi"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
	"github.com/nutmegweir/nutmegweir/internal/standin/backend"
	"github.com/nutmegweir/nutmegweir/internal/standin/link"
)

const (
	scriptCustomer = "rosehill"
	pollInterval   = 20 * time.Millisecond
)

// poll waits until a condition holds.
func poll(ts *testscript.TestScript, what string, holds func() bool) {
	deadline := time.Now().Add(scriptTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// waitShardsOwned polls the instance at PORT until it reports that OWNER owns N
// shards: owns PORT OWNER N.
func waitShardsOwned(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[2])
	ts.Check(err)
	waitStatus(ts, args[0], func(s *api.InstanceStatus) bool {
		n := 0
		for _, sh := range s.Shards {
			if sh.Owner == args[1] {
				n++
			}
		}
		return n == want
	})
}

// writeKeyOwnedBy writes a key whose shard is owned by OWNER according to the
// instance at PORT: keyfor PORT OWNER HOME KEYFILE.
func writeKeyOwnedBy(ts *testscript.TestScript, neg bool, args []string) {
	const maxAttempts = 10_000
	var shards []api.ShardStatus
	if s := getStatus("http://" + ts.Getenv("IP") + ":" + args[0] + "3" + api.PathStatus); s != nil {
		shards = s.Shards
	}
	for range maxAttempts {
		key := uuid.Must(uuid.NewV7())
		id := &peerpb.Identity{Customer: scriptCustomer, Home: args[2], Key: key[:]}
		if len(shards) > 0 && shards[shard.IdentityHash(id)%uint64(len(shards))].Owner == args[1] {
			ts.Check(os.WriteFile(ts.MkAbs(args[3]), []byte(key.String()), 0o644))
			return
		}
	}
	ts.Fatalf("%s owns no shard", args[1])
}

// jobFromArgs builds a job from the arguments HOME TASKS RUN_MS KEYFILE.
func jobFromArgs(ts *testscript.TestScript, args []string) *api.Job {
	tasks, err := strconv.Atoi(args[1])
	ts.Check(err)
	runMs, err := strconv.Atoi(args[2])
	ts.Check(err)
	return jobWithRunTime(args[0], tasks, runMs, jobKey(ts, args[3:4]))
}

// submitJobAsync submits a job without waiting for the answer, which may never
// arrive: begin PORT HOME TASKS RUN_MS KEYFILE.
func submitJobAsync(ts *testscript.TestScript, neg bool, args []string) {
	body, err := json.Marshal(jobFromArgs(ts, args[1:]))
	ts.Check(err)
	url := "http://" + ts.Getenv("IP") + ":" + args[0] + "1" + api.PathJobs
	go func() {
		resp, err := http.Post(url, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// waitJobFound polls an instance until it finds the job: known PORT HOME KEYFILE.
func waitJobFound(ts *testscript.TestScript, neg bool, args []string) {
	path := fmt.Sprintf("/%s/%s/%s", args[1], scriptCustomer, jobKey(ts, args[2:]))
	url := "http://" + ts.Getenv("IP") + ":" + args[0] + "1" + api.PathJobs + path
	poll(ts, "the job", func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode < http.StatusBadRequest
	})
}

// startsByTask returns the number of starts of each task of a key.
func startsByTask(ts *testscript.TestScript, key string, ports []string) map[string]int {
	counts := make(map[string]int)
	for _, port := range ports {
		resp, err := http.Get("http://" + ts.Getenv("IP") + ":" + port + backend.PathStarts)
		ts.Check(err)
		var starts []backend.Start
		err = json.NewDecoder(resp.Body).Decode(&starts)
		_ = resp.Body.Close()
		ts.Check(err)
		for _, s := range starts {
			if strings.Contains(s.Task, key) {
				counts[s.Task[strings.LastIndex(s.Task, "/")+1:]] += s.Count
			}
		}
	}
	return counts
}

// waitStarted polls until N tasks of a key have started: started N KEYFILE
// BACKENDPORT...
func waitStarted(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	key := jobKey(ts, args[1:2])
	poll(ts, "starts", func() bool { return len(startsByTask(ts, key, args[2:])) >= want })
}

// waitIdle polls until a backend server runs no task: idle BACKENDPORT.
func waitIdle(ts *testscript.TestScript, neg bool, args []string) {
	url := "http://" + ts.Getenv("IP") + ":" + args[0] + backendapi.PathHealth
	poll(ts, "the end of all tasks", func() bool {
		var h backendapi.Health
		return json.Unmarshal([]byte(getText(url)), &h) == nil && h.Busy == 0
	})
}

// stallConnections permanently stalls the open connections of links; new ones
// work: forget CONTROLPORT...
func stallConnections(ts *testscript.TestScript, neg bool, args []string) {
	for _, port := range args {
		if !put("http://"+ts.Getenv("IP")+":"+port+link.PathMode, `{"forget":true}`) {
			ts.Fatalf("the link at %s does not answer", port)
		}
	}
}

// checkAnswerAgainstStarts resubmits a job twice and compares the answer with
// the starts at the backend servers: truth PORT HOME TASKS RUN_MS KEYFILE
// complete|failed|any BACKENDPORT...
func checkAnswerAgainstStarts(ts *testscript.TestScript, neg bool, args []string) {
	job := jobFromArgs(ts, args[1:5])
	status, text := post(ts, args[0], job)
	if status2, text2 := post(ts, args[0], job); status2 != status || !bytes.Equal(text, text2) {
		ts.Fatalf("answered %s, then %s", text, text2)
	}
	starts := startsByTask(ts, job.Key, args[6:])
	for task, n := range starts {
		if n != 1 {
			ts.Fatalf("task %s was started %d times", task, n)
		}
	}
	got := "failed"
	if status == http.StatusOK {
		got = "complete"
		checkComplete(ts, job, text, starts)
	} else {
		checkFailed(ts, job, text, starts)
	}
	if args[5] != "any" && args[5] != got {
		ts.Fatalf("answered %s, want %s: %s", got, args[5], text)
	}
}

func checkComplete(ts *testscript.TestScript, job *api.Job, text []byte, starts map[string]int) {
	var a api.Answer
	ts.Check(json.Unmarshal(text, &a))
	checkAnswer(ts, job, &a)
	if len(starts) != len(job.Tasks) {
		ts.Fatalf("complete with %d of %d tasks started", len(starts), len(job.Tasks))
	}
}

// checkFailed checks that the answer is final and has an outcome for every task
// that agrees with the starts.
func checkFailed(ts *testscript.TestScript, job *api.Job, text []byte, starts map[string]int) {
	var p api.Problem
	ts.Check(json.Unmarshal(text, &p))
	if len(p.Results) != len(job.Tasks) {
		ts.Fatalf("the failed answer has %d results, want %d: %s", len(p.Results), len(job.Tasks), text)
	}
	for _, r := range p.Results {
		started := starts[strconv.Itoa(r.Index)]
		if r.Ran == api.RanNo && started > 0 || r.Ran == api.RanYes && started == 0 {
			ts.Fatalf("task %d was answered %q and has %d starts", r.Index, r.Ran, started)
		}
	}
}
