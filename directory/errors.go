// SPDX-License-Identifier: Apache-2.0

package directory

// This file defines the errors with which operations are refused.

// NotLeader refuses an operation at a replica that is not the leader.
type NotLeader struct{ Leader string } // fleet address

// Error names the leader.
func (e NotLeader) Error() string { return "the directory's leader is " + e.Leader }

// Unavailable refuses an operation because this replica has no leader, or because it cannot
// determine whether the operation was carried out. The operation may be retried.
type Unavailable struct{ Err error }

// Error names the cause.
func (e Unavailable) Error() string {
	if e.Err == nil {
		return "the directory has no leader"
	}
	return "the directory cannot tell: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e Unavailable) Unwrap() error { return e.Err }
