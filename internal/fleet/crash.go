package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// A task can crash each server that starts it. All runs of a lost server look the same,
// so each of their tasks becomes a suspect: from then on it runs alone, see
// placeSuspects, which spares the others and makes the next loss evidence against it.

// ServerLoss is the loss of a run with its server.
type ServerLoss struct {
	Server  model.ServerID
	BootMs  int64 // incarnation of the server
	Alone   bool  // the run had started, nothing else ran there, and it was no outage of several servers
	Crashed bool  // the server has crashed; if false, it may have been cut off
}

// Limits on the servers lost under a task.
const (
	// lossesToFail is how many servers are lost under a task of a durable job before the
	// job fails, aloneToFail how many of them with the task alone, and crashesToFail how
	// many of them are known to have crashed.
	lossesToFail  = 3
	aloneToFail   = 2
	crashesToFail = 2
	// maxLosses is how many servers may be lost under a task of a durable job: one less
	// than the platform forbids, as a holder may be lost together with a run.
	maxLosses = 5
	// lossesToAbandon is how many lost servers end a job that isn't durable, one of them
	// with the task alone; maxLooseLosses is the number without that.
	lossesToAbandon = 2
	maxLooseLosses  = 3
	// settleTimeout is how long a suspect waits to learn whether its servers have
	// crashed: three heartbeats until the store drops an entry, and time to hear of it.
	settleTimeout = 6 * time.Second
	// entryReturnTime is how long after an outage of the store the entries of live
	// servers are back.
	entryReturnTime = 3 * time.Second
	// outageServers is how many servers without suspects are lost within outageWindow if
	// the cause is an outage: a rack or a domain.
	outageServers = 3
	outageWindow  = 300 * time.Millisecond // longer than a poll
	// outageMemory is how long lost servers are remembered: until the leases of those
	// that were lost with them have expired.
	outageMemory = 5 * time.Second
)

// suspect reports whether servers were lost under the task.
func (t *task) suspect() bool { return len(t.losses) > 0 }

// unsettled reports whether it isn't known of some lost server whether it has crashed.
func (t *task) unsettled() bool {
	return slices.ContainsFunc(t.losses, func(l ServerLoss) bool { return !l.Crashed })
}

// countLosses counts the servers under the task that are known to have crashed, and those
// lost with it alone.
func (t *task) countLosses() (crashed, alone int) {
	for _, l := range t.losses {
		if l.Alone {
			alone++
		}
		if l.Crashed {
			crashed++
		}
	}
	return crashed, alone
}

// hopeless reports whether so many servers were lost under a task that its job ends. A
// durable job needs known crashes, as its caller can't submit it again.
func (t *task) hopeless() bool {
	crashed, alone := t.countLosses()
	if t.job.spec.Durable {
		return len(t.losses) >= lossesToFail && alone >= aloneToFail && crashed >= crashesToFail || crashed >= maxLosses
	}
	return len(t.losses) >= lossesToAbandon && alone > 0 || len(t.losses) >= maxLooseLosses
}

// verdict returns the result of a hopeless task's job. A server that was only cut off is
// no reason to call the job failed, so that needs known crashes.
func (t *task) verdict() Result {
	if crashed, _ := t.countLosses(); crashed < crashesToFail {
		return Result{Kind: Unknown, Reason: ReasonCrashes}
	}
	return Result{Kind: Failed, Reason: ReasonCrashes}
}

// mayRetry reports whether a suspect may start again. The losses of a durable job's task
// must be stored, so that the next holder knows all but the last.
func (t *task) mayRetry(now Time) bool {
	x := t.job.durable
	switch {
	case x == nil:
		return true
	case x.saving || x.dirty:
		return false
	case !t.unsettled() || len(t.losses) < lossesToFail:
		return true
	}
	return len(t.losses) < maxLosses && now.Sub(t.lostAt) >= settleTimeout
}

// outage is the loss of a server.
type outage struct {
	server    model.ServerID
	at        Time
	suspected bool // a suspect was alone there
}

// noteOutage records that a server was lost.
func (p *pool) noteOutage(s *server, now Time) {
	p.outages = slices.DeleteFunc(p.outages, func(o outage) bool { return o.server == s.entry.ID || now.Sub(o.at) > outageMemory })
	p.outages = append(p.outages, outage{s.entry.ID, now, s.hasIsolatedRun()})
}

