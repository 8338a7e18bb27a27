// SPDX-License-Identifier: Apache-2.0

package directory

import "github.com/badgerspoke/badgerspoke/protocol"

// This file defines how the leader carries out the rollouts of pools: it gathers what gateways
// report, has package rollout decide, and sends the gateways the shares. All runs in the hub's
// goroutine.

// rollouts is the rollouts of one term.
type rollouts struct{}

// beginRollouts begins a term with the rollouts that the log holds.
func (h *hub) beginRollouts() { h.rollouts = rollouts{} }

// addOutcomes takes a gateway's report.
func (h *hub) addOutcomes(*session, protocol.Usage) {}

// stepRollouts decides on each rollout under way. It is called with each tick and each change
// of the applied state.
func (h *hub) stepRollouts() {}

// sendRollouts sends a session that opens all rollouts.
func (h *hub) sendRollouts(*session) {}

// forgetOutcomes forgets what a session that has ended reported.
func (h *hub) forgetOutcomes(*session) {}
