package platformtest

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// PipeServer serves a handler over in-memory pipes.
type PipeServer struct {
	server   *http.Server
	listener *pipeListener
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewPipeServer starts serving h until Close.
func NewPipeServer(h http.Handler) *PipeServer {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	p := &PipeServer{server: &http.Server{Handler: h}, listener: l}
	go func() { _ = p.server.Serve(l) }()
	return p
}

// Transport returns a transport that connects to the server for every address.
func (p *PipeServer) Transport() *http.Transport {
	return &http.Transport{DialContext: p.listener.dial}
}

// Close stops the server and closes its connections.
func (p *PipeServer) Close() error { return p.server.Close() }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }
