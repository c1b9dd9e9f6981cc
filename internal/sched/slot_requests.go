package sched

import (
	"math"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// unmetDemand is the number of waiting tasks that lack only a slot: neither
// throttled by a limit nor beyond the bound on long tasks.
func (s *Scheduler) unmetDemand() int {
	long := s.queue.waitingLong
	short := s.queue.waiting - long
	for _, l := range s.limits.list {
		for _, f := range l.parked.items {
			if f.kindState.long {
				long -= f.waiting
			} else {
				short -= f.waiting
			}
		}
	}
	if !s.opts.Mode.NoReserve {
		long = min(long, s.runs.maxLong-s.runs.long)
	}
	return max(0, short) + max(0, long)
}

// peerFreeSlots is the number of free slots that peers reported recently, or
// that are assumed for them.
func (s *Scheduler) peerFreeSlots() int {
	n := 0
	for _, p := range s.livePeers {
		n += p.estimatedFree(s.now)
	}
	if s.lendingDisabled() {
		return 0
	}
	return n
}

func (p *peer) estimatedFree(now model.Time) int {
	if p.freeAt == 0 || now.Sub(p.freeAt) > peerFreeMaxAge {
		return assumedFreeSlots
	}
	return p.free
}

// requestSlots requests slots from peers when tasks wait and no slot is free.
func (s *Scheduler) requestSlots(now model.Time) {
	if s.lendingDisabled() || len(s.livePeers) == 0 {
		return
	}
	need := s.slotsNeeded(now)
	if need == 0 {
		return
	}
	for _, p := range s.livePeers {
		if now.Sub(p.requestSentAt) < requestReplyTimeout {
			need -= p.requestedSlots
		}
	}
	beforeSearch := s.lending.blockedSince == 0 || now.Sub(s.lending.blockedSince) < searchDelay
	for need > 0 && s.lending.tokens >= requestTokens {
		p := s.bestLender(now, need, beforeSearch)
		if p == nil {
			return
		}
		n := min(need, maxRequestSlots)
		if f := p.estimatedFree(now); f > 0 {
			n = min(n, max(f, assumedFreeSlots))
		}
		s.requestFrom(now, p, n)
		need -= n
	}
}

// slotsNeeded is the number of slots this instance lacks, for waiting tasks
// and as headroom for the next ones.
func (s *Scheduler) slotsNeeded(now model.Time) int {
	n := s.unmetDemand()
	room := s.headroom()
	waits := n > 0 && s.index.free == 0
	if !waits {
		s.lending.blockedSince = 0
	} else if s.lending.blockedSince == 0 {
		s.lending.blockedSince = now
	}
	switch {
	case waits:
		return n + room
	case s.index.free < room/2:
		return room - s.index.free
	}
	return 0
}

// bestLender returns the peer without a pending request that can meet most of
// the need, preferring its own domain among equals. Remaining ties, and peers
// without known free slots, go to the one least recently sent a request: what a
// peer reports may be outdated by the next request, and requesting from the same
// one again would leave tasks waiting while others have free slots.
func (s *Scheduler) bestLender(now model.Time, need int, beforeSearch bool) *peer {
	var best *peer
	score := 0
	for _, p := range s.livePeers {
		if p.requestSentAt != 0 && now.Sub(p.requestSentAt) < requestTTL {
			continue
		}
		free := p.estimatedFree(now)
		if free == 0 && (beforeSearch || s.lending.tokens < searchTokens) {
			continue
		}
		x := 2 * min(free, need)
		if free > 0 && p.Domain == s.opts.Domain {
			x++
		}
		if best == nil || x > score || x == score && p.requestSentAt < best.requestSentAt {
			best, score = p, x
		}
	}
	return best
}

func (s *Scheduler) requestFrom(now model.Time, p *peer, n int) {
	p.lastRequestSent++
	p.requestedSlots = n
	p.requestSentAt = now
	p.free = max(0, p.free-n)
	s.messageTo(p).Ask = &peerpb.SlotAsk{Id: p.lastRequestSent, Want: uint32(n)}
}

// grantSlots grants free slots for a peer's request, unless fewer than
// minGrant are free.
func (s *Scheduler) grantSlots(now model.Time, p *peer, minGrant int) {
	if p.request.want <= 0 || now >= p.request.expiresAt {
		return
	}
	n := min(p.request.want, s.availableTo(p))
	if n < minGrant {
		return
	}
	remaining := n
	s.returnFreeSlots(p, &remaining)
	p.request.want -= n - remaining
	n = s.lendOwned(p, min(remaining, s.lendable()))
	s.relendBorrowed(p, n)
}

// lendOwned lends free owned slots to a peer and returns the shortfall.
func (s *Scheduler) lendOwned(p *peer, n int) int {
	for _, v := range s.serverList {
		if n <= 0 {
			return 0
		}
		if v.owned {
			n -= s.lendFree(p, v, n)
		}
	}
	return n
}

// relendBorrowed lends free borrowed slots to a peer, except slots that the
// peer owns or that were already re-lent.
func (s *Scheduler) relendBorrowed(p *peer, n int) {
	for _, q := range s.livePeers {
		for _, v := range q.borrowedServers {
			if n <= 0 {
				return
			}
			if q != p && v.lendable() {
				n -= s.lendFree(p, v, n)
			}
		}
	}
}

// lendFree lends up to n free slots of a server and returns the number lent.
func (s *Scheduler) lendFree(p *peer, v *server, n int) int {
	k := min(n, v.free())
	if k > 0 {
		s.lendSlots(p, v, k)
	}
	return k
}

func (s *Scheduler) refillMessageBudget(now model.Time) {
	l := &s.lending
	if l.refilledAt == 0 {
		l.tokens = initialMessages
	} else {
		minTokens := minMessagesPerSecond * now.Sub(l.refilledAt).Seconds()
		l.tokens += math.Max(minTokens, messagesPerStart*float64(s.starts-l.countedStarts))
	}
	l.refilledAt = now
	l.countedStarts = s.starts
	l.tokens = math.Min(l.tokens, maxSavedMessages)
}

func (s *Scheduler) grantPending(now model.Time) {
	if s.lending.tokens < returnTokens {
		return
	}
	for _, p := range s.livePeers {
		if p.request.want == 0 {
			continue
		}
		minGrant := largeGrantSlots
		if now.Sub(p.grantSentAt) >= smallGrantInterval {
			minGrant = 1
		}
		s.grantSlots(now, p, min(minGrant, p.request.want))
	}
}
