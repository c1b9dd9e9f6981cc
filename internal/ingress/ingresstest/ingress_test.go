// Package ingresstest tests the caller ports of the real program against clients that
// use up memory, file descriptors and connections within the permitted sizes.
package ingresstest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// Bounds of the client load, which no other test shares the machine with.
const (
	numClients  = 400
	numIdle     = 700 // more than there are descriptors
	minLoad     = 5 * time.Second
	maxLoad     = 30 * time.Second
	redialDelay = 200 * time.Millisecond
	callTimeout = 5 * time.Second
)

// load is what a hostile client sends; most leave the connection open after it.
type load struct {
	name    string // of the failure that it causes
	clients int
	send    func(w io.Writer, p *process, client int)
}

var loads = []load{
	{"memory of short header lines of requests with an open body", numClients, func(w io.Writer, p *process, i int) {
		fmt.Fprintf(w, "%sContent-Length: 10\r\n%s\r\n123456789", requestHead(p), headerLines("abcdefghijklmnopqrstuvwxyz0123456789"))
	}},
	{"memory of odd header lines without an end", numClients, func(w io.Writer, p *process, i int) {
		fmt.Fprintf(w, "%s%s", requestHead(p), headerLines("!#$%&'*+-.^_`|~xXyYzZ09"))
	}},
	{"memory of large bodies, whole and stopping short", numClients, func(w io.Writer, p *process, i int) {
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", requestHead(p), bodyBytes, largeBody(i)) // one write, like a whole body
	}},
	{"memory of large bodies in pieces, stopping short", numClients, func(w io.Writer, p *process, i int) {
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", requestHead(p), bodyBytes)
		for body := largeBody(i); body != ""; {
			n := min(len(body), 8192)
			if _, err := io.WriteString(w, body[:n]); err != nil {
				return
			}
			body = body[n:]
			time.Sleep(10 * time.Millisecond)
		}
	}},
	{"memory of large chunks, stopping short", numClients, func(w io.Writer, p *process, i int) { sendChunks(w, p, 32<<10, bodyBytes-1-i%10) }},
	{"memory of one-byte chunks, stopping short", numClients, func(w io.Writer, p *process, i int) { sendChunks(w, p, 1, bodyBytes-1-i%10) }},
	{"descriptors of idle connections", numIdle, func(io.Writer, *process, int) {}},
	{"descriptors of half a request line", numIdle, func(w io.Writer, p *process, i int) { fmt.Fprint(w, "POST /q/00") }},
}

func requestHead(p *process) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", p.path(), p.host)
}

// headerLines returns the shortest header lines with different names that the characters
// make, a little less than the limit of a header.
func headerLines(chars string) string {
	var b strings.Builder
	for n := 0; b.Len() < headerBytes-400; n++ {
		for k := n; ; k /= len(chars) {
			b.WriteByte(chars[k%len(chars)])
			if k < len(chars) {
				break
			}
		}
		b.WriteString(":\n")
	}
	return b.String()
}

// largeBody returns a body of the largest size that is no job. Nine of ten clients stop
// one byte before its end.
func largeBody(client int) string {
	return strings.Repeat("x", bodyBytes-min(client%10, 1))
}

// sendChunks sends a chunked body without its last chunk.
func sendChunks(w io.Writer, p *process, size, total int) {
	fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", requestHead(p))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	batch := strings.Repeat(chunk, max(16<<10/len(chunk), 1))
	for sent := 0; sent+size*(len(batch)/len(chunk)) <= total; sent += size * (len(batch) / len(chunk)) {
		if _, err := io.WriteString(w, batch); err != nil {
			return
		}
	}
}

// run keeps the load up until ctx ends: a client whose connection was closed opens a
// new one.
func (l load) run(ctx context.Context, p *process) {
	var clients sync.WaitGroup
	for i := range l.clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				l.connect(ctx, p, i)
				select {
				case <-ctx.Done():
				case <-time.After(redialDelay):
				}
			}
		})
	}
	clients.Wait()
}

// connect sends the load on one connection and leaves it open.
func (l load) connect(ctx context.Context, p *process, client int) {
	c, err := net.DialTimeout("tcp", p.addr, callTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	l.send(c, p, client)
	_, _ = io.Copy(io.Discard, c) // until the process or the end of the load closes it
}

// ordinaryRequest sends jobs until one is answered with status 200.
func ordinaryRequest(t *testing.T, p *process) {
	t.Helper()
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(maxLoad); time.Now().Before(end) && p.alive(); time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+p.addr+p.path(), strings.NewReader(p.job()))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = p.host
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprint(resp.Status, ": ", string(text))
	}
	t.Errorf("an ordinary request was not answered: %s", last)
}

// TestHostileClients guards against a process that runs out of memory or file
// descriptors, or answers nobody, because of clients that stay within the limits.
func TestHostileClients(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "nutmegweir")
	buildProgram(t, binary)
	for name, start := range map[string]func(*testing.T, string) *process{"fleet": startFleet, "serve": startServe} {
		for _, l := range loads {
			t.Run(name+"/"+l.name, func(t *testing.T) { checkLoad(t, l, startListening(t, binary, start)) })
		}
	}
}

// buildProgram builds the program without the race detector, which multiplies memory.
func buildProgram(t *testing.T, binary string) {
	t.Helper()
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/nutmegweir").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}

// checkLoad starts a load on processes of one fleet and checks them during it and afterwards.
func checkLoad(t *testing.T, l load, processes ...*process) {
	for _, p := range processes {
		if ordinaryRequest(t, p); t.Failed() {
			t.FailNow()
		}
	}
	ctx, stop := context.WithTimeout(t.Context(), maxLoad+minLoad)
	defer stop()
	var clients, observer sync.WaitGroup
	descriptors := make([]int, len(processes))
	for n, p := range processes {
		clients.Go(func() { l.run(ctx, p) })
		observer.Go(func() {
			for ctx.Err() == nil && p.alive() {
				descriptors[n] = max(descriptors[n], p.descriptors(t))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(minLoad)
	for _, p := range processes {
		ordinaryRequest(t, p)
	}
	stop()
	clients.Wait()
	observer.Wait()
	for n, p := range processes {
		if !p.alive() {
			t.Fatalf("the process has ended; its log is in %s", p.logFile)
		}
		ordinaryRequest(t, p)
		t.Logf("memory %d MB, %d descriptors", p.memory(t), descriptors[n])
		if got := p.memory(t); got >= memoryMB/2 {
			t.Errorf("resident memory reached %d MB; less than %d are allowed", got, memoryMB/2)
		}
		if descriptors[n] > maxFDs-reservedFDs {
			t.Errorf("%d descriptors were open; at most %d are allowed", descriptors[n], maxFDs-reservedFDs)
		}
	}
}
