// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/outlier"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines relay, how an answer reaches the caller: a plain answer
// once it is whole, a stream event by event.

// Bounds of memory for one answer, in bytes.
const (
	maxHeldAnswer = 256 << 10 // a plain answer that is kept until it is whole; larger ones pass as they come
	maxEvent      = 1 << 20   // one event of a stream
	readSize      = 8 << 10   // the buffer of a stream
)

// relay is the answer of one request, over all its attempts.
type relay struct {
	c           *call
	headWritten bool   // the head has been written
	status      int    // in it
	lastEventID string // of the last event passed on
	partial     []byte // an event that is not whole yet
	// Of the stream so far, for the log.
	writes          int // writes to the caller
	lastWriteAt     time.Duration
	longestGap      time.Duration // between two of them
	deadlineMovedAt time.Duration // when the write deadline was last moved
}

// heldAnswer is a whole plain answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayPlain takes a relayPlain answer: a success goes to the caller once it is whole, a
// failure is held in case another backend server does better.
func (r *relay) relayPlain(a *assignment, answer *forward.Answer) outcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldAnswer))
	if err != nil {
		return outcome{execution: retry.MayHaveRun, cause: "cut off", verdict: outlier.Lost, err: err}
	}
	r.c.g.recordFirstPart(a, r.c.pool.Engine)
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body}
	if len(body) == maxHeldAnswer {
		return r.relayLarge(answer, held)
	}
	if answer.Status >= http.StatusInternalServerError {
		err := faultyAnswer("status " + strconv.Itoa(answer.Status))
		return outcome{execution: retry.HasRun, cause: "server error", verdict: outlier.Faulty, held: held, err: err}
	}
	r.writeHeld(held)
	return outcome{execution: retry.Answered}
}

// relayLarge passes on an answer that is too relayLarge to be kept.
func (r *relay) relayLarge(answer *forward.Answer, head *heldAnswer) outcome {
	r.writeHead(head.status, head.header, answer.Length)
	_, err := io.Copy(callerWriter{r.c.w}, io.MultiReader(bytes.NewReader(head.body), answer.Body))
	switch {
	case err == nil:
		return outcome{execution: retry.Answered}
	case errors.As(err, new(writeFailed)):
		return callerGone(err)
	}
	return outcome{execution: retry.MayHaveRun, cause: "cut off", verdict: outlier.Lost, err: err}
}

// callerGone is the outcome of an attempt whose answer could not be written to the
// caller.
func callerGone(err error) outcome {
	return outcome{execution: retry.MayHaveRun, cause: "caller gone", verdict: outlier.NoVerdict, err: err}
}

// callerWriter writes to the caller and fails with [writeFailed], so that a copy's error
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

// writeFailed is the failure of a write to the caller.
type writeFailed struct{ err error }

// Error names the cause.
func (e writeFailed) Error() string { return e.err.Error() }

// writeHeld writes a whole answer to the caller.
func (r *relay) writeHeld(h *heldAnswer) {
	r.writeHead(h.status, h.header, int64(len(h.body)))
	_, _ = r.c.w.Write(h.body) // it fails if the caller has gone, and net/http ends the connection
}

func (r *relay) writeHead(status int, from http.Header, length int64) {
	r.headWritten, r.status = true, status
	h := r.c.w.Header()
	for name, values := range r.c.g.cfg.Headers.AnswerHeader(from) {
		h[name] = values
	}
	for _, own := range []string{"Date", "Content-Type"} { // the library would add them
		if _, set := h[own]; !set {
			h[own] = nil
		}
	}
	if length >= 0 && r.c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.c.w.WriteHeader(status)
}

// succeeded reports whether the caller was given a succeeded.
func (r *relay) succeeded() bool {
	return r.status >= http.StatusOK && r.status < http.StatusMultipleChoices
}

