// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"sync"

	"github.com/badgerspoke/badgerspoke/internal/pq"
)

// This file defines batch, the slots of an engine with a queue in front that
// honours priorities.

type batch struct {
	mu      sync.Mutex
	free    int
	running int
	most    int // highest number ever running
	seq     int
	waiting *pq.Queue[*waiting]
}

func newBatch(slots int) *batch {
	return &batch{free: slots, waiting: pq.New(goesFirst, func(w *waiting) *int { return &w.place })}
}

// enter waits for a place, lower priority numbers first.
func (b *batch) enter(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.free > 0 {
		b.take()
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &waiting{priority: priority, seq: b.seq, place: pq.Absent, ready: make(chan struct{})}
	b.waiting.Set(w)
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
		w := b.waiting.Pop()
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
	b.waiting.Remove(w)
	b.mu.Unlock()
}

func (b *batch) load() (running, waiting, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.waiting.Len(), b.most
}

type waiting struct {
	priority, seq, place int
	ready                chan struct{}
}

// goesFirst orders by priority, then by arrival.
func goesFirst(a, b *waiting) bool {
	return a.priority < b.priority || (a.priority == b.priority && a.seq < b.seq)
}
