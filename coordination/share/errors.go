// SPDX-License-Identifier: Apache-2.0

package share

import "fmt"

// This file defines why a request is not queued. In both cases it has not
// run.

// QueueFullError refuses a request because a limit on waiting work is reached. Max is in
// requests or bytes, depending on Limit.
type QueueFullError struct {
	Account string
	Limit   string // which limit, for the message
	Max     int64
}

// Error names the account and the limit.
func (e QueueFullError) Error() string {
	return fmt.Sprintf("queue full for account %s: %s is at its limit of %d", e.Account, e.Limit, e.Max)
}

// UnknownAccountError refuses a request of an account that does not exist.
type UnknownAccountError struct{ Account string }

// Error names the account.
func (e UnknownAccountError) Error() string { return "no account " + e.Account }
