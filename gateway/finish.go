// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file defines how a call ends: the response to the caller, the counters and the log line.

// callerLeft ends a request whose caller has closed the connection.
type callerLeft struct{}

// callerLeftKey is the context key of the function passed to WithCallerLeft.
type callerLeftKey struct{}

// WithCallerLeft returns a context with a function that reports whether the caller has left. The
// gateway calls it before each attempt: a request may have stayed in the kernel's accept queue
// longer than its caller waited, and must not run then.
func WithCallerLeft(ctx context.Context, left func() bool) context.Context {
	return context.WithValue(ctx, callerLeftKey{}, left)
}

// callerHasLeft calls the function of WithCallerLeft; it returns false without one.
func callerHasLeft(ctx context.Context) bool {
	left, ok := ctx.Value(callerLeftKey{}).(func() bool)
	return ok && left()
}

// abortResponse ends a response that has begun without its end, see package response.
func abortResponse() { panic(http.ErrAbortHandler) }

// Error implements error.
func (callerLeft) Error() string { return "the caller has left" }

// brokenAnswer ends a request whose answer has begun and cannot be completed. Only closing the
// connection signals that to the caller.
type brokenAnswer struct{ err error }

// Error implements error.
func (b brokenAnswer) Error() string { return "answer cut off: " + b.err.Error() }

// endingOf returns the error with which a call ends. In a response that has begun nothing can be refused any more.
func (c *call) endingOf(err error) error {
	if c.response.Begun() && errors.As(err, new(Refusal)) {
		return brokenAnswer{err: err}
	}
	return err
}

// recordSecondHead records a head that was refused because the response had begun.
func (g *Gateway) recordSecondHead(e response.SecondHead) {
	g.stats.secondHeads.Inc()
	g.cfg.Log.Slog().Error("second response head", slog.Int("status", e.Second), slog.Int("begun_with", e.First))
}

// finish writes the gateway's own error response if there is one, and updates counters and the log.
func (c *call) finish(err error) {
	took := c.g.now() - c.arrived
	err = c.endingOf(err)
	if c.wasAssigned && !c.response.Begun() {
		c.g.accounts.countNotServed(c.account.Name, c.cost)
	}
	var refusal Refusal
	var broken brokenAnswer
	switch {
	case err == nil && c.unconfirmed:
		c.g.stats.count("unconfirmed", "route", c.route.Name)
		c.g.cfg.Log.RoutineFunc("answered", func() []slog.Attr { return c.logAttrs(took) })
	case err == nil:
		c.g.stats.count("answered", "route", c.route.Name)
		c.g.stats.observe(answerSeconds, c.account.Name, c.route.Name, took)
		c.g.cfg.Log.RoutineFunc("answered", func() []slog.Attr { return c.logAttrs(took) })
	case errors.As(err, &refusal):
		c.g.stats.count("refused", "cause", string(refusal.Cause))
		c.countTokens(string(refusal.Cause))
		c.g.cfg.Log.FailureFunc("refused", func() []slog.Attr {
			return append(c.logAttrs(took), slog.String("cause", string(refusal.Cause)),
				slog.Int("status", refusal.Status()), milliseconds("after_ms", refusal.RetryAfter))
		})
		if err := refusal.write(c.response); err != nil {
			abortResponse()
		}
	case errors.As(err, &broken):
		c.g.stats.count("broken", "route", c.route.Name)
		c.g.cfg.Log.Failure("answer cut off", append(c.logAttrs(took), slog.String("error", broken.err.Error()))...)
		abortResponse()
	default:
		c.g.stats.count("left", "route", c.route.Name)
		c.g.cfg.Log.Failure("caller left", c.logAttrs(took)...)
		panic(http.ErrAbortHandler)
	}
}

// logAttrs returns the attributes of the request's final log line: the request, its share, the
// shortage it waited for, its last backend server, and its stream, as far as they apply. "attempts"
// counts the attempts that ran or may have run, and "sends" those that reached a server.
func (c *call) logAttrs(took time.Duration) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", c.head.ID), slog.String("route", c.route.Name), slog.String("tenant", c.account.Name),
		slog.Uint64("document", c.g.DocumentNumber()), slog.String("standing", c.class.String()),
		slog.Int("attempts", c.counts.Runs), slog.Int("sends", c.counts.Arrived), milliseconds("took_ms", took),
	}
	if c.hasSuspicion {
		attrs = append(attrs, slog.String("key", c.suspicion.Key.String()), slog.Int("ends", c.suspicion.Failures))
	}
	attrs = append(attrs, c.partSuspicion.logAttrs()...)
	if c.spentBeforeArrival > 0 {
		attrs = append(attrs, milliseconds("spent_ms", c.spentBeforeArrival))
	}
	if c.class > entitlement.Entitled {
		e, age := c.g.accounts.entitlement(c.account.Name)
		attrs = append(attrs, slog.Float64("part", float64(e.Part)), slog.Float64("extra_part", float64(e.Extra)),
			milliseconds("told_ms_ago", age))
	}
	if s := c.shortage; s.serverID != "" {
		attrs = append(attrs, slog.String("full", s.serverID), slog.String("full_for", s.bound.String()),
			slog.Int("full_requests", s.serverRequests), slog.Int("full_tokens", s.serverTokens), slog.Float64("slowness", s.slowness),
			slog.Float64("tokens_a_ms", s.estimates.ReadRate), slog.Float64("per_slot", s.estimates.RequestsPerSlot),
			milliseconds("seen_ms_ago", s.loadAge))
	}
	if out, changes := c.g.table.listHallsOut(); len(out) > 0 {
		attrs = append(attrs, slog.Any("halls_out", out), slog.Uint64("hall_changes", changes))
	}
	if c.assigned != nil {
		attrs = append(attrs, c.serverAttrs(c.assigned)...)
	}
	if c.resumesStream() {
		attrs = append(attrs, c.stream.logAttrs()...)
	}
	attrs = append(attrs, c.regionAttrs()...)
	return append(attrs, c.writeAttrs()...)
}

// serverAttrs returns the log attributes of the last attempt's backend server and answer.
func (c *call) serverAttrs(a *assignment) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("backend", a.serverID), slog.Int("tokens_ahead", a.tokensAhead),
		slog.Int("tokens_read", a.tokensToRead), slog.Int("tokens_shared", c.head.Prompt.SharedTokens()),
		milliseconds("queued_ms", a.startedAt-c.arrived), milliseconds("first_ms", a.timeToFirst), milliseconds("expected_ms", a.expectedFirst),
	}
	attrs = append(attrs, a.versionAttrs()...)
	attrs = append(attrs, a.versionAttempt.logAttrs()...)
	attrs = append(attrs, a.framingAttrs()...)
	if a.status > 0 {
		attrs = append(attrs, slog.Int("server_status", a.status))
	}
	return attrs
}

// writeAttrs returns the log attributes of the stream written to the caller, if there is one.
func (c *call) writeAttrs() []slog.Attr {
	r := c.relay
	if r == nil || r.writes == 0 {
		return nil
	}
	return []slog.Attr{
		slog.Int("pieces", r.writes), slog.String("last_event", r.position.id),
		milliseconds("quiet_ms", c.g.now()-r.lastWriteAt), milliseconds("longest_gap_ms", r.longestGap),
	}
}

// milliseconds returns an attribute with a duration in whole milliseconds.
func milliseconds(key string, d time.Duration) slog.Attr { return slog.Int64(key, d.Milliseconds()) }
