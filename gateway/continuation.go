// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines which answers continue a stream that has begun. Nothing else may follow in its response.

// notContinuation is the fault of an answer that does not continue the stream for which it was requested.
type notContinuation struct{ reason string }

// Error implements error.
func (e notContinuation) Error() string {
	return "the answer does not continue the stream: " + e.reason
}

// errNoEvents is the fault of an answer that ends before its first event. Nothing in it shows that the stream
// was complete.
var errNoEvents = notContinuation{"no events"}

// canContinue reports whether another answer can continue the response that has begun.
func (r *relay) canContinue() bool {
	callerLeft := r.body != nil && r.body.Err() != nil
	return !callerLeft && !r.plain && !r.position.unplaced
}

// continueStream relays an answer as the rest of the stream that has begun, if it is one.
func (r *relay) continueStream(ctx context.Context, a *assignment, answer *forward.Response) outcome {
	if err := r.checkContinuationHead(answer); err != nil {
		return notContinuedOutcome(err)
	}
	return r.relayStream(ctx, a, answer)
}

// checkContinuationHead checks the status and the type of an answer that is to continue a stream. The error is
// a [notContinuation].
func (r *relay) checkContinuationHead(answer *forward.Response) error {
	switch {
	case answer.Status != r.status:
		return notContinuation{fmt.Sprintf("status %d", answer.Status)}
	case !mayBeEventStream(answer.Header):
		return notContinuation{"content type " + answer.Header.Get("Content-Type")}
	}
	return nil
}

// notContinuedOutcome returns the outcome of an attempt whose answer does not continue the stream. The server
// may be sound, but the attempt counts as failed, whatever its status: the caller got nothing of it.
func notContinuedOutcome(err error) outcome {
	return outcome{execution: retry.MayHaveRun, cause: "no continuation", verdict: outlier.Faulty, err: err}
}
