// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file defines relay, which passes an answer on to the caller: a plain answer once it is
// whole, a stream event by event.

// Memory bounds for one answer, in bytes.
const (
	maxHeldAnswer = 256 << 10 // a plain answer that is held until it is whole; larger ones are passed on as they arrive
	readSize      = 8 << 10   // read buffer of a stream
)

// relay passes on the answer of one request, across all its attempts.
type relay struct {
	c           *call
	body        *response.Body // of the response to the caller; nil before its head
	status      int            // of the response's head; zero before it
	plain       bool           // the response is no stream
	unframed    bool           // the response ends with its connection
	position    position       // of the stream, at the last event passed on
	received    eventBuffer    // received part that has not been passed on
	resumes     bool           // the current answer is to continue a stream that has begun
	continues   bool           // the current answer has shown that it does, or need not
	endUnstated bool           // the previous answer ended the stream in order without stating that this is its end
	// Statistics of the stream so far, for the log.
	writes          int // number of writes to the caller
	lastWriteAt     time.Duration
	longestGap      time.Duration // longest time between two writes
	deadlineMovedAt time.Duration // when the write deadline was last moved
}

// heldAnswer is a whole plain answer.
type heldAnswer struct {
	status   int
	header   http.Header
	body     []byte
	unframed bool // the server did not state the end of the body
}

// relayPlain handles a plain answer. A success is written to the caller once it is whole; a failure
// is held in case another backend server succeeds.
func (r *relay) relayPlain(a *assignment, answer *forward.Response) outcome {
	r.c.watch.await()
	body, whole, err := r.c.held.readHeld(answer.Body)
	r.c.watch.suspend()
	if err != nil {
		return outcome{execution: retry.MayHaveRun, cause: "cut off", verdict: outlier.Lost, err: err}
	}
	r.c.g.recordFirstPart(a, r.c.pool.Engine, false)
	if isSuccess(answer.Status) && (len(body) > 0 || !answer.Unframed) {
		r.c.partsBegun()
	}
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body, unframed: answer.Unframed}
	if whole && answer.Status >= http.StatusInternalServerError {
		return heldOutcome(held)
	}
	if err := r.c.watch.received(); err != nil {
		return replacedOutcome(err)
	}
	if !whole {
		return r.relayLarge(answer, held)
	}
	if err := r.writeHeld(held); err != nil {
		return secondHeadOutcome(err)
	}
	return passedOn(answer)
}

// heldOutcome returns the outcome of an attempt whose whole answer reports a failure.
func heldOutcome(held *heldAnswer) outcome {
	err := faultyAnswer("status " + strconv.Itoa(held.status))
	return outcome{execution: retry.HasRun, cause: "server error", verdict: outlier.Faulty, held: held, err: err}
}

// replacedOutcome returns the outcome of an attempt that a hedge has replaced.
func replacedOutcome(err error) outcome {
	return outcome{execution: retry.MayHaveRun, cause: causeSilent, verdict: outlier.NoVerdict, err: err}
}

// passedOn returns the outcome of an attempt whose answer the caller has, as far as it came.
func passedOn(answer *forward.Response) outcome {
	if answer.Unframed {
		return outcome{execution: retry.Answered, verdict: outlier.Unconfirmed}
	}
	return outcome{execution: retry.Answered, verdict: outlier.Answered}
}

// relayLarge passes on an answer that is too large to be held.
func (r *relay) relayLarge(answer *forward.Response, head *heldAnswer) outcome {
	if err := r.writeHead(head.status, head.header, answer.Length, answer.Unframed); err != nil {
		return secondHeadOutcome(err)
	}
	r.plain = true
	_, err := io.Copy(callerWriter{r.body}, io.MultiReader(bytes.NewReader(head.body), answer.Body))
	switch {
	case err == nil:
		_ = r.body.End() // as in writeHeld
		return passedOn(answer)
	case errors.As(err, new(writeFailed)):
		return callerLeftOutcome(err)
	}
	return outcome{execution: retry.MayHaveRun, cause: "cut off", verdict: outlier.Lost, err: err}
}

// callerLeftOutcome returns the outcome of an attempt whose answer could not be written to the
// caller.
func callerLeftOutcome(err error) outcome {
	return outcome{execution: retry.MayHaveRun, cause: "caller gone", verdict: outlier.NoVerdict, err: err}
}

