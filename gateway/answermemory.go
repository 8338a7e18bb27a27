// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"io"
	"sync"
)

// This file defines answerMemory, what one request holds of its servers' answers within their part of the memory. A
// faulty server may send bytes without end, and many answers that wait for their end at once need more memory than the
// bound on each of them shows.

// freeAnswerBytes is what an answer may hold without being counted: most events and plain answers are smaller.
const freeAnswerBytes = 16 << 10

// answerMemory is the memory that one request has taken from Gateway.answers. The call and its hedges share it.
type answerMemory struct {
	total *bodyMemory

	mu    sync.Mutex // acquired before bodyMemory.mu
	taken int64
	ended bool // the request is over
}

// grow takes memory for a buffer whose capacity has grown, and reports whether there was enough. If not, the buffer
// must not grow any more.
func (m *answerMemory) grow(from, to int) bool {
	more := int64(max(to, freeAnswerBytes) - max(from, freeAnswerBytes))
	if more == 0 || m.total.limit <= 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || !m.total.takeMore(m.taken, more) {
		return false
	}
	m.taken += more
	return true
}

// release returns all of it at the end of the request.
func (m *answerMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total.release(m.taken)
	m.taken, m.ended = 0, true
}

// readHeld reads an answer as far as it may be held, and reports whether that is the whole of it.
func (m *answerMemory) readHeld(body io.Reader) (b []byte, whole bool, err error) {
	for {
		if len(b) == cap(b) {
			size := min(max(2*cap(b), readSize), maxHeldAnswer)
			if size == cap(b) || !m.grow(cap(b), size) {
				return b, false, nil
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF:
			return b, true, nil
		case err != nil:
			return b, false, err
		}
	}
}
