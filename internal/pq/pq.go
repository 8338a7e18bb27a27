// SPDX-License-Identifier: Apache-2.0

// Package pq implements a priority queue on container/heap. Items store their position, so that any
// item can be reordered or removed in O(log n).
package pq

import "container/heap"

// Absent is the position of an item that is in no queue.
const Absent = -1

// Queue orders items by less, lowest first. It stores the position of an item in the variable to
// which index returns a pointer, which must be [Absent] before the item is added for the first time.
type Queue[T any] struct{ h positionHeap[T] }

// New returns an empty queue. less must be a total order; otherwise the order of equal items would
// depend on earlier operations.
func New[T any](less func(a, b T) bool, index func(T) *int) *Queue[T] {
	return &Queue[T]{positionHeap[T]{less: less, index: index}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.h.items) }

// Min returns the lowest item without removing it. The queue must not be empty.
func (q *Queue[T]) Min() T { return q.h.items[0] }

// All returns the items in unspecified order. The caller must not modify the slice.
func (q *Queue[T]) All() []T { return q.h.items }

// Has reports whether x is in the queue.
func (q *Queue[T]) Has(x T) bool { return *q.h.index(x) != Absent }

// PushOrFix adds x, or moves it to its new position if it is in the queue and its order has changed.
func (q *Queue[T]) PushOrFix(x T) {
	if q.Has(x) {
		heap.Fix(&q.h, *q.h.index(x))
		return
	}
	heap.Push(&q.h, x)
}

// Remove removes x if it is in the queue.
func (q *Queue[T]) Remove(x T) {
	if q.Has(x) {
		heap.Remove(&q.h, *q.h.index(x))
	}
}

// Pop removes and returns the lowest item. The queue must not be empty.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.h).(T) }

// positionHeap implements [heap.Interface].
type positionHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

var _ heap.Interface = (*positionHeap[int])(nil)

func (h *positionHeap[T]) Len() int           { return len(h.items) }
func (h *positionHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *positionHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]), *h.index(h.items[j]) = i, j
}

func (h *positionHeap[T]) Push(x any) {
	*h.index(x.(T)) = len(h.items)
	h.items = append(h.items, x.(T))
}

func (h *positionHeap[T]) Pop() any {
	last := len(h.items) - 1
	x := h.items[last]
	var zero T
	h.items[last] = zero // allows garbage collection of the item
	h.items = h.items[:last]
	*h.index(x) = Absent
	return x
}
