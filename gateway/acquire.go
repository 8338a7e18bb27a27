// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
)

// This file defines how a call acquires a backend server for its next attempt, and the error it
// ends with if it gets none.

// acquireServer waits for a backend server. The error is a [Refusal] or a [callerLeft].
func (c *call) acquireServer(ctx context.Context) (*assignment, error) {
	c.confirmOrigin()
	if c.stream.source == versionUnknown {
		return nil, Refusal{Cause: VersionUnknown}
	}
	waiting := c.queuedRequest()
	switch {
	case c.r.Context().Err() != nil:
		return nil, callerLeft{}
	case !retry.CanAnswerInTime(waiting):
		return nil, Refusal{Cause: TooLate}
	case !c.mayBegin():
		return nil, c.refuseForStop()
	}
	queueTimeout := retry.QueueTimeout(waiting)
	req := c.requirements(queueTimeout)
	var a *assignment
	a, c.shortage = c.g.awaitServer(ctx, req, queueTimeout)
	switch {
	case a == nil && c.mayBegin():
		return nil, c.noServerError(ctx, &req)
	case a == nil:
		return nil, c.refuseForStop()
	case !c.mayBegin():
		c.g.returnServer(a)
		return nil, c.refuseForStop()
	}
	c.countStarted()
	return a, nil
}

// requirements returns the inputs for selecting a backend server for the next attempt, which waits for one up to
// queueTimeout.
func (c *call) requirements(queueTimeout time.Duration) requirements {
	req := requirements{
		WaitingRequest: entitlement.WaitingRequest{
			Class: c.class, Priority: entitlement.Priority(c.account.Priority, c.route.Priority), Account: c.account.Name,
		},
		pool: c.pool, route: c.route, prompt: c.head.Prompt,
		repeatable: c.route.MayRepeat(), triedServers: c.triedServers, gateways: int(c.g.gatewayCount.Load()), random: c.g.randomFraction(),
		mayBegin: c.mayBegin, version: c.stream.limit(), accountHomes: c.account.Homes, requestBytes: len(c.body) + headerBytes(c.r), waitingSince: c.g.now(),
	}
	if c.route.Objective > 0 {
		req.objectiveDeadline = c.arrived + c.route.Objective - c.spentBeforeArrival
	}
	if c.counts.Runs > 0 {
		req.maxBackoff = queueTimeout
	}
	c.limitServers(&req, c.counts.Runs)
	return req
}

// limitServers limits the next attempt to servers that have run the request once the route allows no others.
func (c *call) limitServers(req *requirements, runs int) {
	if runs >= max(c.route.MaxAttempts, 1) {
		req.onlyServers = c.reusable
	}
}

// noServerError returns the error for a request that got no backend server. A request whose homes
// or version exclude every server does not count as missed, because engine capacity is not what it lacks.
func (c *call) noServerError(ctx context.Context, req *requirements) error {
	policy := c.policy(ctx)
	if !policy.TimeLeft && c.r.Context().Err() != nil {
		return callerLeft{}
	}
	if c.shortage.stayReason != "" {
		c.g.stats.count("region_stayed", "why", string(c.shortage.stayReason))
	}
	if policy.TimeLeft && c.counts.Arrived == 0 && c.shortage.homesCause == "" && !c.shortage.versionGone {
		c.countMissed(false)
	}
	if policy.TimeLeft && c.counts.Runs == 0 {
		switch {
		case c.shortage.homesCause != "":
			return Refusal{Cause: c.shortage.homesCause, RetryAfter: retry.LongDelay}
		case len(c.shortage.hallsOut) > 0:
			return Refusal{Cause: HallsOut, RetryAfter: retry.LongDelay}
		case c.shortage.versionGone:
			return Refusal{Cause: VersionGone, RetryAfter: retry.LongDelay}
		case c.shortage.backingOff:
			return Refusal{Cause: BackingOff, RetryAfter: retry.AfterBackoff(c.shortage.backoff, c.timeLeft(), c.g.randomFraction())}
		}
	}
	allTried := c.g.table.countInHomes(req) <= len(c.triedServers)
	return c.refusal(policy.EndingWithoutServer(c.class, allTried))
}

// queuedRequest returns the inputs for the queue timeout.
func (c *call) queuedRequest() retry.QueuedRequest {
	return retry.QueuedRequest{
		Route: c.route, Class: c.class, Runs: c.counts.Runs, Spent: c.spentBeforeArrival, Waited: c.g.now() - c.arrived, Left: c.timeLeft(),
		Expected: c.g.table.expectedFirst(c.pool, c.head.Prompt),
	}
}

// policy returns the current inputs for deciding on further attempts.
func (c *call) policy(ctx context.Context) retry.Request {
	return retry.Request{
		Route: c.route, Counts: c.counts, Reusable: len(c.reusable), HeadWritten: c.relay.begun(), Final: !c.relay.canContinue(), TimeLeft: ctx.Err() == nil,
	}
}

// refusal returns the gateway's own error response for an ending.
func (c *call) refusal(e retry.Ending) error {
	cause := causesByEnding[e]
	switch {
	case !responsesByCause[cause].notRun:
		return Refusal{Cause: cause}
	case cause == BeyondShare:
		return Refusal{Cause: cause, RetryAfter: c.retryAfterBeyondShare()}
	}
	return Refusal{Cause: cause, RetryAfter: retry.After(c.timeLeft())}
}
