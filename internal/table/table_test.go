package table

import (
	"strings"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

func ptr[T any](v T) *T { return &v }

func edit(version uint64, changes ...Change) Edit {
	return Edit{Version: version, ID: "e", Changes: changes}
}

func policy(c, d, k string, v Values) Change {
	return Change{Key: Key{Customer: model.Customer(c), Domain: model.Domain(d), Kind: model.Kind(k)}, After: &v}
}

func TestInheritance(t *testing.T) {
	s, ok := Empty().Apply([]Edit{edit(1,
		policy("*", "*", "*", Values{Weight: ptr(2.0), QueueBound: ptr(500), DeadlineMs: ptr(int64(30000))}),
		policy("*", "seeb", "*", Values{QueueBound: ptr(100)}),
		policy("*", "*", "gate", Values{Weight: ptr(4.0)}),
		policy("a", "*", "*", Values{Concurrency: ptr(10), Weight: ptr(8.0)}),
		policy("a", "seeb", "*", Values{Rate: ptr(5.0)}),
		policy("a", "*", "gate", Values{Rate: ptr(7.0)}),
	)})
	if !ok {
		t.Fatal("the edit was not applied")
	}
	cases := []struct {
		c, d, k string
		want    Effective
	}{
		{"x", "ruwi", "pass", Effective{2, 0, 0, 500, 30 * time.Second, ""}},
		{"x", "seeb", "gate", Effective{4, 0, 0, 100, 30 * time.Second, ""}},
		{"a", "ruwi", "pass", Effective{8, 10, 0, 500, 30 * time.Second, "a a/*/* //"}},
		{"a", "seeb", "pass", Effective{8, 10, 5, 100, 30 * time.Second, "a a/*/* a/seeb/*"}},
		{"a", "seeb", "gate", Effective{8, 10, 7, 100, 30 * time.Second, "a a/*/* a/*/gate"}},
	}
	for _, c := range cases {
		got := s.Effective(model.Customer(c.c), model.Domain(c.d), model.Kind(c.k))
		if got != c.want {
			t.Errorf("%s/%s/%s: %+v, want %+v", c.c, c.d, c.k, got, c.want)
		}
		cache := NewCache(model.Domain(c.d))
		cache.Set(s)
		for range 2 { // computed, then cached
			if cache.Row(model.Customer(c.c), model.Kind(c.k)) != c.want {
				t.Errorf("%s/%s/%s: the cached row differs from the computed one", c.c, c.d, c.k)
			}
		}
	}
	for _, src := range s.Explain("a", "seeb", "gate") {
		if src.Column == ColRate && (src.Row == nil || src.Row.String() != "a/*/gate" || src.Value != "7") {
			t.Errorf("rate comes from %+v", src)
		}
		if src.Column == ColDeadlineMs && (src.Row == nil || src.Row.String() != "*/*/*") {
			t.Errorf("deadline comes from %+v", src)
		}
	}
}

// TestWildcardLimitsArePerCustomer checks that customers do not share the
// limits of a wildcard row, and that the kinds of one customer do.
func TestWildcardLimitsArePerCustomer(t *testing.T) {
	s, _ := Empty().Apply([]Edit{edit(1, policy("*", "*", "*", Values{Concurrency: ptr(5)}))})
	gate, pass, other := s.Effective("a", "seeb", "gate"), s.Effective("a", "ruwi", "pass"), s.Effective("b", "seeb", "gate")
	if gate.LimitName != pass.LimitName || gate.LimitName == other.LimitName {
		t.Fatalf("limits %q, %q, %q", gate.LimitName, pass.LimitName, other.LimitName)
	}
}

func TestCachedRowDoesNotAllocate(t *testing.T) {
	c := NewCache("seeb")
	c.Row("a", "gate")
	if n := testing.AllocsPerRun(100, func() { c.Row("a", "gate") }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func TestApplySkipsOldEditsAndRejectsGaps(t *testing.T) {
	first := edit(1, policy("a", "*", "*", Values{Weight: ptr(2.0)}))
	second := edit(2, Change{Key: first.Changes[0].Key})
	s1, _ := Empty().Apply([]Edit{first})
	s2, ok := s1.Apply([]Edit{first, second})
	if !ok || s2.Version() != 2 || s2.Len() != 0 || s1.Len() != 1 {
		t.Fatalf("version %d with %d rows", s2.Version(), s2.Len())
	}
	if s, _ := s2.Apply([]Edit{first}); s != s2 {
		t.Fatal("an old edit was applied over a newer one")
	}
	if _, ok := Empty().Apply([]Edit{second}); ok {
		t.Fatal("a gap between versions was not detected")
	}
	cache := NewCache("seeb")
	if !cache.Set(s2) || cache.Set(s1) || cache.Snapshot() != s2 {
		t.Fatal("the cache went back to an older version")
	}
}

func TestFaultsNameRowColumnAndRemedy(t *testing.T) {
	server := func(v Values) Change { return Change{Key: Key{Server: "b1"}, After: &v} }
	cases := []struct {
		name   string
		change Change
		column Column
		remedy string
	}{
		{"weight 0", policy("a", "*", "*", Values{Weight: ptr(0.0)}), ColWeight, "above 0"},
		{"negative rate", policy("a", "*", "*", Values{Rate: ptr(-1.0)}), ColRate, "unlimited"},
		{"huge bound", policy("a", "*", "*", Values{QueueBound: ptr(MaxQueueBound + 1)}), ColQueueBound, "up to"},
		{"no values", policy("a", "*", "*", Values{}), ColWeight, "remove the row"},
		{"empty kind", policy("a", "*", "", Values{Weight: ptr(1.0)}), ColKind, "write a name"},
		{"unknown domain", policy("a", "mars", "*", Values{Weight: ptr(1.0)}), ColDomain, "seeb"},
		{"slash", policy("a/b", "*", "*", Values{Weight: ptr(1.0)}), ColCustomer, "remove"},
		{"formula", policy("=a", "*", "*", Values{Weight: ptr(1.0)}), ColCustomer, "letter"},
		{"state of a policy row", policy("a", "*", "*", Values{State: StateDrained}), ColState, "leave it empty"},
		{"weight of a server", server(Values{Weight: ptr(1.0), State: StateActive}), ColWeight, "leave it empty"},
		{"unknown state", server(Values{State: "off"}), ColState, "active or drained"},
	}
	rules := Rules{Domains: []model.Domain{"seeb"}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := rules.Check([]Change{c.change})
			if len(faults) != 1 || faults[0].Column != c.column || !strings.Contains(faults[0].Remedy, c.remedy) || faults[0].Row != c.change.Key.String() {
				t.Fatalf("faults %v", faults)
			}
		})
	}
	ok := []Change{policy("a", "seeb", "*", Values{Weight: ptr(1.0)}), server(Values{State: StateDrained})}
	if faults := rules.Check(ok); len(faults) != 0 {
		t.Fatalf("faults %v", faults)
	}
	if faults := rules.Check(append(ok, ok[0])); len(faults) != 1 {
		t.Fatalf("faults %v", faults)
	}
}

func TestConflictsShowBothSides(t *testing.T) {
	s, _ := Empty().Apply([]Edit{edit(1, policy("a", "*", "*", Values{Weight: ptr(2.0)}))})
	c := policy("a", "*", "*", Values{Weight: ptr(3.0)})
	list := s.Conflicts("other", []Change{c})
	if len(list) != 1 || !strings.Contains(list[0].String(), "weight=3") || !strings.Contains(list[0].String(), "weight=2") {
		t.Fatalf("conflicts %v", list)
	}
	if own := s.Conflicts("e", []Change{c}); len(own) != 0 {
		t.Fatalf("conflicts %v", own)
	}
	c.Base = 1
	if based := s.Conflicts("other", []Change{c}); len(based) != 0 {
		t.Fatalf("conflicts %v", based)
	}
}
