package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

func TestSpeedModelOfKind(t *testing.T) {
	entry := func(kind string, cpu uint32) ServerEntry {
		return ServerEntry{Service: "svc", Kind: kind, Capacity: model.Resources{CPUMilli: cpu}}
	}
	all := speedModels{}
	seen := all.forServer(entry("a", 16))
	for range 20 {
		seen.learn(2*time.Second, time.Second)
	}
	for _, c := range []struct {
		name   string
		server ServerEntry
		low    time.Duration
		high   time.Duration
	}{
		{"of the kind", entry("a", 16), 1900 * time.Millisecond, 2100 * time.Millisecond},
		{"of another kind", entry("b", 16), time.Second, time.Second},
		{"of another size", entry("a", 24), time.Second, time.Second},
	} {
		if took := all.forServer(c.server).expect(time.Second); took < c.low || took > c.high {
			t.Errorf("a new server %s takes %v for a second of work", c.name, took)
		}
	}
}

func TestServerSpeedOverridesKind(t *testing.T) {
	all := speedModels{}
	e := ServerEntry{Service: "svc", Kind: "a"}
	normal, slow := all.forServer(e), all.forServer(e)
	for range 20 {
		normal.learn(time.Second, time.Second)
		slow.learn(5*time.Second, time.Second)
	}
	if took := slow.expect(time.Second); took < 4*time.Second {
		t.Errorf("the slow one takes %v", took)
	}
	if took := normal.expect(time.Second); took > 1100*time.Millisecond {
		t.Errorf("the normal one takes %v", took)
	}
}
