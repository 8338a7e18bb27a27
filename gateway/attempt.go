// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines attempt, one sending of a request to one backend server, and
// its outcome.

// outcome is how an attempt ended.
type outcome struct {
	execution retry.Execution
	cause     string          // for the log
	verdict   outlier.Verdict // on the backend server
	// held is the whole answer of a failure (retry.HasRun), which is given to
	// the caller if nothing better comes.
	held        *heldAnswer
	misdirected bool  // another backend server has the address
	err         error // nil after retry.Answered only
	lost        bool  // its connection broke while it ran
	// What the answer said, if one came.
	status  int
	backoff time.Duration // for which the backend server wants nothing more
	leaving bool          // it is about to stop
}

// attempt sends the request to one backend server and relays what it answers.
func (c *call) attempt(ctx context.Context, a *assignment) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.stall = c.watchStall(cancel)
	out := c.exchange(ctx, a)
	answered := out.execution == retry.Answered
	silent := c.stall.stop() || forward.Silent(out.err)
	if silent && !answered && c.r.Context().Err() == nil {
		out.verdict, out.cause = c.g.silentBlame(a), "silent"
	} else if ctx.Err() != nil && !answered {
		out.verdict = outlier.NoVerdict // the caller left, or the time is over
		if c.r.Context().Err() == nil && !a.answering && a.connOpenedAt > 0 && a.connOpenedAt < a.startedAt {
			c.g.silentBlame(a) // nobody is blamed, but its other connections may be silent too
		}
	}
	if out.execution == retry.MayHaveRun && out.verdict == outlier.Lost && ctx.Err() == nil {
		c.lost(a)
		out.lost = true
	}
	c.counts = c.counts.With(out.execution)
	sent := len(c.body) + headerBytes(c.r)
	if out.execution == retry.NotSent {
		sent = 0
	}
	c.g.settleLink(a, sent)
	if c.g.release(a, out.verdict) {
		c.g.stats.count("suspected", "pool", c.pool.Name)
		c.g.cfg.Log.StateChange("backend suspected", slog.String("backend", a.serverID), slog.String("cause", out.cause))
	}
	if out.misdirected {
		c.g.table.removeMisdirected(a.serverID)
		c.g.cfg.Log.StateChange("backend replaced", slog.String("backend", a.serverID), slog.String("address", a.address))
	}
	return out
}

func (c *call) exchange(ctx context.Context, a *assignment) outcome {
	answer, err := c.g.cfg.Transport.Send(ctx, a.address, c.outgoing(a))
	if err != nil {
		return c.sendFailed(a, err)
	}
	defer answer.Body.Close()
	a.connOpenedAt = c.g.monotonicTime(answer.Opened)
	c.g.observeRoundTrip(a)
	if a.leaveReason != place.Stay {
		answer.Body = countingBody{ReadCloser: answer.Body, n: &a.receivedBytes}
	}
	head := c.g.cfg.Headers.DecodeAnswer(answer.Status, answer.Header)
	c.g.heed(a, head)
	out := c.answered(ctx, a, answer, head)
	out.status, out.backoff, out.leaving = answer.Status, head.Backoff, head.Leaving
	return out
}

// answered relays an answer, unless it is none to this request.
func (c *call) answered(ctx context.Context, a *assignment, answer *forward.Answer, head AnswerHead) outcome {
	if head.ID != c.head.ID {
		return outcome{execution: retry.MayHaveRun, cause: "crossed answer", verdict: outlier.Faulty, err: errCrossed}
	}
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case success && !head.Signed:
		return outcome{execution: retry.MayHaveRun, cause: "unsealed answer", verdict: outlier.Faulty, err: errUnsealed}
	case success && c.route.Kind == document.Stream:
		return c.relay.relayStream(ctx, a, answer)
	}
	return c.relay.relayPlain(a, answer)
}

// outgoing is the request as a backend server gets it.
func (c *call) outgoing(a *assignment) forward.Call {
	f := Forwarding{Timeout: c.left(), Server: a.serverID, Account: c.account.Name, LastEventID: c.relay.lastEventID}
	return forward.Call{
		Method: c.r.Method, Path: c.r.RequestURI, Host: c.r.Host,
		Header: c.g.cfg.Headers.ForwardHeader(c.r.Header, f), Body: c.body,
		Unwanted: func() bool { return callerHasLeft(c.r.Context()) || !c.g.table.admits(a.serverID) },
	}
}

