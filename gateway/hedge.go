// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines hedges: the attempts that a call makes beside one whose server is silent. Each counts as an attempt
// of the request and is charged to the retry budget. A hedge that is not needed any more is cancelled and its
// server released.

// hedge is one attempt beside a silent one.
type hedge struct {
	hedges *hedges
	a      *assignment
	ctx    context.Context
	cancel context.CancelFunc

	answer *forward.Response // with something for the caller; nil once the hedge has ended without winning
	head   AnswerHead        // of the answer
	out    outcome           // if there is no answer
	silent bool              // it has been silent for too long

	// Guarded by silenceWatch.mu.
	ended     bool
	execution retry.Execution // once ended
}

// hedges makes hedges while a server is silent, until the server goes on or a hedge wins. Its fields belong to the
// goroutine of run, but for those that silenceWatch.mu guards.
type hedges struct {
	w       *silenceWatch
	c       *call // copy of the call, as it was when the server fell silent
	ctx     context.Context
	cancel  context.CancelFunc // makes run start no more hedges
	results chan *hedge        // hedges that have ended
	won     chan struct{}      // closed when a hedge has won
	done    chan struct{}      // closed when run has ended

	last    retry.Execution // of the last hedge that ended
	pending int             // hedges under way
	unused  int             // retries that were charged to the budget and reached no server

	// Guarded by silenceWatch.mu.
	made         []*hedge
	primaryEnded bool
	losses       int      // hedges whose connection broke
	held         *outcome // of the last hedge whose answer reports a failure
}

const (
	// hedgePollInterval is how often a request whose server is silent looks for a server that may take over.
	hedgePollInterval = 100 * time.Millisecond
	// maxPause is how long a sound server may send nothing. If it sends nothing for longer, and no other attempt is
	// left, the caller gets the answer of a hedge that reports a failure.
	maxPause = 2 * time.Second
)

// startHedges starts to make hedges. The caller holds w.mu.
func startHedges(w *silenceWatch) *hedges {
	hs := &hedges{
		w: w, c: w.c.snapshot(), results: make(chan *hedge, retry.MaxBegun), won: make(chan struct{}), done: make(chan struct{}),
		last: retry.MayHaveRun,
	}
	hs.c.counts = hs.c.counts.With(retry.MayHaveRun) // the primary attempt
	hs.c.triedServers[w.primary.serverID] = true
	hs.ctx, hs.cancel = context.WithCancel(w.ctx)
	go hs.run()
	return hs
}

// snapshot returns a copy of the call for hedges. It shares nothing that the call's goroutine changes and cannot write
// to the caller. The call's goroutine must be waiting for a server.
func (c *call) snapshot() *call {
	s := *c
	s.triedServers, s.reusable = maps.Clone(c.triedServers), maps.Clone(c.reusable)
	s.response, s.watch, s.assigned = nil, nil, nil
	s.relay = &relay{c: &s, status: c.relay.status, plain: c.relay.plain, unframed: c.relay.unframed, position: c.relay.position, endUnstated: c.relay.endUnstated}
	return &s
}

// run makes hedges, one after another, until none is allowed and none is under way.
func (hs *hedges) run() {
	defer close(hs.done)
	defer hs.cancel()
	for {
		wait := time.Duration(0)
		if hs.mayStart() {
			wait = hs.startNext()
		}
		if hs.pending == 0 && hs.hasFallback() {
			wait = hedgePollInterval
			if hs.endLongSilence() {
				return
			}
		}
		if hs.pending == 0 && (wait == 0 || hs.ctx.Err() != nil) {
			return
		}
		hs.awaitEnd(wait)
	}
}

// startNext starts a hedge if it gets a server now, and returns how long to wait before the next one. A gateway that is
// late may not have read the answers of those under way.
func (hs *hedges) startNext() (wait time.Duration) {
	if hs.pending > 0 && hs.c.g.overload.Load().Late(hs.c.g.now()) {
		return hedgePollInterval
	}
	a := hs.acquire()
	if a == nil {
		return hedgePollInterval
	}
	hs.start(a)
	return hs.w.first
}

