package ctl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/caller"
	"github.com/nutmegweir/nutmegweir/internal/ctl"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/problem"
	"github.com/nutmegweir/nutmegweir/internal/settings"
)

const deployDir = "../../deploy"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"nutmegctl": nutmegctl})
}

func nutmegctl() {
	env := &ctl.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(ctl.Main(context.Background(), os.Args[1:], env))
}

// fakeDispatcher returns a fixed outcome for each kind of request and keeps no
// state.
type fakeDispatcher struct{}

func (fakeDispatcher) Submit(_ context.Context, spec *peerpb.JobSpec, wait bool) (*peerpb.Answer, error) {
	if !wait {
		return &peerpb.Answer{Status: peerpb.Status_STATUS_PENDING}, nil
	}
	switch spec.Kind {
	case "refused":
		return nil, problem.New(problem.Impossible, "needs 9 accelerators")
	case "unknown":
		return &peerpb.Answer{Status: peerpb.Status_STATUS_FAILED, Problem: string(problem.ResultUnknown), Results: []*peerpb.TaskResult{
			{Index: 0, Ran: peerpb.Ran_RAN_UNKNOWN, Error: "the connection broke"},
			{Index: 1, Ran: peerpb.Ran_RAN_NO},
		}}, nil
	case "failed":
		return &peerpb.Answer{Status: peerpb.Status_STATUS_FAILED, Results: []*peerpb.TaskResult{
			{Index: 0, Ran: peerpb.Ran_RAN_YES, Error: "status 500"},
		}}, nil
	}
	return echo(spec), nil
}

func echo(spec *peerpb.JobSpec) *peerpb.Answer {
	a := &peerpb.Answer{Status: peerpb.Status_STATUS_COMPLETE}
	for i, p := range spec.Payloads {
		a.Results = append(a.Results, &peerpb.TaskResult{Index: uint32(i), Ran: peerpb.Ran_RAN_YES, Ok: true, Output: p})
	}
	return a
}

func (fakeDispatcher) Lookup(_ context.Context, id *peerpb.Identity, _ bool) (*peerpb.Answer, error) {
	if id.Customer == "nobody" {
		return nil, problem.New(problem.NotFound, "")
	}
	return &peerpb.Answer{Status: peerpb.Status_STATUS_PENDING}, nil
}

func (fakeDispatcher) Cancel(_ context.Context, _ *peerpb.Identity) (*peerpb.Answer, error) {
	return &peerpb.Answer{Status: peerpb.Status_STATUS_FAILED, Problem: string(problem.Cancelled), Results: []*peerpb.TaskResult{
		{Index: 0, Ran: peerpb.Ran_RAN_NO},
	}}, nil
}

func (fakeDispatcher) Explain(_ context.Context, id *peerpb.Identity) (string, error) {
	return fmt.Sprintf("%s: queued\n", id.Customer), nil
}

// operatorPort is a fake of an operator port.
func operatorPort(ready bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready {
			http.Error(w, "views are not known", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET "+api.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.InstanceStatus{
			Instance: "tayside-1", Incarnation: "i1", Domain: "tayside", Jobs: 7, OpenJobs: 2,
			Peers:  []api.PeerStatus{{Instance: "tayside-2", Domain: "tayside", Addr: "10.0.0.2:7401", State: "up"}},
			Shards: []api.ShardStatus{{Shard: 3, Epoch: 5, Owner: "tayside-1", Replica: "tayside-2", Role: "owner", Jobs: 7}},
		})
	})
	return mux
}

func TestScripts(t *testing.T) {
	handler := caller.New(caller.Options{
		Dispatcher: fakeDispatcher{},
		Domains:    []model.Domain{"tayside", "carrick"},
		Limits:     settings.Default().Limits,
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	ready := httptest.NewServer(operatorPort(true))
	defer ready.Close()
	notReady := httptest.NewServer(operatorPort(false))
	defer notReady.Close()
	deploy, err := filepath.Abs(deployDir)
	if err != nil {
		t.Fatal(err)
	}
	// A subtest keeps the servers running until its parallel scripts finish.
	t.Run("scripts", func(t *testing.T) {
		testscript.Run(t, testscript.Params{
			Dir: "testdata/script",
			Setup: func(env *testscript.Env) error {
				env.Setenv("API", server.Listener.Addr().String())
				env.Setenv("READY", ready.Listener.Addr().String())
				env.Setenv("NOTREADY", notReady.Listener.Addr().String())
				env.Setenv("DEPLOY", deploy)
				return nil
			},
			Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
		})
	})
}

// exits runs a command and checks its exit code: exits CODE COMMAND ARGS...
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND ARGS...")
	}
	code := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		code = exitCode(ts, err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

func exitCode(ts *testscript.TestScript, err error) int {
	exit, ok := err.(interface{ ExitCode() int })
	if !ok {
		ts.Fatalf("%v", err)
	}
	return exit.ExitCode()
}

var stopSec = regexp.MustCompile(`(?m)^TimeoutStopSec=(\d+)$`)

func TestUnitOutlastsGracefulStop(t *testing.T) {
	unit, err := os.ReadFile(filepath.Join(deployDir, "nutmegweir.service"))
	if err != nil {
		t.Fatal(err)
	}
	match := stopSec.FindSubmatch(unit)
	if match == nil {
		t.Fatal("nutmegweir.service has no TimeoutStopSec")
	}
	limit, _ := strconv.Atoi(string(match[1]))
	for _, name := range []string{"glenbrae.hujson", "alhadhira.hujson"} {
		s, err := settings.Load(filepath.Join(deployDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if s.StopBoundS >= limit {
			t.Errorf("%s: a graceful stop may take %d s, but systemd kills the process after %d s", name, s.StopBoundS, limit)
		}
	}
}
