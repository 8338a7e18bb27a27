// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests how the whole events of a stream are found.

// inPieces returns a text as the pieces of a stream.
func inPieces(text string, size int) (pieces []piece) {
	for len(text) > size {
		pieces = append(pieces, piece{text: text[:size]})
		text = text[size:]
	}
	return append(pieces, piece{text: text})
}

// TestLongEventInSmallPiecesTakesNoTime guards against a search that begins anew with each piece of an event, so that one
// event of the permitted size takes longer than its route allows.
func TestLongEventInSmallPiecesTakesNoTime(t *testing.T) {
	const timeout = 3 * time.Second // of the fixture's routes
	for _, tt := range []struct{ name, text string }{
		{"event", "id: 4\ndata: " + strings.Repeat("x", maxEvent-100) + "\n\n"},
		{"comments", strings.Repeat(":\n\n", (maxEvent-100)/3) + event(4)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			began := time.Now() // not in the bubble
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				x.announceInOrder([]behaviour{resuming(6, 3, errReset), streams(inPieces(tt.text, 100)...)})
				got := x.request("/resume/x")
				is.True(!got.cut)
				is.Equal(len(got.body), len(wholeStream(3))+len(tt.text))
			})
			if took := time.Since(began); took > timeout {
				t.Errorf("%d bytes took %v", len(tt.text), took)
			}
		})
	}
}

// TestEventsAreFoundInAnyPieces checks that the whole events of a text are the same whatever its pieces are.
func TestEventsAreFoundInAnyPieces(t *testing.T) {
	is := is.New(t)
	const whole = ":comment\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n:\r\n\r\ndata: c\n\n"
	const text = whole + "id: 3\ndata: d\n"
	for size := 1; size <= len(text); size++ {
		for _, remove := range []bool{false, true} {
			var b eventBuffer
			completed := ""
			for _, p := range inPieces(text, size) {
				completed += string(b.add([]byte(p.text)))
				if remove {
					b.removeWhole()
				}
			}
			is.Equal(completed, whole)
			is.Equal(string(b.bytes[b.whole:]), "id: 3\ndata: d\n")
		}
	}
}
