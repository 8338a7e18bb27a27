// SPDX-License-Identifier: Apache-2.0

package gateway

import "bytes"

// This file defines eventBuffer, the part of a stream that waits until its events are whole.

// maxEvent bounds an eventBuffer, in bytes.
const maxEvent = 1 << 20

// separators are the empty lines that end an event; lines end with LF or CRLF.
var separators = []string{"\n\n", "\n\r\n"}

// maxSeparator is the length of the longest separator in bytes.
const maxSeparator = 3

// eventBuffer holds bytes of a stream that have not been passed on. Each byte is searched once, since an event may come in
// many small pieces.
type eventBuffer struct {
	bytes []byte
	whole int // length of the whole events at the beginning
	taken int // capacity for which memory was taken
}

// add appends bytes and returns the events that they complete, empty if there is none.
func (b *eventBuffer) add(chunk []byte) (completed []byte) {
	begin := b.whole
	from := max(begin, len(b.bytes)-maxSeparator+1) // the separator may have begun before
	b.bytes = append(b.bytes, chunk...)
	if end := endOfEvents(b.bytes[from:]); end > 0 {
		b.whole = from + end
	}
	return b.bytes[begin:b.whole]
}

// wholeEvents returns the whole events.
func (b *eventBuffer) wholeEvents() []byte { return b.bytes[:b.whole] }

// removeWhole removes the whole events.
func (b *eventBuffer) removeWhole() {
	b.bytes = append(b.bytes[:0], b.bytes[b.whole:]...)
	b.whole = 0
}

// reset makes the buffer empty.
func (b *eventBuffer) reset() { b.bytes, b.whole = b.bytes[:0], 0 }

// isEmpty reports whether no byte waits.
func (b *eventBuffer) isEmpty() bool { return len(b.bytes) == 0 }

// checkSize takes memory for what waits. It returns errTooLarge if that is more than one event may have, and errNoMemory if
// there is no memory for it.
func (b *eventBuffer) checkSize(m *answerMemory) error {
	size := cap(b.bytes)
	switch {
	case len(b.bytes) > maxEvent:
		return errTooLarge
	case size > b.taken && !m.grow(b.taken, size):
		return errNoMemory
	}
	b.taken = max(b.taken, size)
	return nil
}

// endOfEvents returns the length of the whole events at the beginning of b.
func endOfEvents(b []byte) int {
	end := 0
	for _, separator := range separators {
		if at := bytes.LastIndex(b, []byte(separator)); at >= 0 {
			end = max(end, at+len(separator))
		}
	}
	return end
}
