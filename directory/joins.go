// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
)

// This file defines how announced backend servers are logged. A new leader restores its registry
// from the log.
//
// When all servers of a new fleet announce themselves, logging them sends each replica as many
// bytes as the whole list. In a single log entry these bytes delay the heartbeats: 1,500 servers to
// four replicas take 2.3 s of a link of 1.6 Mbit/s, so that the leader was deposed before the entry
// was committed, and the next leader had none of the servers. Registrations are therefore logged
// under a rate limit of their own, separate from that of lists: no caller waits for them, and lists must not
// wait for them.

// joinLinkShare is the fraction of the box's link for logging registrations. Lists use half of the
// link, so 0.4 is left for heartbeats.
const joinLinkShare = 0.1

// joinTimeout limits one attempt to log announced backend servers.
const joinTimeout = 2 * time.Second

// logJoins logs newly announced backend servers. It is called once per tick.
func (h *hub) logJoins() {
	if h.loggingJoins {
		return
	}
	now, followers := h.d.replica.Now(), max(len(h.leadership.Load().voters)-1, 1)
	n := min(len(h.unloggedJoins), h.joinPace.EntryAllowance(now, followers))
	if n == 0 {
		return
	}
	c := command{Join: h.unloggedJoins[:n:n]}
	h.unloggedJoins, h.loggingJoins = h.unloggedJoins[n:], true
	h.joinPace.RecordSent(now, followers*int(registry.ListBytes(n)))
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, joinTimeout)
		defer cancel()
		// On failure a later leader gets the server with its next announcement.
		_ = h.d.propose(ctx, c)
		h.post(func() { h.loggingJoins = false })
	}()
}
