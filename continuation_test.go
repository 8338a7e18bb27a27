// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
)

// This file tests that a router passes on, after a broken part of an answer, only the rest of that answer.

// rest is what a server returns for the rest of its answer, from a byte offset.
type rest struct {
	status int
	header map[string]string
	body   string
}

// partial returns the rest of a text as a 206 response with a Content-Range.
func partial(contentRange, body string) rest {
	return rest{http.StatusPartialContent, map[string]string{"Content-Range": contentRange}, body}
}

// resumableService is a plain service that breaks its answer off and then returns the given rests in turn.
type resumableService struct {
	text        string
	statesEnd   bool // the broken answer has a length
	contentType string
	rests       []rest
	asked       int // rests requested
	discarded   int // requests to discard the rest
	// afterBreak, if set, is called when the service breaks its answer off.
	afterBreak func()
}

// brokenAt is the number of bytes after which the service breaks its answer off.
const brokenAt = 500

// ServeHTTP implements [http.Handler].
func (s *resumableService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodDelete:
		s.discarded++
		return
	case r.Header.Get("Range") != "":
		s.asked++
		s.serveRest(w)
		return
	}
	w.Header().Set("Badgerspoke-Resume", "/rest")
	w.Header().Set("Content-Type", s.contentType)
	if s.statesEnd {
		w.Header().Set("Content-Length", strconv.Itoa(len(s.text)))
	}
	_, _ = w.Write([]byte(s.text[:brokenAt])) // fails only if the router has left
	_ = http.NewResponseController(w).Flush()
	if s.afterBreak != nil {
		s.afterBreak()
	}
	panic(http.ErrAbortHandler)
}

func (s *resumableService) serveRest(w http.ResponseWriter) {
	if len(s.rests) == 0 {
		w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
		return
	}
	next := s.rests[0]
	s.rests = s.rests[1:]
	w.Header().Set("Content-Type", s.contentType)
	for name, value := range next.header {
		w.Header().Set(name, value)
	}
	w.WriteHeader(next.status)
	_, _ = w.Write([]byte(next.body)) // as above
}

// requestFrom sends an order twice under one key to a router in front of the service.
func (s *resumableService) requestFrom(t *testing.T) (first, again response) {
	f := newFleet(t, 1, 1)
	f.createAccount("hotel", 1)
	const address = "10.0.4.1:9000"
	f.serveStandIn(address, s)
	f.addServer(&operatorv1.Server{
		Name: "s1", Pool: "stock", Address: address, Kind: operatorv1.Kind_KIND_SERVICE, Slots: 4, Mark: operatorv1.Mark_MARK_SERVING,
	})
	f.settle()
	first = f.do(order("r1", "hotel", "sheets", "k1"))
	return first, f.do(order("r1", "hotel", "sheets", "k1"))
}

// TestOnlyTheRestContinuesAnAnswer guards against bytes that are not the rest of a broken answer, and against a part
// of the rest that is taken for all of it and recorded under the request's key.
func TestOnlyTheRestContinuesAnAnswer(t *testing.T) {
	text := strings.Repeat("0123456789", 80)
	from := func(i int) string { return text[i:] }
	fromRange := func(first, last, total any) string { return fmt.Sprintf("bytes %v-%v/%v", first, last, total) }
	for _, tt := range []struct {
		name  string
		rests []rest
		whole bool
	}{
		{"the rest", []rest{partial(fromRange(500, 799, 800), from(500))}, true},
		{"the rest, its end not stated", []rest{partial(fromRange(500, "*", "*"), from(500))}, true},
		{"the rest in two parts", []rest{partial(fromRange(500, 599, 800), text[500:600]), partial(fromRange(600, 799, 800), from(600))}, true},
		{"a part of the rest", []rest{partial(fromRange(500, 599, 800), text[500:600])}, false},
		{"fewer bytes than stated", []rest{partial(fromRange(500, 799, 800), text[500:600])}, false},
		{"more bytes than stated", []rest{partial(fromRange(500, 799, 800), from(500)+"and more")}, false},
		{"more bytes than the total", []rest{partial(fromRange(500, "*", 800), from(500)+"and more")}, false},
		{"bytes behind the total", []rest{partial(fromRange(500, 809, 800), from(500)+"0123456789")}, false},
		{"another start", []rest{partial(fromRange(400, 799, 800), from(400))}, false},
		{"no range", []rest{{http.StatusPartialContent, nil, from(500)}}, false},
		{"malformed range", []rest{partial("bytes 500-799-800", from(500))}, false},
		{"another type", []rest{{http.StatusPartialContent, map[string]string{
			"Content-Range": fromRange(500, 799, 800), "Content-Type": "text/html"}, from(500)}}, false},
		{"another encoding", []rest{{http.StatusPartialContent, map[string]string{
			"Content-Range": fromRange(500, 799, 800), "Content-Encoding": "gzip"}, from(500)}}, false},
		{"the whole", []rest{{http.StatusOK, nil, text}}, false},
		{"a failure", []rest{{http.StatusInternalServerError, map[string]string{"Content-Range": fromRange(500, 799, 800)}, from(500)}}, false},
	} {
		for _, statesEnd := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, length %t", tt.name, statesEnd), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					is := is.New(t)
					s := &resumableService{text: text, statesEnd: statesEnd, contentType: "text/plain", rests: tt.rests}
					got, again := s.requestFrom(t)
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.err == nil, tt.whole)
					is.True(strings.HasPrefix(text, got.body))
					is.Equal(got.body == text && got.err == nil, tt.whole)
					is.True(s.asked > 0)
					if tt.whole {
						is.Equal(again.body, text)
						return
					}
					is.Equal(again.status, http.StatusConflict)
					is.Equal(again.outcome, "unknown")
				})
			})
		}
	}
}

// TestTotalOfRestMatchesLength guards against the rest of another version of an answer whose length was stated.
func TestTotalOfRestMatchesLength(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		text := strings.Repeat("0123456789", 80)
		s := &resumableService{text: text, statesEnd: true, contentType: "text/plain", rests: []rest{partial("bytes 500-599/600", text[500:600])}}
		got, again := s.requestFrom(t)
		is.True(got.err != nil)
		is.Equal(got.body, text[:brokenAt])
		is.Equal(again.outcome, "unknown")
	})
}
