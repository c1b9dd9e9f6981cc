package ingresstest

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
	port "github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/backend"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/worker"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Limits of the processes under test: the memory of the smallest instance, and so few
// file descriptors that a few hundred connections reach the limit.
const (
	memoryMB    = 144
	maxFDs      = 600
	reservedFDs = 200
	bodyBytes   = 262_144
	headerBytes = 16_384
)

// longSpec is the spec of jobs whose tasks run longer than the test.
const longSpec = "long"

// process is a process under test with its caller port.
type process struct {
	cmd     *exec.Cmd
	addr    string // of the caller port
	host    string // Host header
	path    func() string
	job     func() string // body of an ordinary request
	exited  chan struct{}
	logFile string
}

// freePort returns a loopback address at which nothing listens.
func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func serveStandin(t *testing.T, h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	t.Cleanup(s.CloseClientConnections) // watches are long polls
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// start starts the program, which is killed at the end of the test.
func (p *process) start(t *testing.T, binary string, env []string, args ...string) {
	p.logFile = filepath.Join(t.TempDir(), "log")
	logs, err := os.Create(p.logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer logs.Close()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // the exit status does not matter
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
}

// startListening starts the program and waits until its caller port is open. It tries again
// if another process has taken one of its ports meanwhile.
func startListening(t *testing.T, binary string, start func(*testing.T, string) *process) *process {
	t.Helper()
	for {
		p := start(t, binary)
		for end := time.Now().Add(maxLoad); p.alive() && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if c, err := net.DialTimeout("tcp", p.addr, callTimeout); err == nil {
				_ = c.Close()
				return p
			}
		}
		log, err := os.ReadFile(p.logFile)
		if err != nil || p.alive() || !strings.Contains(string(log), "address already in use") {
			t.Fatalf("the program does not listen: %v %s", err, log)
		}
	}
}

// startFleet starts `nutmegweir fleet` with a stand-in of the store and one server.
func startFleet(t *testing.T, binary string) *process {
	return startFleetInstance(t, binary, "n1", startFleetSite(t))
}

// startFleetSite starts a stand-in of the store and one server, and returns the store.
func startFleetSite(t *testing.T) netip.AddrPort {
	store := standin.New(standin.Options{MinSessionTTL: time.Second})
	store.Store.Commit(standin.Txn{Writes: []port.Entry{{Key: platform.ConfigKey, Value: fmt.Appendf(nil,
		`{"version":1,"routes":[{"name":"jobs","host":"h.example","prefix":"/q/","timeoutMs":20000,"sloMs":60,"service":"svc","attempts":3,"stretch":1.6}],`+
			`"services":[{"name":"svc"}],"limits":{"maxBodyBytes":%d,"maxHeaderBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, bodyBytes, headerBytes)}}})
	w := worker.NewServer("s1", worker.Options{MaxLease: time.Second, StopDelay: 25 * time.Millisecond})
	w.Behavior = func(_ fleet.RunID, spec string) (time.Duration, fleet.EndKind) {
		if spec == longSpec {
			return time.Hour, fleet.EndDone
		}
		return time.Millisecond, fleet.EndDone
	}
	store.Store.Register("svc", port.ServiceInstance{
		ID: "s1", Addr: serveStandin(t, w), Domain: "d0", Slots: 8,
		Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4096}, State: port.StateActive,
	})
	return serveStandin(t, store)
}

// startFleetInstance starts an instance at a store.
func startFleetInstance(t *testing.T, binary, name string, store netip.AddrPort) *process {
	peer := netip.MustParseAddrPort(freePort(t)).Port()
	addr := freePort(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	settings := fmt.Sprintf(`{"node":%q,"ip":"127.0.0.1","zone":"d0","zones":{"d0":"r"},"listen":{"front":%q,"ready":%q},"portRange":[%d,%d],`+
		`"limits":{"cpuShare":1,"cores":2,"memoryMb":%d,"maxFds":%d},"discovery":"platform","entry":"vip","commands":"rpc",`+
		`"bounds":{"graceS":6,"maxHoldMs":1000,"stopTimeoutMs":50,"resendMs":1300,"status_s":120},`+
		`"platform":{"address":%q,"form":"kv","minTtlMs":1000,"writesPerS":400}}`,
		name, addr, freePort(t), peer, peer, memoryMB, maxFDs, store)
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	p := &process{addr: addr, host: "h.example"}
	p.path = func() string { return fmt.Sprintf("/q/%016x", uuid.New().ID()) }
	p.job = func() string {
		return `{"spec":"1","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":1,"estMs":1}]}`
	}
	p.start(t, binary, []string{platform.SettingsVariable + "=" + file}, "fleet")
	return p
}

// startServe starts `nutmegweir serve` with a stand-in of the platform and one server.
func startServe(t *testing.T, binary string) *process {
	store := standin.New(standin.Options{})
	b := backend.New(backend.Options{Name: "b1", Slots: 8})
	store.Store.Register("backend", port.ServiceInstance{
		ID: "b1", Addr: serveStandin(t, b), Domain: "d0", Slots: 8,
		Capacity: model.Resources{CPUMilli: 4000, MemoryMB: 4096}, State: port.StateActive,
	})
	addr := freePort(t)
	file := filepath.Join(t.TempDir(), "settings.hujson")
	settings := fmt.Sprintf(`{"instance":"n1","domain":"d0","domains":["d0"],"listen":{"caller":%q,"peer":%q,"operator":%q},`+
		`"platform":{"addr":%q},"tls":{"caller":{"plain":true},"peer":{"plain":true},"operator":{"plain":true}},"shards":{"per_domain":8},`+
		`"limits":{"body_bytes":%d,"header_bytes":%d,"memory_mb":%d,"max_fds":%d},"log_level":"error"}`,
		addr, freePort(t), freePort(t), serveStandin(t, store), bodyBytes, headerBytes, memoryMB, maxFDs)
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	p := &process{addr: addr, host: addr}
	p.path = func() string { return "/v1/jobs" }
	p.job = func() string {
		return fmt.Sprintf(`{"customer":"c","home":"d0","kind":"k","key":%q,"tasks":[{"run_ms":1}]}`, uuid.Must(uuid.NewV7()))
	}
	p.start(t, binary, nil, "serve", "--config", file)
	return p
}

// memory returns the highest resident memory of the process, in megabytes.
func (p *process) memory(t *testing.T) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest + " -")[0])
	if err != nil {
		t.Fatalf("no VmHWM: %s", text)
	}
	return kb >> 10
}

// descriptors returns the number of open file descriptors of the process.
func (p *process) descriptors(t *testing.T) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// alive reports whether the process has not exited.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
