// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"

	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// Voters returns the fleet addresses of the voters, for tests.
func (d *Directory) Voters() []string { return d.hub.leadership.Load().voters }

// Joined returns the backend servers in the log, for tests.
func (d *Directory) Joined() []protocol.Registration { return d.state.Joined() }

// ChangeRollout logs a change of a rollout, as a leader does that ends one, for tests.
func (d *Directory) ChangeRollout(ctx context.Context, c document.RolloutChange) (changed bool, err error) {
	return d.proposeChange(ctx, command{Rollout: &c})
}

// GatewaysWithoutRollouts returns the gateways that an order's log line lists as unaware of versions, for
// tests.
func (d *Directory) GatewaysWithoutRollouts(ctx context.Context) (names []string, err error) {
	err = d.hub.do(ctx, func() error { names = d.hub.gatewaysWithoutRollouts(); return nil })
	return names, err
}

// ServedGateways returns the gateways whose sessions are with this replica, for tests.
func (d *Directory) ServedGateways(ctx context.Context) (names []string, err error) {
	err = d.hub.do(ctx, func() error {
		for s := range d.hub.sessions {
			if !s.isRelay {
				names = append(names, s.gateway)
			}
		}
		return nil
	})
	return names, err
}

// ReportPartBegun reports to the leader that an answer to a request with a prompt part has begun, for tests.
func (d *Directory) ReportPartBegun(ctx context.Context, k quarantine.Key) error {
	return d.hub.do(ctx, func() error { d.hub.addLosses(protocol.Usage{BegunParts: [][]byte{k[:]}}); return nil })
}
