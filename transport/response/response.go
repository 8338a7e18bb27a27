// SPDX-License-Identifier: Apache-2.0

// Package response writes the response to one caller of a router or a gateway.
//
// A [Writer] writes at most one head. Its Begin returns the [Body], which is the only way to write anything else, so
// that no part of another answer can get into a response that has begun. A second head is refused with a [SecondHead].
// It is a fault of the program, and is also passed to the function given to [New], for logs and metrics.
//
// A body that has neither a length nor chunks ends with its connection, and the kernel closes the connections of a
// process that dies in order. Therefore the connection of such a response is set to be reset from its head on. Only
// [Body.End] sets it to be closed in order again, once the whole body has been sent: a handler that returns or panics
// without it, and a process that dies, leave a reset. A handler whose callers may use TLS also calls [Writer.Close].
//
// A Writer and its Body are used by the goroutine that serves the request.
package response

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// Writer writes the response to one request.
type Writer struct {
	w          http.ResponseWriter
	r          *http.Request
	secondHead func(SecondHead)
	status     int   // of the head; zero before it
	body       *Body // nil before the head
}

// SecondHead is the error of a head that would follow another one.
type SecondHead struct{ First, Second int } // statuses

// Error implements error.
func (e SecondHead) Error() string {
	return fmt.Sprintf("head with status %d after one with status %d", e.Second, e.First)
}

// New returns a writer that responds to r through w, and calls secondHead for each head that it refuses.
func New(w http.ResponseWriter, r *http.Request, secondHead func(SecondHead)) *Writer {
	return &Writer{w: w, r: r, secondHead: secondHead}
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
	b := &Body{w: w.w, controller: http.NewResponseController(w.w)}
	w.body = b
	if w.endsWithConnection() {
		b.conn = w.r.Context()
		// It fails only on a connection that is closed already.
		_ = socket.ResetConn(b.conn)
	}
	w.w.WriteHeader(status)
	return b, nil
}

// endsWithConnection reports whether only the end of the connection will end the body.
func (w *Writer) endsWithConnection() bool {
	h := w.w.Header()
	switch {
	case w.r.ProtoAtLeast(2, 0), !w.mayHaveBody(w.status):
		return false
	case h.Get("Transfer-Encoding") == unframed:
		return true
	}
	return !w.r.ProtoAtLeast(1, 1) && h.Get("Content-Length") == ""
}

// mayHaveBody reports whether a response with a status has a body (RFC 9112, section 6.3).
func (w *Writer) mayHaveBody(status int) bool {
	return w.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// Respond writes a whole response. setHeader is as for Begin. The error is a [SecondHead].
func (w *Writer) Respond(status int, body []byte, setHeader func(h http.Header)) error {
	b, err := w.Begin(status, func(h http.Header) {
		setHeader(h)
		if w.mayHaveBody(status) {
			h.Set("Content-Length", strconv.Itoa(len(body)))
		}
	})
	if err != nil {
		return err
	}
	_, _ = b.Write(body) // fails only for a caller that has left
	return nil
}

// unframed is a Transfer-Encoding that net/http does not send. It makes net/http end the body with the connection.
const unframed = "identity"

// Unframe makes a response with this header end with its connection: it gets neither a length nor chunks.
func Unframe(h http.Header) {
	h.Del("Content-Length")
	h.Set("Transfer-Encoding", unframed)
}

// Close closes the connection of a response that should have ended with it but has not ended. Without it, net/http
// lets a TLS connection state an orderly end before the reset.
func (w *Writer) Close() {
	if b := w.body; b != nil && b.conn != nil && !b.ended {
		_ = socket.AbortConn(b.conn) // fails only on a connection that is closed already
	}
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
	conn       context.Context // holds the connection that ends the body; nil if the body states its end
	ended      bool
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

// End ends the body: what has been written is the whole of it. The error is that of sending it.
func (b *Body) End() error {
	if b.conn == nil {
		return b.err // net/http sends the end when the handler returns
	}
	if err := b.Flush(); err != nil {
		return err
	}
	b.ended = true
	return socket.CloseConnInOrder(b.conn)
}

// Err returns the first failure of Write or Flush.
func (b *Body) Err() error { return b.err }

// SetWriteDeadline sets the deadline for the caller to accept what is written. It fails for a connection that is
// closed or does not support deadlines.
func (b *Body) SetWriteDeadline(t time.Time) error { return b.controller.SetWriteDeadline(t) }
