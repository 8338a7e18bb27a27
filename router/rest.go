// SPDX-License-Identifier: Apache-2.0

package router

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file defines which response of a backend server is the rest of an answer that broke.

// contentRange is the part of an answer that a response holds (RFC 9110, section 14.4). Bounds that it does not
// state are -1.
type contentRange struct {
	first, last, total int64
}

// parseContentRange parses "bytes FIRST-LAST/TOTAL". LAST and TOTAL may be missing or "*".
func parseContentRange(text string) (r contentRange, ok bool) {
	text, ok = strings.CutPrefix(text, "bytes ")
	first, text, dash := strings.Cut(text, "-")
	last, total, _ := strings.Cut(text, "/")
	firstOK, lastOK, totalOK := false, false, false
	r.first, firstOK = parseBound(first)
	r.last, lastOK = parseBound(last)
	r.total, totalOK = parseBound(total)
	return r, ok && dash && r.first >= 0 && firstOK && lastOK && totalOK
}

// parseBound parses a bound of a range. One that is not stated is -1.
func parseBound(text string) (n int64, ok bool) {
	if text == "" || text == "*" {
		return -1, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil && n >= 0
}

// length returns the length of the whole answer as far as the range tells, -1 if it does not.
func (r contentRange) length() int64 {
	if r.total < 0 && r.last >= 0 {
		return r.last + 1 // the rest was requested to its end
	}
	return r.total
}

// isRest reports whether a response is the rest of the answer, or a part of it that begins where the caller has
// received everything before. length is that of the whole answer, -1 if it is still unknown.
func (r *relay) isRest(a *forward.Response) (length int64, ok bool) {
	part, ok := parseContentRange(a.Header.Get("Content-Range"))
	if !ok || a.Status != http.StatusPartialContent || part.first != r.relayedBytes {
		return 0, false
	}
	length = part.length()
	switch {
	case r.length >= 0 && part.total >= 0 && part.total != r.length,
		r.length >= 0 && part.last >= r.length,
		length >= 0 && part.last >= length,
		part.last >= 0 && a.Length >= 0 && a.Length != part.last-part.first+1:
		return 0, false
	}
	return max(length, r.length), sameContent(r.answer.Header, a.Header)
}

// sameContent reports whether the rest of an answer has its encoding, and its type if it states one.
func sameContent(answer, rest http.Header) bool {
	contentType := rest.Get("Content-Type")
	return answer.Get("Content-Encoding") == rest.Get("Content-Encoding") &&
		(contentType == "" || contentType == answer.Get("Content-Type"))
}
