// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// This file defines the failures that a test chooses for a stand-in.

// Failure is a way to fail.
type Failure string

// The ways to fail.
const (
	Refuse   Failure = "refuse"   // answer that it was not started
	DieEarly Failure = "die"      // run, then drop the connection without an answer
	DieMid   Failure = "die-mid"  // drop the connection in the middle of the answer
	Truncate Failure = "truncate" // an engine only: end a stream cleanly, but without its end mark
	Hang     Failure = "hang"     // a service only: never answer
)

// failures is what the next requests are to suffer.
type failures struct {
	mu   sync.Mutex
	next []Failure

	backoff time.Duration
	rested  time.Time // when the backoff is over
	refused int       // for it
}

// AskForBackoff makes the stand-in refuse every request from now on until the backoff is over, and say so in
// whole seconds.
func (f *failures) AskForBackoff(backoff time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoff, f.rested, f.refused = backoff, time.Now().Add(backoff), 0
}

// RefusedInBackoff returns how many requests came since AskForBackoff and were refused.
func (f *failures) RefusedInBackoff() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// refuses reports whether a request was refused: it has that failure, or the stand-in backoffs.
func (f *failures) refuses(w http.ResponseWriter, how Failure) bool {
	f.mu.Lock()
	resting := time.Now().Before(f.rested)
	if resting {
		f.refused++
		w.Header().Set("Retry-After", strconv.Itoa(int(f.backoff/time.Second)))
	}
	f.mu.Unlock()
	if resting || how == Refuse {
		refuse(w)
		return true
	}
	return false
}

// FailNext makes the next request fail in that way, after those of earlier
// calls.
func (f *failures) FailNext(how Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = append(f.next, how)
}

func (f *failures) take() Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.next) == 0 {
		return ""
	}
	how := f.next[0]
	f.next = f.next[1:]
	return how
}
