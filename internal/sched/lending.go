package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

const (
	loanIdle       = 300 * time.Millisecond // a borrowed slot that was not needed for so long goes back
	loanRenewal    = 3 * time.Second        // interval of the messages that renew loans
	loanLost       = 8 * time.Second        // a lender takes slots back from a borrower silent for so long
	grantLost      = 500 * time.Millisecond // a grant without an acknowledgement is taken for lost
	askAnswer      = 5 * time.Millisecond   // an ask that is not answered within this time counts as unmet for now
	askStands      = 200 * time.Millisecond // an ask that was not met stands for so long
	reclaimGone    = time.Second            // a lender takes slots back from a borrower that left the list
	beliefAge      = time.Second            // what a peer said about its free slots counts for so long
	hintAge        = 300 * time.Millisecond // what is known of a third instance is passed on for so long
	queuePatience  = 2 * time.Millisecond   // own queue older than this makes an instance ask peers that said they have nothing
	recallEvery    = 200 * time.Millisecond
	returnEvery    = 60 * time.Millisecond  // interval of the messages that return recalled slots
	shareEvery     = 200 * time.Millisecond // interval of the comparison of slots with weighted demand
	sharePatience  = 300 * time.Millisecond // own queue older than this makes an instance compare and recall
	grantEvery     = 100 * time.Millisecond // interval of small grants to one asker
	largeGrant     = 8                      // slots that are granted without waiting for the interval
	customersAfter = 100 * time.Millisecond // own queue older than this makes an instance tell the work of its customers
	customerBytes  = 12                     // of one customer's work in a message
	customerBudget = 5_000                  // bytes a second for the work of customers
	maxHints       = 6                      // third instances that a message tells of
	maxAsk         = 64                     // slots asked of one peer at a time
	headroomSpread = 0.25                   // free slots kept for the next tasks, in square roots of the load
	shareSlack     = 0.05                   // part above its share that an instance keeps before it gives way
	messageBudget  = 0.19                   // messages a start, on average
	messageBurst   = 200.0                  // most messages that may be saved up
	messageStart   = 30.0                   // messages that a new instance may send
	messageFloor   = 1.0                    // least messages a second that the budget allows
	tokensAsk      = 1.0                    // messages left in the budget that an ask needs
	tokensSearch   = 50                     // the same for an ask to a peer that is not known to have free slots
	tokensReturn   = 0                      // the same for a grant to a standing ask, and for the return of idle slots
	unknownFree    = 4                      // free slots expected of a peer that said nothing
)

// lending is this instance's part in the lending of slots.
type lending struct {
	tokens       float64 // messages that may be sent; answers may overdraw it
	refilled     model.Time
	counted      uint64 // starts that have brought tokens
	window       model.Time
	queuedAt     model.Time // since when tasks wait without a free slot, 0 if none
	sharesAt     model.Time
	ownShare     float64
	loads        []*peerpb.CustomerLoad // as told to peers last
	loadsAt      model.Time
	localWeights bool
	level        map[model.Customer]float64 // part of each customer's work that is within its share
	pending      []*peer
	lentTotal    int
}

// tickLending returns idle slots, recalls and grants, and renews loans.
func (s *Scheduler) tickLending(now model.Time) {
	s.refill(now)
	if s.noLending() || len(s.peers) == 0 {
		return
	}
	s.returnIdle(now)
	s.balance(now)
	s.serveStanding(now)
	s.seekSlots(now)
	s.keepLoans(now)
}
