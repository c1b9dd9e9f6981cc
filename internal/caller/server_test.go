package caller

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/settings"
)

func TestServerLimitsHeaders(t *testing.T) {
	limits := settings.Default().Limits
	server := NewServer(newTestHandler(&fakeDispatcher{answer: complete("1")}), limits, nil, eventlog.Discard())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	const slop = 4096 // bytes that net/http allows on top
	for size, want := range map[int]int{
		limits.HeaderBytes / 2:      http.StatusOK,
		limits.HeaderBytes + 2*slop: http.StatusRequestHeaderFieldsTooLarge,
	} {
		req, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+testPath, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Filler", strings.Repeat("x", size))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%d bytes of headers: got %d, want %d", size, resp.StatusCode, want)
		}
	}
}
