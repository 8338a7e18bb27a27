// SPDX-License-Identifier: Apache-2.0

package place

import "time"

// This file defines Health: which servers of a pool are left alone for a
// while because they failed, and when one request may try again.

// Limits of ejection.
const (
	failuresToEject = 3 // in a row
	shortestEject   = time.Second
	longestEject    = 30 * time.Second
)

// Health follows the failures of the servers of one pool. Only failures of
// the server count: refusals, lost connections, silence; not bad requests.
type Health struct {
	servers map[string]*health
	size    int // of the pool
}

type health struct {
	failures int
	until    time.Duration // ejected until then; 0 is not ejected
	wait     time.Duration // of the next ejection
	probing  bool          // one request is trying
}

// NewHealth returns a health table in which every server is well.
func NewHealth() *Health { return &Health{servers: map[string]*health{}} }

// SetSize tells the number of serving servers of the pool.
func (h *Health) SetSize(n int) { h.size = n }

// Usable reports whether a request may go to the server: it is well, or its
// ejection has ended and nobody else is probing it.
func (h *Health) Usable(now time.Duration, server string) bool {
	s := h.servers[server]
	if s == nil || s.until == 0 {
		return true
	}
	return now >= s.until && !s.probing
}

// Sent tells that a request goes to the server. On an ejected one it is the
// probe.
func (h *Health) Sent(server string) {
	if s := h.servers[server]; s != nil && s.until > 0 {
		s.probing = true
	}
}

// Succeeded tells that the server answered.
func (h *Health) Succeeded(server string) { delete(h.servers, server) }

// Abandoned tells that a request ended without telling anything about the
// server, such as one that its caller gave up.
func (h *Health) Abandoned(server string) {
	if s := h.servers[server]; s != nil {
		s.probing = false
	}
}

// Failed tells that the server failed a request, and reports whether it is
// ejected now.
func (h *Health) Failed(now time.Duration, server string) bool {
	s := h.servers[server]
	if s == nil {
		s = &health{wait: shortestEject}
		h.servers[server] = s
	}
	s.failures++
	if s.probing || (s.failures >= failuresToEject && s.until == 0) {
		return h.eject(now, server, s)
	}
	return s.until > 0
}

func (h *Health) eject(now time.Duration, server string, s *health) bool {
	s.probing = false
	if s.until == 0 && 2*(h.ejected()+1) > h.size {
		return false // never more than half of the pool
	}
	s.until = now + s.wait
	s.wait = min(2*s.wait, longestEject)
	return true
}

func (h *Health) ejected() int {
	n := 0
	for _, s := range h.servers {
		if s.until > 0 {
			n++
		}
	}
	return n
}
