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

// This file defines the orders that take a data hall out of service or put it back.

// maxHallName bounds a hall's name, in bytes.
const maxHallName = 255

// UnknownHall refuses an order for a data hall that neither the settings name nor any
// backend server announced. Nothing was changed.
type UnknownHall struct{ Hall string }

// Error names the hall.
func (e UnknownHall) Error() string { return "no data hall is called " + e.Hall }

// UnclearOrder refuses an order that may be a late copy of an earlier one. Nothing was
// changed; it may be sent again.
type UnclearOrder struct{ Hall string }

// Error names the hall.
func (e UnclearOrder) Error() string {
	return "an equal order for " + e.Hall + " was followed by its opposite a moment ago; this may be a late copy of it"
}

// TakeHallOut asks that no backend server of a data hall gets anything more, until
// PutHallBack. When it returns nil, the order is on the disks of a majority and on its way
// to the gateways. The error is [UnknownHall], [UnclearOrder], [NotLeader] or [Unavailable].
func (d *Directory) TakeHallOut(ctx context.Context, hall string) error {
	return d.orderHall(ctx, hall, true)
}

// PutHallBack ends TakeHallOut, with the same errors.
func (d *Directory) PutHallBack(ctx context.Context, hall string) error {
	return d.orderHall(ctx, hall, false)
}

// HallsOut returns the data halls that are out of service by the newest acknowledged state.
// The error is [NotLeader] or [Unavailable].
func (d *Directory) HallsOut(ctx context.Context) (out []string, err error) {
	err = d.inspectAsLeader(ctx, func() { out, _ = d.state.HallsOut() })
	return out, err
}

// orderTries is how often an order is decided on anew whose change another one came before. Two
// operators at most give orders at a time.
const orderTries = 4

// orderHall carries an order out. A change that another one came before is decided anew.
func (d *Directory) orderHall(ctx context.Context, hall string, out bool) error {
	for range orderTries {
		verdict, change, err := d.decideHall(ctx, hall, out)
		switch {
		case err != nil:
			return err
		case verdict == evacuation.AlreadyApplied:
			return nil
		case verdict == evacuation.Ambiguous:
			d.cfg.Log.Failure("hall order unclear", slog.String("hall", hall), slog.Bool("out", out))
			return UnclearOrder{Hall: hall}
		case !d.knowsHall(hall):
			return UnknownHall{Hall: hall}
		}
		if err := d.propose(ctx, command{Hall: &change}); err != nil {
			return err
		}
	}
	return Unavailable{}
}

// decideHall returns what is to be done about an order by the newest acknowledged state,
// which only the leader knows.
func (d *Directory) decideHall(ctx context.Context, hall string, out bool) (evacuation.Verdict, document.HallChange, error) {
	var verdict evacuation.Verdict
	var change document.HallChange
	err := d.inspectAsLeader(ctx, func() { verdict, change = d.state.decideHallOrder(hall, out) })
	return verdict, change, err
}

// inspectAsLeader runs f while this replica leads, with all that was acknowledged applied. The
// error is [NotLeader] or [Unavailable]; f may have run then.
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
	case d.replica.Now() >= until: // the lease ran out while this goroutine waited
		return Unavailable{}
	}
	return nil
}

// knowsHall reports whether the settings or a backend server name a hall.
func (d *Directory) knowsHall(hall string) bool {
	if hall == "" || len(hall) > maxHallName {
		return false
	}
	return slices.Contains(d.cfg.Halls, hall) ||
		slices.ContainsFunc(d.state.Joined(), func(s protocol.Registration) bool { return s.Hall == hall })
}

// pushHalls sends every session the halls that are out of service, if they have changed, and
// in the same message that the backend servers of a hall that is back may be cold.
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
		slog.Any("returned", returned), slog.Int("gateways", len(h.gateways())), slog.Any("unaware", h.unawareOfHalls()))
}

// unawareOfHalls returns the gateways whose version does not know halls that are out of
// service: they go on sending there until they are upgraded.
func (h *hub) unawareOfHalls() []string {
	var names []string
	for name, g := range h.gateways() {
		if !g.KnowsHalls {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
