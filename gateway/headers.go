// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
)

// This file defines HeaderCodec: how requests and answers say what the gateway
// needs to know of them.

// RequestHead is what a caller's request says of itself.
type RequestHead struct {
	ID          string
	Key         string        // of the account
	Timeout     time.Duration // how long the caller waits; 0 is not said
	Prompt      place.Prompt
	LastEventID string // the last event that the caller has of a broken stream
}

// Forwarding is what a request to a backend server says besides what the caller sent.
type Forwarding struct {
	Timeout     time.Duration // until the caller gives up
	Server      string        // the identifier expected at the address
	Account     string        // empty without accounts
	LastEventID string        // the last event passed on, when a stream is taken up again
}

// AnswerHead is what an answer's head says.
type AnswerHead struct {
	ID string // of the request that it answers
	// Misdirected says that another backend server has the address.
	Misdirected bool
	// Signed says that the answer carries the backend server's mark.
	Signed bool
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
