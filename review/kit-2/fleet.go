package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Instance is a process of the project, started with the command of the deploy file.
type Instance struct {
	name, zone string
	ip         string
	front      string
	ready      string
	settings   string
	logs       string
	cmd        *exec.Cmd
	ended      chan struct{}
}

// Deployment is a small deployment on loopback addresses.
type Deployment struct {
	rec       *Record
	dir       string // temporary folder
	root      string // of the repository
	run       []string
	net       int // second byte of its addresses
	netLock   net.Listener
	store     *Store
	zones     []string
	instances []*Instance
	minions   []*Minion
	host      string
	prefix    string
	service   string
	work      Work
}

func newDeployment(rec *Record, zones ...string) (*Deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{rec: rec, dir: dir, root: root, zones: zones, host: "queue7.example", prefix: "/rq41/", service: "ops"}
	if err = d.takeNet(); err != nil {
		return nil, err
	}
	if d.run, err = roleCommand(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	if d.store, err = startStore(d.ip(200, 1)); err != nil {
		return nil, err
	}
	deployments = append(deployments, d)
	return d, nil
}

// takeNet chooses addresses that no other script uses meanwhile.
func (d *Deployment) takeNet() (err error) {
	for range 100 {
		d.net = 20 + rand.IntN(200)
		if d.netLock, err = net.Listen("tcp", d.ip(255, 254)+":7099"); err == nil {
			return nil
		}
	}
	return err
}

func (d *Deployment) ip(a, b int) string { return fmt.Sprintf("127.%d.%d.%d", d.net, a, b) }

// roleCommand returns the command of the role in the deploy file.
func roleCommand(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if key, value, ok := strings.Cut(lines.Text(), "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s names no command", path)
}

// addMinions starts minions of a kind in a zone.
func (d *Deployment) addMinions(zone, kind string, n int, room Room) error {
	for range n {
		i := len(d.minions)
		rack := fmt.Sprintf("r-%s-%s", zone, kind)
		m := &Minion{
			id: fmt.Sprintf("m%02d-%s-%s", i, zone, kind), service: d.service, zone: zone, labels: []string{kind, rack}, room: room,
			work: d.work, store: d.store, rec: d.rec, ip: d.ip(100+i/200, 1+i%200),
		}
		if err := m.start(); err != nil {
			return err
		}
		d.minions = append(d.minions, m)
	}
	return nil
}

// configure writes the operator's configuration.
func (d *Deployment) configure(version, attempts int) {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue", "host": d.host, "prefix": d.prefix, "service": d.service, "timeoutMs": 30000, "sloMs": 60, "priority": 1, "attempts": attempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": d.service, "maxConns": 64, "enforcesCapacity": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 60000},
	})
	d.store.put("op/config", data)
}

// freePorts returns the first of n successive ports that are free at an address.
func freePorts(ip string, n int) (int, error) {
	for base := 7100; base < 30000; base += n {
		ok := true
		for p := base; p < base+n && ok; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if ok = err == nil; ok {
				l.Close()
			}
		}
		if ok {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// addInstance starts an instance in a zone.
func (d *Deployment) addInstance(name, zone string) (*Instance, error) {
	ip := d.ip(1+len(d.instances), 1)
	base, err := freePorts(ip, 12)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, base+n) }
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z] = "region-1"
	}
	i := &Instance{name: name, zone: zone, ip: ip, front: at(0), ready: at(1), settings: filepath.Join(d.dir, name+".json"), logs: filepath.Join(d.dir, name+".log")}
	data, _ := json.MarshalIndent(map[string]any{
		"node": name, "role": "nutmegweir", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "region-1", "zones": zones,
		"listen":    map[string]any{"front": at(0), "ready": at(1), "control": at(2)},
		"portRange": []int{base + 3, base + 10}, "seeds": []string{}, "bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"tolerate":  map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configMs": 2000,
			"downgradeMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "maxHoldMs": 1000, "stopTimeoutMs": 50, "gangTimeoutMs": 3000, "cancel_ms": 3000,
			"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 1.5, "checkpointIntervalS": 2, "restoreMs": 250, "noticeMs": 4500,
			"moveS": 1.5, "maintenanceS": 2, "requireFence": true, "leaseTtlMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000, "resendMs": 1300,
		},
		"commands": "rpc", "advice": "",
		"platform": map[string]any{"address": d.store.addr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
		"cloud":    map[string]any{"address": "", "ratePerS": 60.0, "duties": []string{}, "dutyPerS": 60.0},
	}, "", "  ")
	if err := os.WriteFile(i.settings, data, 0o600); err != nil {
		return nil, err
	}
	d.instances = append(d.instances, i)
	return i, d.launch(i)
}

// launch starts the process of an instance.
func (d *Deployment) launch(i *Instance) error {
	logs, err := os.OpenFile(i.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(filepath.Join(d.root, d.run[0]), d.run[1:]...)
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "NUTMEGWEIR_SETTINGS=" + i.settings}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd, i.ended = cmd, make(chan struct{})
	d.rec.add("started", i.name, "-", 0, fmt.Sprintf("process %d", cmd.Process.Pid))
	go func(ended chan struct{}) {
		err := cmd.Wait()
		d.rec.add("ended", i.name, "-", 0, fmt.Sprint(err))
		close(ended)
	}(i.ended)
	return nil
}

func (i *Instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

// kill ends an instance at once.
func (d *Deployment) kill(i *Instance) {
	d.rec.add("kill", i.name, "-", 0, "")
	i.signal(syscall.SIGKILL)
	<-i.ended
}

// awaitReady waits until all instances report that they are ready.
func (d *Deployment) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, i := range d.instances {
		for !i.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", i.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ownersAre waits until the store names an owner for each of n minions.
func (d *Deployment) awaitOwners(n int, limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		d.store.mu.Lock()
		owned := 0
		for k := range d.store.keys {
			if strings.Contains(k, "/owner/") {
				owned++
			}
		}
		d.store.mu.Unlock()
		if owned >= n {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d minions have an owner after %v", owned, n, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stop ends all processes and removes the temporary folder.
func (d *Deployment) stop() {
	for _, i := range d.instances {
		if i.cmd == nil {
			continue
		}
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.ended
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are in", d.dir)
	}
}

// deployments are those to stop at the end.
var deployments []*Deployment

func stopAll() {
	for _, d := range deployments {
		d.stop()
	}
}
