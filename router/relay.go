// SPDX-License-Identifier: Apache-2.0

package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/share"
	"github.com/badgerspoke/badgerspoke/state/config"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file defines relay, which copies a backend server's answer to the caller as it arrives, byte
// for byte, measures its cost, and never lets a broken answer look complete.

const (
	// relayBuffer is the largest chunk of an answer, in bytes. Allocating 32 KB for each relay cut
	// the throughput by more than a third.
	relayBuffer = 16 << 10
	// eventsPerCharge is the number of streamed events between two charges.
	eventsPerCharge = 16
	// maxUsageParse bounds the bytes of an answer that are retained to read its usage.
	maxUsageParse = 1 << 20
)

// relay copies one answer of a backend server to its caller.
type relay struct {
	router    *Router
	ctx       context.Context
	server    config.Server
	call      *call
	pool      *lockedPool
	answer    *forward.Response
	startedAt time.Duration
	body      *response.Body // of the response to the caller

	scan             *streamScan // scanner of an event stream; nil for any other answer
	plainBody        []byte      // body of any other answer, up to maxUsageParse
	retained         []byte      // body for the register, up to claim.MaxAnswerBytes
	tooLargeToRetain bool        // the body exceeds claim.MaxAnswerBytes
	relayedBytes     int64       // bytes of the body received so far
	length           int64       // of the whole body in bytes, -1 if unknown
	resumptions      int
}

// relayBuffers reuses buffers between relays. A buffer for each relay was most of what a request
// allocated.
var relayBuffers = sync.Pool{New: func() any { b := make([]byte, relayBuffer); return &b }}

// relayResult is the result of a relay.
type relayResult struct {
	cost      float64
	result    pool.Result
	failure   *Failure
	wholeBody []byte // whole body, if it is small enough to be retained
}

// run relays the answer to its end.
func (r *relay) run(w *response.Writer) relayResult {
	if isEventStream(r.answer.Header) {
		r.scan = &streamScan{}
	}
	r.length = r.answer.Length
	if err := r.writeHead(w); err != nil {
		r.call.abortConnection = true
		return relayResult{cost: r.cost(), result: pool.Abandoned, failure: failBroken}
	}
	callerLeft, err := r.copyBody()
	r.startWriteTimeout() // net/http writes the end of the body later
	end := relayResult{cost: r.cost(), result: pool.Served}
	switch {
	case callerLeft:
		r.discardAtServer()
		end.failure, end.result = failCallerGone, pool.Abandoned
	case err != nil || r.isTruncated():
		end.failure, end.result = failBroken, pool.Failed
		r.signalBrokenAnswer(failBroken)
	case r.endUnknown():
		end.result = pool.Unconfirmed
		r.call.abortConnection = !r.call.unframed
		_ = r.body.End() // fails only for a caller that has left
	default:
		_ = r.body.End() // as above
		end.wholeBody = r.retained
	}
	return end
}

// statesEnd reports whether the content of the answer states its end, as an engine's stream does.
func (r *relay) statesEnd() bool {
	return r.scan != nil && r.call.engine && r.answer.Status == http.StatusOK
}

// hasEndMark reports whether the content of the answer has stated its end.
func (r *relay) hasEndMark() bool { return r.statesEnd() && r.scan.done }

// endUnknown reports whether nothing states that an answer which ended without an error is complete.
func (r *relay) endUnknown() bool {
	return r.answer.Unframed && !r.statesEnd() && r.relayedBytes != r.length
}

// writeHead begins the response with the head of the answer. The error is a [response.SecondHead].
func (r *relay) writeHead(w *response.Writer) (err error) {
	unframed := r.answer.Unframed && !r.statesEnd() && !r.call.http2
	r.body, err = w.Begin(r.answer.Status, func(h http.Header) {
		for name, values := range r.answer.Header {
			if !hopByHop[name] && name != forward.ResumeHeader && name != forward.LoadHeader {
				h[name] = values
			}
		}
		if unframed {
			response.Unframe(h)
		}
	})
	r.call.unframed = unframed && err == nil
	return err
}

// copyBody copies the body to its end and resumes it after a break where possible.
func (r *relay) copyBody() (callerLeft bool, err error) {
	buf := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buf)
	for {
		n, err := r.answer.Body.Read(*buf)
		switch {
		case r.exceedsLength(n):
			return false, errTooLong
		case n > 0 && !r.writeChunk((*buf)[:n]):
			return true, nil
		case r.answer.Unframed && r.hasEndMark():
			return false, nil // the end of the connection states nothing more
		}
		switch {
		case err == nil:
		case err == io.EOF && !r.isTruncated():
			return false, nil
		case r.ctx.Err() != nil:
			return true, nil
		case !r.resume():
			return r.ctx.Err() != nil, err
		}
	}
}

// writeChunk counts one chunk of the body and writes it to the caller at once. It reports whether
// the caller is still connected.
func (r *relay) writeChunk(b []byte) bool {
	if r.relayedBytes == 0 {
		r.router.stats.seriesOf(r.call).first.Update((r.router.now() - r.call.arrivedAt).Seconds())
	}
	r.recordChunk(b)
	r.startWriteTimeout()
	_, err := r.body.Write(b)
	if err != nil || r.body.Flush() != nil {
		return false
	}
	r.stopWriteTimeout()
	return true
}

// startWriteTimeout sets the deadline for the caller to accept what is written next.
func (r *relay) startWriteTimeout() {
	// This fails only on a closed connection, and then the write fails as well.
	_ = r.body.SetWriteDeadline(time.Now().Add(r.router.cfg.Limits.WriteTimeout))
}

