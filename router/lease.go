// SPDX-License-Identifier: Apache-2.0

package router

import (
	"sync/atomic"
	"time"
)

// This file defines lease, the lease under which a router may dispatch requests.

// lease holds the end of the lease by the router's monotonic clock. The zero value has expired. It
// is safe for concurrent use.
type lease struct{ end atomic.Int64 }

// valid reports whether the lease is valid at time now.
func (l *lease) valid(now time.Duration) bool { return now < time.Duration(l.end.Load()) }

// extend moves the end to sent + length, since the lease counts from the moment at which its
// renewal was sent. It never moves the end back.
func (l *lease) extend(sent, length time.Duration) {
	next := int64(sent + length)
	for {
		old := l.end.Load()
		if next <= old || l.end.CompareAndSwap(old, next) {
			return
		}
	}
}
