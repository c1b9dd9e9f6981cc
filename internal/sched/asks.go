package sched

import (
	"math"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
)

// unmet is the number of waiting tasks that only lack a slot: neither held
// back by a limit nor beyond the bound of long work.
func (s *Scheduler) unmet() int {
	long := s.queue.long
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
		long = min(long, s.runs.longCap-s.runs.long)
	}
	return max(0, short) + max(0, long)
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
// the need, one of the own domain among equals. While nobody is known to have
// free slots, and among equals else, the one asked longest ago comes first: what
// a peer answers may be out of date before the next ask, and asking the same one
// again would leave tasks waiting beside the free slots of others.
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
		x := 2 * min(free, need)
		if free > 0 && p.Domain == s.opts.Domain {
			x++
		}
		if best == nil || x > score || x == score && p.askedAt < best.askedAt {
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
	n = s.lendOwn(p, min(back, s.lendable()))
	s.passOn(p, n)
}

// lendOwn lends free own slots to a peer, and returns how many are missing.
func (s *Scheduler) lendOwn(p *peer, n int) int {
	for _, v := range s.list {
		if n <= 0 {
			return 0
		}
		if v.owned {
			n -= s.lendFree(p, v, n)
		}
	}
	return n
}

// passOn lends free borrowed slots to a peer. Slots that the peer owns or that
// were passed on before are left out.
func (s *Scheduler) passOn(p *peer, n int) {
	for _, q := range s.live {
		for _, v := range q.borrows {
			if n <= 0 {
				return
			}
			if q != p && v.lendable() {
				n -= s.lendFree(p, v, n)
			}
		}
	}
}

// lendFree lends up to n free slots of a server, and returns how many.
func (s *Scheduler) lendFree(p *peer, v *server, n int) int {
	k := min(n, v.free())
	if k > 0 {
		s.lendSlot(p, v, k)
	}
	return k
}

func (s *Scheduler) refill(now model.Time) {
	l := &s.lend
	if l.refilled == 0 {
		l.tokens = messageStart
	} else {
		least := messageFloor * now.Sub(l.refilled).Seconds()
		l.tokens += math.Max(least, messageBudget*float64(s.starts-l.counted))
	}
	l.refilled = now
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
