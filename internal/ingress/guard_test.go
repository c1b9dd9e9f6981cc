package ingress

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// startServer serves bodies' lengths on loopback; requests to /wait block until the end
// of the test.
func startServer(t *testing.T, l Limits) (*Guard, string) {
	g := New(Options{Limits: l, KeepHeaders: []string{"Kept"}})
	s := &http.Server{MaxHeaderBytes: 16 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lines := 0
		for _, values := range r.Header {
			lines += len(values)
		}
		body, err := ReadBody(r, 262_144)
		switch {
		case lines > ordinaryLines:
			w.WriteHeader(http.StatusInternalServerError) // they would be kept while the job waits
		case errors.Is(err, ErrRefused):
			refuseRequest(w)
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		case r.URL.Path == "/wait":
			<-t.Context().Done()
		}
		fmt.Fprintf(w, "%d %s", len(body), r.Header.Get("Kept"))
	})}
	g.Protect(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.Serve(s, listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return g, listener.Addr().String()
}

// exchange sends text on a new connection, and returns the statuses and bodies of n
// responses, or what there was before the connection ended.
func exchange(t *testing.T, addr, text string, n int) (out []string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return nil
	}
	defer c.Close()
	go func() { _, _ = io.WriteString(c, text) }() // the server may close the connection
	r := bufio.NewReader(c)
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Error(err)
		}
		text := fmt.Sprintf("%d %s", resp.StatusCode, body)
		if resp.StatusCode == http.StatusServiceUnavailable {
			if resp.Header.Get("Retry-After") == "" || !resp.Close {
				t.Errorf("a refusal without Retry-After or Connection: close: %v", resp.Header)
			}
			text = "503"
		}
		out = append(out, text)
	}
	return out
}

func request(path, headers, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body
}

// shortLines returns header lines of four bytes with different names.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%c%c:\n", 'a'+i%26, "abcdefghijklmnopqrstuvwxyz0123456789"[i/26%36])
	}
	return b.String()
}