// stopWriteTimeout removes the deadline while the server's next chunk is awaited. A deadline that passes
// meanwhile resets an HTTP/2 stream, and on HTTP/1 fails the end of the body.
func (r *relay) stopWriteTimeout() {
	_ = r.body.SetWriteDeadline(time.Time{}) // as above
}

// maxResumes bounds the attempts to resume one answer.
const maxResumes = 3

// resume requests the rest of a broken answer from its server, from the first byte that the caller
// has not received, and reports whether it got it. This does not repeat the request: the server sends
// the rest of the same run. A server that accepts no connection in time may be silent for a moment only,
// and nothing else has the rest, so it is dialled again.
func (r *relay) resume() bool {
	path := r.answer.Header.Get(forward.ResumeHeader)
	for path != "" && r.resumptions < maxResumes {
		r.resumptions++
		a, err := r.router.cfg.Transport.Send(r.ctx, r.server.Address, forward.Call{
			Method: http.MethodGet, Path: path, Header: http.Header{"Range": {fmt.Sprintf("bytes=%d-", r.relayedBytes)}},
		})
		switch {
		case err == nil:
			return r.continueWith(a)
		case r.ctx.Err() != nil || !forward.IsDialTimeout(err):
			return false
		}
		r.pool.recordFailure(r.server.ID)
	}
	return false
}

// continueWith makes a the part of the answer that is relayed next, if it is the rest, and reports
// whether it is.
func (r *relay) continueWith(a *forward.Response) bool {
	length, ok := r.isRest(a)
	if !ok {
		a.Body.Close()
		return false
	}
	r.answer.Body.Close()
	r.answer.Body, r.answer.Unframed, r.length = a.Body, a.Unframed, length
	r.router.stats.resumed.Inc()
	return true
}

// discardTimeout bounds the call of discardAtServer.
const discardTimeout = 2 * time.Second

// discardAtServer tells the server to discard an answer whose caller has left, so that the server does
// not keep it for a resumption. Failures are ignored, since no one waits for the answer.
func (r *relay) discardAtServer() {
	path := r.answer.Header.Get(forward.ResumeHeader)
	if path == "" {
		return
	}
	ctx, cancel := context.WithTimeout(r.router.ctx, discardTimeout)
	defer cancel()
	a, err := r.router.cfg.Transport.Send(ctx, r.server.Address, forward.Call{Method: http.MethodDelete, Path: path})
	if err == nil {
		a.Body.Close()
	}
}

// recordChunk records a chunk of the body for its cost and for the register.
func (r *relay) recordChunk(b []byte) {
	r.relayedBytes += int64(len(b))
	if r.call.claim != nil && !r.tooLargeToRetain {
		r.retained = append(r.retained, b...)
		if len(r.retained) > claim.MaxAnswerBytes {
			r.retained, r.tooLargeToRetain = nil, true
		}
	}
	if r.scan == nil {
		if r.call.engine && len(r.plainBody)+len(b) <= maxUsageParse {
			r.plainBody = append(r.plainBody, b...)
		}
		return
	}
	before := r.scan.chunks
	r.scan.write(b)
	if r.scan.chunks/eventsPerCharge != before/eventsPerCharge {
		cost := r.cost()
		r.pool.withLock(func(pl *pool.Pool) { pl.Progress(r.call.work, cost) })
	}
}

// cost returns the cost so far.
func (r *relay) cost() float64 {
	u := share.Usage{BusySeconds: (r.router.now() - r.startedAt).Seconds()}
	if r.call.engine {
		u = r.usage()
	}
	return share.DefaultWeights.Cost(u)
}

// usage returns the usage that the engine reports, or an estimate from the relayed bytes.
func (r *relay) usage() share.Usage {
	estimate := share.Usage{Input: len(r.call.body) / bytesPerToken}
	if r.scan != nil {
		estimate.Output = r.scan.chunks
		if r.scan.usage != nil {
			return r.scan.usage.normalized()
		}
		return estimate
	}
	if u := parseUsage(r.plainBody); u != nil {
		return u.normalized()
	}
	estimate.Output = int(r.relayedBytes) / bytesPerToken
	return estimate
}

// bytesPerToken is the approximate length of a token in English text.
const bytesPerToken = 4

// isTruncated reports whether an answer that ended without an error is incomplete, which is the case
// for an engine's stream without its end mark, for any other stream that ends inside an event, and for a rest that
// is shorter than the answer. The HTTP client itself notices that the answer's first part is too short.
func (r *relay) isTruncated() bool {
	switch {
	case r.statesEnd():
		return !r.hasEndMark()
	case r.resumptions > 0 && r.relayedBytes < r.length:
		return true
	}
	return r.scan != nil && r.scan.insideEvent()
}

// errTooLong is the error of a rest that is longer than the answer.
var errTooLong = errors.New("the rest of the answer is too long")

// exceedsLength reports whether further n bytes of a rest would go beyond the answer's length.
func (r *relay) exceedsLength(n int) bool {
	return r.resumptions > 0 && r.length >= 0 && r.relayedBytes+int64(n) > r.length
}

// signalBrokenAnswer makes a broken answer visible to the caller: a stream gets an error event, and any other
// answer loses its connection before its declared end.
func (r *relay) signalBrokenAnswer(f *Failure) {
	if r.scan != nil {
		// Both fail only if the caller has left, and then no event is needed.
		_, _ = r.body.Write(append(r.scan.lineTerminator(), f.event()...))
		_ = r.body.Flush() // as above
		return
	}
	r.call.abortConnection = true
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// hopByHop holds the headers that apply to a single connection only (RFC 9110).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}
