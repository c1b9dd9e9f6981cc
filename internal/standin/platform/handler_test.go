package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
)

func TestFaultsAreSetOverHTTP(t *testing.T) {
	h := standin.New(standin.Options{})
	send := func(method, path, body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	if got := send(http.MethodPut, standin.PathFaults, `{"refused":true}`); got != http.StatusBadRequest {
		t.Fatalf("unknown fault: status %d", got)
	}
	if got := send(http.MethodPut, standin.PathFaults, `{"refuse":true}`); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	if got := send(http.MethodGet, "/v1/kv-key?key=a", ""); got != http.StatusServiceUnavailable {
		t.Fatalf("status %d during an outage", got)
	}
	send(http.MethodPut, standin.PathFaults, `{}`)
	if got := send(http.MethodGet, "/v1/kv-key?key=a", ""); got != http.StatusNotFound {
		t.Fatalf("status %d after the outage", got)
	}
	if got := send(http.MethodPost, "/v1/kv-txn", "{}"); got != http.StatusBadRequest {
		t.Fatalf("status %d of a transaction without entries", got)
	}
}
