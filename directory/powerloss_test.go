// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file tests the simultaneous loss of disks and power.

// TestRecoveryFromDiskAndPowerLoss: two of five replicas lose their disks while everything loses power,
// including the gateways, right after changes were acknowledged. No acknowledged change may be
// lost, and service must resume.
func TestRecoveryFromDiskAndPowerLoss(t *testing.T) {
	withFleet(t, voters, func(x *fleet) {
		is := is.New(t)
		m := x.startCrashingServers(10, 100*time.Millisecond)
		x.withCallers(m, 4, func(c *callers) {
			c.repeat("deadly", crashingRequestPeriod, 2*time.Second)
			is.NoErr(x.awaitLeader().d.Put(x.t.Context(), retryDocument(2, document.Repeatable)))
			is.NoErr(x.awaitLeader().d.Withdraw(x.t.Context(), "s1"))
			for i := range 4 {
				x.gateways[gatewayIP(i)].kill()
			}
			x.losePower()
			for _, ip := range x.ips[:2] {
				x.replaceDisk(ip)
			}
			for _, ip := range x.ips {
				x.startReplica(ip, false)
			}
			began := time.Now()
			l := x.awaitLeader().d
			read, err := l.Read(x.t.Context())
			is.NoErr(err)
			is.Equal(read.Document.Number, uint64(2))
			condemned, err := l.Condemned()
			is.NoErr(err)
			is.Equal(len(condemned), 1)
			for i := range 4 {
				c.startGateway(m, gatewayIP(i))
			}
			time.Sleep(3*time.Second - time.Since(began))
			c.mu.Lock()
			clear(c.answers)
			c.mu.Unlock()
			c.repeat("deadly", crashingRequestPeriod, 2*time.Second)
			sent, _ := m.countCrashingRequest("deadly")
			is.Equal(sent, 3)
			others, _ := c.answeredShare("other")
			is.True(others > 0.99)
			for _, n := range x.gateways {
				is.True(!slices.Contains(n.g.Servers(), "s1")) // it was withdrawn
			}
		})
	})
}
