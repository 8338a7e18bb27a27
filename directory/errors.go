// SPDX-License-Identifier: Apache-2.0

package directory

// This file defines the errors of operations that may succeed elsewhere or later.

// NotLeader is the error of an operation at a replica that is not the leader.
type NotLeader struct{ Leader string } // fleet address

// Error names the leader.
func (e NotLeader) Error() string { return "the directory's leader is " + e.Leader }

// Unavailable is the error of an operation when the replica has no leader, or cannot determine
// whether the operation was carried out. The operation may be retried.
type Unavailable struct{ Err error }

// Error names the cause.
func (e Unavailable) Error() string {
	if e.Err == nil {
		return "the directory has no leader"
	}
	return "the directory cannot confirm the operation: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e Unavailable) Unwrap() error { return e.Err }

// GroupForming is the cause of an [Unavailable] before the group has its voters. A retry helps.
type GroupForming struct{}

// Error implements error.
func (GroupForming) Error() string { return "the directory's group is still forming" }
