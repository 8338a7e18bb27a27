// SPDX-License-Identifier: Apache-2.0

package outlier

import "time"

// This file defines Consecutive, the routers' rule: consecutive failures.

// Limits of a router's ejections.
const (
	failuresToEject   = 3 // consecutive failures
	minRouterEjection = time.Second
	maxRouterEjection = 30 * time.Second // maximum, reached after failed trials
)

// Consecutive tracks the failures of the servers of one pool. Only failures of the server count, such as
// refusals, lost connections and silence, but not bad requests.
type Consecutive struct {
	servers map[string]*streak // without servers whose last request succeeded
	size    int                // number of servers in the pool
}

type streak struct {
	ejection
	failures int // consecutive
	// unconfirmed is the number of unconfirmed trials since the last ejection.
	unconfirmed int
}

// NewConsecutive returns a tracker with all servers in use.
func NewConsecutive() *Consecutive { return &Consecutive{servers: map[string]*streak{}} }

// SetSize sets the number of serving servers in the pool.
func (c *Consecutive) SetSize(n int) { c.size = n }

// Usable reports whether a request may be sent to the server: it is in use, or its ejection has ended and
// no trial is under way.
func (c *Consecutive) Usable(now time.Duration, server string) bool {
	s := c.servers[server]
	return s == nil || s.State(now) != Ejected
}

// Sent records a request sent to the server, which is the trial if one is due.
func (c *Consecutive) Sent(now time.Duration, server string) {
	if s := c.servers[server]; s != nil {
		s.Sent(now)
	}
}

// Succeeded records an answer of the server.
func (c *Consecutive) Succeeded(server string) { delete(c.servers, server) }

// Abandoned records a request that ended for a reason other than the server, such as a caller that gave
// up.
func (c *Consecutive) Abandoned(server string) {
	if s := c.servers[server]; s != nil {
		s.inTrial = false
	}
}

// Unconfirmed records an answer of the server that nothing states to be complete.
func (c *Consecutive) Unconfirmed(server string) {
	s := c.servers[server]
	if s == nil || !s.inTrial {
		return
	}
	s.inTrial = false
	if s.unconfirmed++; s.unconfirmed == unconfirmedTrials {
		delete(c.servers, server)
	}
}

// Failed records a failure of the server and reports whether the server is ejected now.
func (c *Consecutive) Failed(now time.Duration, server string) bool {
	s := c.servers[server]
	if s == nil {
		s = &streak{}
		c.servers[server] = s
	}
	s.failures++
	if s.inTrial || (s.failures >= failuresToEject && s.until == 0) {
		return c.eject(now, s)
	}
	return s.until > 0
}

// eject ejects a server unless half of the pool is ejected already. If most of a pool fails, the cause is
// more likely between this router and the pool.
func (c *Consecutive) eject(now time.Duration, s *streak) bool {
	if s.until == 0 && 2*(c.ejected()+1) > c.size {
		return false
	}
	s.unconfirmed = 0
	s.eject(now, minRouterEjection, maxRouterEjection)
	return true
}

func (c *Consecutive) ejected() int {
	n := 0
	for _, s := range c.servers {
		if s.until > 0 {
			n++
		}
	}
	return n
}
