// SPDX-License-Identifier: Apache-2.0

package replica

// This file defines the errors that a replica returns.

// Undecided reports that a proposal may or may not be committed: before the outcome
// was known, this replica lost the leadership or stopped, or the caller's context ended.
// The caller must propose the same change again with the same identifier.
type Undecided struct{ Err error }

// Error tells the caller what to do and names the cause.
func (e Undecided) Error() string {
	text := "outcome unknown; retry with the same identifier"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e Undecided) Unwrap() error { return e.Err }

// Stopped reports that the replica no longer runs.
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
