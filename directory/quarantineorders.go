// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file implements operators' orders about condemned requests.

// NotCondemned is the error of the release of a request that is not condemned. Nothing was changed.
type NotCondemned struct{ Key string }

// Error names the key.
func (e NotCondemned) Error() string {
	return "no request or set of parts with the key " + e.Key + " is condemned"
}

// Condemned returns the condemned requests, which are sent to no backend server, oldest first. The
// error is [NotLeader] or [Unavailable].
func (d *Directory) Condemned() ([]document.Condemned, error) {
	if err := d.checkLeading(); err != nil {
		return nil, err
	}
	return d.state.Condemned(), nil
}

// Release allows a condemned request to be sent to backend servers again. It returns nil once that is
// on the disks of a majority. The error is [NotCondemned], [NotLeader] or [Unavailable].
func (d *Directory) Release(ctx context.Context, k quarantine.Key) error {
	if err := d.checkLeading(); err != nil {
		return err
	}
	if err := d.hub.do(ctx, func() error { return d.hub.dropEvidence(k) }); err != nil {
		return err
	}
	released, err := d.proposeChange(ctx, command{Condemned: &document.CondemnedChange{Release: k[:]}})
	switch {
	case err != nil:
		return err
	case !released:
		return NotCondemned{Key: k.String()}
	}
	d.cfg.Log.StateChange("request released", slog.String("key", k.String()), slog.String("why", "ordered"))
	return nil
}

// dropEvidence discards the evidence against a request. The error is [Unavailable].
func (h *hub) dropEvidence(k quarantine.Key) error {
	if h.term == 0 {
		return Unavailable{}
	}
	h.evidence.tracker.Clear(k)
	delete(h.evidence.unlogged, k)
	h.evidence.parts.tracker.Release(k)
	delete(h.evidence.parts.unlogged, k)
	return nil
}

// serveQuarantineOrder answers an operator's order that arrived as the first message of a link.
func (d *Directory) serveQuarantineOrder(ctx context.Context, l *link.Link, o protocol.QuarantineOrder) {
	ctx, waits := l.PeerIsReceiving(ctx)
	if !waits {
		return // the sender repeats the order
	}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_ = l.Send(ctx, d.executeQuarantineOrder(orderCtx, o)) // not bounded by orderTimeout, which may have expired
}

func (d *Directory) executeQuarantineOrder(ctx context.Context, o protocol.QuarantineOrder) protocol.QuarantineAnswer {
	if len(o.Release) > 0 {
		k, ok := quarantine.KeyFrom(o.Release)
		if !ok {
			return protocol.QuarantineAnswer{Outcome: protocol.OrderRefused, Reason: "a key must have 16 bytes"}
		}
		if err := d.Release(ctx, k); err != nil {
			return quarantineErrorAnswer(err)
		}
	}
	condemned, err := d.Condemned()
	if err != nil {
		return quarantineErrorAnswer(err)
	}
	answer := protocol.QuarantineAnswer{Outcome: protocol.OrderDone}
	for _, c := range condemned {
		answer.Condemned = append(answer.Condemned, protocol.CondemnedRequest{
			Key: c.Key, Account: c.Account, Pool: c.Pool, Servers: c.Servers, Parts: c.Parts, Model: c.Model,
		})
	}
	return answer
}

// quarantineErrorAnswer returns the answer to an order that failed.
func quarantineErrorAnswer(err error) protocol.QuarantineAnswer {
	a := errorAnswer(err)
	return protocol.QuarantineAnswer{Outcome: a.Outcome, Reason: a.Reason, Leader: a.Leader}
}
