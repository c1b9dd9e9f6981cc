// Package configcheck reviews an operator's configuration before it is written to the
// store: errors, routes that can never match, limits that contradict each other, and
// the differences from the version in force.
package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/nutmegweir/nutmegweir/platform"
)

// Severity says whether a configuration with a finding should be written.
type Severity string

// Severities of findings.
const (
	Error   Severity = "error"   // the configuration does not do what it says
	Warning Severity = "warning" // it does, but rarely on purpose
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Subject  string   `json:"subject"` // such as a route or a service, empty for the whole
	Message  string   `json:"message"`
	Remedy   string   `json:"remedy"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	subject := f.Subject
	if subject != "" {
		subject += ": "
	}
	return fmt.Sprintf("%s: %s%s; %s", f.Severity, subject, f.Message, f.Remedy)
}

// findings collects the faults of a configuration.
type findings []Finding

func (f *findings) add(s Severity, subject, remedy, format string, args ...any) {
	*f = append(*f, Finding{Severity: s, Subject: subject, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Check returns the findings on a configuration, errors first.
func Check(c *platform.Config) []Finding {
	var f findings
	names := map[string]bool{}
	for i, r := range c.Routes {
		subject := routeSubject(r, i)
		if r.Name != "" && names[r.Name] {
			f.add(Error, subject, "give each route a name of its own", "another route has the same name")
		}
		names[r.Name] = true
		f.checkRoute(c, r, subject)
		f.checkMatch(c.Routes[:i], r, subject)
	}
	f.checkServices(c)
	f.checkLimits(c.Limits)
	slices.SortStableFunc(f, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return f
}

func routeSubject(r platform.Route, position int) string {
	if r.Name == "" {
		return fmt.Sprintf("route %d of the list", position+1)
	}
	return fmt.Sprintf("route %q", r.Name)
}

// checkRoute reviews a route by itself and against its service.
func (f *findings) checkRoute(c *platform.Config, r platform.Route, subject string) {
	service, declared := c.Services[r.Service]
	switch {
	case r.Name == "":
		f.add(Error, subject, "name it; logs and counts use the name", "it has no name")
	case r.Service == "":
		f.add(Error, subject, "name the service that runs its tasks", "it names no service")
	case !declared:
		f.add(Error, subject, "declare the service or correct the name", "service %q is not declared", r.Service)
	case service.Standby:
		f.add(Error, subject, "end the standby or send the route elsewhere", "the servers of service %q are off", r.Service)
	}
	if r.NeedsAdvice {
		f.add(Error, subject, "remove the advice", "routes with advice are not supported; every job is rejected")
	}
	f.checkTimes(r, subject)
}

// checkTimes reviews the objective of a route and its timeout.
func (f *findings) checkTimes(r platform.Route, subject string) {
	o := r.Objective
	switch {
	case r.Timeout < 0 || o.Allowance < 0 || o.Stretch < 0:
		f.add(Error, subject, "correct them", "its times or its stretch are negative")
	case o.Allowance == 0 && o.Stretch == 0:
		f.add(Warning, subject, "set an objective", "it has no objective, so that every job counts as late")
	case r.Timeout > 0 && (o.Allowance > r.Timeout || o.Allowance == r.Timeout && o.Stretch > 0):
		f.add(Error, subject, "raise the timeout or lower the objective",
			"its timeout of %v ends jobs that are on time for %v", r.Timeout, o.Allowance)
	}
	if o.Stretch > 0 && o.Stretch < 1 {
		f.add(Warning, subject, "set it to 1 or more", "a stretch of %g makes long jobs late on the fastest server", o.Stretch)
	}
	if r.Priority < 0 {
		f.add(Warning, subject, "use 0 for the most urgent", "priority %d is below 0", r.Priority)
	}
}

// checkMatch finds routes that no request can match.
func (f *findings) checkMatch(earlier []platform.Route, r platform.Route, subject string) {
	const never = "correct it or remove the route"
	switch {
	case r.Host == "":
		f.add(Error, subject, never, "it has no host, so that no request matches it")
	case strings.ContainsAny(r.Host, ":/ "):
		f.add(Error, subject, never, "no request matches host %q: hosts are compared without port and path", r.Host)
	case !strings.HasPrefix(r.Prefix, "/"):
		f.add(Error, subject, never, "no request matches prefix %q: paths begin with /", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?#"):
		f.add(Error, subject, never, "no request matches prefix %q: paths are compared without query and fragment", r.Prefix)
	default:
		same := func(o platform.Route) bool { return o.Host == r.Host && o.Prefix == r.Prefix }
		if i := slices.IndexFunc(earlier, same); i >= 0 {
			f.add(Error, subject, never, "no request matches it: %s has the same host and prefix and comes first", routeSubject(earlier[i], i))
		}
	}
}

// checkServices reviews the services.
func (f *findings) checkServices(c *platform.Config) {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		subject := fmt.Sprintf("service %q", name)
		if n := c.Services[name].MaxConns; n < 1 {
			f.add(Error, subject, "allow one at least", "its servers allow %d connections", n)
		}
		if !slices.ContainsFunc(c.Routes, func(r platform.Route) bool { return r.Service == name }) {
			f.add(Warning, subject, "add a route or remove the service", "no route leads to it")
		}
	}
}

// leastJobBytes is the size of a job with the longest payload that the interface allows
// and one step.
const leastJobBytes = 4 << 10

// checkLimits reviews the limits of callers' requests.
func (f *findings) checkLimits(l platform.Limits) {
	const subject = "limits"
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.add(Error, subject, "correct them", "some are negative")
	}
	if l.BodyBytes > 0 && l.BodyBytes < leastJobBytes {
		f.add(Warning, subject, "raise the limit", "bodies of %d bytes leave no room for a job with a full payload", l.BodyBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		f.add(Warning, subject, "raise the idle timeout",
			"idle connections close after %v, before the header timeout of %v", l.IdleTimeout.Round(time.Millisecond), l.HeaderTimeout.Round(time.Millisecond))
	}
}
