// Package peer maintains links between entry instances: yamux over TCP or mutual
// TLS, carrying frames of protobuf messages.
//
// Each instance sends on the connection it dialed and receives on those it
// accepted. Messages between two processes are delivered once and in order, also
// across reconnects, unless the session is reset: a core.PeerUp event with
// SessionReset set means that messages in flight may be lost.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/nutmegweir/nutmegweir/internal/acceptor"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// Version is the version of the peer protocol.
const Version = 1

const (
	silenceSlack      = 10 * time.Millisecond // added to the deadline, so that a timeout covers the whole silence bound
	minRetryDelay     = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	keepAliveInterval = time.Second
	writeTimeout      = time.Second
	streamWindowBytes = 1 << 20
	maxFrameBytes     = 16 << 20
	maxFrameMsgs      = 1024
	maxHelloBytes     = 4 << 10
	helloBufferBytes  = 16
	maxQueueMsgs      = 1 << 17 // queued or unacknowledged messages of one link
	acceptTimeout     = 2 * time.Second
)

// Options are the settings of a Manager.
type Options struct {
	Self      shard.Member
	Domain    model.Domain
	Addr      string           // own peer address, which others dial
	SourceIP  net.IP           // local address to dial from, nil for any
	ClientTLS *tls.Config      // nil for plain TCP
	OnEvent   func(core.Event) // receives events; may block
	// SilenceBound is how long a new connection may stay unanswered before the
	// peer counts as unresponsive.
	SilenceBound time.Duration
	Stats        Stats // may be nil
	// OnAcceptError reports, at most once a second, that connections can't be accepted;
	// may be nil.
	OnAcceptError func(error)
}

// Stats counts the frames sent and received.
type Stats interface {
	FrameSent(f *peerpb.Frame, bytes int)
	FrameReceived(f *peerpb.Frame, bytes int)
}

// Manager maintains the links of one instance.
type Manager struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	lastSession atomic.Uint64 // last session number assigned

	mu         sync.Mutex
	closed     bool                     // no more goroutines may start
	links      map[string]*link         // by address
	byInstance map[model.Instance]*link // by the instance that answered last
	closing    map[string]*link         // closed most recently, by address
	inboxes    map[model.Incarnation]*inbox
}

// New returns a manager without links.
func New(o Options) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		opts:       o,
		ctx:        ctx,
		cancel:     cancel,
		links:      make(map[string]*link),
		byInstance: make(map[model.Instance]*link),
		closing:    make(map[string]*link),
		inboxes:    make(map[model.Incarnation]*inbox),
	}
}

// Close closes all links and waits for their goroutines.
func (m *Manager) Close() {
	m.cancel()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.wg.Wait()
}

// spawn runs f on a goroutine unless the manager is closed. The caller holds mu,
// so that no goroutine starts while Close waits.
func (m *Manager) spawn(f func()) {
	if !m.closed {
		m.wg.Go(f)
	}
}

// Dial opens and closes links so that there is one to each of these addresses.
func (m *Manager) Dial(list []core.InstanceInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	keep := make(map[string]bool, len(list))
	for _, i := range list {
		keep[i.Addr] = true
		if m.links[i.Addr] == nil {
			m.startLink(i.Addr)
		}
	}
	for addr, l := range m.links {
		if !keep[addr] {
			m.closeLink(l)
		}
	}
}

// closeLink closes a link. No more messages are queued on it.
func (m *Manager) closeLink(l *link) {
	l.cancel()
	delete(m.links, l.addr)
	m.closing[l.addr] = l
	maps.DeleteFunc(m.byInstance, func(_ model.Instance, x *link) bool { return x == l })
}

// startLink starts a link. A closed link to the same address ends first, so that
// its events and session never follow those of the new one.
func (m *Manager) startLink(addr string) {
	ctx, cancel := context.WithCancel(m.ctx)
	l := newLink(m, addr, cancel)
	m.links[addr] = l
	previous := m.closing[addr]
	delete(m.closing, addr)
	m.spawn(func() {
		defer close(l.done)
		if previous != nil {
			<-previous.done
		}
		l.run(ctx)
	})
}

