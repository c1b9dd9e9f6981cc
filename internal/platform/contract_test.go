package platform_test

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	adapter "github.com/nutmegweir/nutmegweir/platform"
)

const (
	testTTL        = 10 * time.Second
	testServiceLag = 3 * time.Second
	testWait       = time.Minute
	testTimeout    = 5 * time.Second
)

// testPlatform is one implementation of the interface and its backing store.
type testPlatform struct {
	client platform.Platform
	store  *standin.Store
	faults *standin.Injector
	counts *platform.CallCounts
}

type implementation struct {
	name  string
	start func(t *testing.T) testPlatform
}

func implementations() []implementation {
	return []implementation{
		{"fake", func(*testing.T) testPlatform {
			f := platformtest.NewFake(standin.NewStore(testServiceLag))
			return testPlatform{f, f.Store, f.Faults, f.CallCounts}
		}},
		{"adapter", func(t *testing.T) testPlatform {
			h := standin.New(standin.Options{Lag: testServiceLag})
			srv := platformtest.NewPipeServer(h)
			tr := srv.Transport()
			t.Cleanup(func() { tr.CloseIdleConnections(); _ = srv.Close() })
			counts := &platform.CallCounts{}
			p := adapter.NewStoreAdapter(adapter.StoreAdapterOptions{Addr: "10.0.0.1:8500", Transport: tr, CallTimeout: testTimeout, Counter: counts})
			return testPlatform{p, h.Store, h.Faults, counts}
		}},
	}
}

func wantKind(t *testing.T, err error, want platform.Kind) {
	t.Helper()
	if got := platform.KindOf(err); got != want {
		t.Fatalf("kind %v, want %v (%v)", got, want, err)
	}
}

func mustCAS(t *testing.T, p platform.Platform, key, value string, index uint64) uint64 {
	t.Helper()
	at, err := p.CAS(t.Context(), key, []byte(value), index)
	wantKind(t, err, platform.KindNone)
	return at
}