// secondHeadOutcome returns the outcome of an attempt whose answer came after the response had begun with another
// one. This is a fault of the gateway.
func secondHeadOutcome(err error) outcome {
	return outcome{execution: retry.MayHaveRun, cause: "second head", verdict: outlier.NoVerdict, err: err}
}

// callerWriter writes to the caller and wraps errors in [writeFailed], so that the error of a copy
// shows which side failed.
type callerWriter struct{ w io.Writer }

// Write implements [io.Writer].
func (c callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		err = writeFailed{err}
	}
	return n, err
}

// writeFailed is the error of a write to the caller.
type writeFailed struct{ err error }

// Error implements error.
func (e writeFailed) Error() string { return e.err.Error() }

// writeHeld writes a whole answer to the caller. The error is a [response.SecondHead].
func (r *relay) writeHeld(h *heldAnswer) error {
	if err := r.writeHead(h.status, h.header, int64(len(h.body)), h.unframed); err != nil {
		return err
	}
	// A failure means that the caller has left; net/http then closes the connection.
	_, _ = r.body.Write(h.body)
	_ = r.body.End() // as above
	return nil
}

// writeHead writes the response head. A negative length is unknown. An unframed response gets neither a
// length nor chunks, since each of them would state an end that the server did not state. The error is a
// [response.SecondHead].
func (r *relay) writeHead(status int, header http.Header, length int64, unframed bool) error {
	body, err := r.c.response.Begin(status, func(h http.Header) {
		maps.Copy(h, r.c.g.cfg.Headers.AnswerHeader(header))
		for _, name := range []string{"Date", "Content-Type"} { // nil keeps net/http from adding them
			if _, set := h[name]; !set {
				h[name] = nil
			}
		}
		switch {
		case unframed:
			response.Unframe(h)
		case length >= 0 && r.c.r.Method != http.MethodHead:
			h.Set("Content-Length", strconv.FormatInt(length, 10))
		}
	})
	if err != nil {
		return err
	}
	r.body, r.unframed, r.status = body, unframed, status
	return nil
}

// begun reports whether the response to the caller has begun.
func (r *relay) begun() bool { return r.status != 0 }

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// relayStream passes on the events of a stream, each as soon as it is whole.
func (r *relay) relayStream(ctx context.Context, a *assignment, answer *forward.Response) outcome {
	r.received.reset()
	r.resumes = r.begun()
	r.continues = !r.resumes
	buffer := make([]byte, readSize)
	for {
		r.c.watch.await()
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := r.relayChunk(a, answer, buffer[:n]); err != nil {
				return chunkErrorOutcome(err)
			}
		}
		if err == io.EOF {
			return r.finishStream(answer)
		}
		// A delayed gateway pauses between reads, so that one read returns several events.
		if err == nil && !sleep.For(ctx, r.c.g.overload.Load().Coalesce(r.c.route.EventGap)) {
			err = ctx.Err()
		}
		if err != nil {
			r.c.watch.suspend() // a hedge that it starts copies what is set here
			r.endUnstated = r.received.isEmpty() && errors.As(err, new(forward.ServerEnded))
			return outcome{execution: retry.MayHaveRun, cause: "stream broken", verdict: outlier.Lost, err: err}
		}
	}
}

// chunkErrorOutcome returns the outcome of an attempt for which relayChunk returned an error.
func chunkErrorOutcome(err error) outcome {
	switch {
	case err == errReplaced:
		return replacedOutcome(err)
	case errors.As(err, new(notContinuation)):
		return notContinuedOutcome(err)
	case errors.As(err, new(response.SecondHead)):
		return secondHeadOutcome(err)
	case err == errTooLarge, err == errNoMemory:
		return outcome{execution: retry.MayHaveRun, cause: "stream broken", verdict: outlier.Faulty, err: err}
	}
	return callerLeftOutcome(err)
}

