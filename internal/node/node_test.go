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
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// waitTimeout bounds waits for what must happen; it is no check of speed.
const waitTimeout = 30 * time.Second

const config = `{"version":%d,"routes":[%s],"services":[{"name":"svc"}],"limits":{"maxBodyBytes":5000}}`

const route = `{"name":"r1","host":"a.example","prefix":"/q/","timeoutMs":20000,"sloMs":60,"service":"svc","attempts":2,"stretch":1.6}`

// logLines collects log lines.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// forJob returns the names and reasons of the lines about a job.
func (l *logLines) forJob(job string) []string {
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

// count returns the number of lines that contain all parts.
func (l *logLines) count(parts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for line := range strings.Lines(l.buf.String()) {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(line, p) }) {
			n++
		}
	}
	return n
}

// site runs a store, backend servers and instances on loopback.
type site struct {
	t         *testing.T
	store     *standin.Handler
	addr      string
	servers   []*worker.Server
	entries   map[string]port.ServiceInstance // of the servers in the store
	logs      *logLines
	instances []*Node
	stops     []context.CancelFunc
	hangups   chan os.Signal

	sharedWatchMinServers int // number of servers from which on few instances watch the store
	submitted             int // jobs named by jobName

	beforeStart func(callerAddr string) // called before an instance starts, may be nil
}

func newSite(t *testing.T, servers, instances int) *site {
	return newSharedWatchSite(t, servers, instances, 0)
}

func newSharedWatchSite(t *testing.T, servers, instances, sharedWatchMinServers int) *site {
	s := &site{sharedWatchMinServers: sharedWatchMinServers, t: t, store: standin.New(standin.Options{MinSessionTTL: time.Second}), logs: &logLines{}, entries: map[string]port.ServiceInstance{}, hangups: make(chan os.Signal, 1)}
	h := httptest.NewServer(s.store)
	t.Cleanup(h.Close)
	s.addr = strings.TrimPrefix(h.URL, "http://")
	s.configure(1, route)
	for i := range servers {
		s.addServer(fmt.Sprintf("w%d", i))
	}
	for i := range instances {
		s.addInstance(fmt.Sprintf("n%d", i))
	}
	s.await("the instances are ready", func() bool {
		for _, n := range s.instances {
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

func (s *site) addServer(id string) {
	w := worker.NewServer(id, worker.Options{MaxLease: time.Second, StopDelay: time.Millisecond})
	w.Behavior = func(_ fleet.RunID, spec string) (time.Duration, fleet.EndKind) {
		if spec == "fails" {
			return time.Millisecond, fleet.EndFailed
		}
		return 5 * time.Millisecond, fleet.EndDone
	}
	h := httptest.NewServer(w)
	s.t.Cleanup(h.Close)
	s.servers = append(s.servers, w)
	s.writeEntry(port.ServiceInstance{
		ID: id, Addr: netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://")), Domain: "d1", Slots: 8,
		Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4096}, State: port.StateActive,
	})
}

// writeEntry writes a server's entry to the store.
func (s *site) writeEntry(i port.ServiceInstance) {
	s.entries[i.ID] = i
	s.store.Store.Register("svc", i)
}

// firstPort is the lowest port of the instances of tests.
const firstPort = 20000

var usedPorts atomic.Int32

// ownAddr returns an address for one listener. Its IP address belongs to this process
// alone: a port of 127.0.0.1 that was found free may be taken by a connection, or by
// another test process, before an instance listens there.
func ownAddr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff, firstPort+usedPorts.Add(1))
}

func (s *site) addInstance(name string) {
	peerAddr := ownAddr()
	callerAddr := ownAddr()
	if s.beforeStart != nil {
		s.beforeStart(callerAddr)
	}
	n, err := New(s.t.Context(), platform.Settings{
		Instance: model.Instance(name), Domain: "d1", Host: "127.0.0.1",
		CallerAddr: callerAddr, ReadyAddr: ownAddr(), PeerAddr: peerAddr, AdvertisedAddr: peerAddr, MetricsAddr: ownAddr(),
		CPUCores: 0.4, Store: platform.StoreSettings{Addr: s.addr, MinLeaseTTL: time.Second},
		Bounds: platform.Bounds{
			GracePeriod: 6 * time.Second, MaxLease: time.Second, StopTimeout: 50 * time.Millisecond, StateRetention: 2 * time.Minute,
		},
	}, s.logs)
	if err != nil {
		s.t.Fatal(err)
	}
	n.sharedWatchMinServers = s.sharedWatchMinServers
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx, s.hangups); err != nil {
			s.t.Error(err)
		}
	}()
	s.t.Cleanup(func() { stop(); <-done })
	s.instances, s.stops = append(s.instances, n), append(s.stops, stop)
}

