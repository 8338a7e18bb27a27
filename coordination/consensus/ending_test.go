// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// TestLeaderSaysWhyItEnded: a leader that is cut off says that no majority answered it, and for how
// long; one that hears of a later term says that.
func TestLeaderSaysWhyItEnded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, "a", "b", "c")
	old := c.mustLead()
	c.settle(2 * testElection)
	c.cut[old] = true
	for c.members[old].r.Leads(c.now) {
		c.settle(testHeartbeat / 4)
	}
	ending := c.members[old].r.Status().LeadershipEnd
	is.Equal(ending.Cause, EndedByLease)
	is.True(ending.SinceQuorum >= testElection*9/10)
	is.True(ending.RoundTrip < testHeartbeat)
	for c.members[old].r.role == Leader {
		c.settle(testHeartbeat / 4)
	}
	ending = c.members[old].r.Status().LeadershipEnd
	is.Equal(ending.Cause, EndedWithoutQuorum)
	is.True(ending.SinceQuorum >= testElection)
}
