// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines when the answer of a hedge can replace a silent one: once it has something for the caller. A
// failure cannot, since the silent server may still answer, nor an answer that may have been broken off before its first
// byte.

// awaitUsable reads an answer until it has something for the caller, which it leaves in the answer's body. The outcome
// is that of a failed attempt if the answer has nothing, and otherwise has the execution [retry.Answered].
func (c *call) awaitUsable(a *assignment, answer *forward.Response, head AnswerHead) outcome {
	if out := c.checkOwner(a, answer, head); out.err != nil {
		return out
	}
	switch {
	case c.relay.begun():
		if err := c.relay.checkContinuationHead(answer); err != nil {
			return notContinuedOutcome(err)
		}
		return c.relay.awaitEvents(answer)
	case c.isStream(answer):
		return c.relay.awaitEvents(answer)
	}
	return c.awaitPlain(answer)
}

// awaitPlain reads a plain answer as far as it is held before it is passed on.
func (c *call) awaitPlain(answer *forward.Response) outcome {
	body, whole, err := c.held.readHeld(answer.Body)
	if err != nil {
		return outcome{execution: retry.MayHaveRun, cause: "cut off", verdict: outlier.Lost, err: err}
	}
	switch {
	case !isSuccess(answer.Status):
		return failedPlain(answer, body, whole)
	case len(body) == 0 && answer.Unframed:
		return outcome{execution: retry.MayHaveRun, cause: "end unknown", verdict: outlier.Unconfirmed, err: errEndUnknown}
	}
	unread(answer, body)
	return outcome{execution: retry.Answered}
}

// failedPlain returns the outcome of a plain answer that reports a failure. One that is too large to be held is dropped.
func failedPlain(answer *forward.Response, body []byte, whole bool) outcome {
	out := heldOutcome(&heldAnswer{status: answer.Status, header: answer.Header, body: body, unframed: answer.Unframed})
	if answer.Status < http.StatusInternalServerError {
		out.cause, out.verdict = "no success", outlier.Answered
	}
	if !whole {
		out.execution, out.held = retry.MayHaveRun, nil
	}
	return out
}

// awaitEvents reads a stream until it has a whole event that follows the last one passed on, or ends whole.
func (r *relay) awaitEvents(answer *forward.Response) outcome {
	next := relay{position: r.position, resumes: r.begun()}
	var received eventBuffer
	buffer := make([]byte, readSize)
	for {
		n, err := answer.Body.Read(buffer)
		if _, err := next.positionAfter(received.add(buffer[:n])); err != nil {
			return notContinuedOutcome(err)
		}
		if next.continues {
			unread(answer, received.bytes)
			return outcome{execution: retry.Answered}
		}
		switch {
		case err == io.EOF && r.endsWhole(answer, &received):
			unread(answer, received.bytes)
			return outcome{execution: retry.Answered}
		case err == io.EOF && r.begun():
			return notContinuedOutcome(errNoEvents)
		case err == io.EOF:
			return outcome{execution: retry.MayHaveRun, cause: "stream cut off", verdict: outlier.Lost, err: errShort}
		case err != nil:
			return outcome{execution: retry.MayHaveRun, cause: "stream broken", verdict: outlier.Lost, err: err}
		}
		if err := received.checkSize(r.c.held); err != nil {
			return outcome{execution: retry.MayHaveRun, cause: "stream broken", verdict: outlier.Faulty, err: err}
		}
	}
}

// endsWhole reports whether a stream that ends before its first event states that this is its end.
func (r *relay) endsWhole(answer *forward.Response, received *eventBuffer) bool {
	return !answer.Unframed && received.whole == len(received.bytes) && (!r.begun() || r.endUnstated)
}

// unread puts bytes that were read from an answer back into its body.
func unread(answer *forward.Response, received []byte) {
	answer.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(received), answer.Body), answer.Body}
}
