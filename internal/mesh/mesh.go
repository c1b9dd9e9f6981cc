// Package mesh carries messages between the instances of a fleet: yamux over
// TCP, with frames of protobuf messages.
//
// Each instance dials every other, sends on the connections it dialed and
// receives on those it accepted. Messages on one connection arrive in order.
// Messages in flight when it breaks are lost; the next connection starts empty.
package mesh

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/acceptor"
	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/fleetpb"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// Limits of a link.
const (
	streamTimeout    = 5 * time.Second        // for a connection to open its stream: the handshake has failed long before
	handshakeTimeout = 500 * time.Millisecond // several round trips between failure domains
	writeTimeout     = 600 * time.Millisecond // after which a peer counts as unresponsive
	redialMin        = 30 * time.Millisecond
	redialMax        = 500 * time.Millisecond
	redialJitter     = 0.3
	maxFrameBytes    = 4 << 20
	largeFrameBytes  = 64 << 10 // to which no further message is added
	maxHelloBytes    = 64 << 10 // a member's names and address take less than 2 KB
	queueLength      = 512      // messages buffered for a slow link: several seconds of peak load
)

// Options are the settings of a Mesh.
type Options struct {
	Self         fleet.Member
	Dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	OnConnect    func(fleet.LinkUp)
	OnDisconnect func(fleet.LinkDown)
	OnMessage    func(from fleet.Member, message any) // a fleet.Message or a Config
	OnError      func(peer model.Instance, err error) // for logging
}

// Mesh maintains the links of one instance.
type Mesh struct {
	opts  Options
	mu    sync.Mutex
	links map[model.Instance]*link
	wg    sync.WaitGroup

	connections atomic.Uint64 // outgoing, so far
	inbound     inboundLinks
	decoding    sync.Mutex // held while a large frame is decoded
}

// New returns a mesh without links.
func New(o Options) *Mesh {
	return &Mesh{opts: o, links: map[model.Instance]*link{}, inbound: inboundLinks{latest: map[inboundKey]*inboundLink{}}}
}

// link sends to one member.
type link struct {
	member    fleet.Member
	cancel    context.CancelFunc
	queue     *sendQueue
	reconnect chan struct{} // requests a new connection

	connectedTo atomic.Value // model.Incarnation at the other end, empty while not connected
}

// reaches reports whether the link is connected to an incarnation of its member.
func (l *link) reaches(i model.Incarnation) bool {
	connected, ok := l.connectedTo.Load().(model.Incarnation)
	return ok && connected == i
}

// Connect maintains a link to a member until Disconnect or the end of ctx. A new
// address, or a later incarnation that the link has not reached yet, replaces it: a
// connection that was opened before that incarnation started may hang for long.
func (m *Mesh) Connect(ctx context.Context, member fleet.Member) {
	if member.Instance == m.opts.Self.Instance || member.Addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[member.Instance]; l != nil {
		later := l.member.Incarnation < member.Incarnation && !l.reaches(member.Incarnation)
		if l.member.Incarnation > member.Incarnation || l.member.Addr == member.Addr && !later {
			return
		}
		l.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{member: member, cancel: cancel, queue: newSendQueue(), reconnect: make(chan struct{}, 1)}
	m.links[member.Instance] = l
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.maintain(ctx, l)
	}()
}

// Disconnect closes the link to a member.
func (m *Mesh) Disconnect(i model.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[i]; l != nil {
		l.cancel()
		delete(m.links, i)
	}
}

// Reconnect replaces the connection to a member by a new one.
func (m *Mesh) Reconnect(i model.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[i]; l != nil {
		l.requestReconnect()
	}
}

// startConnection drops what was queued or requested for an earlier connection.
func (l *link) startConnection(to model.Incarnation) {
	select {
	case <-l.reconnect:
	default:
	}
	l.queue.reset(to)
}

func (l *link) requestReconnect() {
	select {
	case l.reconnect <- struct{}{}:
	default: // already requested
	}
}

// Send queues a message for an incarnation of a member. It never blocks: without a link to
// that incarnation, the message is dropped; if its queue is full, the message and all later
// ones until the next connection are.
func (m *Mesh) Send(to fleet.Member, message any) {
	m.mu.Lock()
	l := m.links[to.Instance]
	m.mu.Unlock()
	if l == nil {
		return
	}
	if l.queue.add(to.Incarnation, message) {
		m.opts.OnError(to.Instance, errors.New("the link's send queue is full; reconnecting"))
		l.requestReconnect()
	}
}

