package fleet

import (
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// maxCapacityAge is how old a capacity may become while the store is away: less than
// two heartbeats of a server, so that its owner knows as soon as if it read them.
const maxCapacityAge = 2500 * time.Millisecond

// polledCapacity is the capacity that a server told in its last reply to a poll.
type polledCapacity struct {
	known    bool
	capacity model.Resources
	bootMs   int64 // incarnation that told it
	clockMs  int64 // when it did, on that incarnation's clock
}

// capacity returns the server's capacity as it told last, in a poll or in the store's
// list. A capacity may change while the server runs.
func (s *server) capacity() model.Resources {
	if s.polledCapacityCounts() {
		return s.polledCapacity.capacity
	}
	return s.entry.Capacity
}

// polledCapacityCounts reports whether the last poll is newer than the entry: of this
// incarnation, and answered after the entry was written.
func (s *server) polledCapacityCounts() bool {
	p := &s.polledCapacity
	former := s.entry.BootMs != 0 && s.entry.BootMs == s.life.formerMs
	return p.known && p.bootMs == s.life.bootMs && (former || s.entry.BootMs <= p.bootMs && p.clockMs >= s.entry.ReportedAtMs)
}

// capacityUnknown reports whether the server hasn't told its capacity in this life.
func (s *server) capacityUnknown() bool { return s.entryOutdated() && !s.polledCapacityCounts() }

// capacityUnsettled reports whether the last poll and the list differ. Polls go on until
// they agree, as a list that says the same as before isn't noticed.
func (s *server) capacityUnsettled() bool {
	return s.polledCapacityCounts() && s.polledCapacity.capacity != s.entry.Capacity
}

// capacityOutdated reports whether a server whose replies tell its capacity hasn't replied
// for some time, as it runs nothing.
func (s *server) capacityOutdated(now Time) bool {
	return s.polledCapacity.known && now.Sub(s.repliedAt) > maxCapacityAge
}

// recordCapacity records the capacity in a reply to a poll.
func (s *server) recordCapacity(e PollReply) {
	if e.Capacity != nil {
		s.polledCapacity = polledCapacity{true, *e.Capacity, e.BootMs, e.ClockMs}
	}
}
