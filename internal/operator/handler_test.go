package operator_test

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
)

const (
	writeToken = "write-token-of-ann"
	readToken  = "read-token-of-bob"
)

type rig struct {
	t       *testing.T
	fake    *platformtest.Fake
	handler *operator.Handler
}

func newRig(t *testing.T) *rig {
	t.Helper()
	trail, err := audit.NewTrail("i1", 100)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = trail.Close() })
	fake := platformtest.NewFake(standin.NewStore(0))
	domains := []model.Domain{"ruwi", "seeb"}
	store := tablestore.New(tablestore.Options{Platform: fake, Rules: table.Rules{Domains: domains}})
	runner := tablesync.NewRunner(tablesync.RunnerOptions{
		Core:  tablesync.Options{Self: "i1", Domain: "seeb", Domains: domains},
		Store: store,
	})
	h := operator.New(operator.Options{
		Store: store,
		Sync:  runner,
		Trail: trail,
		Auth: operator.Tokens{
			{Operator: operator.Operator{Name: "ann", Role: operator.RoleWrite}, SHA256: sha256.Sum256([]byte(writeToken))},
			{Operator: operator.Operator{Name: "bob", Role: operator.RoleRead}, SHA256: sha256.Sum256([]byte(readToken))},
		},
		Servers: func() []operator.Server {
			return []operator.Server{{ID: "b1", Domain: "seeb", Addr: "10.0.0.7:9000", Slots: 8, Listed: "active"}}
		},
		Shards: func() []operator.Shard { return []operator.Shard{{Number: 3, Epoch: 2, Owner: "i1", Role: "owner"}} },
	})
	return &rig{t, fake, h}
}

func (r *rig) send(token, method, path, mediaType, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	if mediaType != "" {
		req.Header.Set("Content-Type", mediaType)
	}
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, req)
	return w
}

func (r *rig) get(path string) *httptest.ResponseRecorder {
	return r.send(readToken, http.MethodGet, path, "", "")
}

func (r *rig) post(path, body string) *httptest.ResponseRecorder {
	return r.send(writeToken, http.MethodPost, path, "application/json", body)
}

func (r *rig) mustPost(path, body string) operator.EditResult {
	r.t.Helper()
	w := r.post(path, body)
	if w.Code != http.StatusOK {
		r.t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	return parse[operator.EditResult](r.t, w)
}

func parse[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
		t.Fatalf("%v in %s", err, w.Body)
	}
	return v
}

const editA = `{"id":"e1","changes":[{"key":{"customer":"a","domain":"*","kind":"*"},"base":0,"after":{"weight":2}}]}`

func TestRejections(t *testing.T) {
	csv := "customer,domain,kind,version,weight\na,*,*,,\"2,5\"\n"
	cases := []struct {
		name, token, method, path, mediaType, body string
		status                                     int
		kind                                       string
	}{
		{"no token", "", "GET", operator.PathTable, "", "", 401, operator.KindUnauthorized},
		{"wrong token", "x", "GET", operator.PathTable, "", "", 401, operator.KindUnauthorized},
		{"reader edits", readToken, "POST", operator.PathEdits, "application/json", editA, 403, operator.KindForbidden},
		{"reader drains", readToken, "POST", operator.PathServers + "/b1/drain", "application/json", `{"id":"d"}`, 403, operator.KindForbidden},
		{"cross-site form", writeToken, "POST", operator.PathEdits, "text/plain", editA, 415, operator.KindMalformed},
		{"unknown field", writeToken, "POST", operator.PathEdits, "application/json", strings.Replace(editA, `"id"`, `"idd":1,"id"`, 1), 400, operator.KindMalformed},
		{"two JSON values", writeToken, "POST", operator.PathEdits, "application/json", editA + editA, 400, operator.KindMalformed},
		{"no id", writeToken, "POST", operator.PathEdits, "application/json", `{"changes":[]}`, 400, operator.KindMalformed},
		{"bad value", writeToken, "POST", operator.PathEdits, "application/json", strings.Replace(editA, "2}", "-2}", 1), 422, operator.KindInvalid},
		{"unknown domain", writeToken, "POST", operator.PathEdits, "application/json", strings.Replace(editA, `"*"`, `"mars"`, 1), 422, operator.KindInvalid},
		{"base of a missing row", writeToken, "POST", operator.PathEdits, "application/json", strings.Replace(editA, `"base":0`, `"base":7`, 1), 409, operator.KindConflict},
		{"decimal comma", writeToken, "POST", operator.PathImport + "?id=i", "text/csv", csv, 422, operator.KindInvalid},
		{"revert of an unknown version", writeToken, "POST", operator.PathRevert, "application/json", `{"id":"r","version":9}`, 404, operator.KindNotFound},
		{"bad time", readToken, "GET", operator.PathAudit + "?since=today", "", "", 400, operator.KindMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			w := r.send(c.token, c.method, c.path, c.mediaType, c.body)
			p := parse[operator.Problem](t, w)
			if w.Code != c.status || p.Kind != c.kind || p.Remedy == "" || p.Applied != operator.AppliedNo {
				t.Fatalf("status %d: %s", w.Code, w.Body)
			}
			if strings.Contains(w.Body.String(), "token-of") {
				t.Fatal("the answer shows a token")
			}
			if got := parse[operator.Table](t, r.get(operator.PathTable)); got.Version != 0 {
				t.Fatalf("version %d after a rejection", got.Version)
			}
		})
	}
}

