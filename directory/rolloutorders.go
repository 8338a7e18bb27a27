// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"log/slog"
	"slices"

	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file implements operators' rollout orders: start, abort and status.

// UnknownPool is the error of an announcement for a pool that the document in force does not name, and
// of an order for a pool that neither the document nor a backend server names. Nothing was changed.
type UnknownPool struct{ Pool string }

// Error names the pool.
func (e UnknownPool) Error() string { return "no pool is called " + e.Pool }

// RolloutConflict is the error of an order that is given while another version of the pool is being
// rolled out. Nothing was changed.
type RolloutConflict struct {
	Pool   string
	Target string // version that is under way
}

// Error names the version that is under way.
func (e RolloutConflict) Error() string {
	return "a rollout of " + e.Pool + " to " + e.Target + " is under way"
}

// NoRollout is the error of a read for a pool that never had a rollout, and of an abort of an attempt
// that is not under way.
type NoRollout struct{ Pool string }

// Error names the pool.
func (e NoRollout) Error() string { return "no rollout of " + e.Pool }

// StartRollout moves a pool's requests to a version. It returns nil once the rollout is on the disks of
// a majority, if the order repeats an earlier one, or if a rollout has already moved the pool to that
// version. The error is [rollout.InvalidOrder], [UnknownPool], [RolloutConflict], [NotLeader] or
// [Unavailable].
func (d *Directory) StartRollout(ctx context.Context, o rollout.Order) error {
	if err := o.Check(); err != nil {
		return err
	}
	for range maxOrderAttempts {
		verdict, change, newest, err := d.decideRollout(ctx, o)
		switch {
		case err != nil:
			return err
		case verdict == rollout.AlreadyApplied:
			d.logOrder(o, verdict.String(), newest)
			return nil
		case verdict == rollout.Conflict:
			d.logOrder(o, verdict.String(), newest)
			return RolloutConflict{Pool: o.Pool, Target: newest.Target}
		case newest.State == 0 && !d.isPoolKnown(o.Pool):
			return UnknownPool{Pool: o.Pool}
		}
		changed, err := d.proposeChange(ctx, command{Rollout: &change})
		if err != nil {
			return err
		}
		if changed {
			newest.Attempt++
			d.logOrder(o, verdict.String(), newest)
			return nil
		}
	}
	return Unavailable{}
}

// decideRollout evaluates an order against the newest acknowledged state, which only the leader has. It
// also returns the pool's newest rollout in that state.
func (d *Directory) decideRollout(ctx context.Context, o rollout.Order) (rollout.Verdict, document.RolloutChange, document.Rollout, error) {
	var verdict rollout.Verdict
	var change document.RolloutChange
	var newest document.Rollout
	err := d.inspectAsLeader(ctx, func() { verdict, change, newest = d.state.decideRolloutOrder(o) })
	return verdict, change, newest, err
}

// Rollout returns the newest rollout of a pool in the newest acknowledged state. The error is
// [NoRollout], [NotLeader] or [Unavailable].
func (d *Directory) Rollout(ctx context.Context, pool string) (document.Rollout, error) {
	var newest document.Rollout
	var known bool
	err := d.inspectAsLeader(ctx, func() { newest, known = d.state.Rollout(pool) })
	switch {
	case err != nil:
		return document.Rollout{}, err
	case !known:
		return document.Rollout{}, NoRollout{Pool: pool}
	}
	return newest, nil
}

// AbortRollout ends a pool's attempt as rolled back if it is under way. It returns nil once that is on
// the disks of a majority, or if the attempt was already rolled back. The error is
// [rollout.InvalidOrder] without an attempt, [NoRollout], [NotLeader] or [Unavailable]. It is
// [Unavailable] also once a later attempt has begun, because the end of this one is no longer recorded.
func (d *Directory) AbortRollout(ctx context.Context, pool string, attempt uint64) error {
	if attempt == 0 {
		return rollout.InvalidOrder{Reason: "an abort must name an attempt"}
	}
	for range maxOrderAttempts {
		newest, err := d.Rollout(ctx, pool)
		if err != nil {
			return err
		}
		change, underWay := rollout.Abort(newest)
		switch {
		case newest.Attempt > attempt:
			return Unavailable{Err: errors.Errorf("attempt %d of %s is over, the newest is %d", attempt, pool, newest.Attempt)}
		case newest.Attempt == attempt && newest.State == document.RolloutRolledBack:
			return nil
		case newest.Attempt < attempt || !underWay:
			return NoRollout{Pool: pool}
		}
		changed, err := d.proposeChange(ctx, command{Rollout: &change})
		if err != nil {
			return err
		}
		if changed {
			d.logOrder(rollout.Order{Pool: pool, Target: newest.Target, Duration: newest.Duration}, "abort", newest)
			return nil
		}
	}
	return Unavailable{}
}

// isPoolKnown reports whether the document in force or a backend server names a pool.
func (d *Directory) isPoolKnown(pool string) bool {
	held, _ := d.state.CurrentDocument()
	return slices.ContainsFunc(held.Document.Pools, func(p document.Pool) bool { return p.Name == pool }) ||
		slices.ContainsFunc(d.state.Joined(), func(s protocol.Registration) bool { return s.Pool == pool })
}

// logOrder logs an order, the decision on it, and the gateways whose version does not support rollouts:
// these balance over all versions by load until they are upgraded. Only the hub has the gateways.
func (d *Directory) logOrder(o rollout.Order, verdict string, newest document.Rollout) {
	d.hub.post(func() {
		d.cfg.Log.StateChange("rollout order", slog.String("pool", o.Pool), slog.String("target", o.Target),
			slog.Float64("duration_s", o.Duration.Seconds()), slog.String("verdict", verdict), slog.Uint64("attempt", newest.Attempt),
			slog.String("newest", newest.Target), slog.Int("gateways", len(d.hub.gateways())), slog.Any("unaware", d.hub.gatewaysWithoutRollouts()))
	})
}

// gatewaysWithoutRollouts returns the gateways whose version does not support rollouts, including those
// behind relays.
func (h *hub) gatewaysWithoutRollouts() []string {
	var names []string
	for name, g := range h.gateways() {
		if !g.SupportsRollouts {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
