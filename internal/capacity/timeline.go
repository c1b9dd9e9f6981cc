package capacity

import (
	"github.com/nutmegweir/nutmegweir/internal/agenda"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// timeline runs actions in the order of virtual time, those of equal time in the
// order in which they were scheduled.
type timeline struct {
	now   model.Time
	queue agenda.Queue[model.Time, func()]
}

func (l *timeline) schedule(at model.Time, act func()) { l.queue.Push(at, act) }

// runUntil runs the actions that are due before end.
func (l *timeline) runUntil(end model.Time) {
	for l.queue.Len() > 0 && l.queue.NextAt() < end {
		at, act := l.queue.Pop()
		l.now = at
		act()
	}
	l.now = end
}
