package fleet

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Bounds of how kept jobs change their holder.
const (
	// holdWithoutRenewal is how long a holder goes on after its last renewal in the
	// store while a peer doesn't hear it: less than it takes that peer to take
	// its jobs over.
	holdWithoutRenewal = 1800 * time.Millisecond
	// scanRetryInterval is the time between two scans, if the first failed or found jobs
	// that no instance could run yet.
	scanRetryInterval = 250 * time.Millisecond
	// firstOrphanScanDelay is when an instance that has started looks for jobs of
	// instances that haven't come back.
	firstOrphanScanDelay = 3 * time.Second
	// orphanScanInterval is the time between looks for jobs that every instance
	// took for another's.
	orphanScanInterval = 15 * time.Second
	// conflictScanDelay is when to look again after another instance has written a
	// job that this one was about to write.
	conflictScanDelay = 500 * time.Millisecond
	// releaseScanDelay lets a leaving holder release several jobs first.
	releaseScanDelay = 30 * time.Millisecond
)

// misplaced reports whether another instance should hold a job: this one leaves,
// or it has lost the servers that could run it.
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

// announceRelease asks an instance that can run a job to look for released ones.
func (h *holder) announceRelease(j *JobSpec, now Time) {
	if to, ok := h.findCapable(j, now); ok {
		h.effect(SendPeer{To: to, Message: JobsReleased{}})
	}
}

// startLeaving begins to hand the jobs over: what runs may end, the rest is released.
func (h *holder) startLeaving(now Time) {
	h.leaving = true
	h.tick(now)
}

// updateCertainty stops the runs of kept jobs while another instance may take them over:
// this one's entry in the store may have lapsed, and a peer doesn't hear it.
func (h *holder) updateCertainty(now Time) {
	doubted := now.Sub(h.renewedAt) > holdWithoutRenewal && !h.members.allReachable(now)
	if doubted == h.uncertain {
		return
	}
	h.uncertain = doubted
	if len(h.jobs) > 0 {
		h.effect(LogEntry{Kind: LogHoldDoubted, Count: len(h.jobs), Age: now.Sub(h.renewedAt), Reason: certaintyReason(doubted)})
	}
	for _, x := range h.sortedJobs() {
		if x.job == nil || x.job.done {
			continue
		}
		if doubted {
			x.verified = false
			h.pool.interrupt(x.job, now)
			continue
		}
		h.save(x) // the store tells whether it is still this instance's
	}
}

func certaintyReason(doubted bool) string {
	if doubted {
		return "runs are stopped"
	}
	return "each job is verified"
}

// scheduleScan asks for a look at the jobs in the store.
func (h *holder) scheduleScan(at Time, all bool) {
	if h.nextScanAt == 0 || at < h.nextScanAt {
		h.nextScanAt = at
	}
	h.scanAll = h.scanAll || all
}

// handleMemberExpired looks for the jobs of a member that has ended, if they fall to
// this instance.
func (h *holder) handleMemberExpired(p *peer, now Time) {
	if h.inUse && h.successor(p.member.Instance, now) == h.self.Instance {
		h.scheduleScan(now, true)
	}
}

// successor returns which instance takes over the jobs of one that has ended: its
// next life, or the first of the others in an order of its own.
func (h *holder) successor(gone model.Instance, now Time) model.Instance {
	best := model.Instance("")
	for _, m := range h.members.candidates("", h.leaving, now) {
		if m.Instance == gone {
			return gone
		}
		if best == "" || rank(model.Domain(gone), m.Instance) < rank(model.Domain(gone), best) {
			best = m.Instance
		}
	}
	return best
}

// handleScanned takes over the jobs that nobody holds. A holder whose entry had lapsed
// writes it anew before it verifies its jobs; so either it is listed here, or it
// finds that they were taken over.
func (h *holder) handleScanned(e JobsScanned, now Time) {
	h.scanning = false
	if !e.OK {
		h.scheduleScan(now.Add(scanRetryInterval), h.scanAll)
		return
	}
	all := h.scanAll
	h.scanAll = false
	h.inUse, h.scanned = h.inUse || len(e.Records) > 0, true
	if !h.inUse {
		h.pool.endAllQuiesce()
	}
	listed := map[model.Instance]model.Incarnation{}
	for _, m := range e.Members {
		listed[m.Instance] = m.Incarnation
	}
	for _, r := range e.Records {
		mine := r.Holder == h.self.Instance && r.Incarnation != h.self.Incarnation
		alive := r.Holder != "" && listed[r.Holder] == r.Incarnation
		if mine || all && !alive && h.isOrphan(r, now) {
			h.takeOverOrForward(r, now)
		}
	}
}

// takeOverOrForward takes a job over that nobody holds, or passes it to an instance whose
// servers can run it.
func (h *holder) takeOverOrForward(r Record, now Time) {
	if h.owners.canServe(h.self, &r.Job) {
		h.takeOver(r, now)
		return
	}
	if h.nextScanAt == 0 {
		h.scheduleScan(now.Add(scanRetryInterval), true) // in case nobody does
	}
	h.announceRelease(&r.Job, now)
}

// isOrphan reports whether nobody holds an open job. Members of other cells don't
// hear its holder, which may go on while the store doesn't list it.
func (h *holder) isOrphan(r Record, now Time) bool {
	return r.Holder == "" || h.members.inCell(string(r.Holder)) && h.members.expired(r.Holder, r.Incarnation, now)
}

// takeOver takes a job over. Its tasks wait until the runs of its last holder are
// gone.
func (h *holder) takeOver(r Record, now Time) {
	if h.jobs[r.ID] != nil || h.leaving {
		return
	}
	h.inUse = true
	h.effect(LogEntry{Kind: LogJobAdopted, Job: r.ID, Peer: r.Holder, Value: r.Revision})
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
