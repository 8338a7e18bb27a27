// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/quarantine"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines attempt, which sends a request to one backend server, and its outcome.

// outcome is the result of an attempt.
type outcome struct {
	execution retry.Execution
	cause     string          // for logs and metrics
	verdict   outlier.Verdict // on the backend server
	// held is a complete answer that reports a failure (retry.HasRun). It is returned to the caller
	// if no later attempt gets a better result.
	held            *heldAnswer
	misdirected     bool  // another backend server now has the address
	err             error // nil only after retry.Answered
	connectionBroke bool  // while the request ran
	// From the answer, if one was received.
	status  int
	backoff time.Duration // for which the server accepts no requests
	leaving bool          // the server is about to stop
}

// causeSilent is the cause of an attempt that ended because its server sent nothing.
const causeSilent = "silent"

// attempt sends the request to one backend server and relays its answer.
func (c *call) attempt(ctx context.Context, a *assignment) outcome {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.watch = c.watchSilence(ctx, a, cancel)
	c.watch.await()
	answer, head, out := c.open(attemptCtx, a)
	c.watch.suspend()
	if answer != nil {
		out = c.relayAnswer(attemptCtx, a, answer, head)
	}
	return c.endAttempt(attemptCtx, a, out)
}

// takeOver relays the answer of a hedge that has replaced the primary attempt.
func (c *call) takeOver(ctx context.Context, h *hedge) outcome {
	defer h.cancel()
	c.g.withdrawSilence(h.a)
	c.watch = c.watchSilence(ctx, h.a, h.cancel)
	return c.endAttempt(h.ctx, h.a, c.relayAnswer(h.ctx, h.a, h.answer, h.head))
}

// endAttempt completes the outcome of an attempt by why it ended, and follows it up.
func (c *call) endAttempt(ctx context.Context, a *assignment, out outcome) outcome {
	answered := out.execution == retry.Answered
	if c.watch.stop() && !answered && c.r.Context().Err() == nil {
		out.verdict, out.cause = c.g.silenceAtEnd(a), causeSilent
	} else if ctx.Err() != nil && !answered {
		out.verdict = outlier.NoVerdict // the caller left or the deadline passed
		if openedAt := a.openedAt(); c.r.Context().Err() == nil && !a.answering && openedAt > 0 && openedAt < a.startedAt {
			c.g.silenceAtEnd(a) // no verdict on the server, but its other connections may be dead too
		}
	}
	out = c.releaseServer(ctx, a, out)
	c.counts = c.counts.With(out.execution)
	return out
}

// releaseServer releases the server of an attempt that has ended, with the verdict on it. It returns the outcome as it
// counts.
func (c *call) releaseServer(ctx context.Context, a *assignment, out outcome) outcome {
	if ctx.Err() == nil && out.execution != retry.Answered && forward.IsConnTimeout(out.err) {
		out.verdict, out.cause = c.g.silenceAtEnd(a), causeSilent
	}
	switch {
	case ctx.Err() != nil:
	case out.execution == retry.MayHaveRun && out.verdict == outlier.Lost && out.cause != causeSilent:
		c.recordLoss(a)
		out.connectionBroke = true
		if c.g.pauses.wereRecent(c.g.now()) {
			c.g.table.doubtRestart(a.serverID)
		}
	case out.verdict == outlier.Unconfirmed:
		c.g.table.recordAlive(c.pool.Name, a.serverID) // the transport has seen it
	}
	sent := len(c.body) + headerBytes(c.r)
	if out.execution == retry.NotSent {
		sent = 0
	}
	c.g.settleLink(a, sent)
	if c.g.release(a, out.verdict) {
		c.g.logSuspected(a, out.cause)
	}
	if out.misdirected {
		c.g.table.removeMisdirected(a.serverID)
		c.g.cfg.Log.StateChange("backend replaced", slog.String("backend", a.serverID), slog.String("address", a.address))
	}
	return out
}

