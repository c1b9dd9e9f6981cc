package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
	port "github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/link"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/worker"
	"github.com/nutmegweir/nutmegweir/platform"
)

// patience bounds waits for what must come; it is no measure of speed.
const patience = 30 * time.Second

const config = `{"version":%d,"routes":[%s],"services":[{"name":"svc"}],"limits":{"maxBodyBytes":5000}}`

const route = `{"name":"r1","host":"a.example","prefix":"/q/","timeoutMs":20000,"sloMs":60,"service":"svc","attempts":2,"stretch":1.6}`

// logBuffer collects log lines.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// about returns the lines about a job: their names with their reasons.
func (l *logLines) about(job string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.buf.String()) {
		var x struct{ Name, Job, Reason, Result string }
		if json.Unmarshal([]byte(line), &x) == nil && x.Job == job {
			out = append(out, x.Name+" "+x.Result+x.Reason)
		}
	}
	return out
}

// site is a store, backend servers and nodes on loopback.
type site struct {
	t       *testing.T
	store   *standin.Handler
	addr    string
	workers []*worker.Server
	logs    *logLines
	nodes   []*Node
	stops   []context.CancelFunc
	hangups chan os.Signal

	sharedFrom int // servers from which few nodes follow the store
	submitted  int // jobs of jobName
}

func newSite(t *testing.T, workers, nodes int) *site { return newSharedSite(t, workers, nodes, 0) }

func newSharedSite(t *testing.T, workers, nodes, sharedFrom int) *site {
	s := &site{sharedFrom: sharedFrom, t: t, store: standin.New(standin.Options{MinSessionTTL: time.Second}), logs: &logLines{}, hangups: make(chan os.Signal, 1)}
	h := httptest.NewServer(s.store)
	t.Cleanup(h.Close)
	s.addr = strings.TrimPrefix(h.URL, "http://")
	s.configure(1, route)
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%d", i))
	}
	for i := range nodes {
		s.addNode(fmt.Sprintf("n%d", i))
	}
	s.await("the nodes are ready", func() bool {
		for _, n := range s.nodes {
			if !n.ready.on.Load() {
				return false
			}
		}
		return true
	})
	return s
}

func (s *site) configure(version int, routes string) {
	s.store.Store.Commit(standin.Txn{Writes: []port.Entry{{Key: platform.ConfigKey, Value: fmt.Appendf(nil, config, version, routes)}}})
}

func (s *site) addWorker(id string) {
	w := worker.NewServer(id, worker.Options{MaxLease: time.Second, StopTime: time.Millisecond})
	w.Work = func(_ fleet.RunID, spec string) (time.Duration, fleet.EndKind) {
		if spec == "fails" {
			return time.Millisecond, fleet.EndFailed
		}
		return 5 * time.Millisecond, fleet.EndDone
	}
	h := httptest.NewServer(w)
	s.t.Cleanup(h.Close)
	s.store.Store.Register("svc", port.ServiceInstance{
		ID: id, Addr: netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://")), Domain: "d1", Slots: 8,
		Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4096}, State: port.StateActive,
	})
	s.workers = append(s.workers, w)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (s *site) addNode(name string) {
	peerAddr := freeAddr(s.t)
	n, err := New(platform.Settings{
		Instance: model.Instance(name), Domain: "d1", Host: "127.0.0.1",
		CallerAddr: freeAddr(s.t), ReadyAddr: freeAddr(s.t), PeerAddr: peerAddr, AdvertisedAddr: peerAddr, MetricsAddr: freeAddr(s.t),
		CPUCores: 0.4, Store: platform.StoreSettings{Addr: s.addr, MinLeaseTTL: time.Second},
		Bounds: platform.Bounds{
			GracePeriod: 6 * time.Second, MaxLease: time.Second, StopTimeout: 50 * time.Millisecond, StateRetention: 2 * time.Minute,
		},
	}, s.logs)
	if err != nil {
		s.t.Fatal(err)
	}
	n.sharedListFrom = s.sharedFrom
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx, s.hangups); err != nil {
			s.t.Error(err)
		}
	}()
	s.t.Cleanup(func() { stop(); <-done })
	s.nodes, s.stops = append(s.nodes, n), append(s.stops, stop)
}

func (s *site) await(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("waited in vain until %s", what)
		}
	}
}

// call sends a request of a caller to a node.
func (s *site) call(node int, method, path, body string) (int, string, http.Header) {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.nodes[node].settings.CallerAddr+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Deadline-Ms", "20000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, string(data), resp.Header
}

// requireStarts checks that each of so many tasks was started once.
func (s *site) requireStarts(tasks int) {
	s.t.Helper()
	starts := 0
	for _, w := range s.workers {
		starts += len(w.Starts())
	}
	if starts != tasks {
		s.t.Errorf("%d starts of %d tasks", starts, tasks)
	}
}

