package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequest sends ordinary requests over one connection, with and without the
// limits.
func BenchmarkRequest(b *testing.B) {
	for name, serve := range map[string]func(*http.Server, net.Listener){
		"plain": func(s *http.Server, l net.Listener) { _ = s.Serve(l) },
		"guarded": func(s *http.Server, l net.Listener) {
			g := New(Options{Limits: LimitsFor(284, 3075)})
			g.Protect(s)
			_ = g.Serve(s, l)
		},
	} {
		b.Run(name, func(b *testing.B) {
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := ReadBody(r, 262_144); err != nil {
					b.Error(err)
				}
			})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go serve(s, l)
			defer s.Close()
			body := strings.Repeat("x", 300)
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Post("http://"+l.Addr().String(), "application/json", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body) // empty
				_ = resp.Body.Close()
			}
		})
	}
}
