package capacity

import (
	"github.com/nutmegweir/nutmegweir/internal/agenda"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// timeline runs actions in the order of virtual time, equal times in the order
// of their adding.
type timeline struct {
	now   model.Time
	queue agenda.Queue[model.Time, func()]
}

func (l *timeline) schedule(at model.Time, act func()) { l.queue.Push(at, act) }

// runUntil performs what is due before the end.
func (l *timeline) runUntil(end model.Time) {
	for l.queue.Len() > 0 && l.queue.NextAt() < end {
		at, act := l.queue.Pop()
		l.now = at
		act()
	}
	l.now = end
}