// Send queues messages to an instance. Messages to an instance that was never
// connected are dropped.
func (m *Manager) Send(to model.Instance, msgs ...*peerpb.Message) {
	m.mu.Lock()
	l := m.byInstance[to]
	m.mu.Unlock()
	if l != nil {
		l.enqueue(msgs)
	}
}

// bindInstance makes l the link to an instance, unless l was closed meanwhile.
func (m *Manager) bindInstance(i model.Instance, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.addr] == l {
		m.byInstance[i] = l
	}
}

func (m *Manager) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Version:     Version,
		Instance:    string(m.opts.Self.Instance),
		Incarnation: string(m.opts.Self.Incarnation),
		Domain:      string(m.opts.Domain),
		Addr:        m.opts.Addr,
	}
}

func memberOf(h *peerpb.Hello) shard.Member {
	return shard.Member{
		Instance:    model.Instance(h.Instance),
		Incarnation: model.Incarnation(h.Incarnation),
	}
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard
	return c
}

// conn is a yamux stream with protobuf framing.
type conn struct {
	io.Writer
	r       *bufio.Reader
	session *yamux.Session
	stream  net.Conn
}

func newConn(s *yamux.Session, stream net.Conn) *conn {
	return &conn{Writer: stream, r: bufio.NewReader(stream), session: s, stream: stream}
}

func (c *conn) read(m protoMessage) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(c.r, m)
}

func (c *conn) close() {
	_ = c.stream.Close()
	_ = c.session.Close()
}

// Serve accepts connections from other instances until the listener closes. Other errors,
// such as running out of file descriptors, pass; it tries again.
func (m *Manager) Serve(l net.Listener) error {
	err := acceptor.Each(m.ctx, l, m.reportAcceptError, func(c net.Conn) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.closed {
			c.Close()
		}
		m.spawn(func() { m.accept(c) })
	})
	return errors.Wrap(err, "peer listener")
}

func (m *Manager) reportAcceptError(err error) {
	if m.opts.OnAcceptError != nil {
		m.opts.OnAcceptError(errors.Wrap(err, "accept a connection; check the limit of file descriptors"))
	}
}

func (m *Manager) accept(c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(m.ctx, func() { c.Close() })
	defer stop()
	from, b, ok := m.acceptHandshake(c)
	if !ok {
		return
	}
	session, err := yamux.Server(c, muxConfig())
	if err != nil {
		return
	}
	defer session.Close()
	ctx, cancel := context.WithTimeout(m.ctx, acceptTimeout)
	defer cancel()
	stream, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return
	}
	m.receive(from, b, c, newConn(session, stream))
}

// acceptHandshake answers the hello. It runs before yamux starts, so yamux
// keep-alives can't affect it.
func (m *Manager) acceptHandshake(c net.Conn) (shard.Member, *inbox, bool) {
	_ = c.SetDeadline(time.Now().Add(acceptTimeout))
	defer c.SetDeadline(time.Time{})
	hello := &peerpb.Hello{}
	if err := readHello(c, hello); err != nil || hello.Version != Version {
		return shard.Member{}, nil, false
	}
	from := memberOf(hello)
	m.opts.OnEvent(core.PeerHello{Info: core.InstanceInfo{
		Member: from,
		Domain: model.Domain(hello.Domain),
		Addr:   hello.Addr,
	}})
	b := m.inboxFor(from.Incarnation)
	received, ok := b.beginSession(c, hello.Session)
	if !ok {
		return from, b, false
	}
	answer := m.hello()
	answer.Received = received
	answer.Session = hello.Session
	_, err := protodelim.MarshalTo(c, answer)
	return from, b, err == nil
}

// readHello reads byte by byte, so that it consumes nothing after the hello.
func readHello(c net.Conn, h *peerpb.Hello) error {
	r := bufio.NewReaderSize(byteReader{c}, helloBufferBytes)
	return protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}.UnmarshalFrom(r, h)
}

// byteReader returns one byte at a time.
type byteReader struct{ io.Reader }

// Read implements io.Reader.
func (b byteReader) Read(p []byte) (int, error) { return b.Reader.Read(p[:1]) }