// relayChunk handles the bytes of one read. The first ones of the call are preceded by the response head. The
// error is errTooLarge, a [notContinuation], a [response.SecondHead], or that of a write.
func (r *relay) relayChunk(a *assignment, answer *forward.Response, chunk []byte) error {
	if err := r.c.watch.received(); err != nil {
		return err
	}
	a.entry.heard(r.c.g.now())
	if r.continues {
		r.recordBegun(a)
	}
	if r.body == nil {
		if err := r.writeHead(answer.Status, answer.Header, -1, answer.Unframed); err != nil {
			return err
		}
		r.c.g.stats.observe(firstSeconds, r.c.account.Name, r.c.route.Name, r.c.g.now()-r.c.arrived)
		r.c.recordOrigin(a)
	}
	completed := r.received.add(chunk)
	if len(completed) == 0 {
		return r.checkReceivedSize()
	}
	after, err := r.positionAfter(completed)
	if err != nil {
		return err
	}
	if !r.continues {
		return r.checkReceivedSize() // comments before the first event
	}
	r.recordBegun(a)
	return r.writeEvents(after)
}

// recordBegun records that the attempt's answer has begun, at its first call in an attempt.
func (r *relay) recordBegun(a *assignment) {
	if !a.answering {
		r.c.g.recordFirstPart(a, r.c.pool.Engine, true)
		r.c.partsBegun()
	}
}

// checkReceivedSize returns an error if too many bytes wait to be passed on.
func (r *relay) checkReceivedSize() error {
	err := r.received.checkSize(r.c.held)
	if err != nil {
		r.received = eventBuffer{} // the request may wait for another server
	}
	return err
}

// positionAfter returns the position of the stream after whole events. Those of an answer that resumes the stream
// must follow the last event passed on, the first one with an ID. The error is a [notContinuation].
func (r *relay) positionAfter(events []byte) (position, error) {
	p := r.position
	for id := range eventIDs(events) {
		placed := len(id) > 0 || !r.continues // an event without an ID belongs behind the one before it
		if r.resumes && placed && !p.isFollowedBy(id) {
			return p, notContinuation{fmt.Sprintf("event %q after event %q", id, p.id)}
		}
		r.continues = true
		p = p.withEvent(id)
	}
	return p, nil
}

// finishStream handles the end of a stream's body. One that ends inside an event, or before the first one
// without stating that this is its end, is broken. A stream that began with chunks and goes on in a body
// without them ends like a broken one: its last chunk would state an end that nothing else states.
func (r *relay) finishStream(answer *forward.Response) outcome {
	confirmed := r.endUnstated && !answer.Unframed && r.received.isEmpty()
	switch {
	case !r.received.isEmpty() || answer.Unframed && r.body == nil:
		return outcome{execution: retry.MayHaveRun, cause: "stream cut off", verdict: outlier.Lost, err: errShort}
	case !r.continues && !confirmed:
		return notContinuedOutcome(errNoEvents)
	}
	if err := r.c.watch.received(); err != nil {
		return replacedOutcome(err)
	}
	if r.body == nil {
		if err := r.writeHead(answer.Status, answer.Header, 0, false); err != nil {
			return secondHeadOutcome(err)
		}
	}
	if answer.Unframed && !r.unframed {
		r.endUnstated = true
		return outcome{execution: retry.MayHaveRun, cause: "end unknown", verdict: outlier.Unconfirmed, err: errEndUnknown}
	}
	r.extendWriteDeadline() // for the end of the body, which net/http writes later
	_ = r.body.Flush()      // unflushed bytes are sent when the handler returns
	_ = r.body.End()        // as in writeHeld
	return passedOn(answer)
}

// writeEvents passes on the whole events received so far with one write and keeps the rest.
func (r *relay) writeEvents(after position) error {
	r.extendWriteDeadline()
	if _, err := r.body.Write(r.received.wholeEvents()); err != nil {
		return err
	}
	r.position, r.endUnstated = after, false
	if err := r.body.Flush(); err != nil {
		return err
	}
	r.received.removeWhole()
	now := r.c.g.now()
	if r.writes > 0 {
		r.longestGap = max(r.longestGap, now-r.lastWriteAt)
	}
	r.writes++
	r.lastWriteAt = now
	return nil
}

// writeTimeout is how long a caller may go without accepting a byte of a stream.
const writeTimeout = 10 * time.Second

// extendWriteDeadline moves the write deadline at most every quarter of writeTimeout, since moving
// it for each event would cost more than relaying the event.
func (r *relay) extendWriteDeadline() {
	now := r.c.g.now()
	if now < r.deadlineMovedAt+writeTimeout/4 && r.deadlineMovedAt > 0 {
		return
	}
	r.deadlineMovedAt = now
	// A writer that does not support deadlines is no error: the route's timeout still ends the stream.
	_ = r.body.SetWriteDeadline(time.Now().Add(writeTimeout))
}
