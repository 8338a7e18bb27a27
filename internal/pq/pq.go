// SPDX-License-Identifier: Apache-2.0

// Package pq is a priority queue whose items hold their place, so that one can
// be moved or taken out in O(log n). It puts types and the place over
// container/heap, which four tables of this project need in the same way.
package pq

import "container/heap"

// Absent is the place of an item that is in no queue.
const Absent = -1

// Queue orders items by less, lowest first. An item's place is kept where
// place points to; it must be [Absent] before the item's first Push.
type Queue[T any] struct{ h heaped[T] }

// New returns an empty queue. less must be total, so that the order does not
// depend on the history.
func New[T any](less func(a, b T) bool, place func(T) *int) *Queue[T] {
	return &Queue[T]{heaped[T]{less: less, place: place}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.h.items) }

// Min returns the lowest item of a queue that is not empty.
func (q *Queue[T]) Min() T { return q.h.items[0] }

// All returns the items in no order. The caller must not change the slice.
func (q *Queue[T]) All() []T { return q.h.items }

// Has reports whether x is in the queue.
func (q *Queue[T]) Has(x T) bool { return *q.h.place(x) != Absent }

// Set puts x where it belongs: a new item, or one whose order has changed.
func (q *Queue[T]) Set(x T) {
	if q.Has(x) {
		heap.Fix(&q.h, *q.h.place(x))
		return
	}
	heap.Push(&q.h, x)
}

// Remove takes x out, if it is in the queue.
func (q *Queue[T]) Remove(x T) {
	if q.Has(x) {
		heap.Remove(&q.h, *q.h.place(x))
	}
}

// Pop takes out and returns the lowest item of a queue that is not empty.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.h).(T) }

// heaped is what container/heap works on.
type heaped[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int
}

var _ heap.Interface = (*heaped[int])(nil)

func (h *heaped[T]) Len() int           { return len(h.items) }
func (h *heaped[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *heaped[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]), *h.place(h.items[j]) = i, j
}

func (h *heaped[T]) Push(x any) {
	*h.place(x.(T)) = len(h.items)
	h.items = append(h.items, x.(T))
}

func (h *heaped[T]) Pop() any {
	last := len(h.items) - 1
	x := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.place(x) = Absent
	return x
}
