package core

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// Members of the views of the relay's tests. old is an earlier process at this
// instance's own address.
var (
	relayB    = testInstance("b")
	relayC    = testInstance("c")
	relayOld  = InstanceInfo{Member: shard.Member{Instance: "a", Incarnation: "a1"}, Domain: "d", Addr: testAddr}
	relaySelf = InstanceInfo{Member: shard.Member{Instance: "a", Incarnation: "a2"}, Domain: "d", Addr: testAddr}
)

// relayViews returns views of a domain in which all shards have the members.
func relayViews(d model.Domain, index, epoch uint64, members ...InstanceInfo) Views {
	v := shard.View{Epoch: epoch}
	for _, i := range members {
		v.Members = append(v.Members, i.Member)
	}
	return Views{
		Domain: d,
		Index:  index,
		Doc:    ViewsDoc{Instances: members, Shards: []shard.View{v, v}},
	}
}

// peerViews is the message by which b passes views on.
func peerViews(v Views) Event {
	return PeerMessage{From: relayB.Member, Message: &peerpb.Message{
		Body: &peerpb.Message_DomainViews{DomainViews: viewsProto(v)},
	}}
}

func linkUp(i InstanceInfo) Event {
	return PeerUp{Addr: i.Addr, Member: i.Member, Domain: i.Domain, SessionReset: true}
}

func submission(id uint64, home model.Domain) Event {
	return CallerRequest{ID: id, Op: OpSubmit, Spec: &peerpb.JobSpec{
		Identity: &peerpb.Identity{Customer: "c", Home: string(home), Key: testKey(0, id)},
		Kind:     "k",
		Payloads: [][]byte{{1}},
	}}
}

// submittedTo returns who was sent a submission, "" if nobody.
func submittedTo(e Effects) model.Instance {
	for _, s := range e.Sends {
		if s.Message.GetSubmit() != nil {
			return s.To
		}
	}
	return ""
}

// TestPeerViewsOnlyRoute starts an instance whose platform is down and
// checks whom it sends a submission to, and that nothing else follows from the
// views that a peer has told.
func TestPeerViewsOnlyRoute(t *testing.T) {
	cases := []struct {
		name string
		home model.Domain
		news []Event
		want model.Instance
	}{
		{"nothing told", "d", nil, ""},
		{"the owner", "d", []Event{peerViews(relayViews("d", 5, 1, relayB))}, "b"},
		{"the owner of another domain", "e", []Event{peerViews(relayViews("e", 5, 1, relayC, relayB))}, "c"},
		{"views of another domain only", "d", []Event{peerViews(relayViews("e", 5, 1, relayB))}, ""},
		{"a newer view", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayB)),
			peerViews(relayViews("d", 6, 2, relayC)),
		}, "c"},
		{"an older view later", "d", []Event{
			peerViews(relayViews("d", 6, 2, relayC)),
			peerViews(relayViews("d", 5, 1, relayB)),
		}, "c"},
		{"a view of the same index later", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayB)),
			peerViews(relayViews("d", 5, 2, relayC)),
		}, "b"},
		{"a newer view of the platform", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayB)),
			relayViews("d", 6, 2, relayC),
		}, "c"},
		{"a newer view of the platform first", "d", []Event{
			relayViews("d", 6, 2, relayC),
			peerViews(relayViews("d", 5, 3, relayB)),
		}, "c"},
		{"a newer document of the platform with a lower epoch", "d", []Event{
			peerViews(relayViews("d", 5, 3, relayB)),
			relayViews("d", 6, 2, relayC),
		}, "c"},
		{"an older view of the platform", "d", []Event{
			peerViews(relayViews("d", 6, 2, relayC)),
			relayViews("d", 5, 1, relayB),
		}, "c"},
		{"the owner's place was taken by this process", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayOld, relayB)),
		}, "b"},
		{"the owner is dead", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayC, relayB)),
			PeerRefused{Addr: relayC.Addr, DialedAt: model.Time(2 * time.Hour)},
		}, "b"},
		{"the owner is out of reach", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayC, relayB)),
			PeerDown{Addr: relayC.Addr},
		}, ""},
		{"this instance as owner", "d", []Event{peerViews(relayViews("d", 5, 1, relaySelf, relayB))}, ""},
		{"this instance as replica", "d", []Event{peerViews(relayViews("d", 5, 1, relayB, relaySelf))}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestCore(true)
			r.step(PeerHello{Info: relayB}, PeerHello{Info: relayC}, linkUp(relayB), linkUp(relayC))
			r.step(c.news...)
			if got := submittedTo(r.step(submission(1, c.home))); got != c.want {
				t.Errorf("sent to %q, want %q", got, c.want)
			}
			r.checkOnlyRouting(t)
		})
	}
}

