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

// Bounds of the deployment, those of the users' platform.
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

// serverCPUMilli is the capacity of a backend server in milli-cores, for two or three
// tasks.
const serverCPUMilli = 4000

// Health of a server's runs.
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
	maxLateness time.Duration
	recorder    *recorder
	store       *standin.Handler
	storeAddr   string
	servers     []*server
	processes   []*process
	domains     []model.Domain
	version     atomic.Int64
	background  sync.WaitGroup // restarts and load under way
}

// newDeployment makes the deployment; its ports end with ctx.
func newDeployment(ctx context.Context, o Options) (*deployment, error) {
	s := &deployment{ctx: ctx, dir: o.Dir, maxLateness: o.MaxLateness, recorder: newRecorder(), store: standin.New(standin.Options{MinSessionTTL: minLeaseTTL})}
	for d := range numDomains {
		s.domains = append(s.domains, model.Domain(fmt.Sprintf("d%d", d)))
	}
	var err error
	if s.storeAddr, err = s.serve(s.store); err != nil {
		return nil, err
	}
	s.publishConfig()
	for i := range o.Servers {
		if err := s.addServer(i); err != nil {
			return nil, err
		}
	}
	for i := range o.Instances {
		if err := s.addProcess(i, o); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *deployment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	context.AfterFunc(s.ctx, func() { l.Close() })
	return l, nil
}

// serve serves a stand-in until ctx ends.
func (s *deployment) serve(h http.Handler) (addr string, err error) {
	l, err := s.listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the listener
	return l.Addr().String(), nil
}

// startLink puts a link before an address.
func (s *deployment) startLink(target string) (l *link.Link, addr string, err error) {
	listener, err := s.listen()
	if err != nil {
		return nil, "", err
	}
	l = link.New(target)
	go func() { _ = l.Serve(s.ctx, listener) }() // ends with the listener
	return l, listener.Addr().String(), nil
}

func (s *deployment) addServer(i int) error {
	x := &server{id: model.ServerID(fmt.Sprintf("s%03d", i))}
	x.Server = worker.NewServer(string(x.id), worker.Options{
		MaxLease: maxLease, StopDelay: stopTimeout / 2,
		OnStart: func(r fleet.RunID) { s.recorder.started(x.id, r) },
		OnEnd:   func(e fleet.EndedRun, at fleet.Time) { s.recorder.ended(x.id, e.Run, e.Kind, at) },
		OnCrash: func() { s.recorder.crashed(x.id) },
	})
	x.Behavior = x.behavior
	addr, err := s.serve(x)
	if err != nil {
		return err
	}
	if x.link, addr, err = s.startLink(addr); err != nil {
		return err
	}
	s.store.Store.Register(serviceName, port.ServiceInstance{
		ID: string(x.id), Addr: netip.MustParseAddrPort(addr), Domain: s.domains[i%numDomains], Slots: 8,
		Capacity: model.Resources{CPUMilli: serverCPUMilli, MemoryMB: 4096}, State: port.StateActive,
	})
	s.servers = append(s.servers, x)
	return nil
}

// behavior says how a run goes; the spec of a job is its time in milliseconds.
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

func (s *deployment) addProcess(i int, o Options) error {
	p := &process{
		name: model.Instance(fmt.Sprintf("i%02d", i)), domain: s.domains[i%numDomains], binary: o.Binary, dir: o.Dir,
		ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, o.Seed%250+1, i+1),
	}
	var err error
	if p.storeLink, p.storeAddr, err = s.startLink(s.storeAddr); err != nil {
		return err
	}
	if p.peersLink, p.peersAddr, err = s.startLink(fmt.Sprintf("%s:%d", p.ip, peerPort)); err != nil {
		return err
	}
	text, err := p.settings(s.domains)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, string(p.name)+".json"), text, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	s.processes = append(s.processes, p)
	return p.start()
}

// publishConfig puts a new version of the configuration in the store. Each has a
// route of its own, by which callers see which version is in force.
func (s *deployment) publishConfig() {
	v := s.version.Add(1)
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"timeoutMs":20000,"sloMs":60,"service":%q,"attempts":3,"stretch":1.6}`,
			name, hostName, prefix, serviceName)
	}
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q}],"limits":{"maxBodyBytes":5000}}`,
		v, strings.Join([]string{route("jobs", pathPrefix), route("version", versionPath(v))}, ","), serviceName)
	s.store.Store.Commit(standin.Txn{Writes: []port.Entry{{Key: platform.ConfigKey, Value: []byte(text)}}})
}

func versionPath(v int64) string { return fmt.Sprintf("/version-%d/", v) }

func (s *deployment) anyProcess(r *rand.Rand) *process { return s.processes[r.IntN(len(s.processes))] }

func (s *deployment) anyServer(r *rand.Rand) *server { return s.servers[r.IntN(len(s.servers))] }

// runAfter calls f after d, and is waited for.
func (s *deployment) runAfter(d time.Duration, f func()) {
	s.background.Go(func() {
		time.Sleep(d)
		f()
	})
}

// restart starts a process again once it has ended, with force after the grace.
func (s *deployment) restart(p *process) {
	s.background.Go(func() {
		p.mu.Lock()
		ended := p.exited
		p.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(gracePeriod):
			p.kill()
		}
		if err := p.start(); err != nil {
			s.addViolation("%v", err)
		}
	})
}

// restartAll lets every process run, also those that are paused.
func (s *deployment) restartAll() {
	for _, p := range s.processes {
		p.mu.Lock()
		runs := p.cmd != nil
		p.mu.Unlock()
		if !runs {
			s.restart(p)
		}
	}
}

// addViolation notes a addViolation of the soak itself or of a promise.
func (s *deployment) addViolation(format string, args ...any) {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	s.recorder.addViolation(format, args...)
}

// killAll ends all processes.
func (s *deployment) killAll() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT, false)
		p.kill()
	}
}
