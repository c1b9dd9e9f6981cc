package node

import (
	"context"
	"net"
	"testing"
	"time"

	port "github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/standin/link"
	standin "github.com/nutmegweir/nutmegweir/internal/standin/platform"
	"github.com/nutmegweir/nutmegweir/platform"
)

// addInstanceBehindLink adds an instance that reaches the store through a link.
func (s *site) addInstanceBehindLink(name string) *link.Link {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	l := link.New(s.addr)
	ctx, stop := context.WithCancel(context.Background())
	s.t.Cleanup(stop)
	go func() { _ = l.Serve(ctx, listener) }()
	direct := s.addr
	s.addr = listener.Addr().String()
	s.addInstance(name)
	s.addr = direct
	s.await("the instance is ready", s.instances[len(s.instances)-1].ready.on.Load)
	return l
}

// TestWatchIsRepeatedOnceStoreAnswers guards against an instance that starts tasks of
// cancelled jobs for seconds after an outage, as it waits for the answer of a watch that was
// lost.
func TestWatchIsRepeatedOnceStoreAnswers(t *testing.T) {
	s := newSite(t, 1, 1)
	l := s.addInstanceBehindLink("n1")
	const longestWait = 30 * time.Second // that the store allows
	key := platform.CancelKey("00000000000000db")
	changed := make(chan struct{}, 1)
	spec := watchSpec{
		name: "test", prefix: key, wait: longestWait,
		onChange: func(platform.Revision, platform.Range) { changed <- struct{}{} },
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	store := s.instances[1].store
	first, err := store.store.List(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	before := s.store.Faults.Calls().Reads
	go func() { _ = store.watch(ctx, spec, first.Revision) }()
	s.await("the watch is sent", func() bool { return s.store.Faults.Calls().Reads > before })
	time.Sleep(renewInterval) // so that the renewal's connection is open, too
	l.SetMode(link.Mode{Forget: true})
	s.store.Store.Commit(standin.Txn{Writes: []port.Entry{{Key: key, Value: []byte("{}")}}})
	select {
	case <-changed:
	case <-time.After(longestWait - 5*time.Second):
		t.Error("the change isn't seen: the watch waits for an answer that was lost")
	}
}
