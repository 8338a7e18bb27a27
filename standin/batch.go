// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"sync/atomic"
)

// This file defines batch, which limits the number of concurrent requests and queues the others.

// batch holds the slots of an engine and the queue of requests that wait for one.
type batch struct {
	slots chan struct{} // one element per running request
	total atomic.Int64  // number of running and waiting requests
}

func newBatch(slots int) *batch { return &batch{slots: make(chan struct{}, slots)} }

// acquire waits for a slot. Requests get slots in order of arrival.
func (b *batch) acquire(ctx context.Context) error {
	b.total.Add(1)
	select {
	case b.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		b.total.Add(-1)
		return ctx.Err()
	}
}

// release passes a slot to the next request in the queue, or frees it if there is none.
func (b *batch) release() {
	<-b.slots
	b.total.Add(-1)
}

func (b *batch) running() int { return len(b.slots) }

// waiting returns the number of requests without a slot. The two counts are not read atomically, so
// the difference could become negative when a request ends between the reads.
func (b *batch) waiting() int { return max(int(b.total.Load())-len(b.slots), 0) }
