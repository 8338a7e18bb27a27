// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
)

// This file defines HeaderCodec, which translates between the heads of requests and
// answers and what the gateway needs of them.

// RequestHead is what the head of a caller's request holds.
type RequestHead struct {
	ID          string
	Key         string        // of the account
	Timeout     time.Duration // how long the caller waits; 0 is unknown
	Prompt      place.Prompt
	LastEventID string // the last event that the caller has of a broken stream
}

// Forwarding is what the gateway adds to a request for a backend server.
type Forwarding struct {
	Timeout     time.Duration // until the caller gives up
	Server      string        // the identifier expected at the address
	Account     string        // empty without accounts
	LastEventID string        // the last event passed on, when a stream is taken up again
}

// AnswerHead is what the head of an answer holds.
type AnswerHead struct {
	ID          string // of the request that it answers
	Misdirected bool   // another backend server has the address
	Signed      bool   // the answer carries the backend server's signature
	// Backoff is for how long the backend server wants nothing more from this gateway, as it says when
	// it turns a request away; 0: it does not say. It may be absurdly long.
	Backoff time.Duration
	Leaving bool // the backend server is about to stop, and wants no more requests
}

// HeaderCodec translates heads. Its methods are safe for concurrent use.
type HeaderCodec interface {
	DecodeRequest(r *http.Request) RequestHead
	// ForwardHeader returns the header for a backend server. It does not change from.
	ForwardHeader(from http.Header, f Forwarding) http.Header
	DecodeAnswer(status int, h http.Header) AnswerHead
	// AnswerHeader returns the header for the caller of an answer.
	AnswerHeader(from http.Header) http.Header
}
