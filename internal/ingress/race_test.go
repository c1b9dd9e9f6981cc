package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// admitted returns a connection of the guard whose peer sends nothing.
func admitted(t *testing.T, g *Guard) *conn {
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close() })
	c := g.admit(server)
	if c == nil {
		t.Fatal("the connection is refused")
	}
	return c
}

// choose makes the guard choose victims for n bytes, but doesn't end their reading yet.
func choose(t *testing.T, g *Guard, n int64) {
	other := admitted(t, g)
	g.mu.Lock()
	defer g.mu.Unlock()
	if victims, ok := g.charge(other, n, g.now()+time.Minute); !ok || len(victims) != 1 {
		t.Errorf("%d victims, %v, want one", len(victims), ok)
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestVictimCompletes guards against a request that is served although it was chosen to be
// refused: it completes between the choice and the end of its reading, which would then
// look like the client's disconnect.
func TestVictimCompletes(t *testing.T) {
	t.Run("body", func(t *testing.T) {
		g := New(Options{Limits: Limits{Memory: 400_000, Conns: 9}})
		r := httptest.NewRequest(http.MethodPost, "/", readerFunc(func(p []byte) (int, error) {
			choose(t, g, 200_000)
			return len(p), nil
		}))
		r.ContentLength = 200_000
		r = r.WithContext(context.WithValue(r.Context(), connKey{}, admitted(t, g)))
		if _, err := ReadBody(r, 262_144); !errors.Is(err, ErrRefused) {
			t.Errorf("got %v, want that it is refused", err)
		}
	})
	t.Run("header", func(t *testing.T) {
		g := New(Options{Limits: Limits{Memory: 400_000, Conns: 9}})
		c := admitted(t, g)
		g.received(c, []byte(strings.Repeat("\n", 1000)), readerSize)
		choose(t, g, 200_000)
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		g.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("it is served") })).
			ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), connKey{}, c)))
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("got %d, want 503", w.Code)
		}
	})
}

// deadlineConn calls onDeadline before the first read deadline is set, and keeps the last.
type deadlineConn struct {
	net.Conn
	onDeadline func()
	deadline   time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	if f := c.onDeadline; f != nil {
		c.onDeadline = nil
		f()
	}
	c.deadline = t
	return nil
}

func (c *deadlineConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestDeadlineEndsWithBody guards against a time limit of the body that stays in force
// while the job runs. net/http starts a read in the background when the last byte of the
// body has been read, and thus before ReadBody has returned.
func TestDeadlineEndsWithBody(t *testing.T) {
	ended := make(chan struct{})
	raw := &deadlineConn{}
	c := New(Options{Limits: Limits{Memory: 400_000, Conns: 9, BodyTime: time.Minute}}).admit(raw)
	raw.onDeadline = func() {
		go func() {
			c.endBody(true)
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(100 * time.Millisecond): // waits until the deadline is set
		}
	}
	c.beginBody()
	_, _ = c.Read(make([]byte, 1)) // fails
	<-ended
	if !raw.deadline.IsZero() {
		t.Error("a read deadline is set after the body")
	}
}

// startUnreading serves requests without reading their bodies.
func startUnreading(t *testing.T, l Limits) string {
	g := New(Options{Limits: l})
	s := &http.Server{Handler: http.NotFoundHandler()}
	g.Protect(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.Serve(s, listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String()
}

// sendShort sends a request whose body doesn't arrive.
func sendShort(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, request("/", "Content-Length: 9000\r\n", "")); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestUnreadBodies guards against clients that take all connections indefinitely with bodies
// that the handler doesn't read, such as those of requests without a route: net/http
// reads them before it sends the response, and waits for the bytes that are missing.
func TestUnreadBodies(t *testing.T) {
	addr := startUnreading(t, Limits{Memory: 400_000, Conns: 2})
	sendShort(t, addr)
	sendShort(t, addr)
	var got []string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got = exchange(t, addr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1); len(got) == 1 && strings.HasPrefix(got[0], "404") {
			return
		}
	}
	t.Errorf("got %q for an ordinary request, want 404", got)
}

// TestUnreadBodyTimeout guards against bodies that the handler doesn't read and that keep
// their connections indefinitely without overload.
func TestUnreadBodyTimeout(t *testing.T) {
	c := sendShort(t, startUnreading(t, Limits{Memory: 400_000, Conns: 2, BodyTime: time.Millisecond}))
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound || !resp.Close {
		t.Errorf("got %d, close %v, want 404 and the end of the connection", resp.StatusCode, resp.Close)
	}
}

// TestLargestChunkedBody guards against a budget that refuses the largest body of the
// default limit of serve (limits.body_bytes) without overload, since its buffer grows.
func TestLargestChunkedBody(t *testing.T) {
	const limit = 4 << 20
	g := New(Options{Limits: LimitsFor(144, 3075)})
	r := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(zeros{}, limit))
	r.ContentLength = -1
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, admitted(t, g)))
	if body, err := ReadBody(r, limit); err != nil || len(body) != limit {
		t.Errorf("%d bytes, %v, want all", len(body), err)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
