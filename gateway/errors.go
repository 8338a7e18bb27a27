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

// The causes. After a dash: when the caller should come back.
const (
	NoDocument        Cause = "no-document"        // nothing is configured yet - retry.Later
	NoRoute           Cause = "no-route"           // none has the host and path
	UnknownKey        Cause = "unknown-key"        // of no account, and the route is not public
	HeaderTooLarge    Cause = "header-too-large"   // over the document's limit
	BodyTooLarge      Cause = "body-too-large"     // over the document's limit
	BodyBroken        Cause = "body-broken"        // it could not be read to its end
	Stopping          Cause = "stopping"           // it may not end within the grace - retry.Soon
	ProcessorOverload Cause = "processor-pressure" // the gateway is late - retry.AfterOverload
	Overloaded        Cause = "overloaded"         // no room at servers - retry.After; or for its body - retry.Soon
	BeyondShare       Cause = "beyond-share"       // no room beyond the account's share - retry.After
	NoServer          Cause = "no-backend"         // none is known or could be reached - retry.After
	NoBudget          Cause = "no-retry-budget"    // refused by a server, too many retries lately - retry.After
	RefusedByBackends       Cause = "refused-by-backend" // refused by every server that may be tried - retry.After
	MayHaveRun        Cause = "may-have-run"       // an answer was lost, a second run is not allowed
	TooLate           Cause = "too-late"           // no answer can come before its deadline
	HallsOut          Cause = "halls-out"          // all its servers are in halls out of service - retry.Later
	BackingOff        Cause = "backing-off"        // all its servers asked for backoff - retry.AfterBackoff
	// NoCommonHome: route and account have homes, and none in common - retry.Later.
	NoCommonHome Cause = "no-common-home"
	// HomesWithoutServer: no listed server of the pool is in its homes - retry.Later.
	HomesWithoutServer Cause = "homes-without-server"
	TimedOut           Cause = "timed-out" // a server had it when the time was over
	// Quarantined: servers end under it, again and again; it is never to come back.
	Quarantined Cause = "quarantined"
)

// errorResponse is how a gateway answers for one cause.
type errorResponse struct {
	status int
	// notRun promises that the request has not run and never will; only then the
	// answer carries Retry-After.
	notRun bool
	// closes ends the caller's connection with the answer: it comes back on
	// another one, and many kept ones would use up descriptors.
	closes bool
}

// responsesByCause are the answers of all responsesByCause: status, notRun, closes.
var responsesByCause = map[Cause]errorResponse{
	NoDocument:        {http.StatusServiceUnavailable, true, true},
	Stopping:          {http.StatusServiceUnavailable, true, true},
	ProcessorOverload: {http.StatusServiceUnavailable, true, true},
	Overloaded:        {http.StatusServiceUnavailable, true, false},
	BeyondShare:       {http.StatusTooManyRequests, true, false},
	NoServer:          {http.StatusServiceUnavailable, true, true},
	NoBudget:          {http.StatusServiceUnavailable, true, true},
	RefusedByBackends:       {http.StatusServiceUnavailable, true, true},
	HallsOut:          {http.StatusServiceUnavailable, true, false},
	BackingOff:        {http.StatusServiceUnavailable, true, true}, // another gateway's servers may take it
	TooLate:           {http.StatusServiceUnavailable, true, false},
	// Not 403: the caller may have what it asks for, the fleet cannot give it. 503 promises that
	// it has not run, and the next document or server may mend it.
	NoCommonHome:       {http.StatusServiceUnavailable, true, false},
	HomesWithoutServer: {http.StatusServiceUnavailable, true, false},
	MayHaveRun:         {http.StatusBadGateway, false, false},
	TimedOut:           {http.StatusGatewayTimeout, false, false},
	NoRoute:            {http.StatusNotFound, false, false},
	UnknownKey:         {http.StatusUnauthorized, false, false},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, false, false},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, false, false},
	BodyBroken:         {http.StatusBadRequest, false, false},
	// Not 503, after which callers come back: there is no time at which it would be served.
	Quarantined: {http.StatusBadRequest, false, false},
}

// causesByEnding are the causes for the policy's causesByEnding, but for retry.EndBroken and
// retry.EndHeld, which are no answers of the gateway's own.
var causesByEnding = map[retry.Ending]Cause{
	retry.EndTimedOut: TimedOut, retry.EndMayHaveRun: MayHaveRun, retry.EndNoBudget: NoBudget, retry.EndRefused: RefusedByBackends,
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
func (r Refusal) Status() int { return responsesByCause[r.Cause].status }

// write answers the request. Nothing of an answer may have been written.
func (r Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", fmt.Sprintf("%.3f", r.RetryAfter.Seconds()))
	}
	if responsesByCause[r.Cause].closes {
		h.Set("Connection", "close")
	}
	w.WriteHeader(r.Status())
	// It fails if the caller has gone; then the answer is lost anyway.
	_, _ = fmt.Fprintf(w, "{\"error\":%q}\n", r.Cause)
}
