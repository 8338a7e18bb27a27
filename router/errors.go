// SPDX-License-Identifier: Apache-2.0

package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file defines Failure, the form in which a request fails, and the tables of failures with
// status, outcome and Retry-After. They are in three groups by what the caller can do.

// Outcome says whether a request has run, as far as is known. The values appear in the header and
// body of answers.
type Outcome string

// The outcomes.
const (
	Ran        Outcome = "ran"
	NotRun     Outcome = "not-run" // it was never handed to a server, or the server refused it before starting
	UnknownRun Outcome = "unknown" // it may have run
)

// OutcomeHeader carries the outcome of every failure and of every replayed
// answer.
const OutcomeHeader = "Badgerspoke-Outcome"

// Failure is the reason why a request has no answer from a backend server. It is immutable: With
// and WithOutcome return a copy.
type Failure struct {
	Status     int
	Type       string // the protocol's error type
	Code       string // stable, for programs
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // 0 if a retry does not help, or may follow at once
}

// WithMessage returns the failure with another message.
func (f Failure) WithMessage(message string) *Failure { f.Message = message; return &f }

// WithOutcome returns the failure with another outcome.
func (f Failure) WithOutcome(o Outcome) *Failure { f.Outcome = o; return &f }

// The protocol's error types.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// Values of RetryAfter.
const (
	retrySoon  = time.Second     // the shortest time that Retry-After can express
	retryLater = 2 * time.Second // after a whole wait in the queue without a slot
)

// statusGone is nginx's status for a caller that closed its connection. It is only counted, never
// sent.
const statusGone = 499

// The request is invalid. It did not run and would fail again, so there is no Retry-After.
var (
	// Also if the account is removed before the request is queued or while it is queued.
	failAPIKey    = &Failure{http.StatusUnauthorized, typeAuthentication, "invalid_api_key", "no account has this key", NotRun, 0}
	failMalformed = &Failure{http.StatusBadRequest, typeInvalidRequest, "malformed_request", "the request is malformed", NotRun, 0}
	failHeader    = &Failure{http.StatusBadRequest, typeInvalidRequest, "invalid_header", "a header has no valid value", NotRun, 0}
	failModel     = &Failure{http.StatusNotFound, typeInvalidRequest, "model_not_found", "no pool serves this model", NotRun, 0}
	failService   = &Failure{http.StatusNotFound, typeInvalidRequest, "service_not_found", "no such service", NotRun, 0}
	failPath      = &Failure{http.StatusNotFound, typeInvalidRequest, "not_found", "no such path", NotRun, 0}
	failMethod    = &Failure{http.StatusMethodNotAllowed, typeInvalidRequest, "method_not_allowed", "use another method", NotRun, 0}
	failTooLarge  = &Failure{http.StatusRequestEntityTooLarge, typeInvalidRequest, "request_too_large", "the body is over the limit", NotRun, 0}
	failOtherBody = &Failure{http.StatusUnprocessableEntity, typeInvalidRequest, "idempotency_key_reused", "this idempotency key was used for another request", NotRun, 0}
)

// This router or the pool cannot serve the request now. It did not run and may succeed later or at
// another router.
var (
	// A limit on queued requests or on all bodies together is reached.
	failFull = &Failure{http.StatusTooManyRequests, typeRateLimit, "queue_full", "too much work waits already", NotRun, retrySoon}
	// The router also reports not ready, so the load balancer sends requests elsewhere.
	failNoLease = &Failure{http.StatusServiceUnavailable, typeServer, "no_lease", "this router is cut off from the fleet", NotRun, retrySoon}
	// After the grace period of a stop.
	failStopping = &Failure{http.StatusServiceUnavailable, typeServer, "stopping", "this router is stopping", NotRun, retrySoon}
	// The configuration has no server for the pool, or all of them are leaving.
	failNoServer = &Failure{http.StatusServiceUnavailable, typeServer, "no_server", "no backend server serves this pool", NotRun, retrySoon}
	// Limits.QueueTimeout has passed.
	failWaitedTooLong = &Failure{http.StatusServiceUnavailable, typeServer, "waited_too_long", "the request waited too long for its turn", NotRun, retryLater}
	// The call was not sent or was refused, and the retry budget is empty.
	failUnreachable = &Failure{http.StatusBadGateway, typeServer, "backend_unreachable", "no backend server took the request", NotRun, retrySoon}
	// The claim was not answered within claimTimeout.
	failClaimsUnavailable = &Failure{http.StatusServiceUnavailable, typeServer, "claims_unavailable", "the idempotency key could not be claimed", NotRun, retrySoon}
)

// The request ran or may have run. The caller has to decide whether to send it again, so there is no
// Retry-After.
var (
	// The call must not be repeated, or the retry budget is empty.
	failBroken     = &Failure{http.StatusBadGateway, typeServer, "backend_broken", "the backend server failed; the request may have run", UnknownRun, 0}
	failAlreadyRan = &Failure{http.StatusConflict, typeInvalidRequest, "already_ran", "a request with this idempotency key ran; its answer is not kept", Ran, 0}
	// The lease of the router that ran it expired, or the answer of its server broke off.
	failUnknownRun = &Failure{http.StatusConflict, typeInvalidRequest, "outcome_unknown", "a request with this idempotency key may have run", UnknownRun, 0}
	// Only counted. The outcome is NotRun if the request was still queued or the server refused it.
	failCallerGone = &Failure{statusGone, typeInvalidRequest, "caller_gone", "the caller went away", UnknownRun, 0}
)

// errorBody is the protocol's usual JSON error.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
}

func (f Failure) body() []byte {
	b, _ := json.Marshal(errorBody{errorFields{f.Message, f.Type, f.Code, f.Outcome}}) // marshalling strings cannot fail
	return b
}

// write answers a request with the failure. The error is a [response.SecondHead].
func (f Failure) write(w *response.Writer) error {
	return w.Respond(f.Status, append(f.body(), '\n'), func(h http.Header) {
		h.Set("Content-Type", "application/json")
		h.Set(OutcomeHeader, string(f.Outcome))
		if f.RetryAfter > 0 {
			h.Set("Retry-After", strconv.Itoa(int(max(f.RetryAfter/time.Second, 1))))
		}
	})
}

// event returns the failure as the last event of a broken stream.
func (f Failure) event() []byte {
	return []byte("event: error\ndata: " + string(f.body()) + "\n\n")
}
