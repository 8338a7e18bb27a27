// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines claimClient, the router's side of the register of keyed requests
// (coordination/claim). Claims and settlements are sent over the session, and again over the next
// one, until they are answered.

const (
	// claimRetryPause is the mean pause before a claim is sent again; jitter changes it by up to
	// half.
	claimRetryPause = 50 * time.Millisecond
	// claimTimeout bounds a claim before dispatch, while the call occupies a slot. It is longer
	// than an election (1.2 s).
	claimTimeout = 5 * time.Second
)

// claimClient is the router's side of the register of keyed requests.
type claimClient struct {
	r                  *Router
	pendingSettlements atomic.Int64 // settlements that are not answered yet

	mu             sync.Mutex // guards the fields below
	session        *session
	sessionChanged chan struct{}                    // closed and replaced when session changes
	pendingCalls   map[uint64]chan protocol.Claimed // by number of the message
	lastCall       uint64                           // number of the last message
}

func newClaimClient(r *Router) *claimClient {
	return &claimClient{r: r, pendingCalls: map[uint64]chan protocol.Claimed{}, sessionChanged: make(chan struct{})}
}

// setSession sets the session that claims are sent over; nil means none.
func (c *claimClient) setSession(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = s
	close(c.sessionChanged)
	c.sessionChanged = make(chan struct{})
}

// handleAnswer hands an answer to the goroutine that waits for it.
func (c *claimClient) handleAnswer(m protocol.Claimed) {
	c.mu.Lock()
	ch := c.pendingCalls[m.Call]
	delete(c.pendingCalls, m.Call)
	c.mu.Unlock()
	if ch != nil {
		ch <- m
	}
}

// claim claims the key of a call. With wait, it returns only when no other router is running the
// request. ok is false if ctx ended first.
func (c *claimClient) claim(ctx context.Context, k protocol.Claim, wait bool) (protocol.Claimed, bool) {
	return c.deliver(ctx, func(call uint64) protocol.Message {
		k.Call, k.Wait = call, wait
		return k
	})
}

// settle reports the outcome of a granted claim in the background, and retries for as long as the
// router runs.
func (c *claimClient) settle(k protocol.Claim, state protocol.ClaimState, a *protocol.Answer) {
	c.pendingSettlements.Add(1)
	go func() {
		defer c.pendingSettlements.Add(-1)
		c.deliver(c.r.ctx, func(call uint64) protocol.Message {
			return protocol.Settle{
				Call: call, Account: k.Account, Key: k.Key, Attempt: k.Attempt, State: state, Answer: a,
			}
		})
	}()
}

// flush waits until all settlements are answered or ctx ends.
func (c *claimClient) flush(ctx context.Context) { awaitZero(ctx, &c.pendingSettlements) }

// deliver sends a message, over as many sessions as needed, until it gets an answer other than
// ClaimRetry or ctx ends.
func (c *claimClient) deliver(ctx context.Context, message func(call uint64) protocol.Message) (protocol.Claimed, bool) {
	for {
		got, answered := c.deliverOnce(ctx, message)
		if answered && got.State != protocol.ClaimRetry {
			return got, true
		}
		if !sleep.For(ctx, claimRetryPause/2+c.r.jitter(claimRetryPause)) {
			return protocol.Claimed{}, false
		}
	}
}

// deliverOnce sends a message over the current session, or waits for a session if there is none. It
// returns without an answer when the session changes.
func (c *claimClient) deliverOnce(ctx context.Context, message func(call uint64) protocol.Message) (protocol.Claimed, bool) {
	c.mu.Lock()
	s, changed := c.session, c.sessionChanged
	c.lastCall++
	call := c.lastCall
	ch := make(chan protocol.Claimed, 1)
	if s != nil {
		c.pendingCalls[call] = ch
	}
	c.mu.Unlock()
	if s != nil {
		s.out.Send(message(call))
	}
	defer c.forget(call)
	select {
	case <-ctx.Done():
		return protocol.Claimed{}, false
	case <-changed:
		return protocol.Claimed{}, false
	case got := <-ch:
		return got, true
	}
}

func (c *claimClient) forget(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingCalls, call)
}
