package sched

import (
	"math"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// unmet is the number of waiting tasks that only lack a slot.
func (s *Scheduler) unmet() int {
	n := s.queue.waiting
	for _, f := range s.parkedLong.items {
		n -= f.waiting
	}
	for _, l := range s.limits.list {
		for _, f := range l.parked.items {
			n -= f.waiting
		}
	}
	return max(0, n)
}

// spareElsewhere is the number of free slots that peers told of lately.
func (s *Scheduler) spareElsewhere() int {
	n := 0
	for _, p := range s.live {
		n += p.believedFree(s.now)
	}
	if s.noLending() {
		return 0
	}
	return n
}

func (p *peer) believedFree(now model.Time) int {
	if p.freeAt == 0 || now.Sub(p.freeAt) > beliefAge {
		return unknownFree
	}
	return p.free
}

// seekSlots asks peers for slots when tasks wait and none is free.
func (s *Scheduler) seekSlots(now model.Time) {
	if s.noLending() || len(s.live) == 0 {
		return
	}
	need := s.need(now)
	if need == 0 {
		return
	}
	for _, p := range s.live {
		if now.Sub(p.askedAt) < askAnswer {
			need -= p.askedFor
		}
	}
	patient := s.lend.queuedAt == 0 || now.Sub(s.lend.queuedAt) < queuePatience
	for need > 0 && s.lend.tokens >= tokensAsk {
		p := s.bestLender(now, need, patient)
		if p == nil {
			return
		}
		n := min(need, maxAsk)
		if f := p.believedFree(now); f > 0 {
			n = min(n, max(f, unknownFree))
		}
		s.askPeer(now, p, n)
		need -= n
	}
}

// need is the number of slots that this instance lacks: for the tasks that
// wait, and some more for those that come next.
func (s *Scheduler) need(now model.Time) int {
	n := s.unmet()
	room := s.headroom()
	waits := n > 0 && s.index.total == 0
	if !waits {
		s.lend.queuedAt = 0
	} else if s.lend.queuedAt == 0 {
		s.lend.queuedAt = now
	}
	switch {
	case waits:
		return n + room
	case s.index.total < room/2:
		return room - s.index.total
	}
	return 0
}

// bestLender returns the peer without a standing ask that can meet most of
// the need, one of the own domain among equals.
func (s *Scheduler) bestLender(now model.Time, need int, patient bool) *peer {
	var best *peer
	score := 0
	for _, p := range s.live {
		if p.askedAt != 0 && now.Sub(p.askedAt) < askStands {
			continue
		}
		free := p.believedFree(now)
		if free == 0 && (patient || s.lend.tokens < tokensSearch) {
			continue
		}
		x := 2 + 2*min(free, need)
		if p.Domain == s.opts.Domain {
			x++
		}
		if x > score {
			best, score = p, x
		}
	}
	return best
}

func (s *Scheduler) askPeer(now model.Time, p *peer, n int) {
	p.askOut++
	p.askedFor = n
	p.askedAt = now
	p.free = max(0, p.free-n)
	s.message(p).Ask = &peerpb.SlotAsk{Id: p.askOut, Want: uint32(n)}
}

// serve grants free slots to a peer that asks, at least least of them.
func (s *Scheduler) serve(now model.Time, p *peer, least int) {
	if p.ask.want <= 0 || now >= p.ask.until {
		return
	}
	n := min(p.ask.want, s.available(p))
	if n < least {
		return
	}
	back := n
	s.returnFree(p, &back)
	p.ask.want -= n - back
	n = min(back, s.lendable())
	for _, v := range s.list {
		if n <= 0 {
			return
		}
		if !v.owned {
			continue
		}
		if k := min(n, v.free()); k > 0 {
			s.lendSlot(p, v, k)
			n -= k
		}
	}
}

func (s *Scheduler) refill(now model.Time) {
	l := &s.lend
	if l.refilled != 0 {
		l.tokens += messageFloor * now.Sub(l.refilled).Seconds()
	} else {
		l.tokens = messageBurst
	}
	l.refilled = now
	l.tokens += messageBudget * float64(s.starts-l.counted)
	l.counted = s.starts
	l.tokens = math.Min(l.tokens, messageBurst)
}

func (s *Scheduler) serveStanding(now model.Time) {
	if s.lend.tokens < tokensReturn {
		return
	}
	for _, p := range s.live {
		if p.ask.want == 0 {
			continue
		}
		least := largeGrant
		if now.Sub(p.grantAt) >= grantEvery {
			least = 1
		}
		s.serve(now, p, min(least, p.ask.want))
	}
}
