package fleet

import (
	"slices"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Timing of the takeover of durable jobs.
const (
	// holdWithoutRenewal is how long a holder continues after its last renewal in the
	// store while a peer can't hear it: a little longer than its entry lasts.
	holdWithoutRenewal = 1800 * time.Millisecond
	// unlistedHolderTimeout is how long the store must not list a holder before its jobs are
	// taken over, as an entry may vanish just after a renewal: what the holder may count
	// on, and two ticks.
	unlistedHolderTimeout = holdWithoutRenewal + 2*tickInterval
	// holdInOutage is how long a holder continues after the last renewal of its own entry
	// or that of a member that hears it: longer than the store is usually away. Until
	// then such a member tells newcomers of the holder, or none can act in the store.
	holdInOutage = 6 * time.Second
	// unheardHolderTimeout is how long a holder must be missing while all listed members
	// report that they don't hear it. It may count on its entry, then be heard by a member
	// whose entry was just renewed and that is turned away as well, after its last report.
	unheardHolderTimeout = holdWithoutRenewal + holdInOutage + maxReportAge
	// unheardScanDelay is the time between scans while a job's holder may not have ended
	// that this instance has never heard.
	unheardScanDelay = time.Second
	// scanRetryInterval is the time before a scan is repeated that failed or found jobs
	// that no instance could run yet.
	scanRetryInterval = 250 * time.Millisecond
	// firstOrphanScanDelay is the time from startup to the first scan for jobs of
	// instances that haven't come back.
	firstOrphanScanDelay = 3 * time.Second
	// orphanScanInterval is the time between scans for jobs that each instance left to
	// another.
	orphanScanInterval = 15 * time.Second
	// conflictScanDelay is the time to the next scan after another instance has written
	// a job first.
	conflictScanDelay = 500 * time.Millisecond
	// releaseScanDelay lets a leaving holder release several jobs before the scan.
	releaseScanDelay = 30 * time.Millisecond
)

// misplaced reports whether another instance should hold a job, as this one is leaving
// or has lost the servers that could run it.
func (h *holder) misplaced(x *durableJob, now Time) bool {
	if x.job == nil || x.job.done || !h.leaving && h.owners.canServe(h.self, &x.job.spec) {
		return false
	}
	_, ok := h.findCapable(&x.job.spec, now)
	return ok
}

// findCapable returns another instance whose servers can run a job.
func (h *holder) findCapable(j *JobSpec, now Time) (Member, bool) {
	for _, m := range h.members.candidates("", true, now) {
		if h.owners.canServe(m, j) {
			return m, true
		}
	}
	return Member{}, false
}

// announceRelease asks an instance that can run a job to scan for released jobs.
func (h *holder) announceRelease(j *JobSpec, now Time) {
	if to, ok := h.findCapable(j, now); ok {
		h.effect(SendPeer{To: to, Message: JobsReleased{}})
	}
}

// startLeaving starts handing over the jobs: active runs may end, the rest is released.
func (h *holder) startLeaving(now Time) {
	h.leaving = true
	h.tick(now)
}

// updateCertainty stops the runs of durable jobs while another instance may take over:
// this one's entry in the store may have expired, and a peer doesn't hear it or none can
// tell a newcomer that it does.
func (h *holder) updateCertainty(now Time) {
	uncertain := now.Sub(h.renewedAt) > holdWithoutRenewal && !h.isHeard(now)
	if uncertain == h.uncertain {
		return
	}
	h.uncertain = uncertain
	if len(h.jobs) > 0 {
		h.effect(LogEntry{Kind: LogHoldDoubted, Count: len(h.jobs), Age: now.Sub(h.renewedAt), Reason: certaintyReason(uncertain)})
	}
	for _, x := range h.openJobs() {
		if uncertain {
			x.verified = false
			h.pool.interrupt(x.job, now)
			continue
		}
		h.save(x) // confirms with the store that this instance still holds it
	}
}

// isHeard reports whether all members hear this instance, and one can tell newcomers so.
func (h *holder) isHeard(now Time) bool {
	return h.members.allReachable(now) && now.Sub(h.members.lastRenewal(now)) <= holdInOutage
}

// handleListed holds back starts once the store lists the members without this instance.
func (h *holder) handleListed(list []Member) {
	if !slices.ContainsFunc(list, h.self.sameIncarnation) {
		h.awaitEntry()
	}
}

// handleStoreStatus holds back starts once the store is back, if it may have dropped this
// instance's entry meanwhile. The news that it has may come later.
func (h *holder) handleStoreStatus(up bool, now Time) {
	if up && now.Sub(h.renewedAt) > holdWithoutRenewal {
		h.awaitEntry()
	}
}

// awaitEntry holds back starts until this instance's entry is renewed and each job
// verified, as another instance may have taken them over.
func (h *holder) awaitEntry() {
	h.entryLost = true
	for _, x := range h.jobs {
		x.verified = false
	}
}

// handleRenewed processes a renewal of this instance's entry. Jobs are verified after a
// new entry is written, as a later takeover finds this instance listed.
func (h *holder) handleRenewed(e MembershipRenewed, now Time) {
	lost, doubted := h.entryLost || e.Created, h.uncertain
	h.renewedAt, h.entryLost = e.SentAt, false
	h.updateCertainty(now)
	if !lost || doubted { // the end of a doubt verifies them, too
		return
	}
	for _, x := range h.openJobs() {
		x.verified = false
		h.save(x)
	}
}

// openJobs returns the stored jobs that haven't ended, in order.
func (h *holder) openJobs() []*durableJob {
	return slices.DeleteFunc(h.sortedJobs(), func(x *durableJob) bool { return x.job == nil || x.job.done })
}

// handlePause stops the runs of durable jobs until the store has confirmed the jobs, if
// another instance may have taken them over during the pause.
func (h *holder) handlePause(now Time) {
	if now.Sub(h.renewedAt) <= holdWithoutRenewal {
		return
	}
	for _, x := range h.openJobs() {
		x.verified = false
		h.pool.interrupt(x.job, now)
		h.save(x)
	}
}

func certaintyReason(uncertain bool) string {
	if uncertain {
		return "runs are stopped"
	}
	return "each job is verified"
}

// scheduleScan schedules a scan of the jobs in the store.
func (h *holder) scheduleScan(at Time, all bool) {
	if h.nextScanAt == 0 || at < h.nextScanAt {
		h.nextScanAt = at
	}
	h.scanAll = h.scanAll || all
}

// handleMemberExpired scans for the jobs of a lost member if this instance is its
// successor.
func (h *holder) handleMemberExpired(p *peer, now Time) {
	if h.inUse && h.successor(p.member.Instance, now) == h.self.Instance {
		h.scheduleScan(now, true)
	}
}

// successor returns the instance that takes over the jobs of a lost one: its next
// incarnation, or the first of the others in rank order, which depends on the lost
// instance.
func (h *holder) successor(lost model.Instance, now Time) model.Instance {
	best := model.Instance("")
	for _, m := range h.members.candidates("", h.leaving, now) {
		if m.Instance == lost {
			return lost
		}
		if best == "" || rank(model.Domain(lost), m.Instance) < rank(model.Domain(lost), best) {
			best = m.Instance
		}
	}
	return best
}

// handleScanned takes over jobs that nobody holds. A holder whose entry had expired
// recreates it before it verifies its jobs, so either it is listed here or it finds
// that they were taken over.
func (h *holder) handleScanned(e JobsScanned, now Time) {
	all := h.scanningAll
	h.scanning, h.scanningAll = false, false
	if !e.OK {
		h.pending.answerWaiting(now)
		h.scheduleScan(now.Add(scanRetryInterval), all)
		return
	}
	h.inUse, h.scanned = h.inUse || len(e.Records) > 0, true
	h.pending.handleRead(e.Records, h.scanBegan, now)
	if !h.inUse {
		h.pool.endAllQuiesce()
	}
	listed := map[model.Instance]model.Incarnation{}
	for _, m := range e.Members {
		listed[m.Instance] = m.Incarnation
	}
	complete := h.members.knowsAll(e.Members)
	for _, r := range e.Records {
		mine := r.Holder == h.self.Instance && r.Incarnation != h.self.Incarnation
		alive := r.Holder != "" && listed[r.Holder] == r.Incarnation
		if alive || !all && !mine {
			continue
		}
		evidence := h.orphaned(r, now)
		if evidence == endUnheard && !complete {
			evidence = notEnded
		}
		if evidence != notEnded {
			h.takeOverOrForward(r, evidence, now)
		} else if h.awaitsReports(r) {
			h.scheduleScan(now.Add(unheardScanDelay), true)
		}
	}
}

// awaitsReports reports whether members are asked about the holder of a job.
func (h *holder) awaitsReports(r Record) bool {
	return r.Holder != h.self.Instance && h.members.inCell(string(r.Holder)) && !h.members.everHeard(r.holder())
}

// takeOverOrForward takes over a job that nobody holds, or passes it to an instance
// whose servers can run it.
func (h *holder) takeOverOrForward(r Record, evidence endEvidence, now Time) {
	if h.owners.canServe(h.self, &r.Job) {
		h.takeOver(r, evidence, now)
		return
	}
	if h.nextScanAt == 0 {
		h.scheduleScan(now.Add(scanRetryInterval), true) // in case the other instance doesn't take it over
	}
	h.announceRelease(&r.Job, now)
}

// orphaned returns on what nobody is taken to hold an open job. Members of other cells
// can't hear its holder, which may still be running while the store doesn't list it.
func (h *holder) orphaned(r Record, now Time) endEvidence {
	switch {
	case r.Holder == "":
		return endReleased
	case r.Holder == h.self.Instance && r.Incarnation != h.self.Incarnation:
		return endLaterLife
	case h.members.inCell(string(r.Holder)):
		return h.members.expiry(r.Holder, r.Incarnation, now)
	}
	return notEnded
}

// takeOver takes over a job. Its tasks wait until the runs of its previous holder have
// ended.
func (h *holder) takeOver(r Record, evidence endEvidence, now Time) {
	if h.jobs[r.ID] != nil || h.leaving {
		return
	}
	if !h.pool.hasMemoryFor(&r.Job) {
		h.scheduleScan(now.Add(orphanScanInterval), true)
		return
	}
	h.inUse = true
	h.effect(LogEntry{Kind: LogJobAdopted, Job: r.ID, Peer: r.Holder, Value: r.Revision, Reason: string(evidence)})
	x := &durableJob{record: r, progress: map[TaskID]TaskProgress{}}
	for _, p := range r.Progress {
		x.progress[TaskID{r.ID, p.Step, p.Index}] = p
	}
	if r.Holder != "" {
		x.startAfter = now.Add(h.pool.orphanRunTime)
	}
	x.record.Term++
	x.record.Version = 0
	h.jobs[r.ID] = x
	h.save(x)
}
