package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/standin/link"
	"github.com/nutmegweir/nutmegweir/platform"
)

// Ports of an instance at its own IP address.
const (
	callerPort   = 8161
	readyPort    = 8167
	peerPort     = 7720
	lastPeerPort = 7735
)

// process is an instance: the real program, with links to it and to the store
// into which the soak injects faults.
type process struct {
	name      model.Instance
	domain    model.Domain
	ip        string
	binary    string
	dir       string
	storeLink *link.Link // to the store
	peersLink *link.Link // from the other instances
	peersAddr string     // address of peersLink
	storeAddr string     // address of storeLink

	callersLink *link.Link // from callers
	callersAddr string     // address of callersLink

	mu               sync.Mutex
	cmd              *exec.Cmd
	exited           chan struct{}
	starts           int
	undisturbedSince time.Time // time of the last start or signal, zero while a signal's effect lasts
}

// settings returns the settings file that the platform would write for the process.
func (p *process) settings(domains []model.Domain) ([]byte, error) {
	zones := map[model.Domain]string{}
	for _, d := range domains {
		zones[d] = "soak"
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	return json.Marshal(map[string]any{
		"node": p.name, "ip": p.ip, "zone": p.domain, "zones": zones,
		"listen":    map[string]string{"front": at(callerPort), "ready": at(readyPort)},
		"portRange": []int{peerPort, lastPeerPort},
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284},
		"discovery": "platform", "entry": "vip", "commands": "rpc",
		"bounds": map[string]any{
			"graceS": gracePeriod.Seconds(), "maxHoldMs": maxLease.Milliseconds(), "stopTimeoutMs": stopTimeout.Milliseconds(),
			"resendMs": resendInterval.Milliseconds(), "status_s": 120,
		},
		"platform": map[string]any{"address": p.storeAddr, "form": "kv", "minTtlMs": minLeaseTTL.Milliseconds(), "writesPerS": 400},
	})
}

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	logs, err := os.OpenFile(filepath.Join(p.dir, string(p.name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open the log of an instance")
	}
	defer logs.Close()
	cmd := exec.Command(p.binary, "fleet", "--advertise", p.peersAddr)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsFile())
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start an instance; check that the program is built")
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.undisturbedSince = cmd, exited, time.Now()
	p.starts++
	go func() {
		_ = cmd.Wait() // the exit status does not matter
		p.mu.Lock()
		p.cmd, p.undisturbedSince = nil, time.Time{}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (p *process) settingsFile() string { return filepath.Join(p.dir, string(p.name)+".json") }

// signal sends a signal to the program if it is running. undisturbed is set if the
// program continues normally afterwards.
func (p *process) signal(s syscall.Signal, undisturbed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.undisturbedSince = time.Time{}
	if undisturbed {
		p.undisturbedSince = time.Now()
	}
	_ = p.cmd.Process.Signal(s) // it may have just exited
}

// kill kills the program and waits until it has exited.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGKILL, false)
	if exited != nil {
		<-exited
	}
}

// incarnation returns the number of starts of the program, and since when it has
// run undisturbed by signals.
func (p *process) incarnation() (n int, undisturbedSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.undisturbedSince
}

// ready reports whether the instance accepts callers.
func (p *process) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readyz", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