// hasFallback reports whether the caller can get the failure of a hedge if the primary attempt does not answer.
func (hs *hedges) hasFallback() bool {
	hs.w.mu.Lock()
	defer hs.w.mu.Unlock()
	return hs.held != nil && !hs.primaryEnded
}

// endLongSilence ends the primary attempt if its server has been silent for longer than a sound one, and reports whether
// it has.
func (hs *hedges) endLongSilence() bool {
	w := hs.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if hs.ctx.Err() != nil || hs.c.g.now()-w.since < maxPause {
		return false
	}
	w.gaveUp = true
	w.cancel()
	return true
}

// mayStart reports whether the request may have one more attempt beside those under way.
func (hs *hedges) mayStart() bool {
	c := hs.c
	policy := c.policy(hs.ctx)
	policy.Counts = hs.counts()
	if allowed, _ := policy.MayRetry(hs.last); !allowed || hs.pending == 0 && hs.hasPrimaryEnded() {
		return false
	}
	c.findPartSuspicion()
	c.confirmOrigin()
	return !c.mayCrashServers() && c.stream.source != versionUnknown
}

// hasPrimaryEnded reports whether the primary attempt has ended. Without a hedge under way, the call then goes on like
// after any failed attempt.
func (hs *hedges) hasPrimaryEnded() bool {
	hs.w.mu.Lock()
	defer hs.w.mu.Unlock()
	return hs.primaryEnded
}

// counts returns the request's attempts, those under way included.
func (hs *hedges) counts() retry.Counts {
	hs.w.mu.Lock()
	defer hs.w.mu.Unlock()
	return hs.c.counts.Plus(hs.madeCounts(nil))
}

// madeCounts counts the hedges but for one. Those under way may have run. The caller holds silenceWatch.mu.
func (hs *hedges) madeCounts(except *hedge) (n retry.Counts) {
	for _, h := range hs.made {
		switch {
		case h == except:
		case h.ended:
			n = n.With(h.execution)
		default:
			n = n.With(retry.MayHaveRun)
		}
	}
	return n
}

// acquire returns a server for a hedge and charges the retry budget, or returns nil. Only the first hedge waits in the
// queue: while another is under way, its result comes first.
func (hs *hedges) acquire() *assignment {
	c := hs.c
	fromBudget := hs.unused == 0
	if fromBudget && !c.g.hasRetry(c.pool.Name) {
		return nil
	}
	queueTimeout := time.Duration(0)
	if hs.pending == 0 {
		queueTimeout = max(retry.QueueTimeout(c.queuedRequest()), 0)
	}
	req := c.requirements(queueTimeout)
	c.limitServers(&req, hs.counts().Runs)
	req.maxQuiet = &quietLimit{streaming: hs.w.gap / 2, other: hs.w.first / 2}
	a, _ := c.g.awaitServer(hs.ctx, req, queueTimeout)
	if a == nil {
		return nil
	}
	if hs.ctx.Err() != nil || fromBudget && !c.g.allowRetry(c.pool.Name) {
		c.g.returnServer(a)
		return nil
	}
	if !fromBudget {
		hs.unused--
	}
	return a
}

// start starts a hedge, unless hedges are not needed any more.
func (hs *hedges) start(a *assignment) {
	h := &hedge{hedges: hs, a: a}
	h.ctx, h.cancel = context.WithCancel(hs.w.ctx)
	hs.w.mu.Lock()
	needed := hs.ctx.Err() == nil
	if needed {
		hs.made = append(hs.made, h)
	}
	hs.w.mu.Unlock()
	if !needed {
		h.cancel()
		hs.c.g.returnServer(a)
		return
	}
	hs.pending++
	hs.c.triedServers[a.serverID] = true
	delete(hs.c.reusable, a.serverID)
	hs.c.g.stats.countVersion(hs.c.pool.Name, &a.versionAttempt)
	hs.c.logResumption(a)
	go h.run()
}

// run sends the request and offers the answer as a replacement once it has something for the caller.
func (h *hedge) run() {
	c := h.hedges.c
	answer, head, out := c.open(h.ctx, h.a)
	if answer != nil {
		if out = c.awaitUsable(h.a, answer, head); out.execution == retry.Answered {
			h.answer, h.head = answer, head
		}
		out = out.withHead(answer, head)
	}
	if h.answer != nil && h.hedges.w.offer(h) {
		h.hedges.results <- h
		return
	}
	if answer != nil {
		answer.Body.Close()
	}
	h.answer, h.out = nil, out
	h.hedges.results <- h
}

