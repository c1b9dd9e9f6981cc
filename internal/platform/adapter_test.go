package platform_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/platform/platformtest"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	adapter "github.com/nutmegweir/nutmegweir/platform"
)

func TestOwnRateLimitDelaysCallsAndIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := standin.New(standin.Options{})
		srv := platformtest.NewPipeServer(h)
		tr := srv.Transport()
		t.Cleanup(func() { tr.CloseIdleConnections(); _ = srv.Close() })
		counts := &platform.CallCounts{}
		p := adapter.NewStoreAdapter(adapter.StoreAdapterOptions{Addr: "10.0.0.1:8500", Transport: tr, ReadsPerSecond: 1, WritesPerSecond: 2, Counter: counts})
		start := time.Now()
		for range 3 {
			_, err := p.Get(t.Context(), "a")
			wantKind(t, err, platform.KindNone)
		}
		if took := time.Since(start); took != 2*time.Second {
			t.Fatalf("three reads took %v", took)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := p.Get(ctx, "a")
		wantKind(t, err, platform.KindRateLimited)
		at := mustCAS(t, p, "a", "1", 0) // writes have a separate limit
		mustCAS(t, p, "a", "2", at)
		if took := time.Since(start); took != 2*time.Second {
			t.Fatalf("the writes were delayed by the read limit: %v", took)
		}
		if got := counts.Totals(); got.All() != 5 || got.Sent != 2 {
			t.Fatalf("%+v", got)
		}
	})
}

func TestDialFailureMeansNothingWasWritten(t *testing.T) {
	srv := platformtest.NewPipeServer(standin.New(standin.Options{}))
	tr := srv.Transport()
	_ = srv.Close()
	p := adapter.NewStoreAdapter(adapter.StoreAdapterOptions{Addr: "10.0.0.1:8500", Transport: tr})
	_, err := p.CAS(t.Context(), "a", nil, 0)
	wantKind(t, err, platform.KindUnavailable)
	if !strings.Contains(err.Error(), "check the platform's address") {
		t.Fatalf("no remedy in %v", err)
	}
}

// roundTrip responds to every request with a status and a body.
type roundTrip struct {
	status int
	body   string
}

func (r roundTrip) RoundTrip(req *http.Request) (*http.Response, error) {
	w := http.Response{StatusCode: r.status, Header: http.Header{}, Request: req, Body: http.NoBody}
	if r.body != "" {
		w.Body = readCloser{strings.NewReader(r.body)}
	}
	return &w, nil
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func TestResponsesAreMappedToKinds(t *testing.T) {
	get := func(p platform.Platform) error { _, err := p.Get(t.Context(), "a"); return err }
	cas := func(p platform.Platform) error { _, err := p.CAS(t.Context(), "a", nil, 1); return err }
	acquire := func(p platform.Platform) error { return p.Acquire(t.Context(), "a", nil, "7") }
	cases := []struct {
		name     string
		response roundTrip
		call     func(platform.Platform) error
		want     platform.Kind
	}{
		{"read during an outage", roundTrip{503, ""}, get, platform.KindUnavailable},
		{"write during an outage has no effect", roundTrip{503, ""}, cas, platform.KindUnavailable},
		{"write with an internal error of the store may have taken effect", roundTrip{500, ""}, cas, platform.KindUnknown},
		{"write through a broken gateway", roundTrip{502, ""}, cas, platform.KindUnknown},
		{"rate limit", roundTrip{429, ""}, cas, platform.KindRateLimited},
		{"key that only others may write", roundTrip{403, ""}, cas, platform.KindInvalid},
		{"expired session", roundTrip{404, ""}, acquire, platform.KindNoSession},
		{"response that is not JSON", roundTrip{200, "<html>"}, get, platform.KindUnavailable},
		{"write with an unexpected response", roundTrip{200, "<html>"}, cas, platform.KindUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := adapter.NewStoreAdapter(adapter.StoreAdapterOptions{Addr: "10.0.0.1:8500", Transport: c.response})
			wantKind(t, c.call(p), c.want)
		})
	}
}
