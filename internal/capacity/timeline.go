package capacity

import (
	"github.com/nutmegweir/nutmegweir/internal/agenda"
	"github.com/nutmegweir/nutmegweir/internal/model"
)

// timeline runs actions in the order of virtual time, equal times in the order
// of their adding.
type timeline struct {
	now  model.Time
	todo agenda.Queue[model.Time, func()]
}

func (l *timeline) add(at model.Time, act func()) { l.todo.Push(at, act) }

// runUntil performs what is due before the end.
func (l *timeline) runUntil(end model.Time) {
	for l.todo.Len() > 0 && l.todo.NextAt() < end {
		at, act := l.todo.Pop()
		l.now = at
		act()
	}
	l.now = end
}
