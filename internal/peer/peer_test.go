package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/link"
)

// testSilenceBound is the silence bound of the tests; no result depends on it.
const testSilenceBound = 300 * time.Millisecond

// node is a manager with its listener and events.
type node struct {
	*Manager
	addr   string
	events chan core.Event
}

func newNode(t *testing.T, name, incarnation string) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{addr: l.Addr().String(), events: make(chan core.Event, 4096)}
	n.Manager = New(Options{
		Self:         shard.Member{Instance: model.Instance(name), Incarnation: model.Incarnation(incarnation)},
		Domain:       "d",
		OnEvent:      func(e core.Event) { n.events <- e },
		SilenceBound: testSilenceBound,
	})
	go func() { _ = n.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		n.Close()
	})
	return n
}

func (n *node) dial(addr string) { n.Dial([]core.InstanceInfo{{Addr: addr}}) }

// awaitEvent returns the next event that matches.
func awaitEvent[E core.Event](t *testing.T, n *node, match func(E) bool) E {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case e := <-n.events:
			if x, ok := e.(E); ok && match(x) {
				return x
			}
		case <-timeout:
			t.Fatal("timed out waiting for the event")
		}
	}
}

func numberedMessage(i int) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Answer{Answer: &peerpb.Answer{Request: uint64(i)}}}
}

// expectMessages checks that messages first to last arrive once and in order.
func expectMessages(t *testing.T, n *node, first, last int) {
	t.Helper()
	for want := first; want <= last; want++ {
		m := awaitEvent(t, n, func(core.PeerMessage) bool { return true })
		if got := m.Message.GetAnswer().GetRequest(); got != uint64(want) {
			t.Fatalf("got message %d, want %d", got, want)
		}
	}
}

func anyUp(core.PeerUp) bool { return true }

func TestMessagesDeliveredOnceInOrder(t *testing.T) {
	a, b := newNode(t, "a", "a1"), newNode(t, "b", "b1")
	a.dial(b.addr)
	up := awaitEvent(t, a, anyUp)
	if up.Member.Incarnation != "b1" || up.Domain != "d" || !up.SessionReset {
		t.Fatalf("first connection: %+v", up)
	}
	for i := 1; i <= 2000; i++ {
		a.Send("b", numberedMessage(i))
	}
	expectMessages(t, b, 1, 2000)
}

// A link that drops traffic both ways times out and is dialed again. Messages
// sent meanwhile are delivered once, and the session is not reset.
func TestMessagesSurviveUnresponsiveLink(t *testing.T) {
	a, b := newNode(t, "a", "a1"), newNode(t, "b", "b1")
	faulty, addr := newFaultyLink(t, b.addr)
	a.dial(addr)
	awaitEvent(t, a, anyUp)
	a.Send("b", numberedMessage(1))
	expectMessages(t, b, 1, 1)

	faulty.SetMode(standin.Mode{Silent: true})
	for i := 2; i <= 100; i++ {
		a.Send("b", numberedMessage(i))
	}
	awaitEvent(t, a, func(core.PeerTimeout) bool { return true })
	faulty.SetMode(standin.Mode{})
	if up := awaitEvent(t, a, anyUp); up.SessionReset {
		t.Fatal("the session was reset")
	}
	a.Send("b", numberedMessage(101))
	expectMessages(t, b, 2, 101)
}

// Messages whose acknowledgement was lost are not delivered twice.
func TestLostAcksCauseNoDuplicates(t *testing.T) {
	a, b := newNode(t, "a", "a1"), newNode(t, "b", "b1")
	faulty, addr := newFaultyLink(t, b.addr)
	a.dial(addr)
	awaitEvent(t, a, anyUp)
	faulty.SetMode(standin.Mode{OneWay: true})
	for i := 1; i <= 10; i++ {
		a.Send("b", numberedMessage(i))
	}
	expectMessages(t, b, 1, 10)
	awaitEvent(t, a, func(core.PeerTimeout) bool { return true })
	faulty.SetMode(standin.Mode{})
	awaitEvent(t, a, anyUp)
	a.Send("b", numberedMessage(11))
	expectMessages(t, b, 11, 11)
}

// A link that was closed and opened again sends again.
func TestReopenedLinkSends(t *testing.T) {
	a, b := newNode(t, "a", "a1"), newNode(t, "b", "b1")
	a.dial(b.addr)
	awaitEvent(t, a, anyUp)
	a.Send("b", numberedMessage(1))
	expectMessages(t, b, 1, 1)
	a.Dial(nil)
	a.dial(b.addr)
	if up := awaitEvent(t, a, anyUp); !up.SessionReset {
		t.Fatal("the session of a closed link was resumed")
	}
	a.Send("b", numberedMessage(2))
	expectMessages(t, b, 2, 2)
}

