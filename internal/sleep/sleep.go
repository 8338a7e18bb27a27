// SPDX-License-Identifier: Apache-2.0

// Package sleep waits for times that the end of a context cuts short.
package sleep

import (
	"context"
	"iter"
	"time"
)

// This file defines For, one wait, and Every, one after the other.

// For waits for d and reports whether ctx lasted as long. It returns at once
// if d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every yields the time once a period until ctx ends. A loop body that takes
// longer than the period misses ticks.
func Every(ctx context.Context, period time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-t.C:
				if !yield(now) {
					return
				}
			}
		}
	}
}
