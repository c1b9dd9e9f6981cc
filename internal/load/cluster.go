package load

import (
	"fmt"
	"io"
	"slices"
)

// Cluster describes the processes that a workload runs against. A script starts
// them; this package only checks and prints the description.
type Cluster struct {
	Entries  []EntryGroup   `json:"entries"`
	Backends []BackendGroup `json:"backends"`
	Events   []ClusterEvent `json:"events"`
}

// EntryGroup is a number of entry instances in one failure domain.
type EntryGroup struct {
	Domain string `json:"domain"`
	Count  int    `json:"count"`
	Procs  int    `json:"procs"` // GOMAXPROCS, 0 leaves the default
}

// BackendGroup is a number of identical backend servers in one failure domain.
type BackendGroup struct {
	Domain string  `json:"domain"`
	Count  int     `json:"count"`
	Slots  int     `json:"slots"`
	Speed  float64 `json:"speed"` // 0 means 1
	Fault  string  `json:"fault"` // "", "fail" or "silent"
}

// ClusterEvent is a fault that the script injects during the run.
type ClusterEvent struct {
	AtMs   int64  `json:"at_ms"`
	Action string `json:"action"` // see clusterActions
	Target string `json:"target"` // failure domain, or the index of an entry instance
}

var clusterActions = []string{"kill-entry", "stop-entry", "start-entry", "pause-entry", "resume-entry", "cut-domain", "heal-domain", "stop-platform", "start-platform"}

func (c *Cluster) check() error {
	for i, e := range c.Entries {
		if e.Domain == "" || e.Count < 1 || e.Procs < 0 {
			return &WorkloadError{fmt.Sprintf("cluster.entries[%d]", i), "is out of bounds", "give domain and a count of at least 1"}
		}
	}
	for i, b := range c.Backends {
		if b.Domain == "" || b.Count < 1 || b.Slots < 1 || b.Speed < 0 {
			return &WorkloadError{fmt.Sprintf("cluster.backends[%d]", i), "is out of bounds", "give domain, count and slots of at least 1"}
		}
		if b.Fault != "" && b.Fault != "fail" && b.Fault != "silent" {
			return &WorkloadError{fmt.Sprintf("cluster.backends[%d].fault", i), "is not known", `give "", "fail" or "silent"`}
		}
	}
	for i, e := range c.Events {
		if e.AtMs < 0 || !slices.Contains(clusterActions, e.Action) {
			return &WorkloadError{fmt.Sprintf("cluster.events[%d].action", i), "is not known", fmt.Sprintf("give one of %v", clusterActions)}
		}
	}
	return nil
}

// Print writes the description for a script: one line for each process or event,
// fields separated by spaces, "-" for an empty field.
//
//	entry DOMAIN PROCS
//	backend DOMAIN SLOTS SPEED FAULT
//	event AT_MS ACTION TARGET
func (c *Cluster) Print(out io.Writer) error {
	for _, e := range c.Entries {
		for range e.Count {
			if _, err := fmt.Fprintf(out, "entry %s %d\n", e.Domain, e.Procs); err != nil {
				return err
			}
		}
	}
	for _, b := range c.Backends {
		setDefault(&b.Speed, 1)
		setDefault(&b.Fault, "-")
		for range b.Count {
			if _, err := fmt.Fprintf(out, "backend %s %d %g %s\n", b.Domain, b.Slots, b.Speed, b.Fault); err != nil {
				return err
			}
		}
	}
	for _, e := range c.Events {
		setDefault(&e.Target, "-")
		if _, err := fmt.Fprintf(out, "event %d %s %s\n", e.AtMs, e.Action, e.Target); err != nil {
			return err
		}
	}
	return nil
}
