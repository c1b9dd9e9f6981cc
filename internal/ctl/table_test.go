package ctl_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/ctl"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
)

// operatorCommands are the commands of this test's root.
type operatorCommands struct {
	Table   *ctl.TableCmd   `arg:"subcommand:table"`
	Backend *ctl.BackendCmd `arg:"subcommand:backend"`
	Audit   *ctl.AuditCmd   `arg:"subcommand:audit"`
	JSON    bool            `arg:"--json"`
}

// operatorRig is an operator port on loopback and the commands that use it.
type operatorRig struct {
	t             *testing.T
	addr          string
	dir           string
	faults        *standin.Injector
	lostResponses int // responses to drop after the change took effect
}

func newOperatorRig(t *testing.T, domains ...model.Domain) *operatorRig {
	t.Helper()
	trail, err := audit.NewTrail("i1", 100)
	if err != nil {
		t.Fatal(err)
	}
	fake := platformtest.NewFake(standin.NewStore(0))
	store := tablestore.New(tablestore.Options{Platform: fake})
	runner := tablesync.NewRunner(tablesync.RunnerOptions{
		Core:  tablesync.Options{Self: "i1", Domain: "seeb", Domains: domains},
		Store: store,
	})
	h := operator.New(operator.Options{Store: store, Sync: runner, Trail: trail, Auth: operator.AllowAll("ann")})
	r := &operatorRig{t: t, dir: t.TempDir(), faults: fake.Faults}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost && r.lostResponses > 0 {
			r.lostResponses--
			h.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, req)
	}))
	t.Cleanup(func() { srv.Close(); _ = trail.Close() })
	r.addr = srv.Listener.Addr().String()
	return r
}

// run runs a command and returns its output and exit code.
func (r *operatorRig) run(args ...string) (string, int) {
	r.t.Helper()
	var root operatorCommands
	parser, err := arg.NewParser(arg.Config{}, &root)
	if err != nil {
		r.t.Fatal(err)
	}
	args = append(args, "--plain", "--operator", r.addr)
	if err := parser.Parse(args); err != nil {
		r.t.Fatalf("%v: %v", args, err)
	}
	var out bytes.Buffer
	env := &ctl.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, JSON: root.JSON}
	err = parser.Subcommand().(ctl.Command).Run(r.t.Context(), env)
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), ctl.ExitCode(err)
}

// want runs a command line and checks its exit code and output.
func (r *operatorRig) want(code int, pattern, line string) string {
	r.t.Helper()
	args := strings.Fields(line)
	for i, a := range args {
		args[i] = strings.ReplaceAll(a, "DIR", r.dir)
	}
	out, got := r.run(args...)
	if got != code || !regexp.MustCompile(pattern).MatchString(out) {
		r.t.Fatalf("%s: exit code %d, want %d, output\n%s\nshould match %s", line, got, code, out, pattern)
	}
	return out
}

