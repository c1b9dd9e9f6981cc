package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/platform"
)

// valid returns a configuration without findings.
func valid() *platform.Config {
	return &platform.Config{
		Version: 7,
		Routes: []platform.Route{
			{Name: "a", Host: "a.example", Prefix: "/x/", Service: "svc", Timeout: 1500 * time.Millisecond, Objective: fleet.Objective{Allowance: 60 * time.Millisecond, Stretch: 1.6}, Attempts: 2},
			{Name: "b", Host: "a.example", Prefix: "/x/y/", Service: "svc", Objective: fleet.Objective{Stretch: 1.6}, Attempts: 2},
		},
		Services: map[string]platform.Service{"svc": {MaxConns: 64}},
		Limits:   platform.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// TestFaultyConfigurationIsSent guards against configurations that pass the check but
// reject or ignore requests once they are in force.
func TestFaultyConfigurationIsSent(t *testing.T) {
	if got := Check(valid()); len(got) > 0 {
		t.Fatalf("findings on a valid configuration: %v", got)
	}
	tests := []struct {
		name   string
		change func(*platform.Config)
		want   string // severity and part of the message
	}{
		{"no name", func(c *platform.Config) { c.Routes[0].Name = "" }, "error: route 1 of the list: it has no name"},
		{"same name", func(c *platform.Config) { c.Routes[1].Name = "a" }, `error: route "a": another route`},
		{"no service", func(c *platform.Config) { c.Routes[0].Service = "" }, `error: route "a": it names no service`},
		{"unknown service", func(c *platform.Config) { c.Routes[0].Service = "other" }, `error: route "a": service "other" is not declared`},
		{"standby", func(c *platform.Config) { c.Services["svc"] = platform.Service{MaxConns: 1, Standby: true} }, "are off"},
		{"advice", func(c *platform.Config) { c.Routes[0].NeedsAdvice = true }, "advice are not supported"},
		{"no host", func(c *platform.Config) { c.Routes[0].Host = "" }, "no host"},
		{"host with port", func(c *platform.Config) { c.Routes[0].Host = "a.example:80" }, "without port"},
		{"relative prefix", func(c *platform.Config) { c.Routes[0].Prefix = "x/" }, "paths begin with /"},
		{"prefix with query", func(c *platform.Config) { c.Routes[0].Prefix = "/x?" }, "without query"},
		{"hidden route", func(c *platform.Config) { c.Routes[1].Prefix = "/x/" }, `error: route "b": no request matches it: route "a"`},
		{"negative time", func(c *platform.Config) { c.Routes[0].Timeout = -1 }, "negative"},
		{"no objective", func(c *platform.Config) { c.Routes[0].Objective = fleet.Objective{} }, "warning: route \"a\": it has no objective"},
		{"timeout within the objective", func(c *platform.Config) { c.Routes[0].Timeout = 50 * time.Millisecond }, "ends jobs that are on time"},
		{"stretch below 1", func(c *platform.Config) { c.Routes[0].Objective.Stretch = 0.5 }, "warning: route \"a\": a stretch of 0.5"},
		{"negative priority", func(c *platform.Config) { c.Routes[0].Priority = -1 }, "warning: route \"a\": priority -1"},
		{"no connections", func(c *platform.Config) { c.Services["svc"] = platform.Service{} }, `error: service "svc": its servers allow 0`},
		{"unused service", func(c *platform.Config) { c.Services["idle"] = platform.Service{MaxConns: 1} }, `warning: service "idle": no route`},
		{"negative limit", func(c *platform.Config) { c.Limits.BodyBytes = -1 }, "error: limits: some are negative"},
		{"small bodies", func(c *platform.Config) { c.Limits.BodyBytes = 100 }, "warning: limits: bodies of 100 bytes"},
		{"idle before header", func(c *platform.Config) { c.Limits.IdleTimeout = time.Second }, "warning: limits: idle connections close"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := valid()
			test.change(c)
			got := Check(c)
			if !slices.ContainsFunc(got, func(f Finding) bool { return strings.Contains(f.String(), test.want) }) {
				t.Errorf("got %v, want %q", got, test.want)
			}
		})
	}
}

// TestChangeIsMissedInReview guards against a difference from the version in force that
// the report leaves out.
func TestChangeIsMissedInReview(t *testing.T) {
	next := valid()
	next.Routes[0].Priority = 2
	next.Routes[1].Name = "c"
	next.Services["idle"] = platform.Service{MaxConns: 1}
	next.Limits.BodyBytes = 1
	want := []string{`route "a": Priority 0 -> 2`, `route "b" removed`, `route "c" added`, `service "idle" added`, "limits: BodyBytes 262144 -> 1"}
	if got := Diff(valid(), next); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := CheckSuccessor(valid(), next); len(got) != 1 {
		t.Errorf("findings on a version that is not newer: %v", got)
	}
	next.Version++
	if got := CheckSuccessor(valid(), next); len(got) != 0 {
		t.Errorf("findings on a newer version: %v", got)
	}
}

// TestTimeoutAtTheObjective covers a timeout that equals the allowance: it ends a job on
// time only if the objective grows with the job.
func TestTimeoutAtTheObjective(t *testing.T) {
	for stretch, want := range map[float64]bool{0: false, 1.6: true} {
		c := valid()
		c.Routes[0].Timeout = time.Second
		c.Routes[0].Objective = fleet.Objective{Allowance: time.Second, Stretch: stretch}
		if got := len(Check(c)) > 0; got != want {
			t.Errorf("stretch %g: findings %v", stretch, Check(c))
		}
	}
}