// TestLegalRequests guards against refusing or changing requests of permitted size, and
// against reservations that are not given back.
func TestLegalRequests(t *testing.T) {
	full := strings.Repeat("x", 262_144)
	cases := map[string]struct {
		text string
		want []string
	}{
		"plain":                  {request("/", "Content-Length: 3\r\n", "abc"), []string{"200 3 "}},
		"no body":                {"GET / HTTP/1.1\r\nHost: h\r\nKept: a\r\n\r\n", []string{"200 0 a"}},
		"shortest header lines":  {request("/", shortLines(4000)+"Kept: a\r\nContent-Length: 1\r\n", "x"), []string{"200 1 a"}},
		"one name in all lines":  {request("/", strings.Repeat("a:\n", 5000)+"Kept: a\r\nContent-Length: 1\r\n", "x"), []string{"200 1 a"}},
		"largest body":           {request("/", "Content-Length: 262144\r\n", full), []string{"200 262144 "}},
		"too large":              {request("/", "Connection: close\r\nContent-Length: 262145\r\n", full+"x"), []string{"413 0 "}},
		"largest chunked body":   {request("/", "Transfer-Encoding: chunked\r\n", "40000\r\n"+full+"\r\n0\r\n\r\n"), []string{"200 262144 "}},
		"smallest chunks":        {request("/", "Transfer-Encoding: chunked\r\n", strings.Repeat("1\r\nx\r\n", 262_144)+"0\r\n\r\n"), []string{"200 262144 "}},
		"too large chunked":      {request("/", "Transfer-Encoding: chunked\r\n", "40001\r\n"+full+"x\r\n0\r\n\r\n"), []string{"413 0 "}},
		"cut chunk":              {request("/", "Transfer-Encoding: chunked\r\n", "zz\r\n"), []string{"400 0 "}},
		"pipelined":              {strings.Repeat(request("/", strings.Repeat("A: b\r\n", 20)+"Content-Length: 3\r\n", "abc"), 5000), repeated("200 3 ", 5000)},
		"pipelined short lines":  {strings.Repeat(request("/", shortLines(900)+"Content-Length: 1\r\n", "x"), 5), repeated("200 1 ", 5)},
		"pipelined after chunks": {strings.Repeat(request("/", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"), 9), repeated("200 3 ", 9)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, addr := startServer(t, LimitsFor(144, 3075))
			if got := exchange(t, addr, c.text, len(c.want)); strings.Join(got, ";") != strings.Join(c.want, ";") {
				t.Errorf("got %.200q, want %.200q", got, c.want)
			}
			for {
				if conns, used := g.Usage(); conns == 0 {
					if used != 0 {
						t.Errorf("%d bytes are still reserved", used)
					}
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

func repeated(s string, n int) []string { return strings.Split(strings.Repeat(s+";", n-1)+s, ";") }

// TestExhaustedBudget guards against requests that evade the budget: by a header, as a
// pipelined one, or by a body of either kind. Requests that are served hold all of it.
func TestExhaustedBudget(t *testing.T) {
	large := "Content-Length: 100000\r\n"
	cases := map[string]struct {
		text string
		want []string // the connection may also be closed instead of a 503
	}{
		"short header lines":     {request("/", shortLines(3000), ""), []string{"503"}},
		"body":                   {request("/", large, ""), []string{"503"}},
		"chunked body":           {request("/", "Transfer-Encoding: chunked\r\n", "186a0\r\n"+strings.Repeat("x", 100_000)), []string{"503"}},
		"ordinary":               {request("/", "Content-Length: 3\r\n", "abc"), []string{"200 3 "}},
		"pipelined header lines": {request("/", "Content-Length: 5000\r\n", strings.Repeat("x", 5000)) + request("/", shortLines(750)+"Content-Length: 1\r\n", "x"), []string{"200 5000 ", "503"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, addr := startServer(t, Limits{Memory: 400_000, Conns: 100})
			go exchange(t, addr, request("/wait", "Content-Length: 262144\r\n", strings.Repeat("x", 262_144)), 1)
			for used := int64(0); used < 262_144; _, used = g.Usage() {
				time.Sleep(time.Millisecond)
			}
			got := strings.Join(exchange(t, addr, c.text, len(c.want)), ";")
			want := strings.Join(c.want, ";")
			if got != want && got != strings.TrimSuffix(strings.TrimSuffix(want, "503"), ";") {
				t.Errorf("got %.200q, want %.200q", got, want)
			}
		})
	}
}

// TestBodyTimeout guards against bodies that hold memory indefinitely without overload.
func TestBodyTimeout(t *testing.T) {
	_, addr := startServer(t, Limits{Memory: 400_000, Conns: 100, BodyTime: time.Millisecond})
	if got := exchange(t, addr, request("/", "Content-Length: 9000\r\n", "abc"), 1); len(got) != 1 || got[0] != "503" {
		t.Errorf("got %q, want 503", got)
	}
}

// TestEncrypted guards against limits that see encrypted bytes, or that break TLS.
func TestEncrypted(t *testing.T) {
	other := httptest.NewTLSServer(nil) // has a certificate that its client trusts
	defer other.Close()
	g := New(Options{Limits: Limits{Memory: 400_000, Conns: 100}})
	s := &http.Server{TLSConfig: &tls.Config{Certificates: other.TLS.Certificates}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(r, 262_144)
		fmt.Fprint(w, err)
	})}
	g.Protect(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.Serve(s, l) }()
	defer s.Close()
	for size, want := range map[int]string{3: "<nil>", 200_000: "<nil>", 262_144: "<nil>", 262_145: ErrTooLarge.Error()} {
		resp, err := other.Client().Post("https://"+l.Addr().String(), "", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(text) != want || resp.ProtoMajor != 1 {
			t.Errorf("%d bytes: %q, %v, %s, want %q", size, text, err, resp.Proto, want)
		}
	}
	if _, used := g.Usage(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}
