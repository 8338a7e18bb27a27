// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file defines call, one request from its admission to its end: it waits for a slot, claims
// its idempotency key, and tries backend servers.

// call is one request of a caller.
type call struct {
	account         config.Account
	pool            string
	class           string // one of classes
	flow            string // user within the account; fair sharing alternates among an account's flows
	engine          bool   // the pool's servers are engines, not plain services
	forwardCall     forward.Call
	repeatable      bool // it may be sent again even if it may have run
	repeated        bool // it was sent again after it may have run
	body            []byte
	blocks          []place.Block   // blocks of an engine's prompt
	claim           *protocol.Claim // the claim to make, not yet numbered; nil without an idempotency key
	holdsClaim      bool            // the claim was granted and is not settled
	reservedBytes   int64           // bytes counted in Router.bodyBytes
	abortConnection bool            // the connection must be closed because the answer is incomplete
	unframed        bool            // the answer to the caller ends with its connection
	http2           bool            // the caller uses HTTP/2, where the end of an answer states that it is complete
	arrivedAt       time.Duration   // by Router.now
	work            *pool.Work      // queue entry of the current attempt
	retryTaken      bool            // a retry was taken out of the budget and is not used yet
	retry           *waiter         // queue entry of that retry; nil if it is not queued
}

// serve runs a call to its end and writes its answer.
func (r *Router) serve(w *response.Writer, req *http.Request, c *call) {
	c.arrivedAt = r.now()
	r.countRequest()
	if f := r.run(w, req.Context(), c); f != nil {
		r.refuse(w, c.withOverallOutcome(f))
	}
	r.stats.seriesOf(c).total.Update((r.now() - c.arrivedAt).Seconds())
}

// withOverallOutcome returns a failure with the outcome of all attempts together. If an earlier
// attempt may have run, a last attempt that did not run does not change that.
func (c *call) withOverallOutcome(f *Failure) *Failure {
	switch {
	case !c.repeated || f.Outcome != NotRun:
		return f
	case f.Code == failCallerGone.Code:
		return failCallerGone
	}
	return failBroken
}

// run queues the call, claims its key and sends it to a server, and repeats this until the call is
// answered or fails. It returns a failure only if nothing has been written to the caller yet.
func (r *Router) run(w *response.Writer, ctx context.Context, c *call) *Failure {
	for {
		server, f := r.awaitServer(ctx, c)
		if f != nil {
			r.settle(c, protocol.ClaimReleased, nil)
			return f
		}
		if c.claim != nil && !c.holdsClaim {
			answered, f := r.claimKey(w, ctx, c, server)
			if answered || f != nil {
				return f
			}
			if !c.holdsClaim {
				continue // the slot was released while another router ran the request
			}
		}
		again, f := r.attempt(w, ctx, c, server)
		if !again {
			return f
		}
	}
}

// enqueue adds the call to the queue of its pool.
func (r *Router) enqueue(c *call) (*waiter, *Failure) {
	if !r.lease.valid(r.now()) {
		return nil, failNoLease
	}
	p := r.pool(c.pool)
	if p == nil {
		return nil, failNoServer
	}
	return p.enqueue(c)
}

// awaitServer queues the call, unless its retry is queued already, and waits for a slot. It returns the
// server to use.
func (r *Router) awaitServer(ctx context.Context, c *call) (config.Server, *Failure) {
	w := c.retry
	c.retry = nil
	if w == nil {
		var f *Failure
		if w, f = r.enqueue(c); f != nil {
			return config.Server{}, f
		}
	}
	c.work = w.work
	p := r.pool(c.pool)
	began := r.now()
	select {
	case got := <-w.result:
		r.stats.seriesOf(c).wait.Update((r.now() - began).Seconds())
		return got.server, got.fail
	case <-ctx.Done():
	}
	if got, started := p.cancel(w); started {
		p.finish(c.work, got.server.ID, 0, pool.Abandoned)
	}
	return config.Server{}, failCallerGone.WithOutcome(NotRun)
}

// claimKey claims the idempotency key of a call that has a slot. If the claim is not granted at
// once, the slot is released, because waiting for another router's outcome may take long. answered
// reports that the caller has its answer.
func (r *Router) claimKey(w *response.Writer, ctx context.Context, c *call, server config.Server) (answered bool, f *Failure) {
	cctx, cancel := context.WithTimeout(ctx, claimTimeout)
	got, ok := r.claims.claim(cctx, *c.claim, false)
	cancel()
	if ok && got.State == protocol.ClaimGranted {
		c.holdsClaim = true
		return false, nil
	}
	r.pool(c.pool).finish(c.work, server.ID, 0, pool.Abandoned)
	f = failClaimsUnavailable
	if ok && got.State == protocol.ClaimRunning {
		got, ok = r.claims.claim(ctx, *c.claim, true)
		f = failCallerGone.WithOutcome(NotRun)
	}
	if !ok {
		r.claims.settle(*c.claim, protocol.ClaimReleased, nil) // the claim may have been granted
		return false, f
	}
	return r.answerClaimed(w, c, got)
}

