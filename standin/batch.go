// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"sync/atomic"
)

// This file defines batch, which limits the number of concurrent requests and queues the others.

// batch holds the slots of an engine and the queue of requests that wait for one.
type batch struct {
	slots   chan struct{} // one element per running request
	entered atomic.Int64  // number of running and waiting requests
}

func newBatch(slots int) *batch { return &batch{slots: make(chan struct{}, slots)} }

// enter waits for a slot. Requests get slots in order of arrival.
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

// leave releases a slot to the next request in the queue.
func (b *batch) leave() {
	<-b.slots
	b.entered.Add(-1)
}

func (b *batch) running() int { return len(b.slots) }

// waiting returns the number of requests without a slot. The two counts are not read atomically, so
// the difference could become negative when a request ends between the reads.
func (b *batch) waiting() int { return max(int(b.entered.Load())-len(b.slots), 0) }
