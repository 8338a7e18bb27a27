// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
)

// This file defines queued, the lock around what is known of connections that the gateway has not
// taken. The rule is in coordination/overload.

// acceptBacklog is the callers' connections in the kernel's queue. The zero value is ready.
type acceptBacklog struct {
	mu       sync.Mutex // a leaf
	arrivals overload.Arrivals
}

// reset forgets what was seen: the queue is looked at only while connections are paced.
func (q *acceptBacklog) reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals = overload.Arrivals{}
}

func (q *acceptBacklog) addAccepted() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals = q.arrivals.WithAccepted()
}

func (q *acceptBacklog) observe(now time.Duration, waiting, most int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals = q.arrivals.WithSample(now, waiting, most)
}

// untaken returns how many connections came since the last call and were not taken.
func (q *acceptBacklog) untaken(now time.Duration) (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, q.arrivals = q.arrivals.Unaccepted(now)
	return n
}
