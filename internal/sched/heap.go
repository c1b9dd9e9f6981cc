package sched

// heapItem is an element that knows its position in an indexed heap.
type heapItem[T any] interface {
	before(T) bool
	position() *int
}

// heap is a binary heap whose elements can be fixed and removed in place.
type heap[T heapItem[T]] struct {
	items []T
}

const notInHeap = -1

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) pop() T {
	x := h.items[0]
	h.remove(x)
	return x
}

func (h *heap[T]) remove(x T) {
	i := *x.position()
	last := len(h.items) - 1
	h.items[i] = h.items[last]
	*h.items[i].position() = i
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*x.position() = notInHeap
	if i < last {
		h.fixAt(i)
	}
}

func (h *heap[T]) fix(x T) { h.fixAt(*x.position()) }

func (h *heap[T]) fixAt(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	x := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !x.before(h.items[parent]) {
			break
		}
		h.items[i] = h.items[parent]
		*h.items[i].position() = i
		i = parent
	}
	h.items[i] = x
	*x.position() = i
}

func (h *heap[T]) down(i int) bool {
	start := i
	x := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if r := child + 1; r < len(h.items) && h.items[r].before(h.items[child]) {
			child = r
		}
		if !h.items[child].before(x) {
			break
		}
		h.items[i] = h.items[child]
		*h.items[i].position() = i
		i = child
	}
	h.items[i] = x
	*x.position() = i
	return i > start
}
