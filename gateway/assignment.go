// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines assignment, and how an attempt's answer and end update the state of its backend
// server.

// assignment is a backend server assigned to one attempt of a request.
type assignment struct {
	entry          *knownServer
	serverID       string
	address        string
	version        string // of the server's software, at the start
	tokensToRead   int    // prompt tokens not in the server's cache
	startedAt      time.Duration
	tokensAhead    int             // tokens queued on the server at the start
	expectedFirst  time.Duration   // expected time to the first part of the answer
	timeToFirst    time.Duration   // actual time to the first part of the answer; zero before it
	connOpenedAt   atomic.Int64    // when the connection was opened, as a time.Duration; zero if none was established
	trial          bool            // the attempt tests an ejected server
	versionAttempt versionAttempt  // how it counts in the pool's rollout
	answering      bool            // the first part of the answer was received
	framing        forward.Framing // of the answer; empty before it
	status         int             // of the answer; zero before it
	unreached      bool            // no connection was established

	notNeeded bool // nothing was sent, or it was a hedge and is cancelled

	// Guarded by table.mu.
	ended          bool
	streaming      bool            // it has begun a stream
	silenceTallied bool            // it counts as a failure of the server's version
	silenceCounted bool            // a silence of the server counts against it
	silentVerdict  outlier.Verdict // of the last silence that counted

	region        string            // of the server, at the start
	leaveReason   place.LeaveReason // why the request goes to another region; place.Stay if it does not
	homes         homes             // in force at the start
	roundTrip     time.Duration     // to the server's region
	chargedBytes  float64           // charged to the inter-region link budget
	receivedBytes int               // received from another region
}

// openedAt returns when the attempt's connection was opened, zero if none was established.
func (a *assignment) openedAt() time.Duration { return time.Duration(a.connOpenedAt.Load()) }

func (a *assignment) setOpenedAt(t time.Duration) { a.connOpenedAt.Store(int64(t)) }

// recordFirstPart records the first part of an answer, which shows that the prompt has been
// processed.
func (g *Gateway) recordFirstPart(a *assignment, engine, stream bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if a.answering {
		return
	}
	a.answering = true
	if stream && !a.ended {
		a.streaming = true
		a.entry.streams++
	}
	a.timeToFirst = g.now() - a.startedAt
	a.entry.ownLoad.Tokens -= a.tokensToRead
	p := g.table.pool(a.entry.Pool)
	// With a high scheduling delay, the gateway would attribute its own delay to the servers.
	if !g.overload.Load().Late(g.now()) {
		ratio := p.placer.ObserveTimeToFirst(engine, a.tokensToRead+a.tokensAhead, max(a.timeToFirst-a.roundTrip, 0))
		a.entry.latencyRatio.ObserveAnswer(g.now(), a.startedAt, ratio)
		p.markReliableRatio(a.entry)
		a.countLatencyRatio(g.now(), ratio)
	}
}

// markReliableRatio records that a server has a reliable latency ratio, unless it has left the pool. The
// caller holds mu.
func (p *pool) markReliableRatio(k *knownServer) {
	if !k.latencyRatio.Reliable() || k.removed {
		return
	}
	if p.withReliableRatio == nil {
		p.withReliableRatio = map[*knownServer]bool{}
	}
	p.withReliableRatio[k] = true
}

// silenceEvidence is what the silence of an attempt's backend server shows.
type silenceEvidence struct {
	verdict  outlier.Verdict
	drop     bool // the server's idle connections may be dead too
	dropAll  bool // those to all servers may be
	ejected  bool
	openedAt time.Duration // of the attempt's connection
}

// countSilence counts the silence of an attempt's backend server against it, while the attempt goes on: a server that
// has died must not get requests until all of its attempts have ended.
func (g *Gateway) countSilence(a *assignment) silenceEvidence {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	e := g.observeSilence(a)
	a.silenceCounted, a.silentVerdict = true, e.verdict
	p := g.table.pool(a.entry.Pool)
	a.silenceTallied = g.countOutcome(p, a, e.verdict)
	e.ejected = p.failures.Record(g.now(), &a.entry.health, e.verdict, a.trial)
	if e.ejected {
		a.entry.ejectedSilent.Store(true)
	}
	a.trial = false // the next one may begin before this attempt ends
	return e
}

// observeSilence returns what the silence of an attempt's backend server shows. The caller holds table.mu.
func (g *Gateway) observeSilence(a *assignment) silenceEvidence {
	now, e := g.now(), silenceEvidence{openedAt: a.openedAt()}
	e.verdict, e.drop = a.entry.silence.ObserveSilence(now, a.startedAt, e.openedAt)
	e.dropAll = e.verdict == outlier.NoVerdict && g.table.outage.ObserveSilence(now, a.serverID)
	return e
}

