// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"sync/atomic"

	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines how a call is sent to a server that accepts no connection in time. The server may be silent
// for a moment only, so the call gives up its slot only when it has another one.

// maxDials bounds how often one attempt dials a server that accepts no connection.
const maxDials = 3

// send sends the call to a server. If the server accepts no connection in time, it is dialled again while a
// retry, if the budget allows one, waits for its turn. The first of the two to succeed is used. send returns the
// server whose slot the call has at the end.
func (r *Router) send(ctx context.Context, c *call, server config.Server) (*forward.Response, config.Server, error) {
	a, err := r.cfg.Transport.Send(ctx, server.Address, r.callTo(c, server))
	for dials := 1; forward.IsDialTimeout(err) && dials < maxDials && ctx.Err() == nil && r.mayUse(server); dials++ {
		r.pool(c.pool).recordFailure(server.ID)
		r.queueRetry(c)
		next := server
		if a, next, err = r.dialAgain(ctx, c, server); next.ID != server.ID {
			server, dials = next, 0
			a, err = r.cfg.Transport.Send(ctx, server.Address, r.callTo(c, server))
		}
	}
	return a, server, err
}

// callTo returns the call as it is sent to a server.
func (r *Router) callTo(c *call, server config.Server) forward.Call {
	f := c.forwardCall
	f.Leaving = func() bool {
		now, listed := r.routes.Load().servers[server.ID]
		return listed && now.Mark == config.Leaving
	}
	return f
}

// mayUse reports whether the lease and the configuration in force still allow calls to a server.
func (r *Router) mayUse(server config.Server) bool {
	now, listed := r.routes.Load().servers[server.ID]
	return listed && now.Mark == config.Serving && now.Address == server.Address && r.lease.valid(r.now())
}

// takeRetry reports whether the call may be sent again, and takes a retry out of the budget if it has none yet.
func (r *Router) takeRetry(c *call) bool {
	c.retryTaken = c.retryTaken || r.allowRetry()
	return c.retryTaken
}

// queueRetry queues a retry of the call if the budget and the queue allow one.
func (r *Router) queueRetry(c *call) {
	if c.retry == nil && r.takeRetry(c) {
		c.retry, _ = r.enqueue(c) // without a place in the queue, the call has only its attempt
	}
}

// withdrawRetry removes the retry of a call from the queue, or releases its slot.
func (r *Router) withdrawRetry(c *call) {
	if c.retry == nil {
		return
	}
	p := r.pool(c.pool)
	if got, started := p.cancel(c.retry); started {
		p.finish(c.retry.work, got.server.ID, 0, pool.Abandoned)
	}
	c.retry = nil
}

// States of a further dial.
const (
	dialling  int32 = iota
	sending         // the connection is open and the call is being sent
	abandoned       // the call has another slot and must not be sent
)

// sendResult is the result of Transport.Send.
type sendResult struct {
	answer *forward.Response
	err    error
}

// dialAgain sends the call to the server again, unless its retry gets a slot of another server first. In
// that case it releases the slot of server and returns the other one.
func (r *Router) dialAgain(ctx context.Context, c *call, server config.Server) (*forward.Response, config.Server, error) {
	var state atomic.Int32
	again := r.callTo(c, server)
	again.Abandoned = func() bool { return !state.CompareAndSwap(dialling, sending) }
	sent := make(chan sendResult, 1)
	go func() {
		a, err := r.cfg.Transport.Send(ctx, server.Address, again)
		sent <- sendResult{a, err}
	}()
	p := r.pool(c.pool)
	for {
		var turn chan waitResult // nil if no retry is queued
		if c.retry != nil {
			turn = c.retry.result
		}
		select {
		case got := <-sent:
			return got.answer, server, got.err
		case got := <-turn:
			w := c.retry.work
			c.retry = nil
			switch {
			case got.fail != nil:
			case got.server.ID != server.ID && state.CompareAndSwap(dialling, abandoned):
				p.finish(c.work, server.ID, 0, pool.Abandoned)
				c.work, c.retryTaken = w, false
				return nil, got.server, nil
			default:
				p.finish(w, got.server.ID, 0, pool.Abandoned)
			}
		}
	}
}