// open sends the request to the assigned server and returns the answer, or the outcome if there is none.
func (c *call) open(ctx context.Context, a *assignment) (*forward.Response, AnswerHead, outcome) {
	answer, err := c.g.cfg.Transport.Send(ctx, a.address, c.outgoing(a))
	if err != nil {
		return nil, AnswerHead{}, c.handleSendError(a, err)
	}
	a.setOpenedAt(c.g.monotonicTime(answer.ConnOpenedAt))
	c.g.table.recordBack(a.entry)
	a.framing, a.status = answer.Framing(), answer.Status
	c.g.observeRoundTrip(a)
	if a.leaveReason != place.Stay {
		answer.Body = countingBody{ReadCloser: answer.Body, n: &a.receivedBytes}
	}
	head := c.g.cfg.Headers.DecodeAnswer(answer.Status, answer.Header)
	c.g.applyNotice(a, head)
	return answer, head, outcome{}
}

// relayAnswer relays an answer and closes it.
func (c *call) relayAnswer(ctx context.Context, a *assignment, answer *forward.Response, head AnswerHead) outcome {
	defer answer.Body.Close()
	return c.checkAndRelay(ctx, a, answer, head).withHead(answer, head)
}

// withHead returns the outcome with what the head of the answer states.
func (o outcome) withHead(answer *forward.Response, head AnswerHead) outcome {
	o.status, o.backoff, o.leaving = answer.Status, head.Backoff, head.Leaving
	return o
}

// checkAndRelay relays an answer after checking that it belongs to this request and, if it is a
// success, that it carries the server's signature. Once a response has begun, only its continuation is
// relayed.
func (c *call) checkAndRelay(ctx context.Context, a *assignment, answer *forward.Response, head AnswerHead) outcome {
	if out := c.checkOwner(a, answer, head); out.err != nil {
		return out
	}
	switch {
	case c.relay.begun():
		return c.relay.continueStream(ctx, a, answer)
	case c.isStream(answer):
		return c.relay.relayStream(ctx, a, answer)
	}
	return c.relay.relayPlain(a, answer)
}

// checkOwner returns the outcome of an answer that does not belong to the request, or, if it is a success, is not
// signed. For any other answer the outcome has no error.
func (c *call) checkOwner(a *assignment, answer *forward.Response, head AnswerHead) outcome {
	switch {
	case head.ID != c.head.ID:
		_ = answer.Body.Close()               // it belongs to nobody
		c.g.cfg.Transport.DropIdle(a.address) // the answer to this request may still come on one of the connections
		return outcome{execution: retry.MayHaveRun, cause: "crossed answer", verdict: outlier.Faulty, err: errCrossed}
	case isSuccess(answer.Status) && !head.Signed:
		return outcome{execution: retry.MayHaveRun, cause: "unsealed answer", verdict: outlier.Faulty, err: errUnsigned}
	}
	return outcome{}
}

// isStream reports whether an answer begins the stream that was requested.
func (c *call) isStream(answer *forward.Response) bool {
	return isSuccess(answer.Status) && c.route.Kind == document.Stream && mayBeEventStream(answer.Header)
}

// mayBeEventStream reports whether an answer is an event stream or does not state its type.
func mayBeEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(contentType, "text/event-stream")
}

// outgoing returns the request in the form sent to a backend server.
func (c *call) outgoing(a *assignment) forward.Call {
	f := Forwarding{Timeout: c.timeLeft(), Server: a.serverID, Account: c.account.Name, LastEventID: c.relay.position.id}
	return forward.Call{
		Method: c.r.Method, Path: c.r.RequestURI, Host: c.r.Host,
		Header: c.g.cfg.Headers.ForwardHeader(c.r.Header, f), Body: c.body, ID: c.head.ID,
		Abandoned: func() bool { return callerHasLeft(c.r.Context()) || !c.g.table.admits(a.serverID) },
		Leaving:   c.leaving(a),
		Connected: func(openedAt time.Time) { a.setOpenedAt(c.g.monotonicTime(openedAt)) },
	}
}

// leaving returns a function that reports whether the server of an attempt has announced that it leaves. It is nil for a
// stream that another server can end instead, which is certain in any case.
func (c *call) leaving(a *assignment) func() bool {
	if c.route.Kind == document.Stream && c.route.Resumable {
		return nil
	}
	return func() bool { return c.g.table.hasAnnouncedLeave(a.entry) }
}

