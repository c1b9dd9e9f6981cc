// Package agenda provides a queue ordered by due time.
package agenda

import (
	"cmp"
	"container/heap"
)

// Queue is a priority queue of items by due time. Items due at the same time keep
// the order in which they were pushed. The zero value is an empty queue.
type Queue[At cmp.Ordered, T any] struct {
	items   items[At, T]
	lastSeq uint64
}

// Len returns the number of items.
func (q *Queue[At, T]) Len() int { return len(q.items) }

// Push adds an item that is due at the given time.
func (q *Queue[At, T]) Push(at At, v T) {
	q.lastSeq++
	heap.Push(&q.items, item[At, T]{at: at, seq: q.lastSeq, value: v})
}

// NextAt returns when the next item is due. The queue must not be empty.
func (q *Queue[At, T]) NextAt() At { return q.items[0].at }

// Pop removes and returns the next item. The queue must not be empty.
func (q *Queue[At, T]) Pop() (At, T) {
	x := heap.Pop(&q.items).(item[At, T])
	return x.at, x.value
}

type item[At cmp.Ordered, T any] struct {
	at    At
	seq   uint64
	value T
}

// items implements heap.Interface.
type items[At cmp.Ordered, T any] []item[At, T]

func (s items[At, T]) Len() int { return len(s) }

func (s items[At, T]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}

func (s items[At, T]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *items[At, T]) Push(x any) { *s = append(*s, x.(item[At, T])) }

func (s *items[At, T]) Pop() any {
	old := *s
	last := len(old) - 1
	x := old[last]
	old[last] = item[At, T]{}
	*s = old[:last]
	return x
}
