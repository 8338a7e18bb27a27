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
	relayBuffer   = 16 << 10
	chargeEvery   = 16 // streamed chunks between two charges
	maxUsageParse = 1 << 20
)

type relay struct {
	router *Router
	ctx    context.Context
	server string // address
	call   *call
	pool   *lockedPool
	work   *pool.Work
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
	written bool   // something reached the caller, or the caller is gone
	whole   []byte // the whole body, if it is small enough to keep
}

// run relays the answer to its end.
func (l *relay) run(w http.ResponseWriter) relayed {
	l.writeHead(w)
	if isEventStream(l.answer.Header) {
		l.scan = &streamScan{}
	}
	err, callerGone := l.copy(w)
	end := relayed{cost: l.cost(), written: true, result: pool.Served}
	switch {
	case callerGone:
		l.endAtServer()
		f := failGone.WithOutcome(UnknownRun)
		end.failure, end.result = &f, pool.Abandoned
	case err != nil || l.cutShort():
		f := failBroken
		end.failure, end.result = &f, pool.Failed
		l.breakOff(w, f)
	case !l.tooBig:
		end.whole = l.keep
	}
	return end
}

func (l *relay) writeHead(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range l.answer.Header {
		if !hopByHop[name] && name != forward.ResumeHeader && name != forward.LoadHeader {
			h[name] = values
		}
	}
	w.WriteHeader(l.answer.Status)
}

// copy moves the body in pieces, each flushed at once.
func (l *relay) copy(w http.ResponseWriter) (err error, callerGone bool) {
	flush := http.NewResponseController(w)
	held := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(held)
	buf := *held
	for {
		n, err := l.answer.Body.Read(buf)
		if n > 0 {
			if l.out == 0 {
				l.router.stats.of(l.call).first.Update((l.router.now() - l.call.came).Seconds())
			}
			l.count(buf[:n])
			_ = flush.SetWriteDeadline(time.Now().Add(l.router.cfg.Limits.Write))
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
		if err == io.EOF && !l.cutShort() {
			return nil, false
		}
		if l.ctx.Err() != nil {
			return nil, true
		}
		if !l.resume() {
			return err, false
		}
	}
}

// resumes bounds how often one answer is taken up again.
const resumes = 3

// resume takes up a broken answer at the first byte that the caller does not
// have, and reports whether it goes on. It is no repeat: the server sends the
// rest of the same run.
func (l *relay) resume() bool {
	path := l.answer.Header.Get(forward.ResumeHeader)
	if path == "" || l.resumed >= resumes {
		return false
	}
	l.resumed++
	a, err := l.router.cfg.Server.Send(l.ctx, l.server, forward.Call{
		Method: http.MethodGet, Path: path, Header: http.Header{"Range": {fmt.Sprintf("bytes=%d-", l.out)}},
	})
	if err != nil {
		return false
	}
	rest := fmt.Sprintf("bytes %d-", l.out)
	if a.Status != http.StatusPartialContent || !strings.HasPrefix(a.Header.Get("Content-Range"), rest) {
		a.Body.Close()
		return false
	}
	l.answer.Body.Close()
	l.answer.Body = a.Body
	l.router.stats.resumed.Inc()
	return true
}

const endTimeout = 2 * time.Second

// endAtServer tells a server that would keep the answer for a resumption that
// its caller is gone.
func (l *relay) endAtServer() {
	path := l.answer.Header.Get(forward.ResumeHeader)
	if path == "" {
		return
	}
	ctx, cancel := context.WithTimeout(l.router.ctx, endTimeout)
	defer cancel()
	a, err := l.router.cfg.Server.Send(ctx, l.server, forward.Call{Method: http.MethodDelete, Path: path})
	if err == nil {
		a.Body.Close()
	}
}

// count looks at a piece on its way through.
func (l *relay) count(b []byte) {
	l.out += int64(len(b))
	if l.call.keyed != nil && !l.tooBig {
		l.keep = append(l.keep, b...)
		if len(l.keep) > claim.MaxAnswer {
			l.keep, l.tooBig = nil, true
		}
	}
	if l.scan == nil {
		if l.call.engine && len(l.plain)+len(b) <= maxUsageParse {
			l.plain = append(l.plain, b...)
		}
		return
	}
	before := l.scan.chunks
	l.scan.write(b)
	if l.scan.chunks/chargeEvery != before/chargeEvery {
		l.pool.progress(l.work, l.cost())
	}
}

// cost is the cost reached so far.
func (l *relay) cost() float64 {
	u := share.Usage{Time: (l.router.now() - l.began).Seconds()}
	if l.call.engine {
		u = l.usage()
	}
	return share.DefaultWeights.Cost(u)
}

// usage is what the engine says, or else a guess from what passed through.
func (l *relay) usage() share.Usage {
	guess := share.Usage{Input: len(l.call.body) / bytesPerToken}
	if l.scan != nil {
		guess.Output = l.scan.chunks
		if l.scan.usage != nil {
			return l.scan.usage.share()
		}
		return guess
	}
	if u := parseUsage(l.plain); u != nil {
		return u.share()
	}
	guess.Output = int(l.out) / bytesPerToken
	return guess
}

// bytesPerToken is the usual length of a token in text.
const bytesPerToken = 4

// cutShort reports whether an answer that ended without an error is not
// whole: a stream without its end mark.
func (l *relay) cutShort() bool {
	return l.scan != nil && l.call.engine && l.answer.Status == http.StatusOK && !l.scan.done
}

// breakOff makes a broken answer visible: a stream gets an error event, any
// other answer loses its connection before its declared end.
func (l *relay) breakOff(w http.ResponseWriter, f Failure) {
	if l.scan != nil {
		_, _ = w.Write(append(l.scan.closeLine(), f.event()...))
		_ = http.NewResponseController(w).Flush()
		return
	}
	l.call.abort = true
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// hopByHop are the headers that concern one connection only (RFC 9110).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}
