// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"errors"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines how operators' commands about rollouts are answered on fleet links.

// commandTimeout bounds what one command waits for. Chosen, not measured: a commit takes
// milliseconds, an election some hundred.
const commandTimeout = 2 * time.Second

// serveOrder answers an operator's command on a link that its first message has opened.
func (d *Directory) serveOrder(ctx context.Context, l *link.Link, o protocol.RolloutOrder) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	answer := answerTo(d.obey(ctx, o))
	if answer.Outcome == protocol.OrderDone {
		// What cannot be read now is left out: the order itself is acknowledged.
		if newest, err := d.Rollout(ctx, o.Pool); err == nil {
			answer.Newest = statusOf(newest)
		}
	}
	_ = l.Send(ctx, answer) // an operator that gets none sends the order again
}

// obey does what an operator's command asks for.
func (d *Directory) obey(ctx context.Context, o protocol.RolloutOrder) error {
	switch o.Act {
	case protocol.OrderStart:
		return d.StartRollout(ctx, rollout.Order{Pool: o.Pool, Target: o.Target, Duration: o.Duration})
	case protocol.OrderStatus:
		_, err := d.Rollout(ctx, o.Pool)
		return err
	case protocol.OrderAbort:
		return d.AbortRollout(ctx, o.Pool)
	}
	return rollout.InvalidOrder{What: "this version does not know what it asks for"}
}

// answerTo returns the answer to an order that ended so.
func answerTo(err error) protocol.RolloutAnswer {
	if err == nil {
		return protocol.RolloutAnswer{Outcome: protocol.OrderDone}
	}
	var elsewhere NotLeader
	answer := protocol.RolloutAnswer{Outcome: protocol.OrderRefused, Reason: err.Error()}
	switch {
	case errors.As(err, &elsewhere):
		answer.Outcome, answer.Leader = protocol.OrderElsewhere, elsewhere.Leader
	case errors.As(err, new(RolloutConflict)):
		answer.Outcome = protocol.OrderConflict
	case errors.As(err, new(Unavailable)):
		answer.Outcome = protocol.OrderUnclear
	}
	return answer
}

func statusOf(r document.Rollout) *protocol.RolloutStatus {
	return &protocol.RolloutStatus{
		Target: r.Target, State: uint8(r.State), Attempt: r.Attempt, Duration: r.Duration, Elapsed: r.Elapsed,
		Barred: r.Barred, Replaced: r.Replaced,
	}
}
