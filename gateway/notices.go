// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"maps"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/backpressure"
)

// This file defines how the gateway heeds what backend servers say of further requests. The rules
// are in coordination/backpressure.

// heed takes what the backend server of an attempt says of further requests. An answer from another
// server at its address says nothing of it.
func (g *Gateway) heed(a *assignment, head AnswerHead) {
	if head.Misdirected || head.Rest <= 0 {
		return
	}
	g.stats.count("rests", "pool", a.known.Pool)
	if g.table.rest(a.server, head.Rest) {
		g.cfg.Log.StateChange("backend at rest", slog.String("backend", a.server), milliseconds("rest_ms", head.Rest))
	}
}

// rest notes that a backend server wants nothing for a while, and reports whether it took requests
// until now.
func (t *table) rest(server string, rest time.Duration) (began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	notice := t.notice(server)
	t.setNotice(now, server, notice.WithRest(now, rest))
	return notice.Admits(now)
}

// admits reports whether a backend server may have a request, as far as it has said.
func (t *table) admits(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notice(server).Admits(t.now())
}

// notice returns what a backend server has said, listed or not. The caller holds mu.
func (t *table) notice(server string) backpressure.Notice {
	if k := t.servers[server]; k != nil {
		return k.notice
	}
	return t.unlistedNotices[server]
}

// setNotice keeps what a backend server has said. Of one that is not listed it is kept as well, for as
// long as it matters: the directory may list it again. The caller holds mu.
func (t *table) setNotice(now time.Duration, server string, n backpressure.Notice) {
	if k := t.servers[server]; k != nil {
		k.notice = n
		return
	}
	maps.DeleteFunc(t.unlistedNotices, func(_ string, o backpressure.Notice) bool { return o.Admits(now) })
	if !n.Admits(now) {
		t.unlistedNotices[server] = n
	}
}

// allAtRest reports whether all servers that the request may have and has not tried want nothing for
// longer than it waits, and how long it is until the first of all that it may have takes requests.
// The caller holds mu.
func (t *table) allAtRest(p *pool, now time.Duration, req *requirements) (soonest time.Duration, all bool) {
	soonest = backpressure.LongestRest
	for _, k := range p.servers {
		if t.hallsOut[k.Hall] || k.versions&req.versions == 0 || !t.mayBeServedAt(req, k) {
			continue
		}
		left := k.notice.Rest(now)
		if left <= req.outlast && !req.avoid[k.ID] {
			return 0, false
		}
		soonest = min(soonest, left)
		all = all || left > 0
	}
	return soonest, all
}
