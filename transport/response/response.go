// SPDX-License-Identifier: Apache-2.0

// Package response writes the response to one caller of a router or a gateway.
//
// A [Writer] writes at most one head. Its Begin returns the [Body], which is the only way to write anything else, so
// that no part of another answer can get into a response that has begun. A second head is refused with a [SecondHead].
// It is a fault of the program, and is also passed to the function given to [New], for logs and metrics.
//
// A Writer and its Body are used by the goroutine that serves the request.
package response

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Writer writes the response to one request.
type Writer struct {
	w          http.ResponseWriter
	secondHead func(SecondHead)
	status     int // of the head; zero before it
}

// SecondHead is the error of a head that would follow another one.
type SecondHead struct{ First, Second int } // statuses

// Error implements error.
func (e SecondHead) Error() string {
	return fmt.Sprintf("head with status %d after one with status %d", e.Second, e.First)
}

// New returns a writer that responds through w, and calls secondHead for each head that it refuses.
func New(w http.ResponseWriter, secondHead func(SecondHead)) *Writer {
	return &Writer{w: w, secondHead: secondHead}
}

// Status returns the status of the head, zero before it.
func (w *Writer) Status() int { return w.status }

// Begun reports whether the head has been written.
func (w *Writer) Begun() bool { return w.status != 0 }

// Begin writes the head and returns the body. setHeader sets the header; it is not called for a second head, of
// which nothing is written. The error is a [SecondHead].
func (w *Writer) Begin(status int, setHeader func(h http.Header)) (*Body, error) {
	if w.Begun() {
		err := SecondHead{First: w.status, Second: status}
		w.secondHead(err)
		return nil, err
	}
	w.status = status
	setHeader(w.w.Header())
	w.w.WriteHeader(status)
	return &Body{w: w.w, controller: http.NewResponseController(w.w)}, nil
}

// CloseConnection closes the caller's connection after the response. It has no effect once the head has been written.
func (w *Writer) CloseConnection() {
	if !w.Begun() {
		w.w.Header().Set("Connection", "close")
	}
}

// SetReadDeadline sets the deadline for reading the request's body; the zero time means none. It fails for a
// connection that is closed or does not support deadlines.
func (w *Writer) SetReadDeadline(t time.Time) error {
	return http.NewResponseController(w.w).SetReadDeadline(t)
}

// LimitBody returns the request's body, of which at most n bytes can be read ([http.MaxBytesReader]).
func (w *Writer) LimitBody(body io.ReadCloser, n int64) io.ReadCloser {
	return http.MaxBytesReader(w.w, body, n)
}

// Body is the body of a response that has begun. After a failure, which means that the caller has left or has stopped
// reading, nothing more is written, because the caller may have received a part of what failed.
type Body struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	err        error // first failure
}

// Write implements [io.Writer].
func (b *Body) Write(p []byte) (n int, err error) {
	if b.err == nil {
		n, b.err = b.w.Write(p)
	}
	return n, b.err
}

// Flush sends what has been written.
func (b *Body) Flush() error {
	if b.err == nil {
		b.err = b.controller.Flush()
	}
	return b.err
}

// Err returns the first failure of Write or Flush.
func (b *Body) Err() error { return b.err }

// SetWriteDeadline sets the deadline for the caller to accept what is written. It fails for a connection that is
// closed or does not support deadlines.
func (b *Body) SetWriteDeadline(t time.Time) error { return b.controller.SetWriteDeadline(t) }
