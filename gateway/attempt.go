// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"log/slog"

	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/backend"
)

// This file defines attempt, one sending of a request to one backend, its
// outcome, and what follows from it.

// ran says what is known about a request after an attempt.
type ran uint8

const (
	notSent  ran = iota // no byte reached the backend
	declined            // it said that the request has not run and will not
	unknown             // it may have run
	answered            // it ran, and the answer is the backend's own failure
)

// outcome is how an attempt ended.
type outcome struct {
	done  bool // the caller has the whole answer
	ran   ran
	cause string  // for the log
	blame float64 // how much of a failure of the backend it was; negative is none of its doing
	// held is a whole answer of a failure that is given to the caller if
	// nothing better comes.
	held      *heldAnswer
	misplaced bool // another backend has the address
	err       error
}

// Weights of failures.
const (
	lost   = 1.0 // no answer
	shed   = 0.4 // refused as full
	faulty = 0.7 // a server error of its own
	noSign = -1.0
)

// attempt sends the request to one backend and relays what it answers.
func (c *call) attempt(ctx context.Context, l *assignment) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.tries++
	c.silence = c.watchSilence(cancel)
	out := c.exchange(ctx, l)
	if c.silence.stop() && !out.done && c.r.Context().Err() == nil {
		out.blame, out.cause = lost, "silent"
	} else if ctx.Err() != nil && !out.done {
		out.blame = noSign // the caller left, or the time is over
	}
	if out.ran >= unknown || out.done {
		c.attempts++
	}
	if out.ran >= declined || out.done {
		c.sends++
	}
	if c.g.release(l, out.blame) {
		c.g.stats.count("suspected", "pool", c.pool.Name)
		c.g.set.Log.Belief("backend suspected", slog.String("backend", l.backend), slog.String("cause", out.cause))
	}
	if out.misplaced {
		c.g.table.misplaced(l.backend)
		c.g.set.Log.Belief("backend replaced", slog.String("backend", l.backend), slog.String("address", l.address))
	}
	return out
}

func (c *call) exchange(ctx context.Context, l *assignment) outcome {
	answer, err := c.g.set.Backend.Send(ctx, l.address, c.outgoing(l))
	if err != nil {
		return c.sendFailed(err)
	}
	defer answer.Body.Close()
	verdict := c.g.set.Dialect.Judge(answer.Status, answer.Header)
	if verdict.ID != c.ask.ID {
		return outcome{ran: unknown, cause: "crossed answer", blame: faulty, err: errCrossed}
	}
	success := answer.Status >= 200 && answer.Status < 300
	switch {
	case success && !verdict.Sealed:
		return outcome{ran: unknown, cause: "unsealed answer", blame: faulty, err: errUnsealed}
	case success && c.route.Kind == document.Stream:
		return c.relay.stream(ctx, l, answer)
	}
	return c.relay.plain(l, answer, success)
}

// outgoing is the request as a backend gets it.
func (c *call) outgoing(l *assignment) backend.Call {
	f := Forwarding{Left: c.gaveUp - c.g.now(), Backend: l.backend, Tenant: c.tenant.Name, After: c.relay.last}
	return backend.Call{
		Method: c.r.Method, Path: c.r.RequestURI, Host: c.r.Host,
		Header: c.g.set.Dialect.Forward(c.r.Header, f), Body: c.body,
	}
}

func (c *call) sendFailed(err error) outcome {
	var not backend.NotRun
	if !errors.As(err, &not) {
		return outcome{ran: unknown, cause: "lost", blame: lost, err: err}
	}
	if !not.Refused {
		return outcome{ran: notSent, cause: "unreachable", blame: c.unreachableBlame(), err: err}
	}
	verdict := c.g.set.Dialect.Judge(not.Status, not.Header)
	if verdict.ID != "" && verdict.ID != c.ask.ID {
		return outcome{ran: unknown, cause: "crossed refusal", blame: faulty, err: errCrossed}
	}
	if verdict.Misplaced {
		return outcome{ran: declined, cause: "misplaced", blame: noSign, misplaced: true, err: err}
	}
	return outcome{ran: declined, cause: "refused", blame: shed, err: err}
}

// unreachableBlame is what a backend that could not be connected to is blamed
// for: nothing by a gateway that is late itself, whose own processor may have
// let the time for it run out. Else a flood at one gateway would cost it one
// backend after the other.
func (c *call) unreachableBlame() float64 {
	if c.g.pressure.late(c.g.now()) {
		return noSign
	}
	return lost
}

// next decides what follows a failed attempt: to try again, or to end the
// request, with an error unless a held answer was given.
func (c *call) next(ctx context.Context, l *assignment, out outcome) (again bool, err error) {
	c.g.stats.count("attempts_failed", "cause", out.cause)
	if c.r.Context().Err() != nil {
		return false, callerLeft{}
	}
	c.avoid[l.backend] = true
	allowed := ctx.Err() == nil && c.mayTryAgain(out)
	again = allowed && (out.ran == notSent || c.g.mayRepeat(c.pool.Name))
	c.spent = allowed && !again
	c.g.set.Log.Failure("attempt failed", slog.String("request", c.ask.ID), slog.String("backend", l.backend),
		slog.String("cause", out.cause), slog.String("error", text(out.err)), slog.Int("attempt", c.sends),
		slog.Int("took_ms", int((c.g.now()-l.began).Milliseconds())), slog.Bool("again", again),
		slog.String("last_event", c.relay.last))
	if again {
		return true, nil
	}
	return false, c.final(ctx, out)
}

// Bounds of the attempts of one request.
const (
	maxSends = 3 // arrivals
	maxTries = 5 // attempts, whether they arrived or not: the only backend may be gone
)

// mayTryAgain reports whether the request may go to another backend.
func (c *call) mayTryAgain(out outcome) bool {
	if c.relay.begun && !c.route.Resumable {
		return false
	}
	if c.sends >= max(c.route.Attempts, 1)+1 || c.sends >= maxSends || c.tries >= maxTries {
		return false
	}
	if out.ran <= declined {
		return c.attempts < max(c.route.Attempts, 1)
	}
	return c.route.MayRepeat() && c.attempts < c.route.Attempts
}

// final is the end of a request after its last attempt.
func (c *call) final(ctx context.Context, out outcome) error {
	switch {
	case c.relay.begun:
		return broken{err: out.err}
	case out.held != nil:
		c.relay.give(out.held)
		return nil
	case ctx.Err() != nil && c.attempts > 0:
		return Refusal{Cause: TimedOut}
	case c.attempts > 0:
		return Refusal{Cause: MayHaveRun}
	case out.ran == declined && c.spent:
		return Refusal{Cause: NoBudget, After: c.comeBack()}
	case out.ran == declined:
		return Refusal{Cause: NotRunThere, After: c.comeBack()}
	}
	return Refusal{Cause: NoBackend, After: c.comeBack()}
}

func (t *table) poolSize(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pool(name).members)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Faults of an answer's head.
var (
	errCrossed  = faultyAnswer("the answer belongs to another request")
	errUnsealed = faultyAnswer("the answer is not sealed")
	errShort    = faultyAnswer("the answer is cut off")
)

// faultyAnswer says what is wrong with a backend's answer.
type faultyAnswer string

// Error says it.
func (e faultyAnswer) Error() string { return string(e) }
