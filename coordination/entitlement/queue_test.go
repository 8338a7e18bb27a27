// SPDX-License-Identifier: Apache-2.0

package entitlement_test

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines modelQueue, the connections that wait at a gateway of the model, and what the gateway
// tells the leader of them.

// modelQueue is the kernel's queue of a gateway, and what looks at it show while connections are paced.
type modelQueue struct {
	arrivals overload.Arrivals
	waiting  int
	came     int // connections of this step
	taken    int // of these
}

const (
	queueMost = 64 // connections that it holds
	looks     = 4  // in a step
)

// step plays the queue of one step: connections come evenly, and are taken at its begin.
func (q *modelQueue) step(now time.Duration, paced bool) {
	came, taken := q.came, q.taken
	q.came, q.taken = 0, 0
	if !paced {
		q.arrivals, q.waiting = overload.Arrivals{}, 0
		return
	}
	for range taken {
		q.arrivals = q.arrivals.WithAccepted()
	}
	q.waiting = max(q.waiting-taken, 0)
	for i := range looks {
		q.waiting = min(q.waiting+came*(i+1)/looks-came*i/looks, queueMost)
		q.arrivals = q.arrivals.WithSample(now+time.Duration(i+1)*step/looks, q.waiting, queueMost)
	}
}

// untaken returns the estimate since the last call.
func (q *modelQueue) untaken(now time.Duration) (n int) {
	n, q.arrivals = q.arrivals.Unaccepted(now)
	return n
}

// unread estimates what is asked on connections that were not taken, as gateways do.
func (g *modelGateway) unread(now time.Duration) (unread []protocol.Demand) {
	untaken, read := g.queue.untaken(now), g.read
	g.read = 0
	for _, d := range g.report.Demands {
		if untaken > 0 && read > 0 {
			unread = append(unread, protocol.Demand{Account: d.Account, Tokens: d.Tokens * uint64(untaken) / uint64(read)})
		}
	}
	return unread
}
