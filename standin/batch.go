// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"container/heap"
	"context"
	"sync"
)

// This file defines batch, the slots of an engine with a queue in front that
// honours priorities.

type batch struct {
	mu      sync.Mutex
	free    int
	running int
	most    int // highest number ever running
	seq     int
	waiting waitHeap
}

func newBatch(slots int) *batch { return &batch{free: slots} }

// enter waits for a place, lower priority numbers first.
func (b *batch) enter(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.free > 0 {
		b.take()
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &waiting{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		b.abandon(w)
		return ctx.Err()
	}
}

func (b *batch) take() {
	b.free--
	b.running++
	b.most = max(b.most, b.running)
}

// leave frees a place for the next in the queue.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free++
	b.running--
	if b.waiting.Len() > 0 {
		w := heap.Pop(&b.waiting).(*waiting)
		b.take()
		close(w.ready)
	}
}

func (b *batch) abandon(w *waiting) {
	b.mu.Lock()
	select {
	case <-w.ready: // it got its place meanwhile
		b.mu.Unlock()
		b.leave()
		return
	default:
	}
	heap.Remove(&b.waiting, w.index)
	b.mu.Unlock()
}

func (b *batch) load() (running, waiting, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.waiting.Len(), b.most
}

type waiting struct {
	priority, seq, index int
	ready                chan struct{}
}

type waitHeap []*waiting

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *waitHeap) Push(x any) {
	w := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
