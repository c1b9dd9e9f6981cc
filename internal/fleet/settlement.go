package fleet

import "time"

// Settlement of calls to backend servers whose reply is overdue, for loads under which
// many commands and replies are lost. A lost start occupies its capacity until it is
// known not to run and forbidden to start later: two polls that don't list it, a stop,
// and a poll after that. A lost poll hides the ends of runs. Waiting for the timeouts of
// the calls would take longer than most tasks run.

// replyTimes estimates how long backend servers take to reply to commands, as seen by
// the reducer: the time that the process itself takes is included.
type replyTimes struct {
	mean      time.Duration
	deviation time.Duration // mean deviation
	known     bool
	lost      float64 // moving mean share of polls whose reply was overdue
}

const (
	meanSampleShare      = 8 // a sample moves the mean by this fraction of the difference
	deviationSampleShare = 4 // the same for the deviation
	deviationsOverdue    = 4 // a reply is overdue this many deviations after the mean
	// minOverdueTime keeps ordinary scheduling delays from causing polls.
	minOverdueTime = 12 * time.Millisecond
	// maxOverdueTime is the timeout of a command, after which it fails by itself.
	maxOverdueTime = 150 * time.Millisecond

	lostSampleShare = 64   // a poll moves the share of lost replies by this fraction
	lossyShare      = 0.05 // share of lost replies from which polls wait for less time
)

// observe records the time of one reply.
func (r *replyTimes) observe(took time.Duration) {
	took = min(took, maxOverdueTime)
	if !r.known {
		r.mean, r.deviation, r.known = took, took/2, true
		return
	}
	diff := took - r.mean
	r.mean += diff / meanSampleShare
	r.deviation += (max(diff, -diff) - r.deviation) / deviationSampleShare
}

// observePoll records whether the reply to a poll was overdue.
func (r *replyTimes) observePoll(overdue bool) {
	sample := 0.0
	if overdue {
		sample = 1
	}
	r.lost += (sample - r.lost) / lostSampleShare
}

// overdueAfter returns how long after a command its reply is overdue.
func (r *replyTimes) overdueAfter() time.Duration {
	if !r.known {
		return maxOverdueTime
	}
	return min(max(r.mean+deviationsOverdue*r.deviation, minOverdueTime), maxOverdueTime)
}

// pollWait returns the long-poll time. It is short while replies are lost, as a lost one
// is noticed only after that time.
func (r *replyTimes) pollWait() time.Duration {
	if r.lost > lossyShare {
		return lossyPollWait
	}
	return pollWait
}

// pendingCall is a call to a backend server whose reply is expected.
type pendingCall struct {
	server *server
	kind   callKind
	run    *run // of a command
	sentAt Time
	dueAt  Time // earliest reply by which it has been waited for, see Poll.Wait
}

type callKind int

const (
	callStart callKind = iota
	callStop
	callPoll
	callImmediatePoll
)

// settled reports whether the call was answered or replaced by a later one.
func (c *pendingCall) settled() bool {
	s, r := c.server, c.run
	switch c.kind {
	case callPoll:
		return s.polledAt != c.sentAt
	case callImmediatePoll:
		return s.polledNowAt != c.sentAt
	case callStop:
		return s.runs[r.id] != r || r.answeredAt != 0 || r.stopSentAt != c.sentAt
	}
	return s.runs[r.id] != r || r.state != runStarting
}

// pendingCalls are the calls of a kind in the order sent, some of them settled.
type pendingCalls []pendingCall

// next returns the first unsettled call, nil if there is none.
func (q *pendingCalls) next() *pendingCall {
	for len(*q) > 0 && (*q)[0].settled() {
		*q = (*q)[1:]
	}
	if len(*q) == 0 {
		return nil
	}
	return &(*q)[0]
}

// expectReply adds a command to those whose replies may become overdue.
func (p *pool) expectReply(s *server, kind callKind, r *run, now Time) {
	p.pendingCommands = append(p.pendingCommands, pendingCall{server: s, kind: kind, run: r, sentAt: now, dueAt: now})
}

// sendPoll sends a poll and expects its reply.
func (p *pool) sendPoll(s *server, poll Poll, now Time) {
	c := pendingCall{server: s, kind: callPoll, sentAt: now, dueAt: now.Add(poll.Wait)}
	if poll.Immediate {
		c.kind = callImmediatePoll
		p.pendingCommands = append(p.pendingCommands, c)
	} else {
		p.pendingPolls = append(p.pendingPolls, c)
	}
	p.effect(poll)
}

// nextOverdueAt returns when the reply to a call becomes overdue, 0 if none is expected.
func (p *pool) nextOverdueAt() Time {
	at := Time(0)
	for _, q := range []*pendingCalls{&p.pendingCommands, &p.pendingPolls} {
		if c := q.next(); c != nil && (at == 0 || c.dueAt < at) {
			at = c.dueAt
		}
	}
	if at == 0 {
		return 0
	}
	return at.Add(p.replies.overdueAfter())
}

// settleOverdue deals with all calls whose replies are overdue.
func (p *pool) settleOverdue(now Time) {
	limit := now.Add(-p.replies.overdueAfter())
	for _, q := range []*pendingCalls{&p.pendingCommands, &p.pendingPolls} {
		for c := q.next(); c != nil && c.dueAt <= limit; c = q.next() {
			call := *c
			*q = (*q)[1:]
			p.settle(call, now)
		}
	}
}

// settle replaces a call whose reply is overdue: another poll shows what the reply would
// have told, and a stop is repeated.
func (p *pool) settle(c pendingCall, now Time) {
	s := c.server
	if p.servers[s.entry.ID] != s || s.misses >= missesUntilUnresponsive {
		return // its runs are settled when their leases expire
	}
	switch c.kind {
	case callStart:
		if !c.run.absentBefore {
			p.logRun(LogRunUnanswered, s, c.run, now)
		}
		c.run.state, c.run.uncertainSince = runUncertain, now
		p.pollNow(s, now)
	case callStop:
		p.stopRun(s, c.run, now)
	case callPoll:
		p.replies.observePoll(true)
		s.polledAt = 0
		p.poll(s, now)
	case callImmediatePoll:
		p.replies.observePoll(true)
		s.polledNowAt = 0
		p.pollNow(s, now)
	}
}
