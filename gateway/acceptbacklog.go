// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
)

// This file defines acceptBacklog, which tracks callers' connections that the gateway has not
// accepted yet. The rule is in coordination/overload.

// acceptBacklog tracks callers' connections in the kernel's accept queue. The zero value is ready
// to use.
type acceptBacklog struct {
	mu       sync.Mutex // leaf lock
	arrivals overload.Arrivals
}

// reset discards past observations. The queue is observed only while connections are paced.
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

func (q *acceptBacklog) observe(now time.Duration, waiting, capacity int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals = q.arrivals.WithSample(now, waiting, capacity)
}

// takeUnaccepted returns the number of connections that arrived since the last call and were not
// accepted.
func (q *acceptBacklog) takeUnaccepted(now time.Duration) (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, q.arrivals = q.arrivals.Unaccepted(now)
	return n
}
