// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"log/slog"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines attempt, one sending of a request to one backend server, its
// outcome, and what follows from it.

// execution says what is known about a request after an attempt.
type execution uint8

const (
	notSent    execution = iota // no byte reached the backend server
	refused                     // it said that the request has not run and will not
	mayHaveRun                  // it may have run
	hasRun                      // it ran, and the answer is the backend server's own failure
)

// outcome is how an attempt ended.
type outcome struct {
	done      bool // the caller has the whole answer
	execution execution
	cause     string          // for the log
	blame     outlier.Verdict // on the backend server
	// held is a whole answer of a failure that is given to the caller if
	// nothing better comes.
	held        *heldAnswer
	misdirected bool // another backend server has the address
	err         error
}

// attempt sends the request to one backend server and relays what it answers.
func (c *call) attempt(ctx context.Context, a *assignment) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.tries++
	c.stall = c.watchStall(cancel)
	out := c.exchange(ctx, a)
	if c.stall.stop() && !out.done && c.r.Context().Err() == nil {
		out.blame, out.cause = outlier.Lost, "silent"
	} else if ctx.Err() != nil && !out.done {
		out.blame = outlier.NoVerdict // the caller left, or the time is over
	}
	if out.execution >= mayHaveRun || out.done {
		c.attempts++
	}
	if out.execution >= refused || out.done {
		c.sends++
	}
	if c.g.release(a, out.blame) {
		c.g.stats.count("suspected", "pool", c.pool.Name)
		c.g.cfg.Log.StateChange("backend suspected", slog.String("backend", a.server), slog.String("cause", out.cause))
	}
	if out.misdirected {
		c.g.table.removeMisdirected(a.server)
		c.g.cfg.Log.StateChange("backend replaced", slog.String("backend", a.server), slog.String("address", a.address))
	}
	return out
}

func (c *call) exchange(ctx context.Context, a *assignment) outcome {
	answer, err := c.g.cfg.Server.Send(ctx, a.address, c.outgoing(a))
	if err != nil {
		return c.sendFailed(err)
	}
	defer answer.Body.Close()
	head := c.g.cfg.Headers.DecodeAnswer(answer.Status, answer.Header)
	if head.ID != c.head.ID {
		return outcome{execution: mayHaveRun, cause: "crossed answer", blame: outlier.Faulty, err: errCrossed}
	}
	success := answer.Status >= 200 && answer.Status < 300
	switch {
	case success && !head.Signed:
		return outcome{execution: mayHaveRun, cause: "unsealed answer", blame: outlier.Faulty, err: errUnsealed}
	case success && c.route.Kind == document.Stream:
		return c.relay.stream(ctx, a, answer)
	}
	return c.relay.plain(a, answer, success)
}

// outgoing is the request as a backend server gets it.
func (c *call) outgoing(a *assignment) forward.Call {
	f := Forwarding{Timeout: c.deadline - c.g.now(), Server: a.server, Account: c.account.Name, LastEventID: c.relay.lastEventID}
	return forward.Call{
		Method: c.r.Method, Path: c.r.RequestURI, Host: c.r.Host,
		Header: c.g.cfg.Headers.ForwardHeader(c.r.Header, f), Body: c.body,
	}
}

func (c *call) sendFailed(err error) outcome {
	var not forward.NotRun
	if !errors.As(err, &not) {
		return outcome{execution: mayHaveRun, cause: "lost", blame: outlier.Lost, err: err}
	}
	if !not.Refused {
		return outcome{execution: notSent, cause: "unreachable", blame: c.unreachableBlame(), err: err}
	}
	head := c.g.cfg.Headers.DecodeAnswer(not.Status, not.Header)
	if head.ID != "" && head.ID != c.head.ID {
		return outcome{execution: mayHaveRun, cause: "crossed refusal", blame: outlier.Faulty, err: errCrossed}
	}
	if head.Misdirected {
		return outcome{execution: refused, cause: "misplaced", blame: outlier.NoVerdict, misdirected: true, err: err}
	}
	return outcome{execution: refused, cause: "refused", blame: outlier.Refused, err: err}
}

// unreachableBlame is what a backend server that could not be connected to is blamed
// for: nothing by a gateway that is late itself, whose own processor may have
// let the time for it run out. Else a flood at one gateway would cost it one
// backend server after the other.
func (c *call) unreachableBlame() outlier.Verdict {
	if c.g.overload.Load().Late(c.g.now()) {
		return outlier.NoVerdict
	}
	return outlier.Lost
}

// next decides what follows a failed attempt: to try again, or to end the
// request, with an error unless a held answer was given.
func (c *call) next(ctx context.Context, a *assignment, out outcome) (again bool, err error) {
	c.g.stats.count("attempts_failed", "cause", out.cause)
	if c.r.Context().Err() != nil {
		return false, callerLeft{}
	}
	c.avoid[a.server] = true
	allowed := ctx.Err() == nil && c.mayTryAgain(out)
	again = allowed && (out.execution == notSent || c.g.mayRepeat(c.pool.Name))
	c.budgetSpent = allowed && !again
	c.g.cfg.Log.Failure("attempt failed", slog.String("request", c.head.ID), slog.String("backend", a.server),
		slog.String("cause", out.cause), slog.String("error", text(out.err)), slog.Int("attempt", c.sends),
		slog.Int("took_ms", int((c.g.now()-a.began).Milliseconds())), slog.Bool("again", again),
		slog.String("last_event", c.relay.lastEventID))
	if again {
		return true, nil
	}
	return false, c.final(ctx, out)
}

// Bounds of the attempts of one request.
const (
	maxSends = 3 // arrivals
	maxTries = 5 // attempts, whether they arrived or not: the only backend server may be gone
)

// mayTryAgain reports whether the request may go to another backend server.
func (c *call) mayTryAgain(out outcome) bool {
	if c.relay.headWritten && !c.route.Resumable {
		return false
	}
	if c.sends >= max(c.route.MaxAttempts, 1)+1 || c.sends >= maxSends || c.tries >= maxTries {
		return false
	}
	if out.execution <= refused {
		return c.attempts < max(c.route.MaxAttempts, 1)
	}
	return c.route.MayRepeat() && c.attempts < c.route.MaxAttempts
}

// final is the end of a request after its last attempt.
func (c *call) final(ctx context.Context, out outcome) error {
	switch {
	case c.relay.headWritten:
		return brokenAnswer{err: out.err}
	case out.held != nil:
		c.relay.give(out.held)
		return nil
	case ctx.Err() != nil && c.attempts > 0:
		return Refusal{Cause: TimedOut}
	case c.attempts > 0:
		return Refusal{Cause: MayHaveRun}
	case out.execution == refused && c.budgetSpent:
		return Refusal{Cause: NoBudget, RetryAfter: c.retryAfter()}
	case out.execution == refused:
		return Refusal{Cause: NotRunThere, RetryAfter: c.retryAfter()}
	}
	return Refusal{Cause: NoServer, RetryAfter: c.retryAfter()}
}

func (t *table) poolSize(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pool(name).servers)
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

// faultyAnswer says what is wrong with a backend server's answer.
type faultyAnswer string

// Error says it.
func (e faultyAnswer) Error() string { return string(e) }