// checkOnlyRouting checks that this instance has no part in any shard, is still
// suspended and holds nobody dead but whom its own connections have shown so.
func (c *testCore) checkOnlyRouting(t *testing.T) {
	t.Helper()
	for i, s := range c.shards {
		if s.Role() != shard.RoleNone {
			t.Errorf("shard %d has role %s", i, s.Role())
		}
	}
	if !c.env.Suspended {
		t.Error("views of a peer ended the suspension")
	}
	if c.peers.dead[relayOld.Member] {
		t.Error("views of a peer counted as proof of death")
	}
	if c.plan.docKnown && c.plan.doc.Shards == nil {
		t.Error("views of a peer became the platform's document")
	}
}

// TestPeerViewsUnblockWaitingRequests lets a submission come before the
// views, and the whole answer after them.
func TestPeerViewsUnblockWaitingRequests(t *testing.T) {
	r := newTestCore(true)
	e := r.step(PeerHello{Info: relayB}, linkUp(relayB))
	if len(e.Sends) == 0 || e.Sends[len(e.Sends)-1].Message.GetViewsRequest() == nil {
		t.Fatalf("the peer was not asked: %v", e.Sends)
	}
	r.step(submission(1, "d"))
	e = r.step(peerViews(relayViews("d", 5, 1, relayB)), Tick{})
	if submittedTo(e) != "b" {
		t.Fatalf("sends %v", e.Sends)
	}
	if !r.Routable() {
		t.Error("not ready, though every owner can be reached")
	}
	answer := &peerpb.Answer{
		Request: e.Sends[0].Message.GetSubmit().Request,
		Status:  peerpb.Status_STATUS_COMPLETE,
		Results: []*peerpb.TaskResult{{Ok: true}},
	}
	e = r.step(PeerMessage{From: relayB.Member, Message: &peerpb.Message{Body: &peerpb.Message_Answer{Answer: answer}}})
	if len(e.Replies) != 1 || e.Replies[0].ID != 1 || e.Replies[0].Answer != answer {
		t.Fatalf("replies %v", e.Replies)
	}
}

// TestViewsRelay checks what an instance answers, and that it asks only
// while the platform does not.
func TestViewsRelay(t *testing.T) {
	r := newTestCore(true)
	ask := func(index uint64) []Send {
		return r.step(PeerMessage{From: relayB.Member, Message: &peerpb.Message{
			Body: &peerpb.Message_ViewsRequest{ViewsRequest: &peerpb.ViewsRequest{
				Held: []*peerpb.HeldViews{{Domain: "d", Index: index}},
			}},
		}}).Sends
	}
	r.step(PeerHello{Info: relayB}, linkUp(relayB))
	if got := ask(0); len(got) != 0 {
		t.Fatalf("knows nothing, but sends %v", got)
	}
	r.step(relayViews("d", 5, 1, relayB), Instances{List: []InstanceInfo{relayB}}, peerViews(relayViews("e", 7, 1, relayC)))
	for _, held := range []struct {
		index uint64
		want  int
	}{{0, 2}, {4, 2}, {5, 1}, {6, 1}} {
		if got := ask(held.index); len(got) != held.want {
			t.Errorf("passes on %d documents to one that holds index %d, want %d", len(got), held.index, held.want)
		}
	}
	asked := func(events ...Event) bool {
		for _, s := range r.step(events...).Sends {
			if s.Message.GetViewsRequest() != nil {
				return true
			}
		}
		return false
	}
	r.now = r.now.Add(slowInterval)
	if asked(Tick{}) {
		t.Error("asks while the platform answers")
	}
	r.now = r.now.Add(slowInterval)
	if !asked(WatchFailed{}, Tick{}) {
		t.Error("does not ask while the platform fails")
	}
}