var contract = []struct {
	name string
	run  func(t *testing.T, tp testPlatform)
}{
	{"absent key has index 0", func(t *testing.T, tp testPlatform) {
		e, err := tp.client.Get(t.Context(), "a/b")
		wantKind(t, err, platform.KindNone)
		if e.Exists() || e.Key != "a/b" {
			t.Fatalf("entry %+v", e)
		}
	}},
	{"CAS by index", func(t *testing.T, tp testPlatform) {
		first := mustCAS(t, tp.client, "a", "1", 0)
		_, err := tp.client.CAS(t.Context(), "a", []byte("x"), 0)
		wantKind(t, err, platform.KindConflict)
		second := mustCAS(t, tp.client, "a", "2", first)
		_, err = tp.client.CAS(t.Context(), "a", []byte("x"), first)
		wantKind(t, err, platform.KindConflict)
		e, _ := tp.client.Get(t.Context(), "a")
		if string(e.Value) != "2" || e.Index != second {
			t.Fatalf("entry %+v, want value 2 at %d", e, second)
		}
	}},
	{"binary values and odd keys", func(t *testing.T, tp testPlatform) {
		value := string([]byte{0, 255, '"', '\n'})
		mustCAS(t, tp.client, "t/Fife Dock/a%2Fb?c", value, 0)
		e, _ := tp.client.Get(t.Context(), "t/Fife Dock/a%2Fb?c")
		if string(e.Value) != value {
			t.Fatalf("value %q", e.Value)
		}
	}},
	{"delete by index", func(t *testing.T, tp testPlatform) {
		at := mustCAS(t, tp.client, "a", "1", 0)
		wantKind(t, tp.client.Delete(t.Context(), "a", at+1), platform.KindConflict)
		wantKind(t, tp.client.Delete(t.Context(), "a", at), platform.KindNone)
		e, _ := tp.client.Get(t.Context(), "a")
		if e.Exists() {
			t.Fatal("key is still there")
		}
	}},
	{"value above the limit is rejected", func(t *testing.T, tp testPlatform) {
		_, err := tp.client.CAS(t.Context(), "a", bytes.Repeat([]byte("x"), platform.MaxValueBytes+1), 0)
		wantKind(t, err, platform.KindInvalid)
	}},
	{"list waits for its prefix only", func(t *testing.T, tp testPlatform) {
		mustCAS(t, tp.client, "t/a", "1", 0)
		l, err := tp.client.List(t.Context(), "t/", 0, 0)
		wantKind(t, err, platform.KindNone)
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			mustCAS(t, tp.client, "u/a", "1", 0)
			time.Sleep(time.Second)
			mustCAS(t, tp.client, "t/b", "1", 0)
		}()
		l, err = tp.client.List(t.Context(), "t/", l.Index, testWait)
		wantKind(t, err, platform.KindNone)
		if len(l.Entries) != 2 || time.Since(start) != 2*time.Second {
			t.Fatalf("%d entries after %v", len(l.Entries), time.Since(start))
		}
		same, err := tp.client.List(t.Context(), "t/", l.Index, testWait)
		wantKind(t, err, platform.KindNone)
		if same.Index != l.Index || time.Since(start) != 2*time.Second+testWait {
			t.Fatalf("index %d after %v", same.Index, time.Since(start))
		}
	}},
	{"list of an absent prefix waits for its first key and sees removals", func(t *testing.T, tp testPlatform) {
		l, err := tp.client.List(t.Context(), "t/", 0, 0)
		wantKind(t, err, platform.KindNone)
		go func() { time.Sleep(time.Second); mustCAS(t, tp.client, "t/a", "1", 0) }()
		l, err = tp.client.List(t.Context(), "t/", l.Index, testWait)
		wantKind(t, err, platform.KindNone)
		at := l.Entries[0].Index
		go func() { time.Sleep(time.Second); _ = tp.client.Delete(context.Background(), "t/a", at) }()
		l, err = tp.client.List(t.Context(), "t/", l.Index, testWait)
		wantKind(t, err, platform.KindNone)
		if len(l.Entries) != 0 {
			t.Fatalf("entries %+v", l.Entries)
		}
	}},
	{"list sees the removal of the older of two keys", func(t *testing.T, tp testPlatform) {
		at := mustCAS(t, tp.client, "t/a", "1", 0)
		mustCAS(t, tp.client, "t/b", "1", 0)
		l, err := tp.client.List(t.Context(), "t/", 0, 0)
		wantKind(t, err, platform.KindNone)
		start := time.Now()
		go func() { time.Sleep(time.Second); _ = tp.client.Delete(context.Background(), "t/a", at) }()
		l, err = tp.client.List(t.Context(), "t/", l.Index, testWait)
		wantKind(t, err, platform.KindNone)
		if len(l.Entries) != 1 || time.Since(start) != time.Second {
			t.Fatalf("entries %+v after %v", l.Entries, time.Since(start))
		}
	}},
	{"session expires with its keys", func(t *testing.T, tp testPlatform) {
		id, err := tp.client.CreateSession(t.Context(), "a", testTTL)
		wantKind(t, err, platform.KindNone)
		wantKind(t, tp.client.Acquire(t.Context(), "m/a", []byte("1"), id), platform.KindNone)
		time.Sleep(testTTL - time.Second)
		wantKind(t, tp.client.RenewSession(t.Context(), id), platform.KindNone)
		time.Sleep(testTTL - time.Second)
		if e, _ := tp.client.Get(t.Context(), "m/a"); e.Session != id {
			t.Fatalf("entry %+v", e)
		}
		time.Sleep(2 * time.Second)
		if e, _ := tp.client.Get(t.Context(), "m/a"); e.Exists() {
			t.Fatal("the key was not deleted with its session")
		}
		wantKind(t, tp.client.RenewSession(t.Context(), id), platform.KindNoSession)
		wantKind(t, tp.client.Acquire(t.Context(), "m/a", nil, id), platform.KindNoSession)
	}},
	{"a key has one holder", func(t *testing.T, tp testPlatform) {
		a, _ := tp.client.CreateSession(t.Context(), "a", testTTL)
		b, _ := tp.client.CreateSession(t.Context(), "b", testTTL)
		wantKind(t, tp.client.Acquire(t.Context(), "m", []byte("a"), a), platform.KindNone)
		wantKind(t, tp.client.Acquire(t.Context(), "m", []byte("b"), b), platform.KindConflict)
		wantKind(t, tp.client.DestroySession(t.Context(), a), platform.KindNone)
		wantKind(t, tp.client.Acquire(t.Context(), "m", []byte("b"), b), platform.KindNone)
	}},
	{"service list lags", func(t *testing.T, tp testPlatform) {
		inst := platform.ServiceInstance{
			ID: "b1", Addr: netip.MustParseAddrPort("10.0.0.7:9000"), Domain: "seeb", Slots: 8,
			Capacity: model.Resources{CPUMilli: 16000, MemoryMB: 32768, Accelerators: 1}, State: platform.StateActive,
		}
		tp.store.Register("backend", inst)
		l, err := tp.client.Services(t.Context(), "backend", 0, 0)
		wantKind(t, err, platform.KindNone)
		start := time.Now()
		l, err = tp.client.Services(t.Context(), "backend", l.Index, testWait)
		wantKind(t, err, platform.KindNone)
		if time.Since(start) != testServiceLag || len(l.Instances) != 1 || l.Instances[0] != inst {
			t.Fatalf("%+v after %v", l.Instances, time.Since(start))
		}
		inst.State = platform.StateLeaving
		tp.store.Register("backend", inst)
		l, _ = tp.client.Services(t.Context(), "backend", l.Index, testWait)
		if l.Instances[0].State != platform.StateLeaving {
			t.Fatalf("%+v", l.Instances)
		}
		tp.store.Deregister("backend", "b1")
		l, _ = tp.client.Services(t.Context(), "backend", l.Index, testWait)
		if len(l.Instances) != 0 {
			t.Fatalf("%+v", l.Instances)
		}
	}},
	{"rejected call has no effect", func(t *testing.T, tp testPlatform) {
		tp.faults.SetFaults(standin.Faults{Refuse: true})
		_, err := tp.client.Get(t.Context(), "a")
		wantKind(t, err, platform.KindUnavailable)
		_, err = tp.client.CAS(t.Context(), "a", []byte("1"), 0)
		if platform.KindOf(err) == platform.KindNone || tp.store.Get("a").Exists() {
			t.Fatalf("error %v, entry %+v", err, tp.store.Get("a"))
		}
	}},
	{"a hung call ends with its context", func(t *testing.T, tp testPlatform) {
		tp.faults.SetFaults(standin.Faults{Hang: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := tp.client.Get(ctx, "a")
		wantKind(t, err, platform.KindUnavailable)
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = tp.client.CAS(ctx, "a", []byte("1"), 0)
		wantKind(t, err, platform.KindUnknown)
	}},
	{"lost response is unknown and resolved by reading back", func(t *testing.T, tp testPlatform) {
		tp.faults.SetFaults(standin.Faults{LoseAnswers: 1})
		_, err := tp.client.CAS(t.Context(), "a", []byte("1"), 0)
		wantKind(t, err, platform.KindUnknown)
		if !tp.store.Get("a").Exists() {
			t.Fatal("the write had no effect")
		}
		tp.faults.SetFaults(standin.Faults{LoseAnswers: 1})
		isOwnWrite := func(v []byte) bool { return string(v) == "2" }
		at, err := platform.CASResolve(t.Context(), tp.client, "a", []byte("2"), tp.store.Get("a").Index, isOwnWrite)
		wantKind(t, err, platform.KindNone)
		if at != tp.store.Get("a").Index {
			t.Fatalf("index %d", at)
		}
		_, err = platform.CASResolve(t.Context(), tp.client, "a", []byte("3"), 0, func(v []byte) bool { return string(v) == "3" })
		wantKind(t, err, platform.KindConflict)
	}},
	{"rate limit", func(t *testing.T, tp testPlatform) {
		tp.faults.SetFaults(standin.Faults{WritesPerSecond: 1})
		at := mustCAS(t, tp.client, "a", "1", 0)
		_, err := tp.client.CAS(t.Context(), "a", []byte("2"), at)
		wantKind(t, err, platform.KindRateLimited)
		_, err = tp.client.Get(t.Context(), "a")
		wantKind(t, err, platform.KindNone)
	}},
	{"a waiting watch counts as one call", func(t *testing.T, tp testPlatform) {
		mustCAS(t, tp.client, "a", "1", 0)
		l, _ := tp.client.List(t.Context(), "a", 0, 0)
		_, _ = tp.client.List(t.Context(), "a", l.Index, testWait)
		got := tp.counts.Totals()
		if got.Of(platform.OpList) != 2 || got.Of(platform.OpCAS) != 1 || got.All() != 3 {
			t.Fatalf("%+v", got)
		}
	}},
}

func TestContract(t *testing.T) {
	for _, impl := range implementations() {
		for _, c := range contract {
			t.Run(impl.name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, impl.start(t)) })
			})
		}
	}
}
