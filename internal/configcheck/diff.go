package configcheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/nutmegweir/nutmegweir/platform"
)

// Change is one difference between two configurations.
type Change struct {
	Subject string `json:"subject"`
	Field   string `json:"field,omitempty"` // empty if the whole subject was added or removed
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	if c.Field == "" {
		return c.Subject + " " + c.Old + c.New
	}
	return fmt.Sprintf("%s: %s %s -> %s", c.Subject, c.Field, c.Old, c.New)
}

// CheckSuccessor returns the findings on a configuration that is to replace the one in
// force.
func CheckSuccessor(inForce, next *platform.Config) []Finding {
	var f findings
	if next.Version <= inForce.Version {
		f.add(Error, "version", fmt.Sprintf("use %d or more", inForce.Version+1),
			"version %d is not above version %d in force, so that instances ignore it", next.Version, inForce.Version)
	}
	return f
}

// Diff returns what a configuration changes in the one in force.
func Diff(inForce, next *platform.Config) []Change {
	out := diffByName("route", routesByName(inForce), routesByName(next))
	out = append(out, diffByName("service", inForce.Services, next.Services)...)
	return append(out, diffFields("limits", inForce.Limits, next.Limits)...)
}

func routesByName(c *platform.Config) map[string]platform.Route {
	out := map[string]platform.Route{}
	for _, r := range c.Routes {
		out[r.Name] = r
	}
	return out
}

// diffByName compares two sets of named entries.
func diffByName[T any](kind string, old, next map[string]T) (out []Change) {
	names := maps.Clone(old)
	maps.Copy(names, next)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		subject := fmt.Sprintf("%s %q", kind, name)
		a, had := old[name]
		b, has := next[name]
		switch {
		case !had:
			out = append(out, Change{Subject: subject, New: "added"})
		case !has:
			out = append(out, Change{Subject: subject, Old: "removed"})
		default:
			out = append(out, diffFields(subject, a, b)...)
		}
	}
	return out
}

// diffFields compares the exported fields of two structures.
func diffFields(subject string, old, next any) (out []Change) {
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range a.NumField() {
		x, y := fmt.Sprint(a.Field(i).Interface()), fmt.Sprint(b.Field(i).Interface())
		if x != y {
			out = append(out, Change{Subject: subject, Field: a.Type().Field(i).Name, Old: x, New: y})
		}
	}
	return out
}
