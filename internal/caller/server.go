package caller

import (
	"crypto/tls"
	"log"
	"net/http"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/api"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/settings"
)

// Timeouts of the caller port.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTime         = 30 * time.Second // for the answer alone
	idleTimeout       = 2 * time.Minute
)

// NewServer returns the HTTP server of the caller port. The TLS configuration
// is nil for a plain port.
func NewServer(h http.Handler, l settings.Limits, tlsConfig *tls.Config, events *eventlog.Log) *http.Server {
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      readTimeout + api.MaxWait + writeTime,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          log.New(faultWriter{events}, "", 0),
	}
}

// faultWriter writes the messages of net/http as events.
type faultWriter struct {
	events *eventlog.Log
}

// Write writes one message.
func (f faultWriter) Write(p []byte) (int, error) {
	f.events.Event(eventlog.CallerPortFault).Str("detail", string(p)).Send()
	return len(p), nil
}
