// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"maps"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/backpressure"
)

// This file applies backend servers' notices, that is, requests for backoff and announcements that
// they are leaving. The rules are in coordination/backpressure.

// applyNotice applies the notice in an answer of an attempt's backend server. A misdirected answer
// is ignored, because it comes from another server at that address.
func (g *Gateway) applyNotice(a *assignment, head AnswerHead) {
	if head.Misdirected || (head.Backoff <= 0 && !head.Leaving) {
		return
	}
	before, after := g.table.recordNotice(a.serverID, head)
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

// recordNotice records a server's notice and returns its notices before and after.
func (t *table) recordNotice(server string, head AnswerHead) (before, after backpressure.Notice) {
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

// admits reports whether a backend server's notice allows requests.
func (t *table) admits(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notice(server).Admits(t.now())
}

// hasAnnouncedLeave reports whether a server has announced that it leaves, with an answer or to the directory, which
// then lists it no longer. A server that is not listed because another one has its address has announced nothing.
func (t *table) hasAnnouncedLeave(k *knownServer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notice(k.ID).Leaving() || k.removed && t.byAddress[k.Address] == nil
}

// notice returns a backend server's notice, whether the server is listed or not. The caller holds
// mu.
func (t *table) notice(server string) backpressure.Notice {
	if k := t.servers[server]; k != nil {
		return k.notice
	}
	return t.unlistedNotices[server].Notice
}

// unlistedNotice is the notice of a backend server that is not listed.
type unlistedNotice struct {
	backpressure.Notice
	since time.Duration // when the server was removed from the list
}

// expired reports whether the notice can be dropped. A server that is leaving ends and is not
// listed again after backpressure.MaxBackoff.
func (n unlistedNotice) expired(now time.Duration) bool {
	return n.Admits(now) || now-n.since > backpressure.MaxBackoff
}

// setNotice stores a backend server's notice. The notice of an unlisted server is kept for as long
// as it applies, because the directory may list the server again. The caller holds mu.
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

// allBackingOff reports whether all untried servers that the request may use asked for more backoff
// than the request waits; servers that are leaving are ignored. It also returns the time until the
// first of all usable servers accepts requests again. The caller holds mu.
func (t *table) allBackingOff(p *pool, now time.Duration, req *requirements) (soonest time.Duration, all bool) {
	soonest = backpressure.MaxBackoff
	for _, k := range p.servers {
		if !t.inService(k) || k.versionSet&req.versionSet == 0 || !req.version.allows(k.Version) || !t.homesAllow(req, k) {
			continue
		}
		left := k.notice.BackoffLeft(now)
		if left <= req.maxBackoff && !req.triedServers[k.ID] {
			return 0, false
		}
		soonest = min(soonest, left)
		all = all || left > 0
	}
	return soonest, all
}
