// SPDX-License-Identifier: Apache-2.0

// Package sleep provides timers that end early when a context ends.
package sleep

import (
	"context"
	"iter"
	"time"
)

// This file defines For, a single wait, and Every, a ticker.

// For waits for d or until ctx ends, and reports whether ctx was still active at the end. It does
// not wait if d is not positive.
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

// Every yields the current time once per period until ctx ends. If the loop body takes longer than
// the period, ticks are skipped.
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
