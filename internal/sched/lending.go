package sched

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

const (
	idleLoanTimeout            = 300 * time.Millisecond // unneeded borrowed slots are returned after this
	loanRenewInterval          = 3 * time.Second
	loanTimeout                = 8 * time.Second        // a lender revokes the loans of a borrower that it has not heard from for this long
	grantAckTimeout            = 500 * time.Millisecond // an unacknowledged grant is considered lost
	requestReplyTimeout        = 5 * time.Millisecond   // an unanswered request counts as unmet from then on
	requestTTL                 = 200 * time.Millisecond // an unmet request stays pending this long
	loanReclaimDelay           = time.Second            // a lender revokes the loans of a borrower this long after it left the peer list
	peerFreeMaxAge             = time.Second            // older reports of free slots are replaced by assumedFreeSlots
	hintMaxAge                 = 300 * time.Millisecond // older reports are not passed on as hints
	searchDelay                = 2 * time.Millisecond   // tasks waiting longer than this cause requests to peers that reported no free slots
	recallInterval             = 200 * time.Millisecond
	returnInterval             = 60 * time.Millisecond  // of messages that return recalled slots
	shareInterval              = 200 * time.Millisecond // of comparing held slots with weighted demand
	shareDelay                 = 300 * time.Millisecond // tasks waiting longer than this cause a comparison and recalls
	smallGrantInterval         = 100 * time.Millisecond // for each borrower
	largeGrantSlots            = 8                      // granted without waiting for smallGrantInterval
	customerLoadDelay          = 100 * time.Millisecond // tasks waiting longer than this cause reports of the customers' work
	customerLoadBytes          = 12                     // size of one customer's work in a message
	customerLoadBytesPerSecond = 5_000
	maxHints                   = 6    // peers that one message reports on
	maxRequestSlots            = 64   // per request
	headroomFactor             = 0.25 // free slots kept for the next tasks, in square roots of the load
	shareSlack                 = 0.05 // fraction above its share that an instance keeps
	messagesPerStart           = 0.19 // added to the message budget for each start
	maxSavedMessages           = 200.0
	initialMessages            = 30.0 // budget of a new instance
	minMessagesPerSecond       = 1.0
	requestTokens              = 1.0 // budget left that a request needs
	searchTokens               = 50  // budget left that a request to a peer without known free slots needs
	returnTokens               = 0   // budget left that granting a pending request or returning idle slots needs
	assumedFreeSlots           = 4   // assumed for a peer without a recent report
)

// lending is the state of lending and borrowing slots.
type lending struct {
	tokens           float64 // message budget; replies may overdraw it
	refilledAt       model.Time
	countedStarts    uint64 // starts already credited to the message budget
	windowStart      model.Time
	blockedSince     model.Time // since when tasks wait without a free slot, 0 if none
	sharesComputedAt model.Time
	fairShare        float64
	customerLoads    []*peerpb.CustomerLoad // as last sent to peers
	customerLoadsAt  model.Time
	weightsAdjusted  bool
	satisfied        map[model.Customer]float64 // fraction of each customer's work that its fair share covers
	pendingPeers     []*peer
	totalLent        int
}

// tickLending returns idle slots, recalls and grants slots, and renews loans.
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
