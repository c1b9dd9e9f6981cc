package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/model"
	port "github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/link"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/worker"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Bounds of the deployment, the same as on the users' platform.
const (
	gracePeriod    = 6 * time.Second
	maxLease       = time.Second
	stopTimeout    = 50 * time.Millisecond
	resendInterval = 1300 * time.Millisecond
	minLeaseTTL    = time.Second
)

const (
	serviceName = "svc"
	hostName    = "soak.example"
	pathPrefix  = "/q/"
	numDomains  = 3
)

// serverCPUMilli is the CPU of a backend server, enough for two or three tasks.
const serverCPUMilli = 4000

// Health of a server, which decides how its runs end.
const (
	healthy int32 = iota
	hangs
	fails
)

// server is a backend server behind a link.
type server struct {
	*worker.Server
	id     model.ServerID
	link   *link.Link
	health atomic.Int32
}

// deployment is a deployment on loopback: stand-ins in this process, instances as
// processes of their own.
type deployment struct {
	ctx         context.Context
	dir         string
	jobDeadline time.Duration
	maxLateness time.Duration
	recorder    *recorder
	store       *standin.Handler
	storeAddr   string
	servers     []*server
	processes   []*process
	domains     []model.Domain
	version     atomic.Int64
	background  sync.WaitGroup // restarts and load in progress
	holding     sync.Mutex     // held while messages to some instances are held back
}

// newDeployment starts a deployment; its ports are closed when ctx ends.
func newDeployment(ctx context.Context, o Options) (*deployment, error) {
	dep := &deployment{ctx: ctx, dir: o.Dir, jobDeadline: o.JobDeadline, maxLateness: o.MaxLateness, recorder: newRecorder(), store: standin.New(standin.Options{MinSessionTTL: minLeaseTTL})}
	for d := range numDomains {
		dep.domains = append(dep.domains, model.Domain(fmt.Sprintf("d%d", d)))
	}
	var err error
	if dep.storeAddr, err = dep.serve(dep.store); err != nil {
		return nil, err
	}
	dep.publishConfig()
	for i := range o.Servers {
		if err := dep.addServer(i); err != nil {
			return nil, err
		}
	}
	for i := range o.Instances {
		if err := dep.addProcess(i, o); err != nil {
			return nil, err
		}
	}
	return dep, nil
}

func (dep *deployment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	context.AfterFunc(dep.ctx, func() { l.Close() })
	return l, nil
}

// serve serves a stand-in until ctx ends.
func (dep *deployment) serve(h http.Handler) (addr string, err error) {
	l, err := dep.listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // returns when the listener is closed
	return l.Addr().String(), nil
}

// startLink starts a link to an address.
func (dep *deployment) startLink(target string) (l *link.Link, addr string, err error) {
	listener, err := dep.listen()
	if err != nil {
		return nil, "", err
	}
	l = link.New(target)
	go func() { _ = l.Serve(dep.ctx, listener) }() // returns when the listener is closed
	return l, listener.Addr().String(), nil
}

func (dep *deployment) addServer(i int) error {
	x := &server{id: model.ServerID(fmt.Sprintf("s%03d", i))}
	x.Server = worker.NewServer(string(x.id), worker.Options{
		MaxLease: maxLease, StopDelay: stopTimeout / 2,
		OnStart: func(r fleet.RunID) { dep.recorder.started(x.id, r) },
		OnEnd:   func(e fleet.EndedRun, at fleet.Time) { dep.recorder.ended(x.id, e.Run, e.Kind, at) },
		OnCrash: func() { dep.recorder.crashed(x.id) },
	})
	x.Behavior = x.behavior
	addr, err := dep.serve(x)
	if err != nil {
		return err
	}
	if x.link, addr, err = dep.startLink(addr); err != nil {
		return err
	}
	dep.store.Store.Register(serviceName, port.ServiceInstance{
		ID: string(x.id), Addr: netip.MustParseAddrPort(addr), Domain: dep.domains[i%numDomains], Slots: 8,
		Capacity: model.Resources{CPUMilli: serverCPUMilli, MemoryMB: 4096}, State: port.StateActive,
	})
	dep.servers = append(dep.servers, x)
	return nil
}