func (s *site) await(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// call sends a caller's request to an instance.
func (s *site) call(instance int, method, path, body string) (int, string, http.Header) {
	s.t.Helper()
	return s.callWithin(instance, method, path, body, 20*time.Second)
}

// callWithin sends a request whose caller waits for a limited time.
func (s *site) callWithin(instance int, method, path, body string, deadline time.Duration) (int, string, http.Header) {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.instances[instance].settings.CallerAddr+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
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

// requireStarts checks the total number of starts.
func (s *site) requireStarts(tasks int) {
	s.t.Helper()
	starts := 0
	for _, w := range s.servers {
		starts += len(w.Starts())
	}
	if starts != tasks {
		s.t.Errorf("%d starts for %d tasks", starts, tasks)
	}
}

func job(spec string, count int) string {
	return fmt.Sprintf(`{"spec":%q,"bestEffort":true,"steps":[{"count":%d,"cpu":1000,"memMb":64,"estMs":5}]}`, spec, count)
}

func TestEveryInstanceRunsJobs(t *testing.T) {
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

func TestRequestsOtherThanJobs(t *testing.T) {
	s := newSite(t, 1, 1)
	const id = "/q/00000000000000aa"
	cases := []struct {
		name, method, path, body string
		status                   int
		word                     string
	}{
		{"unknown host or path", http.MethodPost, "/x/00", "{}", 404, "no route"},
		{"state of an unknown job", http.MethodGet, id, "", 410, "no such job"},
		{"cancel of an unknown job", http.MethodDelete, id, "", 410, "no such job"},
		{"pending", http.MethodGet, "/q/", "", 200, `"pending":0`},
		{"method", http.MethodPut, id, "", 405, "PUT"},
		{"malformed", http.MethodPost, id, "{", 400, "not a job"},
		{"oversize", http.MethodPost, id, strings.Repeat(" ", 6000), 413, "larger"},
		{"timed job", http.MethodPost, id, `{"spec":"x","times":2,"steps":[{"count":1}]}`, 503, "times"},
		{"long-running job", http.MethodPost, id, `{"spec":"x","longRunning":true,"steps":[{"count":1}]}`, 503, "longRunning"},
		{"gang", http.MethodPost, id, `{"spec":"x","bestEffort":true,"steps":[{"count":1,"gang":true}]}`, 503, "gang"},
	}
	for _, c := range cases {
		status, body, _ := s.call(0, c.method, c.path, c.body)
		if status != c.status || !strings.Contains(body, c.word) {
			t.Errorf("%s: %d %s, want %d with %q", c.name, status, body, c.status, c.word)
		}
	}
	if n := len(s.servers[0].Starts()); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

func TestConfigurationVersionsOnlyIncrease(t *testing.T) {
	s := newSite(t, 1, 2)
	second := strings.Replace(strings.Replace(route, "r1", "r2", 1), "/q/", "/new/", 1)
	s.configure(5, second)
	for i := range s.instances {
		s.await("the new route is served", func() bool { status, _, _ := s.call(i, http.MethodGet, "/new/", ""); return status == 200 })
		if status, _, _ := s.call(i, http.MethodGet, "/q/", ""); status != http.StatusNotFound {
			t.Errorf("instance %d responds with %d on the removed route", i, status)
		}
		s.instances[i].applyConfig(fmt.Appendf(nil, config, 4, route), "test")
		if status, _, _ := s.call(i, http.MethodGet, "/q/", ""); status != http.StatusNotFound {
			t.Errorf("instance %d reverted to an older configuration", i)
		}
	}
}

// TestConfigurationFromPeers isolates an instance from the store before a change.
func TestConfigurationFromPeers(t *testing.T) {
	s := newSite(t, 1, 2)
	l := s.addInstanceBehindLink("n2")
	l.SetMode(link.Mode{Silent: true})
	s.configure(5, strings.Replace(strings.Replace(route, "r1", "r2", 1), "/q/", "/new/", 1))
	s.await("the new route is served", func() bool { status, _, _ := s.call(2, http.MethodGet, "/new/", ""); return status == 200 })
}

// TestOnlySomeInstancesWatchTheStore changes the configuration and the servers of
// a site where two of four instances watch them in the store.
func TestOnlySomeInstancesWatchTheStore(t *testing.T) {
	const wanted = 2
	s := newSharedWatchSite(t, 2, 4, 1)
	s.await("two instances watch the store", func() bool {
		n := 0
		for _, x := range s.instances {
			x.store.mu.Lock()
			if x.store.stopSharedWatches != nil {
				n++
			}
			x.store.mu.Unlock()
		}
		return n == wanted
	})
	s.configure(5, strings.Replace(strings.Replace(route, "r1", "r2", 1), "/q/", "/new/", 1))
	s.addServer("late")
	for i := range s.instances {
		s.await("the new route is served", func() bool { status, _, _ := s.call(i, http.MethodGet, "/new/", ""); return status == 200 })
	}
	s.await("the new server runs tasks", func() bool {
		if status, body, _ := s.call(0, http.MethodPost, "/new/"+jobName(s), job("x", 12)); status != http.StatusOK {
			t.Errorf("response %d %s", status, body)
		}
		return len(s.servers[2].Starts()) > 0
	})
}

// TestServerWatchCatchesUp adds a server after more changes than the watch reads within
// the time of the test, if it pauses after each reply.
func TestServerWatchCatchesUp(t *testing.T) {
	const limit = 5
	s := newSite(t, 1, 1)
	s.store.Faults.SetFaults(standin.Faults{WatchChanges: limit})
	for range limit * int(2*waitTimeout/fleet.ServerWatchInterval) {
		s.writeEntry(s.entries["w0"])
	}
	s.addServer("late")
	s.await("the new server is owned", func() bool { return s.logs.count(`"name":"server-owned"`, `"server":"late"`) > 0 })
}

// jobName returns an unused job ID.
func jobName(s *site) string {
	s.submitted++
	return fmt.Sprintf("%016x", s.submitted)
}

// TestOperationsPageWalkthroughs runs the failed requests of docs/OPERATIONS.md
// and checks the log lines it explains.
func TestOperationsPageWalkthroughs(t *testing.T) {
	s := newSite(t, 1, 1)
	// A ready instance may still wait for the first poll of its server, which this job awaits.
	if status, body, _ := s.call(0, http.MethodPost, "/q/00000000000000f0", job("x", 1)); status != http.StatusOK {
		t.Fatalf("first job: %d %s", status, body)
	}
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
			t.Errorf("job %s: rejected without Retry-After", c.id)
		}
		got := s.logs.forJob(c.id)
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

func TestStopFinishesInFlightJobs(t *testing.T) {
	s := newSite(t, 1, 2)
	release := make(chan struct{})
	s.servers[0].Behavior = func(fleet.RunID, string) (time.Duration, fleet.EndKind) {
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
		t.Errorf("response to the in-flight job: %s", body)
	}
}

func TestMetricsEndpoint(t *testing.T) {
	s := newSite(t, 1, 1)
	s.call(0, http.MethodPost, "/q/00000000000000d1", job("x", 1))
	resp, err := http.Get("http://" + s.instances[0].settings.MetricsAddr + "/metrics")
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

// TestStopAnswersRequestsOnIdleConnections sends a request over an idle connection
// after the stop began, as if it had been in flight before.
func TestStopAnswersRequestsOnIdleConnections(t *testing.T) {
	s := newSite(t, 1, 2)
	conn, err := net.Dial("tcp", s.instances[0].settings.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	request := func() *http.Response {
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
	if r := request(); r.StatusCode != http.StatusOK || r.Close {
		t.Fatalf("status %d, closes: %v", r.StatusCode, r.Close)
	}
	s.stops[0]()
	s.await("the instance is no longer ready", func() bool { return !s.instances[0].ready.on.Load() })
	time.Sleep(100 * time.Millisecond) // time to close the connection, if it were closed
	if r := request(); r.StatusCode != http.StatusOK || !r.Close {
		t.Errorf("after the stop: status %d, closes: %v", r.StatusCode, r.Close)
	}
}