// answerClaimed answers the caller with the recorded outcome of the request with this key. It
// answers nothing if the claim was granted, since this router then runs the request.
func (r *Router) answerClaimed(w *response.Writer, c *call, got protocol.Claimed) (answered bool, f *Failure) {
	switch got.State {
	case protocol.ClaimGranted:
		c.holdsClaim = true
		return false, nil
	case protocol.ClaimMismatch:
		return false, failOtherBody
	case protocol.ClaimRan:
		if got.Answer == nil {
			return false, failAlreadyRan
		}
		return true, replay(w, *got.Answer)
	}
	return false, failUnknownRun
}

// attempt sends the call to a server and relays the answer. again reports that the call did not
// run, or may be repeated, and should be queued again.
func (r *Router) attempt(w *response.Writer, ctx context.Context, c *call, server config.Server) (again bool, f *Failure) {
	p := r.pool(c.pool)
	began := r.now()
	a, server, err := r.send(ctx, c, server)
	if err != nil {
		return r.handleSendError(ctx, c, server, err)
	}
	r.withdrawRetry(c)
	defer func() { a.Body.Close() }() // the relay may have replaced the body
	if running, waiting, ok := a.Load(); ok {
		p.withLock(func(pl *pool.Pool) {
			pl.RecordLoad(server.ID, place.LoadReport{Running: running, Waiting: waiting, At: r.now()})
		})
	}
	rel := relay{router: r, ctx: ctx, server: server, call: c, pool: p, answer: a, startedAt: began}
	end := rel.run(w)
	p.finish(c.work, server.ID, end.cost, end.result)
	r.stats.seriesOf(c).requests.Inc()
	r.stats.seriesOf(c).service.Add(end.cost)
	if end.failure != nil {
		r.stats.countFailure(end.failure)
	}
	if end.failure != nil || end.result == pool.Unconfirmed {
		r.settle(c, protocol.ClaimUnknown, nil)
		return false, nil
	}
	var recorded *protocol.Answer
	if end.wholeBody != nil {
		recorded = &protocol.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: end.wholeBody}
	}
	r.settle(c, protocol.ClaimRan, recorded)
	return false, nil
}

// handleSendError handles an attempt that got no answer: it releases the slot, and settles the claim if
// the call ends here.
func (r *Router) handleSendError(ctx context.Context, c *call, server config.Server, err error) (again bool, f *Failure) {
	f, claimState, execution := failBroken.WithMessage(err.Error()), protocol.ClaimUnknown, retry.MayHaveRun
	var notRun forward.NotRun
	if errors.As(err, &notRun) {
		r.applyBackoff(c, server, notRun)
		f, claimState, execution = failUnreachable.WithMessage(err.Error()), protocol.ClaimReleased, retry.Refused
	}
	result, gone := pool.Failed, ctx.Err() != nil
	if gone {
		f, result = failCallerGone.WithOutcome(f.Outcome), pool.Abandoned
	}
	r.pool(c.pool).finish(c.work, server.ID, 0, result)
	if !gone && execution.MayGoElsewhere(c.repeatable) && r.takeRetry(c) {
		c.retryTaken = false
		c.repeated = c.repeated || execution == retry.MayHaveRun
		return true, nil
	}
	r.withdrawRetry(c)
	r.settle(c, claimState, nil)
	return false, f
}

// applyBackoff applies the backoff that a server requested with its refusal. A malformed value is
// ignored.
func (r *Router) applyBackoff(c *call, server config.Server, refusal forward.NotRun) {
	if !refusal.Refused {
		return
	}
	if backoff, _ := forward.RetryAfter(refusal.Header); backoff > 0 {
		r.pool(c.pool).update(func(now time.Duration, pl *pool.Pool) { pl.SetBackoff(now, server.ID, backoff) })
		r.stats.backoffs.Inc()
	}
}

// allowRetry takes one retry out of the retry budget and reports whether one was left.
func (r *Router) allowRetry() bool {
	r.budgetMu.Lock()
	allowed := r.budget.AllowRetry()
	r.budgetMu.Unlock()
	if allowed {
		r.stats.retried.Inc()
	} else {
		r.stats.budgetEmpty.Inc()
	}
	return allowed
}

// settle reports the outcome of a call that holds its claim to the register.
func (r *Router) settle(c *call, state protocol.ClaimState, a *protocol.Answer) {
	if c.holdsClaim {
		r.claims.settle(*c.claim, state, a)
		c.holdsClaim = false
	}
}

// replay writes a recorded answer.
func replay(w *response.Writer, a protocol.Answer) *Failure {
	err := w.Respond(a.Status, a.Body, func(h http.Header) {
		if a.ContentType != "" {
			h.Set("Content-Type", a.ContentType)
		}
		h.Set(OutcomeHeader, string(Ran))
		h.Set("Badgerspoke-Replayed", "true")
	})
	if err != nil {
		return failBroken
	}
	return nil
}
