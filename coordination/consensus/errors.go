// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"fmt"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the errors that a Replica returns.

// NotLeader rejects a proposal at a replica that is not the leader. Leader is
// zero when no leader is known.
type NotLeader struct{ Leader protocol.Peer }

// Error names the leader.
func (e NotLeader) Error() string {
	if e.Leader.IsZero() {
		return "not the leader; no leader is known"
	}
	return "not the leader; the leader is " + e.Leader.Name
}

// TransferPending rejects a proposal or a membership change during a leadership transfer.
type TransferPending struct{ To protocol.Peer }

// Error names the successor.
func (e TransferPending) Error() string {
	return "leadership transfer to " + e.To.Name + " is in progress"
}

// ChangePending rejects a membership change while another one is uncommitted.
type ChangePending struct{ Index uint64 }

// Error names the index of the pending change.
func (e ChangePending) Error() string {
	return fmt.Sprintf("the membership change at index %d is not committed yet", e.Index)
}