// followSilence closes idle connections that may be dead, so that the next requests open new ones, and logs what the
// silence shows.
func (g *Gateway) followSilence(a *assignment, e silenceEvidence) {
	if e.ejected {
		g.logSuspected(a, causeSilent)
	}
	switch {
	case e.dropAll:
		g.cfg.Transport.DropAllIdle()
	case e.drop:
		g.cfg.Transport.DropIdle(a.address)
	default:
		return
	}
	g.cfg.Log.Failure("connection silent", slog.String("backend", a.serverID), milliseconds("open_ms", g.now()-e.openedAt), slog.Bool("others", e.dropAll))
}

// silenceAtEnd returns the verdict for an attempt that ended without an answer because of its server's silence.
func (g *Gateway) silenceAtEnd(a *assignment) outlier.Verdict {
	g.table.mu.Lock()
	if a.silenceCounted {
		defer g.table.mu.Unlock()
		return a.silentVerdict
	}
	e := g.observeSilence(a)
	g.table.mu.Unlock()
	g.followSilence(a, e)
	return e.verdict
}

// withdrawSilence takes back what the silence of an attempt's backend server has counted, because the server goes on.
func (g *Gateway) withdrawSilence(a *assignment) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if a.silenceCounted && a.silentVerdict == outlier.Lost {
		g.table.pool(a.entry.Pool).failures.Resumed(&a.entry.health)
	}
	a.silenceCounted = false
	a.withdrawTally()
}

// withdrawTally takes back that a silence counts as a failure of the server's version. The caller holds table.mu.
func (a *assignment) withdrawTally() {
	if a.silenceTallied {
		a.silenceTallied = false
		a.versionAttempt.tally.failed--
		a.versionAttempt.tally.changed = true
	}
}

// recordSent ends the ejection of a server that was silent, because it sends something to an attempt.
func (g *Gateway) recordSent(a *assignment) {
	k := a.entry
	if !k.ejectedSilent.Load() || !k.ejectedSilent.Swap(false) {
		return
	}
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if k.health.State(g.now()) != outlier.InUse {
		g.table.pool(k.Pool).failures.Resumed(&k.health)
	}
}

// recordVerdict records the verdict on a backend server at the end of an attempt and reports whether that ejects it. A
// silence that has counted is not recorded again. A server that the directory does not list is removed once it is
// ejected. The caller holds table.mu.
func (g *Gateway) recordVerdict(a *assignment, v outlier.Verdict) (ejected bool) {
	k := a.entry
	counted := a.silenceCounted && v == a.silentVerdict
	if !counted {
		ejected = g.table.pool(k.Pool).failures.Record(g.now(), &k.health, v, a.trial)
	}
	if k.unlisted && (ejected || counted && k.health.State(g.now()) != outlier.InUse) {
		g.table.remove(k.ID)
	}
	return ejected
}

// logSuspected counts and logs that a backend server was ejected.
func (g *Gateway) logSuspected(a *assignment, cause string) {
	g.stats.count("suspected", "pool", a.entry.Pool)
	g.cfg.Log.StateChange("backend suspected", slog.String("backend", a.serverID), slog.String("cause", cause))
}

// returnServer ends an attempt of which nothing was sent.
func (g *Gateway) returnServer(a *assignment) {
	a.notNeeded = true
	g.settleLink(a, 0)
	g.release(a, outlier.NoVerdict)
}

// release ends an attempt at its backend server, records the verdict, and reports whether that
// ejects the server.
func (g *Gateway) release(a *assignment, v outlier.Verdict) (ejected bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	k := a.entry
	if v == outlier.Answered || v == outlier.Faulty || v == outlier.Refused {
		k.heard(g.now())
	}
	k.ownLoad.Requests--
	if !a.answering {
		k.ownLoad.Tokens -= a.tokensToRead
	}
	p := g.table.pool(k.Pool)
	if k.ownLoad.Requests == 0 {
		delete(p.busy, k)
	}
	// Attempts that were refused or never connected don't show whether the pool answers. While a
	// server is down, they would soon displace all others.
	if !a.unreached && !a.notNeeded && v != outlier.Refused && v != outlier.Unconfirmed {
		p.recordResult(k.ID, v == outlier.Answered)
	}
	if a.streaming {
		k.streams--
	}
	switch version := a.verdictOnVersion(v); {
	case a.notNeeded:
		a.withdrawTally()
	case !a.silenceCounted || version != a.silentVerdict:
		a.withdrawTally()
		g.countOutcome(p, a, version)
	}
	if v == outlier.Refused || v == outlier.Answered || v == outlier.Unconfirmed {
		p.placer.ObserveAnswer(v == outlier.Refused)
	}
	ejected = g.recordVerdict(a, v)
	g.grantWaiting(p)
	return ejected
}

// verdictOnVersion returns the verdict on the version of the attempt's server. An attempt that was silent until its time
// was over shows a version whose answers hang. The caller holds table.mu.
func (a *assignment) verdictOnVersion(v outlier.Verdict) outlier.Verdict {
	if v == outlier.NoVerdict && a.silenceCounted {
		return a.silentVerdict
	}
	return v
}
