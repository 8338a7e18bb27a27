// SPDX-License-Identifier: Apache-2.0

package entitlement_test

import (
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/overload"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines modelQueue, the accept queue of a gateway in the model, and the estimate
// of unaccepted demand that the gateway reports to the leader.

// modelQueue is the kernel's accept queue of a gateway and the samples of its length that are
// taken while the gateway paces connections.
type modelQueue struct {
	arrivals overload.Arrivals
	waiting  int
	arrived  int // connections that arrived in this step
	accepted int // connections accepted in this step
}

const (
	queueCapacity  = 64 // connections
	samplesPerStep = 4  // samples of the queue's length
)

// step simulates the queue for one step. Connections arrive evenly and are accepted at the
// start of the step.
func (q *modelQueue) step(now time.Duration, paced bool) {
	arrived, accepted := q.arrived, q.accepted
	q.arrived, q.accepted = 0, 0
	if !paced {
		q.arrivals, q.waiting = overload.Arrivals{}, 0
		return
	}
	for range accepted {
		q.arrivals = q.arrivals.WithAccepted()
	}
	q.waiting = max(q.waiting-accepted, 0)
	for i := range samplesPerStep {
		q.waiting = min(q.waiting+arrived*(i+1)/samplesPerStep-arrived*i/samplesPerStep, queueCapacity)
		q.arrivals = q.arrivals.WithSample(now+time.Duration(i+1)*step/samplesPerStep, q.waiting, queueCapacity)
	}
}

// unaccepted returns the estimated number of unaccepted connections since the last call.
func (q *modelQueue) unaccepted(now time.Duration) (n int) {
	n, q.arrivals = q.arrivals.Unaccepted(now)
	return n
}

// unread estimates the demand on unaccepted connections as gateways do, in proportion to the
// requests that were read.
func (g *modelGateway) unread(now time.Duration) (unread []protocol.Demand) {
	unaccepted, read := g.queue.unaccepted(now), g.requestsRead
	g.requestsRead = 0
	for _, d := range g.report.Demands {
		if unaccepted > 0 && read > 0 {
			unread = append(unread, protocol.Demand{Account: d.Account, Tokens: d.Tokens * uint64(unaccepted) / uint64(read)})
		}
	}
	return unread
}
