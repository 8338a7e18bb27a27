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
	if head.Misdirected || (head.Backoff <= 0 && !head.Leaving) {
		return
	}
	before, after := g.table.heed(a.serverID, head)
	if head.Backoff > 0 {
		g.stats.count("backoffs", "pool", a.entry.Pool)
	}
	now := g.now()
	switch {
	case after.Leaving() && !before.Leaving():
		g.stats.count("leaving", "pool", a.entry.Pool)
		g.cfg.Log.StateChange("backend leaving", slog.String("backend", a.serverID))
	case before.Admits(now) && !after.Admits(now):
		g.cfg.Log.StateChange("backend backoff", slog.String("backend", a.serverID), milliseconds("backoff_ms", head.Backoff))
	}
}

// heed takes what a backend server says, and returns what it had said before and has said now.
func (t *table) heed(server string, head AnswerHead) (before, after backpressure.Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	before = t.notice(server)
	after = before.WithBackoff(now, head.Backoff)
	if head.Leaving {
		after = after.WithLeaving()
	}
	t.setNotice(now, server, after)
	if after.Leaving() && !before.Leaving() {
		t.classifyVersions()
	}
	return before, after
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
	return t.unlistedNotices[server].Notice
}

// unlistedNotice is what a backend server has said that is not listed.
type unlistedNotice struct {
	backpressure.Notice
	since time.Duration // it is not listed
}

// expired reports whether the notice need not be kept: servers that leave end, and are not listed again
// after so long.
func (n unlistedNotice) expired(now time.Duration) bool {
	return n.Admits(now) || now-n.since > backpressure.LongestBackoff
}

// setNotice keeps what a backend server has said. Of one that is not listed it is kept as well, for as
// long as it matters: the directory may list it again. The caller holds mu.
func (t *table) setNotice(now time.Duration, server string, n backpressure.Notice) {
	if k := t.servers[server]; k != nil {
		k.notice = n
		return
	}
	if n.Admits(now) {
		return
	}
	maps.DeleteFunc(t.unlistedNotices, func(_ string, o unlistedNotice) bool { return o.expired(now) })
	t.unlistedNotices[server] = unlistedNotice{Notice: n, since: now}
}

// allBackingOff reports whether all servers that the request may have and has not tried, those that leave
// aside, want nothing for longer than it waits, and how long it is until the first of all that it may have
// takes requests. The caller holds mu.
func (t *table) allBackingOff(p *pool, now time.Duration, req *requirements) (soonest time.Duration, all bool) {
	soonest = backpressure.LongestBackoff
	for _, k := range p.servers {
		if !t.inService(k) || k.versionSet&req.versionSet == 0 || !t.mayBeServedAt(req, k) {
			continue
		}
		left := k.notice.BackoffLeft(now)
		if left <= req.outlast && !req.avoid[k.ID] {
			return 0, false
		}
		soonest = min(soonest, left)
		all = all || left > 0
	}
	return soonest, all
}
