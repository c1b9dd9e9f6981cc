// Package mesh carries messages between the instances of a fleet: yamux over
// TCP, with frames of protobuf messages.
//
// Each instance dials every other and sends on the link that it dialed; it
// receives on those that it accepted. Messages on one link arrive in order;
// those under way when a link breaks are lost, and the next link starts anew.
package mesh

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
	"github.com/nutmegweir/nutmegweir/internal/fleetpb"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// Bounds of a link.
const (
	helloTimeout  = 500 * time.Millisecond // several round trips between domains
	writeTimeout  = 600 * time.Millisecond // a peer counts as silent after that time
	redialMin     = 30 * time.Millisecond
	redialMax     = 500 * time.Millisecond
	redialSpread  = 0.3
	maxFrameBytes = 4 << 20
	queueLength   = 512 // messages that wait for a slow link: some seconds of a crest
)

// Options are the settings of a Mesh.
type Options struct {
	Self         fleet.Member
	Dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	OnConnect    func(fleet.LinkUp)
	OnDisconnect func(fleet.LinkDown)
	OnMessage    func(from fleet.Member, message any) // a fleet.Message or a Config
	OnError      func(peer model.Instance, err error) // for the log
}

// Mesh keeps the links of one instance.
type Mesh struct {
	opts  Options
	mu    sync.Mutex
	links map[model.Instance]*link
	wg    sync.WaitGroup

	dialed  atomic.Uint64 // links so far
	inbound inbound
}

// New returns a mesh without links.
func New(o Options) *Mesh {
	return &Mesh{opts: o, links: map[model.Instance]*link{}, inbound: inbound{latest: map[linkOf]*inboundLink{}}}
}

// link sends to one member.
type link struct {
	member fleet.Member
	cancel context.CancelFunc
	queue  chan any
	renew  chan struct{} // asks for a fresh connection
}

// Connect keeps a link to a member up until Forget or the end of ctx. A later
// life or another address replaces the link.
func (m *Mesh) Connect(ctx context.Context, x fleet.Member) {
	if x.Instance == m.opts.Self.Instance || x.Addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[x.Instance]; l != nil {
		if l.member.Addr == x.Addr || l.member.Incarnation > x.Incarnation {
			return
		}
		l.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{member: x, cancel: cancel, queue: make(chan any, queueLength), renew: make(chan struct{}, 1)}
	m.links[x.Instance] = l
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.keep(ctx, l)
	}()
}

// Disconnect ends the link to a member.
func (m *Mesh) Disconnect(i model.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[i]; l != nil {
		l.cancel()
		delete(m.links, i)
	}
}

// Reconnect replaces the connection to a member by a fresh one.
func (m *Mesh) Reconnect(i model.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[i]; l != nil {
		select {
		case l.renew <- struct{}{}:
		default: // asked for already
		}
	}
}

// Send puts a message on the link to a member. It never blocks: without a
// link, or with one that does not move, the message is dropped.
func (m *Mesh) Send(to model.Instance, message any) {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.queue <- message:
	default:
		m.opts.OnError(to, errors.New("the link does not keep up; a message is dropped"))
	}
}

// Wait returns when all links have ended.
func (m *Mesh) Wait() { m.wg.Wait() }

