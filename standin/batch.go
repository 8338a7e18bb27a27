// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"sync/atomic"
)

// This file defines batch, the slots of an engine with a queue in front.

type batch struct {
	slots   chan struct{} // holds one element for each running request
	entered atomic.Int64  // running and waiting requests
}

func newBatch(slots int) *batch { return &batch{slots: make(chan struct{}, slots)} }

// enter waits for a slot, in order of arrival.
func (b *batch) enter(ctx context.Context) error {
	b.entered.Add(1)
	select {
	case b.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		b.entered.Add(-1)
		return ctx.Err()
	}
}

// leave frees a slot for the next in the queue.
func (b *batch) leave() {
	<-b.slots
	b.entered.Add(-1)
}

func (b *batch) running() int { return len(b.slots) }

// waiting is the number of requests without a slot. Its two figures are not
// read at one moment: a request that ends between them must not count below 0.
func (b *batch) waiting() int { return max(int(b.entered.Load())-len(b.slots), 0) }
