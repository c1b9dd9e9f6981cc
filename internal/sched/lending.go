package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

const (
	idleLoanTimeout            = 300 * time.Millisecond // a borrowed slot that was not needed for so long goes back
	loanRenewInterval          = 3 * time.Second        // interval of the messages that renew loans
	loanTimeout                = 8 * time.Second        // a lender takes slots back from a borrower silent for so long
	grantAckTimeout            = 500 * time.Millisecond // a grant without an acknowledgement is taken for lost
	requestReplyTimeout        = 5 * time.Millisecond   // an ask that is not answered within this time counts as unmet for now
	requestTTL                 = 200 * time.Millisecond // an ask that was not met stands for so long
	loanReclaimDelay           = time.Second            // a lender takes slots back from a borrower that left the list
	peerFreeMaxAge             = time.Second            // what a peer said about its free slots counts for so long
	hintMaxAge                 = 300 * time.Millisecond // what is known of a third instance is passed on for so long
	searchDelay                = 2 * time.Millisecond   // own queue older than this makes an instance ask peers that said they have nothing
	recallInterval             = 200 * time.Millisecond
	returnInterval             = 60 * time.Millisecond  // interval of the messages that return recalled slots
	shareInterval              = 200 * time.Millisecond // interval of the comparison of slots with weighted demand
	shareDelay                 = 300 * time.Millisecond // own queue older than this makes an instance compare and recall
	smallGrantInterval         = 100 * time.Millisecond // interval of small grants to one asker
	largeGrantSlots            = 8                      // slots that are granted without waiting for the interval
	customerLoadDelay          = 100 * time.Millisecond // own queue older than this makes an instance tell the work of its customers
	customerLoadBytes          = 12                     // of one customer's work in a message
	customerLoadBytesPerSecond = 5_000                  // bytes a second for the work of customers
	maxHints                   = 6                      // third instances that a message tells of
	maxRequestSlots            = 64                     // slots asked of one peer at a time
	headroomFactor             = 0.25                   // free slots kept for the next tasks, in square roots of the load
	shareSlack                 = 0.05                   // part above its share that an instance keeps before it gives way
	messagesPerStart           = 0.19                   // messages a start, on average
	maxSavedMessages           = 200.0                  // most messages that may be saved up
	initialMessages            = 30.0                   // messages that a new instance may send
	minMessagesPerSecond       = 1.0                    // least messages a second that the budget allows
	requestTokens              = 1.0                    // messages left in the budget that an ask needs
	searchTokens               = 50                     // the same for an ask to a peer that is not known to have free slots
	returnTokens               = 0                      // the same for a grant to a standing ask, and for the return of idle slots
	assumedFreeSlots           = 4                      // free slots expected of a peer that said nothing
)

// lending is this instance's part in the lending of slots.
type lending struct {
	tokens           float64 // messages that may be sent; answers may overdraw it
	refilledAt       model.Time
	countedStarts    uint64 // starts that have brought tokens
	windowStart      model.Time
	blockedSince     model.Time // since when tasks wait without a free slot, 0 if none
	sharesComputedAt model.Time
	fairShare        float64
	customerLoads    []*peerpb.CustomerLoad // as told to peers last
	customerLoadsAt  model.Time
	weightsAdjusted  bool
	satisfied        map[model.Customer]float64 // part of each customer's work that is within its share
	pendingPeers     []*peer
	totalLent        int
}

// tickLending returns idle slots, recalls and grants, and renews loans.
func (s *Scheduler) tickLending(now model.Time) {
	s.refillMessageBudget(now)
	if s.lendingDisabled() || len(s.peers) == 0 {
		return
	}
	s.returnIdleSlots(now)
	s.rebalance(now)
	s.grantPending(now)
	s.requestSlots(now)
	s.maintainLoans(now)
}
