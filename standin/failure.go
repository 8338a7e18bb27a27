// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// This file defines the failures that a test can inject into a stand-in.

// Failure is a way in which a request fails.
type Failure string

// Failures of a request.
const (
	Refuse              Failure = "refuse"            // respond that the request was not started
	AbortBeforeResponse Failure = "die"               // run the request, then close the connection without a response
	AbortMidResponse    Failure = "die-mid"           // close the connection in the middle of the response
	Truncate            Failure = "truncate"          // engines only: end a stream cleanly but without its end mark
	Hang                Failure = "hang"              // services only: never respond
	Unframed            Failure = "unframed"          // no failure: respond without a length or chunks, and close the connection
	TruncateUnframed    Failure = "truncate-unframed" // services only: as Unframed, but close the connection in the middle of the response
)

// failures holds the failures injected into the next requests and the current backoff.
type failures struct {
	mu   sync.Mutex
	next []Failure

	backoff    time.Duration
	backoffEnd time.Time
	refused    int // requests refused during the backoff
}

// AskForBackoff makes the stand-in refuse all requests for the given time, with a Retry-After header
// of that time in whole seconds.
func (f *failures) AskForBackoff(backoff time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoff, f.backoffEnd, f.refused = backoff, time.Now().Add(backoff), 0
}

// RefusedInBackoff returns the number of requests refused because of the latest AskForBackoff.
func (f *failures) RefusedInBackoff() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// refuseIfDue refuses a request if its failure is Refuse or a backoff is in effect, and reports
// whether it did.
func (f *failures) refuseIfDue(w http.ResponseWriter, failure Failure) bool {
	f.mu.Lock()
	inBackoff := time.Now().Before(f.backoffEnd)
	if inBackoff {
		f.refused++
		w.Header().Set("Retry-After", strconv.Itoa(int(f.backoff/time.Second)))
	}
	f.mu.Unlock()
	if inBackoff || failure == Refuse {
		writeRefusal(w)
		return true
	}
	return false
}

// FailNext queues a failure. Each request takes the first failure in the queue.
func (f *failures) FailNext(failure Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = append(f.next, failure)
}

// takeFailure removes and returns the failure for the next request, or "" for none.
func (f *failures) takeFailure() Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.next) == 0 {
		return ""
	}
	failure := f.next[0]
	f.next = f.next[1:]
	return failure
}
