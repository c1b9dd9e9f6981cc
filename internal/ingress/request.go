package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// RetryAfter is when a refused request may be sent again.
const RetryAfter = time.Second

// Errors of ReadBody.
var (
	ErrTooLarge = errors.New("the body is larger than the limit; send a smaller job")
	// ErrRefused means that the request was given up: the job has not run.
	ErrRefused = errors.New("too many requests are being read, or the body arrives too slowly; the job has not run; come back after the wait")
)

const refusalBody = `{"problem":"too many requests are being read; the job has not run","remedy":"Come back after the wait."}`

// writeRefusal answers a request that net/http has not parsed. An empty send buffer
// takes the answer at once.
func writeRefusal(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails only if closed
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		RetryAfter/time.Second, len(refusalBody), refusalBody) // the client may be gone
}

const refusalTimeout = 50 * time.Millisecond

// Limits of what a waiting request keeps without being charged.
const (
	ordinaryLines = 64
	ordinaryBytes = 4 << 10
	ordinaryURI   = 1 << 10
)

// handler releases the header of a request before next serves it, and all else that the
// request holds afterwards.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if g.hasLongHeader(c) {
			g.dropHeader(r)
		}
		held := int64(0)
		if len(r.RequestURI) > ordinaryURI {
			held = int64(len(r.RequestURI)) * uriCopies
		}
		if !g.beginServing(c, held) {
			refuseRequest(w)
			return
		}
		next.ServeHTTP(w, r)
		g.endServing(c, r.ContentLength != 0)
	})
}

// refuseRequest answers a request that was given up after net/http had parsed it.
func refuseRequest(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	h.Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, refusalBody) // the client may be gone
}

// uriCopies is how often net/http keeps the target of a request.
const uriCopies = 3

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// hasLongHeader reports whether a header has many lines or bytes.
func (g *Guard) hasLongHeader(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.lines > ordinaryLines || c.bytes > ordinaryBytes
}

// dropHeader drops header lines that the handler doesn't need.
func (g *Guard) dropHeader(r *http.Request) {
	kept := http.Header{}
	for _, k := range append([]string{"Content-Type", "Expect"}, g.keepHeaders...) {
		if v := r.Header.Get(k); v != "" {
			kept.Set(k, v)
		}
	}
	r.Header = kept
}

// beginServing notes that a request is served, and what it holds. It returns false if the
// request was refused before; from then on it can't be, except while its body is read.
func (g *Guard) beginServing(c *conn, held int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.inHandler, c.bodyRead = true, false
	if c.shed.Load() {
		c.entry.phase = phaseRefused
		return false
	}
	c.entry.enter(phaseServing, g.now())
	if !c.closed {
		g.ledger.hold(c.entry, held)
	}
	return true
}

// endServing notes that the handler has answered. net/http reads what is left of the body
// before it sends the response, so that this counts as reading a body.
func (g *Guard) endServing(c *conn, hasBody bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.closed {
		g.ledger.hold(c.entry, 0)
	}
	if hasBody && !c.bodyRead && !c.shed.Load() {
		c.entry.enter(phaseBody, g.now())
		c.inBody.Store(true)
	}
}

// ReadBody reads a body of at most limit bytes, for which it reserves memory first. The
// reservation lasts until the request is answered, as a waiting job holds most of its body.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	c := connOf(r)
	if c == nil || r.ContentLength == 0 {
		return c.readBody(r, limit)
	}
	c.beginBody()
	data, err := c.readBody(r, limit)
	if refused := c.endBody(err == nil); refused {
		return nil, ErrRefused
	}
	return data, err
}

func (c *conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength >= 0 {
		return c.readSized(r.Body, r.ContentLength)
	}
	return c.readChunked(r.Body, limit)
}

func (c *conn) beginBody() {
	c.guard.mu.Lock()
	c.entry.enter(phaseBody, c.guard.now())
	c.guard.mu.Unlock()
	c.inBody.Store(true)
}

