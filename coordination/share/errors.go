// SPDX-License-Identifier: Apache-2.0

package share

import "fmt"

// This file defines the errors for requests that are not queued. Such a request has not run.

// QueueFullError reports that a limit on waiting work is reached. Max is in requests or
// bytes, depending on Limit.
type QueueFullError struct {
	Account string
	Limit   string // description of the limit
	Max     int64
}

// Error names the account and the limit.
func (e QueueFullError) Error() string {
	return fmt.Sprintf("queue full for account %s: %s is at its limit of %d", e.Account, e.Limit, e.Max)
}

// UnknownAccountError reports a request of an account that does not exist.
type UnknownAccountError struct{ Account string }

// Error names the account.
func (e UnknownAccountError) Error() string { return fmt.Sprintf("unknown account %q", e.Account) }
