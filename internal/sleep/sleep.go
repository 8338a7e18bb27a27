// SPDX-License-Identifier: Apache-2.0

// Package sleep waits for a time that the end of a context cuts short.
package sleep

import (
	"context"
	"time"
)

// This file defines For.

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