// relayStream passes events on as they come, each once it is whole.
func (r *relay) relayStream(ctx context.Context, a *assignment, answer *forward.Answer) outcome {
	r.partial = r.partial[:0]
	buffer := make([]byte, readSize)
	flusher := http.NewResponseController(r.c.w)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			werr := r.relayChunk(a, answer, buffer[:n], flusher)
			switch {
			case werr == errTooLarge:
				return outcome{execution: retry.MayHaveRun, cause: "stream broken", verdict: outlier.Faulty, err: werr}
			case werr != nil:
				return callerGone(werr)
			}
		}
		if err == io.EOF {
			return r.finishStream(answer, flusher)
		}
		// A late gateway waits a little, so that several events come with one read.
		if err == nil && !sleep.For(ctx, r.c.g.overload.Load().Coalesce(r.c.route.EventGap)) {
			err = ctx.Err()
		}
		if err != nil {
			return outcome{execution: retry.MayHaveRun, cause: "stream broken", verdict: outlier.Lost, err: err}
		}
	}
}

// relayChunk takes what one read gave: the first of an attempt shows that the server has
// begun, the first of the call needs the answer's head.
func (r *relay) relayChunk(a *assignment, answer *forward.Answer, piece []byte, flusher *http.ResponseController) error {
	r.c.stall.progressed()
	if !a.answering {
		r.c.g.recordFirstPart(a, r.c.pool.Engine)
	}
	if !r.headWritten {
		r.c.g.stats.observe(firstSeconds, r.c.account.Name, r.c.route.Name, r.c.g.now()-r.c.arrived)
		r.writeHead(answer.Status, answer.Header, -1)
	}
	return r.relayEvents(piece, flusher)
}

// finishStream ends a stream whose body is whole.
func (r *relay) finishStream(answer *forward.Answer, flusher *http.ResponseController) outcome {
	if len(r.partial) > 0 && !r.c.route.Resumable {
		if _, err := r.c.w.Write(r.partial); err != nil {
			return callerGone(err)
		}
		r.partial = r.partial[:0]
	}
	if len(r.partial) > 0 {
		return outcome{execution: retry.MayHaveRun, cause: "stream cut off", verdict: outlier.Lost, err: errShort}
	}
	if !r.headWritten {
		r.writeHead(answer.Status, answer.Header, 0)
	}
	_ = flusher.Flush() // what it leaves behind goes out when the handler returns
	return outcome{execution: retry.Answered}
}

// eventSeparator separates events.
var eventSeparator = []byte("\n\n")

// relayEvents passes on the whole relayEvents of what has come, with one write. The error is
// errTooLarge or of the write.
func (r *relay) relayEvents(piece []byte, flusher *http.ResponseController) error {
	r.partial = append(r.partial, piece...)
	end := bytes.LastIndex(r.partial, eventSeparator)
	if end < 0 {
		if len(r.partial) > maxEvent {
			return errTooLarge
		}
		return nil
	}
	whole := r.partial[:end+len(eventSeparator)]
	if id, ok := parseLastEventID(whole); ok {
		r.lastEventID = id
	}
	r.extendWriteDeadline(flusher)
	if _, err := r.c.w.Write(whole); err != nil {
		return err
	}
	if err := flusher.Flush(); err != nil {
		return err
	}
	r.partial = append(r.partial[:0], r.partial[end+len(eventSeparator):]...)
	now := r.c.g.now()
	if r.writes > 0 {
		r.longestGap = max(r.longestGap, now-r.lastWriteAt)
	}
	r.writes++
	r.lastWriteAt = now
	return nil
}

// writeTimeout bounds how long a caller may take no byte of a stream.
const writeTimeout = 10 * time.Second

// extendWriteDeadline moves the deadline now and then; for every event would
// cost more than the event.
func (r *relay) extendWriteDeadline(flusher *http.ResponseController) {
	now := r.c.g.now()
	if now < r.deadlineMovedAt+writeTimeout/4 && r.deadlineMovedAt > 0 {
		return
	}
	r.deadlineMovedAt = now
	// A writer without deadlines is no error: the route's time still ends the stream.
	_ = flusher.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// parseLastEventID returns the identifier of the last event that has one.
func parseLastEventID(events []byte) (string, bool) {
	at := bytes.LastIndex(events, []byte("\nid:")) + 1 // 0, the first line, without one
	line, found := bytes.CutPrefix(events[at:], []byte("id:"))
	if !found {
		return "", false
	}
	id, _, _ := bytes.Cut(line, []byte("\n"))
	return string(bytes.TrimSpace(id)), true
}
