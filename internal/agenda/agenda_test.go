package agenda

import (
	"slices"
	"testing"
)

func TestQueueOrders(t *testing.T) {
	var q Queue[int, string]
	for i, at := range []int{3, 1, 2, 1, 3, 1} {
		q.Push(at, string(rune('a'+i)))
	}
	if q.NextAt() != 1 || q.Len() != 6 {
		t.Fatalf("next at %d of %d items", q.NextAt(), q.Len())
	}
	var got []string
	for q.Len() > 0 {
		due := q.NextAt()
		at, v := q.Pop()
		if at != due {
			t.Errorf("%s popped at %d, was due at %d", v, at, due)
		}
		got = append(got, v)
		if v == "b" {
			q.Push(2, "late")
		}
	}
	if want := []string{"b", "d", "f", "c", "late", "a", "e"}; !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", got, want)
	}
}
