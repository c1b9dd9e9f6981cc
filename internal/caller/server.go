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
	readHeaderTimeout  = 5 * time.Second
	readTimeout        = 30 * time.Second
	answerWriteTimeout = 30 * time.Second // for writing the answer
	idleTimeout        = 2 * time.Minute
)

// NewServer returns the HTTP server of the caller port. A nil TLS configuration
// serves plain HTTP.
func NewServer(h http.Handler, l settings.Limits, tlsConfig *tls.Config, events *eventlog.Log) *http.Server {
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      readTimeout + api.MaxWait + answerWriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          log.New(errorLogWriter{events}, "", 0),
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
