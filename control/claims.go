// SPDX-License-Identifier: Apache-2.0

package control

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines how claims of routers reach the claims group, and how a
// router that waits for another's outcome is told.

const proposeTimeout = 3 * time.Second

// proposeCommand proposes a command of the configuration group.
func (c *Control) proposeCommand(cmd command) error {
	ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
	defer cancel()
	b, err := cbor.Marshal(cmd)
	if err != nil {
		return errors.Wrap(err, "control: encode command")
	}
	_, err = c.config.Propose(ctx, b)
	return err
}

func (c *Control) proposeClaim(ctx context.Context, cmd claim.Command) (protocol.Claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd.Millis = time.Now().UnixMilli()
	b, err := cbor.Marshal(cmd)
	if err != nil {
		return protocol.Claimed{}, errors.Wrap(err, "control: encode claim")
	}
	result, err := c.claims.Propose(ctx, b)
	if err != nil {
		return protocol.Claimed{}, err
	}
	return result.(protocol.Claimed), nil
}

func (c *Control) orphanClaims(h claim.Holder) error {
	_, err := c.proposeClaim(c.ctx, claim.Command{Holder: h, Orphan: true})
	return err
}

// answerClaim answers a router's claim. When another router runs the request
// and the asker wants to wait, the answer comes with the outcome.
func (c *Control) answerClaim(ctx context.Context, s *session, m protocol.Claim) {
	w := c.watchers.add(m.Account, m.Key)
	defer c.watchers.remove(w)
	for {
		answer, err := c.proposeClaim(ctx, claim.Command{Holder: s.holder, Claim: &m})
		if err != nil {
			answer = protocol.Claimed{State: protocol.ClaimRetry}
		}
		answer.Call = m.Call
		if answer.State != protocol.ClaimRunning || !m.Wait {
			s.out.Send(answer)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.settled: // released: claim again; else be told the outcome
		}
	}
}

func (c *Control) answerSettle(ctx context.Context, s *session, m protocol.Settle) {
	answer, err := c.proposeClaim(ctx, claim.Command{Holder: s.holder, Settle: &m})
	if err != nil {
		answer = protocol.Claimed{State: protocol.ClaimRetry}
	}
	answer.Call = m.Call
	s.out.Send(answer)
}

// followLeader keeps the leaders of the two groups on one replica: routers
// have one session, and it is with the leader of the configuration group. A
// replica that leads claims only hands them to that leader. Until then claims
// are answered with ClaimRetry.
func (c *Control) followLeader() {
	for sleep.For(c.ctx, c.cfg.Heartbeat) {
		var leader string
		c.dispatcher.do(func() { leader = c.dispatcher.lead.leader })
		if leader == "" || leader == c.cfg.Identity.Name {
			continue
		}
		_ = c.claims.Inspect(c.ctx, func(_ time.Duration, n *consensus.Replica) {
			if n.Status().Role == consensus.Leader {
				n.Transfer(leader)
			}
		})
	}
}

// claimWatchers wakes those who wait for the outcome of a claim.
type claimWatchers struct {
	mu      sync.Mutex
	waiting map[claimName]map[*claimWatcher]bool
}

type claimName struct{ account, key string }

type claimWatcher struct {
	name    claimName
	settled chan struct{} // buffered
}

func newClaimWatchers() *claimWatchers {
	return &claimWatchers{waiting: map[claimName]map[*claimWatcher]bool{}}
}

func (cw *claimWatchers) add(account, key string) *claimWatcher {
	w := &claimWatcher{name: claimName{account, key}, settled: make(chan struct{}, 1)}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	if cw.waiting[w.name] == nil {
		cw.waiting[w.name] = map[*claimWatcher]bool{}
	}
	cw.waiting[w.name][w] = true
	return w
}

func (cw *claimWatchers) remove(w *claimWatcher) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	delete(cw.waiting[w.name], w)
	if len(cw.waiting[w.name]) == 0 {
		delete(cw.waiting, w.name)
	}
}

// settled is called by the claims replica's goroutine.
func (cw *claimWatchers) settled(account, key string, _ protocol.Claimed) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	for w := range cw.waiting[claimName{account, key}] {
		select {
		case w.settled <- struct{}{}:
		default:
		}
	}
}
