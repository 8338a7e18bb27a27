// SPDX-License-Identifier: Apache-2.0

package router

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/share"
)

// This file tests what the router reads from the answers and headers that it relays.

const stream = "data: {\"choices\":[1]}\n\n: comment\n\ndata: {\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":4," +
	"\"prompt_tokens_details\":{\"cached_tokens\":5}}}\r\n\r\ndata: [DONE]\n\n"

// TestStreamScanIsIndependentOfChunking checks that the result is the same however the stream is
// split into writes.
func TestStreamScanIsIndependentOfChunking(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= len(stream); size++ {
		var s streamScan
		for b := []byte(stream); len(b) > 0; {
			n := min(size, len(b))
			s.write(b[:n])
			b = b[n:]
		}
		is.Equal(s.chunks, 2)
		is.True(s.done)
		is.Equal(s.usage.normalized(), share.Usage{Input: 4, Cached: 5, Output: 4})
	}
}

// TestStreamScanBoundsMemoryOfLongLines checks that a line that never ends takes bounded memory, and that
// later lines are scanned.
func TestStreamScanBoundsMemoryOfLongLines(t *testing.T) {
	is := is.New(t)
	var s streamScan
	for range 1000 {
		s.write(bytes.Repeat([]byte("x"), 1000))
	}
	is.True(len(s.partialLine) <= maxLine)
	s.write([]byte("\ndata: [DONE]\n"))
	is.True(s.done) // the next line is scanned
}

// TestInvalidUsageIsCorrectedOrIgnored checks that invalid usage from an engine is corrected or ignored.
func TestInvalidUsageIsCorrectedOrIgnored(t *testing.T) {
	is := is.New(t)
	is.Equal(usage{PromptTokens: -5, CompletionTokens: -1}.normalized(), share.Usage{})
	var u usage
	u.PromptTokens, u.Details.CachedTokens = 3, 99
	is.Equal(u.normalized(), share.Usage{Cached: 3})
	is.True(parseUsage([]byte("<html>")) == nil)
	is.True(parseUsage([]byte(`{"usage":null}`)) == nil)
}

func FuzzStreamScan(f *testing.F) {
	f.Add([]byte(stream), 7)
	f.Add([]byte("data: [DONE]"), 1)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		size = max(size%64, 1)
		var whole, pieces streamScan
		whole.write(b)
		for rest := b; len(rest) > 0; {
			n := min(size, len(rest))
			pieces.write(rest[:n])
			rest = rest[n:]
		}
		if whole.chunks != pieces.chunks || whole.done != pieces.done {
			t.Fatalf("%d chunks, done %t in one write; %d chunks, done %t in writes of %d bytes", whole.chunks, whole.done, pieces.chunks, pieces.done, size)
		}
		if whole.chunks > bytes.Count(b, []byte("data:")) {
			t.Fatalf("%d chunks, more than data: fields in the input", whole.chunks)
		}
	})
}

func FuzzUsage(f *testing.F) {
	f.Add([]byte(`{"usage":{"prompt_tokens":1}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if u := parseUsage(b); u != nil {
			s := u.normalized()
			if s.Input < 0 || s.Cached < 0 || s.Output < 0 {
				t.Fatalf("negative usage: %+v", s)
			}
		}
	})
}

// TestServiceHeadersAreFiltered checks which headers are not forwarded to a plain service.
func TestServiceHeadersAreFiltered(t *testing.T) {
	is := is.New(t)
	from := map[string][]string{
		"Authorization": {"Bearer secret"}, "Cookie": {"c"}, "X-Api-Key": {"k"}, "Badgerspoke-Class": {"batch"},
		"Connection": {"close"}, "Content-Type": {"text/plain"}, "X-Trace": {"1"},
	}
	to := map[string][]string{}
	copyServiceHeader(to, from)
	is.Equal(len(to), 2)
	is.Equal(strings.Join(to["Content-Type"], ""), "text/plain")
}

// TestStreamEndingInsideAnEvent checks which ends of a stream are inside an event.
func TestStreamEndingInsideAnEvent(t *testing.T) {
	for text, inside := range map[string]bool{
		"": false, "data: a\n\n": false, "data: a\r\n\r\n": false, "data: a\n\n: comment\n\n": false,
		"data: a\n": true, "data: a": true, "data: a\r\n": true, "data: a\n\nid": true, strings.Repeat("x", 2*maxLine): true,
	} {
		var s streamScan
		s.write([]byte(text))
		is.New(t).Equal(s.insideEvent(), inside)
	}
}
