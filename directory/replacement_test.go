// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests that a replica which was replaced while it was down serves again.

// TestReplacedReplicaReturnsToLeaderThatReplacedIt replaces a replica that is down, and lets its replacement lead, which
// the replica's log does not contain. Once it runs again, the group must take it for a further replica that is lost.
func TestReplacedReplicaReturnsToLeaderThatReplacedIt(t *testing.T) {
	withFleet(t, 5, func(x *fleet) {
		const replaced, replacement = "10.0.1.5", "10.0.1.9"
		is := is.New(x.t)
		x.putDocument(1)
		x.nodes[replaced].kill()
		x.addReplica(replacement, false)
		time.Sleep(4 * time.Second)
		is.True(slices.Contains(x.voters(), replacement))
		is.True(!slices.Contains(x.voters(), replaced))
		for x.awaitLeader().ip != replacement {
			l := x.awaitLeader()
			l.kill()
			x.startReplica(l.ip, false)
			time.Sleep(time.Second)
		}
		x.startReplica(replaced, false)
		time.Sleep(4 * time.Second)
		is.Equal(x.awaitLeader().ip, replacement)
		x.nodes["10.0.1.1"].kill()
		time.Sleep(4 * time.Second)
		is.True(slices.Contains(x.voters(), replaced))
	})
}