// awaitEnd waits for the end of a hedge, or for the given time if it is not zero. A hedge that is silent for too long
// counts against its server.
func (hs *hedges) awaitEnd(wait time.Duration) {
	var expired <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		expired = t.C
	}
	ended := hs.ctx.Done()
	if hs.pending > 0 && hs.ctx.Err() != nil {
		ended = nil // they end soon
	}
	select {
	case h := <-hs.results:
		hs.pending--
		hs.recordEnd(h)
	case <-expired:
		hs.recordSilence()
	case <-ended:
	}
}

// recordSilence counts the hedges that have been silent for too long against their servers.
func (hs *hedges) recordSilence() {
	now := hs.c.g.now()
	if hs.c.g.overload.Load().Late(now) {
		return
	}
	for _, h := range hs.made {
		if silent := now - h.a.startedAt; silent >= hs.w.first && !h.silent {
			if evidence, counted := hs.countSilence(h); counted {
				hs.c.g.followSilence(h.a, evidence)
				hs.c.logSilence(h.a, silent, hs.c.relay.position.id)
			}
		}
	}
}

// countSilence counts the silence of a hedge against its server, unless the hedge has ended or won meanwhile.
func (hs *hedges) countSilence(h *hedge) (e silenceEvidence, counted bool) {
	hs.w.mu.Lock()
	defer hs.w.mu.Unlock()
	if h.ended || hs.ctx.Err() != nil {
		return e, false
	}
	h.silent = true
	return hs.c.g.countSilence(h.a), true
}

// recordEnd follows up a hedge that has ended.
func (hs *hedges) recordEnd(h *hedge) {
	c := hs.c
	if h.answer != nil {
		c.g.stats.count("hedges", "end", "won")
		return
	}
	defer h.cancel()
	needed := h.ctx.Err() == nil
	if !needed {
		h.out.verdict, h.out.cause = outlier.NoVerdict, "not needed"
		h.a.notNeeded = true
	}
	h.out = c.releaseServer(h.ctx, h.a, h.out)
	hs.w.mu.Lock()
	h.ended, h.execution = true, h.out.execution
	if h.out.connectionBroke {
		hs.losses++
	}
	if h.out.held != nil {
		hs.held = &h.out
	}
	hs.w.mu.Unlock()
	if h.out.execution == retry.NotSent {
		hs.unused++
	}
	if !needed {
		c.g.stats.count("hedges", "end", "not needed")
		return
	}
	hs.last = h.out.execution
	c.g.stats.count("hedges", "end", "failed")
	c.g.stats.count("attempts_failed", "cause", h.out.cause)
	c.g.cfg.Log.FailureFunc("hedge failed", func() []slog.Attr { return c.failureAttrs(h.a, h.out, retryAllowed) })
}

// end ends all hedges but the winner. The caller holds silenceWatch.mu.
func (hs *hedges) end() {
	hs.cancel()
	for _, h := range hs.made {
		if h != hs.w.winner {
			h.cancel()
		}
	}
}

// endPrimary records that the primary attempt has ended, and ends run unless a hedge is under way. The caller holds
// silenceWatch.mu.
func (hs *hedges) endPrimary() {
	hs.primaryEnded = true
	for _, h := range hs.made {
		if !h.ended {
			return
		}
	}
	hs.cancel()
}

// adoptAttempts adds the hedges, but for the winner, to the call's attempts. Those that have not ended are not needed.
// The caller holds silenceWatch.mu.
func (c *call) adoptAttempts(hs *hedges, winner *hedge) {
	c.counts = c.counts.Plus(hs.madeCounts(winner))
	c.losses += hs.losses
	for _, h := range hs.made {
		delete(c.reusable, h.a.serverID)
		if h == winner {
			continue
		}
		c.triedServers[h.a.serverID] = true
		if !h.ended {
			c.reusable[h.a.serverID] = true
		}
	}
}
