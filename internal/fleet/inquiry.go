package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Inquiries about instances that this one has never heard. That the store doesn't list
// such an instance proves nothing: the store may turn it away while its peers hear it.
// Heartbeats ask the members, and carry their reports.

const (
	// inquiryRetention is how long an inquiry lasts after an answer was last needed.
	inquiryRetention = 3 * time.Second
	// maxReportAge is the maximum age of the heartbeat that a report answers.
	maxReportAge = echoTimeout
	// reportRefreshAge is the age of a report at which the member is asked again.
	reportRefreshAge = maxReportAge / 3
)

// Presence is what a member knows of an incarnation of another instance.
type Presence int

// Values of Presence.
const (
	PresenceUnheard Presence = iota + 1 // silent or unknown
	PresenceHeard                       // heard recently, or listed in the store
	PresenceEnded                       // known to have ended
)

// MemberReport is a member's answer about an incarnation of an instance.
type MemberReport struct {
	Subject  Member // with its address if it is heard
	Presence Presence
}

// inquiry collects the reports about one incarnation.
type inquiry struct {
	subject    Member
	quietSince Time // start of the inquiry, or when a member last reported that it hears the subject
	missedAt   Time // when a listed member last hadn't reported
	neededAt   Time // when an answer was last needed
	reports    map[model.Instance]datedReport
}

type datedReport struct {
	from     model.Incarnation
	at       Time // when the inquiry was sent that it answers
	presence Presence
}

// endEvidence is on what an incarnation of an instance is taken for ended.
type endEvidence string

// Values of endEvidence.
const (
	notEnded     endEvidence = ""
	endLaterLife endEvidence = "later incarnation"
	endRefused   endEvidence = "connection refused"
	endSilent    endEvidence = "silent and not in the store"
	endReported  endEvidence = "another member found it ended"
	endUnheard   endEvidence = "not in the store, and no member hears it"
	endOtherCell endEvidence = "member of another cell, not in the store"
	endReleased  endEvidence = "released"
)

func (r datedReport) valid(p *peer, now Time) bool {
	return r.from == p.member.Incarnation && now.Sub(r.at) < maxReportAge
}

// findInquiry returns the inquiry about an incarnation, nil if there is none.
func (m *members) findInquiry(x Member) *inquiry {
	i := slices.IndexFunc(m.inquiries, func(q *inquiry) bool { return q.subject.sameIncarnation(x) })
	if i < 0 {
		return nil
	}
	return m.inquiries[i]
}

// inquire returns the inquiry about an incarnation, and starts it if there is none.
func (m *members) inquire(x Member, now Time) *inquiry {
	q := m.findInquiry(x)
	if q == nil {
		q = &inquiry{subject: Member{Instance: x.Instance, Incarnation: x.Incarnation}, quietSince: now, reports: map[model.Instance]datedReport{}}
		m.inquiries = append(m.inquiries, q)
	}
	q.neededAt = now
	return q
}

// updateInquiries ends the inquiries that are no longer needed, and notes to which some
// member owes a report.
func (m *members) updateInquiries(now Time) {
	m.inquiries = slices.DeleteFunc(m.inquiries, func(q *inquiry) bool { return now.Sub(q.neededAt) > inquiryRetention })
	for _, q := range m.inquiries {
		if m.lacksReport(q, now) {
			q.missedAt = now
		}
	}
}

// lacksReport reports whether a listed member hasn't reported lately.
func (m *members) lacksReport(q *inquiry, now Time) bool {
	return slices.ContainsFunc(m.orderedPeers, func(p *peer) bool {
		return p.inStore && p.member.Instance != q.subject.Instance && !q.reports[p.member.Instance].valid(p, now)
	})
}

// silence returns how long all listed members have reported that they don't hear the
// subject.
func (q *inquiry) silence(now Time) time.Duration { return now.Sub(max(q.quietSince, q.missedAt)) }

