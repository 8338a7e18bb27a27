// SPDX-License-Identifier: Apache-2.0

package router

import (
	"bytes"
	"encoding/json"

	"github.com/badgerspoke/badgerspoke/coordination/share"
)

// This file defines how usage is read from an engine's answer while it is relayed.

// usage is the protocol's usage object.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// normalized returns the usage as it is charged to the account. Invalid numbers from an engine are
// corrected: none is negative, and no more tokens are cached than prompted.
func (u usage) normalized() share.Usage {
	prompt := max(u.PromptTokens, 0)
	cached := min(max(u.Details.CachedTokens, 0), prompt)
	return share.Usage{Input: prompt - cached, Cached: cached, Output: max(u.CompletionTokens, 0)}
}

// parseUsage returns the usage in a whole JSON answer or event, or nil.
func parseUsage(b []byte) *usage {
	var v struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(b, &v) != nil {
		return nil
	}
	return v.Usage
}

// maxLine bounds the memory for an incomplete line of a stream, in bytes. Longer lines are relayed
// but not counted.
const maxLine = 64 << 10

// streamScan scans a stream of server-sent events while it is relayed.
type streamScan struct {
	partialLine []byte // the incomplete last line
	lineTooLong bool   // the incomplete line exceeds maxLine
	chunks      int    // data lines, except the end mark
	usage       *usage // last usage seen
	done        bool   // the end mark was seen
	inEvent     bool   // the last complete line was not empty
}

var (
	dataPrefix = []byte("data:")
	endMark    = []byte("[DONE]")
	usageField = []byte(`"usage"`)
)

// write scans the next bytes of the stream.
func (s *streamScan) write(b []byte) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.appendToLine(b)
			return
		}
		s.appendToLine(b[:i])
		if !s.lineTooLong {
			s.scanLine(s.partialLine)
		}
		s.inEvent = s.lineTooLong || len(bytes.TrimSuffix(s.partialLine, []byte("\r"))) > 0
		s.partialLine, s.lineTooLong = s.partialLine[:0], false
		b = b[i+1:]
	}
}

// appendToLine adds bytes to the incomplete line, unless it gets too long.
func (s *streamScan) appendToLine(b []byte) {
	if len(s.partialLine)+len(b) > maxLine {
		s.lineTooLong = true
		return
	}
	s.partialLine = append(s.partialLine, b...)
}

// scanLine evaluates a complete line.
func (s *streamScan) scanLine(line []byte) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, endMark) {
		s.done = true
		return
	}
	s.chunks++
	if bytes.Contains(data, usageField) {
		if u := parseUsage(data); u != nil {
			s.usage = u
		}
	}
}

// insideEvent reports whether the stream so far ends inside an event.
func (s *streamScan) insideEvent() bool { return s.inEvent || s.lineTooLong || len(s.partialLine) > 0 }

// lineTerminator returns the bytes that end an incomplete line and event, so that an event can be
// appended.
func (s *streamScan) lineTerminator() []byte {
	if len(s.partialLine) > 0 || s.lineTooLong {
		return []byte("\n\n")
	}
	return []byte("\n")
}
