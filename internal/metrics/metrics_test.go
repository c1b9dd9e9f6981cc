package metrics

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

var rowPattern = regexp.MustCompile("(?m)^\\| `" + Namespace + `_.*$`)

func TestSpecsMatchDocs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, s := range append(Specs(), FleetSpecs()...) {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", s.Name, s.Type, strings.Join(s.Labels, ", "), s.Help))
	}
	got := rowPattern.FindAllString(string(doc), -1)
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("docs/METRICS.md differs from the code; its rows should be\n%s", strings.Join(want, "\n"))
	}
}

func TestNewInitializesEveryCollector(t *testing.T) {
	v := reflect.ValueOf(New()).Elem()
	for i := range v.NumField() {
		if v.Field(i).IsNil() {
			t.Errorf("%s is nil", v.Type().Field(i).Name)
		}
	}
}

func TestHandlerServesRecordedValues(t *testing.T) {
	m := New()
	m.Starts.WithLabelValues("tayside", "ok").Inc()
	m.Count(platform.Call{Op: platform.OpCAS, Kind: platform.KindConflict})
	m.Count(platform.Call{Op: platform.OpGet})
	m.SetScheduler(sched.Stats{Slots: 12, Lent: 3, Running: 5, Waiting: 7, Quarantined: 1})
	m.SetServers([]sched.Server{{State: sched.ServerActive}, {State: sched.ServerLeaving}, {State: sched.ServerGone}})
	status := &api.InstanceStatus{
		Peers:  []api.PeerStatus{{State: "up"}, {State: "silent"}},
		Shards: []api.ShardStatus{{Role: "owner"}, {Role: "owner"}, {Role: "replica"}},
	}
	w := httptest.NewRecorder()
	m.Handler(func(context.Context) *api.InstanceStatus { return status }).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`starts_total{outcome="ok",server_domain="tayside"} 1`,
		`platform_calls_total{call="cas",outcome="conflict"} 1`,
		`platform_calls_total{call="get",outcome="none"} 1`,
		"platform_up 1",
		"slots_held 12", "slots_lent 3", "slots_busy 5", "queued_tasks 7",
		`servers{state="active"} 1`, `servers{state="leaving"} 1`, `servers{state="quarantined"} 1`,
		"peer_links 1", "shards_owned 2",
	} {
		if !strings.Contains(w.Body.String(), "\n"+Namespace+"_"+want+"\n") {
			t.Errorf("%s is not served", want)
		}
	}
}

func TestLabelLimit(t *testing.T) {
	var l LabelLimit
	for i := range MaxLabelValues {
		if s := fmt.Sprint(i); l.Value(s) != s {
			t.Fatalf("value %s is not kept", s)
		}
	}
	if got := l.Value("one more"); got != OtherLabel {
		t.Errorf("got %q", got)
	}
	if got := l.Value("0"); got != "0" {
		t.Errorf("a known value became %q", got)
	}
}
