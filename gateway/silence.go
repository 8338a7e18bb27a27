// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
)

// This file defines silenceWatch, which notices that the backend server of an attempt sends nothing. The attempt
// goes on: a sound server may be silent for a while. Meanwhile hedges (hedge.go) may be made beside it, and the
// first attempt with something for the caller wins.

// silenceWatch watches the attempt that the call's goroutine makes, the primary one. The call's goroutine calls await
// before it waits for the server, received before it passes anything on to the caller, and stop at the end.
type silenceWatch struct {
	c       *call
	ctx     context.Context // of the request
	primary *assignment
	cancel  context.CancelFunc // ends the primary attempt
	watched bool
	first   time.Duration // longest time before the first part of an answer
	gap     time.Duration // longest time between two parts

	mu      sync.Mutex // before table.mu in the lock order; guards the fields below
	timer   *time.Timer
	waiting bool          // the call's goroutine waits for the server
	limit   time.Duration // of the next silence; zero while one lasts
	since   time.Duration // when the present silence began
	due     time.Duration // when it is too long
	counted bool          // the present silence is too long and counts against the server
	hedges  *hedges       // nil unless the present silence is too long and the request may be hedged
	winner  *hedge        // has replaced the primary attempt
	gaveUp  bool          // the primary attempt was ended because a hedge's failure is the answer
}

// errReplaced is the error of an attempt that a hedge has replaced.
var errReplaced = errors.New("another backend server has answered first")

// watchSilence returns the watch of an attempt. Silence of an attempt that no other one may follow is not watched.
func (c *call) watchSilence(ctx context.Context, a *assignment, cancel context.CancelFunc) *silenceWatch {
	w := &silenceWatch{c: c, ctx: ctx, primary: a, cancel: cancel}
	w.first, w.gap, w.watched = retry.StallTimeouts(c.route, c.counts.Runs)
	w.limit = w.first
	return w
}

// await starts the wait for the next part of the answer. The time before it, for which the caller may have accepted
// nothing, is no silence of the server.
func (w *silenceWatch) await() {
	if !w.watched {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.c.g.now()
	if w.limit > 0 {
		w.since, w.due, w.limit = now, now+w.limit, 0
	}
	w.waiting = true
	w.arm(w.due - now)
}

// arm sets the timer. The caller holds mu.
func (w *silenceWatch) arm(d time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.expire)
		return
	}
	w.timer.Reset(d)
}

// suspend ends the wait without a part of the answer, while the call's goroutine is busy otherwise.
func (w *silenceWatch) suspend() {
	if !w.watched {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimer()
}

// stopTimer ends the wait. The caller holds mu.
func (w *silenceWatch) stopTimer() {
	w.waiting = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// received ends the wait because a part of the answer has arrived, and the hedges with it. The error is errReplaced
// if a hedge was first: nothing of this attempt may then be passed on.
func (w *silenceWatch) received() error {
	w.c.g.recordSent(w.primary)
	if !w.watched {
		return nil
	}
	w.mu.Lock()
	w.stopTimer()
	if w.winner != nil || w.gaveUp {
		w.mu.Unlock()
		return errReplaced
	}
	now := w.c.g.now()
	silent, ended := now-w.since, w.counted
	if ended {
		w.endSilence()
	}
	w.limit = w.gap
	w.mu.Unlock()
	if ended {
		w.c.g.cfg.Log.FailureFunc("silence over", func() []slog.Attr {
			return []slog.Attr{slog.String("request", w.c.head.ID), slog.String("backend", w.primary.serverID), milliseconds("silent_ms", silent)}
		})
	}
	return nil
}

// endSilence ends a silence that has counted against the server, which goes on. The caller holds mu.
func (w *silenceWatch) endSilence() {
	w.counted = false
	w.c.g.withdrawSilence(w.primary)
	if w.hedges != nil {
		w.hedges.end()
		w.c.adoptAttempts(w.hedges, nil)
		w.hedges = nil
	}
}

// expire is called by the timer when the silence may be too long. While the gateway is delayed itself, the silence is
// not counted, since received data may not have been read yet.
func (w *silenceWatch) expire() {
	w.mu.Lock()
	now := w.c.g.now()
	switch {
	case !w.waiting || w.counted || w.winner != nil || !w.c.relay.canContinue():
		w.mu.Unlock()
		return
	case now < w.due:
		w.arm(w.due - now)
		w.mu.Unlock()
		return
	case w.c.g.overload.Load().Late(now):
		w.arm(retry.MinStall)
		w.mu.Unlock()
		return
	}
	w.counted = true
	silent, evidence := now-w.since, w.c.g.countSilence(w.primary)
	w.hedges = startHedges(w)
	lastEvent := w.c.relay.position.id
	w.mu.Unlock()
	w.c.g.followSilence(w.primary, evidence)
	w.c.logSilence(w.primary, silent, lastEvent)
}

// logSilence logs that a server is silent for too long.
func (c *call) logSilence(a *assignment, silent time.Duration, lastEvent string) {
	c.g.stats.count("silences", "pool", c.pool.Name)
	c.g.cfg.Log.FailureFunc("backend silent", func() []slog.Attr {
		return []slog.Attr{
			slog.String("request", c.head.ID), slog.String("backend", a.serverID), milliseconds("silent_ms", silent),
			slog.String("last_event", lastEvent),
		}
	})
}

// offer makes a hedge the winner unless the primary attempt was first, and reports whether it is. All other attempts
// are ended.
func (w *silenceWatch) offer(h *hedge) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hedges != h.hedges || w.winner != nil || h.ctx.Err() != nil {
		return false
	}
	w.winner = h
	w.hedges.end()
	w.cancel()
	close(w.hedges.won)
	return true
}

// stop ends the watch and reports whether the attempt was ended in favour of a hedge.
func (w *silenceWatch) stop() (replaced bool) {
	if !w.watched {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimer()
	return w.winner != nil || w.gaveUp
}

// replacement returns the hedge that goes on in place of the primary attempt, which has ended. It waits for hedges that
// are under way. If none goes on, it returns the outcome of one whose answer reports a failure, if there is one.
func (w *silenceWatch) replacement() (h *hedge, held *outcome) {
	w.mu.Lock()
	hs := w.hedges
	if hs != nil && w.winner == nil {
		hs.endPrimary()
	}
	w.mu.Unlock()
	if hs == nil {
		return nil, nil
	}
	select {
	case <-hs.won:
	case <-hs.done:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.adoptAttempts(hs, w.winner)
	w.hedges = nil
	return w.winner, hs.held
}

// quietLimit is how long a server with requests of this gateway may send nothing and still get a hedge.
type quietLimit struct {
	streaming time.Duration // if it streams to this gateway
	other     time.Duration
}

// isQuiet reports whether the server has requests of this gateway and has sent nothing for longer than the limit. The
// caller holds table.mu.
func (k *knownServer) isQuiet(now time.Duration, limit quietLimit) bool {
	quiet := now - time.Duration(k.heardAt.Load())
	if k.streams > 0 {
		return quiet > limit.streaming
	}
	return k.ownLoad.Requests > 0 && quiet > limit.other
}