// handleSendError returns the outcome of an attempt for which Send returned an error.
func (c *call) handleSendError(a *assignment, err error) outcome {
	var unknown forward.MayHaveRun
	if errors.As(err, &unknown) {
		a.setOpenedAt(c.g.monotonicTime(unknown.ConnOpenedAt))
	}
	var notRun forward.NotRun
	if !errors.As(err, &notRun) {
		return outcome{execution: retry.MayHaveRun, cause: "lost", verdict: outlier.Lost, err: err}
	}
	if forward.IsAbandoned(notRun.Err) {
		return outcome{execution: retry.NotSent, cause: c.unwantedCause(), verdict: outlier.NoVerdict, err: err}
	}
	if !notRun.Refused {
		a.unreached = true
		if isRefusedConnection(err) {
			c.g.table.doubtRestart(a.serverID)
		}
		return outcome{execution: retry.NotSent, cause: "unreachable", verdict: c.unreachableVerdict(), err: err}
	}
	head := c.g.cfg.Headers.DecodeAnswer(notRun.Status, notRun.Header)
	c.g.applyNotice(a, head)
	out := c.refusedOutcome(head, notRun)
	if out.execution == retry.MayHaveRun {
		c.g.cfg.Transport.DropIdle(a.address) // the answer to this request may still come on one of the connections
	}
	out.status, out.backoff, out.leaving = notRun.Status, head.Backoff, head.Leaving
	return out
}

// unwantedCause returns why a call was not sent although its connection had opened.
func (c *call) unwantedCause() string {
	if callerHasLeft(c.r.Context()) {
		return "caller left"
	}
	return "backend wants none"
}

// refusedOutcome returns the outcome of a refusal.
func (c *call) refusedOutcome(head AnswerHead, err forward.NotRun) outcome {
	switch {
	case head.ID != "" && head.ID != c.head.ID, head.ID == "" && err.Reused:
		return outcome{execution: retry.MayHaveRun, cause: "crossed refusal", verdict: outlier.Faulty, err: errCrossed}
	case head.Misdirected:
		return outcome{execution: retry.Refused, cause: "misplaced", verdict: outlier.NoVerdict, misdirected: true, err: err}
	}
	return outcome{execution: retry.Refused, cause: "refused", verdict: outlier.Refused, err: err}
}

// unreachableVerdict returns the verdict on a backend server that could not be connected to. A
// gateway with a high scheduling delay returns none, because its own processor may have used up the
// connect timeout. Otherwise a flood at one gateway would eject its backend servers one after the
// other.
func (c *call) unreachableVerdict() outlier.Verdict {
	if c.g.overload.Load().Late(c.g.now()) {
		return outlier.NoVerdict
	}
	return outlier.Lost
}

// handleFailure follows up a failed attempt. It either allows another one or ends the request, with
// an error unless a held answer was written.
func (c *call) handleFailure(ctx context.Context, a *assignment, out outcome) (again bool, err error) {
	if c.r.Context().Err() != nil {
		c.g.stats.count("attempts_failed", "cause", out.cause)
		return false, callerLeft{}
	}
	policy := c.policy(ctx)
	denial := c.retryDenial(policy, out.execution)
	c.recordFailure(a, out, denial)
	if denial == retryAllowed {
		return true, nil
	}
	switch ending := policy.EndingAfterAttempt(out.execution, denial == deniedByBudget); ending {
	case retry.EndBroken:
		return false, brokenAnswer{err: out.err}
	case retry.EndServerError:
		return false, c.relay.writeHeld(out.held)
	default:
		return false, c.refusal(ending)
	}
}

// recordFailure records a failed attempt of the call's goroutine.
func (c *call) recordFailure(a *assignment, out outcome, denial retryDenial) {
	c.g.stats.count("attempts_failed", "cause", out.cause)
	c.triedServers[a.serverID] = true
	c.g.cfg.Log.FailureFunc("attempt failed", func() []slog.Attr { return c.failureAttrs(a, out, denial) })
}

