// SPDX-License-Identifier: Apache-2.0

package standin

import "sync"

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