// endBody notes that the handler reads no more of a body, and whether that is complete. It
// reports whether the request was refused meanwhile; from then on it can't be.
func (c *conn) endBody(complete bool) (refused bool) {
	c.endDeadline()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.shed.Load() {
		return true
	}
	c.bodyRead = complete
	c.entry.enter(phaseServing, c.guard.now())
	return false
}

// grow reserves bytes of a body.
func (c *conn) grow(n int64) error {
	if c == nil || n <= 0 {
		return nil
	}
	g := c.guard
	g.mu.Lock()
	victims, ok := g.charge(c, c.entry.held+n, g.now())
	g.mu.Unlock()
	g.refuseAll(victims)
	if !ok {
		g.shed(c, BodyMemory)
	}
	return c.readError(nil)
}

// readError returns the error for a body that could not be read.
func (c *conn) readError(err error) error {
	if c == nil {
		return err
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.guard.shed(c, BodyTimeout)
	}
	if c.shed.Load() {
		return ErrRefused
	}
	return err
}

func (c *conn) readSized(body io.Reader, n int64) ([]byte, error) {
	if err := c.grow(n); err != nil {
		return nil, err
	}
	data := make([]byte, n)
	_, err := io.ReadFull(body, data)
	return data, c.readError(err)
}

// firstPiece is the first buffer of a chunked body; each further one is twice as large at
// most, and the last but one half of the largest, so that both together take 1.5 times
// the limit.
const firstPiece = 4 << 10

// nextSize returns the size of the buffer after one of the given size.
func nextSize(size, limit int64) int64 {
	half := (limit + 1) / 2
	if size >= half {
		return limit + 1 // one more, to tell a body that is too large
	}
	return min(2*size, half)
}

func (c *conn) readChunked(body io.Reader, limit int64) ([]byte, error) {
	var data []byte
	for size := min(firstPiece, limit+1); ; size = nextSize(size, limit) {
		if err := c.grow(size); err != nil {
			return nil, err
		}
		old := int64(len(data))
		data = append(make([]byte, 0, size), data...)
		c.shrink(old)
		var err error
		data, err = fill(body, data)
		switch {
		case err != nil && err != io.EOF:
			return nil, c.readError(err)
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return data, c.readError(nil)
		}
	}
}

// fill reads into data up to its capacity. Unlike io.ReadFull, it tells the end of a body
// from one that was cut. Large bodies in small chunks take much processor time; between
// reads they let others run first.
func fill(body io.Reader, data []byte) ([]byte, error) {
	for len(data) < cap(data) {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
		if len(data) > smallRequest {
			runtime.Gosched()
		}
	}
	return data, nil
}

// Hold reserves the memory that a request holds until it is answered, once its body is
// decoded: n bytes with the body. It must not have been acted upon yet.
func Hold(r *http.Request, n int64) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	c.guard.mu.Lock()
	victims, ok := c.guard.charge(c, max(n, c.entry.held), c.guard.now())
	c.guard.mu.Unlock()
	c.guard.refuseAll(victims)
	if !ok {
		c.guard.report(false, BodyMemory)
		return ErrRefused
	}
	return nil
}

// shrink gives back bytes of a body.
func (c *conn) shrink(n int64) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.entry.phase == phaseBody {
		c.guard.ledger.hold(c.entry, max(c.entry.held-n, 0))
	}
}

// largeBody is the size from which bodies are parsed one after the other: the shortest
// steps of a job take 80 times their bytes until the job is checked.
const largeBody = 16 << 10

// Parse runs the parser of a body that ReadBody returned.
func Parse(r *http.Request, body []byte, parse func()) {
	if c := connOf(r); c != nil && len(body) > largeBody {
		c.guard.parsing.Lock()
		defer c.guard.parsing.Unlock()
	}
	parse()
}