func TestEditTakesEffectOnce(t *testing.T) {
	r := newRig(t)
	first := r.mustPost(operator.PathEdits, editA)
	again := r.mustPost(operator.PathEdits, editA)
	if first.Version != 1 || again.Version != 1 || !again.Repeated {
		t.Fatalf("versions %d and %d", first.Version, again.Version)
	}
	got := parse[operator.Table](t, r.get(operator.PathTable))
	if got.Version != 1 || len(got.Rows) != 1 || *got.Rows[0].Weight != 2 {
		t.Fatalf("table %+v", got)
	}
	x := parse[operator.Explanation](t, r.get(operator.PathExplain+"?customer=a&domain=seeb&kind=gate"))
	if x.Sources[0].Row == nil || x.Sources[0].Value != "2" {
		t.Fatalf("explanation %+v", x)
	}
}

func TestPlatformFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  standin.Faults
		status  int
		applied operator.Applied
	}{
		{"outage", standin.Faults{Refuse: true}, 503, operator.AppliedNo},
		{"rate limit", standin.Faults{ReadsPerSecond: 0.001}, 503, operator.AppliedNo},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.fake.Faults.SetFaults(c.faults)
			r.get(operator.PathHistory) // uses up the rate limit's burst
			w := r.post(operator.PathEdits, editA)
			if p := parse[operator.Problem](t, w); w.Code != c.status || p.Applied != c.applied {
				t.Fatalf("status %d: %s", w.Code, w.Body)
			}
			if w := r.get(operator.PathTable); w.Code != http.StatusOK {
				t.Fatalf("the table in force is not served: status %d", w.Code)
			}
		})
	}
}

func TestImportRoundTripAndConflict(t *testing.T) {
	r := newRig(t)
	r.mustPost(operator.PathEdits, editA)
	exported := r.get(operator.PathCSV).Body.String()
	changed := strings.Replace(exported, ",2,", ",3,", 1)
	send := func(query, body string) *httptest.ResponseRecorder {
		return r.send(writeToken, http.MethodPost, operator.PathImport+query, "text/csv", body)
	}
	if res := parse[operator.EditResult](t, send("?id=same", exported)); len(res.Changes) != 0 {
		t.Fatalf("changes %+v", res.Changes)
	}
	if res := parse[operator.EditResult](t, send("?id=dry&dry_run=true", changed)); len(res.Changes) != 1 || res.Version != 0 {
		t.Fatalf("dry run %+v", res)
	}
	if res := parse[operator.EditResult](t, send("?id=i1", changed)); res.Version != 2 {
		t.Fatalf("import %+v", res)
	}
	late := send("?id=i2", strings.Replace(exported, ",2,", ",4,", 1))
	p := parse[operator.Problem](t, late)
	if late.Code != http.StatusConflict || len(p.Conflicts) != 1 || *p.Conflicts[0].Yours.Weight != 4 || *p.Conflicts[0].Current.Weight != 3 {
		t.Fatalf("status %d: %s", late.Code, late.Body)
	}
	removed := parse[operator.EditResult](t, send("?id=i3&remove_missing=true", strings.SplitAfter(exported, "\n")[0]))
	if len(removed.Changes) != 1 || removed.Changes[0].After != nil {
		t.Fatalf("import %+v", removed)
	}
}

