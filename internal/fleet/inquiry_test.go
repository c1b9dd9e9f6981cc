package fleet

import (
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// TestUnlistedHolderNeverHeard asks about the holder of a job that the store doesn't list
// and this instance has never heard. What the members report decides.
func TestUnlistedHolderNeverHeard(t *testing.T) {
	type reports struct {
		from, until time.Duration
		presence    Presence
	}
	const whole = time.Minute
	unheard := reports{0, whole, PresenceUnheard}
	cases := []struct {
		name   string
		n2, n3 reports
		gone   time.Duration // when n3 isn't listed any more, 0 if it stays
		after  time.Duration
		server endEvidence // as owner of a server
		job    endEvidence // as holder of a job
	}{
		{"no report", reports{}, reports{}, 0, whole, notEnded, notEnded},
		{"one member hasn't reported", unheard, reports{}, 0, whole, notEnded, notEnded},
		{"one member hears it", unheard, reports{0, whole, PresenceHeard}, 0, whole, notEnded, notEnded},
		{"one member found it ended", reports{time.Second, whole, PresenceEnded}, reports{}, 0, time.Second, endReported, notEnded},
		{"one member found it ended, and its entry has run out", reports{time.Second, whole, PresenceEnded}, reports{}, 0, unlistedHolderTimeout, endReported, endReported},
		{"no member hears it", unheard, unheard, 0, time.Second, endUnheard, notEnded},
		{"no member hears it for long", unheard, unheard, 0, unheardHolderTimeout, endUnheard, endUnheard},
		{"reports begin late", unheard, reports{5 * time.Second, whole, PresenceUnheard}, 0, unheardHolderTimeout, endUnheard, notEnded},
		{"reports have ended", unheard, reports{0, time.Second, PresenceUnheard}, 0, unheardHolderTimeout, notEnded, notEnded},
		{"a member that hasn't reported is gone", unheard, reports{}, 8 * time.Second, unheardHolderTimeout, endUnheard, notEnded},
		{"a member that hasn't reported is gone for long", unheard, reports{}, 8 * time.Second, 8*time.Second + unheardHolderTimeout, endUnheard, endUnheard},
	}
	for _, c := range cases {
		m := newMembers(Member{Instance: "n1", Incarnation: "01"}, func(Effect) {})
		start := Time(time.Minute)
		list := []Member{m.self, {Instance: "n2", Incarnation: "01"}, {Instance: "n3", Incarnation: "01"}}
		subject := Member{Instance: "n9", Incarnation: "05"}
		m.storeUp = true
		var server, job endEvidence
		for at := start; at <= start.Add(c.after); at = at.Add(tickInterval) {
			if c.gone != 0 && at >= start.Add(c.gone) {
				list = list[:2]
			}
			m.handleListed(list, at)
			for i, r := range map[model.Instance]reports{"n2": c.n2, "n3": c.n3} {
				if r.presence != 0 && at >= start.Add(r.from) && at <= start.Add(r.until) {
					m.handleReports(m.peers[i], []MemberReport{{Subject: subject, Presence: r.presence}}, at, at)
				}
			}
			m.updateInquiries(at)
			server = m.endOf(subject.Instance, subject.Incarnation, at)
			job = m.expiry(subject.Instance, subject.Incarnation, at)
		}
		if server != c.server {
			t.Errorf("%s: the owner of a server: %q, want %q", c.name, server, c.server)
		}
		if job != c.job {
			t.Errorf("%s: the holder of a job: %q, want %q", c.name, job, c.job)
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

// TestReportFollowsLaterHeartbeat asks a member about an instance, once for each report.
// The member's heartbeat reports even if another one that asks nothing came before it.
func TestReportFollowsLaterHeartbeat(t *testing.T) {
	asking := newMembers(Member{Instance: "n1", Incarnation: "01"}, func(Effect) {})
	asked := newMembers(Member{Instance: "n2", Incarnation: "01"}, func(Effect) {})
	now := Time(time.Minute)
	toAsked, toAsking := asking.addPeer(asked.self, now), asked.addPeer(asking.self, now)
	asking.inquire(Member{Instance: "n9", Incarnation: "05"}, now)
	toAsking.handleHeartbeat(Heartbeat{SentAt: now, Inquiries: asking.subjectsFor(toAsked, now)}, now, now)
	toAsking.handleHeartbeat(Heartbeat{SentAt: now}, now, now)
	reports := asked.takeReports(toAsking, now)
	asking.handleReports(toAsked, reports, now, now)
	if again := asking.subjectsFor(toAsked, now); len(reports) != 1 || len(again) != 0 {
		t.Errorf("%d reports, asked again about %v, want 1 and none", len(reports), again)
	}
	if late := asking.subjectsFor(toAsked, now.Add(reportRefreshAge+1)); len(late) != 1 {
		t.Errorf("asked about %v once the report is old, want one", late)
	}
}
