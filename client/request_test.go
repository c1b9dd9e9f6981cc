package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

// TestRequestUsesRequestsPath checks that a request is submitted as one, because
// only tasks of requests may be started a second time, and that its result is
// awaited like that of a job.
func TestRequestUsesRequestsPath(t *testing.T) {
	for _, pending := range []bool{false, true} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodPost && r.URL.Path != api.PathRequests:
				w.WriteHeader(http.StatusNotFound)
			case r.Method == http.MethodPost && pending:
				w.WriteHeader(http.StatusAccepted)
				_, _ = w.Write([]byte(`{"status":"pending"}`))
			case r.Method == http.MethodPost:
				_, _ = w.Write([]byte(`{"index":0,"ran":"yes","ok":true,"output":7}`))
			default:
				_, _ = w.Write([]byte(`{"status":"complete","results":[{"index":0,"ran":"yes","ok":true,"output":7}]}`))
			}
		}))
		c, err := New(Options{Addr: s.Listener.Addr().String()})
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.Request(context.Background(), &Request{
			Customer: "acme", Home: "tayside", Key: "k", Kind: "route",
			Payload: json.RawMessage("1"), Repeatable: true, FirstAttempt: true,
		})
		if err != nil || got.Ran != api.RanYes || string(got.Output) != "7" {
			t.Fatalf("pending %v: %+v, %v", pending, got, err)
		}
		s.Close()
	}
}
