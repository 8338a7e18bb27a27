// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"context"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
)

// This file defines how announced backend servers come into the log, from which a later leader starts.
//
// All servers that announce themselves to a new fleet are as many bytes for each other replica as the whole list
// is. In one entry of the log they wait for nothing, and what keeps the leader waits behind them: 1,500 of them,
// to four replicas, are 2.3 s of a link of 1.6 Mbit/s, and the leader lost its lead before the entry was
// committed; the next one knew none of them. So they go in at a pace of their own, beside that of lists: nobody waits
// for them, and lists are not to wait for them.

// joinPart is the part of the box's link that they may have. With half of it for lists 0.4 are left
// for what keeps a leader.
const joinPart = 0.1

// joinTimeout bounds how long the logging of announced backend servers is tried.
const joinTimeout = 2 * time.Second

// logJoins puts backend servers that have announced themselves into the log. It is called once a tick.
func (h *hub) logJoins() {
	if h.joining {
		return
	}
	now, others := h.d.replica.Now(), max(len(h.leadership.Load().voters)-1, 1)
	n := min(len(h.unloggedJoins), h.joinPace.EntryAllowance(now, others))
	if n == 0 {
		return
	}
	c := command{Join: h.unloggedJoins[:n:n]}
	h.unloggedJoins, h.joining = h.unloggedJoins[n:], true
	h.joinPace.RecordSent(now, others*int(registry.ListBytes(n)))
	go func() {
		ctx, cancel := context.WithTimeout(h.d.ctx, joinTimeout)
		defer cancel()
		// A later leader that lacks one gets it with its next announcement.
		_ = h.d.propose(ctx, c)
		h.post(func() { h.joining = false })
	}()
}