// subjectsFor returns the incarnations to ask a peer about.
func (m *members) subjectsFor(p *peer, now Time) []Member {
	var out []Member
	for _, q := range m.inquiries {
		if r := q.reports[p.member.Instance]; !r.valid(p, now) || now.Sub(r.at) > reportRefreshAge {
			out = append(out, q.subject)
		}
	}
	return out
}

// takeReports answers the inquiries of a peer that haven't been answered.
func (m *members) takeReports(p *peer, now Time) []MemberReport {
	var out []MemberReport
	for _, x := range p.asks {
		out = append(out, m.report(x, now))
	}
	p.asks = nil
	return out
}

// report answers an inquiry. What this instance has been told isn't passed on.
func (m *members) report(x Member, now Time) MemberReport {
	p := m.peers[x.Instance]
	switch {
	case x.sameIncarnation(m.self):
		return MemberReport{m.self, PresenceHeard}
	case x.Instance == m.self.Instance:
		return MemberReport{x, PresenceEnded}
	case p == nil || p.member.Incarnation < x.Incarnation:
		return MemberReport{x, PresenceUnheard}
	case p.member.Incarnation > x.Incarnation:
		return MemberReport{x, PresenceEnded}
	case p.responsive(now) || m.storeUp && p.inStore:
		return MemberReport{p.member, PresenceHeard}
	case p.dead && (p.deathEvidence == endRefused || p.deathEvidence == endSilent):
		return MemberReport{x, PresenceEnded}
	}
	return MemberReport{x, PresenceUnheard}
}

// handleReports records a peer's answers to the inquiries that this instance sent at a
// time. Whom the peer hears becomes a member.
func (m *members) handleReports(from *peer, reports []MemberReport, sentAt, now Time) {
	for _, r := range reports {
		q := m.findInquiry(r.Subject)
		if q == nil {
			continue
		}
		q.reports[from.member.Instance] = datedReport{from.member.Incarnation, sentAt, r.Presence}
		if r.Presence != PresenceHeard {
			continue
		}
		q.quietSince = now
		if m.inCell(string(r.Subject.Instance)) {
			m.reviveUnheard(m.addPeer(r.Subject, now), now)
		}
	}
}

// reviveUnheard takes a member for alive again that was declared dead without proof.
func (m *members) reviveUnheard(p *peer, now Time) {
	if p != nil && p.dead && p.deathEvidence == endUnheard {
		p.dead, p.missingSince = false, now
	}
}

// everHeard reports whether this instance has heard an incarnation, or a later one.
func (m *members) everHeard(x Member) bool {
	p := m.peers[x.Instance]
	return p != nil && (p.member.Incarnation > x.Incarnation || p.member.Incarnation == x.Incarnation && p.everHeard)
}

// knowsAll reports whether this instance knows that the members on a list are listed.
func (m *members) knowsAll(list []Member) bool {
	return !slices.ContainsFunc(list, func(x Member) bool {
		p := m.peers[x.Instance]
		return x.Instance != m.self.Instance && m.inCell(string(x.Instance)) && (p == nil || !p.inStore || !p.member.sameIncarnation(x))
	})
}

// unheardEvidence returns on what an unlisted incarnation that this instance has never
// heard is taken for ended: all listed members must have reported about it.
func (m *members) unheardEvidence(x Member, quiet time.Duration, now Time) endEvidence {
	if !m.storeUp || !m.listed {
		return notEnded
	}
	q := m.inquire(x, now)
	heard := false
	for _, p := range m.orderedPeers {
		r := q.reports[p.member.Instance]
		if r.valid(p, now) && r.presence == PresenceEnded {
			return endReported
		}
		heard = heard || r.valid(p, now) && r.presence == PresenceHeard
	}
	if heard || m.lacksReport(q, now) || now.Sub(q.quietSince) < quiet {
		return notEnded
	}
	return endUnheard
}
