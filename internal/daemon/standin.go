package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/model"
	port "github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/backend"
	"github.com/nutmegweir/nutmegweir/internal/standin/link"
	"github.com/nutmegweir/nutmegweir/internal/standin/platform"
)

var errNoCommand = errors.New("no command given; run nutmegweir --help")

type standinArgs struct {
	Platform *standinPlatformArgs `arg:"subcommand:platform" help:"the platform's key-value service"`
	Backend  *standinBackendArgs  `arg:"subcommand:backend" help:"a backend server"`
	Link     *standinLinkArgs     `arg:"subcommand:link" help:"a network link that can go silent"`
}

type standinLinkArgs struct {
	Listen  string `arg:"--listen,required" help:"IP:port to listen on" placeholder:"ADDR"`
	Target  string `arg:"--target,required" help:"IP:port to forward to" placeholder:"ADDR"`
	Control string `arg:"--control,required" help:"IP:port of the control port" placeholder:"ADDR"`
}

type standinPlatformArgs struct {
	Listen   string   `arg:"--listen,required" help:"IP:port to listen on" placeholder:"ADDR"`
	LagMs    int      `arg:"--lag-ms" default:"0" help:"lag of the instance list" placeholder:"MS"`
	Backends []string `arg:"--backend,separate" help:"a listed backend server: id,ip:port,domain,slots" placeholder:"SERVER"`
}

type standinBackendArgs struct {
	Listen string  `arg:"--listen,required" help:"IP:port to listen on" placeholder:"ADDR"`
	Name   string  `arg:"--name,required" help:"name of the backend server" placeholder:"NAME"`
	Slots  int     `arg:"--slots" default:"8" help:"tasks at once" placeholder:"N"`
	Speed  float64 `arg:"--speed" default:"1" help:"run times are divided by it" placeholder:"X"`
}

// BackendService is the service name under which the stand-in lists backend
// servers.
const BackendService = "backend"

func runStandin(ctx context.Context, a *standinArgs, stdout io.Writer) error {
	switch {
	case a.Platform != nil:
		return servePlatform(ctx, a.Platform, stdout)
	case a.Backend != nil:
		return serveBackend(ctx, a.Backend, stdout)
	case a.Link != nil:
		return serveLink(ctx, a.Link, stdout)
	}
	return errNoCommand
}

func servePlatform(ctx context.Context, a *standinPlatformArgs, stdout io.Writer) error {
	h := platform.New(platform.Options{Lag: time.Duration(a.LagMs) * time.Millisecond})
	for _, text := range a.Backends {
		s, err := parseBackend(text)
		if err != nil {
			return err
		}
		h.Store.Register(BackendService, s)
	}
	l, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return errors.Wrap(err, "open --listen; choose a free address")
	}
	fmt.Fprintln(stdout, "platform stand-in on", l.Addr())
	return serveHTTP(ctx, l, h)
}

// parseBackend parses id,ip:port,domain,slots.
func parseBackend(text string) (port.ServiceInstance, error) {
	var s port.ServiceInstance
	f := strings.Split(text, ",")
	if len(f) != 4 {
		return s, errors.Errorf("--backend %q: write id,ip:port,domain,slots", text)
	}
	addr, err := netip.ParseAddrPort(f[1])
	if err != nil {
		return s, errors.Wrapf(err, "--backend %q: write the address as ip:port", text)
	}
	slots, err := strconv.Atoi(f[3])
	if err != nil {
		return s, errors.Wrapf(err, "--backend %q: write the slots as a number", text)
	}
	return serviceInstance(f[0], addr, model.Domain(f[2]), slots), nil
}

func serviceInstance(id string, addr netip.AddrPort, d model.Domain, slots int) port.ServiceInstance {
	return port.ServiceInstance{
		ID:       id,
		Addr:     addr,
		Domain:   d,
		Slots:    slots,
		Capacity: standinResources,
		State:    port.StateActive,
	}
}

// standinResources is the capacity of a backend server stand-in.
var standinResources = model.Resources{CPUMilli: 32000, MemoryMB: 64 << 10, Accelerators: 1}

func serveBackend(ctx context.Context, a *standinBackendArgs, stdout io.Writer) error {
	s := backend.New(backend.Options{Name: a.Name, Slots: a.Slots, Speed: a.Speed})
	l, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return errors.Wrap(err, "open --listen; choose a free address")
	}
	fmt.Fprintln(stdout, "backend server stand-in", a.Name, "on", l.Addr())
	return serveHTTP(ctx, s.Listener(l), s)
}

func serveLink(ctx context.Context, a *standinLinkArgs, stdout io.Writer) error {
	l := link.New(a.Target)
	data, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return errors.Wrap(err, "open --listen; choose a free address")
	}
	control, err := net.Listen("tcp", a.Control)
	if err != nil {
		return errors.Wrap(err, "open --control; choose a free address")
	}
	fmt.Fprintln(stdout, "link stand-in on", data.Addr())
	go func() { _ = serveHTTP(ctx, control, l) }()
	return l.Serve(ctx, data)
}

func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return errors.Wrap(err, "serve the stand-in")
	}
	return nil
}
