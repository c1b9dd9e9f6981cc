package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/entry"
	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/settings"
	"github.com/nutmegweir/nutmegweir/internal/standin/backend"
	"github.com/nutmegweir/nutmegweir/internal/standin/platform"
)

type devArgs struct {
	Once     bool `arg:"--once" help:"exit after the first answer"`
	Backends int  `arg:"--backends" default:"4" help:"backend servers" placeholder:"N"`
}

const (
	devDomain    = model.Domain("dev")
	devSlots     = 8
	devTaskCount = 20
	devRunMs     = 50
	devTimeout   = 30 * time.Second
	loopback     = "127.0.0.1:0"
)

// dev runs the platform stand-in, a few backend servers and one entry instance
// in this process, submits a job and, unless --once is set, keeps serving.
func dev(ctx context.Context, a *devArgs, stdout, stderr io.Writer) error {
	addr, err := startDevPlatform(ctx, a.Backends)
	if err != nil {
		return err
	}
	i, err := newDevInstance(addr, stderr)
	if err != nil {
		return err
	}
	i.Start()
	if err := runDevJob(ctx, i, stdout); err != nil {
		i.Close()
		return err
	}
	fmt.Fprintf(stdout, "submit jobs to   http://%s%s\n", i.CallerAddr(), api.PathJobs)
	fmt.Fprintf(stdout, "status page      http://%s/\n", i.OperatorAddr())
	fmt.Fprintf(stdout, "metrics          http://%s/metrics\n", i.OperatorAddr())
	if !a.Once {
		fmt.Fprintln(stdout, "serving; stop with Ctrl-C")
		<-ctx.Done()
	}
	return shutdownWithin(i, devTimeout)
}

func startDevPlatform(ctx context.Context, backends int) (string, error) {
	h := platform.New(platform.Options{})
	l, err := serveOnLoopback(ctx, h)
	if err != nil {
		return "", err
	}
	for n := range backends {
		name := fmt.Sprintf("dev-%d", n)
		s := backend.New(backend.Options{Name: name, Slots: devSlots})
		bl, err := serveOnLoopback(ctx, s)
		if err != nil {
			return "", err
		}
		addr := netip.MustParseAddrPort(bl.Addr().String())
		h.Store.Register(BackendService, serviceInstance(name, addr, devDomain, devSlots))
	}
	return l.Addr().String(), nil
}

func serveOnLoopback(ctx context.Context, h http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen on a loopback port")
	}
	go func() { _ = serveHTTP(ctx, l, h) }()
	return l, nil
}

func newDevInstance(platformAddr string, stderr io.Writer) (*entry.Instance, error) {
	set := settings.Default()
	set.Instance = "dev"
	set.Domain = devDomain
	set.Domains = []model.Domain{devDomain}
	set.Listen = settings.Listen{Caller: loopback, Peer: loopback, Operator: loopback}
	set.Platform.Addr = platformAddr
	set.TLS.Caller.Plain = true
	set.TLS.Peer.Plain = true
	set.TLS.Operator.Plain = true
	log, err := eventlog.New(stderr, "error")
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{Settings: &set, Log: log})
}

// runDevJob submits a job and prints its answer.
func runDevJob(ctx context.Context, i *entry.Instance, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, devTimeout)
	defer cancel()
	if err := i.WaitReady(ctx); err != nil {
		return err
	}
	job, err := newDevJob()
	if err != nil {
		return err
	}
	answer, err := postJob(ctx, i.CallerAddr(), job)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "job %s of %d tasks: %s\n", job.Key, len(job.Tasks), answer)
	return nil
}

func newDevJob() (*api.Job, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "generate a job key")
	}
	job := &api.Job{
		Customer: "dev",
		Home:     string(devDomain),
		Key:      key.String(),
		Kind:     "demo",
	}
	for n := range devTaskCount {
		payload := fmt.Sprintf(`{"run_ms":%d,"echo":%d}`, devRunMs, n)
		job.Tasks = append(job.Tasks, json.RawMessage(payload))
	}
	return job, nil
}

func postJob(ctx context.Context, addr string, job *api.Job) ([]byte, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, errors.Wrap(err, "encode the job")
	}
	url := "http://" + addr + api.PathJobs
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "submit the job")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the job was answered %s: %s", resp.Status, answer)
	}
	return answer, nil
}
