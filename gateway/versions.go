// SPDX-License-Identifier: Apache-2.0

package gateway

import "github.com/badgerspoke/badgerspoke/protocol"

// This file defines which versions of a pool's backend servers a request may go to while the
// pool has a rollout, and what is counted of the answers for the leader's verdict.

// updateRollouts takes the directory's list of rollouts.
func (t *table) updateRollouts(protocol.Rollouts) {}

// takeOutcomes returns what a report says of rollouts: the outcomes that have changed since
// the last one, and the number of the newest list that is obeyed.
func (t *table) takeOutcomes() (outcomes []protocol.Outcomes, obeyed uint64) { return nil, 0 }

// mayHaveVersion reports whether a request may go to a server by the server's version. The
// caller holds mu.
func (t *table) mayHaveVersion(*requirements, *knownServer) bool { return true }

// countOutcome counts how an attempt ended. The caller holds mu.
func (t *table) countOutcome(*assignment) {}
