package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegweir/nutmegweir/platform"
)

// TestRequestsAwaitFirstConfiguration covers requests that arrive before an instance has a
// configuration, which were rejected at once.
func TestRequestsAwaitFirstConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		arrives time.Duration
		want    bool
	}{"in time": {firstConfigWait / 2, true}, "too late": {2 * firstConfigWait, false}} {
		synctest.Test(t, func(t *testing.T) {
			h := newConfigHolder()
			go func() {
				time.Sleep(c.arrives)
				h.replace(&configInForce{Config: &platform.Config{Version: 1}})
			}()
			if got := h.await(t.Context()) != nil; got != c.want {
				t.Errorf("%s: configuration found: %v", name, got)
			}
			time.Sleep(c.arrives)
			if h.await(context.Background()) == nil {
				t.Errorf("%s: no configuration later", name)
			}
		})
	}
}

// TestCallersAndMembersComeFirst watches the first requests of a starting instance to the
// store: its caller port is open by then, and it reads members and configuration before the
// long lists of servers and ownerships, which kept jobs from being passed on.
func TestCallersAndMembersComeFirst(t *testing.T) {
	s := newSite(t, 1, 0)
	var mu sync.Mutex
	var lists []string
	var dialed bool
	var dialErr error
	callerAddr := make(chan string, 1)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if !dialed {
			dialed = true
			var conn net.Conn
			if conn, dialErr = net.Dial("tcp", <-callerAddr); dialErr == nil {
				conn.Close()
			}
		}
		if p := r.URL.Query().Get("prefix"); strings.HasSuffix(r.URL.Path, "kv-range") && len(lists) < 4 {
			lists = append(lists, p)
		}
		mu.Unlock()
		s.store.ServeHTTP(w, r)
	}))
	t.Cleanup(h.Close)
	s.addr = strings.TrimPrefix(h.URL, "http://")
	s.beforeStart = func(addr string) { callerAddr <- addr }
	s.addInstance("n0")
	s.await("the lists are read", func() bool { mu.Lock(); defer mu.Unlock(); return len(lists) == 4 })
	if dialErr != nil {
		t.Errorf("the caller port is closed when the instance asks the store: %v", dialErr)
	}
	first := lists[0] + " " + lists[1]
	if !strings.Contains(first, platform.MemberPrefix) || !strings.Contains(first, platform.OperatorPrefix) {
		t.Errorf("lists in the order %q, want members and configuration first", lists)
	}
}

// TestSlowConfigurationIsReadOnce covers a configuration that takes longer to arrive than a
// starting instance waits for it. It was read a second time from its beginning.
func TestSlowConfigurationIsReadOnce(t *testing.T) {
	s := newSite(t, 1, 0)
	var lists atomic.Int32
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "kv-range") && r.URL.Query().Get("prefix") == platform.OperatorPrefix {
			lists.Add(1)
			time.Sleep(readAheadTimeout + 100*time.Millisecond) // calls time out after 700 ms
		}
		s.store.ServeHTTP(w, r)
	}))
	t.Cleanup(h.Close)
	s.addr = strings.TrimPrefix(h.URL, "http://")
	s.addInstance("n0")
	s.await("the configuration is in force", func() bool { return s.instances[0].config.get() != nil })
	if n := lists.Load(); n != 1 {
		t.Errorf("the configuration was read %d times, want once", n)
	}
	s.configure(2, route)
	s.await("changes are followed", func() bool { return s.instances[0].config.get().Version == 2 })
}
