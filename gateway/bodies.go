// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
)

// This file defines how the bodies of requests are read within their part of the memory.

// bodyMemory is the memory for the bodies of all requests, which is taken before a body is read, or for all that is held
// of answers. It may be used by several goroutines.
type bodyMemory struct {
	limit int64 // bytes

	mu    sync.Mutex // leaf lock
	taken int64
}

const (
	// smallBodies is the part of the memory for bodies that large bodies must leave to others, as a divisor of the
	// limit, so that a few callers with large bodies do not keep all others out.
	smallBodies = 4
	// largeBody is the part of the limit from which a body is large, as a divisor.
	largeBody = 16
)

// take takes memory for a body that already has some, and reports whether there was enough. If not, the body has
// none any more: of several bodies that grow at the same time, those that are refused leave their memory to the others.
func (m *bodyMemory) take(has, more int64) bool {
	if m.takeMore(has, more) {
		return true
	}
	m.release(has)
	return false
}

// takeMore is take but for a body that keeps what it has if there was not enough.
func (m *bodyMemory) takeMore(has, more int64) bool {
	limit := m.limit
	if has+more > limit/largeBody {
		limit -= limit / smallBodies
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	after := m.taken + more
	// A body may be larger than the part for large bodies if it is the only one.
	if after <= limit || after == has+more && after <= m.limit {
		m.taken = after
		return true
	}
	return false
}

// release returns the memory of a body.
func (m *bodyMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taken -= n
}

// inUse returns the memory that bodies have taken, in bytes.
func (m *bodyMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.taken
}

// defaultMaxBodyBytes applies if the document sets no limit.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the body within the limits on one body and on all bodies together.
func (c *call) readBody() error {
	if c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		return nil
	}
	limit := c.routes.document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return Refusal{Cause: BodyTooLarge}
	}
	// Writers without deadline support are fine: the HTTP server's own timeouts still bound the
	// read.
	_ = c.response.SetReadDeadline(time.Now().Add(c.timeLeft()))
	defer func() { _ = c.response.SetReadDeadline(time.Time{}) }() // see above
	if c.r.ContentLength < 0 {
		return c.readChunkedBody(limit)
	}
	if !c.growBody(c.r.ContentLength) {
		return c.refuseForMemory()
	}
	if _, err := io.ReadFull(c.r.Body, c.body[:c.r.ContentLength]); err != nil {
		return Refusal{Cause: BodyBroken}
	}
	c.body = c.body[:c.r.ContentLength]
	return nil
}

// firstBodySize is the size of the buffer for a body of unknown length, in bytes. It doubles when it is full.
const firstBodySize = 4 << 10

// readChunkedBody reads a body of unknown length.
func (c *call) readChunkedBody(limit int64) error {
	for {
		size := min(max(2*int64(cap(c.body)), firstBodySize), limit+1)
		if len(c.body) == cap(c.body) && !c.growBody(size) {
			return c.refuseForMemory()
		}
		n, err := c.r.Body.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		switch {
		case int64(len(c.body)) > limit:
			return Refusal{Cause: BodyTooLarge}
		case err == io.EOF:
			return nil
		case err != nil:
			return Refusal{Cause: BodyBroken}
		}
	}
}

// growBody gives the body a buffer of another size, if there is memory for it beside the present one. If not, the body
// is dropped.
func (c *call) growBody(size int64) bool {
	if !c.g.bodies.take(c.bodyTaken, size) {
		c.body, c.bodyTaken = nil, 0
		return false
	}
	c.body = append(make([]byte, 0, size), c.body...)
	c.g.bodies.release(c.bodyTaken)
	c.bodyTaken = size
	return true
}

// refuseForMemory counts and returns the refusal of a body for which there is no memory.
func (c *call) refuseForMemory() error {
	c.countMissed(true)
	return Refusal{Cause: Overloaded, RetryAfter: retry.ShortDelay}
}