// behavior decides the duration and the end of a run; the spec of a job is its
// run time in milliseconds.
func (x *server) behavior(_ fleet.RunID, spec string) (time.Duration, fleet.EndKind) {
	switch x.health.Load() {
	case hangs:
		return 0, fleet.EndDone
	case fails:
		return time.Millisecond, fleet.EndFailed
	}
	ms, err := strconv.Atoi(spec)
	if err != nil {
		return time.Millisecond, fleet.EndFailed
	}
	return time.Duration(ms) * time.Millisecond, fleet.EndDone
}

func (dep *deployment) addProcess(i int, o Options) error {
	p := &process{
		name: model.Instance(fmt.Sprintf("i%02d", i)), domain: dep.domains[i%numDomains], binary: o.Binary, dir: o.Dir,
		ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, o.Seed%250+1, i+1),
	}
	var err error
	if p.storeLink, p.storeAddr, err = dep.startLink(dep.storeAddr); err != nil {
		return err
	}
	if p.peersLink, p.peersAddr, err = dep.startLink(fmt.Sprintf("%s:%d", p.ip, peerPort)); err != nil {
		return err
	}
	if p.callersLink, p.callersAddr, err = dep.startLink(fmt.Sprintf("%s:%d", p.ip, callerPort)); err != nil {
		return err
	}
	text, err := p.settings(dep.domains)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, string(p.name)+".json"), text, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	dep.processes = append(dep.processes, p)
	return p.start()
}

// publishConfig writes a new version of the configuration to the store. Each has
// its own route, by which callers see which version is in force.
func (dep *deployment) publishConfig() {
	v := dep.version.Add(1)
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"timeoutMs":20000,"sloMs":60,"service":%q,"attempts":3,"stretch":1.6}`,
			name, hostName, prefix, serviceName)
	}
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q}],"limits":{"maxBodyBytes":5000}}`,
		v, strings.Join([]string{route("jobs", pathPrefix), route("version", versionPath(v))}, ","), serviceName)
	dep.store.Store.Commit(standin.Txn{Writes: []port.Entry{{Key: platform.ConfigKey, Value: []byte(text)}}})
}

func versionPath(v int64) string { return fmt.Sprintf("/version-%d/", v) }

func (dep *deployment) anyProcess(r *rand.Rand) *process {
	return dep.processes[r.IntN(len(dep.processes))]
}

func (dep *deployment) anyServer(r *rand.Rand) *server { return dep.servers[r.IntN(len(dep.servers))] }

// runAfter calls f after d, in the background.
func (dep *deployment) runAfter(d time.Duration, f func()) {
	dep.background.Go(func() {
		time.Sleep(d)
		f()
	})
}

// restart starts a process again once it has exited, and kills it first if it
// has not exited within the grace period.
func (dep *deployment) restart(p *process) {
	dep.background.Go(func() {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		select {
		case <-exited:
		case <-time.After(gracePeriod):
			p.kill()
		}
		if err := p.start(); err != nil {
			dep.addViolation("%v", err)
		}
	})
}

// restartAll restarts every process that is not running.
func (dep *deployment) restartAll() {
	for _, p := range dep.processes {
		p.mu.Lock()
		running := p.cmd != nil
		p.mu.Unlock()
		if !running {
			dep.restart(p)
		}
	}
}

// addViolation records a violation or an error of the soak itself.
func (dep *deployment) addViolation(format string, args ...any) {
	dep.recorder.mu.Lock()
	defer dep.recorder.mu.Unlock()
	dep.recorder.addViolation(format, args...)
}

// killAll kills all processes.
func (dep *deployment) killAll() {
	for _, p := range dep.processes {
		p.signal(syscall.SIGCONT, false)
		p.kill()
	}
}
