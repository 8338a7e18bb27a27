// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
)

// This file defines Refusal, every answer that is the gateway's own, and the
// table of its causes.

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

// ownAnswer is how a gateway answers for one cause.
type ownAnswer struct {
	status int
	// notRun promises that the request has not run and never will; only then the
	// answer carries Retry-After.
	notRun bool
	// closes ends the caller's connection with the answer: it comes back on
	// another one, and many kept ones would use up descriptors.
	closes bool
}

// causes are the answers of all causes, with the reason and when to come back.
var causes = map[Cause]ownAnswer{
	NoDocument:        {http.StatusServiceUnavailable, true, true},            // nothing is configured yet; retry.Later
	Stopping:          {http.StatusServiceUnavailable, true, true},            // it may not end within the grace; retry.Soon
	ProcessorOverload: {http.StatusServiceUnavailable, true, true},            // the gateway is late; retry.AfterOverload
	Overloaded:        {http.StatusServiceUnavailable, true, false},           // no room at servers, retry.After; or for the body, retry.Soon
	BeyondShare:       {http.StatusTooManyRequests, true, false},              // no room beyond the account's share; retry.After
	NoServer:          {http.StatusServiceUnavailable, true, true},            // none is known or could be reached; retry.After
	NoBudget:          {http.StatusServiceUnavailable, true, true},            // refused by a server, too many retries lately; retry.After
	NotRunThere:       {http.StatusServiceUnavailable, true, true},            // refused by every server that may be tried; retry.After
	MayHaveRun:        {http.StatusBadGateway, false, false},                  // an answer was lost, a second run is not allowed
	TimedOut:          {http.StatusGatewayTimeout, false, false},              // a server had it when the time was over
	NoRoute:           {http.StatusNotFound, false, false},                    // the caller's fault, as all below
	UnknownKey:        {http.StatusUnauthorized, false, false},                // of no account, and the route is not public
	HeaderTooLarge:    {http.StatusRequestHeaderFieldsTooLarge, false, false}, // over the document's limit
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, false, false},       // over the document's limit
	BodyBroken:        {http.StatusBadRequest, false, false},                  // it could not be read to its end
}

// endings are the causes for the policy's endings, but for retry.EndBroken and
// retry.EndHeld, which are no answers of the gateway's own.
var endings = map[retry.Ending]Cause{
	retry.EndTimedOut: TimedOut, retry.EndMayHaveRun: MayHaveRun, retry.EndNoBudget: NoBudget, retry.EndRefused: NotRunThere,
	retry.EndNoServer: NoServer, retry.EndBeyondShare: BeyondShare, retry.EndOverloaded: Overloaded,
}

// Refusal is an answer that the gateway gives by itself.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration // when to come back; 0 is unknown
}

// Error names the cause.
func (r Refusal) Error() string { return "gateway refused the request: " + string(r.Cause) }

// Status returns the HTTP status.
func (r Refusal) Status() int { return causes[r.Cause].status }

// write answers the request. Nothing of an answer may have been written.
func (r Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", fmt.Sprintf("%.3f", r.RetryAfter.Seconds()))
	}
	if causes[r.Cause].closes {
		h.Set("Connection", "close")
	}
	w.WriteHeader(r.Status())
	// An error means that the caller has gone, and there is nobody to answer.
	_, _ = fmt.Fprintf(w, "{\"error\":%q}\n", r.Cause)
}