// Wait waits until all links are closed.
func (m *Mesh) Wait() { m.wg.Wait() }

// maintain redials until ctx ends.
func (m *Mesh) maintain(ctx context.Context, l *link) {
	backoff := wait.Backoff{Min: redialMin, Max: redialMax, Jitter: redialJitter}
	known := l.member
	for ctx.Err() == nil {
		connected, err := m.connectAndSend(ctx, l, &known)
		if ctx.Err() != nil {
			return
		}
		if connected {
			backoff.Reset()
		}
		m.opts.OnDisconnect(fleet.LinkDown{Peer: known, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		if err != nil && connected {
			m.opts.OnError(l.member.Instance, err)
		}
		if !backoff.Sleep(ctx) {
			return
		}
	}
}

// connectAndSend dials and sends until the connection breaks.
func (m *Mesh) connectAndSend(ctx context.Context, l *link, known *fleet.Member) (connected bool, err error) {
	conn, err := m.opts.Dial(ctx, "tcp", l.member.Addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	guarded := &guardedConn{Conn: conn}
	session, err := yamux.Client(newCoalescingConn(guarded), sessionConfig())
	if err != nil {
		return false, err
	}
	defer session.Close()
	stream, err := session.OpenStream()
	if err != nil {
		return false, err
	}
	peer, err := m.handshake(stream)
	if err != nil {
		return false, err
	}
	guarded.guard(stream)
	*known = peer
	l.connectedTo.Store(peer.Incarnation)
	defer l.connectedTo.Store(model.Incarnation(""))
	l.startConnection(peer.Incarnation)
	m.opts.OnConnect(fleet.LinkUp{Peer: peer})
	broken := make(chan struct{})
	go watchClose(stream, broken)
	defer endRead(stream) // before the session is closed, see guardedConn
	return true, m.send(ctx, l, stream, broken)
}

// handshake exchanges hello messages that identify the two members.
func (m *Mesh) handshake(stream *yamux.Stream) (fleet.Member, error) {
	if err := stream.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fleet.Member{}, err
	}
	self := memberToPB(m.opts.Self)
	self.Link = m.connections.Add(1)
	if _, err := protodelim.MarshalTo(stream, self); err != nil {
		return fleet.Member{}, errors.Wrap(err, "send hello")
	}
	var hello fleetpb.Member
	if err := protodelim.UnmarshalFrom(bufio.NewReaderSize(stream, helloBufferBytes), &hello); err != nil {
		return fleet.Member{}, errors.Wrap(err, "receive hello")
	}
	return memberFromPB(&hello), stream.SetDeadline(time.Time{})
}

const helloBufferBytes = 512 // a hello is shorter, and nothing follows it

// watchClose closes broken when the peer closes the stream. Nothing else is
// received after the hello.
func watchClose(stream *yamux.Stream, broken chan<- struct{}) {
	_, _ = io.Copy(io.Discard, stream) // an error means closed as well
	close(broken)
}

// send writes queued messages, all that are ready in one frame.
func (m *Mesh) send(ctx context.Context, l *link, stream *yamux.Stream, broken <-chan struct{}) error {
	out := frameWriter{w: stream}
	for {
		var first any
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-broken:
			return errors.New("the peer closed the connection")
		case <-l.reconnect:
			return errors.New("the link was unresponsive; reconnecting")
		case first = <-l.queue.messages:
		}
		frame, err := collectFrame(first, l.queue.messages)
		if err != nil {
			return err
		}
		if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := out.write(frame); err != nil {
			return errors.Wrap(err, "send")
		}
	}
}

// collectFrame encodes a message and others that are ready, until the frame is large. Nothing
// else receives from the queue meanwhile.
func collectFrame(first any, queue chan any) (*fleetpb.Frame, error) {
	frame := &fleetpb.Frame{}
	size := 0
	for next := first; ; next = <-queue {
		m, err := encode(next)
		if err != nil {
			return nil, err
		}
		frame.Messages = append(frame.Messages, m)
		if len(queue) == 0 { // as for most frames, whose size doesn't matter then
			return frame, nil
		}
		if size += proto.Size(m); size >= largeFrameBytes {
			return frame, nil
		}
	}
}

// frameWriter writes length-prefixed frames, each in one Write call. It reuses
// its buffer.
type frameWriter struct {
	w   io.Writer
	buf []byte
}

// maxRetainedBuffer bounds the reused buffer in bytes; most frames are shorter.
const maxRetainedBuffer = 16 << 10

func (f *frameWriter) write(frame *fleetpb.Frame) (err error) {
	f.buf = protowire.AppendVarint(f.buf[:0], uint64(proto.Size(frame)))
	if f.buf, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(f.buf, frame); err != nil {
		return err
	}
	_, err = f.w.Write(f.buf)
	if cap(f.buf) > maxRetainedBuffer {
		f.buf = nil
	}
	return err
}

// Serve accepts connections until the listener is closed. Other errors, such as running
// out of file descriptors, pass; it reports them and tries again.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	const doing = "accept a connection"
	err := acceptor.Each(ctx, l, func(err error) { m.opts.OnError("", errors.Wrap(err, doing)) }, func(conn net.Conn) {
		m.wg.Go(func() { m.accept(ctx, conn) })
	})
	return errors.Wrap(err, doing)
}

