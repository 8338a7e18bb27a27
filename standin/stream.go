// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/badgerspoke/badgerspoke/internal/sleep"
)

// This file defines streams that outlive their connection: a resumable engine continues to generate
// after the connection breaks and serves the rest from any byte offset. Streams are kept for the
// lifetime of the engine.

// resumeHeader is the response header with the path of a stream. GET with a Range from the first
// missing byte resumes the stream; DELETE cancels it.
const resumeHeader = "Badgerspoke-Resume"

const streamsPath = "/standin/streams/"

// streams holds the streams of an engine by path, complete or still being generated.
type streams struct {
	mu     sync.Mutex
	lastID int
	byPath map[string]*resumableStream
}

// resumableStream is the response to one request, complete or still being generated.
type resumableStream struct {
	cancel context.CancelFunc

	mu       sync.Mutex
	data     []byte
	complete bool
	changed  chan struct{} // closed and replaced on every change
}

// add adds a stream and returns its path.
func (s *streams) add(l *resumableStream) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPath == nil {
		s.byPath = map[string]*resumableStream{}
	}
	s.lastID++
	path := streamsPath + strconv.Itoa(s.lastID)
	s.byPath[path] = l
	return path
}

func (s *streams) find(path string) *resumableStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPath[path]
}

// serve resumes or cancels a stream.
func (s *streams) serve(w http.ResponseWriter, r *http.Request) {
	l := s.find(r.URL.Path)
	if l == nil {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodDelete {
		l.cancel()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	from, err := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(r.Header.Get("Range"), "bytes="), "-"))
	if err != nil || from < 0 {
		http.Error(w, "want Range: bytes=N-", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-*/*", from))
	w.WriteHeader(http.StatusPartialContent)
	l.copy(r.Context(), w, from, "")
}

// update applies f under the lock and wakes all readers.
func (l *resumableStream) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

// copy sends the stream from a byte offset until it is complete. With AbortMidResponse it closes the
// connection after two events.
func (l *resumableStream) copy(ctx context.Context, w http.ResponseWriter, from int, failure Failure) {
	for sent := from; ; {
		l.mu.Lock()
		data, complete, changed := l.data, l.complete, l.changed
		l.mu.Unlock()
		if sent < len(data) {
			if _, err := w.Write(data[sent:]); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			sent = len(data)
		}
		if failure == AbortMidResponse && sent > 0 && strings.Count(string(data), "data: ") >= 2 {
			panic(http.ErrAbortHandler)
		}
		if complete {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// generate appends the events of a completion until it is complete or cancelled.
func (l *resumableStream) generate(ctx context.Context, c completion) {
	for i := range c.req.MaxTokens {
		if !sleep.For(ctx, c.cfg.TokenTime) {
			return
		}
		l.update(func() { l.data = append(l.data, c.event(i)...) })
	}
	l.update(func() { l.data = append(l.data, c.finalEvents()...); l.complete = true })
}