func (c *call) sendFailed(a *assignment, err error) outcome {
	var unknown forward.Unknown
	if errors.As(err, &unknown) {
		a.connOpenedAt = c.g.monotonicTime(unknown.Opened)
	}
	var not forward.NotRun
	if !errors.As(err, &not) {
		return outcome{execution: retry.MayHaveRun, cause: "lost", verdict: outlier.Lost, err: err}
	}
	if forward.Unwanted(not.Err) {
		return outcome{execution: retry.NotSent, cause: c.unwantedCause(), verdict: outlier.NoVerdict, err: err}
	}
	if !not.Refused {
		a.unreached = true
		return outcome{execution: retry.NotSent, cause: "unreachable", verdict: c.unreachableBlame(), err: err}
	}
	head := c.g.cfg.Headers.DecodeAnswer(not.Status, not.Header)
	c.g.heed(a, head)
	out := c.refused(head, err)
	out.status, out.backoff, out.leaving = not.Status, head.Backoff, head.Leaving
	return out
}

// unwantedCause is why a call was not sent when it had its connection.
func (c *call) unwantedCause() string {
	if callerHasLeft(c.r.Context()) {
		return "caller left"
	}
	return "backend wants none"
}

// refused is the outcome of a refusal.
func (c *call) refused(head AnswerHead, err error) outcome {
	switch {
	case head.ID != "" && head.ID != c.head.ID:
		return outcome{execution: retry.MayHaveRun, cause: "crossed refusal", verdict: outlier.Faulty, err: errCrossed}
	case head.Misdirected:
		return outcome{execution: retry.Refused, cause: "misplaced", verdict: outlier.NoVerdict, misdirected: true, err: err}
	}
	return outcome{execution: retry.Refused, cause: "refused", verdict: outlier.Refused, err: err}
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

// next carries out what follows a failed attempt: to try again, or to end the
// request, with an error unless a held answer was given.
func (c *call) next(ctx context.Context, a *assignment, out outcome) (again bool, err error) {
	c.g.stats.count("attempts_failed", "cause", out.cause)
	if c.r.Context().Err() != nil {
		return false, callerLeft{}
	}
	c.avoid[a.serverID] = true
	policy := c.policy(ctx)
	allowed, fromBudget := policy.Again(out.execution)
	// Each further attempt of a request that was at three ends might cost one more server.
	allowed = allowed && c.suspicion.MayRetry(c.losses)
	again = allowed && (!fromBudget || c.g.allowRetry(c.pool.Name))
	c.g.cfg.Log.FailureFunc("attempt failed", func() []slog.Attr { return c.failureAttrs(a, out, again) })
	if again {
		return true, nil
	}
	switch ending := policy.AfterAttempt(out.execution, allowed); ending {
	case retry.EndBroken:
		return false, brokenAnswer{err: out.err}
	case retry.EndServerError:
		c.relay.writeHeld(out.held)
		return false, nil
	default:
		return false, c.refusal(ending)
	}
}

// failureAttrs are the attributes of a failed attempt's log line. The key shows a request that
// comes again under another identifier.
func (c *call) failureAttrs(a *assignment, out outcome, again bool) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", c.head.ID), slog.String("backend", a.serverID),
		slog.String("cause", out.cause), slog.String("error", out.err.Error()), slog.Int("attempt", c.counts.Arrived),
		milliseconds("took_ms", c.g.now()-a.startedAt), slog.Bool("again", again),
		slog.String("last_event", c.relay.lastEventID),
	}
	if out.status > 0 {
		attrs = append(attrs, slog.Int("status", out.status))
	}
	if out.backoff > 0 {
		attrs = append(attrs, milliseconds("backoff_ms", out.backoff))
	}
	if out.leaving {
		attrs = append(attrs, slog.Bool("leaving", true))
	}
	if out.lost {
		attrs = append(attrs, slog.String("key", c.key().String()))
	}
	return attrs
}

// key identifies the request beyond this arrival. It is made when it is first needed.
func (c *call) key() quarantine.Key {
	if c.made == nil {
		key := quarantine.KeyOf(c.account.Name, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
		c.made = &key
	}
	return *c.made
}

// Faults of an answer.
var (
	errCrossed  = faultyAnswer("the answer belongs to another request")
	errUnsealed = faultyAnswer("the answer is not sealed")
	errShort    = faultyAnswer("the answer is cut off")
	errTooLarge = faultyAnswer("an event is too large")
)

// faultyAnswer is what is wrong with a backend server's answer.
type faultyAnswer string

// Error implements error.
func (e faultyAnswer) Error() string { return string(e) }
