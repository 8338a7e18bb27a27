// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines call, a request from its admission to its end: waiting
// for a turn, claiming its key, and trying backend servers.

// call is one request of a caller.
type call struct {
	account  config.Account
	pool     string
	class    string // of the fixed set in classes
	flow     string
	engine   bool
	send     forward.Call
	body     []byte
	blocks   []place.Block
	keyed    *keyed // nil without an idempotency key
	claimed  bool
	reserved int64 // bytes counted in Router.bodies
	abort    bool  // the connection must be broken: the answer is not whole
	came     time.Duration
	work     *pool.Work // of the present turn
}

// serve runs a call to its end and writes its answer.
func (r *Router) serve(w http.ResponseWriter, req *http.Request, c *call) {
	c.came = r.now()
	r.countRequest()
	if f := r.run(w, req.Context(), c); f != nil {
		r.stats.failure(*f)
		f.write(w)
	}
	r.stats.of(c).whole.Update((r.now() - c.came).Seconds())
}

// run returns a failure if nothing was written to the caller yet.
func (r *Router) run(w http.ResponseWriter, ctx context.Context, c *call) *Failure {
	for {
		server, f := r.awaitTurn(ctx, c)
		if f != nil {
			r.release(c)
			return f
		}
		if c.keyed != nil && !c.claimed {
			done, f := r.claimTurn(w, ctx, c, server)
			if done || f != nil {
				return f
			}
			if !c.claimed {
				continue // the slot was given up while another router ran it
			}
		}
		again, f := r.attempt(w, ctx, c, server)
		if !again {
			return f
		}
	}
}

// awaitTurn queues the call and waits until it may use a server.
func (r *Router) awaitTurn(ctx context.Context, c *call) (config.Server, *Failure) {
	if !r.lease.valid(r.now()) {
		return config.Server{}, &failLease
	}
	p := r.pool(c.pool)
	if p == nil {
		return config.Server{}, &failNoServer
	}
	w, err := p.enqueue(c)
	if err != nil {
		return config.Server{}, asFailure(err)
	}
	c.work = w.work
	began := r.now()
	select {
	case got := <-w.turn:
		r.stats.of(c).wait.Update((r.now() - began).Seconds())
		return got.server, got.fail
	case <-ctx.Done():
	}
	if got, started := p.cancel(w); started {
		p.finish(c.work, got.server.ID, 0, pool.Abandoned)
	}
	f := failGone.WithOutcome(NotRun)
	return config.Server{}, &f
}

// claimTurn claims the key of a call that has a slot. done means that the
// caller was answered.
func (r *Router) claimTurn(w http.ResponseWriter, ctx context.Context, c *call, server config.Server) (done bool, f *Failure) {
	cctx, cancel := context.WithTimeout(ctx, claimPatience)
	got, ok := r.claims.claim(cctx, *c.keyed, false)
	cancel()
	if ok && got.State == protocol.ClaimGranted {
		c.claimed = true
		return false, nil
	}
	r.pool(c.pool).finish(c.work, server.ID, 0, pool.Abandoned)
	if !ok {
		r.claims.settle(*c.keyed, protocol.ClaimReleased, nil) // it may have been granted
		return false, &failClaims
	}
	if got.State == protocol.ClaimRunning {
		if got, ok = r.claims.claim(ctx, *c.keyed, true); !ok {
			r.claims.settle(*c.keyed, protocol.ClaimReleased, nil)
			f := failGone.WithOutcome(NotRun)
			return false, &f
		}
	}
	return r.answerClaimed(w, c, got)
}

// answerClaimed tells the caller what became of the request under this key,
// unless it is this router's to run now.
func (r *Router) answerClaimed(w http.ResponseWriter, c *call, got protocol.Claimed) (done bool, f *Failure) {
	switch got.State {
	case protocol.ClaimGranted:
		c.claimed = true
		return false, nil
	case protocol.ClaimMismatch:
		return false, &failOtherBody
	case protocol.ClaimRan:
		if got.Answer == nil {
			return false, &failRan
		}
		replay(w, *got.Answer)
		return true, nil
	}
	return false, &failUnknownRun
}

// release gives up a claim of a call that truly did not run.
func (r *Router) release(c *call) {
	if c.claimed {
		r.claims.settle(*c.keyed, protocol.ClaimReleased, nil)
		c.claimed = false
	}
}

// attempt sends the call to a server and relays the answer. again means that
// the call did not run, or may be repeated, and should wait for another turn.
func (r *Router) attempt(w http.ResponseWriter, ctx context.Context, c *call, server config.Server) (again bool, f *Failure) {
	p := r.pool(c.pool)
	began := r.now()
	a, err := r.cfg.Server.Send(ctx, server.Address, c.send)
	if err != nil {
		return r.sendFailed(ctx, c, p, server, err)
	}
	defer func() { a.Body.Close() }() // the relay may have put another in its place
	if running, waiting, ok := a.Load(); ok {
		p.report(server.ID, place.Load{Running: running, Waiting: waiting, At: r.now()})
	}
	rel := relay{router: r, ctx: ctx, server: server.Address, call: c, pool: p, work: c.work, answer: a, began: began}
	end := rel.run(w)
	p.finish(c.work, server.ID, end.cost, end.result)
	r.stats.of(c).requests.Inc()
	r.stats.of(c).service.Add(end.cost)
	r.settle(c, a, end)
	if end.failure != nil {
		r.stats.failure(*end.failure)
		if !end.written {
			return false, end.failure
		}
	}
	return false, nil
}

// sendFailed decides what follows from a call that got no answer.
func (r *Router) sendFailed(ctx context.Context, c *call, p *lockedPool, server config.Server, err error) (again bool, f *Failure) {
	var notRun forward.NotRun
	if ctx.Err() != nil {
		p.finish(c.work, server.ID, 0, pool.Abandoned)
		if errors.As(err, &notRun) {
			r.release(c)
			g := failGone.WithOutcome(NotRun)
			return false, &g
		}
		r.settleUnknown(c)
		return false, &failGone
	}
	p.finish(c.work, server.ID, 0, pool.Failed)
	if errors.As(err, &notRun) {
		if r.retry() {
			return true, nil
		}
		r.release(c)
		g := failUnreachable.With(err.Error())
		return false, &g
	}
	if !c.send.Never && r.retry() {
		return true, nil
	}
	r.settleUnknown(c)
	g := failBroken.With(err.Error())
	return false, &g
}

// retry takes one retry out of the budget.
func (r *Router) retry() bool {
	if r.mayRetry() {
		r.stats.retried.Inc()
		return true
	}
	r.stats.refused.Inc()
	return false
}

func (r *Router) settleUnknown(c *call) {
	if c.claimed {
		r.claims.settle(*c.keyed, protocol.ClaimUnknown, nil)
	}
}

// settle tells the register how a claimed call ended.
func (r *Router) settle(c *call, a *forward.Answer, end relayed) {
	switch {
	case !c.claimed:
	case end.failure != nil:
		r.settleUnknown(c)
	default:
		var kept *protocol.Answer
		if end.whole != nil {
			kept = &protocol.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: end.whole}
		}
		r.claims.settle(*c.keyed, protocol.ClaimRan, kept)
	}
}

// replay writes a kept answer.
func replay(w http.ResponseWriter, a protocol.Answer) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(OutcomeHeader, string(Ran))
	h.Set("Badgerspoke-Replayed", "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func asFailure(err error) *Failure {
	var f Failure
	if errors.As(err, &f) {
		return &f
	}
	f = failMalformed.With(err.Error())
	return &f
}
