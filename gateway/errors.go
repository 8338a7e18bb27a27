// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// This file defines Refusal, every answer that is the gateway's own.

// Cause names why a gateway answered by itself. It labels counters and logs.
type Cause string

// The causes.
const (
	NoDocument        Cause = "no-document"
	NoRoute           Cause = "no-route"
	UnknownKey        Cause = "unknown-key"
	HeaderTooLarge    Cause = "header-too-large"
	BodyTooLarge      Cause = "body-too-large"
	BodyBroken        Cause = "body-broken"
	Stopping          Cause = "stopping"
	ProcessorOverload Cause = "processor-pressure"
	Overloaded        Cause = "overloaded"
	BeyondShare       Cause = "beyond-share"
	NoServer          Cause = "no-backend"
	NoBudget          Cause = "no-retry-budget"
	NotRunThere       Cause = "refused-by-backend"
	MayHaveRun        Cause = "may-have-run"
	TimedOut          Cause = "timed-out"
)

// statuses of the causes. 429 and 503 promise that the request has not run
// and never will; 502 and 504 promise nothing.
var statuses = map[Cause]int{
	NoDocument: http.StatusServiceUnavailable, NoRoute: http.StatusNotFound, UnknownKey: http.StatusUnauthorized,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	ProcessorOverload: http.StatusServiceUnavailable, BodyTooLarge: http.StatusRequestEntityTooLarge, BodyBroken: http.StatusBadRequest,
	Stopping: http.StatusServiceUnavailable, Overloaded: http.StatusServiceUnavailable,
	BeyondShare: http.StatusTooManyRequests, NoServer: http.StatusServiceUnavailable,
	NoBudget: http.StatusServiceUnavailable, NotRunThere: http.StatusServiceUnavailable,
	MayHaveRun: http.StatusBadGateway, TimedOut: http.StatusGatewayTimeout,
}

// Refusal is an answer that the gateway gives by itself.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration // when to come back; 0 is not said
}

// Error names the cause.
func (r Refusal) Error() string { return "gateway refused the request: " + string(r.Cause) }

// Status returns the HTTP status.
func (r Refusal) Status() int { return statuses[r.Cause] }

// closes reports whether the caller's connection ends with the answer: it
// comes back on another one, and many kept ones would use up descriptors.
func (r Refusal) closes() bool {
	return r.Status() == http.StatusServiceUnavailable && r.Cause != Overloaded
}

// write answers the request. Nothing of an answer may have been written.
func (r Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", fmt.Sprintf("%.3f", r.RetryAfter.Seconds()))
	}
	if r.closes() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(r.Status())
	fmt.Fprintf(w, "{\"error\":%q}\n", r.Cause)
}