func TestRevert(t *testing.T) {
	r := newRig(t)
	r.mustPost(operator.PathEdits, editA)
	if res := r.mustPost(operator.PathRevert, `{"id":"r1","version":1}`); res.Version != 2 || res.Changes[0].After != nil {
		t.Fatalf("revert %+v", res)
	}
	if res := r.mustPost(operator.PathRevert, `{"id":"r2","version":2}`); *res.Changes[0].After.Weight != 2 {
		t.Fatalf("revert %+v", res)
	}
	if w := r.post(operator.PathRevert, `{"id":"r3","version":1}`); w.Code != http.StatusConflict {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
}

func TestServersAuditAndPage(t *testing.T) {
	r := newRig(t)
	r.mustPost(operator.PathServers+"/b1/drain", `{"id":"d1","note":"new disk"}`)
	r.mustPost(operator.PathServers+"/b9/drain", `{"id":"d2"}`)
	if res := r.mustPost(operator.PathServers+"/b1/drain", `{"id":"d3"}`); !res.Repeated {
		t.Fatalf("result %+v", res)
	}
	list := parse[[]operator.Server](t, r.get(operator.PathServers))
	if len(list) != 2 || list[0].Operator != table.StateDrained || list[1].Listed != "absent" {
		t.Fatalf("servers %+v", list)
	}
	r.mustPost(operator.PathServers+"/b1/return", `{"id":"d4"}`)
	r.post(operator.PathEdits, `{}`)
	r.send(readToken, http.MethodPost, operator.PathEdits, "application/json", editA)
	got := parse[operator.Audit](t, r.get(operator.PathAudit+"?row=server:b1"))
	if len(got.Records) != 2 || got.Records[0].Actor != "ann" || got.Records[1].Note != "new disk" {
		t.Fatalf("audit %+v", got)
	}
	if got := parse[operator.Audit](t, r.get(operator.PathAudit+"?action=refused&actor=bob")); len(got.Records) != 1 {
		t.Fatalf("audit %+v", got)
	}
	if got := parse[operator.Audit](t, r.get(operator.PathAudit+"?limit=1")); len(got.Records) != 1 || !got.More {
		t.Fatalf("audit %+v", got)
	}
	page := r.get(operator.PathPage).Body.String()
	for _, want := range []string{"server:b1", "10.0.0.7:9000", "cut off", "<td>seeb </td>", "owner"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}

// FuzzEditBody checks that no body makes the handler fail or the table invalid.
func FuzzEditBody(f *testing.F) {
	f.Add([]byte(editA))
	f.Add([]byte(strings.Replace(editA, "2}", "-2}", 1)))
	f.Add([]byte(`{"id":"e","changes":[{"key":{"server":"b1"},"after":{"state":"drained"}}]}`))
	f.Add([]byte(`{"id":"e","changes":[{"key":{"customer":"=1","domain":"*","kind":"*"},"base":1,"after":{"rate":1e999}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := newRig(t)
		w := r.post(operator.PathEdits, string(body))
		if w.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
		var changes []table.Change
		for _, row := range parse[operator.Table](t, r.get(operator.PathTable)).Rows {
			changes = append(changes, table.Change{Key: row.Key, After: &row.Values})
		}
		if faults := (table.Rules{Domains: []model.Domain{"ruwi", "seeb"}}).Check(changes); len(faults) > 0 {
			t.Fatalf("the table has faults: %v", faults)
		}
	})
}