func (m *Mesh) accept(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := conn.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
		m.opts.OnError("", err)
		return
	}
	guarded := &guardedConn{Conn: conn}
	session, err := yamux.Server(newCoalescingConn(guarded), sessionConfig())
	if err != nil {
		m.opts.OnError("", err)
		return
	}
	defer session.Close()
	stream, err := session.AcceptStream()
	if err != nil {
		m.opts.OnError("", errors.Wrap(err, "accept a stream"))
		return
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		m.opts.OnError("", err)
		return
	}
	if err := m.receive(stream, guarded); err != nil && ctx.Err() == nil && !errors.Is(err, io.EOF) {
		m.opts.OnError("", err)
	}
}

// receive completes the handshake of a stream and delivers its messages.
func (m *Mesh) receive(stream *yamux.Stream, conn *guardedConn) error {
	if err := stream.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	r := bufio.NewReader(stream)
	var hello fleetpb.Member
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}).UnmarshalFrom(r, &hello); err != nil {
		return errors.Wrap(err, "receive hello")
	}
	from := memberFromPB(&hello)
	// Replaces the earlier connection before the peer learns that this one is up:
	// from then on, it counts on nothing more being delivered from the earlier one.
	in, current := m.inbound.open(from, hello.GetLink(), conn)
	if current {
		defer m.inbound.close(in)
	}
	if _, err := protodelim.MarshalTo(stream, memberToPB(m.opts.Self)); err != nil {
		return errors.Wrap(err, "reply to hello")
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if !current {
		return nil // a later connection is up
	}
	conn.guard(stream)
	frames := frameReader{r: r}
	for {
		data, err := frames.read()
		if err != nil {
			return conn.cause(err)
		}
		if more, err := m.deliverFrame(in, from, data); !more {
			return err
		}
	}
}

// frameReader reads length-prefixed frames. It reuses its buffer.
type frameReader struct {
	r   *bufio.Reader
	buf []byte
}

// read returns the bytes of a frame, which are valid until the next read.
func (f *frameReader) read() ([]byte, error) {
	size, err := binary.ReadUvarint(f.r)
	switch {
	case err != nil:
		return nil, err
	case size > maxFrameBytes:
		return nil, errors.Errorf("a frame of %d bytes; at most %d are taken", size, maxFrameBytes)
	}
	data := slices.Grow(f.buf[:0], int(size))[:size]
	if f.buf = data; size > maxRetainedBuffer {
		f.buf = nil
	}
	_, err = io.ReadFull(f.r, data)
	return data, err
}

// deliverFrame delivers the messages of a frame. more is false if that ends the connection.
// Large frames take several times their bytes until they are decoded, and are decoded one
// after the other.
func (m *Mesh) deliverFrame(in *inboundLink, from fleet.Member, data []byte) (more bool, err error) {
	if len(data) >= largeFrameBytes {
		m.decoding.Lock()
		defer m.decoding.Unlock()
	}
	var f fleetpb.Frame
	if err := proto.Unmarshal(data, &f); err != nil {
		return false, errors.Wrap(err, "decode a frame")
	}
	for _, x := range f.GetMessages() {
		message, err := decode(x)
		if err != nil {
			return false, err
		}
		if !in.deliver(func() { m.opts.OnMessage(from, message) }) {
			return false, nil
		}
	}
	return true, nil
}

// sessionConfig disables the keep-alive of yamux: heartbeats detect dead peers.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = handshakeTimeout
	c.LogOutput = io.Discard
	return c
}
