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

	"github.com/badgerspoke/badgerspoke/coordination/claim"
	"github.com/badgerspoke/badgerspoke/coordination/pool"
	"github.com/badgerspoke/badgerspoke/coordination/share"
	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines relay, which copies a backend server's answer to the
// caller as it comes, byte for byte, counts what it costs, and never lets a
// broken answer look whole.

const (
	// relayBuffer is the largest piece of an answer, in bytes. 16 KB from a
	// pool instead of 32 KB each took BenchmarkRouterThroughput from 1,479 to
	// 2,363 requests a second and core.
	relayBuffer = 16 << 10
	// chargeEvery is the number of streamed chunks between two charges. Chosen,
	// not measured.
	chargeEvery = 16
	// maxUsageParse bounds the bytes of an answer that are kept to read its
	// usage. Chosen, not measured.
	maxUsageParse = 1 << 20
)

type relay struct {
	router *Router
	ctx    context.Context
	server string // address
	call   *call
	pool   *lockedPool
	answer *forward.Answer
	began  time.Duration

	scan    *streamScan // of a stream of events
	plain   []byte      // of any other answer, up to maxUsageParse
	keep    []byte      // for the register, while small enough
	tooBig  bool
	out     int64
	resumed int
}

// relayBuffers keeps buffers between relays: one of its own for each was most
// of what a request allocated.
var relayBuffers = sync.Pool{New: func() any { b := make([]byte, relayBuffer); return &b }}

// relayed is how a relay ended.
type relayed struct {
	cost    float64
	result  pool.Result
	failure *Failure
	whole   []byte // the whole body, if it is small enough to keep
}

// run relays the answer to its end.
func (r *relay) run(w http.ResponseWriter) relayed {
	r.writeHead(w)
	if isEventStream(r.answer.Header) {
		r.scan = &streamScan{}
	}
	err, callerGone := r.copy(w)
	end := relayed{cost: r.cost(), result: pool.Served}
	switch {
	case callerGone:
		r.endAtServer()
		end.failure, end.result = failGone, pool.Abandoned
	case err != nil || r.cutShort():
		end.failure, end.result = failBroken, pool.Failed
		r.breakOff(w, failBroken)
	case !r.tooBig:
		end.whole = r.keep
	}
	return end
}

func (r *relay) writeHead(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range r.answer.Header {
		if !hopByHop[name] && name != forward.ResumeHeader && name != forward.LoadHeader {
			h[name] = values
		}
	}
	w.WriteHeader(r.answer.Status)
}

// copy moves the body in pieces, each flushed at once.
func (r *relay) copy(w http.ResponseWriter) (err error, callerGone bool) {
	flush := http.NewResponseController(w)
	held := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(held)
	buf := *held
	for {
		n, err := r.answer.Body.Read(buf)
		if n > 0 {
			if r.out == 0 {
				r.router.stats.of(r.call).first.Update((r.router.now() - r.call.came).Seconds())
			}
			r.count(buf[:n])
			// It fails only on a closed connection, as the write then does.
			_ = flush.SetWriteDeadline(time.Now().Add(r.router.cfg.Limits.Write))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return nil, true
			}
			if flush.Flush() != nil {
				return nil, true
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !r.cutShort() {
			return nil, false
		}
		if r.ctx.Err() != nil {
			return nil, true
		}
		if !r.resume() {
			return err, false
		}
	}
}

// resumes bounds how often one answer is taken up again. Chosen, not measured.
const resumes = 3

// resume takes up a broken answer at the first byte that the caller does not
// have, and reports whether it goes on. It is no repeat: the server sends the
// rest of the same run.
func (r *relay) resume() bool {
	path := r.answer.Header.Get(forward.ResumeHeader)
	if path == "" || r.resumed >= resumes {
		return false
	}
	r.resumed++
	a, err := r.router.cfg.Server.Send(r.ctx, r.server, forward.Call{
		Method: http.MethodGet, Path: path, Header: http.Header{"Range": {fmt.Sprintf("bytes=%d-", r.out)}},
	})
	if err != nil {
		return false
	}
	rest := fmt.Sprintf("bytes %d-", r.out)
	if a.Status != http.StatusPartialContent || !strings.HasPrefix(a.Header.Get("Content-Range"), rest) {
		a.Body.Close()
		return false
	}
	r.answer.Body.Close()
	r.answer.Body = a.Body
	r.router.stats.resumed.Inc()
	return true
}

// endTimeout is for a server to take the end of an answer that nobody wants.
// Chosen, not measured.
const endTimeout = 2 * time.Second

// endAtServer ends an answer that its server would keep for a resumption: the
// caller is gone. A failure is not logged: nobody waits for the answer.
func (r *relay) endAtServer() {
	path := r.answer.Header.Get(forward.ResumeHeader)
	if path == "" {
		return
	}
	ctx, cancel := context.WithTimeout(r.router.ctx, endTimeout)
	defer cancel()
	a, err := r.router.cfg.Server.Send(ctx, r.server, forward.Call{Method: http.MethodDelete, Path: path})
	if err == nil {
		a.Body.Close()
	}
}

// count looks at a piece on its way through.
func (r *relay) count(b []byte) {
	r.out += int64(len(b))
	if r.call.keyed != nil && !r.tooBig {
		r.keep = append(r.keep, b...)
		if len(r.keep) > claim.MaxAnswer {
			r.keep, r.tooBig = nil, true
		}
	}
	if r.scan == nil {
		if r.call.engine && len(r.plain)+len(b) <= maxUsageParse {
			r.plain = append(r.plain, b...)
		}
		return
	}
	before := r.scan.chunks
	r.scan.write(b)
	if r.scan.chunks/chargeEvery != before/chargeEvery {
		cost := r.cost()
		r.pool.locked(func(pl *pool.Pool) { pl.Progress(r.call.work, cost) })
	}
}

// cost is the cost reached so far.
func (r *relay) cost() float64 {
	u := share.Usage{Time: (r.router.now() - r.began).Seconds()}
	if r.call.engine {
		u = r.usage()
	}
	return share.DefaultWeights.Cost(u)
}

// usage is what the engine reports, or else an estimate from what passed through.
func (r *relay) usage() share.Usage {
	estimate := share.Usage{Input: len(r.call.body) / bytesPerToken}
	if r.scan != nil {
		estimate.Output = r.scan.chunks
		if r.scan.usage != nil {
			return r.scan.usage.share()
		}
		return estimate
	}
	if u := parseUsage(r.plain); u != nil {
		return u.share()
	}
	estimate.Output = int(r.out) / bytesPerToken
	return estimate
}

// bytesPerToken is the usual length of a token in English text, a rule of thumb.
const bytesPerToken = 4

// cutShort reports whether an answer that ended without an error is not
// whole: a stream without its end mark.
func (r *relay) cutShort() bool {
	return r.scan != nil && r.call.engine && r.answer.Status == http.StatusOK && !r.scan.done
}

// breakOff makes a broken answer visible: a stream gets an error event, any
// other answer loses its connection before its declared end.
func (r *relay) breakOff(w http.ResponseWriter, f *Failure) {
	if r.scan != nil {
		// Both fail only for a caller that is gone, who needs no event.
		_, _ = w.Write(append(r.scan.closeLine(), f.event()...))
		_ = http.NewResponseController(w).Flush() // as above
		return
	}
	r.call.abort = true
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// hopByHop are the headers that concern one connection only (RFC 9110).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}
