package caller

import (
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/ingress"
	"github.com/nutmegweir/nutmegweir/internal/settings"
)

// Timeouts of the caller port.
const (
	readHeaderTimeout  = 5 * time.Second
	readTimeout        = 30 * time.Second
	answerWriteTimeout = 30 * time.Second // for writing the answer
	idleTimeout        = 2 * time.Minute
)

// Server is the HTTP server of the caller port.
type Server struct {
	*http.Server
	guard *ingress.Guard
}

// Serve serves a listener until the server is closed.
func (s *Server) Serve(l net.Listener) error { return s.guard.Serve(s.Server, l) }

// NewServer returns the HTTP server of the caller port. A nil TLS configuration
// serves plain HTTP.
func NewServer(h http.Handler, l settings.Limits, tlsConfig *tls.Config, events *eventlog.Log) *Server {
	limits := ingress.LimitsFor(l.MemoryMB, l.MaxFDs)
	limits.BodyTime = 0 // readTimeout bounds bodies, which may be larger here
	s := &Server{guard: ingress.New(ingress.Options{Limits: limits, Observer: observer{events}}), Server: &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      readTimeout + api.MaxWait + answerWriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          log.New(errorLogWriter{events}, "", 0),
	}}
	s.guard.Protect(s.Server)
	return s
}

// observer logs the connections and requests that the limits give up.
type observer struct{ events *eventlog.Log }

// ConnectionClosed implements ingress.Observer.
func (o observer) ConnectionClosed(r ingress.Reason, logged bool) {
	if logged {
		o.events.Event(eventlog.ConnectionClosed).Str("reason", string(r)).Send()
	}
}

// RequestShed implements ingress.Observer.
func (o observer) RequestShed(r ingress.Reason, logged bool) {
	if logged {
		o.events.Event(eventlog.RequestShed).Str("reason", string(r)).Send()
	}
}

// errorLogWriter logs the error messages of net/http as events.
type errorLogWriter struct {
	events *eventlog.Log
}

// Write implements io.Writer.
func (w errorLogWriter) Write(p []byte) (int, error) {
	w.events.Event(eventlog.CallerPortFault).Str("detail", string(p)).Send()
	return len(p), nil
}
