package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// successorCase is a view of an instance n1 on a server that n0 owns.
type successorCase struct {
	successors  []Successor
	storeUp     bool // n1 reaches the store
	peerStoreUp bool // n2 does
	dead        bool // n0 refuses connections
	leaving     bool
	rank        int // under which the known owner took over
	want        int // rank under which n1 takes over, 0 if it must not
}

// TestSuccession is the table of who takes over when.
func TestSuccession(t *testing.T) {
	first := []Successor{{"n1", "01"}, {"n2", "01"}}
	second := []Successor{{"n2", "01"}, {"n1", "01"}}
	for name, c := range map[string]successorCase{
		"first successor":              {successors: first, dead: true, want: 1},
		"owner only silent":            {successors: first},
		"store is up":                  {successors: first, dead: true, storeUp: true},
		"a peer reaches the store":     {successors: first, dead: true, peerStoreUp: true},
		"earlier successor is alive":   {successors: second, dead: true},
		"earlier successor has ended":  {successors: []Successor{{"n2", "00"}, {"n1", "01"}}, dead: true, want: 2},
		"named in an earlier life":     {successors: []Successor{{"n1", "00"}}, dead: true},
		"not named":                    {successors: []Successor{{"n2", "01"}}, dead: true},
		"no successors recorded":       {dead: true},
		"leaving":                      {successors: first, dead: true, leaving: true},
		"its own turn has passed":      {successors: first, dead: true, rank: 1},
		"owner took over as successor": {successors: []Successor{{"n0", "01"}, {"n1", "01"}}, dead: true, rank: 1, want: 2},
	} {
		if got := c.play(); got != c.want {
			t.Errorf("%s: takes over under rank %d, want %d", name, got, c.want)
		}
	}
}

func (c successorCase) play() (rank int) {
	member := func(name model.Instance) Member {
		return Member{Instance: name, Incarnation: "01", Domain: "d", Weight: 1, Addr: "a"}
	}
	now := Time(time.Second)
	i := NewInstance(Options{Self: member("n1"), Lease: time.Second, StopTimeout: 50 * time.Millisecond}, now)
	i.Step(now, StoreStatus{Up: true})
	i.Step(now, ServersListed{Servers: []ServerEntry{{ID: "s1", Service: "svc", Addr: "a", Domain: "d", State: ServerReady, Capacity: model.Resources{CPUMilli: 4000}}}})
	for _, name := range []model.Instance{"n0", "n2"} {
		i.Step(now, LinkUp{Peer: member(name)})
		i.Step(now, PeerMessage{From: member(name), ReceivedAt: now, Message: Heartbeat{Busy: true, StoreUp: true, SentAt: now, Echo: now}})
	}
	i.Step(now, OwnersChanged{Owners: []Ownership{{Server: "s1", Owner: "n0", Incarnation: "01", Revision: 7, Rank: c.rank, Successors: c.successors}}})
	i.Step(now, StoreStatus{Up: c.storeUp})
	if c.leaving {
		i.Step(now, StopRequested{Deadline: now.Add(time.Second)})
	}
	now = now.Add(100 * time.Millisecond)
	i.Step(now, PeerMessage{From: member("n2"), ReceivedAt: now, Message: Heartbeat{Busy: true, StoreUp: c.peerStoreUp, SentAt: now, Echo: now}})
	i.Step(now, LinkDown{Peer: member("n0"), Refused: c.dead})
	i.Step(now, Tick{})
	if s := i.pool.servers["s1"]; s != nil {
		return s.ownership.Rank
	}
	return 0
}

// TestTokensIncrease checks that a token is higher than those of all earlier holders.
func TestTokensIncrease(t *testing.T) {
	last := uint64(0)
	for revision := uint64(1); revision < 4; revision++ {
		for rank := range maxSuccessors + 1 {
			token := Ownership{Revision: revision, Rank: rank}.Token()
			if token <= last {
				t.Errorf("token %d of revision %d and rank %d after %d", token, revision, rank, last)
			}
			last = token
		}
	}
}

// TestRefusedTokenIsNotUsedAgain fences a server and repeats the store's record, which
// still names this instance. It may not command the server again under that token.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	i, now := oneServer(t, 500)
	i.Step(now, StoreStatus{Up: false})
	i.Step(now, PollReply{Server: "s1", Outcome: PollFenced, SentAt: now})
	record := Ownership{Server: "s1", Owner: "n1", Incarnation: "01", Revision: 7}
	for _, e := range i.Step(now.Add(time.Millisecond), OwnersChanged{Owners: []Ownership{record}}) {
		if p, ok := e.(Poll); ok {
			t.Errorf("%+v after the token was refused", p)
		}
	}
	record.Revision = 9
	lookFor[Poll](t, i.Step(now.Add(2*time.Millisecond), OwnersChanged{Owners: []Ownership{record}}))
}

// TestConfirmedSuccessorPollsBeforeStarts claims a server that the instance took over as
// a successor. Its run continues, but nothing starts there before a poll under the new
// token, as a later successor may have controlled the server in between.
func TestConfirmedSuccessorPollsBeforeStarts(t *testing.T) {
	i, now := oneServer(t, 500)
	s := i.pool.servers["s1"]
	s.ownership.Rank = 1
	i.owners.known["s1"] = s.ownership
	run := startOne(t, i, now)
	confirmed := Ownership{Server: "s1", Owner: "n1", Incarnation: "01", Revision: 9}
	poll := lookFor[Poll](t, i.Step(now, ClaimReply{Owners: []Ownership{confirmed}, Known: true, Committed: true}))
	if s.runs[run] == nil || s.takesWork(now) || poll.Fence != confirmed.Token() {
		t.Fatalf("run %v, takes work %v, poll %+v", s.runs[run], s.takesWork(now), poll)
	}
	now = now.Add(time.Millisecond)
	reply := pollReply(now, 500, ActiveRun{Run: run, Percent: 10})
	i.Step(now, reply) // under the earlier token
	if s.takesWork(now) {
		t.Error("takes work after a poll under the earlier token")
	}
	reply.Poll = poll
	i.Step(now, reply)
	if !s.takesWork(now) {
		t.Error("takes no work after the poll under the new token")
	}
}
