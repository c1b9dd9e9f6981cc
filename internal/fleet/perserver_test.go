package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestLimitPerServerOfStep guards against more tasks of a step on a server than its limit
// allows, by whatever way they come there.
func TestLimitPerServerOfStep(t *testing.T) {
	other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Addr: "b", Weight: 1}
	third := Member{Instance: "n3", Incarnation: "01", Domain: "d", Addr: "c", Weight: 1}
	step := StepSpec{Count: 1, Need: model.Resources{CPUMilli: 500}, Estimate: time.Second, MaxPerServer: 1}
	offer := func(i *Instance, now Time, from Member, call CallID, job string, index int, attempt uint32) []Effect {
		spec := oneTaskJob(job, now)
		spec.Steps = []StepSpec{step}
		spec.Offloaded = &OffloadedTask{Index: index, Attempt: attempt, Home: from}
		return i.Step(now, PeerMessage{From: from, ReceivedAt: now, Message: Offer{Call: firstOffloadCall + call, Job: spec, Echo: now}})
	}
	submit := func(i *Instance, now Time, durable bool) []Effect {
		spec := oneTaskJob("j1", now)
		spec.Durable = durable
		spec.Steps = []StepSpec{step}
		spec.Steps[0].Count = 2
		out := i.Step(now, JobSubmitted{Call: 1, Job: spec})
		if durable {
			out = append(out, i.Step(now, JobSaved{ID: "j1", Revision: 9})...)
		}
		return out
	}
	cases := []struct {
		name string
		play func(i *Instance, now Time) []Effect
	}{
		{"two tasks of one owner", func(i *Instance, now Time) []Effect {
			return append(offer(i, now, other, 1, "j1", 0, 0), offer(i, now, other, 2, "j1", 1, 0)...)
		}},
		{"tasks of two owners", func(i *Instance, now Time) []Effect {
			return append(offer(i, now, other, 1, "j1", 0, 0), offer(i, now, third, 1, "j1", 1, 0)...)
		}},
		{"a second attempt beside the first task", func(i *Instance, now Time) []Effect {
			return append(offer(i, now, other, 1, "j1", 0, 0), offer(i, now, other, 2, "j1", 1, 1)...)
		}},
		{"a run that is being stopped", func(i *Instance, now Time) []Effect {
			out := offer(i, now, other, 1, "j1", 0, 0)
			out = append(out, i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Withdraw{Call: firstOffloadCall + 1}})...)
			return append(out, offer(i, now, other, 2, "j1", 1, 0)...)
		}},
		{"a job of this owner beside an offloaded task", func(i *Instance, now Time) []Effect {
			return append(offer(i, now, other, 1, "j1", 0, 0), submit(i, now, false)...)
		}},
		{"a durable job", func(i *Instance, now Time) []Effect { return submit(i, now, true) }},
	}
	for _, c := range cases {
		i, now := oneServer(t, 500)
		i.Step(now, MembersListed{Members: []Member{i.opts.Self, other, third}})
		i.Step(now, MembershipRenewed{SentAt: now})
		for _, m := range []Member{other, third} {
			i.Step(now, LinkUp{Peer: m})
			i.Step(now, PeerMessage{From: m, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Busy: true}})
		}
		effects := c.play(i, now)
		effects = append(effects, i.Step(now.Add(time.Millisecond), Tick{})...)
		if n := count[StartRun](effects); n != 1 {
			t.Errorf("%s: %d starts on one server, want 1", c.name, n)
		}
	}
	i, now := oneServer(t, 500)
	i.Step(now, LinkUp{Peer: other})
	i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Busy: true}})
	effects := append(offer(i, now, other, 1, "j1", 0, 0), offer(i, now, other, 2, "j2", 0, 0)...)
	if n := count[StartRun](effects); n != 2 {
		t.Errorf("%d starts of two jobs, want 2", n)
	}
}
