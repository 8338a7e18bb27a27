// SPDX-License-Identifier: Apache-2.0

package control

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/replica"
)

// This file defines the state machine of the claims group, the handling of routers'
// claims, and the notification of routers that wait for the outcome of another router.

// claimStateMachine is the state machine of the claims group.
type claimStateMachine struct{ register *claim.Register }

var _ replica.StateMachine = claimStateMachine{}

// Apply implements [replica.StateMachine].
func (c claimStateMachine) Apply(data []byte) any {
	var cmd claim.Command
	if err := cbor.Unmarshal(data, &cmd); err != nil {
		return protocol.Claimed{State: protocol.ClaimRetry}
	}
	return c.register.Apply(cmd)
}

// Snapshot implements [replica.StateMachine].
func (c claimStateMachine) Snapshot() ([]byte, error) { return c.register.MarshalBinary() }

// Restore implements [replica.StateMachine].
func (c claimStateMachine) Restore(image []byte) error { return c.register.UnmarshalBinary(image) }

// proposeClaim proposes a command to the claims group, stamped with this box's wall
// clock.
func (c *Control) proposeClaim(ctx context.Context, cmd claim.Command) (protocol.Claimed, error) {
	cmd.Millis = time.Now().UnixMilli()
	result, err := propose(ctx, c.claims, cmd)
	if err != nil {
		return protocol.Claimed{}, err
	}
	return result.(protocol.Claimed), nil
}

// claimOrRetry is like proposeClaim, but answers an error with ClaimRetry, which makes
// the router send its claim again.
func (c *Control) claimOrRetry(ctx context.Context, cmd claim.Command) protocol.Claimed {
	answer, err := c.proposeClaim(ctx, cmd)
	if err != nil {
		return protocol.Claimed{State: protocol.ClaimRetry}
	}
	return answer
}

// answerClaim answers a router's claim. If another router is running the request and
// the claim has Wait set, the answer is delayed until the outcome is known.
func (c *Control) answerClaim(ctx context.Context, s *session, m protocol.Claim) {
	w := c.watchers.add(m.Account, m.Key)
	defer c.watchers.remove(w)
	for {
		answer := c.claimOrRetry(ctx, claim.Command{Holder: s.holder, Claim: &m})
		answer.Call = m.Call
		if answer.State != protocol.ClaimRunning || !m.Wait {
			s.out.Send(answer)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.settled: // claim again: either the key is free or there is an outcome
		}
	}
}

// answerSettle answers a router's settlement of a claim.
func (c *Control) answerSettle(ctx context.Context, s *session, m protocol.Settle) {
	answer := c.claimOrRetry(ctx, claim.Command{Holder: s.holder, Settle: &m})
	answer.Call = m.Call
	s.out.Send(answer)
}

// colocateLeaders keeps the leaders of the two groups on one replica, because a router
// has a single session, with the leader of the configuration group. If this replica leads
// only the claims group, it transfers that leadership to the leader of the other group. Until
// the transfer is done, claims are answered with ClaimRetry.
func (c *Control) colocateLeaders() {
	for sleep.For(c.ctx, c.cfg.HeartbeatInterval) {
		var leader string
		c.dispatcher.call(func() { leader = c.dispatcher.group.Leader.Name })
		if leader == "" || leader == c.cfg.Identity.Name {
			continue
		}
		// After an error, the next heartbeat tries again.
		_ = c.claims.Inspect(c.ctx, func(_ time.Duration, n *consensus.Replica) {
			if n.Status().Role == consensus.Leader {
				n.Transfer(leader)
			}
		})
	}
}

// claimWatchers notifies the calls that wait for a claim when it is settled.
type claimWatchers struct {
	mu      sync.Mutex
	waiting map[claimKey]map[*claimWatcher]bool
}

type claimKey struct{ account, key string }

type claimWatcher struct {
	key     claimKey
	settled chan struct{} // buffered, so that settling never blocks
}

func newClaimWatchers() *claimWatchers {
	return &claimWatchers{waiting: map[claimKey]map[*claimWatcher]bool{}}
}

func (c *claimWatchers) add(account, key string) *claimWatcher {
	w := &claimWatcher{key: claimKey{account, key}, settled: make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[w.key] == nil {
		c.waiting[w.key] = map[*claimWatcher]bool{}
	}
	c.waiting[w.key][w] = true
	return w
}

func (c *claimWatchers) remove(w *claimWatcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting[w.key], w)
	if len(c.waiting[w.key]) == 0 {
		delete(c.waiting, w.key)
	}
}

// notifySettled notifies the calls that wait for a claim. It runs in the claims replica's
// goroutine.
func (c *claimWatchers) notifySettled(account, key string, _ protocol.Claimed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.waiting[claimKey{account, key}] {
		select {
		case w.settled <- struct{}{}:
		default:
		}
	}
}
