// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// TestPartitionedLeaderReportsCauseOfEnd checks the reasons that a partitioned leader reports: first that its lease
// expired, then that no majority replied, with the time since the last reply of a majority.
func TestPartitionedLeaderReportsCauseOfEnd(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, "a", "b", "c")
	old := c.awaitLeader()
	c.run(2 * testElection)
	c.isolated[old] = true
	for c.members[old].r.Leads(c.now) {
		c.run(testHeartbeat / 4)
	}
	end := c.members[old].r.Status().LeadershipEnd
	is.Equal(end.Cause, EndedByLease)
	is.True(end.SinceQuorum >= testElection*9/10)
	is.True(end.RoundTrip < testHeartbeat)
	for c.members[old].r.role == Leader {
		c.run(testHeartbeat / 4)
	}
	end = c.members[old].r.Status().LeadershipEnd
	is.Equal(end.Cause, EndedWithoutQuorum)
	is.True(end.SinceQuorum >= testElection)
}
