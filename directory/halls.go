// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/consensus"
	"github.com/badgerspoke/badgerspoke/coordination/evacuation"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file implements the orders that take a data hall out of service and put it back.

// maxHallName bounds the length of a hall's name, in bytes.
const maxHallName = 255

// UnknownHall is the error of an order for a data hall that neither the settings nor a backend server names.
// Nothing was changed.
type UnknownHall struct{ Hall string }

// Error names the hall.
func (e UnknownHall) Error() string { return "no data hall is called " + e.Hall }

// AmbiguousOrder is the error of an order that may be a delayed copy of an earlier one. Nothing was changed; the
// order may be repeated.
type AmbiguousOrder struct{ Hall string }

// Error names the hall.
func (e AmbiguousOrder) Error() string {
	return "the same order for " + e.Hall + " was recently followed by its opposite; this may be a delayed copy of it"
}

// TakeHallOut stops all requests to the backend servers of a data hall until PutHallBack. It returns nil
// once the order is on the disks of a majority and on its way to the gateways. The error is
// [UnknownHall], [AmbiguousOrder], [NotLeader] or [Unavailable].
func (d *Directory) TakeHallOut(ctx context.Context, hall string) error {
	return d.orderHall(ctx, hall, true)
}

// PutHallBack returns a data hall to service. It has the same errors as TakeHallOut.
func (d *Directory) PutHallBack(ctx context.Context, hall string) error {
	return d.orderHall(ctx, hall, false)
}

// HallsOut returns the data halls that are out of service in the newest acknowledged state. The error
// is [NotLeader] or [Unavailable].
func (d *Directory) HallsOut(ctx context.Context) (out []string, err error) {
	err = d.inspectAsLeader(ctx, func() { out, _ = d.state.HallsOut() })
	return out, err
}

// maxOrderAttempts bounds the attempts to commit an order when concurrent changes are committed first.
// At most two operators give orders at the same time.
const maxOrderAttempts = 4

// orderHall executes an order. If another change was committed first, it evaluates the order again.
func (d *Directory) orderHall(ctx context.Context, hall string, out bool) error {
	for range maxOrderAttempts {
		verdict, change, err := d.decideHallOrder(ctx, hall, out)
		switch {
		case err != nil:
			return err
		case verdict == evacuation.AlreadyApplied:
			return nil
		case verdict == evacuation.Ambiguous:
			d.cfg.Log.Failure("ambiguous hall order", slog.String("hall", hall), slog.Bool("out", out))
			return AmbiguousOrder{Hall: hall}
		case !d.isHallKnown(hall):
			return UnknownHall{Hall: hall}
		}
		if err := d.propose(ctx, command{Hall: &change}); err != nil {
			return err
		}
	}
	return Unavailable{}
}

// decideHallOrder evaluates an order against the newest acknowledged state, which only the leader has.
func (d *Directory) decideHallOrder(ctx context.Context, hall string, out bool) (evacuation.Verdict, document.HallChange, error) {
	var verdict evacuation.Verdict
	var change document.HallChange
	err := d.inspectAsLeader(ctx, func() { verdict, change = d.state.decideHallOrder(hall, out) })
	return verdict, change, err
}

// inspectAsLeader runs f while this replica leads and has applied all that was acknowledged. The error
// is [NotLeader] or [Unavailable]; f may have run even then.
func (d *Directory) inspectAsLeader(ctx context.Context, f func()) error {
	var leads bool
	var leader string
	var until time.Duration
	err := d.replica.Inspect(ctx, func(now time.Duration, n *consensus.Replica) {
		s := n.Status()
		leader, until, leads = s.Leader.Name, s.LeaseEnd, n.Leads(now)
		f()
	})
	switch {
	case err != nil:
		return Unavailable{Err: err}
	case !leads:
		return d.leadershipError(leader)
	case d.replica.Now() >= until: // the lease expired while this goroutine waited
		return Unavailable{}
	}
	return nil
}

// isHallKnown reports whether the settings or a backend server name a hall.
func (d *Directory) isHallKnown(hall string) bool {
	if hall == "" || len(hall) > maxHallName {
		return false
	}
	return slices.Contains(d.cfg.Halls, hall) ||
		slices.ContainsFunc(d.state.Joined(), func(s protocol.Registration) bool { return s.Hall == hall })
}

// pushHalls sends every session the halls that are out of service, if they have changed. The same
// message marks the backend servers of a returned hall as possibly cold.
func (h *hub) pushHalls() {
	out, changes := h.d.state.HallsOut()
	if changes == h.sentHallChanges {
		return
	}
	h.sentHallChanges = changes
	now := h.d.replica.Now()
	returned := h.d.state.hallsReturnedWithin(h.registry.PresumedColdTime())
	h.pendingChange = h.pendingChange.Merge(h.registry.PresumeCold(now, returned, h.d.state.coldRates()))
	h.sendChanges()
	h.d.cfg.Log.StateChange("halls out of service", slog.Any("halls", out), slog.Uint64("changes", changes),
		slog.Any("returned", returned), slog.Int("gateways", len(h.gateways())), slog.Any("unaware", h.gatewaysWithoutHalls()))
}

// gatewaysWithoutHalls returns the gateways whose version does not support halls out of service: they
// keep sending requests there until they are upgraded.
func (h *hub) gatewaysWithoutHalls() []string {
	var names []string
	for name, g := range h.gateways() {
		if !g.SupportsHalls {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