// A link that is closed while its hello is unanswered doesn't replace the link
// opened after it.
func TestLinkClosedDuringHandshake(t *testing.T) {
	a, b := newNode(t, "a", "a1"), newNode(t, "b", "b1")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a.dial(l.Addr().String())
	first := accept(t, l)
	a.Dial(nil)
	a.dial(l.Addr().String())
	second := accept(t, l)
	go forward(second, b.addr)
	awaitEvent(t, a, anyUp)
	forward(first, b.addr) // returns when a has closed the first connection
	a.Send("b", numberedMessage(1))
	expectMessages(t, b, 1, 1)
}

func accept(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// forward forwards a connection to an address until its dialer closes it.
func forward(c net.Conn, addr string) {
	to, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer to.Close()
	go func() { _, _ = io.Copy(c, to) }()
	_, _ = io.Copy(to, c)
}

func newFaultyLink(t *testing.T, target string) (*standin.Link, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	faulty := standin.New(target)
	go func() { _ = faulty.Serve(ctx, l) }()
	return faulty, l.Addr().String()
}

// refusingAddr returns an address that refuses connections. A bound socket that
// doesn't listen reserves it, so that no other process listens there.
func refusingAddr(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

func TestConnectionRefusedIsReported(t *testing.T) {
	addr := refusingAddr(t)
	a := newNode(t, "a", "a1")
	began := model.Time(time.Now().UnixNano())
	a.dial(addr)
	refused := awaitEvent(t, a, func(core.PeerRefused) bool { return true })
	if refused.Addr != addr || refused.DialedAt < began {
		t.Fatalf("%+v", refused)
	}
}

// A process that never answers counts as unresponsive, although its kernel
// accepts the connection.
func TestUnansweredHelloTimesOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a := newNode(t, "a", "a1")
	began := time.Now()
	a.dial(l.Addr().String())
	e := awaitEvent(t, a, func(core.PeerTimeout) bool { return true })
	if time.Since(began) < testSilenceBound || e.DialedAt < model.Time(began.UnixNano()) {
		t.Fatalf("timed out after %v, dialed at %d", time.Since(began), e.DialedAt)
	}
}

// A link that drops the traffic of one dialer, by its IP address, serves another.
func TestLinksDialFromSourceIP(t *testing.T) {
	a, b, c := newNode(t, "a", "a1"), newNode(t, "b", "b1"), newNode(t, "c", "c1")
	a.opts.SourceIP, c.opts.SourceIP = net.IPv4(127, 0, 0, 2), net.IPv4(127, 0, 0, 3)
	faulty, addr := newFaultyLink(t, b.addr)
	faulty.SetMode(standin.Mode{SilentFrom: []string{"127.0.0.2"}})
	a.dial(addr)
	c.dial(addr)
	awaitEvent(t, c, anyUp)
	awaitEvent(t, a, func(core.PeerTimeout) bool { return true })
	faulty.SetMode(standin.Mode{})
	awaitEvent(t, a, anyUp)
}

// A message for a process that has ended never reaches its successor at the same
// address.
func TestNewIncarnationGetsNoStaleMessage(t *testing.T) {
	a, b := newNode(t, "a", "a1"), newNode(t, "b", "b1")
	faulty, addr := newFaultyLink(t, b.addr)
	a.dial(addr)
	awaitEvent(t, a, anyUp)
	faulty.SetMode(standin.Mode{Silent: true})
	a.Send("b", numberedMessage(1))
	c := newNode(t, "b", "b2")
	faulty.SetTarget(c.addr)
	awaitEvent(t, a, func(core.PeerTimeout) bool { return true })
	faulty.SetMode(standin.Mode{})
	up := awaitEvent(t, a, func(e core.PeerUp) bool { return e.Member.Incarnation == "b2" })
	if !up.SessionReset {
		t.Fatal("the session was resumed with another process")
	}
	a.Send("b", numberedMessage(2))
	expectMessages(t, c, 2, 2)
}

func TestFullQueueResetsSession(t *testing.T) {
	a, b := newNode(t, "a", "a1"), newNode(t, "b", "b1")
	faulty, addr := newFaultyLink(t, b.addr)
	a.dial(addr)
	awaitEvent(t, a, anyUp)
	faulty.SetMode(standin.Mode{Silent: true})
	for i := 1; i <= maxQueueMsgs+1; i++ {
		a.Send("b", numberedMessage(i))
	}
	awaitEvent(t, a, func(core.PeerTimeout) bool { return true })
	faulty.SetMode(standin.Mode{})
	if up := awaitEvent(t, a, anyUp); !up.SessionReset {
		t.Fatal("messages were dropped without a reset")
	}
}
