package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
	"github.com/nutmegweir/nutmegweir/internal/wait"
)

// link is the sending end of a session with the process at one address.
type link struct {
	m      *Manager
	addr   string
	cancel context.CancelFunc
	done   chan struct{} // closed when run has returned

	mu           sync.Mutex
	wake         chan struct{}
	queue        []*peerpb.Message // not yet framed
	frames       []*peerpb.Frame   // not yet acknowledged
	unacked      int               // messages in frames
	lastSeq      uint64            // latest frame created
	session      uint64
	member       shard.Member // remote process of the session
	resetPending bool         // the next connection starts a new session
}

func newLink(m *Manager, addr string, cancel context.CancelFunc) *link {
	return &link{m: m, addr: addr, cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// enqueue adds messages. If the queue is full, it drops all of them and resets
// the session, which the next PeerUp event reports.
func (l *link) enqueue(msgs []*peerpb.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resetPending {
		return
	}
	if len(l.queue)+l.unacked+len(msgs) > maxQueueMsgs {
		l.resetPending = true
		l.clear()
		l.signal()
		return
	}
	l.queue = append(l.queue, msgs...)
	l.signal()
}

// signal wakes transfer to check the link's state.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) clear() {
	l.queue = nil
	l.frames = nil
	l.unacked = 0
	l.lastSeq = 0
}

// run dials until the link is closed. Every attempt is a new connection, so its
// outcome is evidence of whether the process is alive.
func (l *link) run(ctx context.Context) {
	retry := wait.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		dialedAt := time.Now()
		c, err := l.connect(ctx, dialedAt)
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			l.m.opts.OnEvent(l.failureEvent(dialedAt, err))
			retry.Sleep(ctx)
			continue
		}
		l.transfer(ctx, c)
		l.m.opts.OnEvent(core.PeerDown{Addr: l.addr})
		if time.Since(dialedAt) > maxRetryDelay {
			retry.Reset()
		}
	}
}

// failureEvent classifies a failed attempt. Only a refused connection, or no
// answer for the whole silence bound, says anything about the peer; other errors
// may be local.
func (l *link) failureEvent(dialedAt time.Time, err error) core.Event {
	at := model.Time(dialedAt.UnixNano())
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return core.PeerRefused{Addr: l.addr, DialedAt: at}
	case errors.As(err, &timeout) && timeout.Timeout() && time.Since(dialedAt) >= l.m.opts.SilenceBound:
		return core.PeerTimeout{Addr: l.addr, DialedAt: at}
	}
	return core.PeerDown{Addr: l.addr}
}

// connect opens a connection and performs the handshake.
func (l *link) connect(ctx context.Context, dialedAt time.Time) (*conn, error) {
	dialCtx, cancel := context.WithDeadline(ctx, dialedAt.Add(l.m.opts.SilenceBound+silenceSlack))
	defer cancel()
	raw, err := l.dial(dialCtx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	if err := l.handshake(raw, dialedAt); err != nil {
		raw.Close()
		return nil, err
	}
	session, err := yamux.Client(raw, muxConfig())
	if err != nil {
		raw.Close()
		return nil, errors.Wrap(err, "open yamux session")
	}
	stream, err := session.Open()
	if err != nil {
		session.Close()
		return nil, errors.Wrap(err, "open yamux stream")
	}
	return newConn(session, stream), nil
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	d := &net.Dialer{}
	if l.m.opts.SourceIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: l.m.opts.SourceIP}
	}
	if l.m.opts.ClientTLS == nil {
		return d.DialContext(ctx, "tcp", l.addr)
	}
	return (&tls.Dialer{NetDialer: d, Config: l.m.opts.ClientTLS}).DialContext(ctx, "tcp", l.addr)
}

// handshake exchanges hellos and resumes the session, or starts a new one if
// another process answers or frames were lost.
func (l *link) handshake(c net.Conn, dialedAt time.Time) error {
	_ = c.SetDeadline(dialedAt.Add(l.m.opts.SilenceBound + silenceSlack))
	defer c.SetDeadline(time.Time{})
	l.mu.Lock()
	if l.resetPending || l.session == 0 {
		// An earlier link to the same process must not have used this number.
		l.session = l.m.lastSession.Add(1)
		l.clear()
	}
	hello := l.m.hello()
	hello.Session = l.session
	l.mu.Unlock()
	if _, err := protodelim.MarshalTo(c, hello); err != nil {
		return errors.Wrap(err, "send hello")
	}
	answer := &peerpb.Hello{}
	if err := readHello(c, answer); err != nil {
		return errors.Wrap(err, "read hello")
	}
	if answer.Version != Version {
		return errors.Errorf("peer %s uses protocol version %d, want %d; upgrade it", l.addr, answer.Version, Version)
	}
	l.handshakeDone(answer, dialedAt)
	return nil
}

func (l *link) handshakeDone(answer *peerpb.Hello, dialedAt time.Time) {
	member := memberOf(answer)
	l.mu.Lock()
	reset := l.resetPending || l.member != member
	if l.member != member {
		// The queued messages were for a process that has ended.
		l.clear()
	}
	l.member = member
	l.resetPending = false
	l.dropAcked(answer.Received)
	l.mu.Unlock()
	l.m.bindInstance(member.Instance, l)
	l.m.opts.OnEvent(core.PeerUp{
		Addr:         l.addr,
		Member:       member,
		Domain:       model.Domain(answer.Domain),
		DialedAt:     model.Time(dialedAt.UnixNano()),
		SessionReset: reset,
	})
}

// dropAcked discards the frames up to seq.
func (l *link) dropAcked(seq uint64) {
	for len(l.frames) > 0 && l.frames[0].Seq <= seq {
		l.unacked -= len(l.frames[0].Messages)
		l.frames = l.frames[1:]
	}
}

// transfer sends frames until the connection fails.
func (l *link) transfer(ctx context.Context, c *conn) {
	defer c.close()
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	go l.readAcks(c)
	w := bufio.NewWriterSize(c, 64<<10)
	l.mu.Lock()
	resend := append([]*peerpb.Frame(nil), l.frames...)
	l.mu.Unlock()
	for _, f := range resend {
		if l.writeFrame(w, f) != nil {
			return
		}
	}
	for {
		for f := l.nextFrame(); f != nil; f = l.nextFrame() {
			if l.writeFrame(w, f) != nil {
				return
			}
		}
		if w.Flush() != nil || l.needsReset() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.session.CloseChan():
			return
		case <-l.wake:
		}
	}
}

// needsReset reports whether the session must be reset, which takes a new
// connection.
func (l *link) needsReset() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resetPending
}

func (l *link) readAcks(c *conn) {
	for {
		a := &peerpb.FrameAck{}
		if err := c.read(a); err != nil {
			c.close()
			return
		}
		l.mu.Lock()
		l.dropAcked(a.Seq)
		l.mu.Unlock()
	}
}

// nextFrame moves queued messages into a new frame. It returns nil if there are
// none.
func (l *link) nextFrame() *peerpb.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil
	}
	n := min(len(l.queue), maxFrameMsgs)
	l.lastSeq++
	f := &peerpb.Frame{Seq: l.lastSeq, Messages: l.queue[:n:n]}
	l.queue = l.queue[n:]
	l.frames = append(l.frames, f)
	l.unacked += n
	return f
}

func (l *link) writeFrame(w *bufio.Writer, f *peerpb.Frame) error {
	n, err := protodelim.MarshalTo(w, f)
	if err == nil && l.m.opts.Stats != nil {
		l.m.opts.Stats.FrameSent(f, n)
	}
	return err
}
