package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/backendapi"
	"github.com/nutmegweir/nutmegweir/internal/sched"
)

const countedSlots = 8

// countingServer counts its open connections. It answers starts once all its
// slots are in use.
type countingServer struct {
	*httptest.Server
	mu      sync.Mutex
	changed *sync.Cond
	open    int
	peak    int
	running int
	rounds  int
}

func newCountingServer(t *testing.T) *countingServer {
	c := &countingServer{}
	c.changed = sync.NewCond(&c.mu)
	c.Server = httptest.NewUnstartedServer(http.HandlerFunc(c.handleStart))
	c.Config.ConnState = c.trackConn
	c.Start()
	t.Cleanup(c.Close)
	return c
}

func (c *countingServer) trackConn(_ net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.open++
		c.peak = max(c.peak, c.open)
	case http.StateClosed:
		c.open--
	}
	c.changed.Broadcast()
}

func (c *countingServer) handleStart(http.ResponseWriter, *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	round := c.rounds
	c.running++
	if c.running == countedSlots {
		c.running = 0
		c.rounds++
		c.changed.Broadcast()
	}
	for c.rounds == round && c.rounds >= 0 {
		c.changed.Wait()
	}
}

// release answers all starts, for when fewer starts than slots will arrive.
func (c *countingServer) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rounds = -1
	c.changed.Broadcast()
}

// awaitOpenConns waits until at most this many connections are open. The server
// notices a close slightly later than the client.
func (c *countingServer) awaitOpenConns(t *testing.T, most int) {
	t.Helper()
	stop := time.AfterFunc(30*time.Second, c.release)
	defer stop.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.open > most && c.rounds >= 0 {
		c.changed.Wait()
	}
	if c.open > most {
		t.Fatalf("%d connections are open, want at most %d", c.open, most)
	}
}

func (c *countingServer) pool(instances int) *Pool {
	p := New(Options{RunTimeout: time.Hour, Probe: ProbeOptions{InitialDelay: time.Hour, Interval: time.Hour, Timeout: time.Hour}})
	p.SetServers([]sched.Server{{ID: "a", Addr: c.Listener.Addr().String(), Slots: countedSlots}})
	p.SetInstanceCount(instances)
	return p
}

// fillSlots runs as many concurrent starts as the server has slots.
func (c *countingServer) fillSlots(t *testing.T, p *Pool) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range countedSlots {
		wg.Go(func() {
			res := p.Run(context.Background(), "a", Task{Identity: "h/c/k/" + strconv.Itoa(i)})
			if res.Outcome != sched.OutcomeOK {
				t.Errorf("outcome %d (%s)", res.Outcome, res.Error)
				c.release() // the others wait for it
			}
		})
	}
	wg.Wait()
}

// TestConnectionsStayBounded has each instance in turn use all slots of a server,
// so that each leaves as many idle connections as it may.
func TestConnectionsStayBounded(t *testing.T) {
	for _, instances := range []int{2, 8, 48, 64} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			c := newCountingServer(t)
			idle := instances * idleLimit(countedSlots, instances)
			for range instances {
				p := c.pool(instances)
				t.Cleanup(p.Close)
				c.fillSlots(t, p)
				c.awaitOpenConns(t, idle)
			}
			// Each running start may also have a probe in flight.
			if most := backendapi.MaxConnections - countedSlots; c.peak > most {
				t.Fatalf("%d connections at once, want at most %d", c.peak, most)
			}
		})
	}
}

func TestIdleLimit(t *testing.T) {
	cases := []struct{ slots, instances, want int }{
		{8, 0, 0}, // unknown
		{8, 1, 8}, // no more than slots
		{8, 2, 8},
		{8, 8, 6},
		{8, 48, 1},
		{8, 49, 0},
		{8, 64, 0},
		{1, 1, 1},
		{24, 8, 2},
		{32, 1, 0},
		{64, 1, 0},
	}
	for _, c := range cases {
		got := idleLimit(c.slots, c.instances)
		if got != c.want {
			t.Errorf("%d slots, %d instances: %d idle connections, want %d", c.slots, c.instances, got, c.want)
		}
		if c.slots <= backendapi.MaxConnections/2 && 2*c.slots+c.instances*got > backendapi.MaxConnections {
			t.Errorf("%d slots, %d instances: bound exceeded", c.slots, c.instances)
		}
	}
}

// TestIdleLimitFollowsInstances changes the number of instances, and the
// list of servers, while connections are idle and in use.
func TestIdleLimitFollowsInstances(t *testing.T) {
	c := newCountingServer(t)
	p := c.pool(2)
	defer p.Close()
	c.fillSlots(t, p)
	c.awaitOpenConns(t, countedSlots)
	p.SetInstanceCount(48)
	c.awaitOpenConns(t, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range 200 {
			p.SetInstanceCount(n)
		}
	})
	c.fillSlots(t, p)
	wg.Wait()
	p.SetInstanceCount(64)
	c.awaitOpenConns(t, 0)
	p.SetInstanceCount(1)
	c.fillSlots(t, p)
	p.SetServers(nil)
	c.awaitOpenConns(t, 0)
}
