// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines claims, the router's side of the at-most-once register:
// questions and settlements over the session, asked again over the next one
// until they are answered.

const (
	claimRetryPause = 50 * time.Millisecond
	claimTimeout    = 5 * time.Second // for a claim before dispatch
)

type claims struct {
	r       *Router
	settles atomic.Int64 // settlements on their way

	mu      sync.Mutex // guards what follows
	session *session
	changed chan struct{} // closed and replaced when session changes
	calls   map[uint64]chan protocol.Claimed
	next    uint64
}

func newClaims(r *Router) *claims {
	return &claims{r: r, calls: map[uint64]chan protocol.Claimed{}, changed: make(chan struct{})}
}

func (c *claims) linked(s *session) { c.setSession(s) }

func (c *claims) unlinked(s *session) {
	c.mu.Lock()
	current := c.session == s
	c.mu.Unlock()
	if current {
		c.setSession(nil)
	}
}

func (c *claims) setSession(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = s
	close(c.changed)
	c.changed = make(chan struct{})
}

// answered hands an answer to whoever asked.
func (c *claims) answered(m protocol.Claimed) {
	c.mu.Lock()
	ch := c.calls[m.Call]
	delete(c.calls, m.Call)
	c.mu.Unlock()
	if ch != nil {
		ch <- m
	}
}

// claim claims the key of a call. With wait it returns only when no other
// router runs the request any more. ok is false when ctx ended first.
func (c *claims) claim(ctx context.Context, k keyed, wait bool) (protocol.Claimed, bool) {
	return c.ask(ctx, func(call uint64) protocol.Message {
		return protocol.Claim{
			Call: call, Account: k.account, Key: k.key, Digest: k.digest, Attempt: k.attempt, Wait: wait,
		}
	})
}

// settle tells the outcome of a granted claim, for as long as the router
// runs. The caller does not wait.
func (c *claims) settle(k keyed, state protocol.ClaimState, a *protocol.Answer) {
	c.settles.Add(1)
	go func() {
		defer c.settles.Add(-1)
		c.ask(c.r.ctx, func(call uint64) protocol.Message {
			return protocol.Settle{
				Call: call, Account: k.account, Key: k.key, Attempt: k.attempt, State: state, Answer: a,
			}
		})
	}()
}

// flush waits for settlements on their way.
func (c *claims) flush(ctx context.Context) { awaitZero(ctx, &c.settles) }

// ask sends a question over every session in turn until it is answered with
// more than "ask again", or ctx ends.
func (c *claims) ask(ctx context.Context, question func(call uint64) protocol.Message) (protocol.Claimed, bool) {
	for {
		got, answered := c.askOnce(ctx, question)
		if answered && got.State != protocol.ClaimRetry {
			return got, true
		}
		if !sleep.For(ctx, claimRetryPause/2+rand.N(claimRetryPause)) {
			return protocol.Claimed{}, false
		}
	}
}

// askOnce asks over the current session, waiting for one if there is none.
func (c *claims) askOnce(ctx context.Context, question func(call uint64) protocol.Message) (protocol.Claimed, bool) {
	c.mu.Lock()
	s, changed := c.session, c.changed
	c.next++
	call := c.next
	ch := make(chan protocol.Claimed, 1)
	if s != nil {
		c.calls[call] = ch
	}
	c.mu.Unlock()
	if s != nil {
		s.out.Send(question(call))
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

func (c *claims) forget(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, call)
}

// keyed names one arrival of a keyed request.
type keyed struct {
	account string
	key     string
	digest  uint64
	attempt uint64
}
