// SPDX-License-Identifier: Apache-2.0

package replica

// This file defines how a replica fails its callers.

// Undecided is a proposal that may or may not be committed: this replica lost
// the lead or stopped, or the caller's time ran out, before the outcome. The same change
// must be proposed again under the same identifier.
type Undecided struct{ Err error }

// Error gives what to do.
func (e Undecided) Error() string {
	text := "undecided; ask again with the same identifier"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e Undecided) Unwrap() error { return e.Err }

// Stopped is a replica that no longer runs.
type Stopped struct{ Err error }

// Error names the cause.
func (e Stopped) Error() string {
	if e.Err == nil {
		return "replica stopped"
	}
	return "replica stopped: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e Stopped) Unwrap() error { return e.Err }
