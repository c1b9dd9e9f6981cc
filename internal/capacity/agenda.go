package capacity

import (
	"container/heap"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// agenda runs actions in the order of virtual time, equal times in the order
// of their adding.
type agenda struct {
	now   model.Time
	items agendaHeap
	order uint64
}

type agendaItem struct {
	at    model.Time
	order uint64
	act   func()
}

func (a *agenda) add(at model.Time, act func()) {
	a.order++
	heap.Push(&a.items, agendaItem{at, a.order, act})
}

// runUntil performs what is due before the end.
func (a *agenda) runUntil(end model.Time) {
	for len(a.items) > 0 && a.items[0].at < end {
		it := heap.Pop(&a.items).(agendaItem)
		a.now = it.at
		it.act()
	}
	a.now = end
}

type agendaHeap []agendaItem

func (h agendaHeap) Len() int { return len(h) }
func (h agendaHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h agendaHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *agendaHeap) Push(v any)   { *h = append(*h, v.(agendaItem)) }
func (h *agendaHeap) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}
