package core

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// Members of the views in the relay tests. relayOld is an earlier process at
// this instance's own address.
var (
	relayB    = testInstance("b")
	relayC    = testInstance("c")
	relayOld  = InstanceInfo{Member: shard.Member{Instance: "a", Incarnation: "a1"}, Domain: "d", Addr: testAddr}
	relaySelf = InstanceInfo{Member: shard.Member{Instance: "a", Incarnation: "a2"}, Domain: "d", Addr: testAddr}
)

// relayViews returns views of a domain in which all shards have the given
// members.
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

// peerViews returns the message by which b sends views.
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

// submittedTo returns the recipient of a submission, "" if there is none.
func submittedTo(e Effects) model.Instance {
	for _, s := range e.Sends {
		if s.Message.GetSubmit() != nil {
			return s.To
		}
	}
	return ""
}

// TestPeerViewsOnlyRoute starts an instance while the platform is down. It
// checks that views from peers determine where a submission is sent and have no
// other effect.
func TestPeerViewsOnlyRoute(t *testing.T) {
	cases := []struct {
		name   string
		home   model.Domain
		events []Event
		want   model.Instance
	}{
		{"no views", "d", nil, ""},
		{"the owner", "d", []Event{peerViews(relayViews("d", 5, 1, relayB))}, "b"},
		{"the owner in another domain", "e", []Event{peerViews(relayViews("e", 5, 1, relayC, relayB))}, "c"},
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
		{"a newer view from the platform", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayB)),
			relayViews("d", 6, 2, relayC),
		}, "c"},
		{"a newer view from the platform first", "d", []Event{
			relayViews("d", 6, 2, relayC),
			peerViews(relayViews("d", 5, 3, relayB)),
		}, "c"},
		{"a newer document from the platform with a lower epoch", "d", []Event{
			peerViews(relayViews("d", 5, 3, relayB)),
			relayViews("d", 6, 2, relayC),
		}, "c"},
		{"an older view from the platform", "d", []Event{
			peerViews(relayViews("d", 6, 2, relayC)),
			relayViews("d", 5, 1, relayB),
		}, "c"},
		{"the owner is an earlier process of this instance", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayOld, relayB)),
		}, "b"},
		{"the owner is dead", "d", []Event{
			peerViews(relayViews("d", 5, 1, relayC, relayB)),
			PeerRefused{Addr: relayC.Addr, DialedAt: model.Time(2 * time.Hour)},
		}, "b"},
		{"the owner is unreachable", "d", []Event{
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
			r.step(c.events...)
			if got := submittedTo(r.step(submission(1, c.home))); got != c.want {
				t.Errorf("sent to %q, want %q", got, c.want)
			}
			r.checkOnlyRouting(t)
		})
	}
}

// checkOnlyRouting checks that this instance has no role in any shard, is still
// suspended and considers dead only what its own connections proved.
func (c *testCore) checkOnlyRouting(t *testing.T) {
	t.Helper()
	for i, s := range c.shards {
		if s.Role() != shard.RoleNone {
			t.Errorf("shard %d has role %s", i, s.Role())
		}
	}
	if !c.env.Suspended {
		t.Error("views from a peer ended the suspension")
	}
	if c.peers.dead[relayOld.Member] {
		t.Error("views from a peer counted as proof of death")
	}
	if c.plan.docKnown && c.plan.doc.Shards == nil {
		t.Error("views from a peer replaced the platform's document")
	}
}

// TestPeerViewsUnblockWaitingRequests submits a job before the views arrive and
// checks that it is answered after them.
func TestPeerViewsUnblockWaitingRequests(t *testing.T) {
	r := newTestCore(true)
	e := r.step(PeerHello{Info: relayB}, linkUp(relayB))
	if len(e.Sends) == 0 || e.Sends[len(e.Sends)-1].Message.GetViewsRequest() == nil {
		t.Fatalf("the peer got no views request: %v", e.Sends)
	}
	r.step(submission(1, "d"))
	e = r.step(peerViews(relayViews("d", 5, 1, relayB)), Tick{})
	if submittedTo(e) != "b" {
		t.Fatalf("sent %v", e.Sends)
	}
	if !r.Routable() {
		t.Error("not routable although every owner is reachable")
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

// TestViewsRelay checks which views an instance sends, and that it requests
// views only while the platform is unreachable.
func TestViewsRelay(t *testing.T) {
	r := newTestCore(true)
	sendRequest := func(index uint64) []Send {
		return r.step(PeerMessage{From: relayB.Member, Message: &peerpb.Message{
			Body: &peerpb.Message_ViewsRequest{ViewsRequest: &peerpb.ViewsRequest{
				Held: []*peerpb.HeldViews{{Domain: "d", Index: index}},
			}},
		}}).Sends
	}
	r.step(PeerHello{Info: relayB}, linkUp(relayB))
	if got := sendRequest(0); len(got) != 0 {
		t.Fatalf("sent %v without any views", got)
	}
	r.step(relayViews("d", 5, 1, relayB), Instances{List: []InstanceInfo{relayB}}, peerViews(relayViews("e", 7, 1, relayC)))
	for _, held := range []struct {
		index uint64
		want  int
	}{{0, 2}, {4, 2}, {5, 1}, {6, 1}} {
		if got := sendRequest(held.index); len(got) != held.want {
			t.Errorf("sent %d documents to a peer at index %d, want %d", len(got), held.index, held.want)
		}
	}
	requestsViews := func(events ...Event) bool {
		for _, s := range r.step(events...).Sends {
			if s.Message.GetViewsRequest() != nil {
				return true
			}
		}
		return false
	}
	r.now = r.now.Add(slowInterval)
	if requestsViews(Tick{}) {
		t.Error("requested views while the platform answers")
	}
	r.now = r.now.Add(slowInterval)
	if !requestsViews(WatchFailed{}, Tick{}) {
		t.Error("did not request views while the platform fails")
	}
}
