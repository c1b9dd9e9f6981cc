package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestUnlistedHolderNeverHeard asks about the holder of a job that the store doesn't list
// and this instance has never heard. What the members report decides.
func TestUnlistedHolderNeverHeard(t *testing.T) {
	type reply struct {
		after    time.Duration
		presence Presence
	}
	cases := []struct {
		name    string
		replies map[model.Instance]reply
		after   time.Duration
		server  endEvidence // as owner of a server
		job     endEvidence // as holder of a job
	}{
		{"no report", nil, time.Minute, notEnded, notEnded},
		{"one member hasn't reported", map[model.Instance]reply{"n2": {time.Second, PresenceUnheard}}, time.Second, notEnded, notEnded},
		{"one member hears it", map[model.Instance]reply{"n2": {time.Second, PresenceUnheard}, "n3": {time.Second, PresenceHeard}}, time.Second, notEnded, notEnded},
		{"one member found it ended", map[model.Instance]reply{"n2": {time.Second, PresenceEnded}}, time.Second, endReported, notEnded},
		{"one member found it ended before its entry ran out", map[model.Instance]reply{"n2": {time.Second, PresenceEnded}}, unlistedHolderTimeout, endReported, endReported},
		{"no member hears it", map[model.Instance]reply{"n2": {time.Second, PresenceUnheard}, "n3": {time.Second, PresenceUnheard}}, time.Second, endUnheard, notEnded},
		{"no member hears it for long", map[model.Instance]reply{"n2": {unheardHolderTimeout, PresenceUnheard}, "n3": {unheardHolderTimeout, PresenceUnheard}}, unheardHolderTimeout, endUnheard, endUnheard},
		{"the reports are old", map[model.Instance]reply{"n2": {0, PresenceUnheard}, "n3": {0, PresenceUnheard}}, unheardHolderTimeout, notEnded, notEnded},
	}
	for _, c := range cases {
		m := newMembers(Member{Instance: "n1", Incarnation: "01"}, func(Effect) {})
		start := Time(time.Minute)
		m.storeUp = true
		m.handleListed([]Member{m.self, {Instance: "n2", Incarnation: "01"}, {Instance: "n3", Incarnation: "01"}}, start)
		subject := Member{Instance: "n9", Incarnation: "05"}
		for at := start; at <= start.Add(c.after); at = at.Add(tickInterval) {
			m.endOf(subject.Instance, subject.Incarnation, at)
			for i, r := range c.replies {
				if at.Sub(start) == r.after {
					m.handleReports(m.peers[i], []MemberReport{{Subject: subject, Presence: r.presence}}, at, at)
				}
			}
		}
		now := start.Add(c.after)
		if got := m.endOf(subject.Instance, subject.Incarnation, now); got != c.server {
			t.Errorf("%s: the owner of a server: %q, want %q", c.name, got, c.server)
		}
		if got := m.expiry(subject.Instance, subject.Incarnation, now); got != c.job {
			t.Errorf("%s: the holder of a job: %q, want %q", c.name, got, c.job)
		}
	}
}

// TestHolderWithoutStoreStops leaves a holder without the store. It may go on while a
// member that the store serves hears it, as that one reports it to newcomers.
func TestHolderWithoutStoreStops(t *testing.T) {
	cases := []struct {
		name          string
		peers, served bool
		away          time.Duration
		stops         bool
	}{
		{"alone, the entry has just expired", false, false, 2 * time.Second, false},
		{"alone", false, false, holdInOutage + time.Second, true},
		{"with a member that the store serves", true, true, time.Minute, false},
		{"with a member that the store turns away as well, for a short time", true, false, holdInOutage - time.Second, false},
		{"with a member that the store turns away as well", true, false, holdInOutage + time.Second, true},
	}
	for _, c := range cases {
		i, now := oneServer(t, 500)
		other := Member{Instance: "n2", Incarnation: "01", Domain: "d", Addr: "a", Weight: 1}
		listed := []Member{i.opts.Self}
		if c.peers {
			listed = append(listed, other)
		}
		i.Step(now, MembersListed{Members: listed})
		if c.peers {
			i.Step(now, LinkUp{Peer: other})
		}
		i.Step(now, MembershipRenewed{SentAt: now})
		i.Step(now, StoreStatus{Up: false})
		start := now
		for ; now.Sub(start) < c.away; now = now.Add(tickInterval) {
			if c.peers {
				renewedAt := start
				if c.served {
					renewedAt = now
				}
				i.Step(now, PeerMessage{From: other, ReceivedAt: now, Message: Heartbeat{SentAt: now, Echo: now, Busy: true, RenewedAt: renewedAt}})
			}
			i.Step(now, Tick{})
		}
		if i.holder.uncertain != c.stops {
			t.Errorf("%s: stops after %v: %v, want %v", c.name, c.away, i.holder.uncertain, c.stops)
		}
	}
}