// retryDenial says why a request gets no further attempt. It is a value of a log attribute.
type retryDenial string

// Reasons for no further attempt.
const (
	retryAllowed    retryDenial = ""
	deniedByPolicy  retryDenial = "policy"  // by the limits of its route, or because nothing can continue its answer
	deniedBySuspect retryDenial = "suspect" // it may have crashed servers
	deniedByBudget  retryDenial = "budget"
)

// retryDenial decides whether the request gets a further attempt, and charges the retry budget if so.
func (c *call) retryDenial(policy retry.Request, last retry.Execution) retryDenial {
	allowed, fromBudget := policy.MayRetry(last)
	// A request during which three servers crashed might crash another one.
	c.findPartSuspicion()
	switch {
	case !allowed:
		return deniedByPolicy
	case c.mayCrashServers() && !(c.isProbe && c.counts.Runs == 0): // a probe is one run, not one attempt
		return deniedBySuspect
	case fromBudget && !c.g.allowRetry(c.pool.Name):
		return deniedByBudget
	}
	return retryAllowed
}

// mayCrashServers reports whether too many servers have crashed under the request, or under others with a part of its
// prompt, for another run.
func (c *call) mayCrashServers() bool {
	return !c.suspicion.MayRetry(c.losses) || !c.partSuspicion.mayRetry(c.losses)
}

// failureAttrs returns the attributes of a failed attempt's log line. The key identifies the
// request when a caller sends it again under another ID. "attempt" counts only the attempts that
// reached a server ([retry.Counts].Arrived), as "sends" does in the request's final line.
func (c *call) failureAttrs(a *assignment, out outcome, denial retryDenial) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", c.head.ID), slog.String("backend", a.serverID),
		slog.String("cause", out.cause), slog.String("error", out.err.Error()), slog.Int("attempt", c.counts.Arrived),
		milliseconds("took_ms", c.g.now()-a.startedAt), slog.Bool("again", denial == retryAllowed),
		slog.String("last_event", c.relay.position.id),
	}
	if denial != retryAllowed {
		attrs = append(attrs, slog.String("denied_by", string(denial)))
	}
	attrs = append(attrs, a.versionAttrs()...)
	attrs = append(attrs, a.framingAttrs()...)
	if out.status > 0 {
		attrs = append(attrs, slog.Int("status", out.status))
	}
	if out.backoff > 0 {
		attrs = append(attrs, milliseconds("backoff_ms", out.backoff))
	}
	if out.leaving {
		attrs = append(attrs, slog.Bool("leaving", true))
	}
	if out.connectionBroke {
		attrs = append(attrs, slog.String("key", c.key().String()), slog.Int("ends", c.knownFailures()))
		if parts := c.unansweredParts(a); len(parts) > 0 {
			attrs = append(attrs, slog.Any("parts", parts[:min(len(parts), maxLoggedParts)]))
		}
	}
	return attrs
}

// framingAttrs returns the attribute for how the answer states its end, if one was received.
func (a *assignment) framingAttrs() []slog.Attr {
	if a.framing == "" {
		return nil
	}
	return []slog.Attr{slog.String("framing", string(a.framing))}
}

// key returns the quarantine key, which identifies the request across arrivals. It is computed on
// first use.
func (c *call) key() quarantine.Key {
	if c.cachedKey == nil {
		key := quarantine.KeyOf(c.account.Name, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
		c.cachedKey = &key
	}
	return *c.cachedKey
}

// Answers that count as faults of the backend server.
var (
	errCrossed    = faultyAnswer("the answer belongs to another request")
	errUnsigned   = faultyAnswer("the answer is not signed")
	errShort      = faultyAnswer("the stream ended inside an event or before the first one")
	errEndUnknown = faultyAnswer("nothing states that the stream is complete")
	errNoMemory   = faultyAnswer("an event is longer than there is memory for answers")
	errTooLarge   = faultyAnswer(fmt.Sprintf("an event exceeds %d bytes", maxEvent))
)

// faultyAnswer describes a fault in a backend server's answer.
type faultyAnswer string

// Error implements error.
func (e faultyAnswer) Error() string { return string(e) }