// inOutage reports whether other servers without suspects were lost together with one.
func (p *pool) inOutage(s *server) bool {
	i := slices.IndexFunc(p.outages, func(o outage) bool { return o.server == s.entry.ID })
	if i < 0 {
		return false
	}
	n := 0
	for _, o := range p.outages {
		if d := o.at.Sub(p.outages[i].at); o.server != s.entry.ID && !o.suspected && max(d, -d) <= outageWindow {
			n++
		}
	}
	return n >= outageServers
}

// recordLoss records that a run was lost with its server, unless that was leaving.
func (p *pool) recordLoss(s *server, r *run, now Time) {
	restarted := s.life.bootMs != r.bootMs
	if s.leaving.announced || !restarted && s.misses == 0 {
		return
	}
	if restarted {
		p.noteOutage(s, now)
	}
	t := r.task
	l := ServerLoss{Server: s.entry.ID, BootMs: r.bootMs, Alone: r.isolated && r.started && !p.inOutage(s), Crashed: restarted}
	t.losses, t.lostAt = append(t.losses, l), now
	p.logLoss(t, l)
	if t.unsettled() && !slices.Contains(p.unsettled, t) {
		p.unsettled = append(p.unsettled, t)
	}
	p.holder.recordLosses(t)
}

func (p *pool) logLoss(t *task, l ServerLoss) {
	reason := "beside others"
	if l.Alone {
		reason = "alone"
	}
	kind := LogTaskSuspected
	if l.Crashed {
		kind = LogCrashConfirmed
	}
	p.effect(LogEntry{Kind: kind, Server: l.Server, Run: RunID{t.id, t.attempt}, Count: len(t.losses), Reason: reason})
}

// settleLosses learns from the list of servers which of those lost under tasks have
// crashed: they have restarted, or are no longer listed and had not announced that.
func (p *pool) settleLosses(list *serverList, now Time) {
	if len(p.unsettled) == 0 || !list.complete(now) {
		return
	}
	p.settleEach(now, func(l ServerLoss) lossVerdict {
		e, listed := list.entries[l.Server]
		switch {
		case !listed || e.BootMs > l.BootMs:
			return lossCrashed
		case e.State == ServerDraining:
			return lossRefuted
		}
		return lossUnknown
	})
}

// watchLosses settles the losses of a job that was taken over.
func (p *pool) watchLosses(j *job) {
	for _, st := range j.steps {
		for _, t := range st.suspects {
			if t.unsettled() {
				p.unsettled = append(p.unsettled, t)
			}
		}
	}
}

// refuteLosses settles the losses of a server that answers and has not restarted.
func (p *pool) refuteLosses(s *server, now Time) {
	p.settleEach(now, func(l ServerLoss) lossVerdict {
		if l.Server == s.entry.ID && l.BootMs == s.life.bootMs {
			return lossRefuted
		}
		return lossUnknown
	})
}

type lossVerdict int

const (
	lossUnknown lossVerdict = iota
	lossCrashed
	lossRefuted // the server has not crashed
)

// settleEach settles losses of which it wasn't known whether the server has crashed.
func (p *pool) settleEach(now Time, verdict func(ServerLoss) lossVerdict) {
	for _, t := range slices.Clone(p.unsettled) {
		changed := false
		losses := make([]ServerLoss, 0, len(t.losses))
		for _, l := range t.losses {
			v := lossUnknown
			if !l.Crashed {
				v = verdict(l)
			}
			changed = changed || v != lossUnknown
			switch v {
			case lossRefuted:
				continue
			case lossCrashed:
				l.Crashed = true
				p.logLoss(t, l)
			}
			losses = append(losses, l)
		}
		if changed && !t.job.done {
			t.losses = losses
			p.holder.recordLosses(t)
			p.reconsider(t, now)
		}
	}
	p.unsettled = slices.DeleteFunc(p.unsettled, func(t *task) bool { return t.job.done || !t.unsettled() })
}

// reconsider ends the job of a hopeless task, and clears one of suspicion under which no
// server has crashed.
func (p *pool) reconsider(t *task, now Time) {
	if t.hopeless() {
		p.effect(LogEntry{Kind: LogTaskGivenUp, Run: RunID{t.id, t.attempt}, Count: len(t.losses)})
		p.endJob(t.job, t.verdict(), now)
		return
	}
	if i := slices.Index(t.step.suspects, t); i >= 0 && !t.suspect() {
		t.step.suspects = slices.Delete(t.step.suspects, i, i+1)
		p.requeue(t)
	}
}
