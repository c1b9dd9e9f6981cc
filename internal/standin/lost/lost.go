// Package lost serves calls whose answers never arrive, for stand-ins.
package lost

import (
	"io"
	"net/http"
)

// DropAnswer carries a call out and ends the connection without an answer.
func DropAnswer(next http.Handler, r *http.Request) {
	next.ServeHTTP(discard{http.Header{}}, r)
	panic(http.ErrAbortHandler)
}

// Hang neither carries a call out nor answers it.
func Hang(r *http.Request) {
	// The body is read so that the server sees the caller hang up.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// discard is a response that nobody receives.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