func (r *operatorRig) replace(file, old, with string) {
	r.t.Helper()
	name := filepath.Join(r.dir, file)
	text, err := os.ReadFile(name)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(name, bytes.Replace(text, []byte(old), []byte(with), 1), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func TestTableCommands(t *testing.T) {
	r := newOperatorRig(t, "seeb")
	r.want(ctl.ExitOK, `a/\*/\*: none -> weight=2 rate=50\nversion 1: edit e1 applied`, "table set a/*/* weight=2 rate=50 --id e1")
	r.want(ctl.ExitOK, `version 1: edit e1 was applied before`, "table set a/*/* weight=2 rate=50 --base 0 --id e1")
	r.want(ctl.ExitOK, `weight=2 rate=50 -> weight=2\n`, "table set a/*/* rate= --note slower")
	r.want(ctl.ExitRefused, `yours is weight=9, current is weight=2 \(version 2`, "table set a/*/* weight=9 --base 1")
	r.want(ctl.ExitRefused, `column weight: -1 is out of range; use a weight above 0`, "table set a/*/* weight=-1")
	r.want(ctl.ExitUsage, `decimal separator as a point`, "table set a/*/* weight=2,5")
	r.want(ctl.ExitUsage, `write CUSTOMER/DOMAIN/KIND`, "table set a weight=2")
	r.want(ctl.ExitOK, `a/\*/\* +weight=2 +2\n`, "table get")
	r.want(ctl.ExitOK, `weight +2 +a/\*/\* +2\n`, "table get a/seeb/gate --explain")
	r.want(ctl.ExitOK, `(?s)version 2 .*: slower.*version 1 `, "table history")

	r.want(ctl.ExitOK, ``, "table export DIR/t.csv")
	r.want(ctl.ExitOK, `nothing to change`, "table import DIR/t.csv")
	r.replace("t.csv", ",2,", ",4,")
	r.want(ctl.ExitOK, `dry run: 1 rows would change`, "table diff DIR/t.csv")
	r.want(ctl.ExitOK, `(?s)version 3: .*seeb: in force`, "table apply DIR/t.csv --wait")
	r.replace("t.csv", ",4,", ",5,")
	r.want(ctl.ExitRefused, `yours is weight=5, current is weight=4`, "table import DIR/t.csv")
	r.want(ctl.ExitOK, `weight=4 -> weight=2`, "table revert 3")
	r.want(ctl.ExitOK, `"version": 4`, "--json table get")
	r.want(ctl.ExitOK, `weight=2 -> removed`, "table set a/*/* --remove")
	r.want(ctl.ExitUsage, `no such file`, "table import DIR/none.csv")
}

func TestApplyWaitNamesCutOffDomains(t *testing.T) {
	r := newOperatorRig(t, "ruwi", "seeb")
	r.want(ctl.ExitOK, `version 1`, "table set a/*/* weight=2")
	r.want(ctl.ExitPartial, `(?s)ruwi: cut off.*seeb: in force.*cut off: ruwi`, "table apply --version 1")
	r.want(ctl.ExitPartial, `pending in seeb; cut off: ruwi`, "table apply --version 2 --timeout 1ms")
}

func TestOutcomes(t *testing.T) {
	r := newOperatorRig(t, "seeb")
	r.lostResponses = 1
	r.want(ctl.ExitOK, `version 1: edit e1 was applied before`, "table set a/*/* weight=2 --id e1")
	r.lostResponses = 3
	r.want(ctl.ExitUnknown, `edit e2: the change may have been applied .*same --id`, "table set a/*/* weight=3 --id e2")
	r.faults.SetFaults(standin.Faults{Refuse: true})
	r.want(ctl.ExitRefused, `platform-unavailable`, "table set a/*/* weight=4")
	r.faults.SetFaults(standin.Faults{})
	r.addr = "127.0.0.1:1"
	r.want(ctl.ExitFailed, `does not answer`, "table get")
	r.want(ctl.ExitRefused, `does not answer`, "backend drain b1")
}

func TestBackendAndAuditCommands(t *testing.T) {
	r := newOperatorRig(t, "seeb")
	r.want(ctl.ExitOK, `server:b1: none -> state=drained`, "backend drain b1 --note disk")
	r.want(ctl.ExitOK, `b1 +0 +absent +drained +false`, "backend list")
	r.want(ctl.ExitOK, `(?s)state=drained -> state=active.*seeb: in force`, "backend return b1 --wait")
	r.want(ctl.ExitOK, `(?s)edit actor=ann row=server:b1 version=2 state=drained -> state=active\n.*note=disk`, "audit --row b1 --since 1h")
	r.want(ctl.ExitOK, `^$`, "audit --since 1h --customer a")
	r.want(ctl.ExitOK, `there are more records`, "audit --limit 1")
	r.want(ctl.ExitUsage, `is not a time`, "audit --since yesterday")
}
