// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// Voters returns the fleet addresses of the replicas that vote, for tests.
func (d *Directory) Voters() []string { return d.hub.leadership.Load().voters }

// Joined returns the backend servers that the log holds, for tests.
func (d *Directory) Joined() []protocol.Registration { return d.state.Joined() }

// ChangeRollout puts a change into the log, as the leader does that ends a rollout, for tests.
func (d *Directory) ChangeRollout(ctx context.Context, c document.RolloutChange) (changed bool, err error) {
	return d.proposeChange(ctx, command{Rollout: &c})
}

// UnawareOfVersions returns the gateways that a line about an order names, for tests.
func (d *Directory) UnawareOfVersions(ctx context.Context) (names []string, err error) {
	err = d.hub.do(ctx, func() error { names = d.hub.gatewaysWithoutRollouts(); return nil })
	return names, err
}

// Serves returns the gateways that have their sessions here, for tests.
func (d *Directory) Serves(ctx context.Context) (names []string, err error) {
	err = d.hub.do(ctx, func() error {
		for s := range d.hub.sessions {
			if !s.relay {
				names = append(names, s.gateway)
			}
		}
		return nil
	})
	return names, err
}
