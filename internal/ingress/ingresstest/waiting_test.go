package ingresstest

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"
)

// Jobs of legal size with the most tasks, which wait as each task needs more than half of the
// server's memory. They need no processor, so that no wait is expected of them.
const (
	wideJob    = `{"spec":%q,%s"steps":[{"count":4000,"memMb":2100,"estMs":20000}]}`
	bestEffort = `"bestEffort":true,`
)

// manySteps returns a job of as many steps as the largest body holds.
func manySteps(kind string) string {
	step := `{"count":1,"cpu":0,"memMb":2100,"estMs":20000,"affinity":"rack-0"},`
	return fmt.Sprintf(`{"spec":%q,%s"steps":[%s]}`, longSpec, kind, strings.TrimSuffix(strings.Repeat(step, (bodyBytes-200)/len(step)), ","))
}

// waitingLoads are complete submissions of jobs that wait at the owner of the servers.
var waitingLoads = []load{
	{"memory of small requests for jobs of many tasks", numClients, sendJob(fmt.Sprintf(wideJob, longSpec, bestEffort))},
	{"memory of stored jobs of many tasks", numClients, sendJob(fmt.Sprintf(wideJob, longSpec, ""))},
	{"memory of jobs of many steps", numClients, sendJob(manySteps(bestEffort))},
	{"memory of stored jobs of many steps", numClients, sendJob(manySteps(""))},
}

// sendJob submits a job on a connection, and the same under other IDs if they are answered.
func sendJob(body string) func(io.Writer, *process, int) {
	return func(w io.Writer, p *process, _ int) {
		for range 4 {
			if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", requestHead(p), len(body), body); err != nil {
				return
			}
		}
	}
}

// TestWaitingJobs guards against a process that runs out of memory because of jobs of legal
// size that wait.
func TestWaitingJobs(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "nutmegweir")
	buildProgram(t, binary)
	for _, l := range waitingLoads {
		t.Run(l.name, func(t *testing.T) { checkLoad(t, l, startListening(t, binary, startFleet)) })
	}
}

// TestForwardedJobs guards against the same where jobs of several instances meet at the one
// that owns the server.
func TestForwardedJobs(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "nutmegweir")
	buildProgram(t, binary)
	for _, l := range waitingLoads {
		t.Run(l.name, func(t *testing.T) {
			store := startFleetSite(t)
			var fleet []*process
			for _, name := range []string{"n1", "n2", "n3"} {
				fleet = append(fleet, startListening(t, binary, func(t *testing.T, binary string) *process {
					return startFleetInstance(t, binary, name, store)
				}))
			}
			checkLoad(t, l, fleet...)
		})
	}
}