// keep dials until ctx ends.
func (m *Mesh) keep(ctx context.Context, l *link) {
	pause := wait.Backoff{Min: redialMin, Max: redialMax, Jitter: redialSpread}
	known := l.member
	for ctx.Err() == nil {
		linked, err := m.once(ctx, l, &known)
		if ctx.Err() != nil {
			return
		}
		if linked {
			pause.Reset()
		}
		m.opts.OnDisconnect(fleet.LinkDown{Peer: known, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		if err != nil && linked {
			m.opts.OnError(l.member.Instance, err)
		}
		if !pause.Sleep(ctx) {
			return
		}
	}
}

// once dials and sends until the link breaks.
func (m *Mesh) once(ctx context.Context, l *link, known *fleet.Member) (linked bool, err error) {
	conn, err := m.opts.Dial(ctx, "tcp", l.member.Addr)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	session, err := yamux.Client(newJoinedConn(conn), sessionConfig())
	if err != nil {
		return false, err
	}
	defer session.Close()
	stream, err := session.OpenStream()
	if err != nil {
		return false, err
	}
	peer, err := m.greet(stream)
	if err != nil {
		return false, err
	}
	*known = peer
	drain(l.queue)
	m.opts.OnConnect(fleet.LinkUp{Peer: peer})
	broken := make(chan struct{})
	go watchClose(stream, broken)
	return true, m.send(ctx, l, stream, broken)
}

// greet exchanges the members at the two ends of a new stream.
func (m *Mesh) greet(stream *yamux.Stream) (fleet.Member, error) {
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fleet.Member{}, err
	}
	self := memberToPB(m.opts.Self)
	self.Link = m.dialed.Add(1)
	if _, err := protodelim.MarshalTo(stream, self); err != nil {
		return fleet.Member{}, errors.Wrap(err, "send hello")
	}
	var hello fleetpb.Member
	if err := protodelim.UnmarshalFrom(bufio.NewReaderSize(stream, helloBuffer), &hello); err != nil {
		return fleet.Member{}, errors.Wrap(err, "receive hello")
	}
	return memberFromPB(&hello), stream.SetDeadline(time.Time{})
}

const helloBuffer = 512 // bytes; a hello is shorter, and nothing follows it

// watchClose closes broken when the other end closes the stream, on which
// nothing is received after the hello.
func watchClose(stream *yamux.Stream, broken chan<- struct{}) {
	_, _ = io.Copy(io.Discard, stream) // any end of the stream counts
	close(broken)
}

// drain drops messages that were meant for an earlier link.
func drain(queue chan any) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// send writes what is queued, all that waits in one frame.
func (m *Mesh) send(ctx context.Context, l *link, stream *yamux.Stream, broken <-chan struct{}) error {
	out := frameWriter{w: stream}
	for {
		var first any
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-broken:
			return errors.New("the peer closed the link")
		case <-l.renew:
			return errors.New("the link was silent and is replaced")
		case first = <-l.queue:
		}
		frame, err := collect(first, l.queue)
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

func collect(first any, queue chan any) (*fleetpb.Frame, error) {
	frame := &fleetpb.Frame{}
	for next := first; ; {
		m, err := encode(next)
		if err != nil {
			return nil, err
		}
		frame.Messages = append(frame.Messages, m)
		select {
		case next = <-queue:
		default:
			return frame, nil
		}
	}
}

// frameWriter writes frames with their lengths, each in one call. It keeps its
// buffer between frames.
type frameWriter struct {
	w   io.Writer
	buf []byte
}

// keptFrame is the most bytes of a buffer that is kept: usual frames are shorter.
const keptFrame = 16 << 10

func (f *frameWriter) write(frame *fleetpb.Frame) (err error) {
	f.buf = protowire.AppendVarint(f.buf[:0], uint64(proto.Size(frame)))
	if f.buf, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(f.buf, frame); err != nil {
		return err
	}
	_, err = f.w.Write(f.buf)
	if cap(f.buf) > keptFrame {
		f.buf = nil
	}
	return err
}

// Serve accepts links until the listener is closed.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept a link")
		}
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			m.accept(ctx, conn)
		}()
	}
}

func (m *Mesh) accept(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	session, err := yamux.Server(newJoinedConn(conn), sessionConfig())
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
	if err := m.receive(stream, conn); err != nil && ctx.Err() == nil && !errors.Is(err, io.EOF) {
		m.opts.OnError("", err)
	}
}

// receive reads the hello of a stream, answers it and hands its frames on.
func (m *Mesh) receive(stream *yamux.Stream, conn net.Conn) error {
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	r := bufio.NewReader(stream)
	var hello fleetpb.Member
	if err := protodelim.UnmarshalFrom(r, &hello); err != nil {
		return errors.Wrap(err, "receive hello")
	}
	if _, err := protodelim.MarshalTo(stream, memberToPB(m.opts.Self)); err != nil {
		return errors.Wrap(err, "answer hello")
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		return err
	}
	from := memberFromPB(&hello)
	in, ok := m.inbound.open(from, hello.GetLink(), conn)
	if !ok {
		return nil // a later link is up
	}
	defer m.inbound.close(in)
	limit := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		var f fleetpb.Frame
		if err := limit.UnmarshalFrom(r, &f); err != nil {
			return err
		}
		for _, x := range f.GetMessages() {
			message, err := decode(x)
			if err != nil {
				return err
			}
			if !in.hand(func() { m.opts.OnMessage(from, message) }) {
				return nil
			}
		}
	}
}

// sessionConfig returns settings of yamux without its own keep-alive: beats
// tell whether a peer lives.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = helloTimeout
	c.LogOutput = io.Discard
	return c
}
