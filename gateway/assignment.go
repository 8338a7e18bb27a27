// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
)

// This file defines assignment, and what its answer and its end tell of the backend server.

// assignment is a backend server given to one attempt of a request.
type assignment struct {
	entry          *knownServer
	serverID       string
	address        string
	tokens         int // that it has to read
	startedAt      time.Duration
	tokensAhead    int            // tokens in front when it began
	expected       time.Duration  // from its beginning to the first part of the answer
	untilFirst     time.Duration  // from its beginning to the first part of the answer; 0 before
	connOpenedAt   time.Duration  // the connection; 0: it got none
	trial          bool           // of an ejected server
	versionAttempt versionAttempt // what it counts for, in a pool that had a rollout
	answering      bool           // a part of the answer has come
	unreached      bool           // it got no connection
	ended          bool

	region        string            // where the server stood when it began
	leaveReason   place.LeaveReason // why it goes to another region; place.Stay: it does not
	homes         homes             // that bound it
	roundTrip     time.Duration     // the round trip there
	chargedBytes  float64           // bytes that were taken of the link for it
	receivedBytes int               // bytes that came from another region
}

// recordFirstPart counts that the first part of an answer has come, so that the prompt
// has been read.
func (g *Gateway) recordFirstPart(a *assignment, engine bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if a.answering {
		return
	}
	a.answering = true
	a.untilFirst = g.now() - a.startedAt
	a.entry.ownLoad.Tokens -= a.tokens
	p := g.table.pool(a.entry.Pool)
	// A gateway that is late itself would take its own lateness for the servers'.
	if !g.overload.Load().Late(g.now()) {
		ratio := p.placer.ObserveTimeToFirst(engine, a.tokens+a.tokensAhead, max(a.untilFirst-a.roundTrip, 0))
		a.entry.pace.Observe(ratio)
		p.notePace(a.entry)
		a.countPace(g.now(), ratio)
	}
}

// notePace notes that a server has a pace, unless it has left the pool. The caller holds mu.
func (p *pool) notePace(k *knownServer) {
	if !k.pace.Reliable() || k.left {
		return
	}
	if p.paced == nil {
		p.paced = map[*knownServer]bool{}
	}
	p.paced[k] = true
}

// silentBlame returns the verdict for an attempt that ended because nothing came from
// its backend server, and has the next requests try new connections if that is a kept
// connection's fault.
func (g *Gateway) silentBlame(a *assignment) outlier.Verdict {
	now := g.now()
	g.table.mu.Lock()
	v, drop := a.entry.doubt.ObserveSilence(now, a.startedAt, a.connOpenedAt)
	dropAll := v == outlier.NoVerdict && g.table.outage.ObserveSilence(now, a.serverID)
	g.table.mu.Unlock()
	switch {
	case dropAll:
		g.cfg.Transport.DropAllIdle()
	case drop:
		g.cfg.Transport.DropIdle(a.address)
	default:
		return v
	}
	g.cfg.Log.Failure("connection silent", slog.String("backend", a.serverID), milliseconds("open_ms", now-a.connOpenedAt), slog.Bool("others", dropAll))
	return v
}

// release ends an attempt at its backend server, with the verdict on the server, and
// reports whether that ejects it. A server that the directory does not list is used
// as long as it answers, and no longer.
func (g *Gateway) release(a *assignment, v outlier.Verdict) (ejected bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	k := a.entry
	k.ownLoad.Requests--
	if !a.answering {
		k.ownLoad.Tokens -= a.tokens
	}
	p := g.table.pool(k.Pool)
	if k.ownLoad.Requests == 0 {
		delete(p.busy, k)
	}
	// What reached nobody, or was refused, says nothing of whether the pool answers: while a server
	// is down, such attempts would soon be all that is kept.
	if !a.unreached && v != outlier.Refused {
		p.noteEnd(k.ID, v == outlier.Answered)
	}
	g.countOutcome(p, a, v)
	if v == outlier.Refused || v == outlier.Answered {
		p.placer.ObserveAnswer(v == outlier.Refused)
	}
	ejected = p.failures.Record(g.now(), &k.health, v, a.trial)
	if ejected && k.unlisted {
		g.table.remove(k.ID)
	}
	g.grantWaiting(p)
	return ejected
}
