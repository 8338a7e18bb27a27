// SPDX-License-Identifier: Apache-2.0

package router

import (
	"sync/atomic"
	"time"
)

// This file defines lease, the one lease that a router acts under.

// lease ends at a time of the router's monotonic clock. The zero value has
// ended. It is safe for concurrent use.
type lease struct{ end atomic.Int64 }

// valid reports whether the lease runs at time now.
func (l *lease) valid(now time.Duration) bool { return now < time.Duration(l.end.Load()) }

// extend moves the end to sent + length: the lease counts from the moment at
// which its renewal was sent. It never moves back.
func (l *lease) extend(sent, length time.Duration) {
	next := int64(sent + length)
	for {
		old := l.end.Load()
		if next <= old || l.end.CompareAndSwap(old, next) {
			return
		}
	}
}