func job(spec string, count int) string {
	return fmt.Sprintf(`{"spec":%q,"bestEffort":true,"steps":[{"count":%d,"cpu":1000,"memMb":64,"estMs":5}]}`, spec, count)
}

func TestJobsAreServedByEveryNode(t *testing.T) {
	s := newSite(t, 3, 2)
	for i := range 10 {
		id := fmt.Sprintf("%016x", i)
		status, body, _ := s.call(i%2, http.MethodPost, "/q/"+id, job("x", 6))
		if status != http.StatusOK || !strings.Contains(body, `"completed"`) {
			t.Fatalf("job %d: %d %s", i, status, body)
		}
	}
	s.requireStarts(60)
}

func TestRequestsThatAreNoJobs(t *testing.T) {
	s := newSite(t, 1, 1)
	const id = "/q/00000000000000aa"
	cases := []struct {
		name, method, path, body string
		status                   int
		word                     string
	}{
		{"unknown host or path", http.MethodPost, "/x/00", "{}", 404, "no route"},
		{"state of a job that isn't kept", http.MethodGet, id, "", 410, "no such job"},
		{"cancel of a job that isn't kept", http.MethodDelete, id, "", 410, "no such job"},
		{"pending", http.MethodGet, "/q/", "", 200, `"pending":0`},
		{"method", http.MethodPut, id, "", 405, "PUT"},
		{"malformed", http.MethodPost, id, "{", 400, "not a job"},
		{"oversize", http.MethodPost, id, strings.Repeat(" ", 6000), 413, "larger"},
		{"timed job", http.MethodPost, id, `{"spec":"x","times":2,"steps":[{"count":1}]}`, 503, "times"},
		{"lasting job", http.MethodPost, id, `{"spec":"x","longRunning":true,"steps":[{"count":1}]}`, 503, "longRunning"},
		{"gang", http.MethodPost, id, `{"spec":"x","bestEffort":true,"steps":[{"count":1,"gang":true}]}`, 503, "gang"},
	}
	for _, c := range cases {
		status, body, _ := s.call(0, c.method, c.path, c.body)
		if status != c.status || !strings.Contains(body, c.word) {
			t.Errorf("%s: %d %s, want %d with %q", c.name, status, body, c.status, c.word)
		}
	}
	if n := len(s.workers[0].Starts()); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

func TestConfigurationIsFollowedAndNeverGoesBack(t *testing.T) {
	s := newSite(t, 1, 2)
	second := strings.Replace(strings.Replace(route, "r1", "r2", 1), "/q/", "/new/", 1)
	s.configure(5, second)
	for i := range s.nodes {
		s.await("the new route is served", func() bool { status, _, _ := s.call(i, http.MethodGet, "/new/", ""); return status == 200 })
		if status, _, _ := s.call(i, http.MethodGet, "/q/", ""); status != http.StatusNotFound {
			t.Errorf("node %d answers %d on the route that is gone", i, status)
		}
		s.nodes[i].takeConfig(fmt.Appendf(nil, config, 4, route), "test")
		if status, _, _ := s.call(i, http.MethodGet, "/q/", ""); status != http.StatusNotFound {
			t.Errorf("node %d went back to an older configuration", i)
		}
	}
}

// TestConfigurationComesFromPeers cuts a node off from the store before a change.
func TestConfigurationComesFromPeers(t *testing.T) {
	s := newSite(t, 1, 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := link.New(s.addr)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = l.Serve(ctx, listener) }()
	s.addr = listener.Addr().String()
	s.addNode("n2")
	s.await("the node is ready", s.nodes[2].ready.on.Load)
	l.SetMode(link.Mode{Silent: true})
	s.configure(5, strings.Replace(strings.Replace(route, "r1", "r2", 1), "/q/", "/new/", 1))
	s.await("the new route is served", func() bool { status, _, _ := s.call(2, http.MethodGet, "/new/", ""); return status == 200 })
}

// TestFewNodesFollowTheStore changes the configuration and the servers of a site
// where two of four nodes follow them in the store.
func TestFewNodesFollowTheStore(t *testing.T) {
	const wanted = 2
	s := newSharedSite(t, 2, 4, 1)
	s.await("two nodes follow the store", func() bool {
		n := 0
		for _, x := range s.nodes {
			x.store.mu.Lock()
			if x.store.stopShared != nil {
				n++
			}
			x.store.mu.Unlock()
		}
		return n == wanted
	})
	s.configure(5, strings.Replace(strings.Replace(route, "r1", "r2", 1), "/q/", "/new/", 1))
	s.addWorker("late")
	for i := range s.nodes {
		s.await("the new route is served", func() bool { status, _, _ := s.call(i, http.MethodGet, "/new/", ""); return status == 200 })
	}
	s.await("the new server runs tasks", func() bool {
		if status, body, _ := s.call(0, http.MethodPost, "/new/"+jobName(s), job("x", 12)); status != http.StatusOK {
			t.Errorf("answer %d %s", status, body)
		}
		return len(s.workers[2].Starts()) > 0
	})
}

// jobName returns the name of a job that was not submitted yet.
func jobName(s *site) string {
	s.submitted++
	return fmt.Sprintf("%016x", s.submitted)
}

// TestOperationsPageWalks runs the failed requests of docs/OPERATIONS.md and
// finds the lines that the page reads.
func TestOperationsPageWalks(t *testing.T) {
	s := newSite(t, 1, 1)
	walks := []struct {
		id, body string
		status   int
		lines    []string
	}{
		{"00000000000000f1", job("fails", 1), 200, []string{"job-routed start", "run-failed ", "job-ended failed attempts", "job-answered failedattempts"}},
		{"00000000000000f2", strings.Replace(job("x", 1), `"cpu":1000`, `"cpu":9000`, 1), 503, []string{"job-answered not-runtoo-large"}},
		{"00000000000000f3", `{"spec":"x","longRunning":true,"steps":[{"count":1}]}`, 503, []string{"request-refused longRunning is not supported; the job has not run"}},
	}
	for _, c := range walks {
		status, body, header := s.call(0, http.MethodPost, "/q/"+c.id, c.body)
		if status != c.status {
			t.Errorf("job %s: %d %s", c.id, status, body)
		}
		if status == http.StatusServiceUnavailable && strings.Contains(body, "overload") && header.Get("Retry-After") == "" {
			t.Errorf("job %s: refused without Retry-After", c.id)
		}
		got := s.logs.about(c.id)
		for _, want := range c.lines {
			if !contains(got, want) {
				t.Errorf("job %s: no line %q in %q", c.id, want, got)
			}
		}
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range walks {
		for _, line := range c.lines {
			if name := strings.Fields(line)[0]; !bytes.Contains(page, []byte("`"+name+"`")) {
				t.Errorf("docs/OPERATIONS.md does not explain %q", name)
			}
		}
	}
}

func contains(list []string, prefix string) bool {
	for _, x := range list {
		if strings.HasPrefix(x, prefix) {
			return true
		}
	}
	return false
}

func TestStopAnswersWhatIsUnderWay(t *testing.T) {
	s := newSite(t, 1, 2)
	release := make(chan struct{})
	s.workers[0].Work = func(fleet.RunID, string) (time.Duration, fleet.EndKind) {
		close(release)
		return 300 * time.Millisecond, fleet.EndDone
	}
	answer := make(chan string, 1)
	go func() {
		_, body, _ := s.call(0, http.MethodPost, "/q/00000000000000c1", job("x", 1))
		answer <- body
	}()
	<-release
	s.stops[0]()
	if body := <-answer; !strings.Contains(body, "completed") {
		t.Errorf("the job under way was answered %s", body)
	}
}

func TestMetricsAreServed(t *testing.T) {
	s := newSite(t, 1, 1)
	s.call(0, http.MethodPost, "/q/00000000000000d1", job("x", 1))
	resp, err := http.Get("http://" + s.nodes[0].settings.MetricsAddr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"nutmegweir_fleet_answers_total", "nutmegweir_fleet_start_seconds_bucket", "nutmegweir_fleet_store_calls_total"} {
		if !bytes.Contains(data, []byte(name)) {
			t.Errorf("no %s", name)
		}
	}
}

// TestStopLeavesNoRequestUnanswered sends a request over an idle connection of an
// instance that has begun to stop. It may have been on its way before.
func TestStopLeavesNoRequestUnanswered(t *testing.T) {
	s := newSite(t, 1, 2)
	conn, err := net.Dial("tcp", s.nodes[0].settings.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	ask := func() *http.Response {
		if _, err := io.WriteString(conn, "GET /q/ HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := ask(); r.StatusCode != http.StatusOK || r.Close {
		t.Fatalf("status %d, closes: %v", r.StatusCode, r.Close)
	}
	s.stops[0]()
	s.await("the instance is no longer ready", func() bool { return !s.nodes[0].ready.on.Load() })
	time.Sleep(100 * time.Millisecond) // in which the connection would be closed
	if r := ask(); r.StatusCode != http.StatusOK || !r.Close {
		t.Errorf("after the stop status %d, closes: %v", r.StatusCode, r.Close)
	}
}
