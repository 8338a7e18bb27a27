// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"context"
	"fmt"
	"iter"

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
	return !callerLeft && !r.plain && !r.position.passedID
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
	case answer.Status != r.c.response.Status():
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

// position is where a stream of events has got to. The zero value is the beginning of a stream.
type position struct {
	id       string // of the last event that has one
	number   uint64 // value of id
	isNumber bool   // id is a decimal number
	counting bool   // an ID was one above the ID before it
	skipping bool   // an ID was not one above the ID before it
	passedID bool   // an event without an ID has followed, so that no server can tell where the stream goes on
}

// positionAt returns the position after the event with an ID, the beginning if it is empty.
func positionAt(id string) position {
	if id == "" {
		return position{}
	}
	return position{}.withEvent([]byte(id))
}

// withEvent returns the position after an event. An event without an ID has an empty one.
func (p position) withEvent(id []byte) position {
	if len(id) == 0 {
		p.passedID = true
		return p
	}
	number, isNumber := parseDecimal(id)
	if p.id != "" {
		next := p.isNumber && isNumber && number == p.number+1
		p.counting, p.skipping = p.counting || next, p.skipping || !next
	}
	p.id, p.number, p.isNumber, p.passedID = string(id), number, isNumber, false
	return p
}

// isFollowedBy reports whether the stream may go on with an event. IDs rise; those of a stream that has counted up
// so far may not leave out a number. IDs that are no numbers have no order.
func (p position) isFollowedBy(id []byte) bool {
	number, isNumber := parseDecimal(id)
	switch {
	case p.id == "":
		return true
	case len(id) == 0 || isNumber != p.isNumber:
		return false
	case !isNumber:
		return string(id) != p.id
	case p.counting && !p.skipping:
		return number == p.number+1
	}
	return number > p.number
}

// parseDecimal parses a decimal number without allocating.
func parseDecimal(b []byte) (n uint64, ok bool) {
	const maxDigits = 19 // all numbers of so many digits fit
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	for _, digit := range b {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		n = 10*n + uint64(digit-'0')
	}
	return n, true
}

// eventIDs yields the ID of each event in a text of whole events, empty for an event without one. A text of
// comments alone is no event.
func eventIDs(events []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		var id []byte
		inEvent := false
		for line := range bytes.Lines(events) {
			line = bytes.TrimRight(line, "\r\n")
			switch {
			case len(line) == 0 && inEvent:
				if !yield(id) {
					return
				}
				id, inEvent = nil, false
			case len(line) == 0 || line[0] == ':':
			default:
				inEvent = true
				if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
					id = bytes.TrimSpace(value)
				}
			}
		}
	}
}
