// Package lost lets stand-ins serve calls whose answers never arrive.
package lost

import (
	"io"
	"net/http"
)

// DropAnswer executes a call and closes the connection without an answer.
func DropAnswer(next http.Handler, r *http.Request) {
	next.ServeHTTP(discardResponse{http.Header{}}, r)
	panic(http.ErrAbortHandler)
}

// Hang neither executes nor answers a call.
func Hang(r *http.Request) {
	// The body is read so that the server notices when the caller disconnects.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// discardResponse is a ResponseWriter that drops the response.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}
