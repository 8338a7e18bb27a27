// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"iter"
)

// This file defines position, the place that a stream of events has reached, and how the IDs of events are read.

// position is where a stream of events has got to. The zero value is the beginning of a stream.
type position struct {
	id       string // of the last event that has one
	number   uint64 // value of id
	isNumber bool   // id is a decimal number
	counted  bool   // an ID was one above the ID before it
	skipped  bool   // an ID was not one above the ID before it
	unplaced bool   // an event without an ID has followed, so that no server can tell where the stream goes on
}

// positionAt returns the position after the event with an ID, the beginning if it is empty.
func positionAt(id string) position {
	if id == "" {
		return position{}
	}
	return position{}.withEvent([]byte(id))
}

// withEvent returns the position after an event. An event without an ID has an empty one.
func (p position) withEvent(id []byte) position {
	if len(id) == 0 {
		p.unplaced = true
		return p
	}
	number, isNumber := parseDecimal(id)
	if p.id != "" {
		next := p.isNumber && isNumber && number == p.number+1
		p.counted, p.skipped = p.counted || next, p.skipped || !next
	}
	p.id, p.number, p.isNumber, p.unplaced = string(id), number, isNumber, false
	return p
}

// isFollowedBy reports whether the stream may go on with an event. IDs rise; those of a stream that has counted up
// so far may not leave out a number. IDs that are no numbers have no order.
func (p position) isFollowedBy(id []byte) bool {
	number, isNumber := parseDecimal(id)
	switch {
	case p.id == "":
		return true
	case len(id) == 0 || isNumber != p.isNumber:
		return false
	case !isNumber:
		return string(id) != p.id
	case p.counted && !p.skipped:
		return number == p.number+1
	}
	return number > p.number
}

// parseDecimal parses a decimal number without allocating.
func parseDecimal(b []byte) (n uint64, ok bool) {
	const maxDigits = 19 // all numbers of so many digits fit
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	for _, digit := range b {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		n = 10*n + uint64(digit-'0')
	}
	return n, true
}

// eventIDs yields the ID of each event in a text of whole events, empty for an event without one. A text of
// comments alone is no event.
func eventIDs(events []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		var id []byte
		inEvent := false
		for line := range bytes.Lines(events) {
			line = bytes.TrimRight(line, "\r\n")
			switch {
			case len(line) == 0 && inEvent:
				if !yield(id) {
					return
				}
				id, inEvent = nil, false
			case len(line) == 0 || line[0] == ':':
			default:
				inEvent = true
				if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
					id = bytes.TrimSpace(value)
				}
			}
		}
	}
}
