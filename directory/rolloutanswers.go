// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file answers operators' rollout orders that arrive on fleet links.

// orderTimeout bounds the execution of one order. A commit takes milliseconds, an election some
// hundred.
const orderTimeout = 2 * time.Second

// serveRolloutOrder answers an operator's order that arrived as the first message of a link. An
// operator that gets no answer repeats the order. If the sender no longer waits, the order was delayed
// on the way and is dropped.
func (d *Directory) serveRolloutOrder(ctx context.Context, l *link.Link, o protocol.RolloutOrder) {
	ctx, waits := l.PeerIsReceiving(ctx)
	if !waits {
		d.cfg.Log.Failure("rollout order ignored: caller closed the connection", slog.String("pool", o.Pool), slog.String("target", o.Target))
		return
	}
	_ = l.Send(ctx, d.executeRolloutOrder(ctx, o)) // not bounded by orderTimeout, which may have expired
}

// executeRolloutOrder executes an operator's order and returns the answer.
func (d *Directory) executeRolloutOrder(ctx context.Context, o protocol.RolloutOrder) protocol.RolloutAnswer {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := d.applyRolloutOrder(ctx, o); err != nil {
		return errorAnswer(err)
	}
	newest, err := d.Rollout(ctx, o.Pool)
	switch {
	case err == nil:
		return protocol.RolloutAnswer{Outcome: protocol.OrderDone, Newest: rolloutStatus(newest)}
	case o.Action == protocol.OrderStatus:
		return errorAnswer(err)
	}
	return protocol.RolloutAnswer{Outcome: protocol.OrderDone} // the order was executed; only reading the rollout failed
}

// applyRolloutOrder makes the change that an operator's order requests, if any.
func (d *Directory) applyRolloutOrder(ctx context.Context, o protocol.RolloutOrder) error {
	switch o.Action {
	case protocol.OrderStart:
		return d.StartRollout(ctx, rollout.Order{Pool: o.Pool, Target: o.Target, Duration: o.Duration})
	case protocol.OrderStatus:
		return nil
	case protocol.OrderAbort:
		return d.AbortRollout(ctx, o.Pool, o.Attempt)
	}
	return rollout.InvalidOrder{Reason: "this version does not support the requested action"}
}

// errorAnswer returns the answer to an order that failed.
func errorAnswer(err error) protocol.RolloutAnswer {
	var notLeader NotLeader
	answer := protocol.RolloutAnswer{Outcome: protocol.OrderRefused, Reason: err.Error()}
	switch {
	case errors.As(err, &notLeader):
		answer.Outcome, answer.Leader = protocol.OrderNotLeader, notLeader.Leader
	case errors.As(err, new(RolloutConflict)):
		answer.Outcome = protocol.OrderConflict
	case errors.As(err, new(Unavailable)):
		answer.Outcome = protocol.OrderUnknown
	}
	return answer
}

func rolloutStatus(r document.Rollout) *protocol.RolloutStatus {
	return &protocol.RolloutStatus{
		Target: r.Target, State: uint8(r.State), Attempt: r.Attempt, Duration: r.Duration, Elapsed: r.Elapsed,
		Barred: r.Barred, Replaced: r.Replaced,
	}
}
