// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
)

// This file defines HeaderCodec, which translates between the headers of a deployment and the
// fields that the gateway needs.

// RequestHead holds the fields decoded from a caller's request.
type RequestHead struct {
	ID          string
	Key         string        // API key of the account
	Timeout     time.Duration // how long the caller waits; 0 means unknown
	Prompt      place.Prompt
	LastEventID string // last event that the caller has received of a broken stream
	// Resumes is the ID of the request that brought the first event of the stream that this request
	// takes up; empty for a new stream.
	Resumes string
}

// Forwarding holds the fields that the gateway adds to a request for a backend server.
type Forwarding struct {
	Timeout     time.Duration // time until the caller gives up
	Server      string        // identifier of the backend server expected at the address
	Account     string        // empty without accounts
	LastEventID string        // last event passed on, when a broken stream is resumed
}

// AnswerHead holds the fields decoded from a backend server's answer.
type AnswerHead struct {
	ID          string // identifier of the request that it answers
	Misdirected bool   // another backend server now has the address
	Signed      bool   // the answer carries the backend server's signature
	// Backoff is how long the backend server asks this gateway to send nothing more, as stated in a
	// refusal; 0 if it does not say. It comes from the server unchecked and may be very long.
	Backoff time.Duration
	Leaving bool // the backend server is about to stop and accepts no more requests
}

// HeaderCodec translates headers. Its methods must be safe for concurrent use.
type HeaderCodec interface {
	DecodeRequest(r *http.Request) RequestHead
	// ForwardHeader returns the header of the request to a backend server. It does not modify from.
	ForwardHeader(from http.Header, f Forwarding) http.Header
	DecodeAnswer(status int, h http.Header) AnswerHead
	// AnswerHeader returns the header of the answer to the caller.
	AnswerHeader(from http.Header) http.Header
}
