// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/place"
)

// This file defines Dialect: how requests and answers say what the gateway
// needs to know of them.

// Ask is what a caller's request says of itself.
type Ask struct {
	ID       string
	Key      string        // of the tenant
	Patience time.Duration // how long the caller waits; 0 is not said
	Prompt   place.Prompt
	After    string // the last event that the caller has of a broken stream
}

// Forwarding is what a request to a backend says besides what the caller sent.
type Forwarding struct {
	Left    time.Duration // until the caller gives up
	Backend string        // the identifier expected at the address
	Tenant  string        // empty without tenants
	After   string        // the last event passed on, when a stream is taken up again
}

// Verdict is what an answer's head says.
type Verdict struct {
	ID string // of the request that it answers
	// Misplaced says that another backend has the address.
	Misplaced bool
	// Sealed says that the answer carries the backend's mark.
	Sealed bool
}

// Dialect translates heads. Its methods are safe for concurrent use.
type Dialect interface {
	Read(r *http.Request) Ask
	// Forward returns the header for a backend. It does not change from.
	Forward(from http.Header, f Forwarding) http.Header
	Judge(status int, h http.Header) Verdict
	// Return returns the header for the caller of an answer.
	Return(from http.Header) http.Header
}
